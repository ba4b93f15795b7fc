package route

import (
	"math"
	"time"
)

const (
	// fade is the time after which an old latency counts for 1/e.
	fade = time.Second
	// leastWeight is the least weight of a sample.
	leastWeight = 0.08
	// overdue is how many times the average a request must be without an answer to count itself.
	overdue = 4
)

// Latency is the moving average of a target's latency. Samples come late, so a request that is long
// without an answer counts by its age. The zero value is ready to use.
type Latency struct {
	value time.Duration
	at    time.Time
}

// Sample folds the latency of an answer that came now.
func (l *Latency) Sample(now time.Time, d time.Duration) {
	if l.at.IsZero() {
		l.value, l.at = d, now
		return
	}
	w := max(leastWeight, 1-math.Exp(-float64(now.Sub(l.at))/float64(fade)))
	l.value += time.Duration(float64(d-l.value) * w)
	l.at = now
}

// Value returns the average, or the age of the oldest request without an answer when it is overdue.
func (l *Latency) Value(oldest time.Duration) time.Duration {
	if oldest > overdue*l.value {
		return oldest
	}
	return l.value
}
