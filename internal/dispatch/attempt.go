package dispatch

import (
	"time"

	"github.com/crocusspring/crocusspring/internal/chart"
	"github.com/crocusspring/crocusspring/internal/credit"
	"github.com/crocusspring/crocusspring/internal/eject"
	"github.com/crocusspring/crocusspring/internal/retry"
	"github.com/crocusspring/crocusspring/internal/route"
)

// serveQueue sheds the queued requests that can no longer meet their deadline and starts the others
// while slots are free.
func (c *Core) serveQueue(now time.Time, s *service) Actions {
	var out Actions
	for _, it := range s.queue.Expired(now) {
		out = join(out, c.end(c.requests[it.ID], eventShed, "no slot was free in time", s.retryAfter(c.runningAttempts(s))))
	}
	for {
		it, ok := s.queue.Peek()
		if !ok {
			return out
		}
		st, ok := c.start(now, s, c.requests[it.ID], eventStart)
		if !ok {
			return out
		}
		s.queue.Pop()
		out.Starts = append(out.Starts, st)
	}
}

// start starts an attempt if a target has a free slot for it. For a request that doesn't have to wait,
// e is the event that would have queued it; it is applied first.
func (c *Core) start(now time.Time, s *service, r *request, e chart.Event) (Start, bool) {
	until := r.Deadline
	if limit := now.Add(c.opt.MaxAttempt); until.After(limit) {
		until = limit
	}
	t := c.pick(now, s, until, r.avoid)
	if t == nil {
		return Start{}, false
	}
	tok, ok := c.credits.Take(now, t.Name, until)
	if !ok {
		return Start{}, false
	}
	if e != eventStart {
		r.move(e)
	}
	r.move(eventStart)
	r.attempts++
	r.target, r.startedAt = t.Name, now
	c.attempts++
	t.running[r.ID] = now
	s.health.Begin(t.Name)
	return Start{r.ID, r.attempts, t.Name, t.Address, tok, until, t.latency.Value(0)}, true
}

// pick returns the target for a request, or nil if no usable target has a free slot. The target to
// avoid, that of the last attempt, is used only if it is the only usable one.
func (c *Core) pick(now time.Time, s *service, until time.Time, avoid string) *target {
	var usable []*target
	var cs []route.Candidate
	others := false
	for _, t := range s.targets {
		if t.Leaving || !now.Before(t.Expires) || !s.health.Usable(now, t.Name) {
			continue
		}
		others = others || t.Name != avoid
		if c.credits.Free(now, t.Name, until) == 0 {
			continue
		}
		usable = append(usable, t)
		cs = append(cs, route.Candidate{
			Near: t.DataCentre == c.opt.DataCentre, InUse: len(t.running), Slots: t.Slots,
			Latency: t.latency.Value(t.oldest(now)),
		})
	}
	if avoid != "" && others {
		usable, cs = exclude(usable, cs, avoid)
	}
	if len(cs) == 0 {
		return nil
	}
	return usable[c.picker.Pick(cs)]
}

// exclude removes a target from the candidates.
func exclude(ts []*target, cs []route.Candidate, name string) ([]*target, []route.Candidate) {
	for i, t := range ts {
		if t.Name == name {
			return append(ts[:i:i], ts[i+1:]...), append(cs[:i:i], cs[i+1:]...)
		}
	}
	return ts, cs
}

// Result describes how an attempt ended.
type Result struct {
	// Answered is true if a complete answer was received; Status is its status code.
	Answered bool
	Status   int
	// Proof is what is known about an attempt without an answer; Reason says why there is no answer.
	Proof  retry.Proof
	Reason string
	// ByDeadline is true if the end is known only from the deadline that the target enforces.
	ByDeadline bool
}

// over reports whether the attempt is known to have ended.
func (r Result) over() bool { return r.Answered || r.Proof != retry.None }

// freesSlot reports whether the slot of the attempt is certainly free. A target that ends an attempt by its
// deadline may be a moment late.
func (r Result) freesSlot() bool { return r.over() && !r.ByDeadline }

// Ended records the end of an attempt. If the attempt may still be running, its slot stays in use until
// FreeSlot is called. The request has ended if the result is an answer or the actions hold a Final for it;
// otherwise it is retried.
func (c *Core) Ended(now time.Time, st Start, res Result) Actions {
	r := c.requests[st.Request]
	if r == nil {
		return Actions{}
	}
	s := c.service(r.Service)
	c.recordResult(now, s, r, res)
	if t := c.targets[st.Target]; t != nil {
		delete(t.running, r.ID)
	}
	if res.freesSlot() {
		c.credits.Return(st.Token)
	}
	if res.Answered {
		r.move(eventAnswer)
		delete(c.requests, r.ID)
		return c.serveQueue(now, s)
	}
	r.mayHaveRun = r.mayHaveRun || !res.Proof.NotRun()
	r.avoid, r.lastReason = st.Target, res.Reason
	if c.takeRetry(now, s, r, res.Proof) {
		return join(c.enqueue(now, s, r, eventAgain), c.serveQueue(now, s))
	}
	out := c.end(r, eventDecline, res.Reason, s.retryAfter(c.runningAttempts(s)))
	return join(out, c.serveQueue(now, s))
}

// takeRetry reports whether a request may be attempted again, and if so spends one retry of the budget.
func (c *Core) takeRetry(now time.Time, s *service, r *request, p retry.Proof) bool {
	if !retry.Allowed(r.Kind, p) || s.queue.Late(now, r.item()) {
		return false
	}
	if reason, _ := s.unavailable(now); reason != "" {
		return false
	}
	return c.budget.Spend()
}

// recordResult updates the target's health and latency, the mean service time and the retry budget with
// the result of an attempt.
func (c *Core) recordResult(now time.Time, s *service, r *request, res Result) {
	took := now.Sub(r.startedAt)
	kind := eject.Lost
	switch {
	case res.Answered && res.Status < 500:
		kind = eject.Good
		c.budget.Success()
	case res.Answered || res.Proof == retry.Refused:
		kind = eject.Refused
	}
	t := c.targets[r.target]
	if t == nil {
		return
	}
	if res.over() && res.Proof != retry.NeverSent {
		s.queue.RecordServiceTime(took)
	}
	t.latency.Sample(now, took)
	if kind == eject.Lost && res.Proof == retry.None && took < minTimeoutFactor*s.queue.MeanServiceTime() {
		s.health.Inconclusive(r.target)
		return
	}
	s.health.Report(now, r.target, kind, took)
}

// minTimeoutFactor is how many times the mean service time an attempt must have lasted before a missed
// deadline counts as a failure of the target; below it the caller's deadline was too short.
const minTimeoutFactor = 3

// FreeSlot returns the slot of an attempt that may have been running after Ended was called.
func (c *Core) FreeSlot(now time.Time, service string, tok credit.Token) Actions {
	c.credits.Return(tok)
	return c.serveQueue(now, c.service(service))
}
