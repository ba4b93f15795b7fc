package guard

import "github.com/crocusspring/crocusspring/internal/link"

const (
	// fullPace leaves a filler all that it can get, in percent.
	fullPace = 100
	// tailHigh and tailNear are parts of a serving task's target from which fillers are slowed down
	// hard and gently; below tailLow they get more again. Tails are rough figures of the last half
	// second, so the bounds lie well under the target.
	tailHigh = 1.0
	tailNear = 0.8
	tailLow  = 0.65
	// cutHard and cutGently are the factors by which fillers are slowed, risePercent what they get back
	// at each look.
	cutHard     = 0.5
	cutGently   = 0.8
	risePercent = 10
	// leastPace is the lowest pace but zero.
	leastPace = 10
)

// pacer sets the pace of all fillers on a worker by the tails of the tasks that serve there.
type pacer struct{ percent float64 }

// newPacer returns a pacer that leaves fillers alone.
func newPacer() pacer { return pacer{percent: fullPace} }

// share returns the pace in whole percent, in steps that are worth an order.
func (p *pacer) share() int {
	const grain = 5
	return int(p.percent) / grain * grain
}

// observe takes the newest tails.
func (p *pacer) observe(runs map[link.RunRef]*run) {
	worst, fillers := 0.0, false
	for _, r := range runs {
		if r.TailTargetMS > 0 && r.phase == listed {
			worst = max(worst, r.figure/float64(r.TailTargetMS))
		}
		fillers = fillers || r.Filler
	}
	switch {
	case !fillers && worst < tailNear:
		p.percent = fullPace
	case worst >= tailHigh:
		p.percent *= cutHard
	case worst >= tailNear:
		p.percent *= cutGently
	case worst < tailLow:
		p.percent = min(fullPace, p.percent+risePercent)
	}
	if p.percent < leastPace {
		p.percent = 0
	}
}
