package sched

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/internal/event"
)

const (
	// maxRequestWorkers is the most workers in one approval request; its service time grows with each.
	maxRequestWorkers = 30
	// approvalRetryDelay is how long after a failed approval request a step may send the next one.
	approvalRetryDelay = 150 * time.Millisecond
	// ticketMargin is the part of a ticket's validity reserved for the start to reach the worker.
	ticketMargin = 300 * time.Millisecond
)

// ApprovalRequest asks the policy service which workers may run a step.
type ApprovalRequest struct {
	// Step is JOB.OCCURRENCE.STEP.
	Step    string
	Workers []string
	// Within is how long the response should take.
	Within time.Duration
}

// Approval is the response: a ticket for each worker that may run the step.
type Approval struct {
	Tickets map[string]string
	Valid   time.Duration
}

// requestApproval queues an approval request for a step whose queue takes advice, unless one is pending. Workers that a
// response has left out are never requested again for that step.
func (c *Core) requestApproval(now time.Time, s *step) {
	if s.occ.job.spec.Policy.Advice == nil || s.approvalPending || now.Before(s.nextRequestAt) {
		return
	}
	refusal := c.refusalSoon(now, s)
	var candidates []*worker
	for _, w := range c.sortedWorkers {
		if !s.denied[w.id] && !s.approved(now, w.id) && refusal(w) == "" {
			candidates = append(candidates, w)
		}
	}
	if len(candidates) == 0 {
		return
	}
	slices.SortStableFunc(candidates, func(a, b *worker) int { return -cmp.Compare(c.score(s.spec, s, a), c.score(s.spec, s, b)) })
	candidates = candidates[:min(len(candidates), maxRequestWorkers)]
	req := ApprovalRequest{Step: s.name()}
	for _, w := range candidates {
		req.Workers = append(req.Workers, w.id)
	}
	advice := s.occ.job.spec.Policy.Advice
	req.Within = time.Duration(advice.DecideMS+advice.EachMS*int64(len(candidates))) * time.Millisecond
	s.approvalPending = true
	c.awaitingApproval[req.Step] = s
	c.approvalRequests = append(c.approvalRequests, req)
}

// refusalSoon returns the function that tells why a worker, once it is approved, can't take a waiting task of a step now, nor
// once the task is starved; approvals of doubtful workers are asked for only then.
func (c *Core) refusalSoon(now time.Time, s *step) func(w *worker) string {
	suspect := func(t *task) bool { return t.state == stateWaiting && t.startsAlone() }
	if c.yields(now, s) != "" && !slices.ContainsFunc(s.tasks, suspect) {
		return func(w *worker) string { return c.refusalExcept(now, s, w, "ticket") }
	}
	return func(w *worker) string {
		if c.doubts(now, w) && !s.starved(now) {
			return healthName
		}
		return c.starvedRefusal(now, s, w, "ticket")
	}
}

// ApprovalRequests returns the requests to send to the policy service, most urgent first.
func (c *Core) ApprovalRequests() []ApprovalRequest {
	out := c.approvalRequests
	c.approvalRequests = nil
	return out
}

// HandleApproval takes the response to a request; after an error the request is retried later.
func (c *Core) HandleApproval(now time.Time, req ApprovalRequest, a Approval, err error) {
	s := c.awaitingApproval[req.Step]
	if s == nil {
		return
	}
	delete(c.awaitingApproval, req.Step)
	s.approvalPending, s.placement, s.isolation = false, retry{}, retry{}
	if err != nil {
		s.nextRequestAt = now.Add(approvalRetryDelay)
		c.logDecision(event.Advice, req.Step, fmt.Sprintf("workers=%d err=%q", len(req.Workers), err))
		return
	}
	if s.tickets == nil {
		s.tickets, s.denied = map[string]ticket{}, map[string]bool{}
	}
	for _, id := range req.Workers {
		text, ok := a.Tickets[id]
		if !ok {
			s.denied[id] = true
			continue
		}
		s.tickets[id] = ticket{text: text, until: now.Add(a.Valid - ticketMargin)}
	}
	c.logDecision(event.Advice, req.Step, fmt.Sprintf("workers=%d approved=%d valid=%s", len(req.Workers), len(a.Tickets), a.Valid))
}
