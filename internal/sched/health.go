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
	// stallTimeout is the shortest time that a run may make no progress before it counts as stalled; see package stall.
	stallTimeout = 1500 * time.Millisecond
	// fillerStallTimeout is that of fillers, which may find little spare processor time.
	fillerStallTimeout = 4 * time.Second
	// slowFillerTimeout is how long a filler stays on a worker whose local control throttles it.
	slowFillerTimeout = 1200 * time.Millisecond
	// idleTimeout is how long a long-running task may be idle after it was at work, and at least after its start.
	idleTimeout = 2500 * time.Millisecond
	// startupFactor is how many times the longest startup among the tasks of its step a long-running task may take
	// until it is at work.
	startupFactor = 2
	// maxStartup is how long a long-running task may take until it is at work while no other task of its step shows
	// how long that takes: images differ, and some take seconds.
	maxStartup = 8 * time.Second
	// fullPace is the pace, in percent, of runs that aren't slowed down.
	fullPace = 100
	// suspectDuration is how long a worker gets no tasks after a run has stalled there.
	suspectDuration = 5 * time.Second
	// refusalBlock is how long a worker gets no tasks after it has refused one.
	refusalBlock = 250 * time.Millisecond
	// refusedTask is the reason of that block.
	refusedTask = "refused a task"
	// suspectPenalty lowers the score of workers that were blocked recently, so that others are preferred.
	suspectPenalty = 0.5
	// suspectPenaltyDuration is how long suspectPenalty applies after the block has ended.
	suspectPenaltyDuration = 15 * time.Second
)

// probationLimits are shorter than the defaults, which suit long-lived pools: a worker that fails everything
// must be detected within some seconds and retried after a short time.
func probationLimits() probation.Limits {
	l := probation.DefaultLimits()
	l.First = 4 * time.Second
	l.Max = time.Minute
	l.Window = 10 * time.Second
	// A worker that fails everything does so within a tenth of a second after the start.
	l.Proof = time.Second
	return l
}

// health tracks the reliability of workers.
type health struct {
	track *probation.Tracker
	// blockedUntil is the time until which a worker gets no tasks, blockReason why, and blockedAt since when.
	blockedUntil, blockedAt map[string]time.Time
	blockReason             map[string]string
}

// newHealth returns a health without history.
func newHealth() *health {
	return &health{track: probation.New(probationLimits()), blockedUntil: map[string]time.Time{}, blockedAt: map[string]time.Time{}, blockReason: map[string]string{}}
}

// refusal returns why a worker gets no tasks now, or an empty string.
func (h *health) refusal(now time.Time, id string) string {
	if now.Before(h.blockedUntil[id]) {
		return h.blockReason[id]
	}
	return h.track.Refuse(now, id)
}

// distrust reports whether a worker gets no tasks now for more than the moment after it has refused one.
func (h *health) distrust(now time.Time, id string) bool {
	return now.Before(h.blockedUntil[id]) && h.blockReason[id] != refusedTask || h.track.Refuse(now, id) != ""
}

// doubtfulUntil returns until when a worker's block or probation lasts.
func (h *health) doubtfulUntil(now time.Time, id string) time.Time {
	until, _ := h.track.Outlook(now, id)
	return laterOf(until, h.blockedUntil[id])
}

// outlook describes what ends the refusals of a worker: the time until its block or probation is over, and the task on trial there.
func (h *health) outlook(now time.Time, id string) string {
	_, trial := h.track.Outlook(now, id)
	out := "over_in=" + max(0, h.doubtfulUntil(now, id).Sub(now)).Round(time.Millisecond).String()
	if trial != "" {
		out += " trial=" + trial
	}
	return out
}

// penalty returns how much to deduct from a worker's score for its recent blocks.
func (h *health) penalty(now time.Time, id string) float64 {
	if u, ok := h.blockedUntil[id]; ok && now.Sub(u) < suspectPenaltyDuration {
		return suspectPenalty
	}
	return 0
}

// block keeps tasks off a worker from now until a time.
func (h *health) block(now, until time.Time, id, reason string) {
	if until.After(h.blockedUntil[id]) {
		h.blockedUntil[id], h.blockReason[id], h.blockedAt[id] = until, reason, now
	}
}

// unblock ends the block of a worker that lists progress of a run which was assigned since and has been listed for long enough.
func (h *health) unblock(now time.Time, id string, t *task) {
	progresses := laterOf(t.progressAt, t.lastActive).Equal(now)
	if progresses && now.Before(h.blockedUntil[id]) && t.assignedAt.After(h.blockedAt[id]) && now.Sub(t.appearedAt) >= probationLimits().Proof {
		h.blockedUntil[id] = now
	}
}

// hasTrial reports whether a worker is on trial after probation with a task.
func (h *health) hasTrial(now time.Time, id string) bool {
	return h.track.State(now, id) == probation.Trial && h.track.Refuse(now, id) != ""
}

// proving reports whether a worker on trial has passed one since its last failure.
func (h *health) proving(now time.Time, id string) bool { return h.track.Proving(now, id) }

// started records the start of a run.
func (h *health) started(now time.Time, id string, t *task) { h.track.Started(now, id, t.id.String()) }

// listed records that a worker lists the newest run of a task.
func (h *health) listed(now time.Time, id string, t *task) {
	h.unblock(now, id, t)
	if h.track.State(now, id) != probation.Good {
		h.track.Listed(now, id, t.id.String())
	}
}

// left records that a task has left a worker without an end that counts.
func (h *health) left(id string, t *task) { h.track.Removed(id, t.id.String()) }

// ended records the end of a run; requested says that a stop was sent for it.
func (h *health) ended(now time.Time, id string, t *task, o link.Outcome, requested bool) {
	name := t.id.String()
	switch {
	case o == link.Done:
		h.track.Ended(now, id, name, false)
		h.track.Done(name)
	case o == link.Failed:
		h.track.Ended(now, id, name, true)
	default:
		h.track.Removed(id, name)
	}
	if o == link.Absent && !requested {
		h.block(now, now.Add(refusalBlock), id, refusedTask)
	}
}

// stopStalled stops stalled runs and throttled fillers, so that their tasks run elsewhere.
func (c *Core) stopStalled(now time.Time) {
	for _, w := range c.sortedWorkers {
		if !w.attached {
			continue
		}
		for _, t := range w.tasks {
			if t.throttled(now, w) {
				c.stopRun(now, t, "slowed down for serving tasks")
				continue
			}
			if reason := t.stallReason(w); reason != "" {
				c.health.block(now, now.Add(suspectDuration), w.id, "runs stand still")
				c.logDecision(event.Suspect, w.id, fmt.Sprintf("task=%s %s", t.id, reason))
				c.stopRun(now, t, reason)
			}
		}
	}
}

// throttled reports whether a filler has been throttled for long enough to run elsewhere.
func (t *task) throttled(now time.Time, w *worker) bool {
	if !t.step.spec.Filler || t.state != stateRunning || t.pinned || w.pace >= minFillerPace {
		return false
	}
	return now.Sub(w.slowSince) > slowFillerTimeout && now.Sub(t.assignedAt) > slowFillerTimeout
}

// stallReason returns why a run counts as stalled, or an empty string. It counts up to the latest listing that shows the
// run or is complete: what a worker that is slow to report does since then isn't known, and a run that a listing which is cut
// short doesn't show may have ended.
func (t *task) stallReason(w *worker) string {
	if t.state != stateRunning {
		return ""
	}
	if t.step.spec.LongRunning {
		return when(t.listedAt.Sub(t.idleSince()) > t.idleLimit(), "not at work")
	}
	if t.step.spec.Gang {
		return ""
	}
	least, pace := stallTimeout, fullPace
	if t.step.spec.Filler {
		least, pace = fillerStallTimeout, w.pace
		if w.pace < minFillerPace {
			return ""
		}
	}
	limit := t.progress.Limit(least, time.Duration(t.step.spec.EstimateMS)*time.Millisecond, pace)
	return when(t.listedAt.Sub(t.progressAt) > limit, "no progress")
}

// idleLimit returns how long a long-running task may be idle. A worker on which tasks stand still is told from an image
// that is slow to start by the other tasks of the step.
func (t *task) idleLimit() time.Duration {
	switch {
	case !t.lastActive.IsZero():
		return idleTimeout
	case t.step.startup > 0:
		return max(idleTimeout, startupFactor*t.step.startup)
	}
	return maxStartup
}

// idleSince returns when a long-running task was last reported at work, or else when it appeared.
func (t *task) idleSince() time.Time {
	return slices.MaxFunc([]time.Time{t.appearedAt, t.lastActive}, time.Time.Compare)
}

// maxListingGap is the longest time between two listings that counts towards a stall; a guard reports several times a
// second, and its link ends after 1.5 s without a message.
const maxListingGap = 2 * time.Second

// excuseSilence keeps the time for which a worker was silent from counting as a stall of its runs: it may have been
// suspended.
func (w *worker) excuseSilence(now time.Time) {
	gap := now.Sub(w.listedAt)
	if w.listedAt.IsZero() || gap <= maxListingGap {
		return
	}
	for _, t := range w.tasks {
		t.progressAt = t.progressAt.Add(gap)
		if !t.missingSince.IsZero() {
			t.missingSince = t.missingSince.Add(gap)
		}
		if !t.step.spec.LongRunning {
			continue
		}
		for _, at := range []*time.Time{&t.appearedAt, &t.lastActive} {
			if !at.IsZero() {
				*at = at.Add(gap)
			}
		}
	}
}

// evacuate stops the tasks on draining workers that are long-running or can't end in the time remaining.
func (c *Core) evacuate(now time.Time) {
	for _, w := range c.sortedWorkers {
		if !w.attached || !w.info.Draining {
			continue
		}
		left := time.Duration(w.info.RemainingMS)*time.Millisecond - now.Sub(w.drainReportedAt)
		for _, t := range w.tasks {
			if t.state != stateStopping && (t.step.spec.LongRunning || t.remaining(now) > left) {
				c.stopRun(now, t, fmt.Sprintf("worker drains, %s left", left.Round(time.Millisecond)))
			}
		}
	}
}

// remaining estimates the remaining duration of a run.
func (t *task) remaining(now time.Time) time.Duration {
	whole := time.Duration(t.step.spec.EstimateMS) * time.Millisecond
	if t.percent <= 0 || t.appearedAt.IsZero() {
		return whole
	}
	ran := now.Sub(t.appearedAt)
	return time.Duration(float64(ran) * (100 - t.percent) / t.percent)
}

// durationRatios holds the ratio of actual to declared durations, by queue.
type durationRatios map[string]float64

// durationWeight is the weight of the newest duration in the moving average.
const durationWeight = 0.1

// learnDuration updates the duration ratio with a task that succeeded.
func (c *Core) learnDuration(now time.Time, t *task, o link.Outcome) {
	est := float64(t.step.spec.EstimateMS)
	if o != link.Done || est <= 0 || t.appearedAt.IsZero() {
		return
	}
	ratio := float64(now.Sub(t.appearedAt).Milliseconds()) / est
	key := t.step.occ.job.spec.Policy.Queue
	old, ok := c.durationRatios[key]
	if !ok {
		old = ratio
	}
	c.durationRatios[key] = old + durationWeight*(ratio-old)
}
