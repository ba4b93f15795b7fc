package sched

import (
	"fmt"
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/link"
	"github.com/crocusspring/crocusspring/internal/probation"
)

const (
	// stallAfter is how long a run may make no progress before it is taken to stand still; a task's
	// progress is given in whole percent and the longest tasks take some seconds.
	stallAfter = 1500 * time.Millisecond
	// fillerStallAfter is longer, since fillers may find little processor time left over.
	fillerStallAfter = 4 * time.Second
	// slowFor is how long a filler stays on a worker whose local control leaves it little.
	slowFor = 1200 * time.Millisecond
	// idleAfter is how long a lasting task may be away from its work after a start.
	idleAfter = 2500 * time.Millisecond
	// suspectFor is how long a worker gets no tasks after runs have stood still there.
	suspectFor = 5 * time.Second
	// refusedFor is how long a worker gets no tasks after it has refused one.
	refusedFor = 250 * time.Millisecond
	// suspectPenalty keeps tasks off workers that were suspect lately, if others are left.
	suspectPenalty = 0.5
	// suspectMemory is how long that is remembered.
	suspectMemory = 15 * time.Second
)

// probationLimits are shorter than those of long-lived pools: a worker that fails everything is to be
// found within some seconds, and is tried again soon.
func probationLimits() probation.Limits {
	l := probation.DefaultLimits()
	l.First = 4 * time.Second
	l.Max = time.Minute
	l.Window = 10 * time.Second
	return l
}

// health remembers how workers have done.
type health struct {
	track *probation.Tracker
	// until is how long a worker gets no tasks, and why.
	until map[string]time.Time
	why   map[string]string
}

// newHealth returns an empty memory.
func newHealth() *health {
	return &health{track: probation.New(probationLimits()), until: map[string]time.Time{}, why: map[string]string{}}
}

// refuse returns why a worker gets no tasks now.
func (h *health) refuse(now time.Time, id string) string {
	if now.Before(h.until[id]) {
		return h.why[id]
	}
	return h.track.Refuse(now, id)
}

// penalty returns how much less a worker is liked for what it did lately.
func (h *health) penalty(now time.Time, id string) float64 {
	if u, ok := h.until[id]; ok && now.Sub(u) < suspectMemory {
		return suspectPenalty
	}
	return 0
}

// block keeps tasks off a worker for a time.
func (h *health) block(until time.Time, id, why string) {
	if until.After(h.until[id]) {
		h.until[id], h.why[id] = until, why
	}
}

// started notes a run.
func (h *health) started(now time.Time, id string, t *task) { h.track.Started(now, id, t.id.String()) }

// ended notes the end of a run.
func (h *health) ended(now time.Time, id string, t *task, o link.Outcome, ordered bool) {
	name := t.id.String()
	switch {
	case o == link.Done:
		h.track.Ended(now, id, name, false)
		h.track.Done(name)
	case o == link.Failed:
		h.track.Ended(now, id, name, true)
	default:
		h.track.Gone(id, name)
	}
	if o == link.Absent && !ordered {
		h.block(now.Add(refusedFor), id, "refused a task")
	}
}

// restart stops runs that stand still, so that their tasks run elsewhere.
func (c *Core) restart(now time.Time) {
	for _, w := range c.order {
		if !w.attached {
			continue
		}
		for _, t := range w.tasks {
			if t.slowed(now, w) {
				c.stop(now, t, "slowed down for serving tasks")
				continue
			}
			if why := t.stalled(now, w); why != "" {
				c.health.block(now.Add(suspectFor), w.id, "runs stand still")
				c.note(event.Suspect, w.id, fmt.Sprintf("task=%s %s", t.id, why))
				c.stop(now, t, why)
			}
		}
	}
}

// slowed reports whether a filler has been slowed down for long enough to run elsewhere.
func (t *task) slowed(now time.Time, w *worker) bool {
	if !t.step.spec.Filler || t.state != stateRunning || t.pinned || w.pace >= fillerPace {
		return false
	}
	return now.Sub(w.slowAt) > slowFor && now.Sub(t.assigned) > slowFor
}

// stalled returns why a run is taken to stand still, or an empty string.
func (t *task) stalled(now time.Time, w *worker) string {
	if t.state != stateRunning {
		return ""
	}
	if t.step.spec.LongRunning {
		since := slices.MaxFunc([]time.Time{t.appeared, t.atWork}, time.Time.Compare)
		return when(now.Sub(since) > idleAfter, "not at work")
	}
	if t.step.spec.Gang {
		return ""
	}
	limit := stallAfter
	if t.step.spec.Filler {
		limit = fillerStallAfter
		if w.pace < fillerPace {
			return ""
		}
	}
	return when(now.Sub(t.progress) > limit, "no progress")
}

// evacuate moves tasks off draining workers when they can't end there in the time that is left.
func (c *Core) evacuate(now time.Time) {
	for _, w := range c.order {
		if !w.attached || !w.info.Draining {
			continue
		}
		left := time.Duration(w.info.RemainingMS)*time.Millisecond - now.Sub(w.drainSeen)
		for _, t := range w.tasks {
			if t.state != stateStopping && (t.step.spec.LongRunning || t.remaining(now) > left) {
				c.stop(now, t, fmt.Sprintf("worker drains, %s left", left.Round(time.Millisecond)))
			}
		}
	}
}

// remaining estimates how long a run still takes.
func (t *task) remaining(now time.Time) time.Duration {
	whole := time.Duration(t.step.spec.EstimateMS) * time.Millisecond
	if t.percent <= 0 || t.appeared.IsZero() {
		return whole
	}
	ran := now.Sub(t.appeared)
	return time.Duration(float64(ran) * (100 - t.percent) / t.percent)
}

// durations holds the ratio of real to declared durations, by queue.
type durations map[string]float64

// durationWeight is the weight of the newest duration in the running mean.
const durationWeight = 0.1

// learn takes the duration of a task that succeeded.
func (c *Core) learn(now time.Time, t *task, o link.Outcome) {
	est := float64(t.step.spec.EstimateMS)
	if o != link.Done || est <= 0 || t.appeared.IsZero() {
		return
	}
	ratio := float64(now.Sub(t.appeared).Milliseconds()) / est
	key := t.step.occ.job.spec.Policy.Queue
	old, ok := c.durations[key]
	if !ok {
		old = ratio
	}
	c.durations[key] = old + durationWeight*(ratio-old)
}
