package node

import (
	"context"
	"time"

	"github.com/crocusspring/crocusspring/internal/logsvc"
)

// shareInterval is the interval at which a node recomputes its share of the log's append budget.
const shareInterval = time.Second

// runLogShare adjusts this node's append rate to its share of the log's budget as owners and entries join
// and leave, until ctx ends.
func (n *Node) runLogShare(ctx context.Context) error {
	t := time.NewTicker(shareInterval)
	defer t.Stop()
	for {
		n.commit.SetRate(n.writers().Share(float64(n.opt.LogAppends)))
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// writers counts the processes that append to the log, from the status they report. It counts at least
// Options.Share entries, so that a node that starts and hasn't received its peers' status yet doesn't
// exceed the budget.
func (n *Node) writers() logsvc.Writers {
	w := logsvc.Writers{Entry: n.opt.Role == RoleEntry}
	cells := map[string]bool{}
	for _, p := range n.members.Processes() {
		if Role(p.Role) == RoleEntry {
			w.Entries++
		}
		for _, c := range p.Cells {
			cells[c] = true
		}
	}
	w.Cells, w.Owned = len(cells), len(n.owned())
	w.Entries = max(w.Entries, n.opt.Share)
	return w
}
