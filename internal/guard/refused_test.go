package guard

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusspring/crocusspring/internal/link"
)

// unhealthyWorker answers the first poll and refuses all later calls, as a worker that is unhealthy does.
type unhealthyWorker struct{ polls atomic.Int64 }

// Poll implements Executor.
func (w *unhealthyWorker) Poll(context.Context, Poll) (Listing, error) {
	if w.polls.Add(1) > 1 {
		return Listing{}, &RefusedError{Reason: "status 503"}
	}
	return Listing{Incarnation: "life-1", ClockMS: 5000, Running: []link.RunStatus{{RunRef: start(1, 1).RunRef}}}, nil
}

// Start implements Executor.
func (w *unhealthyWorker) Start(context.Context, Command) error { return &RefusedError{Reason: "status 503"} }

// Stop implements Executor.
func (w *unhealthyWorker) Stop(context.Context, Command) error { return &RefusedError{Reason: "status 503"} }

// Pace implements Executor.
func (w *unhealthyWorker) Pace(context.Context, Command, int) error { return &RefusedError{Reason: "status 503"} }

// TestRefusedPollsAreReported guards against tasks that wait for good for runs on a worker which refuses every poll: their lease
// lapses, as only a poll renews it, and the owner must learn that nothing is known of them.
func TestRefusedPollsAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, ended := runGuard(t, &unhealthyWorker{})
		time.Sleep(time.Second)
		g.mu.Lock()
		if up := g.core.Report(g.clock(), nil, false); !up.Unresponsive {
			t.Errorf("the report %+v doesn't say that the worker hasn't answered a poll for two seconds", up)
		}
		g.mu.Unlock()
		ended()
	})
}
