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
func (w *unhealthyWorker) Start(context.Context, Command) error {
	return &RefusedError{Reason: "status 503"}
}

// Stop implements Executor.
func (w *unhealthyWorker) Stop(context.Context, Command) error {
	return &RefusedError{Reason: "status 503"}
}

// Pace implements Executor.
func (w *unhealthyWorker) Pace(context.Context, Command, int) error {
	return &RefusedError{Reason: "status 503"}
}

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

// sluggishWorker answers stops after 300 ms, longer than a command may take, and polls at once. Nothing runs on it.
type sluggishWorker struct {
	unhealthyWorker
	stops atomic.Int64
	// quick means that stops are answered at once.
	quick atomic.Bool
}

// Poll implements Executor.
func (w *sluggishWorker) Poll(ctx context.Context, q Poll) (Listing, error) {
	time.Sleep(min(q.Wait, pollWait))
	return Listing{Incarnation: "life-1", ClockMS: 5000}, nil
}

// Stop implements Executor.
func (w *sluggishWorker) Stop(ctx context.Context, _ Command) error {
	if w.stops.Add(1); w.quick.Load() || w.stops.Load() > maxStops {
		return nil
	}
	select {
	case <-time.After(300 * time.Millisecond):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// maxStops is the number of stops after which a sluggishWorker answers at once, so that no test goes on for good.
const maxStops = 1000

// stopLost lets a guard stop a run that never started on a worker.
func stopLost(t *testing.T, g *Guard) {
	t.Helper()
	if err := g.handle(link.OwnerMessage{Epoch: 1, EchoMS: g.clock(), Worker: "life-1", Stop: []link.RunRef{start(1, 1).RunRef}}); err != nil {
		t.Fatal(err)
	}
}

// TestStopsEndWithGuard guards against a guard that doesn't end on SIGTERM but sends stops without a pause: after its context has
// ended each stop fails at once and is due again.
func TestStopsEndWithGuard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &sluggishWorker{}
		g, ended := runGuard(t, w)
		stopLost(t, g)
		ended()
		if n := w.stops.Load(); n > 100 {
			t.Errorf("%d stops were sent, want a few", n)
		}
	})
}

// TestLateStopAnswersSettle guards against tasks that wait for good for a run which never started: its worker takes longer than
// callTimeout to answer a stop, each time. Polls have more time after one that failed.
func TestLateStopAnswersSettle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &sluggishWorker{}
		g, ended := runGuard(t, w)
		stopLost(t, g)
		time.Sleep(1900 * time.Millisecond)
		g.mu.Lock()
		if up := g.core.Report(g.clock(), nil, false); len(up.Ended) != 1 || up.Ended[0].Outcome != link.Absent {
			t.Errorf("reported %+v 1.9 s after the stop of a run that isn't there, want that it is absent", up.Ended)
		}
		g.mu.Unlock()
		w.quick.Store(true)
		ended()
	})
}

// TestMuteWorkerIsReportedWhileSettling guards against runs that an owner waits for although their worker has ended: its next start
// answered once, and not to the stops of what may be in it. Until they are answered the guard reports nothing but heartbeats.
func TestMuteWorkerIsReportedWhileSettling(t *testing.T) {
	c := NewCore(Options{Node: "n", RunLease: 4 * time.Second, MaxLease: 6 * time.Second})
	c.Describe(1000, worker("w@10"), 1)
	c.ObserveListing(1000, nil, Listing{Incarnation: "w@10", ClockMS: 100})
	c.ExtendLease(link.OwnerMessage{Epoch: 1, EchoMS: 1000, Worker: "w@10"})
	if _, ok := c.BeginStart(1000, start(1, 1)); !ok {
		t.Fatal("the start is refused")
	}
	c.StartAnswered(start(1, 1).RunRef, context.DeadlineExceeded, false, "")
	answer(c, 1500, "w@20")
	if !c.Settling() {
		t.Fatal("the run whose start wasn't answered isn't looked for in the next start of the worker")
	}
	c.PollFailed(2000)
	c.MarkUnresponsive()
	if up := c.Heartbeat(2500); !up.Unresponsive {
		t.Errorf("the heartbeat %+v doesn't say that the worker doesn't answer", up)
	}
}
