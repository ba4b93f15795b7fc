package sched

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/crocusspring/crocusspring/internal/event"
)

// maxIsolatedShare is the part of a pool's workers that may be kept for isolated starts; one always may.
const maxIsolatedShare = 0.25

// isolationChecks are the filters that a worker kept for an isolated start needn't pass any more: they rank workers, and
// the choice has been made.
var isolationChecks = []string{"isolation", "urgent", "filler", "tails", "reserved"}

// startIsolated starts the tasks that must start in isolation. A worker is kept for each until its runs have settled, and
// takes nothing else until the task has settled too.
func (c *Core) startIsolated(now time.Time) {
	for _, w := range c.sortedWorkers {
		if w.isolated != nil && c.isolationOver(now, w) {
			w.isolated = nil
		}
	}
	for _, t := range c.tasksWithCrashes() {
		switch {
		case t.over():
			delete(c.crashed.tasks, t)
		case t.state == stateWaiting && t.startsAlone() && !t.step.spec.Gang && t.step.ready():
			c.startAlone(now, t)
		}
	}
}

// isolationOver reports whether a worker needn't be kept any longer for the task that it is kept for.
func (c *Core) isolationOver(now time.Time, w *worker) bool {
	t := w.isolated
	switch {
	case t.over() || !t.startsAlone():
		return true
	case t.held():
		return t.worker != w.id || !t.fresh(w)
	}
	return c.refusalExcept(now, t.step, w, isolationChecks...) != ""
}

// startAlone starts a task on the worker that is kept for it, once that is quiet, or looks for one to keep.
func (c *Core) startAlone(now time.Time, t *task) {
	i := slices.IndexFunc(c.sortedWorkers, func(w *worker) bool { return w.isolated == t })
	if i < 0 {
		w := c.workerToIsolate(now, t)
		if w == nil {
			c.retryIsolation(now, t)
			return
		}
		w.isolated = t
		c.logDecision(event.Isolate, t.id.String(), fmt.Sprintf("worker=%s held=%d crashes=%+v", w.id, len(w.held), t.crashes))
		if !w.quiet() {
			return
		}
		c.assignAlone(now, t, w)
		return
	}
	if w := c.sortedWorkers[i]; w.quiet() {
		c.assignAlone(now, t, w)
	}
}

// assignAlone gives a task its next run on the worker that is kept for it.
func (c *Core) assignAlone(now time.Time, t *task, w *worker) {
	starved := t.step.spec.Filler && c.refusalExcept(now, t.step, w, "isolation") != ""
	c.assign(now, t, w, 0)
	t.pinned = starved
}

// retryIsolation handles that no worker can be kept for a task now: urgent tasks preempt others, as at any start.
func (c *Core) retryIsolation(now time.Time, t *task) {
	s := t.step
	if s.unplacedSince.IsZero() {
		s.unplacedSince = now
	}
	if !s.spec.Filler && c.isDue(now, s, false) && len(c.feasible(now, s)) == 0 {
		c.handleRefusal(now, t, nil)
	}
}

// quiet reports whether all runs on a worker have settled.
func (w *worker) quiet() bool {
	for _, t := range w.tasks {
		if t.fresh(w) {
			return false
		}
	}
	for _, cp := range w.copies {
		if cp.fresh {
			return false
		}
	}
	return true
}

// workerToIsolate returns the worker to keep for the start of a task, or nil: a stable one on which a crash would cost
// the fewest runs.
func (c *Core) workerToIsolate(now time.Time, t *task) *worker {
	p := c.pool(t.step)
	kept := 0
	for _, w := range p.workers {
		if w.isolated != nil {
			kept++
		}
	}
	if kept >= max(1, int(maxIsolatedShare*float64(len(p.workers)))) {
		return nil
	}
	candidates := slices.DeleteFunc(c.feasible(now, t.step), func(w *worker) bool { return w.hasCopy(t) })
	if len(candidates) == 0 {
		if t.step.spec.Filler && t.step.starved(now) {
			return c.leastDisturbed(now, t)
		}
		return nil
	}
	return slices.MinFunc(candidates, func(a, b *worker) int {
		return cmp.Or(
			cmp.Compare(toInt(c.unstable(now, a)), toInt(c.unstable(now, b))),
			cmp.Compare(len(a.tasks)+len(a.copies), len(b.tasks)+len(b.copies)),
			-cmp.Compare(c.score(t.step.spec, t.step, a), c.score(t.step.spec, t.step, b)),
			strings.Compare(a.id, b.id),
		)
	})
}

// unstable reports whether the worker beside a node has crashed repeatedly for reasons that aren't known.
func (c *Core) unstable(now time.Time, w *worker) bool {
	return len(c.recentCrashes(now, w.node)) >= unstableCrashes
}
