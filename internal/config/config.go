// Package config folds published configuration records into the configuration in force.
//
// A proposal names the version it expects to replace. The first one in log order that names the
// current version wins and every reader reaches the same verdict, so the fold needs no other
// agreement. Folding is idempotent by record id.
package config

import (
	"encoding/json"
	"fmt"

	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/record"
)

// Stream is the log stream that carries configuration.
const Stream = "config"

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
}

// Version is one accepted record.
type Version struct {
	Proposal
	// Number counts the accepted proposals of the key, from 1.
	Number int64         `json:"version"`
	Offset logsvc.Offset `json:"offset"`
	By     string        `json:"by"`
}

// Verdict is what the fold decided about one proposal.
type Verdict struct {
	RecordID string `json:"record_id"`
	Key      Key    `json:"key"`
	Accepted bool   `json:"accepted"`
	// Current is the version in force after the verdict.
	Current int64  `json:"current"`
	Reason  string `json:"reason,omitempty"`
}

// State is the fold of the config stream. The zero value is not ready; use NewState.
type State struct {
	versions map[Key]Version
	verdicts map[string]Verdict
	next     logsvc.Offset
}

// NewState returns the fold of the empty stream.
func NewState() *State {
	return &State{versions: map[Key]Version{}, verdicts: map[string]Verdict{}, next: 1}
}

// Step folds one log entry. Entries before the next offset were folded already and change nothing.
func (s *State) Step(e logsvc.Entry) (Verdict, error) {
	if e.Offset < s.next {
		return Verdict{}, nil
	}
	s.next = e.Offset + 1
	env, err := record.Decode(e.Data)
	if err != nil {
		return Verdict{}, fmt.Errorf("config offset %d: %w", e.Offset, err)
	}
	if v, ok := s.verdicts[env.ID]; ok {
		return v, nil
	}
	var p Proposal
	if err := json.Unmarshal(env.Body, &p); err != nil {
		return Verdict{}, fmt.Errorf("config offset %d: record %s: %w", e.Offset, env.ID, err)
	}
	v := s.judge(env, p, e.Offset)
	s.verdicts[env.ID] = v
	return v, nil
}

// judge compares the proposal with the version in force and folds it when it wins.
func (s *State) judge(env record.Envelope, p Proposal, at logsvc.Offset) Verdict {
	cur := s.versions[p.Key]
	v := Verdict{RecordID: env.ID, Key: p.Key, Current: cur.Number}
	if p.Expected != cur.Number {
		v.Reason = fmt.Sprintf("expected version %d, but version %d by %s is in force", p.Expected, cur.Number, cur.By)
		return v
	}
	s.versions[p.Key] = Version{Proposal: p, Number: cur.Number + 1, Offset: at, By: env.By}
	v.Accepted = true
	v.Current = cur.Number + 1
	return v
}

// Get returns the version in force of a key; deleted records are not found.
func (s *State) Get(k Key) (Version, bool) {
	v, ok := s.versions[k]
	return v, ok && !v.Deleted
}

// Verdict returns what was decided about a record id.
func (s *State) Verdict(id string) (Verdict, bool) {
	v, ok := s.verdicts[id]
	return v, ok
}

// All returns every record in force in no particular order.
func (s *State) All() []Version {
	out := make([]Version, 0, len(s.versions))
	for _, v := range s.versions {
		if !v.Deleted {
			out = append(out, v)
		}
	}
	return out
}

// Next returns the offset to read from next.
func (s *State) Next() logsvc.Offset { return s.next }
