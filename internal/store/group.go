package store

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Group appends records of concurrent callers to a topic in common appends, one at a time: a store that takes long for
// an append takes hardly longer for a large one. Use NewGroup to make one.
type Group struct {
	store   Store
	topic   string
	timeout time.Duration
	maxWait time.Duration

	mu      sync.Mutex
	pending []*groupedAppend
	// appending says that an append is in progress.
	appending bool
}

// groupedAppend is the part of one caller.
type groupedAppend struct {
	records []Record
	done    chan error
}

// maxGroup is the most records in one common append.
const maxGroup = 200

// NewGroup returns a group for a topic; timeout bounds one append, and maxWait the time that records wait for the
// append before theirs.
func NewGroup(s Store, topic string, timeout, maxWait time.Duration) *Group {
	return &Group{store: s, topic: topic, timeout: timeout, maxWait: maxWait}
}

// ErrGaveUp means that a caller's time ended before the outcome was known; the records may still be stored.
var ErrGaveUp = errors.New("gave up before the outcome was known")

// Append appends records and returns the result of the common append they were part of. Records that would have to
// wait for longer than maxWait are withdrawn: the error is then ErrBusy. It is ErrGaveUp when the context ends
// while their append is in progress.
func (g *Group) Append(ctx context.Context, records []Record) error {
	a := &groupedAppend{records: records, done: make(chan error, 1)}
	g.mu.Lock()
	g.pending = append(g.pending, a)
	if !g.appending {
		g.appending = true
		go g.drain()
	}
	g.mu.Unlock()
	wait := time.NewTimer(g.maxWait)
	defer wait.Stop()
	for {
		select {
		case err := <-a.done:
			return err
		case <-wait.C:
			if g.withdraw(a) {
				return ErrBusy
			}
		case <-ctx.Done():
			if g.withdraw(a) {
				return fmt.Errorf("%w: %w", ErrRefused, ctx.Err())
			}
			return fmt.Errorf("%w: %w", ErrGaveUp, ctx.Err())
		}
	}
}

// withdraw removes a caller's records, and reports false if their append is in progress or over.
func (g *Group) withdraw(a *groupedAppend) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := slices.Index(g.pending, a)
	if i < 0 {
		return false
	}
	g.pending = slices.Delete(slices.Clone(g.pending), i, i+1)
	return true
}

// drain appends what is pending until nothing is left.
func (g *Group) drain() {
	for {
		batch, records := g.next()
		if len(batch) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), g.timeout)
		_, err := g.store.Append(ctx, g.topic, AnyOffset, records)
		cancel()
		for _, a := range batch {
			a.done <- err
		}
	}
}

// next takes the callers of the next common append, and all their records.
func (g *Group) next() (batch []*groupedAppend, records []Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for len(g.pending) > 0 && (len(batch) == 0 || len(records)+len(g.pending[0].records) <= maxGroup) {
		batch = append(batch, g.pending[0])
		records = append(records, g.pending[0].records...)
		g.pending = g.pending[1:]
	}
	g.appending = len(batch) > 0
	return batch, records
}
