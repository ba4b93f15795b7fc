package guard

import "github.com/crocusspring/crocusspring/internal/link"

const (
	// fullPace leaves a filler all that it can get, in percent.
	fullPace = 100
	// tailHigh is the part of a serving task's target above which it is in trouble. Below it fillers get
	// pace back: beside a task that is near its target by its own load they would stand still otherwise.
	tailHigh = 1.0
	// figureSpanMS is the span that one figure of a worker covers, in milliseconds; the pace changes at
	// most once in it.
	figureSpanMS = 500
	// patienceMS is how long a task may be in trouble before fillers are slowed: the owner, which knows
	// what disturbs what, moves the right ones away before.
	patienceMS = 1200
	// cut is the factor by which fillers are slowed, risePercent what they get back.
	cut         = 0.3
	risePercent = 25
	// leastPace is the lowest pace but zero.
	leastPace = 10
)

// pacer sets the pace of all fillers on a worker by the tails of the tasks that serve there. It is the
// last resort, which works without an owner.
type pacer struct {
	percent float64
	// changedMS is when the pace changed last, highMS since when a task is in trouble; 0 for not.
	changedMS, highMS int64
}

// newPacer returns a pacer that leaves fillers alone.
func newPacer() pacer { return pacer{percent: fullPace} }

// share returns the pace in whole percent.
func (p *pacer) share() int { return int(p.percent) }

// observe takes the newest tails.
func (p *pacer) observe(nowMS int64, runs map[link.RunRef]*run) {
	worst, fillers := 0.0, false
	for _, r := range runs {
		if r.TailTargetMS > 0 && r.phase == listed {
			worst = max(worst, r.figure/float64(r.TailTargetMS))
		}
		fillers = fillers || r.Filler
	}
	switch {
	case worst < tailHigh:
		p.highMS = 0
	case p.highMS == 0:
		p.highMS = nowMS
	}
	if nowMS-p.changedMS < figureSpanMS {
		return
	}
	before := p.percent
	switch {
	case !fillers:
		p.percent = fullPace
	case p.highMS > 0 && nowMS-p.highMS >= patienceMS:
		p.percent *= cut
	case worst < tailHigh:
		p.percent = min(fullPace, p.percent+risePercent)
	}
	if p.percent < leastPace {
		p.percent = 0
	}
	if p.percent != before {
		p.changedMS = nowMS
	}
}
