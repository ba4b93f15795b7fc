package guard

import (
	"context"
	"errors"
	"time"

	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/metrics"
	"github.com/crocusspring/crocusspring/internal/pause"
)

// sendDueCommands sends the stop and pace commands that are due. The caller holds the lock.
func (g *Guard) sendDueCommands() {
	if g.ctx.Err() != nil {
		// Each would fail at once and be due again.
		return
	}
	for _, o := range g.core.DueStops() {
		g.commands.Go(func() { g.stop(o) })
	}
	for ref, percent := range g.core.DuePaceChanges() {
		o := g.core.CommandFor(ref)
		g.commands.Go(func() { g.setPace(o, percent) })
	}
}

// callWorker runs f with a context that bounds one call to the worker.
func (g *Guard) callWorker(limit time.Duration, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(g.ctx, limit)
	defer cancel()
	return f(ctx)
}

// command is callWorker for a command; only MaxCommands of them are in progress. Hundreds at once would each be late and be
// repeated, on connections of their own, so that a worker that is short of processor time never caught up.
func (g *Guard) command(limit time.Duration, f func(context.Context) error) error {
	select {
	case g.slots <- struct{}{}:
	case <-g.ctx.Done():
		return g.ctx.Err()
	}
	defer func() { <-g.slots }()
	return g.callWorker(limit, f)
}

// start sends a start command and records its outcome.
func (g *Guard) start(o Command) {
	began := time.Now()
	err := g.command(callTimeout, func(ctx context.Context) error { return g.exec.Start(ctx, o) })
	refused, reason := refusal(err)
	g.scope.Tagged(map[string]string{"outcome": startOutcome(err, refused)}).
		Histogram("start_seconds", metrics.Seconds()).RecordValue(time.Since(began).Seconds())
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.StartAnswered(o.Start.RunRef, err, refused, reason)
	if err != nil {
		g.log.Warn(event.StartNotDone, "task", o.Start.Task.String(), "run", o.Start.Run, "refused", refused, "err", err)
	}
	g.sendDueAndProbe()
	if refused {
		signal(g.changed)
	}
}

// startOutcome returns the metric label for the outcome of a start command.
func startOutcome(err error, refused bool) string {
	switch {
	case err == nil:
		return "started"
	case refused:
		return "refused"
	}
	return "unanswered"
}

// refusal reports whether an error means that the worker has not executed the command, and why.
func refusal(err error) (bool, string) {
	var refused *RefusedError
	switch {
	case errors.As(err, &refused):
		return true, refused.Reason
	case errors.Is(err, ErrOtherIncarnation):
		return true, "other life"
	}
	return false, ""
}

// stop sends a stop command; after an error the run's stop becomes due again after retryPause.
func (g *Guard) stop(o Command) {
	limit := callTimeout
	if o.Slow {
		limit = slowCallTimeout
	}
	err := g.command(limit, func(ctx context.Context) error { return g.exec.Stop(ctx, o) })
	if refused, _ := refusal(err); err != nil && (!refused || g.ctx.Err() == nil) {
		g.log.Debug("stop not answered", "task", o.Start.Task.String(), "run", o.Start.Run, "err", err)
		pause.For(g.ctx, retryPause)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.StopAnswered(o.Start.RunRef, err)
	g.sendDueAndProbe()
}

// sendDueAndProbe sends the commands that are due, and polls at once when runs are in doubt: the poll in progress may
// have started too early to determine their state. The caller holds the lock.
func (g *Guard) sendDueAndProbe() {
	g.sendDueCommands()
	if !g.probing && g.core.InDoubt() {
		g.probing = true
		g.commands.Go(g.probe)
	}
}

// probe polls the worker without waiting for a run to end.
func (g *Guard) probe() {
	g.mu.Lock()
	q, ok := g.core.NextPoll(g.clock(), 0)
	resolvable := g.core.Resolvable()
	g.mu.Unlock()
	var l Listing
	var err error
	if ok {
		err = g.callWorker(callTimeout, func(ctx context.Context) (err error) {
			l, err = g.exec.Poll(ctx, q)
			return err
		})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.probing = false
	if !ok || err != nil {
		// The polling loop resolves the runs in doubt.
		g.log.Debug("no answer about runs in doubt", "err", err)
		return
	}
	l.Token = q.Token
	g.observe(resolvable, l)
	if l.EndsCut {
		// Another probe would show no more. The polling loop goes on once ends are acknowledged.
		g.sendDueCommands()
	} else {
		g.sendDueAndProbe()
	}
	signal(g.changed)
}

// setPace sends the command to change a filler's pace, and records its outcome.
func (g *Guard) setPace(o Command, percent int) {
	err := g.command(callTimeout, func(ctx context.Context) error { return g.exec.Pace(ctx, o, percent) })
	if err != nil {
		g.log.Debug("pace not changed", "task", o.Start.Task.String(), "err", err)
		pause.For(g.ctx, retryPause)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.PaceAnswered(o.Start.RunRef, percent, err)
	g.sendDueCommands()
}
