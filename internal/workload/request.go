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

// Headers of the callers' interface.
const (
	headerBudget    = "Crocus-Budget-Ms"
	headerWorkspace = "Crocus-Workspace"
	headerRequestID = "Crocus-Request-Id"
	headerOutcome   = "Crocus-Outcome"
	headerReason    = "Crocus-Reason"
	headerKey       = "Idempotency-Key"
	// headerIdempotent says that a request without a key may be run again.
	headerIdempotent = "Crocus-Idempotent"
	// headerFirstSend asserts that a key was never sent before.
	headerFirstSend = "Crocus-First-Send"
)

const (
	// patience is how long past the budget a caller waits for any outcome. It is long, so that only an
	// entry that hangs is taken for silent, and not one on a busy machine.
	patience = 10 * time.Second
	// impatience is how long past the budget a caller waits before it comes again with its key.
	impatience = time.Second
	// maxAnswer bounds the bytes of one answer.
	maxAnswer = 8 << 20
)

// request sends one request. While the outcome is unknown, or none came within a time, its caller comes
// again with its key, other sends of which may still be under way.
func (c *callers) request(ctx context.Context, a Arrival, due time.Time) {
	key := ""
	if !a.Request.Idempotent {
		key = newKey()
	}
	seen := make(chan history.Request, c.Resends+1)
	send := func(avoid string, due time.Time, first bool) string {
		e := c.Balancer.Next(avoid)
		go func() { seen <- c.sendOnce(ctx, a, key, e, due, first) }()
		return e.Name
	}
	last := send("", due, true)
	for sent, ended := 1, 0; ended < sent; {
		again := false
		select {
		case q := <-seen:
			ended++
			c.Record.Request(q)
			again = q.Outcome == history.Unknown || q.Outcome == history.Lost
		case <-time.After(a.Request.Budget + impatience):
			again = true
		}
		if again && key != "" && sent <= c.Resends && ctx.Err() == nil {
			last = send(last, time.Now(), false)
			sent++
		}
	}
}

// sendOnce does one send and returns what the caller saw.
func (c *callers) sendOnce(ctx context.Context, a Arrival, key string, e Entry, due time.Time, first bool) (q history.Request) {
	q = history.Request{
		Token: a.Token, Key: key, Class: a.Request.Class, Workspace: a.Workspace, Entry: e.Name,
		Idempotent: a.Request.Idempotent, Due: due, Budget: a.Request.Budget, Sent: a.body(),
	}
	ctx, cancel := context.WithTimeout(ctx, a.Request.Budget+patience)
	defer cancel()
	q.Start = time.Now()
	defer func() { q.End = time.Now() }()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+e.Addr+"/v1/services/"+c.Mix.Service+"/call", strings.NewReader(q.Sent))
	if err != nil {
		q.Outcome, q.Reason = history.NotRun, err.Error()
		return q
	}
	// Without GetBody the transport never sends a keyed request a second time on its own.
	req.GetBody = nil
	c.headers(req, a, key, first)
	resp, err := c.Client.Do(req)
	if err != nil {
		q.Outcome, q.Reason = failure(err), err.Error()
		return q
	}
	defer resp.Body.Close()
	read(&q, resp)
	return q
}

// headers sets the headers of a request.
func (c *callers) headers(req *http.Request, a Arrival, key string, first bool) {
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

// failure is the outcome of a send that got no answer: without a connection nothing ran.
func failure(err error) history.Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" || errors.Is(err, syscall.ECONNREFUSED) {
		return history.NotRun
	}
	return history.Lost
}

// read reads the outcome from an answer.
func read(q *history.Request, resp *http.Response) {
	q.RequestID, q.Reason = resp.Header.Get(headerRequestID), resp.Header.Get(headerReason)
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	outcome := strings.ReplaceAll(resp.Header.Get(headerOutcome), "-", "_")
	switch history.Outcome(outcome) {
	case history.Answered:
		q.Outcome, q.Answer, q.Broken = history.Answered, string(body), err != nil
	case history.NotRun:
		q.Outcome = history.NotRun
	default:
		q.Outcome = history.Unknown
	}
	if q.Outcome != history.Answered && q.Reason == "" {
		q.Reason = string(body)
	}
}
