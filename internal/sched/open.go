package sched

import (
	"errors"
	"fmt"
	"slices"

	"github.com/crocusspring/crocusspring/internal/event"
)

// smallJobTasks is the number of tasks up to which a job may be opened beyond Options.MaxOpenTasks, by half of it, so that it
// doesn't wait behind large ones.
const smallJobTasks = 256

// mayOpen reports whether another occurrence of a job may be opened: whether there is room in memory for its tasks. A job
// whose tasks find none stays as it was accepted, which takes a few kilobytes. The first that is due is always opened.
func (c *Core) mayOpen(j *jobState) bool {
	limit, n := c.opt.MaxOpenTasks, j.spec.Tasks()
	if n <= smallJobTasks {
		limit += limit / 2
	}
	if c.opt.MaxOpenTasks <= 0 || c.tasks == 0 || c.tasks+n <= limit {
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
		if o := j.occurrences[k]; o != nil {
			for _, s := range o.steps {
				c.tasks -= len(s.tasks)
			}
			delete(j.occurrences, k)
		}
	}
}

// dropEndedTasks drops the tasks of the steps of an ended job that never had a run: nothing can be heard of them. The tasks of
// other steps stay as long as the job, since a start that was held up may still be carried out.
func (c *Core) dropEndedTasks(j *jobState) {
	if !j.state.Terminal() || j.held > 0 || c.dirty[j.spec.ID] != nil || c.inFlight != nil {
		return
	}
	hadRun := func(t *task) bool { return t.run > 0 || t.late != nil }
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if !slices.ContainsFunc(s.tasks, hadRun) {
				c.tasks -= len(s.tasks)
				s.tasks, s.openTasks, s.waiting = nil, 0, 0
			}
		}
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
