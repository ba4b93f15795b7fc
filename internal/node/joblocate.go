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

// catchUpTimeout bounds how long a request waits for the fold to reach the tail of the stream.
const catchUpTimeout = 2 * time.Second

// foundJob is a job that a cell has.
type foundJob struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
}

// locate groups jobs by the cell that has them. It leaves out jobs that no cell has and jobs that the
// operator of the request may not change. It first queries the likeliest cell of each id, then every cell
// for the ids still unresolved, with one request for all ids of a cell each time.
func (n *Node) locate(ctx context.Context, ids []string) (map[string][]string, *jobAnswer) {
	out := map[string][]string{}
	byLikeliest := map[string][]string{}
	for _, id := range ids {
		for _, c := range n.cellsFor(id)[:1] {
			byLikeliest[c] = append(byLikeliest[c], id)
		}
	}
	unresolved := map[string]bool{}
	for c, part := range byLikeliest {
		if a := n.locateIn(ctx, c, part, out, unresolved); a != nil {
			return nil, a
		}
	}
	for _, c := range n.allCells() {
		var part []string
		for _, id := range ids {
			if unresolved[id] {
				part = append(part, id)
			}
		}
		if len(part) == 0 {
			break
		}
		if a := n.locateIn(ctx, c, part, out, unresolved); a != nil {
			return nil, a
		}
	}
	return out, nil
}

// locateIn queries one cell, adds those of its jobs to out that the operator of the request may change, and
// updates unresolved, the ids that no cell queried so far has.
func (n *Node) locateIn(ctx context.Context, c string, ids []string, out map[string][]string, unresolved map[string]bool) *jobAnswer {
	a := n.doJob(ctx, jobOp{Verb: verbFind, Cell: c, IDs: ids})
	if a.status != http.StatusOK {
		return &a
	}
	var matches []foundJob
	if err := json.Unmarshal(a.body, &matches); err != nil {
		failure := failed(http.StatusBadGateway, targetapi.NotRun, fmt.Errorf("cell %s: %w", c, err))
		return &failure
	}
	for _, id := range ids {
		unresolved[id] = true
	}
	for _, f := range matches {
		delete(unresolved, f.ID)
		if mayAccessJobs(ctx, operator.Change, f.Workspace) {
			out[c] = append(out[c], f.ID)
		}
	}
	return nil
}

// find returns which of the jobs a cell of this node has, as of the tail of the cell's stream.
func (n *Node) find(ctx context.Context, cellName string, ids []string) jobAnswer {
	matches := n.lookUp(cellName, ids)
	if len(matches) < len(ids) {
		if err := n.catchUp(ctx, cellName); err != nil {
			return failed(http.StatusServiceUnavailable, targetapi.NotRun, err)
		}
		matches = n.lookUp(cellName, ids)
	}
	return answer(http.StatusOK, matches)
}

// lookUp looks up jobs in the fold of a cell.
func (n *Node) lookUp(cellName string, ids []string) []foundJob {
	out := make([]foundJob, 0, len(ids))
	n.cells[cellName].View(func(c *cell.Core) {
		for _, id := range ids {
			if t, ok := c.Task(id); ok {
				out = append(out, foundJob{id, t.Workspace})
			}
		}
	})
	return out
}

// catchUp waits until a cell's fold has reached the tail that its stream has now, so that it includes jobs
// which another entry has just accepted.
func (n *Node) catchUp(ctx context.Context, cellName string) error {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	b, err := n.ports.Log.Read(ctx, cell.Stream(cellName), n.cells[cellName].Next(), 1, 0)
	if err != nil {
		return fmt.Errorf("job is not known here and the log can't be read: %w", err)
	}
	return n.await(ctx, cellName, func(c *cell.Core) bool { return c.Next() >= b.Tail })
}
