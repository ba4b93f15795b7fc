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
	appends, reads       int
}

// slowTimeout is how long callers may wait for an answer of a slow store.
const slowTimeout = 2800 * time.Millisecond

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
	s.mu.Lock()
	s.reads++
	takes := s.readTime
	s.mu.Unlock()
	select {
	case <-time.After(takes):
		return s.Store.Newest(ctx, topic)
	case <-ctx.Done():
		return store.Snapshot{}, ctx.Err()
	}
}

// slowNodes is a Client whose nodes append to a slow store, each for all entries as owners do.
type slowNodes struct {
	nodes
	store  store.Store
	groups map[string]*store.Group
}

func (n *slowNodes) CheckStore(ctx context.Context, _ string) error { return store.Check(ctx, n.store) }

func (n *slowNodes) Relay(ctx context.Context, addr string, records []store.Record) error {
	return n.groups[addr].Append(ctx, records)
}

// newSlowEntries returns entries on a slow store, with an owner and other nodes to relay through.
func newSlowEntries(s store.Store, n int) []*entry {
	relays := &slowNodes{store: s, groups: map[string]*store.Group{}}
	for _, addr := range []string{"owner", "peer-1", "peer-2"} {
		relays.groups[addr] = store.NewGroup(s, store.TopicJobs, tally.NoopScope)
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
		// The first appends of all entries fill the store's queue. Jobs that come meanwhile may be refused, until one
		// that waits behind it is answered: the queue, two appends, and 0.8 s of waiting for them.
		learning := maxQueue + 2*s.appendTime + 800*time.Millisecond
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
		s.mu.Lock()
		s.appendTime, s.readTime = time.Millisecond, time.Millisecond
		s.mu.Unlock()
		time.Sleep(time.Minute)
	})
}
