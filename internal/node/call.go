package node

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/crocusspring/crocusspring/internal/claimrun"
	"github.com/crocusspring/crocusspring/internal/dispatch"
	"github.com/crocusspring/crocusspring/internal/ingress"
	"github.com/crocusspring/crocusspring/internal/jsonhttp"
	"github.com/crocusspring/crocusspring/internal/retry"
	"github.com/crocusspring/crocusspring/internal/targetapi"
	"github.com/google/uuid"
)

const (
	defaultBudget = time.Second
	maxBudget     = time.Minute
	// maxNameLength is the maximum length of a service, workspace or key, in bytes.
	maxNameLength = 128
	// overloadRetryAfter is the Retry-After for a caller refused because the memory for requests is exhausted.
	overloadRetryAfter = 200 * time.Millisecond
)

// callRoutes registers the routes of latency-critical requests.
func (n *Node) callRoutes(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/services/{service}/call", n.call)
	mux.HandleFunc("GET /v1/services/{service}/outcomes/{key}", n.serveOutcome)
}

// call serves one latency-critical request of a caller.
func (n *Node) call(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	if n.lifecycle.Leaving() {
		w.Header().Set("Connection", "close")
	}
	reserved := bodyReservation(r)
	if err := n.admission.acquire(reserved); err != nil {
		n.writeReply(w, dispatch.Reply{Outcome: targetapi.NotRun, Reason: err.Error(), RetryAfter: overloadRetryAfter})
		return
	}
	defer n.admission.release(reserved)
	q, c, err := n.parseCall(w, r, began)
	if errors.Is(err, ingress.ErrNoRoom) {
		n.writeReply(w, dispatch.Reply{Outcome: targetapi.NotRun, Reason: err.Error(), RetryAfter: overloadRetryAfter})
		return
	}
	if err != nil {
		status := http.StatusBadRequest
		var b *badRequest
		if errors.As(err, &b) {
			status = b.status
		}
		writeNotRun(w, status, err)
		return
	}
	w.Header().Set(targetapi.HeaderRequestID, q.ID)
	if q.Kind == retry.Keyed {
		n.callKeyed(w, r, q, c)
		return
	}
	n.writeReply(w, n.requests.Do(r.Context(), q, c))
}

// callKeyed runs a request that carries an idempotency key at most once.
func (n *Node) callKeyed(w http.ResponseWriter, r *http.Request, q dispatch.Request, c targetapi.Call) {
	kr := claimrun.Request{
		Workspace: q.Workspace, Service: q.Service, Key: r.Header.Get(targetapi.HeaderKey), Body: c.Body, Deadline: q.Deadline,
	}
	rep, err := n.claims.Do(r.Context(), kr, func() dispatch.Reply { return n.requests.Do(context.WithoutCancel(r.Context()), q, c) })
	if err != nil {
		writeNotRun(w, http.StatusUnprocessableEntity, err)
		return
	}
	n.writeReply(w, rep)
}

// serveOutcome serves the outcome of the request with an idempotency key.
func (n *Node) serveOutcome(w http.ResponseWriter, r *http.Request) {
	service, key, workspace := r.PathValue("service"), r.PathValue("key"), r.Header.Get(targetapi.HeaderWorkspace)
	if err := checkNames(service, workspace); err != nil || !printable(key) || key == "" {
		jsonhttp.WriteError(w, http.StatusBadRequest, fmt.Errorf("key must be 1 to %d printable characters: %w", maxNameLength, err))
		return
	}
	rep, known, open := n.claims.Lookup(r.Context(), workspace, service, key)
	switch {
	case !known:
		jsonhttp.WriteError(w, http.StatusNotFound, fmt.Errorf("no request with key %q is known", key))
	case open:
		jsonhttp.Write(w, http.StatusAccepted, jsonhttp.Problem{Title: "in progress", Status: http.StatusAccepted})
	default:
		n.writeReply(w, rep)
	}
}

// parseCall reads and validates a request. The deadline counts from began.
func (n *Node) parseCall(w http.ResponseWriter, r *http.Request, began time.Time) (dispatch.Request, targetapi.Call, error) {
	var q dispatch.Request
	var c targetapi.Call
	if size := ingress.HeaderBytes(r); size > maxHeader {
		return q, c, newBadRequest(http.StatusRequestHeaderFieldsTooLarge, "headers have %d bytes, at most %d are taken", size, maxHeader)
	}
	budget, err := timeBudget(r, n.config.Current().Budget(r.PathValue("service"), defaultBudget))
	if err != nil {
		return q, c, err
	}
	q = dispatch.Request{
		ID: uuid.Must(uuid.NewV7()).String(), Service: r.PathValue("service"),
		Workspace: r.Header.Get(targetapi.HeaderWorkspace), Deadline: began.Add(budget),
	}
	if err := checkNames(q.Service, q.Workspace); err != nil {
		return q, c, err
	}
	if q.Kind, err = retryKind(r); err != nil {
		return q, c, err
	}
	if !n.requests.HasService(q.Service) {
		return q, c, newBadRequest(http.StatusNotFound, "service %q: no target has announced it", q.Service)
	}
	body, err := readBody(w, r, budget)
	if err != nil {
		return q, c, err
	}
	q.Bytes = len(body)
	c = targetapi.Call{RequestID: q.ID, Service: q.Service, Workspace: q.Workspace, Body: body}
	return q, c, nil
}

// checkNames validates the service and workspace of a request.
func checkNames(service, workspace string) error {
	if !printable(service) || service == "" {
		return newBadRequest(http.StatusBadRequest, "service: must be 1 to %d printable characters", maxNameLength)
	}
	if !printable(workspace) {
		return newBadRequest(http.StatusBadRequest, "header %s: must be at most %d printable characters", targetapi.HeaderWorkspace, maxNameLength)
	}
	return nil
}

// printable reports whether a string is no longer than maxNameLength and has only printable ASCII characters
// other than space.
func printable(s string) bool {
	if len(s) > maxNameLength {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// retryKind reads from the headers how often a request may run.
func retryKind(r *http.Request) (retry.Kind, error) {
	if keys, ok := r.Header[targetapi.HeaderKey]; ok {
		if len(keys) != 1 || keys[0] == "" || !printable(keys[0]) {
			return retry.Once, newBadRequest(http.StatusBadRequest, "header %s: must be one word of 1 to %d printable characters", targetapi.HeaderKey, maxNameLength)
		}
		return retry.Keyed, nil
	}
	switch text := r.Header.Get(targetapi.HeaderIdempotent); text {
	case "", "false":
		return retry.Once, nil
	case "true":
		return retry.Idempotent, nil
	default:
		return retry.Once, newBadRequest(http.StatusBadRequest, "header %s: %q: must be true or false", targetapi.HeaderIdempotent, text)
	}
}

// writeReply writes the outcome of a request to its caller.
func (n *Node) writeReply(w http.ResponseWriter, rep dispatch.Reply) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(maxAnswerTime))
	if rep.RetryAfter > 0 {
		seconds := int(math.Ceil(rep.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
		w.Header().Set(targetapi.HeaderRetryAfterMS, strconv.FormatInt(max(1, rep.RetryAfter.Milliseconds()), 10))
	}
	switch rep.Outcome {
	case targetapi.NotRun:
		writeNotRun(w, http.StatusServiceUnavailable, errors.New(rep.Reason))
	case targetapi.Unknown:
		writeOutcome(w, http.StatusBadGateway, targetapi.Unknown, errors.New(rep.Reason))
	default:
		ans := rep.Answer
		w.Header().Set(targetapi.HeaderOutcome, string(targetapi.Answered))
		w.Header().Set("Content-Type", ans.ContentType)
		w.Header().Set("Content-Length", strconv.Itoa(len(ans.Body)))
		w.WriteHeader(ans.Status)
		_, _ = w.Write(ans.Body)
	}
}

// timeBudget reads the time budget of a request from its header; def is the service's default.
func timeBudget(r *http.Request, def time.Duration) (time.Duration, error) {
	text := r.Header.Get(targetapi.HeaderBudgetMS)
	if text == "" {
		return def, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > maxBudget.Milliseconds() {
		return 0, fmt.Errorf("header %s: %q: must be a whole number of milliseconds from 1 to %d",
			targetapi.HeaderBudgetMS, text, maxBudget.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// writeNotRun answers that the request did not run.
func writeNotRun(w http.ResponseWriter, status int, err error) {
	writeOutcome(w, status, targetapi.NotRun, err)
}

// writeOutcome writes a problem response that carries a request's outcome.
func writeOutcome(w http.ResponseWriter, status int, o targetapi.Outcome, err error) {
	w.Header().Set(targetapi.HeaderOutcome, string(o))
	jsonhttp.WriteProblem(w, jsonhttp.Problem{
		Title: http.StatusText(status), Status: status, Detail: err.Error(), Outcome: string(o),
	})
}
