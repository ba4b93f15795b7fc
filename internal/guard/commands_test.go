package guard

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/crocusspring/crocusspring/internal/link"
	"github.com/crocusspring/crocusspring/internal/logs"
)

// slowWorker answers a start after a while, and counts the starts in progress.
type slowWorker struct {
	Executor
	now, most, started atomic.Int64
}

// Poll implements Executor.
func (w *slowWorker) Poll(ctx context.Context, q Poll) (Listing, error) {
	select {
	case <-time.After(100 * time.Millisecond):
	case <-ctx.Done():
	}
	return Listing{Incarnation: q.Incarnation, ClockMS: 1}, ctx.Err()
}

// Start implements Executor.
func (w *slowWorker) Start(context.Context, Command) error {
	if n := w.now.Add(1); n > w.most.Load() {
		w.most.Store(n)
	}
	time.Sleep(50 * time.Millisecond)
	w.now.Add(-1)
	w.started.Add(1)
	return nil
}

// TestCommandsInProgressAreBounded guards against a storm: hundreds of starts at once, each on a connection of its own, were all
// late, stopped and repeated, and a worker that was short of processor time never caught up.
func TestCommandsInProgressAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &slowWorker{}
		began := time.Now()
		clock := func() int64 { return 1000 + time.Since(began).Milliseconds() }
		g := New(Options{Node: "n", RunLease: 4 * time.Second, MaxLease: 6 * time.Second}, w, noOwner{}, clock, tally.NoopScope, logs.Discard())
		g.Describe(worker("life-1"), 0)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		done := make(chan error)
		go func() { done <- g.Run(ctx) }()
		time.Sleep(time.Second)
		d := link.OwnerMessage{Epoch: 1, EchoMS: clock(), Worker: "life-1"}
		for i := range 400 {
			d.Start = append(d.Start, start(i, 1))
		}
		if err := g.handle(d); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if w.most.Load() > MaxCommands || w.started.Load() != 400 {
			t.Errorf("%d starts at a time, %d of 400 in a second", w.most.Load(), w.started.Load())
		}
		<-done
	})
}
