package ownership

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/logs"
	"github.com/crocusspring/crocusspring/internal/store"
	"github.com/crocusspring/crocusspring/internal/store/memstore"
)

// TestOutageIsLoggedTwice checks that an outage of the store is one line at its begin and one at its end, not one for
// each attempt: hundreds of candidates try several times a second.
func TestOutageIsLoggedTwice(t *testing.T) {
	var out bytes.Buffer
	opt := Options{Node: "n", Incarnation: "i", Candidate: true, Length: time.Second, RenewEvery: time.Second}
	r := NewRunner(opt, memstore.New(), logs.New(&out, logs.Options{Level: "info", JSON: true}))
	for range 2 {
		for range 30 {
			r.noteFailure(errors.New("no answer"))
		}
		r.observe([]store.Record{{Key: "other"}}, 1)
	}
	text := out.String()
	begins, ends := strings.Count(text, string(event.LeaseNotRenewed)), strings.Count(text, string(event.LeaseStoreAnswers))
	if begins != 2 || ends != 2 || strings.Count(text, `"failures":30`) != 2 {
		t.Errorf("two outages of 30 failures gave %d begins and %d ends:\n%s", begins, ends, text)
	}
}
