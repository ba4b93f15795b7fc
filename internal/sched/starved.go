package sched

import (
	"math"
	"slices"
	"time"
)

// starvationDelay is how long no worker takes a task of a step before the step may use capacity kept for
// others: a long-running task that of short ones, a filler of a job that isn't active that of serving tasks,
// where local control throttles it.
const starvationDelay = 1500 * time.Millisecond

// placeOnDoubtful places the waiting tasks of a starved step that lasts on workers that take no tasks since runs have failed
// or stalled there, and reports whether it has placed any. Such a task loses no attempt if it fails. It is tried again after
// starvationDelay.
func (c *Core) placeOnDoubtful(now time.Time, s *step) bool {
	p := c.pool(s)
	if !s.spec.LongRunning || !s.starved(now) || len(p.doubtful) == 0 {
		return false
	}
	placed := false
	for _, t := range s.tasks {
		if t.state != stateWaiting || t.startsAlone() || now.Sub(t.doubtfulAt) < starvationDelay {
			continue
		}
		w := c.bestDoubtful(now, t, p.doubtful)
		if w == nil {
			break
		}
		c.assign(now, t, w, 0)
		t.doubtfulAt, placed = now, true
		// The room was not among that of the workers that take tasks.
		p.free += s.spec.Reserve().MilliCPU
		p.idle -= s.spec.Reserve().MilliCPU
	}
	if s.waiting == 0 {
		s.unplacedSince = time.Time{}
	}
	return placed
}

// bestDoubtful returns the worker with the highest score for a task among doubtful ones, or nil. One on trial has its task.
func (c *Core) bestDoubtful(now time.Time, t *task, doubtful []*worker) *worker {
	var best *worker
	for _, w := range doubtful {
		if c.health.onTrial(now, w.id) || w.hasCopy(t) || !passes(filters[poolFilters:], c, now, t.step, w) {
			continue
		}
		if best == nil || c.score(t.step.spec, t.step, w) > c.score(t.step.spec, t.step, best) {
			best = w
		}
	}
	return best
}

// fallbackRefusal returns why a filler that no worker takes isn't placed all the same, or an empty string.
func (c *Core) fallbackRefusal(now time.Time, s *step) string {
	if s.spec.Filler && !s.starved(now) {
		return "not starved yet"
	}
	return c.yields(now, s)
}

// yields returns why the fillers of a step must not disturb serving tasks however long they wait, or an empty string.
func (c *Core) yields(now time.Time, s *step) string {
	switch {
	case !s.spec.Filler:
		return "no filler"
	case c.active(now, s.occ.job):
		return "something of its job runs"
	case s.occ.job.lateness > 0 && c.pool(s).busy():
		return "late, and the service is busy"
	}
	return ""
}

// mayDisturb reports whether a waiting filler of a step may be placed on a worker where serving tasks would keep it off, now
// or once it is starved. One that must start in isolation doesn't ask for the state of its job.
func (c *Core) mayDisturb(now time.Time, s *step) bool {
	suspect := func(t *task) bool { return t.state == stateWaiting && t.startsAlone() }
	return s.spec.Filler && (c.yields(now, s) == "" || slices.ContainsFunc(s.tasks, suspect))
}

// overlapDelay is how long after the start of a job's only starved filler the next one may start beside it. With one at a time
// nothing of the job would run from the end of one until the start of the next.
const overlapDelay = 500 * time.Millisecond

// active reports whether something of a job runs on a worker that answers, or is being started there, so that its other
// fillers needn't be placed where serving tasks would keep them off. One starved filler alone isn't enough. A run that is only
// believed in, for instance until the lease of a lost worker has expired, mustn't hold up the other tasks.
func (c *Core) active(now time.Time, j *jobState) bool {
	if j.held == 0 {
		return false
	}
	var only *task
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if !c.runs(t) && !c.starting(now, t) {
					continue
				}
				if only != nil || !t.pinned || now.Sub(t.assignedAt) < overlapDelay {
					return true
				}
				only = t
			}
		}
	}
	return false
}

// starting reports whether a run was assigned to a worker that answers so recently that it may not be listed yet.
func (c *Core) starting(now time.Time, t *task) bool {
	return t.state == stateAssigned && c.workers[t.worker].answers() && now.Sub(t.assignedAt) < starvationDelay
}

// starvedFillerExceptions are the filters that a worker needn't pass for a starved filler.
var starvedFillerExceptions = []string{"tails", "filler"}

// leastDisturbed returns the worker that keeps the most headroom beside a filler, among those that the filler
// fits on.
func (c *Core) leastDisturbed(now time.Time, t *task) *worker {
	var best *worker
	var bestHeadroom float64
	for _, w := range c.sortedWorkers {
		if c.refusalExcept(now, t.step, w, starvedFillerExceptions...) != "" {
			continue
		}
		if headroom := c.headroomBeside(now, t, w); best == nil || headroom > bestHeadroom {
			best, bestHeadroom = w, headroom
		}
	}
	return best
}

// headroomBeside returns the least headroom that a serving task on a worker keeps beside a filler.
func (c *Core) headroomBeside(now time.Time, t *task, w *worker) float64 {
	least := math.Inf(1)
	for _, g := range c.servingGroups(now, w) {
		least = min(least, g.headroom-c.interference(g.image, t.step.spec))
	}
	return least
}
