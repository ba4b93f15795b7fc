package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/crocusspring/crocusspring/internal/cell"
	"github.com/crocusspring/crocusspring/internal/configrun"
	"github.com/crocusspring/crocusspring/internal/finding"
	"github.com/crocusspring/crocusspring/internal/jsonhttp"
	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/record"
	"github.com/crocusspring/crocusspring/internal/targetapi"
)

// jobRoutes adds the interface of batch jobs.
func (n *Node) jobRoutes(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/jobs", n.submit)
	mux.HandleFunc("GET /v1/jobs/{id}", n.job)
}

// errNotAccepted says that a job surely does not stand in the log.
var errNotAccepted = errors.New("job was not accepted")

// cellOf returns the cell of a job: the data centre it names, else one chosen by its id, so that the
// same id always meets the same cell.
func (n *Node) cellOf(req submitRequest) string {
	if req.DataCentre != "" {
		return req.DataCentre
	}
	names := slices.Clone(n.opt.Cells)
	slices.Sort(names)
	if len(names) == 0 {
		return ""
	}
	return names[xxhash.Sum64String(req.ID)%uint64(len(names))]
}

// checkJob reports everything that is wrong with a submitted job.
func checkJob(req submitRequest, cellName string) error {
	var l finding.List
	if cellName == "" {
		l.Add("/data_centre", "", "must be given, this node knows no cells")
	}
	if req.Workspace == "" {
		l.Add("/workspace", "", "must not be empty")
	}
	if req.Class == "" {
		l.Add("/class", "", "must not be empty")
	}
	if req.Declare.MilliCPU <= 0 || req.Declare.Negative() {
		l.Add("/declare", req.Declare.String(), "must ask for some processor time and nothing negative")
	}
	if req.RunMS < 0 {
		l.Add("/run_ms", fmt.Sprint(req.RunMS), "must not be negative")
	}
	return l.Err()
}

// appendJob makes a job durable. It returns errNotAccepted when it surely is not.
func (n *Node) appendJob(ctx context.Context, cellName string, j cell.Job) error {
	d := n.cells[cellName]
	if d == nil {
		return fmt.Errorf("%w: cell %s is not known here", errNotAccepted, cellName)
	}
	env, err := record.New("job-"+j.ID, record.KindJob, cell.SchemaVersion, n.opt.ID, j)
	if err != nil {
		return fmt.Errorf("%w: %w", errNotAccepted, err)
	}
	raw, err := env.Encode()
	if err != nil {
		return fmt.Errorf("%w: %w", errNotAccepted, err)
	}
	_, err = n.ports.Log.Append(logsvc.WithClass(ctx, logsvc.ClassJob), cell.Stream(cellName), []json.RawMessage{raw})
	switch {
	case err == nil:
		return nil
	case errors.Is(err, logsvc.ErrRefused):
		return fmt.Errorf("%w: %w", errNotAccepted, err)
	}
	return n.settleJob(ctx, cellName, j.ID)
}

// settleJob reads forward for a job whose append was not answered.
func (n *Node) settleJob(ctx context.Context, cellName, id string) error {
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for {
		var ok bool
		n.cells[cellName].View(func(c *cell.Core) { _, ok = c.Task(id) })
		if ok {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("job %s: the log's answer was lost; submit the same id again", id)
		case <-t.C:
		}
	}
}

// submitRequest is a job with the cell it is meant for.
type submitRequest struct {
	cell.Job
	// DataCentre chooses the cell; empty leaves the choice to the system.
	DataCentre string `json:"data_centre,omitempty"`
}

// submit accepts a job; it is accepted once it stands in the log.
func (n *Node) submit(w http.ResponseWriter, r *http.Request) {
	var req submitRequest
	if err := jsonhttp.Read(w, r, maxRequestBody, &req); err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	if req.ID == "" {
		req.ID = record.NewID()
	}
	name := n.cellOf(req)
	if err := checkJob(req, name); err != nil {
		w.Header().Set(targetapi.HeaderOutcome, string(targetapi.NotRun))
		jsonhttp.Fail(w, http.StatusBadRequest, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), configrun.WaitTimeout)
	defer cancel()
	if err := n.appendJob(ctx, name, req.Job); err != nil {
		o := targetapi.Unknown
		if errors.Is(err, errNotAccepted) {
			o = targetapi.NotRun
		}
		outcome(w, http.StatusServiceUnavailable, o, err)
		return
	}
	jsonhttp.Write(w, http.StatusCreated, submitResponse{ID: req.ID, Cell: name})
}

// submitResponse is the answer to an accepted job.
type submitResponse struct {
	ID   string `json:"id"`
	Cell string `json:"cell"`
}

// job tells where a job stands.
func (n *Node) job(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	for _, d := range n.cells {
		var t cell.Task
		var ok bool
		d.View(func(c *cell.Core) { t, ok = c.Task(id) })
		if ok {
			jsonhttp.Write(w, http.StatusOK, t)
			return
		}
	}
	jsonhttp.Fail(w, http.StatusNotFound, fmt.Errorf("job %s is not known here", id))
}
