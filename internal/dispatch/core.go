// Package dispatch accepts latency-critical requests, sends them to targets and determines their outcome.
//
// Core makes the decisions; it has no clock and does no I/O. Dispatcher supplies both and carries out
// the actions of Core.
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

// Requests is the state chart of a request.
var Requests = chart.MustLoad(charts.Files, "request.yaml")

// Events of the state chart.
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
	// Queue limits the queued requests of each service.
	Queue  admit.Limits
	Policy route.Policy
	Seed   uint64
}

// Request is a caller's request to a service.
type Request struct {
	ID        string
	Service   string
	Workspace string
	Deadline  time.Time
	Bytes     int
	Kind      retry.Kind
}

// Start is the action of running an attempt.
type Start struct {
	Request string
	Attempt int
	Target  string
	Address string
	Token   credit.Token
	// Until is the deadline of the attempt.
	Until time.Time
	// Expected is the target's recent latency; 0 if unknown.
	Expected time.Duration
}

// Final is the action of ending a request without an answer.
type Final struct {
	Request string
	Outcome targetapi.Outcome
	Reason  string
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter time.Duration
}

// Actions are what the dispatcher has to do after a step of the core.
type Actions struct {
	Starts []Start
	Finals []Final
}

// request is a request in progress.
type request struct {
	Request
	state    chart.State
	attempts int
	// avoid is the target of the last failed attempt.
	avoid string
	// mayHaveRun is true once an attempt may have run.
	mayHaveRun bool
	target     string
	startedAt  time.Time
	lastReason string
}

// item returns the queue item of the request.
func (r *request) item() admit.Item {
	return admit.Item{ID: r.ID, Workspace: r.Workspace, Deadline: r.Deadline, Bytes: r.Bytes}
}

// service holds the targets and the queue of one service.
type service struct {
	queue   *admit.Queue
	health  *eject.Set
	targets []*target
	// rotation is advanced at each report of demand, so that the remainder goes to different targets.
	rotation int
}

// target is a live target.
type target struct {
	announce.Member
	latency route.Latency
	// running holds the start time of each running attempt by request id.
	running map[string]time.Time
}

// oldest returns the age of the oldest running attempt.
func (t *target) oldest(now time.Time) time.Duration {
	var d time.Duration
	for _, at := range t.running {
		d = max(d, now.Sub(at))
	}
	return d
}

// Core decides which attempts to start and how requests end. Use NewCore to create one.
type Core struct {
	opt      Options
	credits  *credit.Book
	picker   *route.Picker
	budget   *retry.Budget
	services map[string]*service
	targets  map[string]*target
	requests map[string]*request
	// attempts counts started attempts and arrived counts requests, for the ratio of the two.
	attempts, arrived int
}

// NewCore returns a core without targets.
func NewCore(o Options, b *credit.Book) *Core {
	return &Core{
		opt: o, credits: b, picker: route.New(o.Policy, o.Seed), budget: retry.NewBudget(),
		services: map[string]*service{}, targets: map[string]*target{}, requests: map[string]*request{},
	}
}

// service returns a service, creating it if needed.
func (c *Core) service(name string) *service {
	s := c.services[name]
	if s == nil {
		s = &service{queue: admit.New(c.opt.Queue), health: eject.New()}
		c.services[name] = s
	}
	return s
}

// HasService reports whether any target has ever announced a service.
func (c *Core) HasService(name string) bool { return c.services[name] != nil }

// Active returns the number of queued and running requests.
func (c *Core) Active() int { return len(c.requests) }

// Waiting returns the number of requests that wait for a slot.
func (c *Core) Waiting() int {
	n := 0
	for _, s := range c.services {
		n += s.queue.Len()
	}
	return n
}

// Attempts returns the numbers of attempts started and of requests received.
func (c *Core) Attempts() (attempts, requests int) { return c.attempts, c.arrived }

// move applies an event to a request. It panics if the state doesn't accept the event: events come
// from this package alone, so that is a bug.
func (r *request) move(e chart.Event) {
	to, err := Requests.Next(r.state, e)
	if err != nil {
		panic(err)
	}
	r.state = to
}

// Submit admits or refuses a new request.
func (c *Core) Submit(now time.Time, q Request) Actions {
	c.arrived++
	r := &request{Request: q, state: Requests.Initial}
	c.requests[q.ID] = r
	s := c.services[q.Service]
	if s == nil || len(s.targets) == 0 {
		return c.end(r, eventRefuse, "no live target of the service", noTargetRetryAfter)
	}
	if reason, wait := s.unavailable(now); reason != "" {
		return c.end(r, eventRefuse, reason, wait)
	}
	return c.enqueue(now, s, r, eventAdmit)
}

// noTargetRetryAfter is the retry delay for callers while a service has no target, or only leaving ones.
const noTargetRetryAfter = time.Second

// unavailable returns why no target of the service can take requests, and the retry delay for callers;
// the reason is empty if a target can.
func (s *service) unavailable(now time.Time) (string, time.Duration) {
	for _, t := range s.targets {
		if !t.Leaving && now.Before(t.Expires) && s.health.State(t.Name) != eject.Ejected || s.health.Usable(now, t.Name) {
			return "", 0
		}
	}
	if wait := s.health.NextTrial(now); wait > 0 {
		return "every target of the service is ejected", wait
	}
	return "every target of the service is leaving", noTargetRetryAfter
}

// enqueue starts a request at once if the queue is empty and a slot is free; otherwise it queues the
// request and starts those that can start.
func (c *Core) enqueue(now time.Time, s *service, r *request, e chart.Event) Actions {
	it := r.item()
	if s.queue.Len() == 0 {
		if st, ok := c.start(now, s, r, e); ok {
			return Actions{Starts: []Start{st}}
		}
	}
	r.move(e)
	shed, reason := s.queue.Push(now, it, c.runningAttempts(s))
	var out Actions
	if reason != "" {
		out = c.end(c.requests[shed.ID], eventShed, reason, s.retryAfter(c.runningAttempts(s)))
	}
	c.reportDemand(s)
	return join(out, c.serveQueue(now, s))
}

// retryAfter estimates how long the queue of a service takes to empty, from 50 ms to 5 s.
func (s *service) retryAfter(slots int) time.Duration {
	return min(max(s.queue.Wait(slots), 50*time.Millisecond), 5*time.Second)
}

// runningAttempts returns the number of attempts that this process is running for a service.
func (c *Core) runningAttempts(s *service) int {
	n := 0
	for _, t := range s.targets {
		n += len(t.running)
	}
	return n
}

// reportDemand reports the number of queued requests to the credits, divided among the targets in rotation
// and limited to maxExtraSlots each. The parts of targets that are leaving or not serving are not reported.
func (c *Core) reportDemand(s *service) {
	n := len(s.targets)
	if n == 0 {
		return
	}
	each, remainder := s.queue.Len()/n, s.queue.Len()%n
	s.rotation++
	for i, t := range s.targets {
		extra := each
		if (i+s.rotation)%n < remainder {
			extra++
		}
		if extra > 0 && !t.Leaving && s.health.State(t.Name) == eject.Serving {
			c.credits.ReportShortfall(t.Name, min(extra, maxExtraSlots))
		}
	}
}

// maxExtraSlots is the most additional slots of one target that are requested at once.
const maxExtraSlots = 2

// join concatenates two lists of actions.
func join(a, b Actions) Actions {
	return Actions{append(a.Starts, b.Starts...), append(a.Finals, b.Finals...)}
}

// end ends a request that got no answer. Its outcome is unknown if an attempt may have run.
func (c *Core) end(r *request, e chart.Event, reason string, wait time.Duration) Actions {
	outcome := targetapi.NotRun
	if r.mayHaveRun {
		e, outcome = eventLose, targetapi.Unknown
	}
	if r.lastReason != "" {
		reason = r.lastReason
	}
	r.move(e)
	delete(c.requests, r.ID)
	return Actions{Finals: []Final{{r.ID, outcome, reason, wait}}}
}

// Cancel removes a queued request. A running request continues, since its target can't be stopped.
func (c *Core) Cancel(id string) Actions {
	r := c.requests[id]
	if r == nil || r.state != stateQueued || !c.service(r.Service).queue.Remove(r.item()) {
		return Actions{}
	}
	return c.end(r, eventCancel, "the caller went away", 0)
}

// stateQueued is the state of a request that waits for a slot.
const stateQueued chart.State = "queued"

// Tick sheds queued requests that can no longer meet their deadline and starts those that can start.
func (c *Core) Tick(now time.Time) Actions {
	var out Actions
	for _, s := range c.services {
		if s.queue.Len() > 0 {
			c.reportDemand(s)
			out = join(out, c.serveQueue(now, s))
		}
	}
	return out
}
