package node

import (
	"fmt"
	"time"

	"github.com/crocusspring/crocusspring/internal/audit"
	"github.com/crocusspring/crocusspring/internal/cell"
)

// auditDecision writes a decision of a cell's owner to the audit trail. The record of a takeover has the
// same id in every process, so it appears once however many processes write it.
func (n *Node) auditDecision(d cell.DecisionRecord) {
	r := audit.Record{
		Time: time.Now().UTC(), Who: n.opt.ID, Action: string(d.Decision), Name: d.Subject, Workspace: d.Workspace,
		Verdict: audit.Done, Reason: d.Reason, Offset: d.Epoch,
	}
	if d.Decision == cell.DecisionTakeover {
		r.ID = fmt.Sprintf("takeover-%s-%d", d.Cell, d.Epoch)
	}
	n.audit.Add(r)
}
