// Package jobapi is the product's own interface for jobs of steps.
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

// Path is where jobs of steps are served.
const Path = "/v1/step-jobs"

// maxBody bounds the body of a submission, in bytes.
const maxBody = 1 << 20

// retryAfter is what a caller is told that was refused: the store is asked again well within it.
const retryAfter = time.Second

// Routes adds the interface.
func Routes(mux *http.ServeMux, in *intake.Intake) {
	mux.HandleFunc("POST "+Path, func(w http.ResponseWriter, r *http.Request) { submit(w, r, in) })
	mux.HandleFunc("GET "+Path+"/{id}", func(w http.ResponseWriter, r *http.Request) { state(w, r, in.Job) })
	mux.HandleFunc("GET "+Path+"/{id}/explain", func(w http.ResponseWriter, r *http.Request) { state(w, r, in.Explain) })
	mux.HandleFunc("POST "+Path+"/{id}/cancel", func(w http.ResponseWriter, r *http.Request) { cancel(w, r, in) })
}

// submit accepts a job. Submitting the same again is harmless.
func submit(w http.ResponseWriter, r *http.Request, in *intake.Intake) {
	var s job.Spec
	if err := jsonhttp.Read(w, r, maxBody, &s); err != nil {
		jsonhttp.WriteError(w, http.StatusBadRequest, err)
		return
	}
	s.AcceptedMS = time.Now().UnixMilli()
	if err := s.Check(); err != nil {
		jsonhttp.WriteError(w, http.StatusBadRequest, err)
		return
	}
	stored(w, in.Submit(r.Context(), &s), http.StatusCreated, s.ID)
}

// stored answers what became of an append.
func stored(w http.ResponseWriter, err error, status int, id string) {
	switch {
	case err == nil:
		jsonhttp.Write(w, status, struct {
			ID string `json:"id"`
		}{id})
	case errors.Is(err, intake.ErrNotAccepted):
		w.Header().Set("Retry-After", strconv.Itoa(int(retryAfter.Seconds())))
		jsonhttp.WriteProblem(w, jsonhttp.Problem{
			Title: "Service Unavailable", Status: http.StatusServiceUnavailable, Detail: err.Error(), Outcome: "not-run",
		})
	default:
		jsonhttp.WriteProblem(w, jsonhttp.Problem{
			Title: "Bad Gateway", Status: http.StatusBadGateway, Detail: err.Error(), Outcome: "unknown",
		})
	}
}

// state answers what a question about a job gives.
func state(w http.ResponseWriter, r *http.Request, ask func(context.Context, string) (sched.View, bool, error)) {
	v, found, err := ask(r.Context(), r.PathValue("id"))
	switch {
	case err != nil:
		jsonhttp.WriteError(w, http.StatusServiceUnavailable, err)
	case !found:
		jsonhttp.WriteError(w, http.StatusNotFound, fmt.Errorf("job %s is not known", r.PathValue("id")))
	default:
		jsonhttp.Write(w, http.StatusOK, v)
	}
}

// cancel cancels a job.
func cancel(w http.ResponseWriter, r *http.Request, in *intake.Intake) {
	found, err := in.Cancel(r.Context(), r.PathValue("id"))
	if !found {
		jsonhttp.WriteError(w, http.StatusNotFound, fmt.Errorf("job %s is not known", r.PathValue("id")))
		return
	}
	stored(w, err, http.StatusOK, r.PathValue("id"))
}
