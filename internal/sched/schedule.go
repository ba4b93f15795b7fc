package sched

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/link"
)

// itoa formats a count.
func itoa(n int) string { return strconv.Itoa(n) }

const (
	// sweepEvery is the time between two looks at what only time changes.
	sweepEvery = 50 * time.Millisecond
	// refusedAgain is how long a step waits that no worker took.
	refusedAgain = 15 * time.Millisecond
	// fillerEvery is the time between two rounds that place fillers. All of them are tried in the same
	// rounds, so that room goes to the first in the order of rank.
	fillerEvery = 25 * time.Millisecond
)

// Schedule does what the time calls for: it ends lapsed runs, opens occurrences that have come due,
// moves tasks off workers that don't do their work, and places what waits.
func (c *Core) Schedule(now time.Time) {
	c.begin(now)
	if now.Sub(c.swept) >= sweepEvery {
		c.swept = now
		c.lapse(now)
		c.evacuate(now)
		c.restart(now)
		c.race(now)
		c.stopCopies(now)
		c.repeatStops(now)
	}
	for _, j := range c.open {
		if j.spec.Timed() {
			c.ripen(now, j)
		}
	}
	c.rank(now)
	fillers := !now.Before(c.fillersAt)
	if fillers {
		c.fillersAt = now.Add(fillerEvery)
	}
	for _, j := range slices.Clone(c.open) {
		for _, o := range j.inOrder() {
			for _, s := range o.steps {
				if s.waiting > 0 && c.due(now, s, fillers) && s.ready() {
					c.place(now, s)
				}
			}
		}
	}
}

// due reports whether a step is to be tried in a round; fillers says whether the round places fillers.
func (c *Core) due(now time.Time, s *step, fillers bool) bool {
	if s.spec.Filler {
		return fillers
	}
	return !now.Before(s.again) || s.endsSeen != c.ends
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

// lateFactor is after how many times its objective a job is worth nothing more.
const lateFactor = 3

// lateness ranks jobs by what can still be gained: 0 on time, 1 late, 2 past all use. It counts the time
// that the rest of the job still takes when nothing holds it up.
func (c *Core) lateness(now time.Time, j *jobState) int {
	if j.spec.Timed() || j.spec.Lasts() {
		return 0
	}
	end := now.Add(c.rest(now, j))
	switch {
	case end.Before(j.due):
		return 0
	case end.Before(j.due.Add((lateFactor - 1) * j.spec.Objective())):
		return 1
	}
	return 2
}

// rest estimates the time that the longest chain of a job's open steps still takes.
func (c *Core) rest(now time.Time, j *jobState) time.Duration {
	longest := time.Duration(0)
	for _, o := range j.occurrences {
		ends := make([]time.Duration, len(o.steps))
		for i, s := range o.steps {
			for _, d := range s.spec.DependsOn {
				ends[i] = max(ends[i], ends[d])
			}
			ends[i] += c.restOf(now, s)
			longest = max(longest, ends[i])
		}
	}
	return longest
}

// restOf estimates the time that a step still takes.
func (c *Core) restOf(now time.Time, s *step) time.Duration {
	if s.left == 0 {
		return 0
	}
	if s.waiting > 0 {
		return c.usual(s)
	}
	longest := time.Duration(0)
	for _, t := range s.tasks {
		if t.held() {
			longest = max(longest, t.remaining(now))
		}
	}
	return longest
}

// usual returns how long a task of a step usually takes: what was declared, corrected by what was seen of
// the queue.
func (c *Core) usual(s *step) time.Duration {
	whole := time.Duration(s.spec.EstimateMS) * time.Millisecond
	if ratio, ok := c.durations[s.occ.job.spec.Policy.Queue]; ok {
		return time.Duration(float64(whole) * ratio)
	}
	return whole
}

// rank orders the open jobs: by priority, lasting ones first, then those that can still be on time, then
// fillers with the least work left, then by the time they are due. In a burst that can't be served whole,
// the least work first completes the most jobs on time; by the time they are due all would end late.
func (c *Core) rank(now time.Time) {
	for _, j := range c.open {
		j.lateness = c.lateness(now, j)
		j.fillerWork = j.fillerWorkLeft()
	}
	slices.SortStableFunc(c.open, func(a, b *jobState) int {
		return cmp.Or(
			cmp.Compare(a.spec.Policy.Priority, b.spec.Policy.Priority),
			-cmp.Compare(toInt(a.spec.Lasts()), toInt(b.spec.Lasts())),
			cmp.Compare(a.lateness, b.lateness),
			cmp.Compare(a.fillerWork, b.fillerWork),
			a.due.Compare(b.due),
			strings.Compare(a.spec.ID, b.spec.ID),
		)
	})
}

// fillerWorkLeft returns the declared work of a job's fillers that are not done, in core-milliseconds.
func (j *jobState) fillerWorkLeft() int64 {
	sum := int64(0)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.spec.Filler {
				sum += int64(s.left) * s.spec.Demand.MilliCPU * s.spec.EstimateMS / 1000
			}
		}
	}
	return sum
}

// toInt returns 1 for true.
func toInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// place places the waiting tasks of a step.
func (c *Core) place(now time.Time, s *step) {
	among := c.feasible(now, s)
	if len(among) == 0 && s.occ.job.spec.Policy.Advice != nil {
		c.ask(now, s)
	}
	if s.spec.Gang {
		c.placeGang(now, s, among)
		return
	}
	r := c.rankFor(now, s, among)
	for _, t := range s.tasks {
		if t.state != stateWaiting {
			continue
		}
		i := r.best(t)
		if i < 0 {
			c.refused(now, t, among)
			return
		}
		c.assign(now, t, r.workers[i], 0)
		r.taken(i)
	}
	s.refused = time.Time{}
}

// starvedAfter is how long no worker may take a task of a step before it may use room that is kept for
// others: a lasting task that for short ones, a filler of a job that has nothing running that of serving
// tasks, where local control slows it down.
const starvedAfter = 1500 * time.Millisecond

// refused does what is left when no worker takes a task.
func (c *Core) refused(now time.Time, t *task, among []*worker) {
	s := t.step
	s.again, s.endsSeen = now.Add(refusedAgain), c.ends
	if s.refused.IsZero() {
		s.refused = now
	}
	if !s.spec.Filler {
		if len(among) == 0 {
			c.preempt(now, t)
		}
		return
	}
	if s.occ.job.held > 0 || !s.starved(now) || s.occ.job.lateness > 0 && c.pool(s).busy() {
		return
	}
	if w := c.leastDisturbed(now, t); w != nil {
		c.assign(now, t, w, 0)
		t.pinned = true
	}
}

// leastDisturbed returns the worker on which a filler raises the tails of others least, among those that
// it fits on.
func (c *Core) leastDisturbed(now time.Time, t *task) *worker {
	var best *worker
	var most float64
	for _, w := range c.order {
		if c.refuseBut(now, t.step, w, "tails", "filler") != "" {
			continue
		}
		if room := c.leastRoom(now, t, w); best == nil || room > most {
			best, most = w, room
		}
	}
	return best
}

// leastRoom returns the least headroom that a serving task on a worker is left with beside a filler.
func (c *Core) leastRoom(now time.Time, t *task, w *worker) float64 {
	least := math.Inf(1)
	for _, g := range c.servedOn(now, w) {
		least = min(least, g.room-c.effect(g.image, t.step.spec))
	}
	return least
}

// placeGang places all tasks of a gang together or none; they share one run number.
func (c *Core) placeGang(now time.Time, s *step, among []*worker) {
	run := 0
	for _, t := range s.tasks {
		if t.state != stateWaiting {
			return
		}
		run = max(run, t.run)
	}
	var placed []*task
	r := c.rankFor(now, s, among)
	for _, t := range s.tasks {
		i := r.best(t)
		if i < 0 {
			for _, p := range placed {
				c.unassign(p)
			}
			s.again, s.endsSeen = now.Add(refusedAgain), c.ends
			return
		}
		// Taken for now, so that the next member sees the room gone.
		t.worker = r.workers[i].id
		t.move(eventAssign)
		c.hold(now, t)
		r.taken(i)
		placed = append(placed, t)
	}
	for _, t := range placed {
		w := c.workers[t.worker]
		c.unassign(t)
		c.assign(now, t, w, run+1)
	}
}

// unassign takes back an assignment that has not been recorded.
func (c *Core) unassign(t *task) {
	t.move(eventEnd)
	c.drop(t)
}

// assign gives a task its next run; with a run number of 0 it gets its own next one.
func (c *Core) assign(now time.Time, t *task, w *worker, run int) {
	if run == 0 {
		run = t.run + 1
	}
	t.run, t.worker, t.assigned = run, w.id, now
	t.appeared, t.progress, t.atWork = time.Time{}, now, time.Time{}
	t.percent, t.pinned = 0, false
	if !t.step.spec.LongRunning {
		t.step.refused = time.Time{}
	}
	t.move(eventAssign)
	c.hold(now, t)
	j := t.step.occ.job
	if p := c.round.pools[j.spec.Policy.Service]; p != nil {
		p.free -= t.step.spec.Reserve().MilliCPU
	}
	if j.state == Queued {
		c.sample(MeasureWait, time.Duration(now.UnixMilli()-j.spec.AcceptedMS)*time.Millisecond)
		j.state = Running
	}
	c.touch(j)
	d := c.ordersFor(c.gated, w.id)
	d.Start = append(d.Start, link.Start{
		Traits: t.traits(), Payload: j.spec.Payload, Checkpoint: t.checkpoint, Ticket: t.step.tickets[w.id].text,
	})
	c.health.started(now, w.id, t)
	c.note(event.Place, t.id.String(), fmt.Sprintf("run=%d worker=%s free=%d spare=%d pace=%d slack=%s",
		run, w.id, w.free().MilliCPU, w.spare(), w.pace, j.due.Sub(now).Round(time.Millisecond)))
}

// preempt makes room for a task by stopping runs of less urgent jobs on one worker.
func (c *Core) preempt(now time.Time, t *task) {
	var best *worker
	var victims []*task
	for _, w := range c.order {
		got := c.victims(now, t, w)
		if got != nil && (best == nil || len(got) < len(victims) || len(got) == len(victims) && w.id < best.id) {
			best, victims = w, got
		}
	}
	for _, v := range victims {
		c.stop(now, v, "gives way to "+t.id.String())
	}
}

// victims returns the runs to stop so that a task fits on a worker; nil when that doesn't help, or when
// enough is ending already.
func (c *Core) victims(now time.Time, t *task, w *worker) []*task {
	if c.refuseBut(now, t.step, w, "capacity") != "" {
		return nil
	}
	free := w.free()
	need := t.step.spec.Reserve()
	var able []*task
	for _, v := range w.tasks {
		r := v.step.spec.Reserve()
		switch {
		case v.state == stateStopping:
			free = free.Add(r)
		case v.step.occ.job.spec.Policy.Priority > t.step.occ.job.spec.Policy.Priority && !v.step.spec.LongRunning:
			able = append(able, v)
		}
	}
	if need.Fits(free) {
		return nil
	}
	// The runs that have done least are stopped first.
	slices.SortFunc(able, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.percent, b.percent), strings.Compare(a.id.String(), b.id.String()))
	})
	for i, v := range able {
		free = free.Add(v.step.spec.Reserve())
		if need.Fits(free) {
			return able[:i+1]
		}
	}
	return nil
}
