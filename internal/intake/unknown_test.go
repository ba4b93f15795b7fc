package intake

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusspring/crocusspring/internal/sched"
	"github.com/crocusspring/crocusspring/internal/store"
	"github.com/crocusspring/crocusspring/internal/store/memstore"
)

// denying is a Client whose owner knows no job.
type denying struct{ *nodes }

func (denying) ConfirmedJob(context.Context, string, string) (sched.View, bool, error) {
	return sched.View{}, false, nil
}

// newDenyingEntry is newEntry with an owner that knows no job.
func newDenyingEntry(ctx context.Context) *entry {
	e := newEntry(ctx)
	e.client = denying{e.nodes}
	return e
}

// TestCancellationOfUnknownJobIsStored guards against a cancelled job that runs: its client was told that there is no such job, while
// another entry held it in an append of unknown outcome and stored it later. The answer comes after the cancellation is stored.
func TestCancellationOfUnknownJobIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		e := newDenyingEntry(ctx)
		if found, err := e.Cancel(ctx, "a"); found || err != nil {
			t.Errorf("found %t, %v", found, err)
		}
		if !e.stored(t)["a"] {
			t.Error("the cancellation isn't stored")
		}
		e.nodes.set("owner", "peer-1", "peer-2")
		e.mem.SetFaults(func(string, string) memstore.Fault { return memstore.Fault{Refuse: true} })
		if found, err := e.Cancel(ctx, "b"); err == nil {
			t.Errorf("found %t without an error, although the cancellation can't be stored", found)
		}
		e.mem.SetFaults(nil)
		e.nodes.set()
		time.Sleep(time.Second)
	})
}

// TestFloodOfUnknownCancellations guards against a store that fills with cancellations of jobs that don't exist. Those within the limit,
// and a limit's time later, are stored.
func TestFloodOfUnknownCancellations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		e := newDenyingEntry(ctx)
		for i := range maxUnknownCancels {
			if _, err := e.Cancel(ctx, fmt.Sprint(i)); err != nil {
				t.Fatalf("cancellation %d: %v", i, err)
			}
		}
		if _, err := e.Cancel(ctx, "beyond"); !errors.Is(err, ErrNotAccepted) || e.stored(t)["beyond"] {
			t.Errorf("got %v beyond the limit, want that it isn't accepted", err)
		}
		time.Sleep(sched.CancelRetention + sched.CancelRetention/2)
		if _, err := e.Cancel(ctx, "later"); err != nil {
			t.Errorf("%s later: %v", sched.CancelRetention+sched.CancelRetention/2, err)
		}
	})
}

// TestOldUnknownsAreNotStored guards against a job that is stored when nobody remembers any more that it was cancelled, or has ended: an
// entry that was cut off stored what it held as soon as the store was back, however long that took.
func TestOldUnknownsAreNotStored(t *testing.T) {
	for _, away := range []time.Duration{maxUnresolvedAge / 2, 2 * maxUnresolvedAge} {
		t.Run(away.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				e := newEntry(ctx)
				e.nodes.set("owner", "peer-1", "peer-2")
				e.mem.SetFaults(func(string, string) memstore.Fault { return memstore.Fault{Hang: true} })
				if a := e.submit(ctx, "00000000000000aa"); !errors.Is(a.err, ErrUnknown) {
					t.Fatalf("got %v, want an unknown outcome", a.err)
				}
				time.Sleep(away)
				e.mem.SetFaults(nil)
				e.nodes.set()
				time.Sleep(time.Second)
				if stored, want := e.stored(t)["00000000000000aa"], away < maxUnresolvedAge; stored != want {
					t.Errorf("after %s the job is stored: %t, want %t", away, stored, want)
				}
				if !e.Available() {
					t.Error("jobs aren't accepted again")
				}
			})
		})
	}
}

// TestUnknownsEndBeforeCancellations holds the order of the two times.
func TestUnknownsEndBeforeCancellations(t *testing.T) {
	if limit := sched.CancelRetention - appendTimeout - store.MaxWait; maxUnresolvedAge >= limit {
		t.Errorf("jobs of unknown outcome are stored for %s, their cancellations kept for %s", maxUnresolvedAge, sched.CancelRetention)
	}
}
