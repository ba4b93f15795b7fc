package owner

import (
	"context"
	"time"

	"github.com/crocusspring/crocusspring/internal/sched"
)

// Adviser is the interface to the policy service.
type Adviser interface {
	Advise(ctx context.Context, step string, workers []string) (sched.Approval, error)
}

// adviceSlack is added to the expected time of an answer to get the timeout of the call.
const adviceSlack = 500 * time.Millisecond

// maxAdvice bounds the time that one request may keep the others waiting, whatever the policy of its queue says.
const maxAdvice = 5 * time.Second

// advise sends the scheduler's requests to the policy service, one at a time: the service handles one request
// at a time for each caller, so a second one in progress would only wait there. The scheduler chooses each request when the
// service is free for it.
func (c *Cell) advise(ctx context.Context) error {
	for {
		q, ok, err := c.nextApprovalRequest()
		if err != nil {
			return err
		}
		if !ok {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-c.approvalsDue:
			}
			continue
		}
		if err := c.askForApproval(ctx, q); err != nil {
			return err
		}
	}
}

// nextApprovalRequest returns the request to send now; false if there is none.
func (c *Cell) nextApprovalRequest() (q sched.ApprovalRequest, ok bool, err error) {
	err = c.protect("choose an approval request", func() error {
		c.mu.Lock()
		defer c.mu.Unlock()
		q, ok = c.core.NextApprovalRequest(time.Now())
		return nil
	})
	return q, ok, err
}

// askForApproval sends a request to the policy service and passes the response to the scheduler.
func (c *Cell) askForApproval(ctx context.Context, q sched.ApprovalRequest) error {
	call, cancel := context.WithTimeout(ctx, min(max(0, q.Within), maxAdvice)+adviceSlack)
	a, err := c.adviser.Advise(call, q.Step, q.Workers)
	cancel()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	err = c.protect("handle an approval", func() error {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.core.HandleApproval(time.Now(), q, a, err)
		return nil
	})
	c.wake()
	return err
}

// announceApprovals tells advise that a round may have found steps that want approvals.
func (c *Cell) announceApprovals() {
	select {
	case c.approvalsDue <- struct{}{}:
	default:
	}
}
