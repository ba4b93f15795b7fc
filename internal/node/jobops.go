package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/crocusspring/crocusspring/internal/cell"
	"github.com/crocusspring/crocusspring/internal/finding"
	"github.com/crocusspring/crocusspring/internal/jsonhttp"
	"github.com/crocusspring/crocusspring/internal/operator"
	"github.com/crocusspring/crocusspring/internal/targetapi"
)

// jobVerb is the kind of an operation on jobs.
type jobVerb string

// Verbs of operations on jobs.
const (
	verbSubmit  jobVerb = "submit"
	verbGet     jobVerb = "get"
	verbList    jobVerb = "list"
	verbExplain jobVerb = "explain"
	verbCancel  jobVerb = "cancel"
	verbFind    jobVerb = "find"
)

// jobOp is one operation on the jobs of one cell, in the form in which processes forward it.
type jobOp struct {
	Verb jobVerb `json:"verb"`
	Cell string  `json:"cell"`
	// ID is the job of get and explain, IDs are the jobs of find and cancel.
	ID     string         `json:"id,omitempty"`
	IDs    []string       `json:"ids,omitempty"`
	Query  cell.Query     `json:"query,omitzero"`
	Submit *submitRequest `json:"submit,omitempty"`
	// CallerChoseID means that the caller chose the id of a submission.
	CallerChoseID bool `json:"given,omitempty"`
}

// jobAnswer is the answer to an operation.
type jobAnswer struct {
	status  int
	outcome targetapi.Outcome
	body    json.RawMessage
}

// answer returns the answer to a successful operation.
func answer(status int, body any) jobAnswer {
	data, err := json.Marshal(body)
	if err != nil {
		return failed(http.StatusInternalServerError, targetapi.Unknown, err)
	}
	return jobAnswer{status: status, body: data}
}

// failed returns the answer that reports an error.
func failed(status int, o targetapi.Outcome, err error) jobAnswer {
	p := jsonhttp.Problem{Title: http.StatusText(status), Status: status, Detail: err.Error(), Outcome: string(o)}
	var fe *finding.Error
	if errors.As(err, &fe) {
		p.Findings = fe.Findings
	}
	data, err := json.Marshal(p)
	if err != nil {
		data = nil
	}
	return jobAnswer{status: status, outcome: o, body: data}
}

// unknownJob returns the answer for an id that no cell has.
func unknownJob(id string) jobAnswer {
	return failed(http.StatusNotFound, "", fmt.Errorf("job %s is not known", id))
}

// doJob runs an operation at this node if its fold of the cell is up to date, else at the cell's owner.
// Only the owner can explain a job. If the owner can't be reached, this node answers all the same, unless
// the operation changes the cell and the call to the owner has failed.
func (n *Node) doJob(ctx context.Context, op jobOp) jobAnswer {
	d := n.cells[op.Cell]
	if d == nil {
		return n.forwardJob(ctx, op)
	}
	ready, owner := false, false
	d.View(func(c *cell.Core) {
		ready = c.Ready()
		_, owner = c.Owner(time.Now())
	})
	if !ready || op.Verb == verbExplain && !owner {
		if a, ok := n.tryForward(ctx, op); ok {
			return a
		}
	}
	return n.doJobHere(ctx, op)
}

// doJobHere runs an operation on a cell of this node.
func (n *Node) doJobHere(ctx context.Context, op jobOp) jobAnswer {
	d := n.cells[op.Cell]
	if d == nil {
		return failed(http.StatusServiceUnavailable, targetapi.NotRun, fmt.Errorf("cell %s is not known here", op.Cell))
	}
	switch op.Verb {
	case verbSubmit:
		return n.submit(ctx, *op.Submit, op.Cell, op.CallerChoseID)
	case verbCancel:
		return n.cancel(ctx, op.Cell, op.IDs)
	case verbFind:
		return n.find(ctx, op.Cell, op.IDs)
	case verbGet:
		var t cell.Task
		var ok bool
		get := func() { d.View(func(c *cell.Core) { t, ok = c.Task(op.ID) }) }
		if get(); !ok {
			if err := n.catchUp(ctx, op.Cell); err != nil {
				return failed(http.StatusServiceUnavailable, "", err)
			}
			get()
		}
		if !ok {
			return unknownJob(op.ID)
		}
		return answer(http.StatusOK, jobStatus{t, op.Cell})
	case verbExplain:
		var e cell.Explanation
		var ok bool
		d.View(func(c *cell.Core) { e, ok = c.Explain(time.Now(), op.ID) })
		if !ok {
			return unknownJob(op.ID)
		}
		return answer(http.StatusOK, e)
	case verbList:
		var ts []cell.Task
		d.View(func(c *cell.Core) { ts = c.Tasks(op.Query) })
		out := make([]jobStatus, 0, len(ts))
		for _, t := range ts {
			out = append(out, jobStatus{t, op.Cell})
		}
		return answer(http.StatusOK, out)
	}
	return failed(http.StatusBadRequest, targetapi.NotRun, fmt.Errorf("operation %q is not known", op.Verb))
}

// jobStatus is the state of a job and its cell.
type jobStatus struct {
	cell.Task
	Cell string `json:"cell"`
}

// idSeparator follows the cell's name in job ids that the system generates, so that every process can
// tell the cell from the id.
const idSeparator = "."

// allCells returns the cells of this node and those that other processes own, sorted by name.
func (n *Node) allCells() []string {
	names := slices.Clone(n.opt.Cells)
	for _, p := range n.members.Processes() {
		names = append(names, p.Cells...)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// cellForID chooses the cell of a job that names none by a hash of the job's id, so that the same id maps to
// the same cell while the set of cells stays the same; empty when no cell is known.
func (n *Node) cellForID(id string) string {
	names := slices.Clone(n.opt.Cells)
	slices.Sort(names)
	if len(names) == 0 {
		names = n.allCells()
	}
	if len(names) == 0 {
		return ""
	}
	return names[xxhash.Sum64String(id)%uint64(len(names))]
}

// cellsFor returns the cells that may have a job, the most likely first.
func (n *Node) cellsFor(id string) []string {
	if name, _, ok := n.findJob(id); ok {
		return []string{name}
	}
	all := n.allCells()
	likely := n.cellForID(id)
	for _, c := range all {
		if strings.HasPrefix(id, c+idSeparator) {
			likely = c
		}
	}
	out := []string{}
	if likely != "" {
		out = append(out, likely)
	}
	for _, c := range all {
		if c != likely {
			out = append(out, c)
		}
	}
	return out
}

// queryJob queries the cells that may have a job until one answers with it.
func (n *Node) queryJob(ctx context.Context, verb jobVerb, id string) jobAnswer {
	out := unknownJob(id)
	for _, c := range n.cellsFor(id) {
		a := visibleJob(ctx, n.doJob(ctx, jobOp{Verb: verb, Cell: c, ID: id}), operator.Read, id)
		if a.status == http.StatusOK {
			return a
		}
		if a.status != http.StatusNotFound {
			// A cell that failed to answer may have the job, so don't report it as unknown.
			out = a
		}
	}
	return out
}
