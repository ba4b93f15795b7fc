package sched

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/link"
	"github.com/crocusspring/crocusspring/internal/resource"
)

// ref identifies the newest run of a task.
func (t *task) ref() link.RunRef { return link.RunRef{Task: t.id, Run: t.run} }

// Report takes a worker's listing of its runs, but for the ends that were reported before.
func (c *Core) Report(now time.Time, id string, l link.Listing) {
	w := c.workers[id]
	if w == nil || !w.attached {
		return
	}
	w.excuseSilence(now)
	w.listedAt = now
	if !w.unresponsive {
		// A worker that was reborn would be reported as another incarnation.
		c.dropPendingCrashes(id)
	}
	clear(w.unknownRuns)
	for _, r := range l.Running {
		c.handleListed(now, w, r)
	}
	maps.DeleteFunc(w.unknownSince, func(ref link.RunRef, _ time.Time) bool {
		_, listed := w.unknownRuns[ref]
		return !listed
	})
	c.Ended(now, id, l.Ended)
	c.settleUnshown(now, w, l)
	if !l.EndsCut {
		for _, t := range w.tasks {
			c.noteMissing(now, t)
			t.listedAt = now
		}
	}
	w.tails.stale = true
	c.observe(now, w)
}

// missingTimeout is how long complete listings may lack a run whose start was sent: longer than the start takes to arrive.
const missingTimeout = 2 * time.Second

// noteMissing handles that a complete listing shows a run or not. One that is missing for good has ended unseen or was never
// started; the stop settles it, so that its task isn't waited for.
func (c *Core) noteMissing(now time.Time, t *task) {
	switch {
	case t.listedAt.Equal(now) || !t.notified:
		t.missingSince = time.Time{}
	case t.missingSince.IsZero():
		t.missingSince = now
	case now.Sub(t.missingSince) > missingTimeout:
		c.stopRun(now, t, "not listed")
	}
}

// Ended takes ends that a worker lists, and runs that its guard reports as absent for good; those have no
// number.
func (c *Core) Ended(now time.Time, id string, ended []link.RunEnd) {
	w := c.workers[id]
	if w == nil || !w.attached {
		return
	}
	for _, e := range ended {
		delete(w.unknownRuns, e.RunRef)
		if t := w.held[e.Task]; t != nil && t.run == e.Run {
			c.endRun(now, t, e)
		} else if w.copies[e.RunRef] != nil {
			c.copyEnded(now, w, e)
		} else {
			c.handleLateEnd(now, e)
		}
		if e.Number > w.acknowledged {
			w.acknowledged = e.Number
			c.commandsFor(c.gatedCommands, id).AckedEnd = e.Number
		}
	}
}

// handleLateEnd handles the end of a run that is no longer the newest of its task, or of a copy. A failure
// still counts, once, and so does the success of a speculative task or of one that waits.
func (c *Core) handleLateEnd(now time.Time, e link.RunEnd) {
	t := c.task(e.Task)
	if t != nil && e.Outcome == link.Done {
		c.copySucceeded(now, t, e.Run)
		c.straySucceeded(now, t, e.Run)
		return
	}
	if t == nil || e.Outcome != link.Failed || t.step.spec.LongRunning || t.step.occ.job.state.Terminal() || slices.Contains(t.failedRuns, e.Run) {
		return
	}
	c.logDecision(event.End, t.id.String(), fmt.Sprintf("run=%d outcome=failed after it was given up", e.Run))
	t.failedRuns = append(t.failedRuns, e.Run)
	c.markDirty(t.step.occ.job)
	c.failIfExhausted(now, t)
}

// straySucceeded completes a waiting task of which a run has succeeded that nothing accounted for.
func (c *Core) straySucceeded(now time.Time, t *task, run int) {
	s := t.step.spec
	if t.state != stateWaiting || s.Gang || s.LongRunning || t.step.occ.job.state.Terminal() {
		return
	}
	c.logDecision(event.End, t.id.String(), fmt.Sprintf("run=%d outcome=done after it was given up", run))
	t.step.waiting--
	t.state = stateDone
	c.markDirty(t.step.occ.job)
	c.taskDone(now, t)
}

// failIfExhausted fails the job of a task that has failed as often as it may.
func (c *Core) failIfExhausted(now time.Time, t *task) {
	j := t.step.occ.job
	if t.state == stateDone || len(t.failedRuns) < j.spec.Policy.MaxAttempts {
		return
	}
	c.logDecision(event.Fail, j.spec.ID, fmt.Sprintf("task=%s failures=%d on=%v", t.id, len(t.failedRuns), t.failedOn))
	c.finishJob(now, j, Failed, fmt.Sprintf("task %s has failed %d times", t.id, len(t.failedRuns)))
}

// handleListed takes the status of one run that a worker lists.
func (c *Core) handleListed(now time.Time, w *worker, r link.RunStatus) {
	t := w.held[r.Task]
	if t == nil || t.run != r.Run {
		if cp := w.copies[r.RunRef]; cp != nil {
			cp.listed(now)
		} else {
			c.stopUnknownRun(now, w, r)
		}
		return
	}
	t.listedAt, t.missingSince = now, time.Time{}
	first := t.state == stateAssigned
	t.transition(eventAppear)
	if t.appearedAt.IsZero() || first {
		t.appearedAt, t.progressAt = now, now
	}
	if !t.notified {
		t.notified = true
		d := c.commandsFor(c.readyCommands, w.id)
		d.KnownRuns = append(d.KnownRuns, t.traits())
	}
	switch {
	case r.Percent > t.percent:
		t.progress.Advance(r.Percent-t.percent, now.Sub(t.progressAt))
		t.progressAt = now
	case r.Checkpoint != "" && r.Checkpoint != t.checkpoint:
		t.progressAt = now
	}
	if r.Percent >= 100 && t.step.spec.LongRunning {
		if t.lastActive.IsZero() {
			t.step.startup = max(t.step.startup, now.Sub(t.appearedAt))
		}
		t.lastActive = now
	}
	t.percent, t.measurement = r.Percent, r.Measurement
	c.clearIfSettled(t, w)
	c.health.listed(now, w.id, t)
	t.saved(now, r.Checkpoint)
}

// saved records a checkpoint that a worker reports; empty for none.
func (t *task) saved(now time.Time, checkpoint string) {
	if checkpoint != "" && checkpoint != t.checkpoint {
		t.checkpoint, t.checkpointAt = checkpoint, now
	}
}

// unknownRoomTime is how long a worker with a run of unknown room takes no tasks: far longer than a stop takes.
const unknownRoomTime = 3 * time.Second

// stopUnknownRun stops a run that no task accounts for; it occupies resources until it has ended. Those of a run whose task isn't known
// any more may be any: it may be a surplus copy of a job that was complete before this owner took the cell. For unknownRoomTime it
// takes all of the worker; one that ends in spite of its stops no sooner must not keep the worker from others for good.
func (c *Core) stopUnknownRun(now time.Time, w *worker, r link.RunStatus) {
	since, ok := w.unknownSince[r.RunRef]
	if !ok {
		since = now
		w.unknownSince[r.RunRef] = now
	}
	var need resource.Vector
	if t := c.task(r.Task); t != nil {
		need = t.step.spec.Reserve()
	} else if now.Sub(since) < unknownRoomTime {
		need = w.info.Capacity
	}
	w.unknownRuns[r.RunRef] = need
	c.strayOn[w] = struct{}{}
	d := c.commandsFor(c.readyCommands, w.id)
	d.Stop = append(d.Stop, r.RunRef)
	c.logDecision(event.Stop, r.Task.String(), fmt.Sprintf("run=%d worker=%s reason=%q", r.Run, w.id, "not assigned there"))
}

// hasStrayRuns reports whether stray runs keep all waiting tasks of a step from starting, or one of them a gang.
func (c *Core) hasStrayRuns(now time.Time, s *step) bool {
	strays := c.strays(now, s)
	waits := func(t *task) bool { return t.state == stateWaiting }
	if s.spec.Gang {
		return slices.ContainsFunc(strays, waits)
	}
	return len(strays) > 0 && !slices.ContainsFunc(s.tasks, func(t *task) bool { return waits(t) && !slices.Contains(strays, t) })
}

// heldBack reports whether a waiting task must not start for a while: a worker may still have a run of it that no task accounts
// for, since its start was held up and carried out in a later birth of its worker, it isn't known yet whether the
// task has crashed its worker, or guards are still linking.
func (c *Core) heldBack(now time.Time, t *task) bool {
	_, verdict := c.crashed.verdicts[t]
	return verdict || c.awaitsGuards(now, t.step) || slices.Contains(c.strays(now, t.step), t)
}

// strays returns the tasks of a step with such runs. Runs of speculative tasks may overlap.
func (c *Core) strays(now time.Time, s *step) []*task {
	if len(c.strayOn) == 0 || s.spec.Speculative {
		return nil
	}
	if c.round.strays == nil {
		c.round.strays = c.strayRuns(now)
	}
	return c.round.strays[s]
}

// strayRuns returns the tasks of which workers list runs that no task accounts for, by step.
func (c *Core) strayRuns(now time.Time) map[*step][]*task {
	out := map[*step][]*task{}
	for w := range c.strayOn {
		if len(w.unknownRuns) == 0 || c.workers[w.id] != w {
			delete(c.strayOn, w)
			continue
		}
		if c.hasLapsed(now, w) {
			continue
		}
		for ref := range w.unknownRuns {
			if t := c.task(ref.Task); t != nil {
				out[t.step] = append(out[t.step], t)
			}
		}
	}
	return out
}

// traits returns what local control needs to know about the newest run.
func (t *task) traits() link.Traits {
	s := t.step.spec
	return link.Traits{RunRef: t.ref(), Filler: s.Filler, TailTargetMS: s.TailTargetMS, Image: s.Image}
}

// endRun handles the end of the newest run of a task.
func (c *Core) endRun(now time.Time, t *task, e link.RunEnd) {
	id, j := t.worker, t.step.occ.job
	c.logDecision(event.End, t.id.String(), fmt.Sprintf("run=%d worker=%s outcome=%s percent=%.0f held=%s %s",
		t.run, id, e.Outcome, t.percent, now.Sub(t.assignedAt).Round(time.Millisecond), e.Reason))
	c.learnDuration(now, t, e.Outcome)
	switch e.Outcome {
	case link.Done:
		c.sample(MeasureRun, now.Sub(t.assignedAt))
	case link.Stopped:
		c.sample(MeasureStop, now.Sub(t.assignedAt))
	}
	wasStopping := t.state == stateStopping
	if e.Outcome == link.Done {
		t.transition(eventFinish)
	} else {
		t.transition(eventEnd)
	}
	if unansweredStart(t, e) {
		c.noteLateStart(now, t, c.workers[id])
	}
	if t.late != nil {
		t.late.waitsUntil = now.Add(lateStartTime)
	}
	c.dropRun(t)
	c.markDirty(j)
	t.saved(now, e.Checkpoint)
	if e.Outcome == link.Failed && !t.step.spec.LongRunning {
		t.failedRuns = append(t.failedRuns, t.run)
		if !slices.Contains(t.failedOn, id) {
			t.failedOn = append(t.failedOn, id)
		}
	}
	c.health.ended(now, id, t, e.Outcome, wasStopping)
	if j.state.Terminal() {
		t.transition(eventDrop)
		return
	}
	switch {
	case e.Outcome == link.Done && t.step.spec.LongRunning:
		// A long-running task is restarted however it ends.
		t.state = stateWaiting
		t.step.waiting++
	case e.Outcome == link.Done:
		c.taskDone(now, t)
	case e.Outcome == link.Failed && !t.step.spec.LongRunning:
		c.failIfExhausted(now, t)
	}
}

// taskDone records the success of a task, and completes its step, occurrence and job if it was the last.
func (c *Core) taskDone(now time.Time, t *task) {
	s := t.step
	s.openTasks--
	if s.spec.Gang {
		c.completeGang(s)
	}
	if s.openTasks > 0 {
		return
	}
	o := s.occ
	o.openSteps--
	if o.openSteps > 0 {
		return
	}
	j := o.job
	j.finished++
	c.dropOccurrences(j, o.k)
	if j.finished == j.spec.Occurrences() {
		c.logDecision(event.Complete, j.spec.ID, fmt.Sprintf("slack=%s", j.due.Sub(now).Round(time.Millisecond)))
		c.finishJob(now, j, Completed, "")
	}
}

// completeGang completes all members of a gang after one has succeeded.
func (c *Core) completeGang(s *step) {
	for _, t := range s.tasks {
		if t.state == stateDone {
			continue
		}
		if t.held() {
			c.health.left(t.worker, t)
			c.dropRun(t)
		} else {
			s.waiting--
		}
		t.state = stateDone
		s.openTasks--
	}
}
