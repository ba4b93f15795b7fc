package sched

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/job"
)

const (
	// maxDrainMoves bounds the long-running tasks that are between two workers because of drains. Each is away for
	// about a second, and one that arrives changes the headroom beside it; a few at a time let the fillers there
	// be moved first.
	maxDrainMoves = 2
	// drainPatience is how long a finite task on a drained worker may still take before it is moved, if it saves
	// checkpoints. A move costs a stop, a start and what was not saved, about two seconds.
	drainPatience = 4 * time.Second
)

// SetDrains sets which data centres operators have taken out of use: no task starts there. Without known the set may
// be out of date, and no task starts anywhere. The map must not be modified afterwards.
func (c *Core) SetDrains(drained map[string]bool, known bool) {
	if known != c.drainsKnown {
		c.logDecision(event.Drain, "cell", fmt.Sprintf("view current=%t", known))
		c.capacityEvents++
	}
	if !maps.Equal(drained, c.drained) {
		c.logDecision(event.Drain, "cell", fmt.Sprintf("drained=%v was=%v workers=%d", slices.Sorted(maps.Keys(drained)),
			slices.Sorted(maps.Keys(c.drained)), c.workersIn(drained)))
		c.capacityEvents++
		c.lastSweep = time.Time{}
	}
	c.drained, c.drainsKnown = drained, known
}

// workersIn returns how many workers are in some data centres.
func (c *Core) workersIn(dataCentres map[string]bool) int {
	n := 0
	for _, w := range c.sortedWorkers {
		if dataCentres[w.info.DataCentre] {
			n++
		}
	}
	return n
}

// drainRefusal returns why drains keep a worker from taking tasks, or an empty string.
func (c *Core) drainRefusal(w *worker) string {
	if !c.drainsKnown {
		return "not known which data centres are drained"
	}
	return when(c.drained[w.info.DataCentre], "data centre is drained")
}

// moveOffDrained moves tasks off the workers of drained data centres as far as other workers take them: long-running
// tasks a few at a time and never more of a step than may be away, finite ones only if they would stay for long.
func (c *Core) moveOffDrained(now time.Time) {
	if len(c.drained) == 0 || !c.drainsKnown {
		return
	}
	moving := c.longRunningBetweenWorkers()
	for _, w := range c.sortedWorkers {
		if !w.attached || w.info.Draining || !c.drained[w.info.DataCentre] {
			continue
		}
		for _, t := range w.tasks {
			if t.state != stateRunning || !c.shouldLeave(now, t, moving) {
				continue
			}
			if !c.hasRoom(now, t.step) {
				c.requestApproval(now, t.step)
				continue
			}
			if t.step.spec.LongRunning {
				moving++
			}
			c.stopRun(now, t, "data centre "+w.info.DataCentre+" is drained")
		}
	}
}

// shouldLeave reports whether a task on a drained worker should be moved now; moving is the number of long-running
// tasks that are between two workers.
func (c *Core) shouldLeave(now time.Time, t *task, moving int) bool {
	s := t.step
	if !s.spec.LongRunning {
		return !s.spec.Gang && s.spec.Checkpoints && t.checkpoint != "" && t.remaining(now) > drainPatience
	}
	return moving < maxDrainMoves && s.mayMissAnother()
}

// longRunningBetweenWorkers counts the long-running tasks that have left a worker and aren't at work yet.
func (c *Core) longRunningBetweenWorkers() int {
	n := 0
	for _, j := range c.openJobs {
		if !j.spec.HasLongRunning() {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.spec.LongRunning {
					n += s.away()
				}
			}
		}
	}
	return n
}

// away counts the tasks of a long-running step that are not at work.
func (s *step) away() int {
	n := 0
	for _, t := range s.tasks {
		if !t.atWork() {
			n++
		}
	}
	return n
}

// atWork reports whether a long-running task was at work in the latest report on it.
func (t *task) atWork() bool { return t.state == stateRunning && t.percent >= 100 }

// mayMissAnother reports whether one more task of a long-running step may be stopped: fewer are away than the step
// allows, or none where it sets no limit.
func (s *step) mayMissAnother() bool {
	allowed := s.spec.MayMiss
	if allowed == job.NoMissLimit {
		allowed = 1
	}
	return s.away() < allowed
}

// hasRoom reports whether some worker takes a task of a step now.
func (c *Core) hasRoom(now time.Time, s *step) bool {
	return slices.ContainsFunc(c.pool(s).workers, func(w *worker) bool {
		return passes(filters[poolFilters:], c, now, s, w)
	})
}
