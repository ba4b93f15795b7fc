package sched

import (
	"fmt"
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/internal/event"
)

const (
	// approvalRetryDelay is how long after a failed approval request a step may send the next one. It doubles with each
	// further failure up to maxApprovalRetryDelay, so that a step whose requests fail leaves the policy service to others.
	approvalRetryDelay    = 150 * time.Millisecond
	maxApprovalRetryDelay = 1200 * time.Millisecond
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

// approvals holds the steps that need the policy service.
type approvals struct {
	// wanted holds the steps that wait for it, with the time since when.
	wanted map[*step]time.Time
	// sent holds the requests without a response, by step name.
	sent map[string]sentRequest
	// requests counts the requests sent.
	requests int
}

// sentRequest is a request to the policy service without a response.
type sentRequest struct {
	step *step
	// waited is how long the step waited for the service, order the place that it had then.
	waited time.Duration
	order  approvalPlace
}

// newApprovals returns approvals without steps.
func newApprovals() approvals {
	return approvals{wanted: map[*step]time.Time{}, sent: map[string]sentRequest{}}
}

// pending reports whether a request about a step has no response yet.
func (a *approvals) pending(s *step) bool { return a.sent[s.name()].step == s }

// requestApproval notes that a step whose queue takes advice wants approvals, unless one of its requests is in progress or has
// just failed, or there is no worker to ask about. NextApprovalRequest returns the request when its turn has come.
func (c *Core) requestApproval(now time.Time, s *step) {
	if s.occ.job.spec.Policy.Advice == nil || now.Before(s.nextRequestAt) {
		return
	}
	if _, ok := c.approvals.wanted[s]; ok || c.approvals.pending(s) || len(c.workersToApprove(now, s)) == 0 {
		return
	}
	c.approvals.wanted[s] = now
}

// requestForSuspects asks about the steps of tasks that wait for an isolated start. No worker refuses them while others have all
// the workers that may be kept.
func (c *Core) requestForSuspects(now time.Time, waiting []*task) {
	asked := map[*step]bool{}
	for _, t := range waiting {
		if !t.held() && !asked[t.step] {
			asked[t.step] = true
			c.requestApproval(now, t.step)
		}
	}
}

// NextApprovalRequest returns the request that is best to send to the policy service now; false if no step needs one. The
// caller passes the response to HandleApproval.
func (c *Core) NextApprovalRequest(now time.Time) (ApprovalRequest, bool) {
	for waiting := c.orderWanted(now); len(waiting) > 0; {
		i := c.nextTurn(waiting)
		w := waiting[i]
		delete(c.approvals.wanted, w.step)
		workers := c.workersToApprove(now, w.step)
		if len(workers) > 0 {
			c.approvals.requests++
			c.approvals.sent[w.name] = sentRequest{step: w.step, waited: now.Sub(w.wanted), order: approvalPlace{w.class, i + 1, len(waiting)}}
			return newApprovalRequest(w.step, workers), true
		}
		waiting = slices.Delete(waiting, i, i+1)
	}
	return ApprovalRequest{}, false
}

// newApprovalRequest returns the request about workers for a step.
func newApprovalRequest(s *step, workers []*worker) ApprovalRequest {
	advice := s.occ.job.spec.Policy.Advice
	req := ApprovalRequest{Step: s.name(), Within: time.Duration(advice.DecideMS+advice.EachMS*int64(len(workers))) * time.Millisecond}
	for _, w := range workers {
		req.Workers = append(req.Workers, w.id)
	}
	return req
}

// HandleApproval takes the response to a request; after an error the step may ask again later.
func (c *Core) HandleApproval(now time.Time, req ApprovalRequest, a Approval, err error) {
	sent, ok := c.approvals.sent[req.Step]
	if !ok {
		return
	}
	delete(c.approvals.sent, req.Step)
	s := sent.step
	s.placement, s.isolation = retry{}, retry{}
	wait := fmt.Sprintf("waited=%s %s", sent.waited.Round(time.Millisecond), sent.order)
	if err != nil {
		s.requestDelay = min(max(approvalRetryDelay, 2*s.requestDelay), maxApprovalRetryDelay)
		s.nextRequestAt = now.Add(s.requestDelay)
		c.logDecision(event.Advice, req.Step, fmt.Sprintf("workers=%d err=%q %s", len(req.Workers), err, wait))
		return
	}
	s.requestDelay = 0
	if s.tickets == nil {
		s.tickets, s.denied = map[string]ticket{}, map[string]bool{}
	}
	for _, id := range req.Workers {
		text, ok := a.Tickets[id]
		if !ok {
			s.denied[id] = true
			continue
		}
		s.tickets[id] = newTicket(now, text, a.Valid)
	}
	c.logDecision(event.Advice, req.Step, fmt.Sprintf("workers=%d approved=%d valid=%s %s", len(req.Workers), len(a.Tickets), a.Valid, wait))
}

// newTicket returns a ticket that has just been issued.
func newTicket(now time.Time, text string, valid time.Duration) ticket {
	valid -= ticketMargin
	return ticket{text: text, until: now.Add(valid), renewAt: now.Add(valid - min(renewalLead, valid/2))}
}
