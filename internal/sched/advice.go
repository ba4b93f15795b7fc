package sched

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/internal/event"
)

const (
	// maxAsked is the most workers of one question; a question takes longer with each.
	maxAsked = 30
	// askAgain is how long after a question that failed it is put again.
	askAgain = 150 * time.Millisecond
	// askMargin is the part of a ticket's life that is left for the start to arrive.
	askMargin = 300 * time.Millisecond
)

// Question asks the policy service which workers may run a step.
type Question struct {
	// Step is JOB.OCCURRENCE.STEP.
	Step    string
	Workers []string
	// Within is how long the answer should take.
	Within time.Duration
}

// Approval is the answer: a ticket for each worker that may run the step.
type Approval struct {
	Tickets map[string]string
	Valid   time.Duration
}

// ask puts a question for a step, unless one is on its way. Workers that were asked about and not
// approved never will be.
func (c *Core) ask(now time.Time, s *step) {
	if s.asking || now.Before(s.askAt) {
		return
	}
	var able []*worker
	for _, w := range c.order {
		if !s.denied[w.id] && !s.approved(now, w.id) && c.refuseBut(now, s, w, "ticket") == "" {
			able = append(able, w)
		}
	}
	if len(able) == 0 {
		return
	}
	slices.SortStableFunc(able, func(a, b *worker) int { return -cmp.Compare(c.score(s.spec, s, a), c.score(s.spec, s, b)) })
	able = able[:min(len(able), maxAsked)]
	q := Question{Step: s.place()}
	for _, w := range able {
		q.Workers = append(q.Workers, w.id)
	}
	advice := s.occ.job.spec.Policy.Advice
	q.Within = time.Duration(advice.DecideMS+advice.EachMS*int64(len(able))) * time.Millisecond
	s.asking = true
	c.asking[q.Step] = s
	c.questions = append(c.questions, q)
}

// Questions returns what is to be asked of the policy service, most urgent first.
func (c *Core) Questions() []Question {
	out := c.questions
	c.questions = nil
	return out
}

// Advised takes the answer to a question; with an error it is put again later.
func (c *Core) Advised(now time.Time, q Question, a Approval, err error) {
	s := c.asking[q.Step]
	if s == nil {
		return
	}
	delete(c.asking, q.Step)
	s.asking, s.again = false, time.Time{}
	if err != nil {
		s.askAt = now.Add(askAgain)
		c.note(event.Advice, q.Step, fmt.Sprintf("workers=%d err=%q", len(q.Workers), err))
		return
	}
	if s.tickets == nil {
		s.tickets, s.denied = map[string]ticket{}, map[string]bool{}
	}
	for _, id := range q.Workers {
		text, ok := a.Tickets[id]
		if !ok {
			s.denied[id] = true
			continue
		}
		s.tickets[id] = ticket{text: text, until: now.Add(a.Valid - askMargin)}
	}
	c.note(event.Advice, q.Step, fmt.Sprintf("workers=%d approved=%d valid=%s", len(q.Workers), len(a.Tickets), a.Valid))
}
