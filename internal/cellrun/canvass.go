package cellrun

import (
	"context"
	"time"

	"github.com/crocusspring/crocusspring/internal/cell"
	"github.com/crocusspring/crocusspring/internal/lease"
)

// canvassTimeout bounds one round of asking the other candidates.
const canvassTimeout = time.Second

// Peers asks the other candidates for a cell for their word not to take it.
type Peers interface {
	// Words returns which candidates were there and which gave their word.
	Words(ctx context.Context, cellName string, a lease.PromiseRequest) (heard, given []string)
}

// canvass does a Canvass action. The words count from before they were asked for.
func (d *Driver) canvass(a cell.Canvass) {
	if d.Peers == nil {
		return
	}
	asked := time.Now()
	ctx, cancel := context.WithTimeout(d.ctx, canvassTimeout)
	defer cancel()
	heard, given := d.Peers.Words(ctx, d.name, a.Ask)
	d.step(cell.Words{Ask: a.Ask, Asked: asked, Heard: heard, Given: given})
}
