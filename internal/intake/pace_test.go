package intake

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/crocusspring/crocusspring/internal/logs"
	"github.com/crocusspring/crocusspring/internal/store"
	"github.com/crocusspring/crocusspring/internal/store/memstore"
)

// serialStore carries appends out one after the other, and refuses them when the queue is too long.
type serialStore struct {
	store.Store
	// appendTime is how long an append takes, readTime a read.
	appendTime, readTime time.Duration
	mu                   sync.Mutex
	freeAt               time.Time
	appends              int
}

// maxQueue is how long the queue of a serialStore may be.
const maxQueue = 2 * time.Second

// Append implements store.Store. Like a real store it carries an append out also when its caller has given up.
func (s *serialStore) Append(ctx context.Context, topic string, at store.Offset, records []store.Record) (store.Offset, error) {
	s.mu.Lock()
	now := time.Now()
	if s.freeAt.Before(now) {
		s.freeAt = now
	}
	if s.freeAt.Sub(now) > maxQueue {
		s.mu.Unlock()
		return 0, fmt.Errorf("%w: the queue is full", store.ErrRefused)
	}
	s.appends++
	s.freeAt = s.freeAt.Add(s.appendTime)
	wait := s.freeAt.Sub(now)
	s.mu.Unlock()
	first, err := s.Store.Append(context.WithoutCancel(ctx), topic, at, records)
	select {
	case <-time.After(wait):
		return first, err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// Newest implements store.Store.
func (s *serialStore) Newest(ctx context.Context, topic string) (store.Snapshot, error) {
	select {
	case <-time.After(s.readTime):
		return s.Store.Newest(ctx, topic)
	case <-ctx.Done():
		return store.Snapshot{}, ctx.Err()
	}
}

// groupingNodes is a Client whose nodes append for all entries together, as owners do.
type groupingNodes struct {
	nodes
	store  store.Store
	groups map[string]*store.Group
}

func (n *groupingNodes) CheckStore(ctx context.Context, _ string) error {
	return store.Check(ctx, n.store)
}

func (n *groupingNodes) Relay(ctx context.Context, addr string, records []store.Record) error {
	return n.groups[addr].Append(ctx, records)
}

// relayWait is how long relayed jobs wait for the append before theirs.
const relayWait = 800 * time.Millisecond

// newSlowEntries returns entries on a slow store, with an owner and other nodes to relay through.
func newSlowEntries(s store.Store, n int) []*entry {
	relays := &groupingNodes{store: s, groups: map[string]*store.Group{}}
	for _, addr := range []string{"owner", "peer-1", "peer-2"} {
		relays.groups[addr] = store.NewGroup(s, store.TopicJobs, slowTimeout, relayWait)
	}
	var out []*entry
	for range n {
		out = append(out, &entry{Intake: New(s, relays, relays, relays, tally.NoopScope, logs.Discard())})
	}
	return out
}

// TestSlowStoreUnderLoad answers for the pattern "the store takes 64 times as long for some seconds while nine entries
// are under load": appends are carried out one after the other, so that one at a time from each entry, and copies of
// them through other nodes, exceed what the store does. Once the store is known to be slow, jobs must be accepted
// within the time in which callers wait.
func TestSlowStoreUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &serialStore{Store: memstore.New(), appendTime: 256 * time.Millisecond, readTime: 256 * time.Millisecond}
		entries := newSlowEntries(s, 9)
		var mu sync.Mutex
		accepted, late, refused := 0, 0, 0
		// The first appends of all entries fill the store's queue. Jobs that come meanwhile may be refused, until the
		// owner's append that waits behind it is answered: the queue, two appends, and the longest wait for the owner.
		learning := maxQueue + 2*s.appendTime + relayWait
		began := time.Now()
		var wg sync.WaitGroup
		for i := range 160 {
			wg.Go(func() {
				a := entries[i%len(entries)].submit(t.Context(), fmt.Sprintf("%016x", i))
				mu.Lock()
				defer mu.Unlock()
				switch {
				case a.began.Sub(began) < learning:
				case a.err != nil:
					refused++
				case a.took > slowTimeout:
					late++
				default:
					accepted++
				}
			})
			time.Sleep(50 * time.Millisecond)
		}
		wg.Wait()
		if refused > 0 || late > 0 {
			t.Errorf("%d accepted, %d late, %d refused after the store was known to be slow", accepted, late, refused)
		}
		t.Logf("%d appends for 160 jobs", s.appends)
		time.Sleep(10 * time.Second)
	})
}

// TestSlowStoreRecovers checks that entries call the store directly again after it has become fast.
func TestSlowStoreRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &serialStore{Store: memstore.New(), appendTime: 256 * time.Millisecond}
		e := newSlowEntries(s, 1)[0]
		for i := range 5 {
			e.submit(t.Context(), fmt.Sprintf("%016x", i))
		}
		if !e.pace.slow(time.Now()) {
			t.Error("the store doesn't count as slow")
		}
		s.appendTime = 4 * time.Millisecond
		time.Sleep(slowMemory)
		if a := e.submit(t.Context(), "00000000000000ff"); a.err != nil || a.took > 4*time.Millisecond || e.pace.slow(time.Now()) {
			t.Errorf("after recovery: %v after %s", a.err, a.took)
		}
		time.Sleep(10 * time.Second)
	})
}
