// Package dispatch takes latency-critical requests, sends them to targets and settles their outcome.
//
// Core is the decision: it has no clock and does no I/O. Dispatcher is the shell around it.
package dispatch

import (
	"time"

	"github.com/crocusspring/crocusspring/charts"
	"github.com/crocusspring/crocusspring/internal/admit"
	"github.com/crocusspring/crocusspring/internal/announce"
	"github.com/crocusspring/crocusspring/internal/chart"
	"github.com/crocusspring/crocusspring/internal/credit"
	"github.com/crocusspring/crocusspring/internal/eject"
	"github.com/crocusspring/crocusspring/internal/retry"
	"github.com/crocusspring/crocusspring/internal/route"
	"github.com/crocusspring/crocusspring/internal/targetapi"
)

// Requests is the chart of a request.
var Requests = chart.MustLoad(charts.Files, "request.yaml")

// Events of the chart.
const (
	eventAdmit   chart.Event = "admit"
	eventRefuse  chart.Event = "refuse"
	eventStart   chart.Event = "start"
	eventShed    chart.Event = "shed"
	eventCancel  chart.Event = "cancel"
	eventAnswer  chart.Event = "answer"
	eventDecline chart.Event = "decline"
	eventLose    chart.Event = "lose"
	eventAgain   chart.Event = "again"
)

// Options are the settings of a core.
type Options struct {
	DataCentre string
	// MaxAttempt is the longest time an attempt may take.
	MaxAttempt time.Duration
	// Queue bounds the waiting requests of each service.
	Queue  admit.Limits
	Policy route.Policy
	Seed   uint64
}

// Request is what a caller asks for.
type Request struct {
	ID        string
	Service   string
	Workspace string
	Deadline  time.Time
	Bytes     int
	Kind      retry.Kind
}

// Start tells the shell to run an attempt.
type Start struct {
	Request string
	Attempt int
	Target  string
	Address string
	Token   credit.Token
	// Until is when the attempt has to be over.
	Until time.Time
	// Expected is how long the target takes lately; 0 when unknown.
	Expected time.Duration
}

// Final tells the shell how a request ended without an answer.
type Final struct {
	Request string
	Outcome targetapi.Outcome
	Reason  string
	// RetryAfter is when the caller may come back.
	RetryAfter time.Duration
}

// Actions are what a step asks the shell to do.
type Actions struct {
	Starts []Start
	Finals []Final
}

// request is a request in progress.
type request struct {
	Request
	state    chart.State
	attempts int
	// avoid is the target of the last attempt.
	avoid string
	// ran is true once an attempt may have run.
	ran    bool
	target string
	began  time.Time
	reason string
}

// item returns the request's place in the queue.
func (r *request) item() admit.Item {
	return admit.Item{ID: r.ID, Workspace: r.Workspace, Deadline: r.Deadline, Bytes: r.Bytes}
}

// service is the targets and the queue of one service.
type service struct {
	queue   *admit.Queue
	health  *eject.Set
	targets []*target
	// turn spreads what is asked for over the targets.
	turn int
}

// target is a live target.
type target struct {
	announce.Member
	latency route.Latency
	// running holds when each attempt began, by request.
	running map[string]time.Time
}

// oldest returns the age of the oldest attempt that has no answer.
func (t *target) oldest(now time.Time) time.Duration {
	var d time.Duration
	for _, at := range t.running {
		d = max(d, now.Sub(at))
	}
	return d
}

// Core decides. Use NewCore to make one.
type Core struct {
	opt      Options
	credits  *credit.Book
	picker   *route.Picker
	budget   *retry.Budget
	services map[string]*service
	targets  map[string]*target
	requests map[string]*request
	// attempts counts starts, for the ratio of attempts to requests.
	attempts, arrived int
}

// NewCore returns a core that knows no targets.
func NewCore(o Options, b *credit.Book) *Core {
	return &Core{
		opt: o, credits: b, picker: route.New(o.Policy, o.Seed), budget: retry.NewBudget(),
		services: map[string]*service{}, targets: map[string]*target{}, requests: map[string]*request{},
	}
}

// service returns a service and makes it when it is new.
func (c *Core) service(name string) *service {
	s := c.services[name]
	if s == nil {
		s = &service{queue: admit.New(c.opt.Queue), health: eject.New()}
		c.services[name] = s
	}
	return s
}

// Knows reports whether a target ever announced a service.
func (c *Core) Knows(name string) bool { return c.services[name] != nil }

// Active returns how many requests wait or run.
func (c *Core) Active() int { return len(c.requests) }

// Waiting returns how many requests wait for a slot.
func (c *Core) Waiting() int {
	n := 0
	for _, s := range c.services {
		n += s.queue.Len()
	}
	return n
}

// Attempts returns how many attempts were started for how many requests.
func (c *Core) Attempts() (attempts, requests int) { return c.attempts, c.arrived }

// move applies an event to a request. Events come from this package alone, so one that the state
// does not take is a fault of the program.
func (r *request) move(e chart.Event) {
	to, err := Requests.Next(r.state, e)
	if err != nil {
		panic(err)
	}
	r.state = to
}

// Arrive takes a request.
func (c *Core) Arrive(now time.Time, q Request) Actions {
	c.arrived++
	r := &request{Request: q, state: Requests.Initial}
	c.requests[q.ID] = r
	s := c.services[q.Service]
	if s == nil || len(s.targets) == 0 {
		return c.end(r, eventRefuse, "no live target of the service", noTargetRetry)
	}
	if reason, wait := s.closed(now); reason != "" {
		return c.end(r, eventRefuse, reason, wait)
	}
	return c.enqueue(now, s, r, eventAdmit)
}

// noTargetRetry is when a caller may come back when no target is known.
const noTargetRetry = time.Second

// closed returns why no target of the service may get a request for a while.
func (s *service) closed(now time.Time) (string, time.Duration) {
	for _, t := range s.targets {
		if !t.Leaving && now.Before(t.Expires) && s.health.State(t.Name) != eject.Ejected || s.health.Usable(now, t.Name) {
			return "", 0
		}
	}
	if wait := s.health.NextTrial(now); wait > 0 {
		return "every target of the service is ejected", wait
	}
	return "every target of the service is leaving", noTargetRetry
}

// enqueue puts a request into its queue and starts what can be started.
func (c *Core) enqueue(now time.Time, s *service, r *request, e chart.Event) Actions {
	it := r.item()
	if s.queue.Len() == 0 {
		if st, ok := c.start(now, s, r, e); ok {
			return Actions{Starts: []Start{st}}
		}
	}
	r.move(e)
	shed, reason := s.queue.Push(now, it, c.parallel(s))
	var out Actions
	if reason != "" {
		out = c.end(c.requests[shed.ID], eventShed, reason, s.comeBack(c.parallel(s)))
	}
	c.starve(s)
	return join(out, c.pump(now, s))
}

// comeBack estimates when the queue of a service has drained.
func (s *service) comeBack(slots int) time.Duration {
	return min(max(s.queue.Wait(slots), 50*time.Millisecond), 5*time.Second)
}

// parallel returns how many requests of a service this process runs at once now.
func (c *Core) parallel(s *service) int {
	n := 0
	for _, t := range s.targets {
		n += len(t.running)
	}
	return n
}

// starve tells the credits how many requests wait, spread over the usable targets in turn.
func (c *Core) starve(s *service) {
	n := len(s.targets)
	if n == 0 {
		return
	}
	each, rest := s.queue.Len()/n, s.queue.Len()%n
	s.turn++
	for i, t := range s.targets {
		more := each
		if (i+s.turn)%n < rest {
			more++
		}
		if more > 0 && !t.Leaving && s.health.State(t.Name) == eject.Serving {
			c.credits.ReportShortfall(t.Name, min(more, mostExtra))
		}
	}
}

// mostExtra bounds how many more slots of a target are asked for at once.
const mostExtra = 2

// join puts two lists of actions together.
func join(a, b Actions) Actions {
	return Actions{append(a.Starts, b.Starts...), append(a.Finals, b.Finals...)}
}

// end ends a request that got no answer.
func (c *Core) end(r *request, e chart.Event, reason string, wait time.Duration) Actions {
	outcome := targetapi.NotRun
	if r.ran {
		e, outcome = eventLose, targetapi.Unknown
	}
	if r.reason != "" {
		reason = r.reason
	}
	r.move(e)
	delete(c.requests, r.ID)
	return Actions{Finals: []Final{{r.ID, outcome, reason, wait}}}
}

// Cancel takes back a request that waits; one that runs goes on, since its target can't be stopped.
func (c *Core) Cancel(id string) Actions {
	r := c.requests[id]
	if r == nil || r.state != stateQueued || !c.service(r.Service).queue.Remove(r.item()) {
		return Actions{}
	}
	return c.end(r, eventCancel, "the caller went away", 0)
}

// stateQueued is the state of the chart in which a request waits.
const stateQueued chart.State = "queued"

// Tick sheds requests that wait in vain and starts what can be started.
func (c *Core) Tick(now time.Time) Actions {
	var out Actions
	for _, s := range c.services {
		if s.queue.Len() > 0 {
			c.starve(s)
			out = join(out, c.pump(now, s))
		}
	}
	return out
}
