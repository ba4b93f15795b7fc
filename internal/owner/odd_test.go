package owner

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusspring/crocusspring/internal/ownership"
	"github.com/crocusspring/crocusspring/internal/sched"
	"github.com/crocusspring/crocusspring/internal/store"
	"github.com/crocusspring/crocusspring/internal/store/memstore"
)

// oddValues are values that another writer may leave under any key: of any type, depth, number and size.
func oddValues() []string {
	return []string{
		"null", "{}", "[]", "7", `"text"`, "true", "\xff\xfe\x00", `{"s":`, strings.Repeat("[", 50_000), strings.Repeat(`{"o":`, 20_000),
		`{"s":"running","n":1e30}`, `{"s":"running","n":-1000000000,"f":-5}`, `{"s":"running","n":9223372036854775807}`, `{"s":"odd","n":1}`,
		`{"s":"running","n":1,"o":[{"k":0,"t":[[{"r":9223372036854775807}]]}]}`, `{"s":"running","n":1,"o":[{"k":0,"t":[[{"r":-3,"w":"x"}]]}]}`,
		`{"s":"running","n":1,"o":[{"k":99999,"t":[[]]},{"k":-1,"t":[[]]}]}`, `{"s":"running","n":1,"o":[{"k":0,"t":[]}]}`,
		`{"s":"running","n":1,"o":[{"k":0,"t":[[{},{},{},{}]]}]}`, `{"s":"running","n":1,"parts":true,"open":[0,0,1,2,3]}`,
		`{"id":"other","steps":[{"count":1}]}`, `{"id":"odd","steps":[{"count":1e9}]}`, `{"id":"odd","steps":[{"count":5000}],"schedule":{"count":1e9}}`,
		`[{"s":"a","f":"b","m":1e308,"v":-1e308}]`, `{"node":"x","epoch":9223372036854775807,"seq":1,"addr":"10.0.0.1:99999"}`,
		"10.0.0.1:99999", "not an address", strings.Repeat("x", 200_000),
	}
}

// oddKeys are keys under which another writer may leave a value, by topic; "sound" is an accepted job.
var oddKeys = map[string][]string{
	store.TopicJobs:  {"", "j/", "j/odd", "j/learned", "j/w/x", "c/", "c/odd", "odd", "\xff"},
	store.TopicRuns:  {"", "sound", "odd", "learned", "owner", "w/", "w/x", "w/x@9", "n/", "n/x", "n/x@9", "p/", "p/sound/0.0.00000", "p/sound/0.0.99999999999999999999", "p/sound/7.7.7", "p/odd/0.0.0", "\xff"},
	store.TopicOwner: {"", "odd", ownership.Key},
	store.TopicNodes: {"", "odd", "n"},
}

// TestOddRecords guards against processes that end, stop following or drop sound records since another writer has left odd
// ones, under their keys or others: while the cell is owned, and when a new owner loads it.
func TestOddRecords(t *testing.T) {
	for i, value := range oddValues() {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				mem := memstore.New()
				first, stopFirst := runCell(t, mem, "n")
				time.Sleep(2 * time.Second)
				put := func(topic string, r store.Record) {
					if _, err := mem.Append(t.Context(), topic, store.AnyOffset, []store.Record{r}); err != nil {
						t.Fatal(err)
					}
				}
				putOdd := func() {
					for topic, keys := range oddKeys {
						for _, key := range keys {
							put(topic, store.Record{Key: key, Value: []byte(value)})
						}
					}
				}
				put(store.TopicJobs, jobRecord(t, smallJob("sound")))
				time.Sleep(time.Second)
				putOdd()
				put(store.TopicJobs, store.Record{Key: store.PrefixJob + "sound", Value: []byte(value)})
				put(store.TopicJobs, jobRecord(t, smallJob("after")))
				time.Sleep(3 * time.Second)
				checkJobs(t, "the first owner", first, value)
				before, _, _ := first.lease.Holds()
				// Another process finds the odd records, which are the newest of their keys.
				stopFirst()
				putOdd()
				second, stopSecond := runCell(t, mem, "m")
				defer stopSecond()
				time.Sleep(5 * time.Second)
				checkJobs(t, "the second owner", second, value)
				if after, _, ok := second.lease.Holds(); !ok || after <= before {
					t.Errorf("%.40q: epoch %d, owner %v, after epoch %d", value, after, ok, before)
				}
			})
		})
	}
}

// checkJobs fails unless a cell knows both accepted jobs.
func checkJobs(t *testing.T, who string, c *Cell, value string) {
	t.Helper()
	for _, id := range []string{"sound", "after"} {
		if v, found, err := c.Job(id); err != nil || !found || v.State != sched.Queued {
			t.Errorf("%.40q: job %s at %s is %+v, found %v, %v", value, id, who, v, found, err)
		}
	}
}
