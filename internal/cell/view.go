package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/internal/chart"
	"github.com/crocusspring/crocusspring/internal/place"
)

// Task returns a copy of a task.
func (c *Core) Task(id string) (Task, bool) {
	t := c.state.tasks[id]
	if t == nil {
		return Task{}, false
	}
	return *t, true
}

// Query selects tasks; empty fields select all.
type Query struct {
	Workspace string
	State     chart.State
	Class     string
	Worker    string
	// After is the id after which the result begins, and Limit the most tasks it holds; 0 means no limit.
	After string
	Limit int
}

// Tasks returns copies of the tasks that a query selects, in order of id.
func (c *Core) Tasks(q Query) []Task {
	var out []Task
	for _, t := range c.state.tasks {
		if q.selects(t) {
			out = append(out, *t)
		}
	}
	slices.SortFunc(out, func(a, b Task) int { return cmp.Compare(a.ID, b.ID) })
	if q.Limit > 0 && len(out) > q.Limit {
		out = out[:q.Limit]
	}
	return out
}

// selects reports whether a task matches the query.
func (q Query) selects(t *Task) bool {
	is := func(want, have string) bool { return want == "" || want == have }
	return is(q.Workspace, t.Workspace) && is(string(q.State), string(t.State)) && is(q.Class, t.Class) &&
		is(q.Worker, t.Worker) && t.ID > q.After
}

// Explanation says where a task runs or why it waits.
type Explanation struct {
	Task Task `json:"task"`
	// Owned reports that this process owns the cell; the fields after Reason are set only then.
	Owned   bool                `json:"known"`
	Reason  string              `json:"reason,omitempty"`
	Reserve string              `json:"reserve,omitempty"`
	Workers int                 `json:"workers"`
	Filters []place.ReasonCount `json:"filters,omitempty"`
	Refused []place.Refusal     `json:"refused,omitempty"`
	HeldOn  string              `json:"held_on,omitempty"`
}

// Explain says where a task runs or why it waits.
func (c *Core) Explain(now time.Time, id string) (Explanation, bool) {
	t := c.state.tasks[id]
	if t == nil {
		return Explanation{}, false
	}
	e := Explanation{Task: *t, Owned: c.owner != nil, Reason: t.Reason}
	if c.owner == nil {
		return e, true
	}
	c.owner.explain(now, t, &e)
	return e, true
}

// explain adds what only the owner knows: the reservation and, for a task without a worker, why it waits.
func (o *owner) explain(now time.Time, t *Task, e *Explanation) {
	e.Reserve = o.core.reservation(t).String()
	if a, ok := o.assumed[t.ID]; ok {
		e.Reason = "about to be assigned to " + a.Worker
		return
	}
	if !t.Waits() && t.State != StateUnschedulable {
		return
	}
	all := o.startableWorkers(now)
	pt := o.placeTask(t)
	candidates, banned := o.filterBanned(now, pt, all)
	e.Workers = len(o.sortedWorkers)
	e.Refused = append(o.core.pipeline.Refusals(pt, candidates), banned...)
	e.Filters = place.CountReasons(e.Refused)
	if unfenced := len(o.sortedWorkers) - len(all); unfenced > 0 {
		e.Filters = append(e.Filters, place.ReasonCount{Filter: "fence", Reason: "worker has not answered under this epoch", Workers: unfenced})
	}
	e.HeldOn = o.holds[t.ID].worker
	if reason, _ := o.queue.Reason(t.ID); reason != "" {
		e.Reason = reason
	}
}
