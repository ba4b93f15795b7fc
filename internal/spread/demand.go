package spread

import (
	"math"
	"time"
)

// demandHalfLife is how long it takes until a demand that has ended counts half.
const demandHalfLife = time.Minute

// Demand remembers the part of a capacity that was asked for: its newest peak, which fades. The zero value has seen none.
type Demand struct {
	peak float64
	at   time.Time
}

// Observe takes the part of the capacity that is asked for now.
func (d *Demand) Observe(now time.Time, share float64) {
	if share = min(max(share, 0), 1); share >= d.Expected(now) {
		d.peak, d.at = share, now
	}
}

// Expected returns the part of the capacity that is asked for or was, fading.
func (d *Demand) Expected(now time.Time) float64 {
	if d.peak == 0 {
		return 0
	}
	return d.peak * math.Exp2(-now.Sub(d.at).Seconds()/demandHalfLife.Seconds())
}
