package cell

import (
	"time"

	"github.com/crocusspring/crocusspring/internal/announce"
	"github.com/crocusspring/crocusspring/internal/place"
	"github.com/crocusspring/crocusspring/internal/queue"
	"github.com/crocusspring/crocusspring/internal/resource"
)

// Policies are what the configuration says of workspaces, classes and workers.
type Policies struct {
	// Workspaces are weights and quotas.
	Workspaces map[string]queue.Policy
	Classes    map[string]ClassPolicy
	// Drained reports whether a worker is to take no new tasks, and after what time those that still
	// run there are moved.
	Drained func(announce.Member) (after time.Duration, drained bool)
	// SlowdownLimit is the slowdown of a service from which its neighbours are held back, and
	// ThrottlePercent the share of processor time they are left; 0 means the default.
	SlowdownLimit   float64
	ThrottlePercent int
	// KeepFree is the part of each worker that tasks leave free, from 0 to 1.
	KeepFree float64
	// Strategy scores workers, and InterferenceWeight is how much learned interference counts in it; an
	// empty strategy is that of the product.
	Strategy           place.Strategy
	InterferenceWeight float64
}

// ClassPolicy is what the configuration says of a class.
type ClassPolicy struct {
	Urgent bool
	// Fixed tasks are never throttled or evicted.
	Fixed bool
	// MaxFailures is how often a task may fail; 0 means the default.
	MaxFailures int
	// CheckpointEvery is the time between two checkpoints of a running task; 0 for none but the needed.
	CheckpointEvery time.Duration
}

// urgent reports whether a task goes before others.
func (c *Core) urgent(t *Task) bool {
	return t.Urgent || t.Service != "" || c.policies.Classes[t.Class].Urgent
}

// fixed reports whether a task must not be made to give way.
func (c *Core) fixed(t *Task) bool {
	return t.Service != "" || c.urgent(t) || c.policies.Classes[t.Class].Fixed
}

// maxFailures is how often a task may fail.
func (c *Core) maxFailures(t *Task) int {
	if n := c.policies.Classes[t.Class].MaxFailures; n > 0 {
		return n
	}
	return c.opt.MaxFailures
}

// slowdownLimit is the slowdown of a service from which its neighbours are held back.
func (c *Core) slowdownLimit() float64 {
	if c.policies.SlowdownLimit > 0 {
		return c.policies.SlowdownLimit
	}
	return c.opt.SlowdownLimit
}

// throttlePercent is the share of processor time that a throttled task is left.
func (c *Core) throttlePercent() int {
	if c.policies.ThrottlePercent > 0 {
		return c.policies.ThrottlePercent
	}
	return defaultThrottlePercent
}

// drained reports whether a worker is to take no new tasks, and after what time those that still run
// there are moved; from a worker that leaves they are moved at once.
func (c *Core) drained(m announce.Member) (time.Duration, bool) {
	if m.Leaving {
		return 0, true
	}
	if c.policies.Drained == nil {
		return 0, false
	}
	return c.policies.Drained(m)
}

// beyondQuota returns why a workspace could never have the task run, or an empty string.
func (c *Core) beyondQuota(t *Task) string {
	p, ok := c.policies.Workspaces[t.Workspace]
	if !ok {
		return ""
	}
	if kind := t.Declare.Lacking(p.Bounds()); kind != "" {
		return "larger than the workspace's quota of " + kind
	}
	return ""
}

// kept is what tasks leave free on a worker.
func (c *Core) kept(capacity resource.Vector) resource.Vector {
	part := c.policies.KeepFree
	return resource.Vector{MilliCPU: int64(part * float64(capacity.MilliCPU)), MemoryMB: int64(part * float64(capacity.MemoryMB))}
}

// checkpointDue reports whether a running task is due for a checkpoint that is not part of an
// eviction: its class asks for one from time to time, or the checkpoint it came from is consumed and
// nothing else keeps its work.
func (o *owner) checkpointDue(now time.Time, w *worker, t *Task) bool {
	key := t.key()
	if w.mirror[key].Checkpoint == nil && t.Resumed != nil {
		return true
	}
	every := o.c.policies.Classes[t.Class].CheckpointEvery
	if every == 0 {
		return false
	}
	last, ok := w.saves[key]
	if !ok {
		w.saves[key] = now
		return false
	}
	if now.Sub(last) < every {
		return false
	}
	w.saves[key] = now
	return true
}

// choose returns the placement pipeline that the policies ask for; one given to the core stays.
func (c *Core) choose() *place.Pipeline {
	switch {
	case c.opt.Pipeline != nil:
		return c.opt.Pipeline
	case c.policies.Strategy == "":
		return place.Default(c.effects)
	}
	return place.ByStrategy(c.policies.Strategy, c.effects, c.policies.InterferenceWeight)
}
