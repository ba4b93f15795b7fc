package sched

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/crocusspring/crocusspring/internal/event"
)

const (
	// maxIsolatedShare is the part of a pool's workers that may be kept for isolated starts, maxStarvedShare the one for those
	// of starved suspects; one always may. See outageShare.
	maxIsolatedShare = 0.25
	maxStarvedShare  = 0.4
	// isolationTimeout is how long a worker may be kept for a start that isn't made: its runs settle in less.
	isolationTimeout = 3 * time.Second
	// isolationGap is how long a worker that was kept isn't kept again while other tasks are starved.
	isolationGap = 100 * time.Millisecond
	// gangTurn is how long no further worker is kept once a gang is starved, which may need all of them at the same time;
	// gangPeriod is the time from one such turn to the next.
	gangTurn   = 1500 * time.Millisecond
	gangPeriod = 5 * time.Second
)

// isolationChecks are the filters that a worker kept for an isolated start needn't pass any more: they rank workers, and
// the choice has been made.
var isolationChecks = []string{"isolation", "urgent", "filler", "tails", "reserved"}

// maxSharedStarts is how many tasks may start on a worker that is kept for one of them, if each of them was starting at no
// more than one crash, beside others. A crash makes suspects of all that were starting; most are harmless, and one at a time
// they would wait for long. If the worker crashes too, those that were starting there are told apart by isolated starts.
const maxSharedStarts = 8

// startIsolated starts the tasks that must start in isolation; fillers says whether the round places fillers. A worker is
// kept for each until its runs have settled, and takes nothing else until the task has settled too.
func (c *Core) startIsolated(now time.Time, fillers bool) {
	kept := map[*task]*worker{}
	for _, w := range c.sortedWorkers {
		if w.isolated != nil && c.isolationOver(now, w) {
			w.isolated, w.releasedAt = nil, now
		}
		if w.isolated != nil {
			kept[w.isolated] = w
		}
	}
	waiting := c.suspects(now)
	for i, t := range waiting {
		if t.held() {
			continue
		}
		w := kept[t]
		if w == nil && c.isDue(now, t.step, t.step.isolation, fillers) && c.mayKeepAnother(now, t) {
			w = c.keepWorker(now, t)
		}
		if w != nil && w.quiet() {
			c.assignAlone(now, t, w)
			c.startBeside(now, w, t, waiting[i+1:])
		}
	}
	c.requestForSuspects(now, waiting)
}

// suspects returns the tasks that wait for an isolated start, in the order in which they get workers.
func (c *Core) suspects(now time.Time) []*task {
	var waiting []*task
	for t := range c.crashed.tasks {
		switch {
		case t.over():
			delete(c.crashed.tasks, t)
		case t.state == stateWaiting && t.startsAlone() && !t.step.spec.Gang && t.step.ready() && !c.heldBack(now, t):
			if t.queuedAt.IsZero() {
				t.queuedAt = now
			}
			waiting = append(waiting, t)
		}
	}
	slices.SortFunc(waiting, compareSuspects)
	return c.starvedFirst(now, waiting)
}

// starvedFirst moves starved suspects to the front, those that have waited longest first: each one that lasts, and one of each
// job of which nothing runs, which may share a start if any of its starved suspects may.
func (c *Core) starvedFirst(now time.Time, suspects []*task) []*task {
	next := map[*jobState]*task{}
	for _, t := range suspects {
		j := t.step.occ.job
		if t.step.spec.LongRunning || t.queuedFor(now) < starvationDelay || c.active(now, j) {
			continue
		}
		if n := next[j]; n == nil || !n.mayShareStart() && t.mayShareStart() {
			next[j] = t
		}
	}
	var first, others []*task
	for _, t := range suspects {
		if t.step.spec.LongRunning && t.queuedFor(now) >= starvationDelay || next[t.step.occ.job] == t {
			first = append(first, t)
		} else {
			others = append(others, t)
		}
	}
	slices.SortStableFunc(first, func(a, b *task) int { return a.turn().Compare(b.turn()) })
	return append(first, others...)
}

// turn returns since when a suspect's turn for an isolated start is due: since it waits, or since its job had the last one. A task
// that lasts has its own.
func (t *task) turn() time.Time {
	if j := t.step.occ.job; !t.step.spec.LongRunning && j.isolatedAt.After(t.queuedAt) {
		return j.isolatedAt
	}
	return t.queuedFrom()
}

// queuedFrom returns since when a task waits for an isolated start; zero while it doesn't. One that lasts waits since it ran last,
// although it may have had a run since that nobody has listed.
func (t *task) queuedFrom() time.Time {
	if idle := t.idle.since; t.step.spec.LongRunning && !t.queuedAt.IsZero() && !idle.IsZero() && idle.Before(t.queuedAt) {
		return idle
	}
	return t.queuedAt
}

// queuedFor returns for how long a task has waited for an isolated start.
func (t *task) queuedFor(now time.Time) time.Duration {
	if t.queuedAt.IsZero() {
		return 0
	}
	return now.Sub(t.queuedFrom())
}

// startBeside starts others of the waiting suspects together with one that has just got a worker, as far as they may share
// it.
func (c *Core) startBeside(now time.Time, w *worker, first *task, waiting []*task) {
	if !first.mayShareStart() {
		return
	}
	left := maxSharedStarts - 1
	for _, t := range waiting {
		if left == 0 {
			return
		}
		if t.mayShareStart() && !t.held() && !w.bars(t) && c.refusalExcept(now, t.step, w, "isolation") == "" {
			c.assignAlone(now, t, w)
			left--
		}
	}
}

// mayShareStart reports whether a suspect may start beside other suspects: it was starting at one crash at most, and not by
// itself, and one more crash wouldn't fail its job.
func (t *task) mayShareStart() bool {
	starts, sole := 0, false
	for i := range t.crashes {
		if cr := &t.crashes[i]; cr.starting() {
			starts++
			sole = sole || cr.Sole
		}
	}
	return starts <= 1 && !sole && len(t.crashes) < maxCrashes-1
}

// isolationOver reports whether a worker needn't be kept any longer for the task that it is kept for.
func (c *Core) isolationOver(now time.Time, w *worker) bool {
	t := w.isolated
	switch {
	case t.over() || !t.startsAlone():
		return true
	case t.held():
		return t.worker != w.id || !t.fresh()
	}
	without := isolationChecks
	if c.starvedSuspect(now, t) && c.mayRisk(now, t, w) {
		without = append(slices.Clone(without), healthName)
	}
	return c.refusalExcept(now, t.step, w, without...) != "" || now.Sub(w.isolatedAt) > isolationTimeout
}

// starvedSuspect reports whether a suspect has waited for so long that it may start where others wouldn't.
func (c *Core) starvedSuspect(now time.Time, t *task) bool {
	return t.step.starved(now) || t.queuedFor(now) >= starvationDelay
}

// assignAlone gives a task its next run on the worker that is kept for it.
func (c *Core) assignAlone(now time.Time, t *task, w *worker) {
	starved := c.refusalExcept(now, t.step, w, "isolation") != ""
	c.noteRisk(now, t, w)
	c.assign(now, t, w, 0)
	t.pinned, t.step.occ.job.isolatedAt = starved, now
	if t.step.waiting == 0 {
		t.step.unplacedSince = time.Time{}
	}
}

// mayKeepAnother reports whether one more worker of a task's pool may be kept for isolated starts.
func (c *Core) mayKeepAnother(now time.Time, t *task) bool {
	share := maxIsolatedShare
	if t.queuedFor(now) >= starvationDelay && (t.step.spec.LongRunning || !c.active(now, t.step.occ.job)) {
		share = maxStarvedShare
	}
	kept := 0
	for _, w := range c.sortedWorkers {
		if w.isolated != nil && w.info.Service == t.step.occ.job.spec.Policy.Service && w.silentFor(now) < outageWindow+silenceLag {
			kept++
		}
	}
	return kept < max(1, int(share*float64(len(c.pool(t.step).workers))))
}

// othersStarve reports whether a task that needs no isolated start is starved while nothing of its job runs.
func (c *Core) othersStarve(now time.Time) bool {
	return c.starves(now, func(s *step) bool {
		return s.spec.Gang || slices.ContainsFunc(s.tasks, func(t *task) bool { return t.state == stateWaiting && !t.startsAlone() })
	})
}

// gangsTurn reports whether a gang is starved whose turn it is.
func (c *Core) gangsTurn(now time.Time) bool {
	return c.starves(now, func(s *step) bool {
		return s.spec.Gang && (now.Sub(s.unplacedSince)-starvationDelay)%gangPeriod < gangTurn
	})
}

// starves reports whether a step of some kind is starved while nothing of its job runs.
func (c *Core) starves(now time.Time, kind func(s *step) bool) bool {
	for _, j := range c.openJobs {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.waiting > 0 && s.starved(now) && s.ready() && kind(s) && c.fallbackRefusal(now, s) == "" {
					return true
				}
			}
		}
	}
	return false
}

// keepWorker keeps a worker for the isolated start of a task. Without one it returns nil, and urgent tasks preempt others as
// at any start.
func (c *Core) keepWorker(now time.Time, t *task) *worker {
	w := c.workerToIsolate(now, t)
	if w != nil && (w.inGap(now) && c.othersStarve(now) || c.gangsTurn(now)) {
		return nil
	}
	if w != nil {
		w.isolated, w.isolatedAt = t, now
		c.logDecision(event.Isolate, t.id.String(), fmt.Sprintf("worker=%s held=%d queued=%s crashes=%+v", w.id, len(w.held), t.queuedFor(now).Round(time.Millisecond), t.crashes))
		return w
	}
	t.step.isolation = c.retryLater(now)
	c.noteRefusal(now, t.step)
	if !t.step.spec.Filler {
		c.preempt(now, t)
	}
	return nil
}

// quiet reports whether all runs on a worker have settled.
func (w *worker) quiet() bool {
	for _, t := range w.tasks {
		if t.fresh() {
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

// inGap reports whether a worker was kept until just now.
func (w *worker) inGap(now time.Time) bool { return now.Sub(w.releasedAt) < isolationGap }

// workerToIsolate returns the worker to keep for the start of a task, or nil: a stable one on which a crash would cost
// the fewest runs. A suspect that is starved prefers one on which it can start at once: where runs are starting, they must settle
// first, and one that is in its gap may be needed by others.
func (c *Core) workerToIsolate(now time.Time, t *task) *worker {
	candidates := slices.DeleteFunc(c.feasible(now, t.step), func(w *worker) bool { return w.bars(t) })
	if len(candidates) == 0 {
		if c.starvedSuspect(now, t) {
			w, _ := c.bestForStarved(now, t)
			return w
		}
		return nil
	}
	starved := t.queuedFor(now) >= starvationDelay
	return slices.MinFunc(candidates, func(a, b *worker) int {
		return cmp.Or(
			cmp.Compare(toInt(c.unstable(now, a)), toInt(c.unstable(now, b))),
			cmp.Compare(toInt(starved && a.inGap(now)), toInt(starved && b.inGap(now))),
			cmp.Compare(toInt(starved && !a.quiet()), toInt(starved && !b.quiet())),
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
