package cell

import (
	"time"

	"github.com/crocusspring/crocusspring/internal/announce"
	"github.com/crocusspring/crocusspring/internal/place"
	"github.com/crocusspring/crocusspring/internal/queue"
	"github.com/crocusspring/crocusspring/internal/resource"
)

// Policies are the configuration of workspaces, classes and workers.
type Policies struct {
	// Workspaces are weights and quotas.
	Workspaces map[string]queue.Policy
	Classes    map[string]ClassPolicy
	// Drained reports whether a worker takes no new tasks, and after what time those that still run there
	// are evicted.
	Drained func(announce.Member) (after time.Duration, drained bool)
	// SlowdownLimit is the slowdown of a service above which its neighbours are throttled or evicted, and
	// ThrottlePercent the percentage of processor time that a throttled task gets; 0 means the default.
	SlowdownLimit   float64
	ThrottlePercent int
	// KeepFree is the fraction of each worker that tasks leave free, from 0 to 1.
	KeepFree float64
	// Strategy scores workers, and InterferenceWeight is how much learned interference counts in it; an
	// empty strategy means the default pipeline.
	Strategy           place.Strategy
	InterferenceWeight float64
}

// ClassPolicy is the configuration of a class.
type ClassPolicy struct {
	Urgent bool
	// Fixed tasks are never throttled, and evicted only by a drain.
	Fixed bool
	// MaxFailures is how often a task may fail; 0 means the default.
	MaxFailures int
	// CheckpointEvery is the time between two periodic checkpoints of a running task; 0 for none but those
	// that an eviction or a consumed checkpoint requires.
	CheckpointEvery time.Duration
}

// urgent reports whether a task has priority over others.
func (c *Core) urgent(t *Task) bool {
	return t.Urgent || t.Service != "" || c.policies.Classes[t.Class].Urgent
}

// fixed reports whether a task must not be throttled, nor evicted except by a drain.
func (c *Core) fixed(t *Task) bool {
	return t.Service != "" || c.urgent(t) || c.policies.Classes[t.Class].Fixed
}

// maxFailures returns how often a task may fail.
func (c *Core) maxFailures(t *Task) int {
	if n := c.policies.Classes[t.Class].MaxFailures; n > 0 {
		return n
	}
	return c.opt.MaxFailures
}

// slowdownLimit returns the slowdown of a service above which its neighbours are throttled or evicted.
func (c *Core) slowdownLimit() float64 {
	if c.policies.SlowdownLimit > 0 {
		return c.policies.SlowdownLimit
	}
	return c.opt.SlowdownLimit
}

// throttlePercent returns the percentage of processor time that a throttled task gets.
func (c *Core) throttlePercent() int {
	if c.policies.ThrottlePercent > 0 {
		return c.policies.ThrottlePercent
	}
	return defaultThrottlePercent
}

// drained reports whether a worker takes no new tasks, and after what time those that still run there are
// evicted; on a worker that leaves they are evicted at once.
func (c *Core) drained(m announce.Member) (time.Duration, bool) {
	if m.Leaving {
		return 0, true
	}
	if c.policies.Drained == nil {
		return 0, false
	}
	return c.policies.Drained(m)
}

// beyondQuota returns why the quota of its workspace could never admit the task, or an empty string.
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

// keptFree returns the resources that tasks leave free on a worker.
func (c *Core) keptFree(capacity resource.Vector) resource.Vector {
	part := c.policies.KeepFree
	return resource.Vector{MilliCPU: int64(part * float64(capacity.MilliCPU)), MemoryMB: int64(part * float64(capacity.MemoryMB))}
}

// checkpointDue reports whether a running task is due for a checkpoint that is not part of an eviction: its
// class requires periodic ones, or the checkpoint it resumed from is consumed and its work is saved nowhere
// else.
func (o *owner) checkpointDue(now time.Time, w *worker, t *Task) bool {
	key := t.key()
	if w.inventory[key].Checkpoint == nil && t.Resumed != nil {
		return true
	}
	every := o.core.policies.Classes[t.Class].CheckpointEvery
	if every == 0 {
		return false
	}
	last, ok := w.lastCheckpoints[key]
	if !ok {
		w.lastCheckpoints[key] = now
		return false
	}
	if now.Sub(last) < every {
		return false
	}
	w.lastCheckpoints[key] = now
	return true
}

// choosePipeline returns the placement pipeline that the policies select; one set in the options takes
// precedence.
func (c *Core) choosePipeline() *place.Pipeline {
	switch {
	case c.opt.Pipeline != nil:
		return c.opt.Pipeline
	case c.policies.Strategy == "":
		return place.Default(c.interference)
	}
	return place.ByStrategy(c.policies.Strategy, c.interference, c.policies.InterferenceWeight)
}
