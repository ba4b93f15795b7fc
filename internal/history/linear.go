package history

import (
	"fmt"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// linearizeTimeout bounds the time of one search for a linearization.
const linearizeTimeout = 5 * time.Second

// checkLinearizable reports whether operations are linearizable by a model; if they are not, or if the
// search times out, it adds a violation.
func (c *checker) checkLinearizable(p Invariant, m porcupine.Model, ops []porcupine.Operation, seen []fmt.Stringer, what string) bool {
	switch porcupine.CheckOperationsTimeout(m, ops, linearizeTimeout) {
	case porcupine.Illegal:
		c.addViolation(p, seen, "the operations seen of %s are not linearizable", what)
		return false
	case porcupine.Unknown:
		c.addViolation(p, seen, "the search for a linearization of %s did not end within %v", what, linearizeTimeout)
		return false
	}
	return true
}

// keyOp is a run of a key's request or an answer to one of its sends.
type keyOp struct {
	run    bool
	answer string
}

// keyState is the state of a key: whether its request ran, and its first answer.
type keyState struct {
	ran      bool
	answered bool
	answer   string
}

// keyModel allows one run, and after it the same answer to every send.
var keyModel = porcupine.Model{
	Init: func() any { return keyState{} },
	Step: func(state, input, _ any) (bool, any) {
		s, op := state.(keyState), input.(keyOp)
		if op.run {
			return !s.ran, keyState{ran: true}
		}
		if s.answered {
			return s.answer == op.answer, s
		}
		return s.ran, keyState{ran: true, answered: true, answer: op.answer}
	},
}

// keyOutcome checks the runs and answers of one key.
func (c *checker) keyOutcome(key string) {
	var ops []porcupine.Operation
	var seen []fmt.Stringer
	for _, r := range c.byKey[key] {
		ops = append(ops, operation(keyOp{run: true}, nil, r.Start, c.end(r.End)))
		seen = append(seen, r)
	}
	answers := 0
	for _, q := range c.requestsOf(key) {
		if q.Outcome == Answered {
			answers++
			ops = append(ops, operation(keyOp{answer: q.Answer}, nil, q.Start, q.End))
			seen = append(seen, q)
		}
	}
	if len(c.byKey[key]) > 1 || answers > 0 {
		c.checkLinearizable(AtMostOnce, keyModel, ops, seen, "key "+key)
	}
}

// requestsOf returns the sends of a key.
func (c *checker) requestsOf(key string) []*Request {
	if c.sends == nil {
		c.sends = map[string][]*Request{}
		for _, q := range c.h.Requests {
			c.sends[q.Key] = append(c.sends[q.Key], q)
		}
	}
	return c.sends[key]
}

// operation returns an operation in the form of package porcupine.
func operation(input, output any, from, to time.Time) porcupine.Operation {
	return porcupine.Operation{Input: input, Output: output, Call: from.UnixNano(), Return: to.UnixNano()}
}

// taskOp is the start or the end of an attempt of a task.
type taskOp struct {
	began   bool
	attempt int
	resume  int
}

// taskState is the state of a task: the attempt that holds it, 0 for none, and the newest attempt so far.
type taskState struct{ holder, newest int }

// taskModel allows one holder at a time, each with a higher attempt number than all before it and with a
// resume only from a lower one.
var taskModel = porcupine.Model{
	Init: func() any { return taskState{} },
	Step: func(state, input, _ any) (bool, any) {
		s, op := state.(taskState), input.(taskOp)
		if !op.began {
			return s.holder == op.attempt, taskState{newest: s.newest}
		}
		ok := s.holder == 0 && op.attempt > s.newest && op.resume < op.attempt
		return ok, taskState{holder: op.attempt, newest: op.attempt}
	},
}

// ownership finds tasks that had two holders at once, and attempts that started after a newer one.
func (c *checker) ownership() {
	for _, task := range sortedKeys(c.byTask) {
		as := c.byTask[task]
		found := false
		for i, a := range as {
			for _, b := range as[i+1:] {
				if b.Start.Before(c.end(a.End)) && a.Start.Before(c.end(b.End)) {
					found = true
					c.r.DoubleRuns++
					c.addViolation(SingleExecution, []fmt.Stringer{a, b}, "task %s ran in two places at once", task)
				}
			}
		}
		if !found {
			c.holders(task, as)
		}
	}
}

// holders checks the attempts of one task when they don't overlap.
func (c *checker) holders(task string, as []*Attempt) {
	var ops []porcupine.Operation
	for _, a := range as {
		ops = append(ops, operation(taskOp{began: true, attempt: a.Attempt, resume: a.Resume}, nil, a.Start, a.Start))
		ops = append(ops, operation(taskOp{attempt: a.Attempt}, nil, c.end(a.End), c.end(a.End)))
	}
	c.checkLinearizable(SingleExecution, taskModel, ops, stringers(as), "task "+task)
}

// recordOp is a proposal of an operator for a record, verdict the response to it.
type recordOp struct{ expected int64 }

type verdict struct {
	outcome Outcome
	version int64
}

// recordModel is a register that changes when the expected version is the current one. A proposal
// without a verdict may have had its effect or not.
var recordModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{int64(0)} },
	Step: func(state, input, output any) []any {
		cur, op, v := state.(int64), input.(recordOp), output.(verdict)
		switch {
		case v.outcome == Accepted && op.expected == cur && v.version == cur+1:
			return []any{cur + 1}
		case v.outcome == Conflict && op.expected != cur && v.version == cur:
			return []any{cur}
		case v.outcome == Unknown && op.expected == cur:
			return []any{cur, cur + 1}
		case v.outcome == Unknown:
			return []any{cur}
		}
		return nil
	},
}).ToModel()

// verdicts finds records whose verdicts are not linearizable, and versions that nobody published.
func (c *checker) verdicts() {
	byName := map[string][]*Proposal{}
	for _, p := range c.h.Proposals {
		if p.Outcome != NotRun {
			byName[p.Name] = append(byName[p.Name], p)
		}
	}
	for _, name := range sortedKeys(byName) {
		var ops []porcupine.Operation
		for _, p := range byName[name] {
			v, end := verdict{p.Outcome, p.Version}, p.End
			if p.Outcome == Unknown || p.Outcome == Lost {
				v, end = verdict{outcome: Unknown}, c.h.End
			}
			ops = append(ops, operation(recordOp{p.Expected}, v, p.Start, end))
		}
		c.checkLinearizable(OneVerdict, recordModel, ops, stringers(byName[name]), "record "+name)
	}
	c.unpublished(byName)
}

// unpublished finds the first version shown by a process that no proposal can have created.
func (c *checker) unpublished(byName map[string][]*Proposal) {
	for _, r := range c.h.Readings {
		for _, name := range sortedKeys(r.Versions) {
			candidates := slices.DeleteFunc(slices.Clone(byName[name]), func(p *Proposal) bool {
				return p.Outcome == Conflict || p.Start.After(r.End)
			})
			if v := r.Versions[name]; v > int64(len(candidates)) {
				c.addViolation(OneVerdict, append([]fmt.Stringer{r}, stringers(candidates)...), "version %d of %s was shown, but fewer versions were published", v, name)
				return
			}
		}
	}
}
