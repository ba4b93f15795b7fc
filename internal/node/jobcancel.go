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
	"github.com/crocusspring/crocusspring/internal/jsonhttp"
	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/record"
	"github.com/crocusspring/crocusspring/internal/targetapi"
)

// maxCancelRecord bounds the ids of one cancel record.
const maxCancelRecord = 1000

// stateUnknown stands for the state of a job that no cell knows.
const stateUnknown = "unknown"

// cancelRequest is the body of POST /v1/jobs/cancel.
type cancelRequest struct {
	Jobs []string `json:"jobs"`
}

// cancelled is what a cancellation left of one job: cancelled, stopping when a worker may still hold
// it, or the end it had reached before.
type cancelled struct {
	ID    string      `json:"id"`
	State chart.State `json:"state"`
}

// serveCancel cancels a list of jobs.
func (n *Node) serveCancel(w http.ResponseWriter, r *http.Request) {
	var q cancelRequest
	if err := jsonhttp.Read(w, r, maxRequestBody, &q); err != nil {
		failed(http.StatusBadRequest, targetapi.NotRun, err).write(w)
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

// cancelAll cancels jobs of any cells. Jobs that are not known here are looked for at other cells.
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

// cancel cancels jobs of one cell; it is answered once the cancellation has been folded. Many ids go
// into one record, and records that are under way at once into one append.
func (n *Node) cancel(ctx context.Context, cellName string, ids []string) jobAnswer {
	ctx, done := context.WithTimeout(ctx, configrun.WaitTimeout)
	defer done()
	for rest := ids; len(rest) > 0; {
		part := rest[:min(len(rest), maxCancelRecord)]
		rest = rest[len(part):]
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
		// The answer was lost: that all of them are cancelled or have ended tells that it took effect.
		folded = func(c *cell.Core) bool { return allOver(c, ids) }
	}
	return n.await(ctx, cellName, folded)
}

// allOver reports whether no job is left that a cancellation would change.
func allOver(c *cell.Core, ids []string) bool {
	for _, id := range ids {
		if t, ok := c.Task(id); ok && !t.Done() && t.State != cell.StateStopping {
			return false
		}
	}
	return true
}
