// Package config folds published configuration records into the effective configuration.
//
// A proposal names the version it expects to replace. The first one in log order that names the
// current version wins. Every reader reaches the same verdict from the log alone, so no other
// consensus is needed. The verdict does not depend on whether a spec is valid: builds of different
// versions would disagree about that. A spec is validated before a record is published, and again
// when the record is converted to the internal form, see View.
package config

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/crocusspring/crocusspring/internal/logsvc"
)

// Stream is the log stream that carries configuration.
const Stream = "config"

// ProposalSchema is the schema version of Proposal.
const ProposalSchema = 1

// Key names one configuration record.
type Key struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
}

// String formats the key as kind/name.
func (k Key) String() string { return k.Kind + "/" + k.Name }

// Proposal is the body of a config record as an operator publishes it.
type Proposal struct {
	Key
	// Schema is the schema version of Spec.
	Schema int `json:"schema"`
	// Expected is the version that the proposal replaces; 0 for a new record.
	Expected int64 `json:"expected"`
	// Workspace owns the record; empty for records of the platform.
	Workspace string `json:"workspace,omitempty"`
	// Deleted removes the record.
	Deleted bool            `json:"deleted,omitempty"`
	Spec    json.RawMessage `json:"spec,omitempty"`
	// At is when the record was published, by the clock of the publishing process.
	At time.Time `json:"at,omitzero"`
}

// Owner returns the workspace that the record belongs to; empty for the platform. The record of a workspace
// belongs to that workspace.
func (p Proposal) Owner() string {
	if p.Kind == KindWorkspace {
		return p.Name
	}
	return p.Workspace
}

// Version is one accepted record.
type Version struct {
	Proposal
	// Number increases with every accepted proposal of the key, possibly by more than one.
	Number   int64         `json:"version"`
	Offset   logsvc.Offset `json:"offset"`
	By       string        `json:"by"`
	RecordID string        `json:"record_id"`
}

// Verdict is the decision of the fold about one proposal.
type Verdict struct {
	RecordID string `json:"record_id"`
	Key      Key    `json:"key"`
	Accepted bool   `json:"accepted"`
	// Current is the version in effect after the verdict.
	Current int64 `json:"current"`
	// Offset is the log offset of the proposal.
	Offset logsvc.Offset `json:"offset"`
	Reason string        `json:"reason,omitempty"`
}

// Change is the result of folding one entry of the stream.
type Change struct {
	Verdict
	By       string
	Proposal Proposal
	// Before is the version that was in effect until then; nil for none.
	Before *Version
	// Repeated means that the entry or the record's id was folded before, or that the entry is a snapshot;
	// nothing changed.
	Repeated bool
}

// Fault describes an entry or a record that could not be read. It affects no other record.
type Fault struct {
	Offset  logsvc.Offset `json:"offset"`
	Record  string        `json:"record,omitempty"`
	Problem string        `json:"problem"`
}

// String formats the fault on one line.
func (f Fault) String() string {
	if f.Record == "" {
		return fmt.Sprintf("offset %d: %s", f.Offset, f.Problem)
	}
	return fmt.Sprintf("offset %d: %s: %s", f.Offset, f.Record, f.Problem)
}

// GapError means that an entry does not directly follow the newest folded one.
type GapError struct{ Next, Got logsvc.Offset }

// Error implements error; it names both offsets.
func (e *GapError) Error() string {
	return fmt.Sprintf("entry %d can't be folded before entry %d", e.Got, e.Next)
}
