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

// listingCore returns a core with runs in each phase that a listing can resolve: 1 is listed, 2 has a start without an
// answer, the stop of 3 has been answered.
func listingCore(t *testing.T) *Core {
	t.Helper()
	c := newTestCore(t)
	for i := 1; i <= 3; i++ {
		if _, ok := c.BeginStart(1000, start(i, 1)); !ok {
			t.Fatalf("start of run %d is refused", i)
		}
	}
	c.StartAnswered(ref(1, 1), nil, false, "")
	c.StartAnswered(ref(2, 1), context.DeadlineExceeded, false, "")
	c.StartAnswered(ref(3, 1), nil, false, "")
	c.RequestStop(ref(3, 1))
	c.DueStops()
	c.StopAnswered(ref(3, 1), nil)
	return c
}

// TestCutListingProvesNoAbsence guards against reporting a run as absent that has ended: its end wasn't among those that the
// worker lists at a time, and the owner started its task again.
func TestCutListingProvesNoAbsence(t *testing.T) {
	c := listingCore(t)
	c.ObserveListing(1100, c.Resolvable(), Listing{Incarnation: "life-1", ClockMS: 50_100, EndsCut: true})
	if absent := c.Report(1100, nil, false).Ended; len(absent) > 0 || len(c.TakeVanished()) > 0 || len(c.DueStops()) > 0 {
		t.Errorf("absent %v after a listing that was cut short, want nothing to be concluded from it", absent)
	}
	// A complete listing resolves them.
	c.ObserveListing(1200, c.Resolvable(), Listing{
		Incarnation: "life-1", ClockMS: 50_200, Ended: []link.RunEnd{{Number: 501, RunRef: ref(3, 1), Outcome: link.Done}},
	})
	if absent := c.Report(1200, nil, false).Ended; len(absent) > 0 {
		t.Errorf("absent %v although the only run in doubt has ended", absent)
	}
	if vanished := c.TakeVanished(); len(vanished) != 1 || vanished[0] != ref(1, 1) {
		t.Errorf("vanished %v, want the run that was listed before", vanished)
	}
	if stops := c.DueStops(); len(stops) != 1 || stops[0].Start.RunRef != ref(2, 1) {
		t.Errorf("stops %v, want the one whose start wasn't answered", stops)
	}
}

// TestRebornSettlesWithCutListings guards against a guard that never reports again: after a rebirth it reports nothing until
// the runs of the earlier incarnation have settled, so that no end is acknowledged and each listing stays cut.
func TestRebornSettlesWithCutListings(t *testing.T) {
	c := newRebornCore(t)
	cut := Listing{Incarnation: "w@20", ClockMS: 10, EndsCut: true}
	observe(c, 2000, cut)
	if !c.Settling() {
		t.Fatal("no run of the earlier incarnation is in doubt")
	}
	for _, o := range c.DueStops() {
		c.StopAnswered(o.Start.RunRef, nil)
	}
	for ref, r := range c.runs {
		if r.commandPending {
			c.StartAnswered(ref, context.DeadlineExceeded, false, "")
		}
	}
	for _, o := range c.DueStops() {
		c.StopAnswered(o.Start.RunRef, nil)
	}
	observe(c, 2100, cut)
	if c.Settling() {
		t.Error("still settling after all stops were answered")
	}
}

// busyWorker is a worker whose listings are always cut and which never answers a start.
type busyWorker struct {
	Executor
	polls atomic.Int64
}

// Poll implements Executor.
func (w *busyWorker) Poll(ctx context.Context, q Poll) (Listing, error) {
	w.polls.Add(1)
	time.Sleep(time.Millisecond)
	if ctx.Err() != nil {
		return Listing{}, ctx.Err()
	}
	return Listing{Incarnation: q.Incarnation, ClockMS: 1, Ended: []link.RunEnd{{Number: 1, RunRef: ref(9, 1), Outcome: link.Done}}, EndsCut: true}, nil
}

// Start implements Executor.
func (w *busyWorker) Start(ctx context.Context, _ Command) error {
	<-ctx.Done()
	return ctx.Err()
}

// noOwner is a cell without an owner.
type noOwner struct{}

// OwnerAddr implements OwnerLocator.
func (noOwner) OwnerAddr() string { return "" }

// runGuard runs the guard of a worker without an owner for three seconds, and returns it after the first; ended waits for its
// end.
func runGuard(t *testing.T, exec Executor) (g *Guard, ended func()) {
	t.Helper()
	began := time.Now()
	clock := func() int64 { return 1000 + time.Since(began).Milliseconds() }
	g = New(Options{Node: "n", RunLease: 4 * time.Second, MaxLease: 6 * time.Second}, exec, noOwner{}, clock, tally.NoopScope, logs.Discard())
	g.Describe(worker("life-1"), 0)
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	done := make(chan error)
	go func() { done <- g.Run(ctx) }()
	time.Sleep(time.Second)
	return g, func() {
		<-done
		cancel()
	}
}

// TestRunInDoubtDoesNotSpin guards against a guard that polls without a pause: a run in doubt asks for a listing at once, and
// one that is cut leaves it in doubt.
func TestRunInDoubtDoesNotSpin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &busyWorker{}
		g, ended := runGuard(t, w)
		if err := g.handle(link.OwnerMessage{Epoch: 1, EchoMS: g.clock(), Worker: "life-1", Start: []link.Start{start(1, 1)}}); err != nil {
			t.Fatal(err)
		}
		before := w.polls.Load()
		time.Sleep(time.Second)
		if n := w.polls.Load() - before; n > 30 {
			t.Errorf("%d polls in a second, want about 20", n)
		}
		ended()
	})
}
