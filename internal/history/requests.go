package history

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// requests counts outcomes and finds requests whose caller received no outcome, unless their entry was
// killed, paused or stopped meanwhile.
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
			if !c.overlapsIncident(q.Start, q.End, q.Entry, ProcessKill, ProcessPause, ProcessStop) && !c.refusedByStopped(q) {
				c.addViolation(EveryOutcome, []fmt.Stringer{q}, "the caller received no outcome, although its entry was not killed, paused or stopped: %s", q.Reason)
			}
		}
	}
}

// refusedByStopped reports whether a send found no connection because a planned stop had ended its entry, which had not
// started again.
func (c *checker) refusedByStopped(q *Request) bool {
	return q.Unsent && slices.ContainsFunc(c.h.Incidents, func(i *Incident) bool {
		return i.Kind == ProcessStop && i.Subject == q.Entry && !i.Start.After(q.End) && !c.nextStart(i).Before(q.Start)
	})
}

// nextStart returns when the process of a planned stop started again; the end of the observation if it didn't.
func (c *checker) nextStart(stop *Incident) time.Time {
	next := c.h.End
	for _, i := range c.h.Incidents {
		if i.Kind == ProcessUp && i.Subject == stop.Subject && i.Start.After(stop.Start) && i.Start.Before(next) {
			next = i.Start
		}
	}
	return next
}

// answers finds answers that are truncated, belong to another caller, or come from no run.
func (c *checker) answers() {
	for _, q := range c.h.Requests {
		if q.Outcome != Answered {
			continue
		}
		fault := c.answerFault(q)
		if fault == "" {
			continue
		}
		c.r.WrongAnswers++
		c.addViolation(AnswerIntegrity, append([]fmt.Stringer{q}, stringers(c.runsOf(q))...), "%s", fault)
	}
}

// answerFault describes the fault of an answer; empty for none.
func (c *checker) answerFault(q *Request) string {
	if q.Truncated {
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

// notRun finds refusals of requests that did run. For a request with a key the refusal applies to the
// request, not to one send: a run of another send that started before the refusal makes it false too.
func (c *checker) notRun() {
	for _, q := range c.h.Requests {
		if q.Outcome != NotRun {
			continue
		}
		ops := []fmt.Stringer{q}
		for _, r := range c.runsOf(q) {
			sameSend := q.RequestID != "" && r.RequestID == q.RequestID
			if q.Key == "" || sameSend || r.Start.Before(q.End) {
				ops = append(ops, r)
			}
		}
		if len(ops) > 1 {
			c.r.FalseNotRun++
			c.addViolation(TrueNotRun, ops, "the caller was notified that it did not run: %s", q.Reason)
		}
	}
}

// concurrentRuns finds requests that ran in two places at once.
func (c *checker) concurrentRuns() {
	for _, token := range sortedKeys(c.byToken) {
		runs := c.byToken[token]
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				if a.Start.Before(c.end(b.End)) && b.Start.Before(c.end(a.End)) {
					c.r.DoubleRuns++
					c.addViolation(SingleExecution, []fmt.Stringer{a, b}, "request %s ran in two places at once", token)
				}
			}
		}
	}
}

// repeatedRuns finds non-idempotent requests that ran more than once, and checks the runs and answers of
// each key.
func (c *checker) repeatedRuns() {
	idempotent := map[string]bool{}
	for _, q := range c.h.Requests {
		idempotent[q.Token] = q.Idempotent
	}
	for _, token := range sortedKeys(c.byToken) {
		runs := c.byToken[token]
		if isIdempotent, found := idempotent[token]; found && !isIdempotent && len(runs) > 1 {
			c.r.DoubleRuns += len(runs) - 1
			c.addViolation(AtMostOnce, stringers(runs), "request %s is not idempotent and ran %d times", token, len(runs))
		}
	}
	for _, key := range sortedKeys(c.byKey) {
		c.keyOutcome(key)
	}
}

// stops finds requests that a planned stop interrupted, and stops that failed. A request was in progress if
// it was sent before the stop began, or if a target ran it nevertheless. A send that found no connection never was.
func (c *checker) stops() {
	for _, i := range c.h.Incidents {
		if i.Kind != ProcessStop {
			continue
		}
		if i.Err != "" || i.End.IsZero() {
			c.addViolation(GracefulStop, []fmt.Stringer{i}, "the stop failed: %s", i.Err)
		}
		for _, q := range c.h.Requests {
			inTime := !q.Start.After(c.end(i.End)) && !q.End.Before(i.Start)
			cut := q.Outcome == Lost && !q.Unsent || q.Truncated
			if q.Entry != i.Subject || !inTime || !cut {
				continue
			}
			if q.Start.Before(i.Start) || len(c.runsOf(q)) > 0 {
				c.r.CutRequests++
				c.addViolation(GracefulStop, []fmt.Stringer{q, i}, "a request in progress was interrupted: %s", q.Reason)
			}
		}
	}
}

// leaving finds work that reached a target later than LeaveLimit after it announced that it leaves.
func (c *checker) leaving() {
	for _, i := range c.h.Incidents {
		if i.Kind != TargetLeave {
			continue
		}
		from := i.Start.Add(LeaveLimit)
		for _, r := range c.h.Runs {
			if r.Target == i.Subject && r.Arrived.After(from) && r.Arrived.Before(c.end(i.End)) {
				c.r.LateToLeaving++
				c.addViolation(LeavingTarget, []fmt.Stringer{r, i}, "work arrived %v after the target announced that it leaves",
					r.Arrived.Sub(i.Start).Round(time.Millisecond))
			}
		}
	}
}

// stringers converts a slice to one of type []fmt.Stringer.
func stringers[T fmt.Stringer](in []T) []fmt.Stringer {
	out := make([]fmt.Stringer, 0, len(in))
	for _, v := range in {
		out = append(out, v)
	}
	return out
}
