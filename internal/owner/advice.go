package owner

import (
	"context"
	"time"

	"github.com/crocusspring/crocusspring/internal/sched"
)

// Adviser is the port to the policy service.
type Adviser interface {
	Advise(ctx context.Context, step string, workers []string) (sched.Approval, error)
}

// adviceSlack is added to the time that an answer should take.
const adviceSlack = 500 * time.Millisecond

// advise puts the scheduler's questions to the policy service. The service handles one at a time for
// each caller, so a second one under way would only wait there.
func (c *Cell) advise(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case q := <-c.questions:
			call, cancel := context.WithTimeout(ctx, q.Within+adviceSlack)
			a, err := c.adviser.Advise(call, q.Step, q.Workers)
			cancel()
			c.mu.Lock()
			c.core.HandleApproval(time.Now(), q, a, err)
			c.mu.Unlock()
			c.wake()
		}
	}
}

// ask hands the scheduler's questions on. The caller holds the lock.
func (c *Cell) ask() {
	for _, q := range c.core.ApprovalRequests() {
		select {
		case c.questions <- q:
		default:
			c.core.HandleApproval(time.Now(), q, sched.Approval{}, errManyQuestions)
		}
	}
}
