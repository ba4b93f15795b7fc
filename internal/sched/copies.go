package sched

import (
	"fmt"
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/link"
)

const (
	// copyDelay is how long a run must be out of contact before its task may get a copy: longer than it takes
	// to deliver a command, get its confirmation and receive two listings.
	copyDelay = 600 * time.Millisecond
	// stragglerFactor is how many times the expected duration a run may take before its task gets a copy.
	stragglerFactor = 2
	// maxCopies bounds the runs of a task besides its newest one.
	maxCopies = 1
)

// copyRef is an earlier run with its worker, as it is stored.
type copyRef struct {
	Run    int    `json:"r"`
	Worker string `json:"w"`
}

// runCopy is an earlier run of a speculative task that may continue on its worker while the task has a newer
// one. The first run to succeed counts.
type runCopy struct {
	task *task
	// stopSentAt is when a stop was last sent for it; zero while it may continue.
	stopSentAt time.Time
	// fresh says that the run had not settled when it became a copy, and hasn't been listed for settleTime since; listedSince is
	// since when it is listed.
	fresh       bool
	listedSince time.Time
}

// listed notes that the worker lists the copy.
func (cp *runCopy) listed(now time.Time) {
	if cp.listedSince.IsZero() {
		cp.listedSince = now
	}
	cp.fresh = cp.fresh && now.Sub(cp.listedSince) < settleTime
}

// startCopies gives speculative tasks another run where the newest one may be lost or is slow.
func (c *Core) startCopies(now time.Time) {
	for _, w := range c.sortedWorkers {
		for _, t := range w.tasks {
			if reason := c.copyReason(now, w, t); reason != "" {
				c.copyRun(now, w, t, reason)
			}
		}
	}
}

// copyReason returns why a task should get another run beside its newest one, or an empty string.
func (c *Core) copyReason(now time.Time, w *worker, t *task) string {
	s := t.step.spec
	if !s.Speculative || s.Gang || s.LongRunning || s.Filler || len(t.copies) >= maxCopies || t.step.occ.job.state.Terminal() {
		return ""
	}
	if t.startsAlone() && t.fresh() || len(t.crashes) >= maxCrashes-1 {
		// Another run would crash another worker, if the task is the cause.
		return ""
	}
	switch {
	case !w.attached:
		return when(now.Sub(w.detachedAt) > copyDelay, "guard not connected")
	case w.unresponsive:
		return when(now.Sub(w.unresponsiveSince) > copyDelay, "worker not answering")
	case t.state == stateAssigned:
		return when(t.notified && now.Sub(t.assignedAt) > copyDelay, "start not settled")
	case t.state == stateRunning:
		expected := c.expectedDuration(t.step)
		return when(now.Sub(t.appearedAt) > stragglerFactor*expected && t.remaining(now) > expected, "slow")
	}
	return ""
}

// copyRun lets the newest run of a task continue beside the next one. It holds its resources until its end is
// known.
func (c *Core) copyRun(now time.Time, w *worker, t *task, reason string) {
	c.logDecision(event.Copy, t.id.String(), fmt.Sprintf("run=%d worker=%s reason=%q held=%s", t.run, w.id, reason, now.Sub(t.assignedAt).Round(time.Millisecond)))
	if w.unresponsive && t.fresh() {
		c.addCrash(t, crash{Worker: w.id, Run: t.run, AgeMS: t.listedFor().Milliseconds(), Pending: true})
	}
	c.convertToCopy(w, t)
	c.markDirty(t.step.occ.job)
}

// convertToCopy makes the newest run of a task a copy.
func (c *Core) convertToCopy(w *worker, t *task) {
	c.addCopy(w, t, t.run).fresh = t.fresh()
	t.transition(eventEnd)
	c.dropRun(t)
}

// addCopy registers an earlier run that a worker may have.
func (c *Core) addCopy(w *worker, t *task, run int) *runCopy {
	cp := &runCopy{task: t}
	w.copies[link.RunRef{Task: t.id, Run: run}] = cp
	t.copies = append(t.copies, copyRef{Run: run, Worker: w.id})
	t.step.occ.job.held++
	return cp
}

// dropCopy removes an earlier run that must have ended.
func (c *Core) dropCopy(w *worker, ref link.RunRef) {
	t := w.copies[ref].task
	delete(w.copies, ref)
	t.copies = slices.DeleteFunc(t.copies, func(r copyRef) bool { return r.Run == ref.Run })
	t.step.occ.job.held--
	c.capacityEvents++
	c.markDirty(t.step.occ.job)
}

// copyEnded handles the end of a copy.
func (c *Core) copyEnded(now time.Time, w *worker, e link.RunEnd) {
	t := w.copies[e.RunRef].task
	c.dropCopy(w, e.RunRef)
	c.health.ended(now, w.id, t, e.Outcome, true)
	c.handleLateEnd(now, e)
}

// copySucceeded completes a speculative task after one of its earlier runs has succeeded.
func (c *Core) copySucceeded(now time.Time, t *task, run int) {
	s := t.step.spec
	if !s.Speculative || s.Gang || s.LongRunning || t.state == stateDone || t.step.occ.job.state.Terminal() {
		return
	}
	c.logDecision(event.End, t.id.String(), fmt.Sprintf("run=%d outcome=done before run=%d on worker=%s", run, t.run, t.worker))
	if t.held() {
		c.convertToCopy(c.workers[t.worker], t)
	}
	t.step.waiting--
	t.state = stateDone
	c.markDirty(t.step.occ.job)
	c.taskDone(now, t)
	c.stopCopies(now)
}

// stopCopies stops the copies that are no longer needed, and retries until their end is known.
func (c *Core) stopCopies(now time.Time) {
	for _, w := range c.sortedWorkers {
		if !w.attached {
			continue
		}
		for ref, cp := range w.copies {
			needed := cp.task.state != stateDone && !cp.task.step.occ.job.state.Terminal()
			if !needed && now.Sub(cp.stopSentAt) >= stopRetryInterval {
				c.stopCopy(now, w, ref, cp)
			}
		}
	}
}

// stopCopy commands the guard to stop a copy.
func (c *Core) stopCopy(now time.Time, w *worker, ref link.RunRef, cp *runCopy) {
	cp.stopSentAt = now
	d := c.commandsFor(c.readyCommands, w.id)
	d.Stop = append(d.Stop, ref)
}

// reconcileCopies compares copies with the inventory of a worker that has reattached: those it doesn't list
// may still start, so they are stopped, and stops sent before are repeated. A listing that was cut short doesn't tell.
func (c *Core) reconcileCopies(now time.Time, w *worker, listed map[link.RunRef]bool, endsCut bool) {
	for ref, cp := range w.copies {
		switch {
		case !cp.stopSentAt.IsZero() || !listed[ref] && !endsCut:
			c.stopCopy(now, w, ref, cp)
		case !listed[ref]:
			w.unshown[ref] = true
		}
	}
}

// dropCopies removes the copies on a worker, none of which can run any more.
func (c *Core) dropCopies(w *worker) {
	for ref, cp := range w.copies {
		c.health.left(w.id, cp.task)
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
