// Package targetapi is the port to targets and its HTTP adapter.
//
// A target serves POST /v1/run with the request's body. It refuses with header Crocus-Outcome:
// not-run when it did not run the request, and enforces the deadline it receives. It may also serve
// POST /v1/attempts/{request}/{attempt}/fence, which reports whether an attempt has ended and refuses one
// that was never seen should it still arrive, GET /v1/ping, and send the reading of its clock in header
// Crocus-Clock. A target that lacks some of these works all the same, but outcomes stay unknown longer.
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
	// HeaderClock carries the target's clock: an id that is new after each start and the milliseconds since.
	HeaderClock = "Crocus-Clock"
	// HeaderDeadline carries the deadline of an attempt by the target's own clock, in the same form.
	HeaderDeadline = "Crocus-Deadline"
	// HeaderIdempotent is true on a request that may run again once an earlier run has ended.
	HeaderIdempotent = "Crocus-Idempotent"
	// HeaderRetryAfterMS tells a refused caller when to retry, in milliseconds, where Retry-After has seconds.
	HeaderRetryAfterMS = "Crocus-Retry-After-Ms"
)

// Outcome says whether a request was answered, did not run, or may have run.
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
	// Budget is the time for the whole attempt, counted from the call.
	Budget time.Duration
	Body   []byte
}

// Answer is the whole answer of a target.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

// NotRunError says that the attempt certainly did not run.
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
	// Ended is true when the attempt certainly runs no more, whether it ran or not.
	Ended bool
	// ByDeadline is true when that is known only from the deadline, which the target enforces by its own clock. A
	// busy target may take a moment longer.
	ByDeadline bool
}

// Error gives the cause.
func (e *UnknownError) Error() string { return "outcome unknown: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// Caller is the port.
type Caller interface {
	// Call runs one attempt at the target's address. Its error is a *NotRunError or *UnknownError.
	Call(ctx context.Context, addr string, c Call) (Answer, error)
	// Probe queries the state of an attempt over a connection of its own and fences it if it was never seen.
	Probe(ctx context.Context, addr, request string, attempt int) (Probe, error)
}

// MaxAnswer bounds the bytes of one answer.
const MaxAnswer = 8 << 20
