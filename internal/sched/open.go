package sched

import (
	"errors"
	"fmt"

	"github.com/crocusspring/crocusspring/internal/event"
)

// smallJobTasks is the number of tasks up to which a job may be opened beyond Options.MaxOpenTasks, by half of it, so that it
// doesn't wait behind large ones.
const smallJobTasks = 256

// mayOpen reports whether another occurrence of a job may be opened: whether there is room in memory for its tasks. A job
// whose tasks find none stays as it was accepted, which takes a few kilobytes. The first that is due is always opened.
func (c *Core) mayOpen(j *jobState) bool {
	limit, n := c.opt.MaxOpenTasks, j.spec.Tasks()
	if limit <= 0 || c.tasks == 0 {
		return true
	}
	if n <= smallJobTasks {
		limit += limit / 2
	}
	if c.tasks+n <= limit {
		j.deferred = false
		return true
	}
	if !j.deferred {
		j.deferred = true
		c.logDecision(event.Defer, j.spec.ID, fmt.Sprintf("tasks=%d held=%d limit=%d", n, c.tasks, limit))
	}
	return false
}

// openOccurrence adds an occurrence with all tasks waiting to a job.
func (c *Core) openOccurrence(j *jobState, k int) *occurrence {
	o := newOccurrence(j, k)
	j.occurrences[k] = o
	c.tasks += j.spec.Tasks()
	return o
}

// dropOccurrences removes occurrences of a job with their tasks.
func (c *Core) dropOccurrences(j *jobState, ks ...int) {
	for _, k := range ks {
		if j.occurrences[k] != nil {
			delete(j.occurrences, k)
			c.tasks -= j.spec.Tasks()
		}
	}
}

// dropEndedTasks drops the tasks of an ended job once nothing may be heard of them any more. An owner that takes over then has
// none of them either.
func (c *Core) dropEndedTasks(j *jobState) {
	if !j.state.Terminal() || j.held > 0 || c.dirty[j.spec.ID] != nil || c.inFlight != nil {
		return
	}
	for _, o := range j.inOrder() {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if t.late != nil || len(t.copies) > 0 || c.crashed.tasks[t] {
					return
				}
			}
		}
	}
	for _, o := range j.inOrder() {
		c.dropOccurrences(j, o.k)
	}
}

// ErrNoLimit means that an owner has no limit of the memory for jobs, or tells none.
var ErrNoLimit = errors.New("no limit of the memory for jobs is known")

// Room returns the memory that is left for further jobs, in bytes; false if there is no limit.
func (c *Core) Room() (int64, bool) {
	return max(0, c.opt.JobMemory-c.specMemory), c.opt.JobMemory > 0
}

// OpenTasks returns how many tasks the core holds in memory, and how many jobs wait to be opened for want of room.
func (c *Core) OpenTasks() (tasks, deferred int) {
	for _, j := range c.openJobs {
		if j.deferred {
			deferred++
		}
	}
	return c.tasks, deferred
}
