package sched

import (
	"fmt"
	"time"

	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/link"
)

// A start that got no answer may be carried out long after it was sent. The incarnation whose guard has settled the run refuses it, but
// a later one of the same ID carries it out if the machine restarts and its guard hasn't called the worker yet. Nothing can keep it
// from that, so the task runs nowhere else meanwhile: beside a run of its own the late one is refused, and a machine that is lost
// takes both with it.

const (
	// maxStartDelay is the longest time after which an unanswered start is still carried out.
	maxStartDelay = 12 * time.Second
	// lateStartTime is how long a task waits, at most, for a machine that is away or a worker that refuses it, while a start of
	// it may still be carried out there: measured from the last word of the guard, or since the task waits. The wait ends before
	// the task counts as standing still.
	lateStartTime = 6 * time.Second
)

// doubtfulStart is an unanswered start of an earlier run of a task that may still be carried out. Until it is over, the task runs on its
// worker only.
type doubtfulStart struct {
	// worker is the ID of the worker without its birth, node names the guard beside it; empty if it isn't known.
	worker, node string
	// until is when it can't be carried out any more.
	until time.Time
	// waitsUntil is how long the task waits for the worker while it has no run.
	waitsUntil time.Time
}

// noteLateStart records that the start of the newest run of a task, which is absent, may still be carried out. Runs of speculative
// tasks may overlap.
func (c *Core) noteLateStart(now time.Time, t *task, w *worker) {
	if t.step.spec.Speculative {
		return
	}
	c.setLateStart(t, &doubtfulStart{worker: unborn(w.id), node: w.node, until: now.Add(maxStartDelay)})
	c.logDecision(event.LateStart, t.id.String(), fmt.Sprintf("run=%d worker=%s for=%s", t.run, w.id, maxStartDelay))
}

// setLateStart sets the late start of a task.
func (c *Core) setLateStart(t *task, l *doubtfulStart) {
	t.late = l
	c.lateStarts[t] = struct{}{}
}

// clearLateStart lets a task run on any worker.
func (c *Core) clearLateStart(t *task) {
	t.late = nil
	delete(c.lateStarts, t)
}

// sweepLateStarts clears the late starts that are over.
func (c *Core) sweepLateStarts(now time.Time) {
	for t := range c.lateStarts {
		switch {
		case t.over():
			c.clearLateStart(t)
		case !now.Before(t.late.until), t.state == stateWaiting && !now.Before(t.late.waitsUntil):
			c.clearLateStart(t)
			c.markDirty(t.step.occ.job)
			// The step may have been refused for this task's sake.
			t.step.placement = retry{}
		}
	}
}

// endLateStarts clears the late starts at a node whose worker has started under another ID: calls to the one before are refused there.
func (c *Core) endLateStarts(node, id string) {
	for t := range c.lateStarts {
		if node != "" && t.late.node == node && t.late.worker != unborn(id) {
			c.clearLateStart(t)
			c.markDirty(t.step.occ.job)
		}
	}
}

// mayStillStart reports whether the start of the newest run of a task, or a late one, may still be carried out by a worker of which
// nothing has been heard since a time. A guard that is there calls the next incarnation as soon as that starts.
func (t *task) mayStillStart(now time.Time, w *worker, heardAt time.Time) bool {
	unconfirmed := t.appearedAt.IsZero() && !w.attached && !w.heardAt.IsZero()
	return now.Before(heardAt.Add(lateStartTime)) && (t.late != nil || unconfirmed)
}

// bars reports whether a worker may not take a task: an earlier run of it may be there, or elsewhere.
func (w *worker) bars(t *task) bool {
	return w.hasCopy(t) || t.late != nil && t.late.worker != unborn(w.id)
}

// placeAtLateStart gives a task with a late start its next run on the worker of that start, and reports whether it could. The refusals
// that keep others off a worker for a moment after an absent run don't count.
func (c *Core) placeAtLateStart(now time.Time, t *task) bool {
	for _, w := range c.sortedWorkers {
		if unborn(w.id) != t.late.worker || c.refusalExcept(now, t.step, w, healthName) != "" || c.health.distrust(now, w.id) {
			continue
		}
		c.noteRisk(now, t, w)
		c.assign(now, t, w, 0)
		return true
	}
	return false
}

// placeLate places the tasks with late starts among some of a step, and returns the others.
func (c *Core) placeLate(now time.Time, s *step, waiting []*task) []*task {
	if len(c.lateStarts) == 0 {
		return waiting
	}
	var others []*task
	refused := false
	for _, t := range waiting {
		if t.late == nil {
			others = append(others, t)
		} else if !c.placeAtLateStart(now, t) {
			refused = true
		}
	}
	if refused {
		c.noteRefusal(now, s)
		if len(others) == 0 {
			s.placement = c.retryLater(now)
			c.placeStarved(now, s)
		}
	}
	return others
}

// lateStartReason returns why tasks of a step wait for the worker of a late start, or an empty string.
func (s *step) lateStartReason(now time.Time) string {
	n, worker, left := 0, "", time.Duration(0)
	for _, t := range s.tasks {
		if t.state == stateWaiting && t.late != nil {
			n++
			worker, left = t.late.worker, max(left, min(t.late.until.Sub(now), t.late.waitsUntil.Sub(now)))
		}
	}
	if n == 0 {
		return ""
	}
	return fmt.Sprintf("late start: %s tasks wait for the worker that may still carry out an unanswered start, the last for %s for %s more", itoa(n), worker, left.Round(time.Millisecond))
}

// unansweredStart reports whether an end says that the start of a run may still be carried out.
func unansweredStart(t *task, e link.RunEnd) bool {
	return e.Outcome == link.Absent && e.Unanswered && t.sent
}
