// Package record defines the envelope that every record of the system carries on the log.
package record

import (
	"encoding/json"
	"fmt"

	"github.com/google/uuid"
)

// Kind names what a record is.
type Kind string

// Kinds of records on the streams of the system. Kinds of configuration are in package config.
const (
	KindLease     Kind = "cell-lease"
	KindJob       Kind = "job"
	KindCancel    Kind = "job-cancel"
	KindAssign    Kind = "task-assign"
	KindTaskState Kind = "task-state"
	KindSnapshot  Kind = "snapshot"
	KindProposal  Kind = "config"
	KindClaim     Kind = "claim"
	KindRelease   Kind = "claim-release"
	KindOutcome   Kind = "claim-outcome"
	KindClaims    Kind = "claim-snapshot"
)

// Envelope is what stands around the body of every record.
type Envelope struct {
	// ID is unique to the record; appending the same id again has no effect.
	ID string `json:"id"`
	// Kind says how to read the body.
	Kind Kind `json:"kind"`
	// Schema is the version of the body's shape.
	Schema int `json:"schema"`
	// By names the process or operator that wrote the record.
	By string `json:"by"`
	// Body is the record itself.
	Body json.RawMessage `json:"body"`
}

// NewID returns a fresh record id (UUIDv7).
func NewID() string { return uuid.Must(uuid.NewV7()).String() }

// New returns an envelope around body. The body must be of a type that always encodes.
func New(id string, kind Kind, schema int, by string, body any) (Envelope, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return Envelope{}, fmt.Errorf("encode %s record: %w", kind, err)
	}
	return Envelope{ID: id, Kind: kind, Schema: schema, By: by, Body: data}, nil
}

// Decode reads an envelope from the data of a log entry.
func Decode(data json.RawMessage) (Envelope, error) {
	var e Envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return Envelope{}, fmt.Errorf("decode record: %w", err)
	}
	if e.ID == "" || e.Kind == "" {
		return Envelope{}, fmt.Errorf("decode record: id and kind must not be empty")
	}
	return e, nil
}

// Encode returns the data of a log entry.
func (e Envelope) Encode() (json.RawMessage, error) {
	data, err := json.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("encode record %s: %w", e.ID, err)
	}
	return data, nil
}
