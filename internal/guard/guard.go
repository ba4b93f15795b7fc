package guard

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/link"
	"github.com/crocusspring/crocusspring/internal/pause"
)

const (
	// pollWait is how long the worker may hold a poll until a run ends; each poll renews the lease.
	pollWait = 250 * time.Millisecond
	// callTimeout bounds one command to the worker, and a poll beyond its wait; the worker is on this
	// machine and answers within a few milliseconds.
	callTimeout = 200 * time.Millisecond
	// slowCallTimeout replaces callTimeout for polls after a failed one, and for stops that got no answer in time, for a
	// machine that is short of processor time.
	slowCallTimeout = 500 * time.Millisecond
	// unackedPollInterval is the time between polls while the worker lists run ends that are not acknowledged,
	// since the worker answers such polls at once.
	unackedPollInterval = 50 * time.Millisecond
	// runsReportInterval is the time between two reports of all runs while no tail latency changes; run ends and
	// changed tail latencies are reported at once.
	runsReportInterval = 400 * time.Millisecond
	// minReportInterval is the shortest time between two messages to the owner.
	minReportInterval = 10 * time.Millisecond
	// retryPause is the delay after a failed poll, command or connection.
	retryPause = 150 * time.Millisecond
	// maxFailedPolls is how many consecutive polls must fail before the worker counts as unresponsive.
	maxFailedPolls = 2
)

// MaxCommands is how many commands to the worker are in progress at a time.
const MaxCommands = 32

// OwnerLocator returns the address of the owner of the cell; empty while it isn't known.
type OwnerLocator interface{ OwnerAddr() string }

// Guard does the I/O of a Core: it polls the worker, sends it commands and keeps the link to the owner. Use
// New to make one.
type Guard struct {
	exec  Executor
	owner OwnerLocator
	// clock returns milliseconds of a clock that also advances while the machine is suspended.
	clock func() int64
	scope tally.Scope
	log   *log.Logger

	mu                sync.Mutex
	core              *Core
	listing           *Listing
	listingUnderEpoch bool // the poll for listing carried the owner's epoch and the newest birth in its fencing token
	// probing reports whether a poll about runs in doubt is in progress.
	probing   bool
	changed   chan struct{}
	endsAcked chan struct{}
	announced chan struct{}
	commands  sync.WaitGroup
	slots     chan struct{} // holds an element for each command in progress
	ctx       context.Context
	node      string
}

// New returns a guard.
func New(opt Options, exec Executor, owner OwnerLocator, clock func() int64, scope tally.Scope, l *log.Logger) *Guard {
	return &Guard{
		exec: exec, owner: owner, clock: clock, scope: scope, log: l, core: NewCore(opt), node: opt.Node,
		changed: make(chan struct{}, 1), endsAcked: make(chan struct{}, 1),
		announced: make(chan struct{}, 1), slots: make(chan struct{}, MaxCommands),
	}
}

// Describe records the worker's announcement of itself.
// It may be called with delayed announcements; seq numbers those of an incarnation, or is 0.
func (g *Guard) Describe(w link.Worker, seq int64) {
	g.mu.Lock()
	draining := g.core.Draining()
	g.core.Describe(g.clock(), w, seq)
	drainingNow := g.core.Draining()
	g.mu.Unlock()
	if drainingNow && !draining {
		g.log.Info(event.WorkerDrains, "worker", w.ID, "remaining_ms", w.RemainingMS)
	}
	signal(g.changed)
	signal(g.announced)
}

// Run polls the worker and keeps the link to the owner until the context ends.
func (g *Guard) Run(ctx context.Context) error {
	grp, ctx := errgroup.WithContext(ctx)
	g.ctx = ctx
	grp.Go(func() error { return g.pollLoop(ctx) })
	grp.Go(func() error { return g.linkLoop(ctx) })
	err := grp.Wait()
	g.commands.Wait()
	return err
}

// signal wakes the receiver of a channel without blocking.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// pollLoop polls the worker until the context ends.
func (g *Guard) pollLoop(ctx context.Context) error {
	failed := 0
	for ctx.Err() == nil {
		g.mu.Lock()
		q, ok := g.core.NextPoll(g.clock(), pollWait)
		resolvable := g.core.Resolvable()
		g.mu.Unlock()
		if !ok {
			g.wait(ctx, g.announced, pollWait)
			continue
		}
		limit := callTimeout
		if failed > 0 {
			limit = slowCallTimeout
		}
		call, cancel := context.WithTimeout(ctx, pollWait+limit)
		l, err := g.exec.Poll(call, q)
		cancel()
		if err != nil {
			failed++
			g.pollFailed(q, failed, err)
			if !errors.Is(err, context.DeadlineExceeded) {
				pause.For(ctx, retryPause)
			}
			continue
		}
		if failed >= maxFailedPolls {
			g.log.Info(event.WorkerRegained, "worker", l.Incarnation, "failed_looks", failed)
		}
		failed = 0
		if g.handleListing(q, resolvable, l) {
			g.wait(ctx, g.endsAcked, unackedPollInterval)
		}
	}
	return nil
}

// pollFailed handles a poll that returned an error; failed counts consecutive ones.
func (g *Guard) pollFailed(q Poll, failed int, err error) {
	var refused *RefusedError
	if errors.As(err, &refused) && refused.Reason == ReasonFence {
		// The worker is well.
		g.fenced(q)
		return
	}
	if errors.Is(err, ErrOtherIncarnation) {
		g.log.Warn(event.IncarnationEnded, "worker", q.Incarnation)
		g.mu.Lock()
		g.core.IncarnationEnded(q.Incarnation)
		g.mu.Unlock()
		signal(g.changed)
		return
	}
	g.mu.Lock()
	g.core.PollFailed(g.clock())
	g.mu.Unlock()
	if failed == maxFailedPolls {
		g.log.Warn(event.WorkerLost, "failed_looks", failed, "err", err)
	}
	if failed >= maxFailedPolls {
		g.mu.Lock()
		g.core.MarkUnresponsive()
		g.mu.Unlock()
	}
}

// handleListing processes an answer; it reports whether it lists run ends, which are there until acknowledged.
func (g *Guard) handleListing(q Poll, resolvable map[link.RunRef]bool, l Listing) bool {
	defer signal(g.changed)
	g.mu.Lock()
	defer g.mu.Unlock()
	l.Token = q.Token
	g.observe(resolvable, l)
	g.scope.Gauge("filler_pace_percent").Update(float64(g.core.Pace()))
	g.listing, g.listingUnderEpoch = &l, g.core.UnderEpoch(q.Token)
	g.sendDueCommands()
	return len(l.Ended) > 0
}

// fenced handles the refusal of a poll since the worker has seen a higher token: of a newer owner, or of an earlier guard process.
func (g *Guard) fenced(q Poll) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.Fenced(q.Token)
	g.log.Warn(event.TokenTooLow, "worker", q.Incarnation, "token", q.Token, "next", g.core.Token())
}

// observe passes a listing to the core, and logs what is wrong with it. The caller holds the lock.
func (g *Guard) observe(resolvable map[link.RunRef]bool, l Listing) {
	before := g.core.Token()
	g.core.ObserveListing(g.clock(), resolvable, l)
	if token := g.core.Token(); token != before {
		g.log.Info(event.WorkerReborn, "worker", l.Incarnation, "running", len(l.Running), "ended", len(l.Ended), "token", token)
	}
	for _, ref := range g.core.TakeVanished() {
		g.log.Warn(event.RunVanished, "worker", l.Incarnation, "task", ref.Task.String(), "run", ref.Run)
	}
}

// wait waits for a signal, a time or the end of the context, whichever comes first.
func (g *Guard) wait(ctx context.Context, ch <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ch:
	case <-t.C:
	case <-ctx.Done():
	}
}
