package route

import (
	"math"
	"time"
)

const (
	// decayTime is the time constant of the average: the weight of an old value falls to 1/e in it.
	decayTime = time.Second
	// minSampleWeight is the least weight of a new sample.
	minSampleWeight = 0.08
	// overdueFactor is how many times the average a request must be unanswered before its age replaces
	// the average.
	overdueFactor = 4
)

// Latency is the moving average of a target's latency. A sample is only available after the answer, so a
// request that is overdue counts by its age. The zero value is ready to use.
type Latency struct {
	value     time.Duration
	updatedAt time.Time
}

// Sample adds the latency of an answer received now.
func (l *Latency) Sample(now time.Time, d time.Duration) {
	if l.updatedAt.IsZero() {
		l.value, l.updatedAt = d, now
		return
	}
	w := max(minSampleWeight, 1-math.Exp(-float64(now.Sub(l.updatedAt))/float64(decayTime)))
	l.value += time.Duration(float64(d-l.value) * w)
	l.updatedAt = now
}

// Value returns the average, or the age of the oldest unanswered request if that request is overdue.
func (l *Latency) Value(oldest time.Duration) time.Duration {
	if oldest > overdueFactor*l.value {
		return oldest
	}
	return l.value
}
