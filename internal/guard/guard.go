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
	// lookWait is how long a look waits for a run to end; authority is renewed at each.
	lookWait = 250 * time.Millisecond
	// callTimeout bounds one order to the worker, and a look beyond its wait; the worker is on this
	// machine and answers within some milliseconds.
	callTimeout = 200 * time.Millisecond
	// slowCallTimeout bounds looks after one that failed, for a machine that is short of processor time.
	slowCallTimeout = 500 * time.Millisecond
	// unforgottenPause is the time between looks while the worker lists ends that the owner has not
	// stored, since such looks don't wait.
	unforgottenPause = 50 * time.Millisecond
	// rowsEvery is the time between two reports of all that runs while no tail changes; ends and tails are
	// reported at once.
	rowsEvery = 400 * time.Millisecond
	// reportGap is the shortest time between two messages to the owner.
	reportGap = 10 * time.Millisecond
	// retryPause is the time after a failed look, order or connection.
	retryPause = 150 * time.Millisecond
	// muteAfter is how many looks must fail in a row before the worker counts as not answering.
	muteAfter = 2
)

// Owner tells where the owner of the cell serves; empty while it isn't known.
type Owner interface{ OwnerAddr() string }

// Guard drives a core. Use New to make one.
type Guard struct {
	exec  Executor
	owner Owner
	// clock reads milliseconds of a clock that counts while the machine is suspended.
	clock func() int64
	scope tally.Scope
	log   *log.Logger

	mu      sync.Mutex
	core    *Core
	listing *Listing
	full    bool // listing was asked for under the owner's epoch
	// probing says that a look about runs in doubt is under way.
	probing bool
	changed chan struct{}
	forgot  chan struct{}
	heard   chan struct{}
	tasks   sync.WaitGroup
	ctx     context.Context
	node    string
}

// New returns a guard.
func New(opt Options, exec Executor, owner Owner, clock func() int64, scope tally.Scope, l *log.Logger) *Guard {
	return &Guard{
		exec: exec, owner: owner, clock: clock, scope: scope, log: l, core: NewCore(opt), node: opt.Node,
		changed: make(chan struct{}, 1), forgot: make(chan struct{}, 1),
		heard: make(chan struct{}, 1),
	}
}

// Describe takes the worker's announcement of itself.
func (g *Guard) Describe(w link.Worker) {
	g.mu.Lock()
	draining := g.core.Draining()
	g.core.Describe(w)
	now := g.core.Draining()
	g.mu.Unlock()
	if now && !draining {
		g.log.Info(event.WorkerDrains, "worker", w.ID, "remaining_ms", w.RemainingMS)
	}
	signal(g.changed)
	signal(g.heard)
}

// Run serves until the context ends.
func (g *Guard) Run(ctx context.Context) error {
	grp, ctx := errgroup.WithContext(ctx)
	g.ctx = ctx
	grp.Go(func() error { return g.look(ctx) })
	grp.Go(func() error { return g.links(ctx) })
	err := grp.Wait()
	g.tasks.Wait()
	return err
}

// signal wakes a loop without waiting for it.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// look asks the worker again and again what it runs.
func (g *Guard) look(ctx context.Context) error {
	failed := 0
	for ctx.Err() == nil {
		g.mu.Lock()
		q, ok := g.core.Looking(g.clock(), lookWait)
		settled := g.core.Settled()
		g.mu.Unlock()
		if !ok {
			g.wait(ctx, g.heard, lookWait)
			continue
		}
		limit := callTimeout
		if failed > 0 {
			limit = slowCallTimeout
		}
		call, cancel := context.WithTimeout(ctx, lookWait+limit)
		l, err := g.exec.Look(call, q)
		cancel()
		if err != nil {
			failed++
			g.lookFailed(q, failed, err)
			if !errors.Is(err, context.DeadlineExceeded) {
				pause.For(ctx, retryPause)
			}
			continue
		}
		if failed >= muteAfter {
			g.log.Info(event.WorkerRegained, "worker", l.Life, "failed_looks", failed)
		}
		failed = 0
		if g.listed(q, settled, l) {
			g.wait(ctx, g.forgot, unforgottenPause)
		}
	}
	return nil
}

// lookFailed notes a look without an answer.
func (g *Guard) lookFailed(q Look, failed int, err error) {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return
	}
	if errors.Is(err, ErrOtherLife) {
		g.log.Warn(event.IncarnationEnded, "worker", q.Life)
		g.mu.Lock()
		g.core.OtherLife(q.Life)
		g.mu.Unlock()
		signal(g.changed)
		return
	}
	if failed == muteAfter {
		g.log.Warn(event.WorkerLost, "failed_looks", failed, "err", err)
	}
	if failed >= muteAfter {
		g.mu.Lock()
		g.core.Silent()
		g.mu.Unlock()
	}
}

// listed takes an answer; it reports whether ends are listed that are not stored yet.
func (g *Guard) listed(q Look, settled map[link.RunRef]bool, l Listing) bool {
	g.mu.Lock()
	g.core.Listed(g.clock(), settled, l)
	g.scope.Gauge("filler_pace_percent").Update(float64(g.core.Pace()))
	g.listing, g.full = &l, q.Token == g.core.Epoch() && q.Token > 0
	g.act()
	pending := len(l.Ended) > 0
	g.mu.Unlock()
	signal(g.changed)
	return pending
}

// wait waits for a signal or a time.
func (g *Guard) wait(ctx context.Context, ch <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ch:
	case <-t.C:
	case <-ctx.Done():
	}
}
