// Package record defines the envelope of every record on the log.
package record

import (
	"encoding/json"
	"fmt"

	"github.com/google/uuid"
)

// Kind is the kind of a record.
type Kind string

// Kinds of records on the log streams. Kinds of configuration records are in package config.
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

// Envelope holds the metadata and the encoded body of a record.
type Envelope struct {
	// ID is unique to the record; appending the same id again has no effect.
	ID string `json:"id"`
	// Kind selects the type of the body.
	Kind Kind `json:"kind"`
	// Schema is the schema version of the body.
	Schema int `json:"schema"`
	// By names the process or operator that wrote the record.
	By string `json:"by"`
	// Body is the encoded content of the record.
	Body json.RawMessage `json:"body"`
}

// NewID returns a fresh record id (UUIDv7).
func NewID() string { return uuid.Must(uuid.NewV7()).String() }

// New returns an envelope with the JSON encoding of body, or an error when body can't be encoded.
func New(id string, kind Kind, schema int, by string, body any) (Envelope, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return Envelope{}, fmt.Errorf("encode %s record: %w", kind, err)
	}
	return Envelope{ID: id, Kind: kind, Schema: schema, By: by, Body: data}, nil
}

// Decode decodes an envelope from the data of a log entry; its id and kind must not be empty.
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

// Encode returns the envelope as the data of a log entry.
func (e Envelope) Encode() (json.RawMessage, error) {
	data, err := json.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("encode record %s: %w", e.ID, err)
	}
	return data, nil
}
