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
	"github.com/crocusspring/crocusspring/internal/jsonhttp"
	"github.com/crocusspring/crocusspring/internal/retry"
	"github.com/crocusspring/crocusspring/internal/targetapi"
	"github.com/google/uuid"
)

const (
	defaultBudget = time.Second
	maxBudget     = time.Minute
	// maxName bounds the length of a service, workspace or key.
	maxName = 128
	// fullRetry is when a caller may come back that was refused for want of memory.
	fullRetry = 200 * time.Millisecond
)

// callRoutes adds the interface of latency-critical requests.
func (n *Node) callRoutes(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/services/{service}/call", n.call)
	mux.HandleFunc("GET /v1/services/{service}/outcomes/{key}", n.outcomeOf)
}

// call serves one latency-critical request of a caller.
func (n *Node) call(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	if n.life.Leaving() {
		w.Header().Set("Connection", "close")
	}
	room := size(r)
	if err := n.intake.take(room); err != nil {
		n.answer(w, dispatch.Reply{Outcome: targetapi.NotRun, Reason: err.Error(), RetryAfter: fullRetry})
		return
	}
	defer n.intake.give(room)
	q, c, err := n.parse(w, r, began)
	if err != nil {
		status := http.StatusBadRequest
		var b *badRequest
		if errors.As(err, &b) {
			status = b.status
		}
		refuse(w, status, err)
		return
	}
	w.Header().Set(targetapi.HeaderRequestID, q.ID)
	if q.Kind == retry.Keyed {
		n.keyed(w, r, q, c)
		return
	}
	n.answer(w, n.requests.Do(r.Context(), q, c))
}

// keyed runs a request with an idempotency key at most once.
func (n *Node) keyed(w http.ResponseWriter, r *http.Request, q dispatch.Request, c targetapi.Call) {
	kr := claimrun.Request{
		Workspace: q.Workspace, Service: q.Service, Key: r.Header.Get(targetapi.HeaderKey), Body: c.Body, Deadline: q.Deadline,
	}
	rep, err := n.claims.Do(r.Context(), kr, func() dispatch.Reply { return n.requests.Do(context.WithoutCancel(r.Context()), q, c) })
	if err != nil {
		refuse(w, http.StatusUnprocessableEntity, err)
		return
	}
	n.answer(w, rep)
}

// outcomeOf tells the outcome of a request by its key.
func (n *Node) outcomeOf(w http.ResponseWriter, r *http.Request) {
	service, key, workspace := r.PathValue("service"), r.PathValue("key"), r.Header.Get(targetapi.HeaderWorkspace)
	if err := checkNames(service, workspace); err != nil || !printable(key) || key == "" {
		jsonhttp.Fail(w, http.StatusBadRequest, fmt.Errorf("key must be 1 to %d printable characters: %w", maxName, err))
		return
	}
	rep, known, open := n.claims.Lookup(r.Context(), workspace, service, key)
	switch {
	case !known:
		jsonhttp.Fail(w, http.StatusNotFound, fmt.Errorf("no request with key %q is known", key))
	case open:
		jsonhttp.Write(w, http.StatusAccepted, jsonhttp.Problem{Title: "in progress", Status: http.StatusAccepted})
	default:
		n.answer(w, rep)
	}
}

// parse reads and checks a request.
func (n *Node) parse(w http.ResponseWriter, r *http.Request, began time.Time) (dispatch.Request, targetapi.Call, error) {
	var q dispatch.Request
	var c targetapi.Call
	if size := headerBytes(r); size > maxHeader {
		return q, c, bad(http.StatusRequestHeaderFieldsTooLarge, "headers have %d bytes, at most %d are taken", size, maxHeader)
	}
	budget, err := budgetOf(r, n.config.Current().Budget(r.PathValue("service"), defaultBudget))
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
	if q.Kind, err = kindOf(r); err != nil {
		return q, c, err
	}
	if !n.requests.HasService(q.Service) {
		return q, c, bad(http.StatusNotFound, "service %q: no target has announced it", q.Service)
	}
	body, err := readBody(w, r, budget)
	if err != nil {
		return q, c, err
	}
	q.Bytes = len(body)
	c = targetapi.Call{RequestID: q.ID, Service: q.Service, Workspace: q.Workspace, Body: body}
	return q, c, nil
}

// checkNames checks the words a request is given.
func checkNames(service, workspace string) error {
	if !printable(service) || service == "" {
		return bad(http.StatusBadRequest, "service: must be 1 to %d printable characters", maxName)
	}
	if !printable(workspace) {
		return bad(http.StatusBadRequest, "header %s: must be at most %d printable characters", targetapi.HeaderWorkspace, maxName)
	}
	return nil
}

// printable reports whether a word is short and of printable ASCII characters without spaces.
func printable(s string) bool {
	if len(s) > maxName {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// kindOf reads how often a request may run.
func kindOf(r *http.Request) (retry.Kind, error) {
	if keys, ok := r.Header[targetapi.HeaderKey]; ok {
		if len(keys) != 1 || keys[0] == "" || !printable(keys[0]) {
			return retry.Once, bad(http.StatusBadRequest, "header %s: must be one word of 1 to %d printable characters", targetapi.HeaderKey, maxName)
		}
		return retry.Keyed, nil
	}
	switch text := r.Header.Get(targetapi.HeaderIdempotent); text {
	case "", "false":
		return retry.Once, nil
	case "true":
		return retry.Idempotent, nil
	default:
		return retry.Once, bad(http.StatusBadRequest, "header %s: %q: must be true or false", targetapi.HeaderIdempotent, text)
	}
}

// answer gives a caller the outcome of its request.
func (n *Node) answer(w http.ResponseWriter, rep dispatch.Reply) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(maxAnswerTime))
	if rep.RetryAfter > 0 {
		seconds := int(math.Ceil(rep.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
		w.Header().Set(targetapi.HeaderRetryAfterMS, strconv.FormatInt(max(1, rep.RetryAfter.Milliseconds()), 10))
	}
	switch rep.Outcome {
	case targetapi.NotRun:
		refuse(w, http.StatusServiceUnavailable, errors.New(rep.Reason))
	case targetapi.Unknown:
		outcome(w, http.StatusBadGateway, targetapi.Unknown, errors.New(rep.Reason))
	default:
		ans := rep.Answer
		w.Header().Set(targetapi.HeaderOutcome, string(targetapi.Answered))
		w.Header().Set("Content-Type", ans.ContentType)
		w.Header().Set("Content-Length", strconv.Itoa(len(ans.Body)))
		w.WriteHeader(ans.Status)
		_, _ = w.Write(ans.Body)
	}
}

// budgetOf reads the time the caller gives a request; def is that of the service.
func budgetOf(r *http.Request, def time.Duration) (time.Duration, error) {
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

// refuse answers that the request did not run.
func refuse(w http.ResponseWriter, status int, err error) {
	outcome(w, status, targetapi.NotRun, err)
}

// outcome answers with a problem that carries a request's outcome.
func outcome(w http.ResponseWriter, status int, o targetapi.Outcome, err error) {
	w.Header().Set(targetapi.HeaderOutcome, string(o))
	jsonhttp.WriteProblem(w, jsonhttp.Problem{
		Title: http.StatusText(status), Status: status, Detail: err.Error(), Outcome: string(o),
	})
}
