// Package targetapi is the port to targets and its HTTP adapter.
//
// A target serves POST /v1/run with the request's body. It refuses with header Crocus-Outcome:
// not-run when it did not run the request, and enforces the deadline it is given. It may also serve
// POST /v1/attempts/{request}/{attempt}/fence, which tells whether an attempt is over and refuses one
// that was never seen should it still arrive, GET /v1/ping, and give the reading of its clock in
// header Crocus-Clock. What a target does not serve only costs proof: outcomes stay unknown longer.
package targetapi

import (
	"context"
	"time"
)

// Headers of the protocol between the system and targets, and towards callers.
const (
	HeaderRequestID = "Crocus-Request-Id"
	HeaderAttempt   = "Crocus-Attempt"
	HeaderBudgetMS  = "Crocus-Budget-Ms"
	HeaderOutcome   = "Crocus-Outcome"
	HeaderWorkspace = "Crocus-Workspace"
	HeaderKey       = "Idempotency-Key"
	HeaderReason    = "Crocus-Reason"
	// HeaderClock gives the target's clock: a word that is new after each start and milliseconds since.
	HeaderClock = "Crocus-Clock"
	// HeaderDeadline gives the deadline of an attempt by the target's own clock, in the same form.
	HeaderDeadline = "Crocus-Deadline"
	// HeaderIdempotent is true on a request that may run again once an earlier run is over.
	HeaderIdempotent = "Crocus-Idempotent"
	// HeaderRetryAfterMS tells a refused caller when to come back, finer than Retry-After.
	HeaderRetryAfterMS = "Crocus-Retry-After-Ms"
)

// Outcome is what is known of a request.
type Outcome string

// Outcomes of a request.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "not-run"
	Unknown  Outcome = "unknown"
)

// Call is one attempt of a request.
type Call struct {
	RequestID string
	Attempt   int
	Service   string
	Workspace string
	// Budget is the time the target has from now on.
	Budget time.Duration
	Body   []byte
}

// Answer is the whole answer of a target.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

// NotRunError says that the attempt surely did not run.
type NotRunError struct {
	Reason string
	// Sent is true when bytes of the attempt reached the target, which then refused it.
	Sent bool
}

// Error gives the reason.
func (e *NotRunError) Error() string { return "not run: " + e.Reason }

// UnknownError says that the attempt may have run.
type UnknownError struct {
	Err error
	// Over is true when the attempt is surely over, run or not.
	Over bool
}

// Error gives the cause.
func (e *UnknownError) Error() string { return "outcome unknown: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// Caller is the port.
type Caller interface {
	// Call runs one attempt at the target's address. Its error is a *NotRunError or *UnknownError.
	Call(ctx context.Context, addr string, c Call) (Answer, error)
	// Probe asks over a connection of its own what became of an attempt.
	Probe(ctx context.Context, addr, request string, attempt int) (Probe, error)
}

// MaxAnswer bounds the bytes of one answer.
const MaxAnswer = 8 << 20
