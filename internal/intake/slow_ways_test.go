package intake

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/logs"
	"github.com/crocusspring/crocusspring/internal/resource"
	"github.com/crocusspring/crocusspring/internal/store"
	"github.com/crocusspring/crocusspring/internal/store/memstore"
)

// healthyTime is how long an append or a read of a healthy store takes, slowTime one of a slow store.
const (
	healthyTime = 4 * time.Millisecond
	slowTime    = 64 * healthyTime
)

// newSerialStore returns a store that takes a time for each call.
func newSerialStore(takes time.Duration) (*serialStore, *memstore.Store) {
	mem := memstore.New()
	return &serialStore{Store: mem, appendTime: takes, readTime: takes}, mem
}

// setTime sets how long each call takes from now on.
func (s *serialStore) setTime(takes time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendTime, s.readTime = takes, takes
}

// counts returns how many appends and reads there were.
func (s *serialStore) counts() (appends, reads int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends, s.reads
}

// loadAll submits n jobs at intervals, to one entry after the other, and returns all answers.
func loadAll(ctx context.Context, entries []*entry, first, n int, interval time.Duration) []answer {
	out := make([]answer, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { out[i] = entries[i%len(entries)].submit(ctx, fmt.Sprintf("%016x", first+i)) })
		time.Sleep(interval)
	}
	wg.Wait()
	return out
}

// settle lets a store be fast until all background work has ended.
func (s *serialStore) settle() {
	s.setTime(time.Millisecond)
	time.Sleep(time.Minute)
}

// TestSlowStoreAnswersAreTrue guards against a refusal of a job that runs: while the store is slow, its queue is full and it
// is fast again, a refused job is never stored, and one that is accepted or unknown is.
func TestSlowStoreAnswersAreTrue(t *testing.T) {
	for _, n := range []int{3, 9, 35} {
		t.Run(fmt.Sprintf("%d entries", n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, mem := newSerialStore(healthyTime)
				entries := newSlowEntries(s, n)
				time.AfterFunc(time.Second, func() { s.setTime(2 * slowTime) })
				time.AfterFunc(7*time.Second, func() { s.setTime(healthyTime) })
				answers := loadAll(t.Context(), entries, 0, 500, 20*time.Millisecond)
				s.settle()
				checkTruth(t, &entry{mem: mem}, answers)
			})
		})
	}
}

// TestSlowStoreManyEntries guards against a queue that the entries of a large fleet keep full: most of them learn only from
// refusals that the store is slow.
func TestSlowStoreManyEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newSerialStore(slowTime)
		entries := newSlowEntries(s, 35)
		began := time.Now()
		for _, a := range loadAll(t.Context(), entries, 0, 200, 50*time.Millisecond) {
			if at := a.began.Sub(began); at > 2*maxQueue+slowTime && (a.err != nil || a.took > time.Second) {
				t.Errorf("job at %s: %v after %s", at, a.err, a.took)
			}
		}
		s.settle()
	})
}

// TestSlowStoreFastAgain guards against refusals after a slow store is fast again, since appends that were given up were
// still waiting in its queue.
func TestSlowStoreFastAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newSerialStore(slowTime)
		entries := newSlowEntries(s, 9)
		loadAll(t.Context(), entries, 0, 100, 50*time.Millisecond)
		s.setTime(healthyTime)
		began := time.Now()
		for _, a := range loadAll(t.Context(), entries, 100, 200, 20*time.Millisecond) {
			limit := 2 * slowTime
			if a.began.Sub(began) > 2*time.Second {
				limit = 20 * time.Millisecond
			}
			if a.err != nil || a.took > limit {
				t.Errorf("job %s after the store was fast: %v after %s", a.began.Sub(began), a.err, a.took)
			}
		}
		s.settle()
	})
}

// TestFastStoreCalls guards against making a healthy store dearer: each job costs at most one append, none of them through
// another node, and no read.
func TestFastStoreCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newSerialStore(healthyTime)
		entries := newSlowEntries(s, 9)
		for _, e := range entries {
			e.locator = noOwner{}
			e.peers = nil
		}
		const jobs = 400
		for _, a := range loadAll(t.Context(), entries, 0, jobs, 5*time.Millisecond) {
			if a.err != nil || a.took > 2*healthyTime {
				t.Errorf("job %s: %v after %s", a.id, a.err, a.took)
			}
		}
		if appends, reads := s.counts(); appends > jobs || reads > 0 {
			t.Errorf("%d appends and %d reads for %d jobs", appends, reads, jobs)
		}
	})
}

// noOwner is a Locator that knows no owner.
type noOwner struct{}

func (noOwner) OwnerAddr() string { return "" }

// TestSlowStoreWithoutOwner guards against appends of one entry that wait for each other in the store: without an owner it
// sends one at a time, and refuses what waits too long.
func TestSlowStoreWithoutOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, mem := newSerialStore(slowTime)
		e := newSlowEntries(s, 1)[0]
		e.locator, e.peers = noOwner{}, nil
		answers := loadAll(t.Context(), []*entry{e}, 0, 100, 20*time.Millisecond)
		for _, a := range answers {
			if a.err != nil || a.took > 3*slowTime {
				t.Errorf("job %s: %v after %s", a.id, a.err, a.took)
			}
		}
		s.settle()
		checkTruth(t, &entry{mem: mem}, answers)
	})
}

// silentOwner is a Client whose owner doesn't answer; other nodes reach the store.
type silentOwner struct{ *slowNodes }

func (n silentOwner) Relay(ctx context.Context, addr string, records []store.Record) error {
	if addr == "owner" {
		<-ctx.Done()
		return ctx.Err()
	}
	return n.slowNodes.Relay(ctx, addr, records)
}

func (n silentOwner) CheckStore(ctx context.Context, addr string) error {
	if addr == "owner" {
		<-ctx.Done()
		return ctx.Err()
	}
	return n.slowNodes.CheckStore(ctx, addr)
}

// TestSlowStoreSilentOwner guards against losing the way to a slow store with the owner: its records go there directly when
// the owner doesn't answer a check.
func TestSlowStoreSilentOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newSerialStore(slowTime)
		e := newSlowEntries(s, 1)[0]
		e.client = silentOwner{e.client.(*slowNodes)}
		for _, a := range loadAll(t.Context(), []*entry{e}, 0, 10, time.Second) {
			if a.err != nil || a.took > slowTimeout {
				t.Errorf("job %s: %v after %s", a.id, a.err, a.took)
			}
		}
		s.settle()
	})
}

// submitFor submits one job for a caller that waits for some time.
func submitFor(in *Intake, id string, patience time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	return in.Submit(ctx, &job.Spec{ID: id, Steps: []job.Step{{Count: 1, Demand: resource.Vector{MilliCPU: 100}}}})
}

// TestRepeatWhileStored guards against a copy of an append that is in progress, and against refusing it: a caller that left
// comes again with the same job, which may be stored already.
func TestRepeatWhileStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newSerialStore(slowTime)
		s.appendTime = time.Second
		nodes := &slowNodes{store: s}
		in := New(s, nodes, noOwner{}, nil, tally.NoopScope, logs.Discard())
		const id = "00000000000000aa"
		if err := submitFor(in, id, 100*time.Millisecond); !errors.Is(err, ErrUnknown) {
			t.Errorf("%v, want an unknown outcome", err)
		}
		var wg sync.WaitGroup
		for range 3 {
			wg.Go(func() {
				if err := submitFor(in, id, callerPatience); err != nil {
					t.Errorf("repeat: %v", err)
				}
			})
		}
		wg.Wait()
		if appends, _ := s.counts(); appends != 1 {
			t.Errorf("%d appends of one job", appends)
		}
	})
}

// TestCallerLeavesBeforeAppend guards against storing what nobody waits for: a job that waits in the entry for the append
// before its own isn't sent once its caller has left, and one whose append is in progress is.
func TestCallerLeavesBeforeAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, mem := newSerialStore(slowTime)
		s.appendTime = time.Second
		in := New(s, &slowNodes{store: s}, noOwner{}, nil, tally.NoopScope, logs.Discard())
		const patience = 100 * time.Millisecond
		first := submitFor(in, "00000000000000aa", patience)
		second := submitFor(in, "00000000000000bb", patience)
		if !errors.Is(first, ErrUnknown) || !errors.Is(second, ErrNotAccepted) {
			t.Errorf("%v and %v, want an unknown outcome and a refusal", first, second)
		}
		s.settle()
		if stored := (&entry{mem: mem}).stored(t); !stored["00000000000000aa"] || stored["00000000000000bb"] {
			t.Errorf("stored %v", stored)
		}
	})
}

// TestRefusalOfDoubtedJob guards against a refusal of a job whose earlier append may still take effect, while the store
// answers and other jobs are accepted.
func TestRefusalOfDoubtedJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := memstore.New()
		nodes := &nodes{mem: mem}
		nodes.set("owner", "peer-1", "peer-2")
		in := New(mem, nodes, noOwner{}, nil, tally.NoopScope, logs.Discard())
		mem.SetFaults(func(call, _ string) memstore.Fault { return memstore.Fault{Lose: call == "append"} })
		const id = "00000000000000aa"
		if err := submitFor(in, id, callerPatience); !errors.Is(err, ErrUnknown) {
			t.Errorf("%v, want an unknown outcome", err)
		}
		mem.SetFaults(func(call, _ string) memstore.Fault { return memstore.Fault{Refuse: call == "append"} })
		if err := submitFor(in, id, callerPatience); !errors.Is(err, ErrUnknown) {
			t.Errorf("%v, want an unknown outcome", err)
		}
		mem.SetFaults(nil)
		time.Sleep(time.Minute)
	})
}

// TestWaitInEntry guards against holding a caller whose job can't be sent in time: it is refused soon, for certain, since it
// waits in the entry and not in the store.
func TestWaitInEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, mem := newSerialStore(slowTime)
		s.appendTime = 2 * time.Second
		e := newSlowEntries(s, 1)[0]
		e.locator, e.peers = noOwner{}, nil
		answers := loadAll(t.Context(), []*entry{e}, 0, 2, 100*time.Millisecond)
		if a := answers[1]; answers[0].err != nil || !errors.Is(a.err, ErrNotAccepted) || a.took != store.MaxWait {
			t.Errorf("%v, then %v after %s; want a job accepted and one refused after %s", answers[0].err, a.err, a.took, store.MaxWait)
		}
		s.settle()
		checkTruth(t, &entry{mem: mem}, answers)
	})
}

// TestNoCopiesWhileStoreAnswers guards against copies of an append by other ways while the store is slow: they make its queue
// longer.
func TestNoCopiesWhileStoreAnswers(t *testing.T) {
	for _, c := range []struct {
		readTime time.Duration
		// appends is how many there are: reads that take longer than relayDelay let one go through the owner.
		appends int
	}{{64 * time.Millisecond, 1}, {slowTime, 2}} {
		t.Run(c.readTime.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, _ := newSerialStore(c.readTime)
				s.appendTime = time.Second
				if a := newSlowEntries(s, 1)[0].submit(t.Context(), "00000000000000aa"); a.err != nil || a.took != time.Second {
					t.Errorf("%v after %s", a.err, a.took)
				}
				if appends, _ := s.counts(); appends != c.appends {
					t.Errorf("%d appends of one job, want %d", appends, c.appends)
				}
				s.settle()
			})
		})
	}
}

// TestUnknownOfAnsweringStore guards against refusing other jobs, and against storing one twice, after an append without an
// answer while the store answers reads.
func TestUnknownOfAnsweringStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := memstore.New()
		in := New(mem, &nodes{mem: mem}, noOwner{}, nil, tally.NoopScope, logs.Discard())
		mem.SetFaults(func(call, _ string) memstore.Fault { return memstore.Fault{Hang: call == "append"} })
		const id = "00000000000000aa"
		if err := submitFor(in, id, callerPatience); !errors.Is(err, ErrUnknown) {
			t.Errorf("%v, want an unknown outcome", err)
		}
		mem.SetFaults(nil)
		if err := submitFor(in, "00000000000000bb", callerPatience); err != nil || !in.Available() {
			t.Errorf("another job: %v, available %v", err, in.Available())
		}
		if err := submitFor(in, id, callerPatience); err != nil {
			t.Errorf("the same job again: %v", err)
		}
		time.Sleep(time.Minute)
		if snap, err := mem.Newest(t.Context(), store.TopicJobs); err != nil || snap.End != 2 {
			t.Errorf("%d records of two jobs, %v", snap.End, err)
		}
	})
}

// countingNodes is a Client that counts relayed appends.
type countingNodes struct {
	*slowNodes
	relays atomic.Int32
}

func (n *countingNodes) Relay(ctx context.Context, addr string, records []store.Record) error {
	n.relays.Add(1)
	return n.slowNodes.Relay(ctx, addr, records)
}

// TestSlowStoreFewRelays guards against a call to the owner for each job of a burst while the store is slow.
func TestSlowStoreFewRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newSerialStore(slowTime)
		e := newSlowEntries(s, 1)[0]
		n := &countingNodes{slowNodes: e.client.(*slowNodes)}
		e.client = n
		for _, a := range loadAll(t.Context(), []*entry{e}, 0, 500, 10*time.Millisecond) {
			if a.err != nil {
				t.Errorf("job %s: %v", a.id, a.err)
			}
		}
		if most := 5*time.Second/relayInterval + 1; n.relays.Load() > int32(most) {
			t.Errorf("%d relays in five seconds, want at most %d", n.relays.Load(), most)
		}
		s.settle()
	})
}
