package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	peerv1 "github.com/crocusspring/crocusspring/api/peer/v1"
	"github.com/crocusspring/crocusspring/internal/admit"
	"github.com/crocusspring/crocusspring/internal/announce"
	"github.com/crocusspring/crocusspring/internal/credit"
	"github.com/crocusspring/crocusspring/internal/route"
	"github.com/crocusspring/crocusspring/internal/targetapi"
)

const (
	// refreshInterval is how often the membership is checked for changes while no requests are queued. A
	// leaving target may still get work for this long from a process that has received its announcement.
	refreshInterval = 50 * time.Millisecond
	// leaseRefreshInterval is how often the targets are read if nothing but leases has changed.
	leaseRefreshInterval = 400 * time.Millisecond
	// queuedRefreshInterval replaces refreshInterval while requests are queued.
	queuedRefreshInterval = 5 * time.Millisecond
	// borrowInterval is the time between two rounds of borrowing; queuedBorrowInterval replaces it while
	// requests are queued.
	borrowInterval       = 100 * time.Millisecond
	queuedBorrowInterval = 10 * time.Millisecond
	// MaxAttempt is the longest time one attempt may take.
	MaxAttempt = 2 * time.Second
	// CreditLease is how long a loan of slots is valid.
	CreditLease = MaxAttempt + 250*time.Millisecond
	// creditMargin is added to leases by a lender, since clocks run at different rates.
	creditMargin = 100 * time.Millisecond
	// maxWaiting and maxWaitingBytes limit the queue of each service, in requests and in bytes.
	maxWaiting      = 512
	maxWaitingBytes = 16 << 20
)

// Members is the part of the membership that a dispatcher uses. Version returns a number that grows with
// every change except the renewal of a lease.
type Members interface {
	Version() uint64
	Live(announce.Role) []announce.Member
	CallBorrow(ctx context.Context, addr string, r *peerv1.BorrowRequest) (*peerv1.BorrowResponse, error)
}

// Settings are the settings of a dispatcher.
type Settings struct {
	// Self is the address of this process; Granters are those of all processes that grant slots.
	Self        string
	Granters    []string
	DataCentre  string
	Incarnation int64
}

// Reply is the final outcome of a request.
type Reply struct {
	Outcome    targetapi.Outcome
	Answer     targetapi.Answer
	Reason     string
	RetryAfter time.Duration
}

// Dispatcher runs a Core: it supplies the time, calls targets and borrows slots. Use New to create one.
type Dispatcher struct {
	members Members
	caller  targetapi.Caller
	lg      *log.Logger

	mu             sync.Mutex
	core           *Core
	credits        *credit.Book
	pending        map[string]*pending
	membersVersion uint64
	refreshedAt    time.Time
	// attempts counts attempts that may be running at a target, including those whose caller already
	// has its outcome.
	attempts sync.WaitGroup
	// runCtx ends when Run returns; then no attempt is started any more and open calls are cancelled.
	runCtx    context.Context
	cancelRun context.CancelFunc
	borrowNow chan struct{}
	// minProbeDelay is the shortest time after which an attempt is probed.
	minProbeDelay time.Duration
	// borrowing holds the lenders to which a request is in progress.
	borrowing sync.Map
}

// pending is a request whose caller is waiting for the outcome.
type pending struct {
	call  targetapi.Call
	reply chan Reply
}

// New returns a dispatcher without targets.
func New(s Settings, m Members, c targetapi.Caller, lg *log.Logger) *Dispatcher {
	book := credit.New(credit.Options{
		Self: s.Self, Granters: s.Granters, Incarnation: s.Incarnation,
		Lease: CreditLease, MaxAttempt: MaxAttempt, Margin: creditMargin,
	}, time.Now())
	o := Options{
		DataCentre: s.DataCentre, MaxAttempt: MaxAttempt, Policy: route.Default, Seed: rand.Uint64(),
		Queue: admit.Limits{Requests: maxWaiting, Bytes: maxWaitingBytes},
	}
	runCtx, cancelRun := context.WithCancel(context.Background())
	return &Dispatcher{
		runCtx: runCtx, cancelRun: cancelRun, members: m, caller: c, lg: lg, core: NewCore(o, book), credits: book,
		pending: map[string]*pending{}, borrowNow: make(chan struct{}, 1), minProbeDelay: defaultMinProbeDelay,
	}
}

// Do runs one request and returns its final outcome as soon as it is known. An attempt that can start
// at once runs on the caller's goroutine. The request may continue at its target after ctx has ended.
func (d *Dispatcher) Do(ctx context.Context, q Request, c targetapi.Call) Reply {
	p := &pending{call: c, reply: make(chan Reply, 1)}
	d.mu.Lock()
	d.pending[q.ID] = p
	acts := d.core.Submit(time.Now(), q)
	start := d.takeStart(&acts, q.ID)
	queued := start == nil && len(acts.Finals) == 0
	d.apply(acts)
	d.mu.Unlock()
	if start != nil {
		d.run(*start, c)
	}
	if queued {
		d.triggerBorrow()
	}
	select {
	case r := <-p.reply:
		return r
	case <-ctx.Done():
		d.step(func(time.Time) Actions { return d.core.Cancel(q.ID) })
		return <-p.reply
	}
}

// takeStart removes the start of a request from the actions, if that is their only start and the
// dispatcher hasn't stopped, and returns it for the caller to run. The caller holds the lock.
func (d *Dispatcher) takeStart(a *Actions, id string) *Start {
	if len(a.Starts) != 1 || a.Starts[0].Request != id || d.runCtx.Err() != nil {
		return nil
	}
	st := a.Starts[0]
	a.Starts = nil
	d.attempts.Add(1)
	return &st
}

// triggerBorrow triggers a round of borrowing.
func (d *Dispatcher) triggerBorrow() {
	select {
	case d.borrowNow <- struct{}{}:
	default:
	}
}

// step runs one step of the core and carries out its actions.
func (d *Dispatcher) step(f func(time.Time) Actions) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.apply(f(time.Now()))
}

// apply carries out actions. The caller holds the lock.
func (d *Dispatcher) apply(a Actions) {
	for _, f := range a.Finals {
		d.reply(f.Request, Reply{Outcome: f.Outcome, Reason: f.Reason, RetryAfter: f.RetryAfter})
	}
	for _, st := range a.Starts {
		p := d.pending[st.Request]
		if d.runCtx.Err() != nil {
			d.reply(st.Request, Reply{Outcome: targetapi.NotRun, Reason: "this node has stopped"})
			continue
		}
		d.attempts.Add(1)
		go d.run(st, p.call)
	}
}

// reply delivers the outcome of a request to its caller, once. The caller of reply holds the lock.
func (d *Dispatcher) reply(id string, r Reply) {
	if p := d.pending[id]; p != nil {
		delete(d.pending, id)
		p.reply <- r
	}
}

// HasService reports whether any target has ever announced a service to this process.
func (d *Dispatcher) HasService(service string) bool {
	d.refresh()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.HasService(service)
}

// Ready reports whether slots can be used, own or borrowed ones; see credit.Book.Ready.
func (d *Dispatcher) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.credits.Ready(time.Now())
}

// Active returns the number of queued and running requests.
func (d *Dispatcher) Active() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Active()
}

// Attempts returns the numbers of attempts started and of requests received.
func (d *Dispatcher) Attempts() (attempts, requests int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Attempts()
}

// Run refreshes targets, serves queues and borrows slots until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	defer d.cancelRun()
	go d.borrow(ctx)
	for ctx.Err() == nil {
		d.refresh()
		d.step(d.core.Tick)
		sleep(ctx, d.refreshDelay())
	}
}

// refreshDelay returns the time until the next refresh of targets and queues.
func (d *Dispatcher) refreshDelay() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.core.Waiting() > 0 {
		return queuedRefreshInterval
	}
	return refreshInterval
}

// refresh updates the targets if the membership has changed, and at least every leaseRefreshInterval so
// that renewed leases take effect.
func (d *Dispatcher) refresh() {
	version := d.members.Version()
	d.mu.Lock()
	upToDate := version == d.membersVersion && time.Since(d.refreshedAt) < leaseRefreshInterval
	d.mu.Unlock()
	if upToDate {
		return
	}
	live := d.members.Live(announce.RoleTarget)
	d.step(func(now time.Time) Actions {
		d.membersVersion, d.refreshedAt = version, now
		return d.core.SetTargets(now, live)
	})
}

// sleep waits for t or until ctx ends.
func sleep(ctx context.Context, t time.Duration) {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Drain waits until no attempt is running any more, or ctx ends, and then returns borrowed slots.
func (d *Dispatcher) Drain(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		d.attempts.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	d.returnLoans(ctx)
}
