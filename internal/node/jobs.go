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
	// errNotAccepted says that a job surely does not stand in the log.
	errNotAccepted = errors.New("job was not accepted")
	// errUnsettled says that a record was not seen in the cell in time; it may still take effect.
	errUnsettled = errors.New("outcome is not known yet, ask again with the same ids")
)

const (
	// foldPoll is the time between two looks at whether a record has been folded.
	foldPoll = 2 * time.Millisecond
	// maxJobID bounds the length of a job's id.
	maxJobID = maxName
	// maxAmount bounds each declared amount, and maxRunMS the declared run time (400 days).
	maxAmount = 1 << 40
	maxRunMS  = 400 * 24 * 3600 * 1000
)

// submitRequest is a job with the cell it is meant for.
type submitRequest struct {
	cell.Job
	// DataCentre chooses the cell; empty leaves the choice to the system.
	DataCentre string `json:"data_centre,omitempty"`
}

// submitResponse is the answer to an accepted job.
type submitResponse struct {
	ID   string `json:"id"`
	Cell string `json:"cell"`
}

// check reports everything that is wrong with a submitted job.
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

// pathSafe reports whether an id has only characters that need no quoting in a path.
func pathSafe(id string) bool {
	return printable(id) && !strings.ContainsAny(id, "/?#%")
}

// submit accepts a job in a cell known here; it is accepted once it stands in the log.
func (n *Node) submit(ctx context.Context, q submitRequest, cellName string, given bool) jobAnswer {
	if at, t, ok := n.findJob(q.ID); ok {
		return acceptedAs(q, at, t, http.StatusOK)
	}
	if err := n.roomFor(q.Workspace, cellName); err != nil {
		return failed(http.StatusTooManyRequests, targetapi.NotRun, err)
	}
	ctx, cancel := context.WithTimeout(ctx, configrun.WaitTimeout)
	defer cancel()
	answered, err := n.appendJob(ctx, cellName, q.Job)
	switch {
	case errors.Is(err, errNotAccepted):
		return failed(http.StatusServiceUnavailable, targetapi.NotRun, err)
	case err != nil:
		return failed(http.StatusServiceUnavailable, targetapi.Unknown, err)
	case answered && !given:
		return answer(http.StatusCreated, submitResponse{ID: q.ID, Cell: cellName})
	}
	// Another submission under the id may have come first, so the fold has the last word.
	var t cell.Task
	err = n.await(ctx, cellName, func(c *cell.Core) (ok bool) { t, ok = c.Task(q.ID); return ok })
	if err != nil {
		return failed(http.StatusServiceUnavailable, targetapi.Unknown, fmt.Errorf("job %s: %w", q.ID, err))
	}
	return acceptedAs(q, cellName, t, http.StatusCreated)
}

// roomFor returns why a workspace may have no further open job in a cell. The bound holds in each cell
// by itself, and submissions at the same time through several nodes may each see the last place.
func (n *Node) roomFor(workspace, cellName string) error {
	most := n.config.Current().Workspaces[workspace].MaxOpenJobs
	if most <= 0 {
		return nil
	}
	open := 0
	n.cells[cellName].View(func(c *cell.Core) { open = c.OpenTasks(workspace) })
	if open >= most {
		return fmt.Errorf("workspace %s has %d open jobs in cell %s, at most %d are allowed", workspace, open, cellName, most)
	}
	return nil
}

// acceptedAs answers a submission under an id that stands in a cell.
func acceptedAs(q submitRequest, at string, t cell.Task, status int) jobAnswer {
	if t.Job != q.Job || q.DataCentre != "" && q.DataCentre != at {
		return failed(http.StatusConflict, targetapi.NotRun, fmt.Errorf("another job has been accepted under id %s", q.ID))
	}
	return answer(status, submitResponse{ID: q.ID, Cell: at})
}

// appendJob makes a job durable. It returns errNotAccepted when it surely is not, and whether the log
// has answered that it is.
func (n *Node) appendJob(ctx context.Context, cellName string, j cell.Job) (bool, error) {
	env, err := record.New("job-"+j.ID, record.KindJob, cell.SchemaVersion, n.opt.ID, j)
	if err != nil {
		return false, fmt.Errorf("%w: %w", errNotAccepted, err)
	}
	_, err = n.appendTo(ctx, cellName, env)
	if errors.Is(err, logsvc.ErrRefused) {
		return false, fmt.Errorf("%w: %w", errNotAccepted, err)
	}
	// After any other error the job may stand in the log, which reading forward tells.
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
	t := time.NewTicker(foldPoll)
	defer t.Stop()
	for {
		done := false
		n.cells[cellName].View(func(c *cell.Core) { done = ok(c) })
		if done {
			return nil
		}
		select {
		case <-ctx.Done():
			return errUnsettled
		case <-t.C:
		}
	}
}

// findJob looks for a job in the cells known here.
func (n *Node) findJob(id string) (cellName string, t cell.Task, ok bool) {
	for name, d := range n.cells {
		d.View(func(c *cell.Core) { t, ok = c.Task(id) })
		if ok {
			return name, t, true
		}
	}
	return "", t, false
}
