// Package audit keeps the trail of changes and of decisions that matter on a log stream of its own.
package audit

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/crocusspring/crocusspring/internal/config"
	"github.com/crocusspring/crocusspring/internal/logsvc"
)

// Stream is the log stream that carries the trail.
const Stream = "audit"

// KindAudit is the kind of the stream's records, Schema the version of their shape.
const (
	KindAudit = "audit"
	Schema    = 1
)

// Verdicts of an audited action.
const (
	Accepted = "accepted"
	Refused  = "refused"
	Done     = "done"
)

// Actions that are audited.
const (
	ActionChange    = "config-change"
	ActionEvict     = "evict"
	ActionTakeover  = "takeover"
	ActionProbation = "probation"
)

// Record is one line of the trail.
type Record struct {
	// ID is unique to what happened; the same id again is the same line.
	ID     string    `json:"id"`
	Time   time.Time `json:"time"`
	Who    string    `json:"who"`
	Action string    `json:"action"`
	// Name is what the action was on, such as service/enrolment, job 42 or cell petaling.
	Name      string          `json:"name"`
	Workspace string          `json:"workspace,omitempty"`
	Before    json.RawMessage `json:"before,omitempty"`
	After     json.RawMessage `json:"after,omitempty"`
	Verdict   string          `json:"verdict"`
	Reason    string          `json:"reason,omitempty"`
	// Offset is where the cause stands on its own stream; 0 when it was never published.
	Offset logsvc.Offset `json:"offset,omitempty"`
}

// Port takes what is to be audited. Note never blocks.
type Port interface {
	Note(Record)
}

// Nowhere is a Port that keeps nothing.
type Nowhere struct{}

// Note implements Port.
func (Nowhere) Note(Record) {}

// FromChange returns the line of a judged configuration record. Its id follows from the record's
// offset, so that two processes which report the same change write the same line. The line belongs to
// the workspace of the record in force, if any: it holds what was there before, which the operator of
// another workspace must not learn by trying to replace it.
func FromChange(c config.Change) Record {
	r := Record{
		ID: fmt.Sprintf("change-%d", c.Offset), Time: c.Proposal.At, Who: c.By, Action: ActionChange,
		Name: c.Key.String(), Workspace: c.Proposal.Owner(), Verdict: Refused, Reason: c.Reason, Offset: c.Offset,
	}
	if c.Accepted {
		r.Verdict, r.Reason = Accepted, fmt.Sprintf("version %d", c.Current)
	}
	if c.Before != nil {
		r.Before, r.Workspace = encode(*c.Before), c.Before.Owner()
	}
	if !c.Proposal.Deleted {
		r.After = encode(c.Proposal)
	}
	return r
}

// encode returns v as JSON; null when it has none.
func encode(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		return json.RawMessage("null")
	}
	return data
}

// Filter selects lines of the trail. Zero parts select all.
type Filter struct {
	Since, Until time.Time
	Who          string
	// Name selects lines whose name contains it.
	Name   string
	Action string
	// Workspaces selects lines of these workspaces; nil selects all, also those of the platform.
	Workspaces []string
}

// Match reports whether a line is selected.
func (f Filter) Match(r Record) bool {
	switch {
	case !f.Since.IsZero() && r.Time.Before(f.Since),
		!f.Until.IsZero() && r.Time.After(f.Until),
		f.Who != "" && r.Who != f.Who,
		f.Action != "" && r.Action != f.Action,
		!strings.Contains(r.Name, f.Name):
		return false
	}
	if f.Workspaces == nil {
		return true
	}
	for _, w := range f.Workspaces {
		if r.Workspace == w {
			return true
		}
	}
	return false
}
