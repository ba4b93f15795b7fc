package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/crocusspring/crocusspring/internal/cell"
	"github.com/crocusspring/crocusspring/internal/chart"
	"github.com/crocusspring/crocusspring/internal/configrun"
	"github.com/crocusspring/crocusspring/internal/finding"
	"github.com/crocusspring/crocusspring/internal/ingress"
	"github.com/crocusspring/crocusspring/internal/jsonhttp"
	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/record"
	"github.com/crocusspring/crocusspring/internal/targetapi"
)

// maxCancelRecord is the maximum number of ids in one cancel record.
const maxCancelRecord = 1000

// stateUnknown is the reported state of a job that is in no cell.
const stateUnknown = "unknown"

// cancelRequest is the body of POST /v1/jobs/cancel.
type cancelRequest struct {
	Jobs []string `json:"jobs"`
}

// cancelled is the state of a job after its cancellation: cancelled, stopping while a worker may still
// run it, the final state it had reached before, or unknown.
type cancelled struct {
	ID    string      `json:"id"`
	State chart.State `json:"state"`
}

// serveCancel cancels a list of jobs.
func (n *Node) serveCancel(w http.ResponseWriter, r *http.Request) {
	var q cancelRequest
	if err := jsonhttp.Read(w, r, maxRequestBody, jsonhttp.MaxValues, &q); err != nil {
		failed(ingress.Status(err), targetapi.NotRun, err).write(w)
		return
	}
	if len(q.Jobs) == 0 || len(q.Jobs) > maxCancelled {
		var l finding.List
		l.Add("/jobs", fmt.Sprint(len(q.Jobs)), "must name from 1 to %d jobs", maxCancelled)
		failed(http.StatusBadRequest, targetapi.NotRun, l.Err()).write(w)
		return
	}
	n.cancelAll(r.Context(), q.Jobs).write(w)
}

// serveCancelOne cancels one job.
func (n *Node) serveCancelOne(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	a := n.cancelAll(r.Context(), []string{id})
	var out []cancelled
	if a.status != http.StatusOK || json.Unmarshal(a.body, &out) != nil || len(out) != 1 {
		a.write(w)
		return
	}
	if out[0].State == stateUnknown {
		unknownJob(id).write(w)
		return
	}
	answer(http.StatusOK, out[0]).write(w)
}

// cancelAll cancels jobs of any cells. It queries all cells for jobs that the likeliest cell doesn't have.
func (n *Node) cancelAll(ctx context.Context, ids []string) jobAnswer {
	byCell, err := n.locate(ctx, ids)
	if err != nil {
		return *err
	}
	states := map[string]chart.State{}
	for c, part := range byCell {
		a := n.doJob(ctx, jobOp{Verb: verbCancel, Cell: c, IDs: part})
		var out []cancelled
		if a.status != http.StatusOK || json.Unmarshal(a.body, &out) != nil {
			return a
		}
		for _, s := range out {
			states[s.ID] = s.State
		}
	}
	out := make([]cancelled, 0, len(ids))
	for _, id := range ids {
		s, ok := states[id]
		if !ok {
			s = stateUnknown
		}
		out = append(out, cancelled{id, s})
	}
	return answer(http.StatusOK, out)
}

// cancel cancels jobs of one cell and answers once the cancellation has been folded. One record carries
// up to maxCancelRecord ids, and the log client batches concurrent records into one append.
func (n *Node) cancel(ctx context.Context, cellName string, ids []string) jobAnswer {
	ctx, cancel := context.WithTimeout(ctx, configrun.WaitTimeout)
	defer cancel()
	for remaining := ids; len(remaining) > 0; {
		part := remaining[:min(len(remaining), maxCancelRecord)]
		remaining = remaining[len(part):]
		if err := n.cancelPart(ctx, cellName, part); err != nil {
			o := targetapi.Unknown
			if errors.Is(err, logsvc.ErrRefused) && len(part) == len(ids) {
				o = targetapi.NotRun
			}
			return failed(http.StatusServiceUnavailable, o, err)
		}
	}
	out := make([]cancelled, 0, len(ids))
	n.cells[cellName].View(func(c *cell.Core) {
		for _, id := range ids {
			s := chart.State(stateUnknown)
			if t, ok := c.Task(id); ok {
				s = t.State
			}
			out = append(out, cancelled{id, s})
		}
	})
	return answer(http.StatusOK, out)
}

// cancelPart appends one cancel record and waits until it has been folded.
func (n *Node) cancelPart(ctx context.Context, cellName string, ids []string) error {
	env, err := record.New(record.NewID(), record.KindCancel, cell.SchemaVersion, n.opt.ID, cell.Cancel{Jobs: ids})
	if err != nil {
		return err
	}
	at, err := n.appendTo(ctx, cellName, env)
	if errors.Is(err, logsvc.ErrRefused) {
		return fmt.Errorf("jobs were not cancelled: %w", err)
	}
	folded := func(c *cell.Core) bool { return c.Next() > at }
	if err != nil {
		// The log's answer was lost. The cancellation has taken effect when every job is cancelled, stopping
		// or ended.
		folded = func(c *cell.Core) bool { return noneCancellable(c, ids) }
	}
	return n.await(ctx, cellName, folded)
}

// noneCancellable reports whether a cancellation would change none of the jobs.
func noneCancellable(c *cell.Core, ids []string) bool {
	for _, id := range ids {
		if t, ok := c.Task(id); ok && !t.Done() && t.State != cell.StateStopping {
			return false
		}
	}
	return true
}
