package guard

import (
	"context"
	"errors"
	"time"

	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/metrics"
	"github.com/crocusspring/crocusspring/internal/pause"
)

// act gives the orders that are due. The caller holds the lock.
func (g *Guard) act() {
	for _, o := range g.core.Stops() {
		g.tasks.Go(func() { g.stop(o) })
	}
	for ref, percent := range g.core.Paces() {
		o := g.core.OrderFor(ref)
		g.tasks.Go(func() { g.setPace(o, percent) })
	}
}

// call bounds one order.
func (g *Guard) call(f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(g.ctx, callTimeout)
	defer cancel()
	return f(ctx)
}

// start gives the order to start.
func (g *Guard) start(o Order) {
	began := time.Now()
	err := g.call(func(ctx context.Context) error { return g.exec.Start(ctx, o) })
	refused, reason := refusal(err)
	g.scope.Tagged(map[string]string{"outcome": startOutcome(err, refused)}).
		Histogram("start_seconds", metrics.Seconds()).RecordValue(time.Since(began).Seconds())
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.Began(o.Start.RunRef, err, refused, reason)
	if err != nil {
		g.log.Warn(event.StartNotDone, "task", o.Start.Task.String(), "run", o.Start.Run, "refused", refused, "err", err)
	}
	g.settle()
	if refused {
		signal(g.changed)
	}
}

// startOutcome names what became of an order to start.
func startOutcome(err error, refused bool) string {
	switch {
	case err == nil:
		return "started"
	case refused:
		return "refused"
	}
	return "unanswered"
}

// refusal reports whether an error says that the worker has done nothing, and why.
func refusal(err error) (bool, string) {
	var refused *RefusedError
	switch {
	case errors.As(err, &refused):
		return true, refused.Reason
	case errors.Is(err, ErrOtherLife):
		return true, "other life"
	}
	return false, ""
}

// stop gives the order to stop, and again until it is answered.
func (g *Guard) stop(o Order) {
	err := g.call(func(ctx context.Context) error { return g.exec.Stop(ctx, o) })
	if refused, _ := refusal(err); err != nil && (!refused || g.ctx.Err() == nil) {
		g.log.Debug("stop not answered", "task", o.Start.Task.String(), "run", o.Start.Run, "err", err)
		pause.For(g.ctx, retryPause)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.Halted(o.Start.RunRef, err)
	g.settle()
}

// settle gives the orders that are due, and asks at once about runs that are in doubt: the look that is
// under way may have begun too early to tell about them. The caller holds the lock.
func (g *Guard) settle() {
	g.act()
	if !g.probing && g.core.InDoubt() {
		g.probing = true
		g.tasks.Go(g.probe)
	}
}

// probe asks the worker what it runs, without waiting for an end.
func (g *Guard) probe() {
	g.mu.Lock()
	q, ok := g.core.Looking(g.clock(), 0)
	settled := g.core.Settled()
	g.mu.Unlock()
	var l Listing
	var err error
	if ok {
		err = g.call(func(ctx context.Context) (err error) {
			l, err = g.exec.Look(ctx, q)
			return err
		})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.probing = false
	if !ok || err != nil {
		// The loop of looks settles it.
		g.log.Debug("no answer about runs in doubt", "err", err)
		return
	}
	g.core.Listed(g.clock(), settled, l)
	g.settle()
	signal(g.changed)
}

// setPace gives the order to change a filler's pace.
func (g *Guard) setPace(o Order, percent int) {
	err := g.call(func(ctx context.Context) error { return g.exec.Pace(ctx, o, percent) })
	if err != nil {
		g.log.Debug("pace not changed", "task", o.Start.Task.String(), "err", err)
		pause.For(g.ctx, retryPause)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.Paced(o.Start.RunRef, percent, err)
	g.act()
}
