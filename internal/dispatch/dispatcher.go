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
	// refreshEvery is the time between two looks at the announced targets, and so how long a leaving
	// target may still get work from a process that has heard of it.
	refreshEvery = 50 * time.Millisecond
	// leasesEvery is the time between two looks when nothing but leases changed.
	leasesEvery = 400 * time.Millisecond
	// busyEvery is the same while requests wait.
	busyEvery = 5 * time.Millisecond
	// creditEvery is the time between two rounds of borrowing, starveEvery that while requests wait.
	creditEvery = 100 * time.Millisecond
	starveEvery = 10 * time.Millisecond
	// MaxAttempt is the longest time one attempt may take.
	MaxAttempt = 2 * time.Second
	// CreditLease is how long a loan of slots holds.
	CreditLease = MaxAttempt + 250*time.Millisecond
	// creditMargin is added by a lender for clocks that run at different rates.
	creditMargin = 100 * time.Millisecond
	// maxWaiting and maxWaitingBytes bound the queue of each service.
	maxWaiting      = 512
	maxWaitingBytes = 16 << 20
)

// Members is what a dispatcher needs of the membership.
type Members interface {
	News() uint64
	Live(announce.Role) []announce.Member
	CallBorrow(ctx context.Context, addr string, r *peerv1.BorrowRequest) (*peerv1.BorrowResponse, error)
}

// Settings are the settings of a dispatcher.
type Settings struct {
	// Self is the address of this process, Homes those of all that slots are dealt to.
	Self        string
	Homes       []string
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

// Dispatcher is the shell around Core. Use New to make one.
type Dispatcher struct {
	members Members
	caller  targetapi.Caller
	lg      *log.Logger

	mu      sync.Mutex
	core    *Core
	credits *credit.Book
	pending map[string]*pending
	seen    uint64
	looked  time.Time
	// attempts counts attempts that run at a target, those whose caller was answered included.
	attempts sync.WaitGroup
	// life ends when Run does; then nothing is started any more and open calls are given up.
	life   context.Context
	finish context.CancelFunc
	hungry chan struct{}
	// suspect is the least time until an attempt is probed.
	suspect time.Duration
	// asking holds the lenders to which a request is on its way.
	asking sync.Map
}

// pending is a request whose caller waits.
type pending struct {
	call  targetapi.Call
	reply chan Reply
}

// New returns a dispatcher that knows no targets.
func New(s Settings, m Members, c targetapi.Caller, lg *log.Logger) *Dispatcher {
	book := credit.New(credit.Options{
		Self: s.Self, Homes: s.Homes, Incarnation: s.Incarnation,
		Lease: CreditLease, MaxAttempt: MaxAttempt, Margin: creditMargin,
	}, time.Now())
	o := Options{
		DataCentre: s.DataCentre, MaxAttempt: MaxAttempt, Policy: route.Default, Seed: rand.Uint64(),
		Queue: admit.Limits{Requests: maxWaiting, Bytes: maxWaitingBytes},
	}
	life, finish := context.WithCancel(context.Background())
	return &Dispatcher{
		life: life, finish: finish, members: m, caller: c, lg: lg, core: NewCore(o, book), credits: book,
		pending: map[string]*pending{}, hungry: make(chan struct{}, 1), suspect: suspectLeast,
	}
}

// Do runs one request and returns its final outcome as soon as that is known. An attempt that can start
// at once runs on the caller's goroutine; the request may go on at its target after ctx has ended.
func (d *Dispatcher) Do(ctx context.Context, q Request, c targetapi.Call) Reply {
	p := &pending{call: c, reply: make(chan Reply, 1)}
	d.mu.Lock()
	d.pending[q.ID] = p
	acts := d.core.Arrive(time.Now(), q)
	own := d.own(&acts, q.ID)
	waits := own == nil && len(acts.Finals) == 0
	d.apply(acts)
	d.mu.Unlock()
	if own != nil {
		d.run(*own, c)
	}
	if waits {
		d.wake()
	}
	select {
	case r := <-p.reply:
		return r
	case <-ctx.Done():
		d.step(func(time.Time) Actions { return d.core.Cancel(q.ID) })
		return <-p.reply
	}
}

// own takes the start of a request out of the actions. The caller holds the lock and runs it.
func (d *Dispatcher) own(a *Actions, id string) *Start {
	if len(a.Starts) != 1 || a.Starts[0].Request != id || d.life.Err() != nil {
		return nil
	}
	st := a.Starts[0]
	a.Starts = nil
	d.attempts.Add(1)
	return &st
}

// wake asks for a round of borrowing.
func (d *Dispatcher) wake() {
	select {
	case d.hungry <- struct{}{}:
	default:
	}
}

// step runs one step of the core and its actions.
func (d *Dispatcher) step(f func(time.Time) Actions) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.apply(f(time.Now()))
}

// apply runs actions. The caller holds the lock.
func (d *Dispatcher) apply(a Actions) {
	for _, f := range a.Finals {
		d.reply(f.Request, Reply{Outcome: f.Outcome, Reason: f.Reason, RetryAfter: f.RetryAfter})
	}
	for _, st := range a.Starts {
		p := d.pending[st.Request]
		if d.life.Err() != nil {
			d.reply(st.Request, Reply{Outcome: targetapi.NotRun, Reason: "this node has stopped"})
			continue
		}
		d.attempts.Add(1)
		go d.run(st, p.call)
	}
}

// reply gives a caller its outcome. The caller of reply holds the lock.
func (d *Dispatcher) reply(id string, r Reply) {
	if p := d.pending[id]; p != nil {
		delete(d.pending, id)
		p.reply <- r
	}
}

// Knows reports whether a target ever announced a service to this process.
func (d *Dispatcher) Knows(service string) bool {
	d.refresh()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Knows(service)
}

// Warm reports whether slots can be used.
func (d *Dispatcher) Warm() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.credits.Ready(time.Now())
}

// Active returns how many requests wait or run.
func (d *Dispatcher) Active() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Active()
}

// Attempts returns how many attempts were started for how many requests.
func (d *Dispatcher) Attempts() (attempts, requests int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Attempts()
}

// Run keeps targets and credits up to date until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	defer d.finish()
	go d.borrow(ctx)
	for ctx.Err() == nil {
		d.refresh()
		d.step(d.core.Tick)
		sleep(ctx, d.pause())
	}
}

// pause returns the time until the next look at targets and waiting requests.
func (d *Dispatcher) pause() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.core.Waiting() > 0 {
		return busyEvery
	}
	return refreshEvery
}

// refresh takes the announced targets when there is news, and now and then for their leases.
func (d *Dispatcher) refresh() {
	news := d.members.News()
	d.mu.Lock()
	known := news == d.seen && time.Since(d.looked) < leasesEvery
	d.mu.Unlock()
	if known {
		return
	}
	live := d.members.Live(announce.RoleTarget)
	d.step(func(now time.Time) Actions {
		d.seen, d.looked = news, now
		return d.core.SetTargets(now, live)
	})
}

// sleep waits for t or the end of ctx.
func sleep(ctx context.Context, t time.Duration) {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Drain waits until no attempt runs any more, or ctx ends, and gives borrowed slots back.
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
	d.giveBack(ctx)
}
