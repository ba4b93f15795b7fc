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
	// After is the id after which the answer begins, and Limit how many it holds at the most.
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

// selects reports whether a task is one of those asked for.
func (q Query) selects(t *Task) bool {
	is := func(want, have string) bool { return want == "" || want == have }
	return is(q.Workspace, t.Workspace) && is(string(q.State), string(t.State)) && is(q.Class, t.Class) &&
		is(q.Worker, t.Worker) && t.ID > q.After
}

// Explanation says where a task runs or why it waits.
type Explanation struct {
	Task Task `json:"task"`
	// Known says that this process owns the cell, so that the rest is there.
	Known   bool                `json:"known"`
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
	e := Explanation{Task: *t, Known: c.own != nil, Reason: t.Reason}
	if c.own == nil {
		return e, true
	}
	c.own.explain(now, t, &e)
	return e, true
}

// explain adds what the owner knows.
func (o *owner) explain(now time.Time, t *Task, e *Explanation) {
	e.Reserve = o.c.size(t).String()
	if a, ok := o.assumed[t.ID]; ok {
		e.Reason = "about to be assigned to " + a.Worker
		return
	}
	if !t.Waits() && t.State != StateUnschedulable {
		return
	}
	all := o.open(now)
	pt := o.placeTask(t)
	open, barred := o.allowed(now, pt, all)
	e.Workers = len(o.order)
	e.Refused = append(o.c.pipe.Refusals(pt, open), barred...)
	e.Filters = place.CountReasons(e.Refused)
	if shut := len(o.order) - len(all); shut > 0 {
		e.Filters = append(e.Filters, place.ReasonCount{Filter: "fence", Reason: "worker has not answered under this epoch", Workers: shut})
	}
	e.HeldOn = o.holds[t.ID].worker
	if reason, _ := o.queue.Reason(t.ID); reason != "" {
		e.Reason = reason
	}
}
