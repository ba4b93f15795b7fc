package node

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"

	"github.com/crocusspring/crocusspring/internal/cell"
	"github.com/crocusspring/crocusspring/internal/chart"
	"github.com/crocusspring/crocusspring/internal/finding"
	"github.com/crocusspring/crocusspring/internal/ingress"
	"github.com/crocusspring/crocusspring/internal/jsonhttp"
	"github.com/crocusspring/crocusspring/internal/operator"
	"github.com/crocusspring/crocusspring/internal/record"
	"github.com/crocusspring/crocusspring/internal/targetapi"
)

const (
	defaultListed = 100
	maxListed     = 1000
	// maxCancelled is the maximum number of ids in one request to cancel.
	maxCancelled = 10_000
)

// jobRoutes registers the routes of batch jobs.
func (n *Node) jobRoutes(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/jobs", n.withOperator(n.serveSubmit))
	mux.HandleFunc("GET /v1/jobs", n.withOperator(n.serveList))
	mux.HandleFunc("POST /v1/jobs/cancel", n.withOperator(n.serveCancel))
	mux.HandleFunc("POST /v1/jobs/{id}/cancel", n.withOperator(n.serveCancelOne))
	mux.HandleFunc("DELETE /v1/jobs/{id}", n.withOperator(n.serveCancelOne))
	mux.HandleFunc("GET /v1/jobs/{id}", n.withOperator(func(w http.ResponseWriter, r *http.Request) {
		n.queryJob(r.Context(), verbGet, r.PathValue("id")).write(w)
	}))
	mux.HandleFunc("GET /v1/jobs/{id}/explain", n.withOperator(func(w http.ResponseWriter, r *http.Request) {
		n.queryJob(r.Context(), verbExplain, r.PathValue("id")).write(w)
	}))
}

// write writes the answer to a caller.
func (a jobAnswer) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	if a.status >= http.StatusBadRequest {
		w.Header().Set("Content-Type", "application/problem+json")
	}
	if a.outcome != "" {
		w.Header().Set(targetapi.HeaderOutcome, string(a.outcome))
	}
	w.WriteHeader(a.status)
	_, _ = w.Write(append(a.body, '\n'))
}

// serveSubmit serves the submission of a job.
func (n *Node) serveSubmit(w http.ResponseWriter, r *http.Request) {
	var q submitRequest
	if err := jsonhttp.Read(w, r, maxRequestBody, jsonhttp.MaxValues, &q); err != nil {
		failed(ingress.Status(err), targetapi.NotRun, err).write(w)
		return
	}
	if err := q.check(); err != nil {
		failed(http.StatusBadRequest, targetapi.NotRun, err).write(w)
		return
	}
	if !mayAccessJobs(r.Context(), operator.Change, q.Workspace) {
		forbidden(operator.Change, q.Workspace).write(w)
		return
	}
	op := jobOp{Verb: verbSubmit, Cell: q.DataCentre, Submit: &q, CallerChoseID: q.ID != ""}
	if !op.CallerChoseID {
		q.ID = record.NewID()
	}
	if op.Cell == "" {
		op.Cell = n.cellForID(q.ID)
	}
	if op.Cell == "" {
		var l finding.List
		l.Add("/data_centre", "", "must be given, this node knows no cells")
		failed(http.StatusBadRequest, targetapi.NotRun, l.Err()).write(w)
		return
	}
	if !op.CallerChoseID {
		q.ID = op.Cell + idSeparator + q.ID
	}
	n.doJob(r.Context(), op).write(w)
}

// serveList serves a list of jobs, sorted by id, from all cells or from the one that the query names.
func (n *Node) serveList(w http.ResponseWriter, r *http.Request) {
	p := r.URL.Query()
	q := cell.Query{
		Workspace: p.Get("workspace"), State: chart.State(p.Get("state")), Class: p.Get("class"),
		Worker: p.Get("worker"), After: p.Get("after"), Limit: defaultListed,
	}
	if text := p.Get("limit"); text != "" {
		v, err := strconv.Atoi(text)
		if err != nil || v < 1 || v > maxListed {
			var l finding.List
			l.Add("limit", text, "must be a whole number from 1 to %d", maxListed)
			failed(http.StatusBadRequest, "", l.Err()).write(w)
			return
		}
		q.Limit = v
	}
	cells := n.allCells()
	if c := p.Get("cell"); c != "" {
		cells = []string{c}
	}
	all := []jobStatus{}
	for _, c := range cells {
		a := n.doJob(r.Context(), jobOp{Verb: verbList, Cell: c, Query: q})
		if a.status != http.StatusOK {
			a.write(w)
			return
		}
		var part []jobStatus
		if err := json.Unmarshal(a.body, &part); err != nil {
			failed(http.StatusBadGateway, "", fmt.Errorf("cell %s: %w", c, err)).write(w)
			return
		}
		all = append(all, part...)
	}
	all = slices.DeleteFunc(all, func(s jobStatus) bool { return !mayAccessJobs(r.Context(), operator.Read, s.Workspace) })
	slices.SortFunc(all, func(a, b jobStatus) int { return cmp.Compare(a.ID, b.ID) })
	answer(http.StatusOK, all[:min(len(all), q.Limit)]).write(w)
}
