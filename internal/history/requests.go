package history

import (
	"fmt"
	"strings"
	"time"
)

// requests counts outcomes and finds requests whose caller was told nothing without a reason.
func (c *checker) requests() {
	c.r.RequestsSent = len(c.h.Requests)
	for _, q := range c.h.Requests {
		switch q.Outcome {
		case Answered:
			c.r.RequestsAnswered++
		case NotRun:
			c.r.RequestsNotRun++
		case Unknown:
			c.r.RequestsUnknown++
		default:
			c.r.RequestsLost++
			if !c.during(q.Start, q.End, q.Entry, ProcessKill, ProcessPause, ProcessStop) {
				c.broken(EveryOutcome, []fmt.Stringer{q}, "the caller was told nothing, and its entry neither died nor paused nor stopped: %s", q.Reason)
			}
		}
	}
}

// answers finds answers that are cut short, another caller's, or no run's.
func (c *checker) answers() {
	for _, q := range c.h.Requests {
		if q.Outcome != Answered {
			continue
		}
		why := c.wrong(q)
		if why == "" {
			continue
		}
		c.r.WrongAnswers++
		c.broken(OwnAnswer, append([]fmt.Stringer{q}, stringers(c.runsOf(q))...), "%s", why)
	}
}

// wrong says what is wrong with an answer; empty when nothing is.
func (c *checker) wrong(q *Request) string {
	if q.Broken {
		return "the body ended early"
	}
	if !strings.Contains(q.Answer, q.Sent) {
		return fmt.Sprintf("the body is not the whole answer to %s: it begins %.60q", q.Token, q.Answer)
	}
	for _, r := range c.runsOf(q) {
		if r.Start.Before(q.End) {
			return ""
		}
	}
	return "no target ran the request before it was answered"
}

// runsOf returns the runs of a request, whichever of its sends they belong to.
func (c *checker) runsOf(q *Request) []*Run {
	if q.Key != "" {
		return c.byKey[q.Key]
	}
	return c.byToken[q.Token]
}

// notRun finds refusals of requests that did run. For a request with a key the refusal speaks of the
// request, not of the send: a run that an earlier send began makes it false too.
func (c *checker) notRun() {
	for _, q := range c.h.Requests {
		if q.Outcome != NotRun {
			continue
		}
		ops := []fmt.Stringer{q}
		for _, r := range c.runsOf(q) {
			ofThisSend := q.RequestID != "" && r.RequestID == q.RequestID
			if q.Key == "" || ofThisSend || r.Start.Before(q.End) {
				ops = append(ops, r)
			}
		}
		if len(ops) > 1 {
			c.r.FalseNotRun++
			c.broken(TrueNotRun, ops, "the caller was told that it did not run: %s", q.Reason)
		}
	}
}

// places finds requests that ran in two places at once.
func (c *checker) places() {
	for _, token := range sortedKeys(c.byToken) {
		runs := c.byToken[token]
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				if a.Start.Before(c.end(b.End)) && b.Start.Before(c.end(a.End)) {
					c.r.DoubleRuns++
					c.broken(OnePlace, []fmt.Stringer{a, b}, "request %s ran in two places at once", token)
				}
			}
		}
	}
}

// once finds non-idempotent requests that ran more than once.
func (c *checker) once() {
	idempotent := map[string]bool{}
	for _, q := range c.h.Requests {
		idempotent[q.Token] = q.Idempotent
	}
	for _, token := range sortedKeys(c.byToken) {
		runs := c.byToken[token]
		if safe, known := idempotent[token]; known && !safe && len(runs) > 1 {
			c.r.DoubleRuns += len(runs) - 1
			c.broken(AtMostOnce, stringers(runs), "request %s is not idempotent and ran %d times", token, len(runs))
		}
	}
	for _, key := range sortedKeys(c.byKey) {
		c.keyOutcome(key)
	}
}

// stops finds requests that a planned stop cut off, and stops that did not end well. A request was in
// progress when it was sent before the stop began, or when a target ran it all the same.
func (c *checker) stops() {
	for _, i := range c.h.Incidents {
		if i.Kind != ProcessStop {
			continue
		}
		if i.Err != "" || i.End.IsZero() {
			c.broken(GracefulStop, []fmt.Stringer{i}, "the stop did not end well: %s", i.Err)
		}
		for _, q := range c.h.Requests {
			inTime := !q.Start.After(c.end(i.End)) && !q.End.Before(i.Start)
			cut := q.Outcome == Lost || q.Broken
			if q.Entry != i.Subject || !inTime || !cut {
				continue
			}
			if q.Start.Before(i.Start) || len(c.runsOf(q)) > 0 {
				c.r.CutRequests++
				c.broken(GracefulStop, []fmt.Stringer{q, i}, "a request in progress was cut off: %s", q.Reason)
			}
		}
	}
}

// leaving finds work that reached a target too long after it said that it leaves.
func (c *checker) leaving() {
	for _, i := range c.h.Incidents {
		if i.Kind != TargetLeave {
			continue
		}
		from := i.Start.Add(LeaveWithin)
		for _, r := range c.h.Runs {
			if r.Target == i.Subject && r.Arrived.After(from) && r.Arrived.Before(c.end(i.End)) {
				c.r.LateToLeaving++
				c.broken(LeavingTarget, []fmt.Stringer{r, i}, "work arrived %v after the target said that it leaves",
					r.Arrived.Sub(i.Start).Round(time.Millisecond))
			}
		}
	}
}

// stringers returns a slice as one of its names.
func stringers[T fmt.Stringer](in []T) []fmt.Stringer {
	out := make([]fmt.Stringer, 0, len(in))
	for _, v := range in {
		out = append(out, v)
	}
	return out
}
