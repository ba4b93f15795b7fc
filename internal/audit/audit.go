// Package audit keeps an audit trail of configuration changes and of selected decisions on a log stream of
// its own.
package audit

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/crocusspring/crocusspring/internal/config"
	"github.com/crocusspring/crocusspring/internal/logsvc"
)

// Stream is the log stream that holds the audit trail.
const Stream = "audit"

// KindAudit is the kind of the stream's records, Schema the version of their schema.
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

// Record is one entry of the audit trail.
type Record struct {
	// ID identifies the audited event; records with the same id are duplicates.
	ID     string    `json:"id"`
	Time   time.Time `json:"time"`
	Who    string    `json:"who"`
	Action string    `json:"action"`
	// Name is the object of the action, such as service/enrolment, job 42 or cell petaling.
	Name      string          `json:"name"`
	Workspace string          `json:"workspace,omitempty"`
	Before    json.RawMessage `json:"before,omitempty"`
	After     json.RawMessage `json:"after,omitempty"`
	Verdict   string          `json:"verdict"`
	Reason    string          `json:"reason,omitempty"`
	// Offset is the offset of the cause on its own stream; 0 when it was never published.
	Offset logsvc.Offset `json:"offset,omitempty"`
}

// Sink accepts audit records. Add never blocks.
type Sink interface {
	Add(Record)
}

// Discard is a Sink that discards all records.
type Discard struct{}

// Add implements Sink.
func (Discard) Add(Record) {}

// FromChange returns the audit record of a configuration change. Its id derives from the offset of the
// change, so that processes which report the same change write the same audit record. It belongs to the
// workspace of the configuration record in effect, if any: it holds the content before the change, which
// the operator of another workspace must not learn by trying to replace it.
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

// encode returns v as JSON; null when v can't be encoded.
func encode(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		return json.RawMessage("null")
	}
	return data
}

// Filter selects records of the audit trail. Zero fields select all.
type Filter struct {
	Since, Until time.Time
	Who          string
	// Name selects records whose name contains it.
	Name   string
	Action string
	// Workspaces selects records of these workspaces; nil selects all, also those of the platform.
	Workspaces []string
}

// Match reports whether the filter selects a record.
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
