package store

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// MaxWait bounds the time that a record waits, before it is sent, for the append before its own. A caller that is refused
// sooner can return sooner.
const MaxWait = 800 * time.Millisecond

// maxGroup is the most records in one common append.
const maxGroup = 200

// Group appends the records of concurrent callers to a topic in common appends, one at a time: a slow store takes hardly
// longer for a large append than for a small one, and no append waits in its queue for others of the group. Use NewGroup
// to make one.
type Group struct {
	store *Pulse
	topic string
	scope tally.Scope

	mu      sync.Mutex
	pending []*groupedAppend
	// appending says that drain is running.
	appending bool
}

// groupedAppend holds the records of one caller, and the channel for the result.
type groupedAppend struct {
	records []Record
	done    chan error
}

// NewGroup returns a group for a topic.
func NewGroup(s Store, topic string, scope tally.Scope) *Group {
	return &Group{store: NewPulse(s), topic: topic, scope: scope}
}

// Append appends records of one call, within the limits of the store, and returns the result of the append that they were
// part of. The error is ErrBusy when they would wait for longer than MaxWait; then they are not sent. When the context
// ends first, it is an ErrRefused only if they were not sent.
func (g *Group) Append(ctx context.Context, records []Record) error {
	a := &groupedAppend{records: records, done: make(chan error, 1)}
	g.add(a)
	wait := time.NewTimer(MaxWait)
	defer wait.Stop()
	for {
		select {
		case err := <-a.done:
			return g.count(a, err)
		case <-wait.C:
			if g.withdraw(a) {
				return g.count(a, ErrBusy)
			}
		case <-ctx.Done():
			if g.withdraw(a) {
				return g.count(a, fmt.Errorf("%w: %w", ErrRefused, ctx.Err()))
			}
			return g.count(a, ctx.Err())
		}
	}
}

// count counts the records of a caller by their outcome, and returns it.
func (g *Group) count(a *groupedAppend, err error) error {
	label := outcomeLabel(err)
	if errors.Is(err, ErrBusy) {
		label = "busy"
	}
	g.scope.Tagged(map[string]string{"outcome": label}).Counter("grouped_records").Inc(int64(len(a.records)))
	return err
}

// add adds a caller's records to the next append.
func (g *Group) add(a *groupedAppend) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pending = append(g.pending, a)
	if !g.appending {
		g.appending = true
		go g.drain()
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
	g.pending = slices.Delete(g.pending, i, i+1)
	return true
}

// drain appends what is pending until nothing is left.
func (g *Group) drain() {
	for {
		batch := g.next()
		if len(batch) == 0 {
			return
		}
		g.write(batch)
	}
}

// next takes the callers of the next common append.
func (g *Group) next() []*groupedAppend {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	var records []Record
	for n < len(g.pending) {
		records = append(records, g.pending[n].records...)
		if n > 0 && (len(records) > maxGroup || len(g.store.Limits().Calls(records)) > 1) {
			break
		}
		n++
	}
	batch := slices.Clone(g.pending[:n])
	g.pending = slices.Delete(g.pending, 0, n)
	g.appending = n > 0
	return batch
}

// write makes one append for some callers. When the store refuses it for what it holds, each caller gets an append of its
// own.
func (g *Group) write(batch []*groupedAppend) {
	var records []Record
	for _, a := range batch {
		records = append(records, a.records...)
	}
	_, err := g.store.Append(context.Background(), g.topic, AnyOffset, records)
	if errors.Is(err, ErrRejected) && len(batch) > 1 {
		for i := range batch {
			g.write(batch[i : i+1])
		}
		return
	}
	if errors.Is(err, ErrRefused) && !errors.Is(err, ErrRejected) {
		err = g.refusal(err)
	}
	for _, a := range batch {
		a.done <- err
	}
}

// refusal returns the error for an append that the store has refused: ErrBusy if the store answers a read, so that its
// queue is full.
func (g *Group) refusal(err error) error {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if Check(ctx, g.store) != nil {
		return err
	}
	return fmt.Errorf("%w: %w", ErrBusy, err)
}
