package workload

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/crocusspring/crocusspring/internal/history"
)

// HTTP headers of the callers' API.
const (
	headerBudget    = "Crocus-Budget-Ms"
	headerWorkspace = "Crocus-Workspace"
	headerRequestID = "Crocus-Request-Id"
	headerOutcome   = "Crocus-Outcome"
	headerReason    = "Crocus-Reason"
	headerKey       = "Idempotency-Key"
	// headerIdempotent marks a request without a key that may run more than once.
	headerIdempotent = "Crocus-Idempotent"
	// headerFirstSend asserts that the key was never sent before.
	headerFirstSend = "Crocus-First-Send"
)

const (
	// outcomeWait is how long after the budget a caller still waits for an outcome. It is long, so that only
	// an entry that hangs counts as unresponsive, and not one on a busy machine.
	outcomeWait = 10 * time.Second
	// resendWait is how long after the budget a caller waits for an outcome before it resends a keyed request.
	resendWait = time.Second
	// maxResponseBytes bounds the bytes read of one response body.
	maxResponseBytes = 8 << 20
)

// sendRequest sends one request. When the outcome of a keyed request is unknown or lost, or none arrives within
// resendWait after the budget, it resends the request with the same key, up to MaxResends times, to another entry
// where possible. Earlier sends may still be in progress then.
func (c *callers) sendRequest(ctx context.Context, a Arrival, due time.Time) {
	key := ""
	if !a.Request.Idempotent {
		key = newKey()
	}
	outcomes := make(chan history.Request, c.MaxResends+1)
	send := func(avoid string, due time.Time, first bool) string {
		e := c.Balancer.Next(avoid)
		go func() { outcomes <- c.sendOnce(ctx, a, key, e, due, first) }()
		return e.Name
	}
	lastEntry := send("", due, true)
	for sent, ended := 1, 0; ended < sent; {
		resend := false
		select {
		case q := <-outcomes:
			ended++
			c.Recorder.Request(q)
			resend = q.Outcome == history.Unknown || q.Outcome == history.Lost
		case <-time.After(a.Request.Budget + resendWait):
			resend = true
		}
		if resend && key != "" && sent <= c.MaxResends && ctx.Err() == nil {
			lastEntry = send(lastEntry, time.Now(), false)
			sent++
		}
	}
}

// sendOnce sends a request once and returns the outcome that the caller saw.
func (c *callers) sendOnce(ctx context.Context, a Arrival, key string, e Entry, due time.Time, first bool) (q history.Request) {
	q = history.Request{
		Token: a.Token, Key: key, Class: a.Request.Class, Workspace: a.Workspace, Entry: e.Name,
		Idempotent: a.Request.Idempotent, Due: due, Budget: a.Request.Budget, Sent: a.body(),
	}
	ctx, cancel := context.WithTimeout(ctx, a.Request.Budget+outcomeWait)
	defer cancel()
	q.Start = time.Now()
	defer func() { q.End = time.Now() }()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+e.Addr+"/v1/services/"+c.Mix.Service+"/call", strings.NewReader(q.Sent))
	if err != nil {
		q.Outcome, q.Reason = history.NotRun, err.Error()
		return q
	}
	// Without GetBody the transport never resends a keyed request on its own.
	req.GetBody = nil
	c.setHeaders(req, a, key, first)
	resp, err := c.Client.Do(req)
	if err != nil {
		q.Outcome, q.Reason = errorOutcome(err), err.Error()
		q.Unsent = q.Outcome == history.NotRun
		if !first && q.Outcome == history.NotRun {
			// Only this send certainly didn't run; an earlier one of the same key may have.
			q.Outcome = history.Lost
		}
		return q
	}
	defer resp.Body.Close()
	readOutcome(&q, resp)
	return q
}

// setHeaders sets the headers of a request; first marks the first send of its key.
func (c *callers) setHeaders(req *http.Request, a Arrival, key string, first bool) {
	for name, values := range c.Headers {
		req.Header[name] = values
	}
	req.Header.Set("Content-Type", "text/plain")
	req.Header.Set(headerBudget, strconv.FormatInt(a.Request.Budget.Milliseconds(), 10))
	req.Header.Set(headerWorkspace, a.Workspace)
	if key != "" {
		req.Header.Set(headerKey, key)
		if first {
			req.Header.Set(headerFirstSend, "true")
		}
	}
	if a.Request.Idempotent {
		req.Header.Set(headerIdempotent, "true")
	}
}

// errorOutcome returns the outcome of a send that failed without a response: not run when no connection could be
// opened, else lost.
func errorOutcome(err error) history.Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" || errors.Is(err, syscall.ECONNREFUSED) {
		return history.NotRun
	}
	return history.Lost
}

// readOutcome reads the outcome from a response. A response without a valid outcome header counts as unknown.
func readOutcome(q *history.Request, resp *http.Response) {
	q.RequestID, q.Reason = resp.Header.Get(headerRequestID), resp.Header.Get(headerReason)
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	outcome := strings.ReplaceAll(resp.Header.Get(headerOutcome), "-", "_")
	switch history.Outcome(outcome) {
	case history.Answered:
		q.Outcome, q.Answer, q.Truncated = history.Answered, string(body), err != nil
	case history.NotRun:
		q.Outcome = history.NotRun
	default:
		q.Outcome = history.Unknown
	}
	if q.Outcome != history.Answered && q.Reason == "" {
		q.Reason = string(body)
	}
}
