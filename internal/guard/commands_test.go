package guard

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusspring/crocusspring/internal/link"
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
		g, ended := runGuard(t, w)
		d := link.OwnerMessage{Epoch: 1, EchoMS: g.clock(), Worker: "life-1"}
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
		ended()
	})
}
