package node

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/crocusspring/crocusspring/internal/jsonhttp"
	"github.com/crocusspring/crocusspring/internal/targetapi"
	"github.com/google/uuid"
)

const (
	defaultBudget = time.Second
	maxBudget     = time.Minute
)

// callRoutes adds the interface of latency-critical requests.
func (n *Node) callRoutes(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/services/{service}/call", n.call)
}

// call serves one latency-critical request of a caller.
func (n *Node) call(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	budget, err := budgetOf(r)
	if err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBody))
	if err != nil {
		refuse(w, http.StatusRequestEntityTooLarge, fmt.Errorf("read body: %w", err))
		return
	}
	c := targetapi.Call{
		RequestID: uuid.Must(uuid.NewV7()).String(), Attempt: 1, Service: r.PathValue("service"),
		Workspace: r.Header.Get(targetapi.HeaderWorkspace), Budget: budget - time.Since(began), Body: body,
	}
	w.Header().Set(targetapi.HeaderRequestID, c.RequestID)
	ans, err := n.router.send(r.Context(), c)
	var notRun *targetapi.NotRunError
	switch {
	case errors.As(err, &notRun):
		refuse(w, http.StatusServiceUnavailable, err)
	case err != nil:
		outcome(w, http.StatusBadGateway, targetapi.Unknown, err)
	default:
		w.Header().Set(targetapi.HeaderOutcome, string(targetapi.Answered))
		w.Header().Set("Content-Type", ans.ContentType)
		w.Header().Set("Content-Length", strconv.Itoa(len(ans.Body)))
		w.WriteHeader(ans.Status)
		_, _ = w.Write(ans.Body)
	}
}

// budgetOf reads the time the caller gives a request.
func budgetOf(r *http.Request) (time.Duration, error) {
	text := r.Header.Get(targetapi.HeaderBudgetMS)
	if text == "" {
		return defaultBudget, nil
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
