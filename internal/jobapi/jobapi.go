// Package jobapi serves the product's own HTTP interface for jobs of steps.
package jobapi

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/crocusspring/crocusspring/internal/intake"
	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/jsonhttp"
	"github.com/crocusspring/crocusspring/internal/sched"
)

// Path is the URL path of jobs of steps.
const Path = "/v1/step-jobs"

// maxBody bounds the body of a submission, in bytes.
const maxBody = 1 << 20

// Routes adds the handlers of the interface to mux.
func Routes(mux *http.ServeMux, in *intake.Intake) {
	mux.HandleFunc("POST "+Path, func(w http.ResponseWriter, r *http.Request) { submit(w, r, in) })
	mux.HandleFunc("GET "+Path+"/{id}", func(w http.ResponseWriter, r *http.Request) { writeView(w, r, in.Job) })
	mux.HandleFunc("GET "+Path+"/{id}/explain", func(w http.ResponseWriter, r *http.Request) { writeView(w, r, in.Explain) })
	mux.HandleFunc("POST "+Path+"/{id}/cancel", func(w http.ResponseWriter, r *http.Request) { cancel(w, r, in) })
}

// submit checks and stores a job. The same job may safely be submitted again.
func submit(w http.ResponseWriter, r *http.Request, in *intake.Intake) {
	var s job.Spec
	if err := jsonhttp.Read(w, r, maxBody, job.MaxValues, &s); err != nil {
		jsonhttp.ReadError(w, err)
		return
	}
	s.AcceptedMS = time.Now().UnixMilli()
	if err := errors.Join(s.Check(), s.CheckNames()); err != nil {
		jsonhttp.WriteError(w, http.StatusBadRequest, err)
		return
	}
	writeAppendResult(w, in, in.Submit(r.Context(), &s), http.StatusCreated, s.ID)
}

// writeAppendResult responds with the result of an append to the store: 503 when it was surely not
// accepted, 502 when the outcome is unknown.
func writeAppendResult(w http.ResponseWriter, in *intake.Intake, err error, status int, id string) {
	if err != nil && !errors.Is(err, intake.ErrUnstorable) {
		w.Header().Set("Retry-After", strconv.Itoa(int(in.RetryAfter().Seconds())))
	}
	switch {
	case err == nil:
		jsonhttp.Write(w, status, struct {
			ID string `json:"id"`
		}{id})
	case errors.Is(err, intake.ErrUnstorable):
		jsonhttp.WriteProblem(w, jsonhttp.Problem{
			Title: "Content Too Large", Status: http.StatusRequestEntityTooLarge, Detail: err.Error(), Outcome: "not-run",
		})
	case errors.Is(err, intake.ErrNotAccepted):
		jsonhttp.WriteProblem(w, jsonhttp.Problem{
			Title: "Service Unavailable", Status: http.StatusServiceUnavailable, Detail: err.Error(), Outcome: "not-run",
		})
	default:
		jsonhttp.WriteProblem(w, jsonhttp.Problem{
			Title: "Bad Gateway", Status: http.StatusBadGateway, Detail: err.Error(), Outcome: "unknown",
		})
	}
}

// writeView responds with the view of a job that lookup returns.
func writeView(w http.ResponseWriter, r *http.Request, lookup func(context.Context, string) (sched.View, bool, error)) {
	v, found, err := lookup(r.Context(), r.PathValue("id"))
	switch {
	case err != nil:
		jsonhttp.WriteError(w, http.StatusServiceUnavailable, err)
	case !found:
		jsonhttp.WriteError(w, http.StatusNotFound, fmt.Errorf("job %s is not known", r.PathValue("id")))
	default:
		jsonhttp.Write(w, http.StatusOK, v)
	}
}

// cancel serves the cancellation of a job.
func cancel(w http.ResponseWriter, r *http.Request, in *intake.Intake) {
	found, err := in.Cancel(r.Context(), r.PathValue("id"))
	if !found && err == nil {
		jsonhttp.WriteError(w, http.StatusNotFound, fmt.Errorf("job %s is not known", r.PathValue("id")))
		return
	}
	writeAppendResult(w, in, err, http.StatusOK, r.PathValue("id"))
}
