package sched

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/resource"
)

const (
	// standstillDelay is how long a task whose turn has come may lack a run while there is room, by the customers' rules:
	// a task that lasts counts by itself, any other while nothing of its job runs.
	standstillDelay = 3 * time.Second
	// restartDelay is how much longer a task that lasts may lack a run after it has had one.
	restartDelay = 6 * time.Second
	// standstillRoom is how many times the room that the task needs must be there, and maxUsedShare the share of the
	// service's processors below which the reserved ones must be, but for tasks that last.
	standstillRoom = 2
	maxUsedShare   = 0.5
	// standstillInterval is the time between two searches for what stands still.
	standstillInterval = 250 * time.Millisecond
	// standstillRepeat is the time between two log lines about the same job or task, and maxStandstillLines bounds the
	// lines of one search.
	standstillRepeat   = 3 * time.Second
	maxStandstillLines = 8
	// maxStandstillRuns bounds the runs that a line lists.
	maxStandstillRuns = 4
	// maxStandstillWorkers bounds the doubtful workers that a line lists.
	maxStandstillWorkers = 12
)

// idleness tracks since when a job, or a task that lasts, has nothing running although a task's turn has come.
type idleness struct {
	since time.Time
	// roomSince is since when there is room for it, too; zero while there isn't.
	roomSince time.Time
	// ranBefore says that something ran before that.
	ranBefore bool
	// standing says that it counts as standing still, reportedAt when that was logged last.
	standing   bool
	reportedAt time.Time
}

// standstills searches for jobs and tasks that stand still.
type standstills struct {
	searchedAt time.Time
	// count is the number that the latest search has found, lines how many of them it has logged.
	count, lines int
	// room is the room for the tasks of each step that waits.
	room map[*step]serviceRoom
}

// Standing returns how many jobs, and tasks that last, have nothing running although there is room for them.
func (c *Core) Standing() int { return c.standing.count }

// findStandstills logs the jobs and tasks that stand still, with what keeps them from running.
func (c *Core) findStandstills(now time.Time) {
	if now.Sub(c.standing.searchedAt) < standstillInterval {
		return
	}
	c.standing = standstills{searchedAt: now, room: map[*step]serviceRoom{}}
	for _, j := range c.openJobs {
		c.observeIdleness(now, &j.idle, c.turn(j), j.spec.ID)
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if !s.spec.LongRunning || !s.ready() {
					continue
				}
				for _, t := range s.tasks {
					waits := t
					if c.runs(t) {
						waits = nil
					}
					c.observeIdleness(now, &t.idle, waits, t.id.String())
				}
			}
		}
	}
}

// observeIdleness updates the idleness of a subject, a job or a task that lasts; waits is a task of it whose turn has come
// while nothing of it runs, or nil.
func (c *Core) observeIdleness(now time.Time, i *idleness, waits *task, subject string) {
	if waits == nil {
		if i.standing {
			c.sample(MeasureStandstill, now.Sub(i.since))
		}
		*i = idleness{ranBefore: true}
		return
	}
	if i.since.IsZero() {
		i.since = now
	}
	delay := standstillDelay
	if waits.step.spec.LongRunning && i.ranBefore {
		delay += restartDelay
	}
	room := c.latestRoom(waits.step)
	switch {
	case !room.owed(waits.step):
		i.roomSince = time.Time{}
	case i.roomSince.IsZero():
		i.roomSince = now
	}
	i.standing = !i.roomSince.IsZero() && now.Sub(i.roomSince) >= standstillDelay && now.Sub(i.since) >= delay
	if !i.standing {
		return
	}
	c.standing.count++
	if now.Sub(i.reportedAt) >= standstillRepeat && c.standing.lines < maxStandstillLines {
		c.standing.lines++
		i.reportedAt = now
		c.logDecision(event.Standstill, subject, c.explainStandstill(now, waits, now.Sub(i.since), room))
	}
}

// turn returns a task whose turn has come while nothing of the job runs, or nil; tasks that last count by themselves.
func (c *Core) turn(j *jobState) *task {
	var waits *task
	for _, o := range j.inOrder() {
		for _, s := range o.steps {
			if s.spec.LongRunning || s.openTasks == 0 || !s.ready() {
				continue
			}
			for _, t := range s.tasks {
				switch {
				case c.runs(t):
					return nil
				case waits == nil && !t.over():
					waits = t
				}
			}
		}
	}
	return waits
}

// runs reports whether a worker that answers lists a run of a task.
func (c *Core) runs(t *task) bool {
	if t.held() && t.state != stateAssigned && c.workers[t.worker].answers() {
		return true
	}
	return slices.ContainsFunc(t.copies, func(r copyRef) bool { return c.workers[r.Worker].answers() })
}

// serviceRoom is the room of the workers of a service that are linked and don't drain, whether they take tasks or not.
type serviceRoom struct {
	workers int
	// free and capacity are processors, in thousandths of a core; fillers reserve none.
	free, capacity int64
	// fits is how many tasks of the step would fit, at most standstillRoom a worker.
	fits int
}

// usedShare returns the reserved share of the processors.
func (r serviceRoom) usedShare() float64 { return 1 - float64(r.free)/float64(max(1, r.capacity)) }

// owed reports whether there is so much room that a task of a step must run.
func (r serviceRoom) owed(s *step) bool {
	return r.fits >= standstillRoom && (s.spec.LongRunning || r.usedShare() < maxUsedShare)
}

// latestRoom is serviceRoom at the latest search for what stands still, or later.
func (c *Core) latestRoom(s *step) serviceRoom {
	room, ok := c.standing.room[s]
	if !ok {
		room = c.serviceRoom(s)
		c.standing.room[s] = room
	}
	return room
}

// serviceRoom returns the room for tasks of a step.
func (c *Core) serviceRoom(s *step) serviceRoom {
	var out serviceRoom
	for _, w := range c.sortedWorkers {
		if !w.attached || w.info.Draining || w.info.Service != s.occ.job.spec.Policy.Service {
			continue
		}
		free := w.free()
		out.workers++
		out.free += free.MilliCPU
		out.capacity += w.info.Capacity.MilliCPU
		for n, left := 0, free; n < standstillRoom && s.spec.Demand.Fits(left); n++ {
			left = left.Sub(s.spec.Demand)
			out.fits++
		}
	}
	return out
}

// explainStandstill returns what keeps a task from running: the refusals of the workers, why the fallback for starved tasks
// doesn't apply, what the job holds, and the room as placement sees it and as it is.
func (c *Core) explainStandstill(now time.Time, t *task, idle time.Duration, room serviceRoom) string {
	s, j := t.step, t.step.occ.job
	p := c.pool(s)
	alone := 0
	for _, o := range s.tasks {
		if o.state == stateWaiting && o.startsAlone() {
			alone++
		}
	}
	starved := time.Duration(0)
	if !s.unplacedSince.IsZero() {
		starved = now.Sub(s.unplacedSince)
	}
	return fmt.Sprintf("task=%s state=%s idle=%s waiting=%d alone=%d held=%d lateness=%d unplaced=%s attempts=%d/%d queued=%s before=%d refused=%q besides_health=%q fallback=%q isolated=%q runs=%q doubtful=%q "+
		"pool_workers=%d pool_free=%d pool_capacity=%d workers=%d free=%d capacity=%d demand=%s",
		t.id, t.state, idle.Round(time.Millisecond), s.waiting, alone, j.held, j.lateness, starved.Round(time.Millisecond), len(t.failedRuns), j.spec.Policy.MaxAttempts,
		t.queuedFor(now).Round(time.Millisecond), c.suspectsBefore(now, t), c.waitReason(now, s),
		c.refusals(now, s, "health"), c.fallbackRefusal(now, s), c.isolationSummary(now), c.heldSummary(now, j), c.doubtfulSummary(now, s),
		len(p.workers), p.free, p.capacity, room.workers, room.free, room.capacity, describe(s.spec.Demand))
}

// suspectsBefore returns how many suspects come before a task in the order in which they get workers.
func (c *Core) suspectsBefore(now time.Time, t *task) int {
	return max(0, slices.Index(c.suspects(now), t))
}

// describe returns a demand as MILLICPU/MEMORY.
func describe(v resource.Vector) string { return fmt.Sprintf("%d/%d", v.MilliCPU, v.MemoryMB) }

// isolationSummary lists the workers that are kept for isolated starts, for which tasks and how long, and whether their runs
// have settled.
func (c *Core) isolationSummary(now time.Time) string {
	var out []string
	for _, w := range c.sortedWorkers {
		if w.isolated != nil {
			out = append(out, fmt.Sprintf("%s for %s state=%s quiet=%t since=%s", w.id, w.isolated.id, w.isolated.state, w.quiet(),
				now.Sub(w.isolatedAt).Round(time.Millisecond)))
		}
	}
	return strings.Join(out, ", ")
}

// heldSummary lists runs that a job is believed to have: state, worker, age, and whether the worker is linked and answers.
func (c *Core) heldSummary(now time.Time, j *jobState) string {
	var out []string
	for _, o := range j.inOrder() {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if !t.held() || len(out) == maxStandstillRuns {
					continue
				}
				w := c.workers[t.worker]
				out = append(out, fmt.Sprintf("%s run=%d state=%s worker=%s age=%s linked=%t answers=%t pace=%d pinned=%t",
					t.id, t.run, t.state, w.id, now.Sub(t.assignedAt).Round(time.Millisecond), w.attached, !w.unresponsive, w.pace, t.pinned))
			}
		}
	}
	return strings.Join(out, ", ")
}

// doubtfulSummary lists the workers that refuse tasks of a step since runs have failed or stalled there, with what ends that and since
// when a task was risked there last.
func (c *Core) doubtfulSummary(now time.Time, s *step) string {
	var out []string
	for _, w := range c.sortedWorkers {
		if w.info.Service != s.occ.job.spec.Policy.Service || !w.answers() || !c.doubts(now, w) {
			continue
		}
		if len(out) == maxStandstillWorkers {
			break
		}
		line := w.id + " " + c.health.outlook(now, w.id)
		if !w.riskedAt.IsZero() {
			line += " risked=" + now.Sub(w.riskedAt).Round(time.Millisecond).String()
		}
		out = append(out, line)
	}
	return strings.Join(out, ", ")
}
