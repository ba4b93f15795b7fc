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
// at a time for each caller, so a second one in progress would only wait there.
func (c *Cell) advise(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case q := <-c.approvalRequests:
			call, cancel := context.WithTimeout(ctx, min(max(0, q.Within), maxAdvice)+adviceSlack)
			a, err := c.adviser.Advise(call, q.Step, q.Workers)
			cancel()
			err = c.protect("handle an approval", func() error {
				c.mu.Lock()
				defer c.mu.Unlock()
				c.core.HandleApproval(time.Now(), q, a, err)
				return nil
			})
			if err != nil {
				return err
			}
			c.wake()
		}
	}
}

// queueApprovalRequests queues the scheduler's requests for advise; those that don't fit fail. The caller holds the
// lock.
func (c *Cell) queueApprovalRequests() {
	for _, q := range c.core.ApprovalRequests() {
		select {
		case c.approvalRequests <- q:
		default:
			c.core.HandleApproval(time.Now(), q, sched.Approval{}, errTooManyApprovalRequests)
		}
	}
}
