package owner

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusspring/crocusspring/internal/sched"
	"github.com/crocusspring/crocusspring/internal/store"
	"github.com/crocusspring/crocusspring/internal/store/memstore"
)

// TestJobStoredAfterItsCancellation guards against a cancelled job that runs: the job is stored after its cancellation, while the cell is
// owned, across a takeover, or before both are read. The cancellation is deleted once no job can follow it.
func TestJobStoredAfterItsCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := memstore.New()
		put := func(r store.Record) {
			if _, err := mem.Append(t.Context(), store.TopicJobs, store.AnyOffset, []store.Record{r}); err != nil {
				t.Fatal(err)
			}
		}
		for _, id := range []string{"owned", "takeover", "never"} {
			put(store.Record{Key: store.PrefixCancel + id, Value: []byte("{}")})
		}
		first, stop := runCell(t, mem, "n")
		time.Sleep(3 * time.Second)
		put(jobRecord(t, smallJob("owned")))
		time.Sleep(time.Second)
		if v, found, err := first.Job("owned"); !found || v.State != sched.Cancelled {
			t.Errorf("job that was stored while the cell is owned: %+v, found %v, %v", v, found, err)
		}
		stop()
		second, stop := runCell(t, mem, "m")
		defer stop()
		time.Sleep(5 * time.Second)
		put(jobRecord(t, smallJob("takeover")))
		time.Sleep(time.Second)
		if v, found, err := second.Job("takeover"); !found || v.State != sched.Cancelled {
			t.Errorf("job that was stored after a takeover: %+v, found %v, %v", v, found, err)
		}
		time.Sleep(sched.CancelRetention + 2*sweepInterval)
		snap, err := mem.Newest(t.Context(), store.TopicJobs)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range snap.Records {
			if strings.HasSuffix(r.Key, "never") && len(r.Value) > 0 {
				t.Errorf("record %s is still there", r.Key)
			}
		}
	})
}
