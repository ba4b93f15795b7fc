package cell

import (
	"fmt"

	"github.com/crocusspring/crocusspring/internal/logsvc"
)

// Decision names what kind of decision a note is of.
type Decision string

// Decisions that matter to operators.
const (
	DecisionTakeover  Decision = "takeover"
	DecisionEvict     Decision = "evict"
	DecisionProbation Decision = "probation"
)

// Note is one decision of the owner that matters to operators, with its cause.
type Note struct {
	Decision Decision
	Cell     string
	Epoch    logsvc.Offset
	// Subject is what was decided on: the cell, a task with its attempt or a worker.
	Subject   string
	Workspace string
	Reason    string
}

// keptNotes bounds the notes that nobody has fetched.
const keptNotes = 1024

// note keeps a decision until it is fetched; over the bound the oldest is forgotten.
func (c *Core) note(n Note) {
	n.Cell = c.opt.Cell
	if c.own != nil {
		n.Epoch = c.own.epoch
	}
	c.notes = append(c.notes, n)
	if over := len(c.notes) - keptNotes; over > 0 {
		c.notes = append([]Note(nil), c.notes[over:]...)
	}
}

// Notes returns the decisions since the last call and forgets them.
func (c *Core) Notes() []Note {
	out := c.notes
	c.notes = nil
	return out
}

// noteEviction notes that an attempt has to give way.
func (c *Core) noteEviction(t *Task, worker, reason string) {
	c.note(Note{
		Decision: DecisionEvict, Subject: fmt.Sprintf("task %s attempt %d on %s", t.ID, t.Attempt, worker),
		Workspace: t.Workspace, Reason: reason,
	})
}

// noteProbation notes when a worker comes under probation or out of it.
func (c *Core) noteProbation(w *worker, reason string) {
	if (reason != "") == w.suspended {
		return
	}
	w.suspended = reason != ""
	if reason == "" {
		reason = "over"
	}
	c.note(Note{Decision: DecisionProbation, Subject: "worker " + w.name, Reason: reason})
}
