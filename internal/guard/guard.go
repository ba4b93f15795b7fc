package guard

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/link"
	"github.com/crocusspring/crocusspring/internal/metrics"
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
		g.log.Warn(event.LifeOver, "worker", q.Life)
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

// links keeps a link to the owner.
func (g *Guard) links(ctx context.Context) error {
	for ctx.Err() == nil {
		addr := g.owner.OwnerAddr()
		if addr == "" {
			pause.For(ctx, retryPause)
			continue
		}
		conn, err := link.Dial(ctx, addr)
		if err == nil {
			g.log.Info(event.OwnerLinked, "owner", addr)
			err = g.serve(ctx, conn, addr)
		}
		if ctx.Err() == nil {
			g.log.Warn(event.OwnerLost, "owner", addr, "err", err)
		}
		pause.For(ctx, retryPause)
	}
	return nil
}

// serve exchanges messages until the link fails.
func (g *Guard) serve(ctx context.Context, conn *link.Conn, addr string) error {
	grp, ctx := errgroup.WithContext(ctx)
	g.mu.Lock()
	g.core.inventory = true
	g.listing, g.full = nil, false
	g.mu.Unlock()
	grp.Go(func() error {
		<-ctx.Done()
		conn.Close()
		return ctx.Err()
	})
	grp.Go(func() error { return g.receive(conn) })
	grp.Go(func() error { return g.report(ctx, conn, addr) })
	return grp.Wait()
}

// errReplaced says that the owner at the other end was replaced.
var errReplaced = errors.New("owner was replaced")

// receive takes the owner's messages.
func (g *Guard) receive(conn *link.Conn) error {
	for {
		var d link.Down
		if err := conn.Receive(&d); err != nil {
			return err
		}
		if err := g.take(d); err != nil {
			return err
		}
	}
}

// take carries one message out.
func (g *Guard) take(d link.Down) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.core.Vouch(d) {
		return errReplaced
	}
	if !g.core.Meant(d) {
		if len(d.Start) > 0 {
			g.log.Info(event.OrdersVoid, "worker", d.Worker, "starts", len(d.Start))
		}
		return nil
	}
	if d.Forget > 0 {
		signal(g.forgot)
	}
	for _, s := range d.Start {
		if o, ok := g.core.Begin(g.clock(), s); ok {
			g.tasks.Go(func() { g.start(o) })
		} else {
			signal(g.changed)
		}
	}
	for _, s := range d.Stop {
		g.core.Halt(s)
	}
	g.act()
	return nil
}

// sent is what the owner was told last on a link.
type sent struct {
	// rows is when all that runs was reported, tails the sum of the tails then, end the newest end.
	rows  time.Time
	tails float64
	end   int64
	at    time.Time
}

// report sends what has changed, and a beat when nothing has.
func (g *Guard) report(ctx context.Context, conn *link.Conn, addr string) error {
	if err := conn.Send(link.Up{Node: g.node, ClockMS: g.clock(), Pace: fullPace}); err != nil {
		return err
	}
	complete := false
	last := sent{at: time.Now()}
	for ctx.Err() == nil {
		g.wait(ctx, g.changed, link.Beat)
		if g.owner.OwnerAddr() != addr {
			return errReplaced
		}
		g.mu.Lock()
		up, news := g.next(&complete, &last)
		g.mu.Unlock()
		if !news && time.Since(last.at) < link.Beat {
			continue
		}
		last.at = time.Now()
		if err := conn.Send(up); err != nil {
			return err
		}
		pause.For(ctx, reportGap)
	}
	return ctx.Err()
}

// next returns the next message and whether it says anything new. The caller holds the lock.
func (g *Guard) next(complete *bool, last *sent) (link.Up, bool) {
	switch {
	case *complete && !g.core.inventory:
		up := g.core.Report(g.clock(), g.listing, false)
		g.listing = nil
		return up, last.trim(&up, g.core.Tails())
	case g.full && g.listing != nil:
		up := g.core.Report(g.clock(), g.listing, true)
		g.core.inventory, g.listing, *complete = false, nil, true
		*last = sent{}
		last.trim(&up, g.core.Tails())
		return up, true
	}
	return link.Up{ClockMS: g.clock(), Pace: fullPace}, false
}

// trim takes out of a message what the owner was told before on this link; it reports whether anything
// is left that is news.
func (l *sent) trim(up *link.Up, tails float64) bool {
	up.Ended = slices.DeleteFunc(slices.Clone(up.Ended), func(e link.RunEnd) bool { return e.N > 0 && e.N <= l.end })
	for _, e := range up.Ended {
		l.end = max(l.end, e.N)
	}
	switch {
	case !up.Reported:
	case tails == l.tails && time.Since(l.rows) < rowsEvery:
		up.Reported, up.Running = false, nil
	default:
		l.rows, l.tails = time.Now(), tails
	}
	return up.Reported || up.Worker != nil || len(up.Ended) > 0 || len(up.Over) > 0
}
