package intake

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/logs"
	"github.com/crocusspring/crocusspring/internal/pause"
	"github.com/crocusspring/crocusspring/internal/resource"
	"github.com/crocusspring/crocusspring/internal/sched"
	"github.com/crocusspring/crocusspring/internal/store"
	"github.com/crocusspring/crocusspring/internal/store/memstore"
)

// callerPatience is how long the callers of these tests wait for an answer.
const callerPatience = 3 * time.Second

// nodes is a Client that relays to a store through nodes, each of which may be turned away by it.
type nodes struct {
	mem *memstore.Store
	mu  sync.Mutex
	// away are the addresses that the store turns away.
	away map[string]bool
	// room is the memory that a limited owner has for jobs, in bytes; roomErr is the error of the call for it, roomAsked counts
	// these calls.
	room      int64
	limited   bool
	roomErr   error
	roomAsked int
}

// reach returns an error if a node can't reach the store.
func (n *nodes) reach(addr string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.away[addr] {
		return store.ErrRefused
	}
	return nil
}

// set sets which nodes are turned away.
func (n *nodes) set(addrs ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.away = map[string]bool{}
	for _, a := range addrs {
		n.away[a] = true
	}
}

func (n *nodes) Relay(ctx context.Context, addr string, records []store.Record) error {
	if err := n.reach(addr); err != nil {
		return err
	}
	_, err := n.mem.Append(ctx, "relayed", store.AnyOffset, records)
	return err
}

func (n *nodes) CheckStore(_ context.Context, addr string) error { return n.reach(addr) }

func (n *nodes) Job(context.Context, string, string) (sched.View, bool, error) {
	return sched.View{}, false, errors.New("not served")
}

func (n *nodes) ConfirmedJob(context.Context, string, string) (sched.View, bool, error) {
	return sched.View{}, false, errors.New("not served")
}

func (n *nodes) Explain(context.Context, string, string) (sched.View, bool, error) {
	return sched.View{}, false, errors.New("not served")
}

func (n *nodes) Waiting(context.Context, string) (map[string]int, error) {
	return nil, errors.New("not served")
}

// Room implements Client.
func (n *nodes) Room(_ context.Context, addr string) (int64, error) {
	if err := n.reach(addr); err != nil {
		return 0, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.roomAsked++
	if !n.limited && n.roomErr == nil {
		return 0, sched.ErrNoLimit
	}
	return n.room, n.roomErr
}

// OwnerAddr implements Locator.
func (n *nodes) OwnerAddr() string { return "owner" }

// Pick implements Peers.
func (n *nodes) Pick(k int) []string { return []string{"peer-1", "peer-2"}[:k] }

// entry is an intake with a store that a follower reads as in a process.
type entry struct {
	*Intake
	mem   *memstore.Store
	nodes *nodes
}

// newEntry returns an entry whose background reads end with ctx.
func newEntry(ctx context.Context) *entry {
	e := &entry{mem: memstore.New()}
	e.nodes = &nodes{mem: e.mem}
	cautious := store.NewCautious(e.mem)
	e.Intake = New(cautious, e.nodes, e.nodes, e.nodes, tally.NoopScope, logs.Discard())
	go func() {
		for ctx.Err() == nil {
			call, cancel := context.WithTimeout(ctx, 1300*time.Millisecond)
			_, err := cautious.Read(call, store.TopicOwner, 0, 700*time.Millisecond)
			cancel()
			if err != nil {
				pause.For(ctx, 200*time.Millisecond)
			}
		}
	}()
	return e
}

// answer is what one caller learned.
type answer struct {
	id    string
	err   error
	began time.Time
	took  time.Duration
}

// submit submits one job with the patience of a caller.
func (e *entry) submit(ctx context.Context, id string) answer {
	ctx, cancel := context.WithTimeout(ctx, callerPatience)
	defer cancel()
	began := time.Now()
	err := e.Submit(ctx, &job.Spec{ID: id, Steps: []job.Step{{Count: 1, Demand: resource.Vector{MilliCPU: 100}}}})
	return answer{id, err, began, time.Since(began)}
}

// load submits n jobs at intervals and returns all answers.
func (e *entry) load(ctx context.Context, n int, interval time.Duration) []answer {
	out := make([]answer, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { out[i] = e.submit(ctx, fmt.Sprintf("%016x", i+1)) })
		time.Sleep(interval)
	}
	wg.Wait()
	return out
}

// stored returns the ids of all stored jobs.
func (e *entry) stored(t *testing.T) map[string]bool {
	t.Helper()
	out := map[string]bool{}
	for _, topic := range []string{store.TopicJobs, "relayed"} {
		snap, err := e.mem.Newest(t.Context(), topic)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range snap.Records {
			out[r.Key[len(store.PrefixJob):]] = true
		}
	}
	return out
}

// checkTruth checks that accepted jobs are stored, and refused ones are not.
func checkTruth(t *testing.T, e *entry, answers []answer) {
	t.Helper()
	stored := e.stored(t)
	for _, a := range answers {
		switch {
		case a.err == nil && !stored[a.id]:
			t.Errorf("job %s was accepted and is not stored", a.id)
		case errors.Is(a.err, ErrNotAccepted) && stored[a.id]:
			t.Errorf("job %s was refused and is stored", a.id)
		case errors.Is(a.err, ErrUnknown) && !stored[a.id]:
			t.Errorf("job %s was answered unknown and not stored later", a.id)
		}
	}
}

// TestOutageUnderLoad answers for the pattern "the store goes away for everybody for seconds while requests keep
// coming": nobody is held until the deadline, and every answer is true.
func TestOutageUnderLoad(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault memstore.Fault
		// maxUnknown is the most callers whose outcome may be unknown: those whose append was on its way.
		maxUnknown int
	}{
		{"silent", memstore.Fault{Hang: true}, 12},
		{"refusing", memstore.Fault{Refuse: true}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				e := newEntry(ctx)
				time.Sleep(time.Second)
				down := time.Now()
				e.mem.SetFaults(func(string, string) memstore.Fault { return c.fault })
				e.nodes.set("owner", "peer-1", "peer-2")
				time.AfterFunc(4600*time.Millisecond, func() {
					e.mem.SetFaults(nil)
					e.nodes.set()
				})
				answers := e.load(ctx, 400, 20*time.Millisecond)
				unknown := 0
				for _, a := range answers {
					since := a.began.Sub(down)
					if a.took > appendTimeout+10*time.Millisecond {
						t.Errorf("caller at %s was held for %s: %v", since, a.took, a.err)
					}
					if since > 2*appendTimeout && a.took > 0 {
						t.Errorf("caller at %s waited %s while the store was known to be away", since, a.took)
					}
					if since > 5300*time.Millisecond && a.err != nil {
						t.Errorf("caller at %s was refused after the store was back: %v", since, a.err)
					}
					if errors.Is(a.err, ErrUnknown) {
						unknown++
					}
				}
				if unknown > c.maxUnknown {
					t.Errorf("%d callers have an unknown outcome, at most %d may", unknown, c.maxUnknown)
				}
				checkTruth(t, e, answers)
			})
		})
	}
}

// TestTurnedAwayAlone answers for the pattern "the store turns this entry and the owner away and serves others":
// jobs are accepted through another node, without a wait for the store each time.
func TestTurnedAwayAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		e := newEntry(ctx)
		e.nodes.set("owner", "peer-1")
		e.mem.SetFaults(func(_, topic string) memstore.Fault { return memstore.Fault{Hang: topic != "relayed"} })
		answers := e.load(ctx, 50, 100*time.Millisecond)
		for i, a := range answers {
			if a.err != nil {
				t.Errorf("job %d was not accepted: %v", i, a.err)
			}
			if limit := relayDelay + 10*time.Millisecond; a.took > limit || i > 10 && a.took > 0 {
				t.Errorf("job %d was accepted after %s", i, a.took)
			}
		}
		e.mem.SetFaults(nil)
		checkTruth(t, e, answers)
	})
}

// TestRepeatOfUnknown checks that a job with an unknown outcome isn't refused when it is submitted again: the first
// append may still take effect.
func TestRepeatOfUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		e := newEntry(ctx)
		e.nodes.set("owner", "peer-1", "peer-2")
		e.mem.SetFaults(func(string, string) memstore.Fault { return memstore.Fault{Hang: true} })
		const id = "00000000000000aa"
		first, again, other := e.submit(ctx, id), e.submit(ctx, id), e.submit(ctx, "00000000000000bb")
		if !errors.Is(first.err, ErrUnknown) || !errors.Is(again.err, ErrUnknown) || !errors.Is(other.err, ErrNotAccepted) {
			t.Errorf("got %v, %v and %v; want unknown, unknown and not accepted", first.err, again.err, other.err)
		}
		if e.Available() {
			t.Error("available while no way to the store is known")
		}
		e.mem.SetFaults(nil)
		e.nodes.set()
		time.Sleep(2 * findDelay)
		if last := e.submit(ctx, id); last.err != nil || !e.Available() {
			t.Errorf("after the outage: %v, available %v", last.err, e.Available())
		}
	})
}
