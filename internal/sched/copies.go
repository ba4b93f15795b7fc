package sched

import (
	"fmt"
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/link"
)

const (
	// copyAfter is how long nothing is heard of a run before its task may get a copy: longer than an order,
	// its settling, and two listings take.
	copyAfter = 600 * time.Millisecond
	// straggles is how many times the usual duration a run may take before its task gets a copy.
	straggles = 2
	// maxCopies bounds the runs of a task beside its newest one.
	maxCopies = 1
)

// copyRef is an earlier run with its worker, as it is stored.
type copyRef struct {
	Run    int    `json:"r"`
	Worker string `json:"w"`
}

// copied is a run of a speculative task that may go on while the task has a newer one, on the worker that
// may have it. The first to succeed counts.
type copied struct {
	task *task
	// stopped is when its end was ordered last; zero when it may go on.
	stopped time.Time
}

// race gives speculative tasks another run where the newest one can't be told from a lost one, or is slow.
func (c *Core) race(now time.Time) {
	for _, w := range c.order {
		for _, t := range w.tasks {
			if why := c.straggling(now, w, t); why != "" {
				c.copyRun(now, w, t, why)
			}
		}
	}
}

// straggling returns why the newest run of a task should get a copy, or an empty string.
func (c *Core) straggling(now time.Time, w *worker, t *task) string {
	s := t.step.spec
	if !s.Speculative || s.Gang || s.LongRunning || s.Filler || len(t.copies) >= maxCopies || t.step.occ.job.state.Over() {
		return ""
	}
	switch {
	case !w.attached:
		return when(now.Sub(w.detached) > copyAfter, "guard not connected")
	case w.mute:
		return when(now.Sub(w.muteAt) > copyAfter, "worker not answering")
	case t.state == stateAssigned:
		return when(t.told && now.Sub(t.assigned) > copyAfter, "start not settled")
	case t.state == stateRunning:
		usual := c.usual(t.step)
		return when(now.Sub(t.appeared) > straggles*usual && t.remaining(now) > usual, "slow")
	}
	return ""
}

// copyRun lets the newest run of a task go on beside the next one. It keeps its room until its end is known.
func (c *Core) copyRun(now time.Time, w *worker, t *task, why string) {
	c.note(event.Copy, t.id.String(), fmt.Sprintf("run=%d worker=%s reason=%q held=%s", t.run, w.id, why, now.Sub(t.assigned).Round(time.Millisecond)))
	c.keepRun(w, t)
	c.touch(t.step.occ.job)
}

// keepRun makes the newest run of a task a copy.
func (c *Core) keepRun(w *worker, t *task) {
	c.addCopy(w, t, t.run)
	t.move(eventEnd)
	c.drop(t)
}

// addCopy notes an earlier run that a worker may have.
func (c *Core) addCopy(w *worker, t *task, run int) {
	w.copies[link.RunRef{Task: t.id, Run: run}] = &copied{task: t}
	t.copies = append(t.copies, copyRef{Run: run, Worker: w.id})
	t.step.occ.job.held++
}

// dropCopy forgets an earlier run that has surely ended.
func (c *Core) dropCopy(w *worker, ref link.RunRef) {
	t := w.copies[ref].task
	delete(w.copies, ref)
	t.copies = slices.DeleteFunc(t.copies, func(r copyRef) bool { return r.Run == ref.Run })
	t.step.occ.job.held--
	c.ends++
	c.touch(t.step.occ.job)
}

// copyEnded takes the end of a copy.
func (c *Core) copyEnded(now time.Time, w *worker, e link.RunEnd) {
	t := w.copies[e.RunRef].task
	c.dropCopy(w, e.RunRef)
	c.health.ended(now, w.id, t, e.Outcome, true)
	c.endedBefore(now, e)
}

// copySucceeds takes the success of an earlier run of a speculative task, for the task.
func (c *Core) copySucceeds(now time.Time, t *task, run int) {
	s := t.step.spec
	if !s.Speculative || s.Gang || s.LongRunning || t.state == stateDone || t.step.occ.job.state.Over() {
		return
	}
	c.note(event.End, t.id.String(), fmt.Sprintf("run=%d outcome=done before run=%d on worker=%s", run, t.run, t.worker))
	if t.held() {
		c.keepRun(c.workers[t.worker], t)
	}
	t.step.waiting--
	t.state = stateDone
	c.touch(t.step.occ.job)
	c.done(now, t)
	c.stopCopies(now)
}

// stopCopies orders the end of copies that nobody needs any more, again while it isn't known.
func (c *Core) stopCopies(now time.Time) {
	for _, w := range c.order {
		if !w.attached {
			continue
		}
		for ref, cp := range w.copies {
			needed := cp.task.state != stateDone && !cp.task.step.occ.job.state.Over()
			if !needed && now.Sub(cp.stopped) >= stopRepeat {
				c.stopCopy(now, w, ref, cp)
			}
		}
	}
}

// stopCopy orders the end of a copy.
func (c *Core) stopCopy(now time.Time, w *worker, ref link.RunRef, cp *copied) {
	cp.stopped = now
	d := c.ordersFor(c.ready, w.id)
	d.Stop = append(d.Stop, ref)
}

// settleCopies takes the inventory of a worker that has come back: copies that it doesn't list may still
// begin, and are stopped.
func (c *Core) settleCopies(now time.Time, w *worker, listed map[link.RunRef]bool) {
	for ref, cp := range w.copies {
		if !listed[ref] || !cp.stopped.IsZero() {
			c.stopCopy(now, w, ref, cp)
		}
	}
}

// dropCopies forgets the copies on a worker, none of which can run any more.
func (c *Core) dropCopies(w *worker) {
	for ref := range w.copies {
		c.dropCopy(w, ref)
	}
}

// hasCopy reports whether a copy of a task may be on the worker.
func (w *worker) hasCopy(t *task) bool {
	for _, cp := range w.copies {
		if cp.task == t {
			return true
		}
	}
	return false
}
