// Package config folds published configuration records into the configuration in force.
//
// A proposal names the version it expects to replace. The first one in log order that names the
// current version wins and every reader reaches the same verdict, so the fold needs no other
// agreement. Whether a spec is sound plays no part in the verdict: builds of different age would
// disagree about it. It is checked before a record is published, and once more when the record is
// converted to the internal form, see View.
package config

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/crocusspring/crocusspring/internal/logsvc"
)

// Stream is the log stream that carries configuration.
const Stream = "config"

// ProposalSchema is the version of the shape of Proposal.
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
	// Schema is the version of the spec's shape.
	Schema int `json:"schema"`
	// Expected is the version the operator means to replace; 0 for a new record.
	Expected int64 `json:"expected"`
	// Workspace owns the record; empty for records of the platform.
	Workspace string `json:"workspace,omitempty"`
	// Deleted withdraws the record.
	Deleted bool            `json:"deleted,omitempty"`
	Spec    json.RawMessage `json:"spec,omitempty"`
	// At is when the record was published, by the clock of the process that did.
	At time.Time `json:"at,omitzero"`
}

// Owner returns the workspace the record belongs to: a workspace's own record to itself, and empty for
// the platform.
func (p Proposal) Owner() string {
	if p.Kind == KindWorkspace {
		return p.Name
	}
	return p.Workspace
}

// Version is one accepted record.
type Version struct {
	Proposal
	// Number grows with every accepted proposal of the key; it need not grow by one.
	Number   int64         `json:"version"`
	Offset   logsvc.Offset `json:"offset"`
	By       string        `json:"by"`
	RecordID string        `json:"record_id"`
}

// Verdict is what the fold decided about one proposal.
type Verdict struct {
	RecordID string `json:"record_id"`
	Key      Key    `json:"key"`
	Accepted bool   `json:"accepted"`
	// Current is the version in force after the verdict.
	Current int64 `json:"current"`
	// Offset is where the proposal stands.
	Offset logsvc.Offset `json:"offset"`
	Reason string        `json:"reason,omitempty"`
}

// Change is what one entry of the stream did.
type Change struct {
	Verdict
	By       string
	Proposal Proposal
	// Before is the version that was in force; nil for none.
	Before *Version
	// Repeated says that the record's id was judged before and that nothing changed.
	Repeated bool
}

// Fault is an entry or a record that could not be read. Nothing else is affected by it.
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

// GapError says that an entry does not follow the newest one that was folded.
type GapError struct{ Next, Got logsvc.Offset }

// Error names both offsets.
func (e *GapError) Error() string {
	return fmt.Sprintf("entry %d can't be folded before entry %d", e.Got, e.Next)
}
