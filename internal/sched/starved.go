package sched

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// starvationDelay is how long no worker takes a task of a step before the step may use what is kept for others or looks
// doubtful: see filter.passes.
const starvationDelay = 1500 * time.Millisecond

// lastAttemptDelay is how long nothing of a job runs until a task of it may take its last attempt on a doubtful worker: after tasks
// that have more of them, which may from starvationDelay on, and well before standstillDelay is over.
const lastAttemptDelay = starvationDelay + 250*time.Millisecond

// placeStarved places a waiting task of a step that no worker takes, once the step is starved: on a worker that refuses it only
// by filters that its starved tasks may pass. Of steps that last all waiting tasks are placed. It reports whether it has
// placed any.
func (c *Core) placeStarved(now time.Time, s *step) bool {
	if c.fallbackRefusal(now, s) != "" {
		return false
	}
	placed := false
	for _, t := range fewestFailuresFirst(s.tasks) {
		if t.state != stateWaiting || t.startsAlone() || c.heldBack(now, t) {
			continue
		}
		w, risky := c.bestForStarved(now, t)
		if w == nil && (risky || t.late != nil) {
			// Another task of the step may take the risk, or has more workers to choose from.
			continue
		}
		if w == nil {
			break
		}
		c.assignStarved(now, t, w)
		placed = true
		if !s.spec.LongRunning {
			break
		}
	}
	return placed
}

// fewestFailuresFirst returns tasks in the order in which they may take a risk.
func fewestFailuresFirst(tasks []*task) []*task {
	byFailures := func(a, b *task) int { return cmp.Compare(len(a.failedRuns), len(b.failedRuns)) }
	if slices.IsSortedFunc(tasks, byFailures) {
		return tasks
	}
	return slices.SortedStableFunc(slices.Values(tasks), byFailures)
}

// assignStarved gives a starved task its next run on a worker that doesn't take it of its own accord: its step stays starved.
func (c *Core) assignStarved(now time.Time, t *task, w *worker) {
	s := t.step
	since := s.unplacedSince
	c.noteRisk(now, t, w)
	c.assign(now, t, w, 0)
	t.pinned, s.unplacedSince = true, since
	if s.spec.LongRunning && s.waiting == 0 {
		s.unplacedSince = time.Time{}
	}
}

// bestForStarved returns the worker for a starved task among those that refuse it only by filters that it may pass, or nil: one
// that isn't doubtful, if there is any, where the task hasn't failed. A filler takes the one that keeps the most headroom
// beside it. Without one it reports whether some are left out only since the task must not risk a start there.
func (c *Core) bestForStarved(now time.Time, t *task) (best *worker, risky bool) {
	var candidates []*worker
	for _, w := range c.sortedWorkers {
		switch {
		case w.bars(t) || c.starvedRefusal(now, t.step, w) != "":
		case c.mayRisk(now, t, w):
			candidates = append(candidates, w)
		default:
			risky = true
		}
	}
	if len(candidates) == 0 {
		return nil, risky
	}
	return slices.MinFunc(candidates, func(a, b *worker) int {
		return cmp.Or(
			cmp.Compare(toInt(c.doubts(now, a)), toInt(c.doubts(now, b))),
			cmp.Compare(toInt(slices.Contains(t.failedOn, a.id)), toInt(slices.Contains(t.failedOn, b.id))),
			c.doubtedUntil(now, a).Compare(c.doubtedUntil(now, b)),
			-cmp.Compare(c.starvedScore(now, t, a), c.starvedScore(now, t, b)),
			strings.Compare(a.id, b.id),
		)
	}), false
}

// starvedScore ranks workers for a starved task; higher is better.
func (c *Core) starvedScore(now time.Time, t *task, w *worker) float64 {
	if t.step.spec.Filler {
		return c.headroomBeside(now, t, w)
	}
	return c.score(t.step.spec, t.step, w)
}

// doubts reports whether a worker takes no tasks since runs have failed or stalled there.
func (c *Core) doubts(now time.Time, w *worker) bool { return c.health.refusal(now, w.id) != "" }

// doubtedUntil returns until when a worker is doubtful; zero if it isn't.
func (c *Core) doubtedUntil(now time.Time, w *worker) time.Time {
	if !c.doubts(now, w) {
		return time.Time{}
	}
	return c.health.doubtfulUntil(now, w.id)
}

// mayRisk reports whether a starved task may start on a worker that may be doubtful. One on trial has its task, and takes others
// beside it once it has passed a trial. A task that lasts loses nothing if it fails, and tries again after starvationDelay. Others may
// lose an attempt, so that one at a time tries such a worker, and those with more attempts come before one that has its last.
func (c *Core) mayRisk(now time.Time, t *task, w *worker) bool {
	proving := c.health.proving(now, w.id)
	switch {
	case !c.doubts(now, w):
		return true
	case c.health.hasTrial(now, w.id) && !proving:
		return false
	case t.step.spec.LongRunning:
		return now.Sub(t.doubtfulAt) >= starvationDelay
	case !t.onLastAttempt():
		return proving || now.Sub(w.riskedAt) >= starvationDelay
	}
	return (proving || now.Sub(w.riskedAt) >= lastAttemptDelay) && c.lastAttemptDue(now, t)
}

// onLastAttempt reports whether one more failure of a task would fail its job.
func (t *task) onLastAttempt() bool {
	return !t.step.spec.LongRunning && len(t.failedRuns)+1 >= t.step.occ.job.spec.Policy.MaxAttempts
}

// lastAttemptDue reports whether a task can't keep its last attempt for a sound worker any longer: nothing of its job has run for
// lastAttemptDelay, and no sound worker will soon have room for it as runs end, in a service that is full.
func (c *Core) lastAttemptDue(now time.Time, t *task) bool {
	s := t.step
	j := s.occ.job
	if j.idle.since.IsZero() || now.Sub(laterOf(laterOf(j.idle.since, j.placedAt), s.unplacedSince)) < lastAttemptDelay {
		return false
	}
	return c.latestRoom(s).owed(s) || !slices.ContainsFunc(c.pool(s).workers, func(w *worker) bool {
		in, ok := w.room(now).FreeIn(s.spec.Reserve())
		return ok && in <= reserveHorizon && c.refusalExcept(now, s, w, "capacity") == ""
	})
}

// noteRisk records that a task is about to start on a worker that may be doubtful.
func (c *Core) noteRisk(now time.Time, t *task, w *worker) {
	if !c.doubts(now, w) {
		return
	}
	if t.step.spec.LongRunning {
		t.doubtfulAt = now
	} else {
		w.riskedAt = now
	}
	if p := c.round.pools[t.step.occ.job.spec.Policy.Service]; p != nil {
		// The room is not among that of the workers that take tasks, from which the assignment deducts it.
		p.free += t.step.spec.Reserve().MilliCPU
		p.idle -= t.step.spec.Reserve().MilliCPU
	}
}

// fallbackRefusal returns why the waiting tasks of a step don't pass the filters that its starved tasks may pass, or an empty
// string.
func (c *Core) fallbackRefusal(now time.Time, s *step) string {
	if !s.starved(now) {
		return "not starved yet"
	}
	return c.yields(now, s)
}

// yields returns why the tasks of a step must not take what is kept for others however long they wait, or an empty string. A
// task that lasts counts by itself.
func (c *Core) yields(now time.Time, s *step) string {
	switch {
	case s.spec.LongRunning:
		return ""
	case c.active(now, s.occ.job):
		return "something of its job runs"
	case s.spec.Filler && s.occ.job.lateness > 0 && c.pool(s).busy():
		return "late, and the service is busy"
	}
	return ""
}

// overlapDelay is how long after the start of a job's only starved task the next one may start beside it. With one at a time
// nothing of the job would run from the end of one until the start of the next.
const overlapDelay = 500 * time.Millisecond

// active reports whether something of a job runs on a worker that answers, or is being started there, so that its other
// tasks needn't take what is kept for others. One starved task alone isn't enough. A run that is only
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

// headroomBeside returns the least headroom that a serving task on a worker keeps beside a filler.
func (c *Core) headroomBeside(now time.Time, t *task, w *worker) float64 {
	least := math.Inf(1)
	for _, g := range c.servingGroups(now, w) {
		least = min(least, g.headroom-c.interference(g.image, t.step.spec))
	}
	return least
}
