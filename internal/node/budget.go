package node

import (
	"context"
	"time"

	"github.com/crocusspring/crocusspring/internal/logsvc"
)

// shareEvery is how often a node looks up its share of the log's budget.
const shareEvery = time.Second

// keepShare gives this node its share of the log's budget as owners and entries come and go.
func (n *Node) keepShare(ctx context.Context) error {
	t := time.NewTicker(shareEvery)
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

// writers counts who appends to the log by what processes report of themselves. Entries that were
// configured as peers count before they are heard of, so that a start doesn't overspend.
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
