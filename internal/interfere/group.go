package interfere

import "time"

const (
	// firstVariance is the variance of a level without readings, firstSlopeVariance that of its slope.
	firstVariance      = 4.0
	firstSlopeVariance = 0.1
	// jerkVariance is how much the variance of the slope grows in a second: a load swings within some ten seconds.
	jerkVariance = 0.03
	// knownVariance is the variance of a level below which it is used.
	knownVariance = 0.1
	// maxGap is the longest time without a reading after which a group starts anew.
	maxGap = 3 * time.Second
)

// group follows the headroom that the tasks of one step would have without fillers: a Kalman filter of a level and its
// slope, for each second.
type group struct {
	at           time.Time
	level, slope float64
	// p holds the covariance of level and slope.
	p [2][2]float64
}

// newGroup returns a group without readings.
func newGroup(now time.Time) *group {
	return &group{at: now, p: [2][2]float64{{firstVariance, 0}, {0, firstSlopeVariance}}}
}

// known reports whether the level is known well enough to be used.
func (g *group) known() bool { return g.p[0][0] < knownVariance }

// levelVariance returns the variance of the level.
func (g *group) levelVariance() float64 { return g.p[0][0] }

// advance predicts the state at a later time.
func (g *group) advance(now time.Time) {
	gap := now.Sub(g.at)
	if gap <= 0 {
		return
	}
	if gap > maxGap {
		*g = *newGroup(now)
		return
	}
	t := gap.Seconds()
	g.at = now
	g.level += g.slope * t
	p := g.p
	q := jerkVariance * t
	g.p[0][0] = p[0][0] + 2*t*p[0][1] + t*t*p[1][1] + q*t*t/3
	g.p[0][1] = p[0][1] + t*p[1][1] + q*t/2
	g.p[1][0] = g.p[0][1]
	g.p[1][1] = p[1][1] + q
}

// observe takes a reading of the level.
func (g *group) observe(level, variance float64) {
	s := g.p[0][0] + variance
	k0, k1 := g.p[0][0]/s, g.p[1][0]/s
	err := level - g.level
	g.level += k0 * err
	g.slope += k1 * err
	p := g.p
	g.p[0][0] = (1 - k0) * p[0][0]
	g.p[0][1] = (1 - k0) * p[0][1]
	g.p[1][0] = g.p[0][1]
	g.p[1][1] = p[1][1] - k1*p[0][1]
}
