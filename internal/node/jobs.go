package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/crocusspring/crocusspring/internal/cell"
	"github.com/crocusspring/crocusspring/internal/configrun"
	"github.com/crocusspring/crocusspring/internal/finding"
	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/record"
	"github.com/crocusspring/crocusspring/internal/targetapi"
)

var (
	// errNotAccepted means that a job is certainly not in the log.
	errNotAccepted = errors.New("job was not accepted")
	// errOutcomeUnknown means that a record was not folded in time; it may still take effect.
	errOutcomeUnknown = errors.New("outcome is not known yet, retry with the same ids")
)

const (
	// foldPollInterval is the interval at which await checks whether a record has been folded.
	foldPollInterval = 2 * time.Millisecond
	// maxJobID is the maximum length of a job's id, in bytes.
	maxJobID = maxNameLength
	// maxAmount bounds each declared resource, and maxRunMS the declared run time (400 days).
	maxAmount = 1 << 40
	maxRunMS  = 400 * 24 * 3600 * 1000
)

// submitRequest is the body of POST /v1/jobs: a job and, optionally, its cell.
type submitRequest struct {
	cell.Job
	// DataCentre chooses the cell; empty leaves the choice to the system.
	DataCentre string `json:"data_centre,omitempty"`
}

// submitResponse is the body of the answer to an accepted job.
type submitResponse struct {
	ID   string `json:"id"`
	Cell string `json:"cell"`
}

// check returns everything that is invalid in a submitted job.
func (q *submitRequest) check() error {
	var l finding.List
	if len(q.ID) > maxJobID || !pathSafe(q.ID) {
		l.Add("/id", "", "must be at most %d printable characters without spaces or slashes", maxJobID)
	}
	if q.Workspace == "" {
		l.Add("/workspace", "", "must not be empty")
	}
	if q.Class == "" {
		l.Add("/class", "", "must not be empty")
	}
	d := q.Declare
	if d.MilliCPU <= 0 || d.Negative() {
		l.Add("/declare", d.String(), "must ask for some processor time and nothing negative")
	}
	if max(d.MilliCPU, d.MemoryMB, d.Accelerators) > maxAmount {
		l.Add("/declare", d.String(), "must be at most %d of anything", int64(maxAmount))
	}
	if q.RunMS < 0 || q.RunMS > maxRunMS {
		l.Add("/run_ms", fmt.Sprint(q.RunMS), "must be from 0 to %d", int64(maxRunMS))
	}
	if q.Service != "" && q.RunMS != 0 {
		l.Add("/run_ms", fmt.Sprint(q.RunMS), "must be 0 for a replica of a service")
	}
	return l.Err()
}

// pathSafe reports whether an id needs no escaping in a URL path.
func pathSafe(id string) bool {
	return printable(id) && !strings.ContainsAny(id, "/?#%")
}

// submit submits a job to a cell of this node. A job is accepted once it is in the log.
func (n *Node) submit(ctx context.Context, q submitRequest, cellName string, callerChoseID bool) jobAnswer {
	if at, t, ok := n.findJob(q.ID); ok {
		return acceptedAs(q, at, t, http.StatusOK)
	}
	if err := n.checkOpenJobs(q.Workspace, cellName); err != nil {
		return failed(http.StatusTooManyRequests, targetapi.NotRun, err)
	}
	ctx, cancel := context.WithTimeout(ctx, configrun.WaitTimeout)
	defer cancel()
	confirmed, err := n.appendJob(ctx, cellName, q.Job)
	switch {
	case errors.Is(err, errNotAccepted):
		return failed(http.StatusServiceUnavailable, targetapi.NotRun, err)
	case err != nil:
		return failed(http.StatusServiceUnavailable, targetapi.Unknown, err)
	case confirmed && !callerChoseID:
		return answer(http.StatusCreated, submitResponse{ID: q.ID, Cell: cellName})
	}
	// A caller may have submitted another job with the same id, so the first one in the fold decides. The
	// fold also tells whether a job whose append was not confirmed is in the log.
	var t cell.Task
	err = n.await(ctx, cellName, func(c *cell.Core) (ok bool) { t, ok = c.Task(q.ID); return ok })
	if err != nil {
		return failed(http.StatusServiceUnavailable, targetapi.Unknown, fmt.Errorf("job %s: %w", q.ID, err))
	}
	return acceptedAs(q, cellName, t, http.StatusCreated)
}

// checkOpenJobs returns an error if a workspace has reached its limit of open jobs in a cell. The limit
// applies to each cell separately, and concurrent submissions through several nodes may exceed it, since
// each may count the open jobs before the others are folded.
func (n *Node) checkOpenJobs(workspace, cellName string) error {
	limit := n.config.Current().Workspaces[workspace].MaxOpenJobs
	if limit <= 0 {
		return nil
	}
	open := 0
	n.cells[cellName].View(func(c *cell.Core) { open = c.OpenTasks(workspace) })
	if open >= limit {
		return fmt.Errorf("workspace %s has %d open jobs in cell %s, at most %d are allowed", workspace, open, cellName, limit)
	}
	return nil
}

// acceptedAs answers a submission whose id a cell already has: with that job if it is the same, else with
// a conflict.
func acceptedAs(q submitRequest, cellName string, t cell.Task, status int) jobAnswer {
	if t.Job != q.Job || q.DataCentre != "" && q.DataCentre != cellName {
		return failed(http.StatusConflict, targetapi.NotRun, fmt.Errorf("another job has been accepted under id %s", q.ID))
	}
	return answer(status, submitResponse{ID: q.ID, Cell: cellName})
}

// appendJob appends a job to the cell's stream and reports whether the log has confirmed it. It returns
// errNotAccepted when the job is certainly not in the log.
func (n *Node) appendJob(ctx context.Context, cellName string, j cell.Job) (bool, error) {
	env, err := record.New("job-"+j.ID, record.KindJob, cell.SchemaVersion, n.opt.ID, j)
	if err != nil {
		return false, fmt.Errorf("%w: %w", errNotAccepted, err)
	}
	_, err = n.appendTo(ctx, cellName, env)
	if errors.Is(err, logsvc.ErrRefused) {
		return false, fmt.Errorf("%w: %w", errNotAccepted, err)
	}
	// After any other error the job may be in the log; the fold shows whether it is.
	return err == nil, nil
}

// appendTo appends a caller's record to the stream of a cell.
func (n *Node) appendTo(ctx context.Context, cellName string, env record.Envelope) (logsvc.Offset, error) {
	raw, err := env.Encode()
	if err != nil {
		return 0, err
	}
	return n.ports.Log.Append(logsvc.WithClass(ctx, logsvc.ClassJob), cell.Stream(cellName), []json.RawMessage{raw})
}

// await waits until the fold of a cell satisfies a condition.
func (n *Node) await(ctx context.Context, cellName string, ok func(*cell.Core) bool) error {
	t := time.NewTicker(foldPollInterval)
	defer t.Stop()
	for {
		done := false
		n.cells[cellName].View(func(c *cell.Core) { done = ok(c) })
		if done {
			return nil
		}
		select {
		case <-ctx.Done():
			return errOutcomeUnknown
		case <-t.C:
		}
	}
}

// findJob looks up a job in the cells of this node.
func (n *Node) findJob(id string) (cellName string, t cell.Task, ok bool) {
	for name, d := range n.cells {
		d.View(func(c *cell.Core) { t, ok = c.Task(id) })
		if ok {
			return name, t, true
		}
	}
	return "", t, false
}
