package node

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/crocusspring/crocusspring/internal/cell"
	"github.com/crocusspring/crocusspring/internal/operator"
	"github.com/crocusspring/crocusspring/internal/targetapi"
)

// catchUpTimeout bounds how long an answer waits for the fold to reach the tail of the stream.
const catchUpTimeout = 2 * time.Second

// found is a job that a cell knows.
type found struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
}

// locate groups jobs by the cell that knows them; what the operator of the request may not change is
// left out, like what no cell knows. Each cell is asked once for all ids that may be its own.
func (n *Node) locate(ctx context.Context, ids []string) (map[string][]string, *jobAnswer) {
	out := map[string][]string{}
	likely := map[string][]string{}
	for _, id := range ids {
		for _, c := range n.cellsFor(id)[:1] {
			likely[c] = append(likely[c], id)
		}
	}
	left := map[string]bool{}
	for c, part := range likely {
		if a := n.locateIn(ctx, c, part, out, left); a != nil {
			return nil, a
		}
	}
	for _, c := range n.allCells() {
		var part []string
		for _, id := range ids {
			if left[id] {
				part = append(part, id)
			}
		}
		if len(part) == 0 {
			break
		}
		if a := n.locateIn(ctx, c, part, out, left); a != nil {
			return nil, a
		}
	}
	return out, nil
}

// locateIn asks one cell and notes which ids are left.
func (n *Node) locateIn(ctx context.Context, c string, ids []string, out map[string][]string, left map[string]bool) *jobAnswer {
	a := n.doJob(ctx, jobOp{Verb: verbFind, Cell: c, IDs: ids})
	if a.status != http.StatusOK {
		return &a
	}
	var known []found
	if err := json.Unmarshal(a.body, &known); err != nil {
		bad := failed(http.StatusBadGateway, targetapi.NotRun, fmt.Errorf("cell %s: %w", c, err))
		return &bad
	}
	for _, id := range ids {
		left[id] = true
	}
	for _, f := range known {
		delete(left, f.ID)
		if mayJobs(ctx, operator.Change, f.Workspace) {
			out[c] = append(out[c], f.ID)
		}
	}
	return nil
}

// find returns which of some jobs a cell known here knows, as of the tail of its stream.
func (n *Node) find(ctx context.Context, cellName string, ids []string) jobAnswer {
	known := n.findKnown(cellName, ids)
	if len(known) < len(ids) {
		if err := n.catchUp(ctx, cellName); err != nil {
			return failed(http.StatusServiceUnavailable, targetapi.NotRun, err)
		}
		known = n.findKnown(cellName, ids)
	}
	return answer(http.StatusOK, known)
}

// findKnown looks jobs up in the fold.
func (n *Node) findKnown(cellName string, ids []string) []found {
	out := make([]found, 0, len(ids))
	n.cells[cellName].View(func(c *cell.Core) {
		for _, id := range ids {
			if t, ok := c.Task(id); ok {
				out = append(out, found{id, t.Workspace})
			}
		}
	})
	return out
}

// catchUp waits until a fold has reached what is the tail of its stream now, so that a job which
// another entry has just accepted is known here too.
func (n *Node) catchUp(ctx context.Context, cellName string) error {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	b, err := n.ports.Log.Read(ctx, cell.Stream(cellName), n.cells[cellName].Next(), 1, 0)
	if err != nil {
		return fmt.Errorf("job is not known here and the log can't be read: %w", err)
	}
	return n.await(ctx, cellName, func(c *cell.Core) bool { return c.Next() >= b.Tail })
}
