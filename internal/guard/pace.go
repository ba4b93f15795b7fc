package guard

import "github.com/crocusspring/crocusspring/internal/link"

const (
	// fullPace is the pace of a filler that isn't slowed, in percent.
	fullPace = 100
	// maxTailRatio is the ratio of a serving task's tail latency to its target from which on the task counts as
	// over its target. Below it fillers regain pace: with a lower limit they would stay stopped beside a task
	// that is near its target because of its own load.
	maxTailRatio = 1.0
	// measurementSpanMS is the time that one measurement of a worker covers, in milliseconds; the pace changes at
	// most once in it.
	measurementSpanMS = 500
	// slowdownDelayMS is how long a task must be over its target before fillers are slowed, in milliseconds: the
	// owner, which knows which fillers interfere with which tasks, stops the right ones before.
	slowdownDelayMS = 1200
	// slowdownFactor is the factor by which one change slows fillers, paceRecoveryPercent the pace that they regain
	// in one change.
	slowdownFactor      = 0.3
	paceRecoveryPercent = 25
	// minPace is the lowest pace above zero, in percent; a lower one becomes zero.
	minPace = 10
)

// pacer controls the pace of all fillers on a worker by the tail latencies of the serving tasks there. It is
// the last resort, which works without an owner.
type pacer struct {
	percent float64
	// changedMS is when the pace changed last, and overTargetSinceMS since when a task is over its target, 0 when
	// none is.
	changedMS, overTargetSinceMS int64
}

// newPacer returns a pacer that leaves fillers at full pace.
func newPacer() pacer { return pacer{percent: fullPace} }

// wholePercent returns the pace rounded down to a whole percent.
func (p *pacer) wholePercent() int { return int(p.percent) }

// observe adjusts the pace to the newest measurements.
func (p *pacer) observe(nowMS int64, runs map[link.RunRef]*run) {
	worst, fillers := 0.0, false
	for _, r := range runs {
		if r.TailTargetMS > 0 && r.phase == listed {
			worst = max(worst, r.measurement/float64(r.TailTargetMS))
		}
		fillers = fillers || r.Filler
	}
	switch {
	case worst < maxTailRatio:
		p.overTargetSinceMS = 0
	case p.overTargetSinceMS == 0:
		p.overTargetSinceMS = nowMS
	}
	if nowMS-p.changedMS < measurementSpanMS {
		return
	}
	before := p.percent
	switch {
	case !fillers:
		p.percent = fullPace
	case p.overTargetSinceMS > 0 && nowMS-p.overTargetSinceMS >= slowdownDelayMS:
		p.percent *= slowdownFactor
	case worst < maxTailRatio:
		p.percent = min(fullPace, p.percent+paceRecoveryPercent)
	}
	if p.percent < minPace {
		p.percent = 0
	}
	if p.percent != before {
		p.changedMS = nowMS
	}
}
