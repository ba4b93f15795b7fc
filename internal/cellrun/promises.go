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
	// Words returns which candidates answered and which promised.
	Words(ctx context.Context, cellName string, a lease.Ask) (heard, given []string)
}

// requestPromises executes a Canvass action. The promises count from before they were requested.
func (d *Driver) requestPromises(a cell.Canvass) {
	if d.Peers == nil {
		return
	}
	asked := time.Now()
	ctx, cancel := context.WithTimeout(d.ctx, promiseTimeout)
	defer cancel()
	heard, given := d.Peers.Words(ctx, d.name, a.Ask)
	d.step(cell.Words{Ask: a.Ask, Asked: asked, Heard: heard, Given: given})
}
