package cell

import (
	"fmt"

	"github.com/crocusspring/crocusspring/internal/logsvc"
)

// Decision is the kind of a decision record.
type Decision string

// Kinds of decisions that are recorded for operators.
const (
	DecisionTakeover  Decision = "takeover"
	DecisionEvict     Decision = "evict"
	DecisionProbation Decision = "probation"
)

// DecisionRecord is the record of one decision of the owner that matters to operators, with its cause.
type DecisionRecord struct {
	Decision Decision
	Cell     string
	Epoch    logsvc.Offset
	// Subject is what the decision is about: the cell, a task with its attempt or a worker.
	Subject   string
	Workspace string
	Reason    string
}

// maxDecisionRecords bounds the decision records that have not been fetched.
const maxDecisionRecords = 1024

// recordDecision keeps a decision until it is fetched; over the limit the oldest is dropped.
func (c *Core) recordDecision(n DecisionRecord) {
	n.Cell = c.opt.Cell
	if c.owner != nil {
		n.Epoch = c.owner.epoch
	}
	c.decisions = append(c.decisions, n)
	if over := len(c.decisions) - maxDecisionRecords; over > 0 {
		c.decisions = append([]DecisionRecord(nil), c.decisions[over:]...)
	}
}

// DecisionRecords returns the decisions since the last call and clears them.
func (c *Core) DecisionRecords() []DecisionRecord {
	out := c.decisions
	c.decisions = nil
	return out
}

// recordEviction records that an attempt is evicted.
func (c *Core) recordEviction(t *Task, worker, reason string) {
	c.recordDecision(DecisionRecord{
		Decision: DecisionEvict, Subject: fmt.Sprintf("task %s attempt %d on %s", t.ID, t.Attempt, worker),
		Workspace: t.Workspace, Reason: reason,
	})
}

// recordProbation records when a worker is put on probation or taken off it.
func (c *Core) recordProbation(w *worker, reason string) {
	if (reason != "") == w.suspended {
		return
	}
	w.suspended = reason != ""
	if reason == "" {
		reason = "over"
	}
	c.recordDecision(DecisionRecord{Decision: DecisionProbation, Subject: "worker " + w.name, Reason: reason})
}
