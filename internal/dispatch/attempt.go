package dispatch

import (
	"time"

	"github.com/crocusspring/crocusspring/internal/chart"
	"github.com/crocusspring/crocusspring/internal/credit"
	"github.com/crocusspring/crocusspring/internal/eject"
	"github.com/crocusspring/crocusspring/internal/retry"
	"github.com/crocusspring/crocusspring/internal/route"
)

// pump sheds what is too late and starts waiting requests while slots are free.
func (c *Core) pump(now time.Time, s *service) Actions {
	var out Actions
	for _, it := range s.queue.Expired(now) {
		out = join(out, c.end(c.requests[it.ID], eventShed, "no slot was free in time", s.comeBack(c.parallel(s))))
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

// start starts an attempt when a target has a free slot for it. The event is the one that leads to
// the queue for a request that needn't wait.
func (c *Core) start(now time.Time, s *service, r *request, e chart.Event) (Start, bool) {
	until := r.Deadline
	if most := now.Add(c.opt.MaxAttempt); until.After(most) {
		until = most
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
	r.target, r.began = t.Name, now
	c.attempts++
	t.running[r.ID] = now
	s.health.Begin(t.Name)
	return Start{r.ID, r.attempts, t.Name, t.Address, tok, until, t.latency.Value(0)}, true
}

// pick returns the target for a request, or nil when none has a free slot. The target of the last
// attempt is taken only when there is no other at all.
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
		usable, cs = without(usable, cs, avoid)
	}
	if len(cs) == 0 {
		return nil
	}
	return usable[c.picker.Pick(cs)]
}

// without drops a target from the candidates.
func without(ts []*target, cs []route.Candidate, name string) ([]*target, []route.Candidate) {
	for i, t := range ts {
		if t.Name == name {
			return append(ts[:i:i], ts[i+1:]...), append(cs[:i:i], cs[i+1:]...)
		}
	}
	return ts, cs
}

// Result is how an attempt ended.
type Result struct {
	// Answered is true for a whole answer, with its Status.
	Answered bool
	Status   int
	// Proof is what is known of an attempt without an answer, Reason says why there is none.
	Proof  retry.Proof
	Reason string
}

// over reports whether the attempt is surely over.
func (r Result) over() bool { return r.Answered || r.Proof != retry.None }

// Ended takes the end of an attempt. When the attempt may still run its slot stays taken until Freed.
// The request is final when the result is an answer or the actions say so; otherwise it goes on.
func (c *Core) Ended(now time.Time, st Start, res Result) Actions {
	r := c.requests[st.Request]
	if r == nil {
		return Actions{}
	}
	s := c.service(r.Service)
	c.report(now, s, r, res)
	if t := c.targets[st.Target]; t != nil {
		delete(t.running, r.ID)
	}
	if res.over() {
		c.credits.Return(st.Token)
	}
	if res.Answered {
		r.move(eventAnswer)
		delete(c.requests, r.ID)
		return c.pump(now, s)
	}
	r.ran = r.ran || !res.Proof.NotRun()
	r.avoid, r.reason = st.Target, res.Reason
	if c.again(now, s, r, res.Proof) {
		return join(c.enqueue(now, s, r, eventAgain), c.pump(now, s))
	}
	out := c.end(r, eventDecline, res.Reason, s.comeBack(c.parallel(s)))
	return join(out, c.pump(now, s))
}

// again reports whether a request may be attempted once more, and pays for it.
func (c *Core) again(now time.Time, s *service, r *request, p retry.Proof) bool {
	if !retry.Allowed(r.Kind, p) || s.queue.Late(now, r.item()) {
		return false
	}
	if reason, _ := s.closed(now); reason != "" {
		return false
	}
	return c.budget.Spend()
}

// report tells health, latency and budget how an attempt ended.
func (c *Core) report(now time.Time, s *service, r *request, res Result) {
	took := now.Sub(r.began)
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
		s.queue.Served(took)
	}
	t.latency.Sample(now, took)
	if kind == eject.Lost && res.Proof == retry.None && took < hopeless*s.queue.Mean() {
		return
	}
	s.health.Report(now, r.target, kind, took)
}

// hopeless is how many times the mean a deadline must have left before missing it is held against the
// target and not against the caller.
const hopeless = 3

// Freed gives back the slot of an attempt that may have been running after its request had ended.
func (c *Core) Freed(now time.Time, service string, tok credit.Token) Actions {
	c.credits.Return(tok)
	return c.pump(now, c.service(service))
}
