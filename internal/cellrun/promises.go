package cellrun

import (
	"context"
	"time"

	"github.com/crocusspring/crocusspring/internal/cell"
	"github.com/crocusspring/crocusspring/internal/lease"
)

// promiseTimeout bounds one round of promise requests.
const promiseTimeout = time.Second

// Peers requests promises not to take a cell from its other candidates.
type Peers interface {
	// RequestPromises returns which candidates answered and which promised.
	RequestPromises(ctx context.Context, cellName string, a lease.PromiseRequest) (answered, promised []string)
}

// requestPromises executes a RequestPromises action. The promises count from before they were requested.
func (d *Driver) requestPromises(a cell.RequestPromises) {
	if d.Peers == nil {
		return
	}
	requestedAt := time.Now()
	ctx, cancel := context.WithTimeout(d.ctx, promiseTimeout)
	defer cancel()
	answered, promised := d.Peers.RequestPromises(ctx, d.name, a.Request)
	d.step(cell.PromiseResults{Request: a.Request, RequestedAt: requestedAt, Answered: answered, Promised: promised})
}
