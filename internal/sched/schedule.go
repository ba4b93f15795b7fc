package sched

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/link"
	"github.com/crocusspring/crocusspring/internal/stall"
)

// itoa formats a count.
func itoa(n int) string { return strconv.Itoa(n) }

const (
	// sweepInterval is the time between two runs of the checks that depend on time alone.
	sweepInterval = 50 * time.Millisecond
	// placementRetryDelay is how long a step waits after no worker took its task, unless capacity becomes free.
	placementRetryDelay = 15 * time.Millisecond
	// fillerInterval is the time between two rounds that place fillers. All fillers are tried in the same rounds,
	// so that free capacity goes to the first in the order of rank.
	fillerInterval = 25 * time.Millisecond
)

// Schedule runs one round: it ends expired runs, opens occurrences that have come due, moves tasks off
// workers that drain or on which they make no progress, and places waiting tasks.
func (c *Core) Schedule(now time.Time) {
	c.beginRound(now)
	if c.beganAt.IsZero() {
		c.beganAt, c.newCell = now, !slices.ContainsFunc(c.sortedWorkers, func(w *worker) bool { return w.node != "" && !w.attached })
	}
	if now.Sub(c.lastSweep) >= sweepInterval {
		c.lastSweep = now
		c.sweepLateStarts(now)
		c.expireLeases(now)
		c.evacuate(now)
		c.moveOffDrained(now)
		c.observeFillers(now)
		c.spreadOut(now)
		c.stopStalled(now)
		c.startCopies(now)
		c.stopCopies(now)
		c.retryStops(now)
	}
	for _, j := range c.openJobs {
		if j.next < j.spec.Occurrences() {
			c.openDueOccurrences(now, j)
		}
	}
	c.rankJobs(now)
	fillers := !now.Before(c.nextFillerRound)
	if fillers {
		c.nextFillerRound = now.Add(fillerInterval)
	}
	c.judgeDue(now)
	c.startIsolated(now, fillers)
	c.reserve(now)
	for _, j := range slices.Clone(c.openJobs) {
		for _, o := range j.inOrder() {
			for _, s := range o.steps {
				if s.waiting > 0 && c.isDue(now, s, s.placement, fillers) && s.ready() {
					c.placeStep(now, s)
				}
			}
		}
	}
	c.findStandstills(now)
}

// isDue reports whether a step is tried in this round, after the refusal that r is about; fillers says whether the round
// places fillers.
func (c *Core) isDue(now time.Time, s *step, r retry, fillers bool) bool {
	if s.spec.Filler {
		return fillers
	}
	return r.due(now, c.capacityEvents)
}

// inOrder returns the open occurrences, earliest first.
func (j *jobState) inOrder() []*occurrence {
	out := make([]*occurrence, 0, len(j.occurrences))
	for _, o := range j.occurrences {
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b *occurrence) int { return cmp.Compare(a.k, b.k) })
	return out
}

// worthlessFactor is the multiple of its objective after which a job is worth nothing.
const worthlessFactor = 3

// lateness classifies jobs by what can still be gained: 0 on time, 1 late, 2 worthless. It includes the time
// that the rest of the job takes when nothing delays it.
func (c *Core) lateness(now time.Time, j *jobState) int {
	if j.spec.Scheduled() || j.spec.HasLongRunning() {
		return 0
	}
	end := now.Add(c.remainingTime(now, j))
	switch {
	case end.Before(j.due):
		return 0
	case end.Before(j.due.Add((worthlessFactor - 1) * j.spec.Objective())):
		return 1
	}
	return 2
}

// remainingTime estimates the remaining time of the longest chain of a job's open steps.
func (c *Core) remainingTime(now time.Time, j *jobState) time.Duration {
	longest := time.Duration(0)
	for _, o := range j.occurrences {
		ends := make([]time.Duration, len(o.steps))
		for i, s := range o.steps {
			for _, d := range s.spec.DependsOn {
				ends[i] = max(ends[i], ends[d])
			}
			ends[i] += c.remainingStepTime(now, s)
			longest = max(longest, ends[i])
		}
	}
	return longest
}

// remainingStepTime estimates the remaining time of a step.
func (c *Core) remainingStepTime(now time.Time, s *step) time.Duration {
	if s.openTasks == 0 {
		return 0
	}
	if s.waiting > 0 {
		return c.expectedDuration(s)
	}
	longest := time.Duration(0)
	for _, t := range s.tasks {
		if t.held() {
			longest = max(longest, t.remaining(now))
		}
	}
	return longest
}

// expectedDuration returns how long a task of a step usually takes: the declared duration, corrected by the
// ratio measured for its queue.
func (c *Core) expectedDuration(s *step) time.Duration {
	whole := time.Duration(s.spec.EstimateMS) * time.Millisecond
	if ratio, ok := c.durationRatios[s.occ.job.spec.Policy.Queue]; ok {
		return time.Duration(float64(whole) * ratio)
	}
	return whole
}

// rankJobs orders the open jobs: by priority, long-running ones first, then by lateness, then those with the
// least filler work left, then by due time. In a burst that can't be served in full, least work first
// completes the most jobs on time; by due time all would end late.
func (c *Core) rankJobs(now time.Time) {
	for _, j := range c.openJobs {
		j.lateness = c.lateness(now, j)
		j.fillerWork = j.remainingFillerWork()
	}
	slices.SortStableFunc(c.openJobs, func(a, b *jobState) int {
		return cmp.Or(
			cmp.Compare(a.spec.Policy.Priority, b.spec.Policy.Priority),
			-cmp.Compare(toInt(a.spec.HasLongRunning()), toInt(b.spec.HasLongRunning())),
			cmp.Compare(a.lateness, b.lateness),
			cmp.Compare(a.fillerWork, b.fillerWork),
			a.due.Compare(b.due),
			strings.Compare(a.spec.ID, b.spec.ID),
		)
	})
}

// remainingFillerWork returns the declared work of a job's fillers that are not done, in core-milliseconds.
func (j *jobState) remainingFillerWork() int64 {
	sum := int64(0)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.spec.Filler {
				sum += int64(s.openTasks) * s.spec.Demand.MilliCPU * s.spec.EstimateMS / 1000
			}
		}
	}
	return sum
}

// toInt returns 1 for true and 0 for false.
func toInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// placeStep places the waiting tasks of a step, but for those that startIsolated starts.
func (c *Core) placeStep(now time.Time, s *step) {
	if s.spec.Gang {
		c.placeGang(now, s)
		return
	}
	waiting := slices.DeleteFunc(slices.Clone(s.tasks), func(t *task) bool { return t.state != stateWaiting || t.startsAlone() || c.heldBack(now, t) })
	if waiting = c.placeLate(now, s, waiting); len(waiting) == 0 {
		return
	}
	candidates := c.feasible(now, s)
	r := c.rankWorkers(now, s, candidates)
	for _, t := range waiting {
		i := r.best(t)
		if i < 0 {
			c.handleRefusal(now, t, candidates)
			return
		}
		c.assign(now, t, r.workers[i], 0)
		r.recordPlacement(i)
	}
	if s.waiting == 0 {
		s.unplacedSince = time.Time{}
	}
}

// noteRefusal handles that no worker takes a task of a step: it records since when, and asks the policy service about
// further workers.
func (c *Core) noteRefusal(now time.Time, s *step) {
	if s.unplacedSince.IsZero() {
		s.unplacedSince = now
	}
	c.requestApproval(now, s)
}

// handleRefusal schedules a retry after no worker took a task, and applies the fallbacks: for starved tasks a worker that refuses
// them only for the sake of others, and preemption.
func (c *Core) handleRefusal(now time.Time, t *task, candidates []*worker) {
	s := t.step
	s.placement = c.retryLater(now)
	c.noteRefusal(now, s)
	if !s.spec.Filler && len(candidates) > 0 {
		return
	}
	if !c.placeStarved(now, s) && !s.spec.Filler {
		c.preempt(now, t)
	}
}

// placeGang places all tasks of a gang or none; they share one run number. A starved gang takes doubtful workers, too, for the members that
// find no room on others.
func (c *Core) placeGang(now time.Time, s *step) {
	if slices.ContainsFunc(s.tasks, func(t *task) bool { return t.state != stateWaiting }) {
		return
	}
	if c.placeMembers(now, s, c.rankWorkers(now, s, c.feasible(now, s))) {
		s.unplacedSince = time.Time{}
		return
	}
	s.placement = c.retryLater(now)
	c.noteRefusal(now, s)
	if c.fallbackRefusal(now, s) != "" {
		return
	}
	refusal := func(now time.Time, s *step, w *worker) string { return c.starvedRefusal(now, s, w) }
	candidates := slices.DeleteFunc(slices.Clone(c.sortedWorkers), func(w *worker) bool { return refusal(now, s, w) != "" })
	r := c.rankWorkers(now, s, candidates)
	r.refusal, r.risks = refusal, true
	c.placeMembers(now, s, r)
}

// placeMembers places all tasks of a gang on ranked workers, and reports whether they fit. Those with a late start choose first, then
// those that have failed most.
func (c *Core) placeMembers(now time.Time, s *step, r *ranking) bool {
	run := 0
	var placed []*task
	leastChoiceFirst := func(a, b *task) int {
		return cmp.Or(-cmp.Compare(toInt(a.late != nil), toInt(b.late != nil)), cmp.Compare(len(b.failedRuns), len(a.failedRuns)))
	}
	for _, t := range slices.SortedStableFunc(slices.Values(s.tasks), leastChoiceFirst) {
		i := r.best(t)
		if i < 0 {
			for _, p := range placed {
				c.unassign(p)
			}
			return false
		}
		// A provisional assignment, so that the next member sees the capacity as taken.
		t.worker = r.workers[i].id
		t.transition(eventAssign)
		c.holdRun(now, t)
		r.recordPlacement(i)
		placed = append(placed, t)
		run = max(run, t.run)
	}
	checkpoint := s.gangCheckpoint()
	for _, t := range placed {
		w := c.workers[t.worker]
		c.unassign(t)
		t.checkpoint = checkpoint
		c.noteRisk(now, t, w)
		c.assign(now, t, w, run+1)
	}
	return true
}

// gangCheckpoint returns the checkpoint from which all tasks of a gang resume: that of any of them is valid for all, and
// they must agree on one. It is the one that was reported last.
func (s *step) gangCheckpoint() string {
	newest := slices.MaxFunc(s.tasks, func(a, b *task) int {
		return cmp.Or(cmp.Compare(toInt(a.checkpoint != ""), toInt(b.checkpoint != "")), a.checkpointAt.Compare(b.checkpointAt))
	})
	return newest.checkpoint
}

// unassign reverts an assignment that has not been recorded.
func (c *Core) unassign(t *task) {
	t.transition(eventEnd)
	c.dropRun(t)
}

// assign gives a task its next run; a run number of 0 means the number after the task's last one.
func (c *Core) assign(now time.Time, t *task, w *worker, run int) {
	if run == 0 {
		run = t.run + 1
	}
	t.run, t.worker, t.assignedAt = run, w.id, now
	t.appearedAt, t.listedAt, t.progressAt, t.lastActive = time.Time{}, time.Time{}, now, time.Time{}
	t.percent, t.pinned, t.inherited, t.notified, t.sent = 0, false, false, false, false
	t.missingSince, t.queuedAt = time.Time{}, time.Time{}
	t.progress = stall.Progress{}
	j := t.step.occ.job
	if !t.step.spec.LongRunning {
		t.step.unplacedSince, j.placedAt = time.Time{}, now
	}
	t.transition(eventAssign)
	c.holdRun(now, t)
	if p := c.round.pools[j.spec.Policy.Service]; p != nil {
		p.free -= t.step.spec.Reserve().MilliCPU
	}
	if j.state == Queued {
		c.sample(MeasureWait, now.Sub(j.acceptedAt))
		j.state = Running
	}
	c.markDirty(j)
	d := c.commandsFor(c.gatedCommands, w.id)
	d.Start = append(d.Start, link.Start{
		Traits: t.traits(), Payload: j.spec.Payload, Checkpoint: t.checkpoint, Ticket: t.step.tickets[w.id].text,
	})
	c.health.started(now, w.id, t)
	inputs := fmt.Sprintf("run=%d worker=%s free=%d spare=%d pace=%d slack=%s",
		run, w.id, w.free().MilliCPU, w.spare(), w.pace, j.due.Sub(now).Round(time.Millisecond))
	if t.step.spreads() {
		inputs += fmt.Sprintf(" here=%d of=%d beside_owner=%t", t.step.countOn(w), len(t.step.tasks), c.besideOwner(w))
	}
	c.logDecision(event.Place, t.id.String(), inputs)
}

// preempt frees capacity for a task by stopping runs of less urgent jobs on one worker.
func (c *Core) preempt(now time.Time, t *task) {
	var best *worker
	var victims []*task
	for _, w := range c.sortedWorkers {
		got := c.victims(now, t, w)
		if got != nil && (best == nil || len(got) < len(victims) || len(got) == len(victims) && w.id < best.id) {
			best, victims = w, got
		}
	}
	for _, v := range victims {
		c.stopRun(now, v, "gives way to "+t.id.String())
	}
}

// victims returns the runs to stop so that a task fits on a worker; nil when that doesn't help, or when
// runs that are already stopping free enough.
func (c *Core) victims(now time.Time, t *task, w *worker) []*task {
	if c.refusalExcept(now, t.step, w, "capacity") != "" {
		return nil
	}
	free := w.free()
	need := t.step.spec.Reserve()
	var candidates []*task
	for _, v := range w.tasks {
		r := v.step.spec.Reserve()
		switch {
		case v.state == stateStopping:
			free = free.Add(r)
		case v.step.occ.job.spec.Policy.Priority > t.step.occ.job.spec.Policy.Priority && !v.step.spec.LongRunning:
			candidates = append(candidates, v)
		}
	}
	if need.Fits(free) {
		return nil
	}
	// The runs with the least progress are stopped first.
	slices.SortFunc(candidates, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.percent, b.percent), strings.Compare(a.id.String(), b.id.String()))
	})
	for i, v := range candidates {
		free = free.Add(v.step.spec.Reserve())
		if need.Fits(free) {
			return candidates[:i+1]
		}
	}
	return nil
}
