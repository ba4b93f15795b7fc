package sched

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
	"github.com/crocusspring/crocusspring/internal/resource"
)

// worker is one incarnation of a worker.
type worker struct {
	id   string
	info link.Worker
	// node names the guard beside the worker; empty while it isn't known.
	node string
	// described is false until the worker has been described; nothing is placed on it before.
	described bool
	// attached says that its guard is connected and has sent its inventory.
	attached bool
	// expiresAt is when all runs on a detached worker must have ended; lapsed says that the lease of its runs must have expired.
	expiresAt time.Time
	lapsed    bool
	// heardAt is when its guard last reported on it under this ownership, or attached it.
	heardAt time.Time
	// held are the tasks whose newest run may be there; tasks are the same in order of assignment.
	held  map[job.TaskID]*task
	tasks []*task
	// unknownRuns are runs that the worker lists and no task accounts for; they are being stopped. See hasStrayRun.
	unknownRuns map[link.RunRef]resource.Vector
	// unknownSince is since when each of them has been listed.
	unknownSince map[link.RunRef]time.Time
	// unshown are runs that an inventory which was cut short didn't show: they may have ended, or never started.
	unshown map[link.RunRef]bool
	// copies are earlier runs of speculative tasks that may continue here.
	copies map[link.RunRef]*runCopy
	// listedAt is when the worker's runs were reported last.
	listedAt time.Time
	// detachedAt is when the connection to the guard was lost, or the worker became known without one.
	detachedAt time.Time
	// acknowledged is the number of the newest end whose acknowledgement is queued or sent.
	acknowledged int64
	// pace is the rate that local control allows fillers, in percent; slowSince is when it fell below
	// minFillerPace.
	pace      int
	slowSince time.Time
	// unresponsive says that the worker doesn't answer its guard, since unresponsiveSince.
	unresponsive      bool
	unresponsiveSince time.Time
	// drainReportedAt is when a draining worker was described last.
	drainReportedAt time.Time
	// load is updated whenever a task is assigned or dropped; see load.add.
	load load
	// reserved is the reservation of the current round, or nil; reservedFor is the step that had the
	// one of the round before.
	reserved    *reservation
	reservedFor *step
	// tails is derived from the measurements of its tasks; see observe.
	tails tailState
	// isolated is the task whose isolated start the worker is kept for, or nil; isolatedAt is since when.
	isolated   *task
	isolatedAt time.Time
	// releasedAt is when the worker was last released from such a start.
	releasedAt time.Time
	// riskedAt is when a task that doesn't last was last placed there although the worker was doubtful.
	riskedAt time.Time
}

// load sums the resources of the tasks on a worker.
type load struct {
	// reserved counts against capacity.
	reserved resource.Vector
	// servingCPU and otherCPU are reserved by serving tasks and by other non-fillers, fillerCPU is the demand
	// of fillers; all in thousandths of a core.
	servingCPU, otherCPU, fillerCPU int64
}

// ensureWorker returns a worker and creates it when it is new.
func (c *Core) ensureWorker(now time.Time, id string) *worker {
	w := c.workers[id]
	if w == nil {
		w = &worker{id: id, held: map[job.TaskID]*task{}, unknownRuns: map[link.RunRef]resource.Vector{}, unknownSince: map[link.RunRef]time.Time{}, copies: map[link.RunRef]*runCopy{}, pace: 100}
		w.expiresAt, w.detachedAt = now.Add(c.opt.expiryDelay()+c.opt.RunLeaseExtension), now
		c.insertWorker(w)
	}
	return w
}

// insertWorker adds a worker to the state.
func (c *Core) insertWorker(w *worker) {
	c.workers[w.id] = w
	i, _ := slices.BinarySearchFunc(c.sortedWorkers, w.id, func(o *worker, id string) int { return strings.Compare(o.id, id) })
	c.sortedWorkers = slices.Insert(slices.Clone(c.sortedWorkers), i, w)
}

// holdRun records that a worker may have the newest run of a task.
func (c *Core) holdRun(now time.Time, t *task) {
	w := c.ensureWorker(now, t.worker)
	w.held[t.id] = t
	w.tasks = append(w.tasks, t)
	w.tails.stale = true
	w.load.add(t.step.spec, 1)
	c.noteMoved(t.step, w, 1)
	t.step.occ.job.held++
}

// dropRun removes the newest run of a task from its worker, once it must have ended, was never sent or is
// tracked as a copy.
func (c *Core) dropRun(t *task) {
	if w := c.workers[t.worker]; w != nil && w.held[t.id] == t {
		delete(w.held, t.id)
		w.tails.stale = true
		// A new slice, since callers range over the old one.
		w.tasks = slices.DeleteFunc(slices.Clone(w.tasks), func(o *task) bool { return o == t })
		w.load.add(t.step.spec, -1)
		c.noteMoved(t.step, w, -1)
	}
	c.capacityEvents++
	t.step.occ.job.held--
	t.worker = ""
	t.percent, t.measurement = 0, 0
}

// add adds a task to the load with sign 1 and removes it with sign -1.
func (l *load) add(s *job.Step, sign int64) {
	r := s.Reserve()
	if sign < 0 {
		l.reserved = l.reserved.Sub(r)
	} else {
		l.reserved = l.reserved.Add(r)
	}
	switch {
	case s.Filler:
		l.fillerCPU += sign * s.Demand.MilliCPU
	case s.TailTargetMS > 0:
		l.servingCPU += sign * s.Demand.MilliCPU
	default:
		l.otherCPU += sign * s.Demand.MilliCPU
	}
}

// free returns the resources that can still be reserved.
func (w *worker) free() resource.Vector {
	f := w.info.Capacity.Sub(w.load.reserved)
	for _, r := range w.unknownRuns {
		f = f.Sub(r)
	}
	for _, cp := range w.copies {
		f = f.Sub(cp.task.step.spec.Reserve())
	}
	return f
}

// servingUtilization is the part of their reservation that serving tasks are assumed to use; watchers use
// about half of it on average, in waves.
const servingUtilization = 0.6

// answers reports whether the guard of a worker is linked and hears from it; false without a worker.
func (w *worker) answers() bool { return w != nil && w.attached && !w.unresponsive }

// silentFor returns for how long nothing has been heard from a worker; 0 while it answers.
func (w *worker) silentFor(now time.Time) time.Duration {
	switch {
	case !w.attached:
		return now.Sub(w.detachedAt)
	case w.unresponsive:
		return now.Sub(w.unresponsiveSince)
	}
	return 0
}

// spare returns the processors that fillers could still use, in thousandths of a core.
func (w *worker) spare() int64 {
	used := int64(float64(w.load.servingCPU)*servingUtilization) + w.load.otherCPU
	return w.info.Capacity.MilliCPU - used - w.load.fillerCPU
}

// Attach takes the inventory of a worker whose guard has connected under this ownership.
func (c *Core) Attach(now time.Time, node string, info link.Worker, l link.Listing) {
	c.adoptUnborn(info.ID)
	c.dropPendingCrashes(info.ID)
	w := c.ensureWorker(now, info.ID)
	w.unshown = map[link.RunRef]bool{}
	// An acknowledgement may have been lost with the last link.
	w.acknowledged = 0
	if _, provisional := c.guards.provisional[info.ID]; w.node != node || provisional {
		w.node, c.dirtyNodes[info.ID] = node, node
	}
	w.info, w.described, w.attached, w.unresponsive, w.lapsed, w.heardAt = info, true, true, false, false, now
	c.endLateStarts(node, info.ID)
	c.capacityEvents++ // an attached worker adds capacity, like a run that ends
	if info.Draining {
		w.drainReportedAt = now
	}
	c.logDecision(event.Worker, info.ID, fmt.Sprintf("attached running=%d ended=%d held=%d", len(l.Running), len(l.Ended), len(w.held)))
	listed := map[link.RunRef]bool{}
	for _, r := range l.Running {
		listed[r.RunRef] = true
	}
	for _, e := range l.Ended {
		listed[e.RunRef] = true
	}
	for _, t := range w.tasks {
		t.notified = false
		switch {
		case t.state == stateStopping:
			c.sendStop(now, t)
		case !listed[t.ref()] && l.EndsCut:
			w.unshown[t.ref()] = true
		case !listed[t.ref()]:
			// The start may still be in transit to the worker.
			c.stopRun(now, t, "start unanswered")
		}
	}
	c.reconcileCopies(now, w, listed, l.EndsCut)
	c.Report(now, info.ID, l)
}

// settleUnshown stops the runs that the inventory didn't show since it was cut short, once a listing is complete: those
// that it doesn't show either have not ended, so that their starts may still be in transit.
func (c *Core) settleUnshown(now time.Time, w *worker, l link.Listing) {
	if l.EndsCut || len(w.unshown) == 0 {
		return
	}
	for _, r := range l.Running {
		delete(w.unshown, r.RunRef)
	}
	for _, t := range w.tasks {
		if w.unshown[t.ref()] {
			c.stopRun(now, t, "start unanswered")
		}
	}
	for ref, cp := range w.copies {
		if w.unshown[ref] {
			c.stopCopy(now, w, ref, cp)
		}
	}
	clear(w.unshown)
}

// SupersededWorkers returns the earlier incarnations of a worker that a new one on the same node has replaced.
func (c *Core) SupersededWorkers(id, node string) []string {
	var out []string
	for _, w := range c.sortedWorkers {
		if w.id != id && node != "" && w.node == node && w.id != unborn(id) {
			out = append(out, w.id)
		}
	}
	return out
}

// unborn returns the key of an incarnation in records that were stored before births were; it is the key itself for a
// worker that reports none.
func unborn(id string) string { return link.ParseIncarnation(id).ID }

// adoptUnborn gives a worker that was stored without its birth the key with the birth. It may be the same incarnation,
// so that its runs are compared with the inventory like any other's.
func (c *Core) adoptUnborn(id string) {
	w := c.workers[unborn(id)]
	if w == nil || w.id == id || c.workers[id] != nil {
		return
	}
	c.deleteWorker(w)
	w.id = id
	c.insertWorker(w)
	for _, t := range w.tasks {
		t.worker = id
		c.markDirty(t.step.occ.job)
	}
	for ref, cp := range w.copies {
		for i := range cp.task.copies {
			if cp.task.copies[i].Run == ref.Run {
				cp.task.copies[i].Worker = id
			}
		}
		c.markDirty(cp.task.step.occ.job)
	}
	if w.node != "" {
		c.dirtyNodes[id] = w.node
	}
}

// Jobs returns the number of known jobs.
func (c *Core) Jobs() int { return len(c.jobs) }

// Update takes a new description of an attached worker.
func (c *Core) Update(now time.Time, info link.Worker) {
	w := c.workers[info.ID]
	if w == nil || !w.attached {
		return
	}
	if info.Draining && !w.info.Draining {
		c.lastSweep = time.Time{}
		c.logDecision(event.Worker, info.ID, fmt.Sprintf("draining remaining_ms=%d", info.RemainingMS))
	}
	if info.Draining {
		w.drainReportedAt = now
	}
	w.info = info
}

// UpdatePressure takes a guard's report on its worker: the pace left to fillers and whether it is unresponsive.
func (c *Core) UpdatePressure(now time.Time, id string, pace int, unresponsive bool) {
	w := c.workers[id]
	if w == nil {
		return
	}
	if unresponsive && !w.unresponsive {
		w.unresponsiveSince = now
		c.logDecision(event.Worker, id, fmt.Sprintf("not answering held=%d", len(w.held)))
		c.suspectStart(w)
	}
	if pace >= minFillerPace || w.pace >= minFillerPace {
		w.slowSince = now
	}
	w.pace, w.unresponsive, w.lapsed, w.heardAt = pace, unresponsive, w.lapsed && unresponsive, now
}

// Detach handles the loss of the connection to a worker's guard; nothing is echoed to it any more.
func (c *Core) Detach(now time.Time, id string) {
	w := c.workers[id]
	if w == nil || !w.attached {
		return
	}
	w.attached, w.detachedAt, w.lapsed = false, now, false
	w.expiresAt = now.Add(c.opt.expiryDelay())
	c.logDecision(event.Worker, id, fmt.Sprintf("detached held=%d lapse_in=%s", len(w.held), c.opt.expiryDelay()))
}

// RemoveWorker removes an incarnation of a worker that is over; nothing runs in it any more.
func (c *Core) RemoveWorker(now time.Time, id string) {
	w := c.workers[id]
	if w == nil {
		return
	}
	c.logDecision(event.Worker, id, fmt.Sprintf("gone held=%d", len(w.held)))
	c.expireRuns(now, w)
	c.deleteWorker(w)
	c.dropPendingCrashes(id)
}

// deleteWorker removes a worker from the state.
func (c *Core) deleteWorker(w *worker) {
	delete(c.workers, w.id)
	if w.node != "" {
		c.dirtyNodes[w.id] = ""
	}
	c.sortedWorkers = slices.DeleteFunc(slices.Clone(c.sortedWorkers), func(o *worker) bool { return o == w })
}

// expireLeases ends the runs of workers whose lease must have expired.
func (c *Core) expireLeases(now time.Time) {
	for _, w := range c.sortedWorkers {
		if w.attached {
			c.expireUnresponsive(now, w)
			continue
		}
		if now.Before(w.expiresAt) {
			continue
		}
		c.lapse(now, w)
	}
}

// lapse ends the runs of a detached worker whose lease must have expired, and removes the worker when none is left.
func (c *Core) lapse(now time.Time, w *worker) {
	heardAt := w.heardAt
	if heardAt.IsZero() {
		// Its guard was linked to an earlier owner only.
		heardAt = w.detachedAt
	}
	c.lapseRuns(now, w, heardAt)
	if len(w.held) == 0 {
		c.deleteWorker(w)
	}
}

// expireUnresponsive ends the runs of a worker whose lease its guard could not renew for expiryDelay.
func (c *Core) expireUnresponsive(now time.Time, w *worker) {
	if len(w.held) > 0 && c.hasLapsed(now, w) {
		c.lapseRuns(now, w, w.unresponsiveSince)
	}
}

// lapseRuns ends the runs of a worker whose lease must have expired, but for tasks of which a start may still be carried out there;
// nothing has been heard of the worker since heardAt.
func (c *Core) lapseRuns(now time.Time, w *worker, heardAt time.Time) {
	if len(w.held) > 0 && !w.lapsed {
		c.logDecision(event.LeaseExpired, w.id, fmt.Sprintf("answers=%t held=%d", w.answers(), len(w.held)))
		c.suspectCrash(w)
	}
	w.lapsed = true
	for _, t := range w.tasks {
		if !t.mayStillStart(now, w, heardAt) {
			c.clearLateStart(t)
			c.expireRun(now, t)
		}
	}
	c.dropCopies(w)
}

// hasLapsed reports whether the lease of all runs on a worker must have lapsed, since its guard hasn't heard from it for so long.
func (c *Core) hasLapsed(now time.Time, w *worker) bool {
	return w.attached && w.unresponsive && now.Sub(w.unresponsiveSince) > c.opt.expiryDelay()
}

// expireRuns ends all runs of a worker as expired, which doesn't count as a failed attempt.
func (c *Core) expireRuns(now time.Time, w *worker) {
	for _, t := range w.tasks {
		c.expireRun(now, t)
	}
	c.dropCopies(w)
}

// expireRun ends a run as expired.
func (c *Core) expireRun(now time.Time, t *task) {
	c.endRun(now, t, link.RunEnd{RunRef: t.ref(), Outcome: link.Expired, Checkpoint: t.checkpoint})
}
