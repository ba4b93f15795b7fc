// Package targetapi is the port to targets and its HTTP adapter.
//
// A target serves POST /v1/run with the request's body. It refuses with header Crocus-Outcome:
// not-run when it did not run the request, and enforces the deadline it is given.
package targetapi

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/crocusspring/crocusspring/internal/netdial"
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
type NotRunError struct{ Reason string }

// Error gives the reason.
func (e *NotRunError) Error() string { return "not run: " + e.Reason }

// UnknownError says that the attempt may have run.
type UnknownError struct{ Err error }

// Error gives the cause.
func (e *UnknownError) Error() string { return "outcome unknown: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// Caller is the port.
type Caller interface {
	// Call runs one attempt at the target's address. Its error is a *NotRunError or *UnknownError.
	Call(ctx context.Context, addr string, c Call) (Answer, error)
}

// MaxAnswer bounds the bytes of one answer.
const MaxAnswer = 8 << 20

// HTTP is the adapter over HTTP.
type HTTP struct{ client *http.Client }

// NewHTTP returns an adapter that keeps at most conns connections to each target.
func NewHTTP(conns int, dial ...netdial.Func) *HTTP {
	t := &http.Transport{
		DialContext:         netdial.First(500*time.Millisecond, dial...),
		MaxConnsPerHost:     conns,
		MaxIdleConnsPerHost: conns,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
	return &HTTP{client: &http.Client{Transport: t}}
}

// Call implements Caller.
func (h *HTTP) Call(ctx context.Context, addr string, c Call) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Budget)
	defer cancel()
	var wrote atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { wrote.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost,
		"http://"+addr+"/v1/run", io.NopCloser(bytes.NewReader(c.Body)))
	if err != nil {
		return Answer{}, &NotRunError{Reason: err.Error()}
	}
	req.ContentLength = int64(len(c.Body))
	req.Header.Set(HeaderRequestID, c.RequestID)
	req.Header.Set(HeaderAttempt, strconv.Itoa(c.Attempt))
	req.Header.Set(HeaderBudgetMS, strconv.FormatInt(c.Budget.Milliseconds(), 10))
	req.Header.Set(HeaderWorkspace, c.Workspace)
	req.Header.Set("Content-Type", "application/octet-stream")
	resp, err := h.client.Do(req)
	if err != nil && !wrote.Load() {
		return Answer{}, &NotRunError{Reason: "no connection to the target"}
	}
	if err != nil {
		return Answer{}, &UnknownError{Err: err}
	}
	defer resp.Body.Close()
	return whole(resp)
}

// whole reads the answer to its end; a part of one is an error.
func whole(resp *http.Response) (Answer, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswer+1))
	if err != nil {
		return Answer{}, &UnknownError{Err: fmt.Errorf("read answer: %w", err)}
	}
	if len(body) > MaxAnswer {
		return Answer{}, &UnknownError{Err: errors.New("answer is too large")}
	}
	if resp.Header.Get(HeaderOutcome) == string(NotRun) {
		return Answer{}, &NotRunError{Reason: "target refused: " + resp.Header.Get(HeaderReason)}
	}
	return Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}
