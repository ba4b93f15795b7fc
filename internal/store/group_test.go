package store_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/crocusspring/crocusspring/internal/store"
	"github.com/crocusspring/crocusspring/internal/store/memstore"
)

// appendAll appends one record for each of n callers of a group at the same time, and returns their errors by key. Each
// record has a value of some bytes.
func appendAll(ctx context.Context, g *store.Group, n, bytes int) map[string]error {
	out := map[string]error{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			key := fmt.Sprint("j/", i)
			err := g.Append(ctx, []store.Record{{Key: key, Value: make([]byte, bytes)}})
			mu.Lock()
			defer mu.Unlock()
			out[key] = err
		})
		synctest.Wait()
	}
	wg.Wait()
	return out
}

// checkStored checks that exactly the records without an error are stored, also later.
func checkStored(t *testing.T, mem *memstore.Store, errs map[string]error) {
	t.Helper()
	time.Sleep(time.Minute)
	snap, err := mem.Newest(t.Context(), store.TopicJobs)
	if err != nil {
		t.Fatal(err)
	}
	stored := map[string]bool{}
	for _, r := range snap.Records {
		stored[r.Key] = true
	}
	for key, err := range errs {
		if stored[key] != (err == nil) {
			t.Errorf("%s: %v, stored %v", key, err, stored[key])
		}
	}
}

// count returns how many errors match one; nil matches success.
func count(errs map[string]error, want error) int {
	n := 0
	for _, err := range errs {
		if errors.Is(err, want) {
			n++
		}
	}
	return n
}

// TestGroupSharesAppends guards against relayed appends that wait for each other in the queue of a slow store: callers share
// them, and one that would wait too long is refused, for good.
func TestGroupSharesAppends(t *testing.T) {
	for _, c := range []struct {
		takes             time.Duration
		accepted, appends int
	}{{256 * time.Millisecond, 20, 2}, {2 * time.Second, 1, 1}} {
		t.Run(c.takes.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				mem := memstore.New()
				s := &slowStore{Store: mem, appendTime: c.takes, readTime: 256 * time.Millisecond}
				began := time.Now()
				errs := appendAll(t.Context(), store.NewGroup(s, store.TopicJobs, tally.NoopScope), 20, 10)
				appends, _ := s.counts()
				if got := count(errs, nil); got != c.accepted || count(errs, store.ErrBusy) != 20-got || appends != c.appends {
					t.Errorf("%d accepted, %d busy in %d appends; want %d accepted in %d", got, count(errs, store.ErrBusy), appends, c.accepted, c.appends)
				}
				if took := time.Since(began); took > c.takes+store.MaxWait {
					t.Errorf("the last caller learned its result after %s", took)
				}
				checkStored(t, mem, errs)
			})
		})
	}
}

// TestGroupKeepsLimits guards against refusing callers for the size of others: together their records exceed what one append
// takes, or one of them is never taken.
func TestGroupKeepsLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := memstore.New()
		mem.SetLimits(store.Limits{Record: 2000, Call: 5000})
		mem.SetRejects(func(r store.Record) bool { return r.Key == "j/7" })
		s := &slowStore{Store: mem, appendTime: 20 * time.Millisecond}
		errs := appendAll(t.Context(), store.NewGroup(s, store.TopicJobs, tally.NoopScope), 12, 1500)
		if count(errs, nil) != 11 || !errors.Is(errs["j/7"], store.ErrRejected) {
			t.Errorf("%v, want all stored but j/7", errs)
		}
		// The first, four of up to three records, and one for each of the three with j/7.
		if appends, _ := s.counts(); appends != 8 {
			t.Errorf("%d appends, want 8", appends)
		}
		checkStored(t, mem, errs)
	})
}

// TestGroupFullQueue guards against sending entries on to other nodes when the queue of a slow store is full; a store that
// refuses reads as well is gone, and another node may reach it.
func TestGroupFullQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := memstore.New()
		g := store.NewGroup(mem, store.TopicJobs, tally.NoopScope)
		mem.SetFaults(func(call, _ string) memstore.Fault { return memstore.Fault{Refuse: call == "append"} })
		if errs := appendAll(t.Context(), g, 3, 10); count(errs, store.ErrBusy) != 3 {
			t.Errorf("full queue: %v", errs)
		}
		mem.SetFaults(func(string, string) memstore.Fault { return memstore.Fault{Refuse: true} })
		if errs := appendAll(t.Context(), g, 3, 10); count(errs, store.ErrBusy) != 0 || count(errs, store.ErrRefused) != 3 {
			t.Errorf("store that is gone: %v", errs)
		}
	})
}

// TestGroupSilentStore guards against taking a silent store for a slow one: who waits for the append before is refused, and
// may try another way.
func TestGroupSilentStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := memstore.New()
		mem.SetFaults(func(string, string) memstore.Fault { return memstore.Fault{Hang: true} })
		g := store.NewGroup(store.NewCautious(mem), store.TopicJobs, tally.NoopScope)
		errs := appendAll(t.Context(), g, 3, 10)
		if count(errs, store.ErrBusy) != 0 || count(errs, store.ErrRefused) != 2 || count(errs, store.ErrSilent) != 1 {
			t.Errorf("%v, want one that was sent, and two refused", errs)
		}
	})
}

// TestGroupCallerLeaves guards against storing what nobody waits for: a caller that leaves before its records are sent takes
// them with it.
func TestGroupCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := memstore.New()
		g := store.NewGroup(&slowStore{Store: mem, appendTime: time.Second, readTime: time.Second}, store.TopicJobs, tally.NoopScope)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		errs := appendAll(ctx, g, 2, 10)
		if errors.Is(errs["j/0"], store.ErrRefused) || !errors.Is(errs["j/1"], store.ErrRefused) {
			t.Errorf("%v, want an unknown outcome of the first and a refusal of the second", errs)
		}
		delete(errs, "j/0")
		checkStored(t, mem, errs)
	})
}
