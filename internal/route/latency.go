package route

import (
	"math"
	"time"
)

const (
	// fade is the time after which an old latency counts for 1/e.
	fade = 2 * time.Second
	// riseWeight is the least weight of a sample above the average.
	riseWeight = 0.3
	// fallWeight is the least weight of a sample below the average.
	fallWeight = 0.05
)

// Latency is the moving average of a target's latency. It rises fast and falls slowly, and since
// samples come late, the age of the oldest request without an answer counts too. The zero value is
// ready to use.
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
	w := 1 - math.Exp(-float64(now.Sub(l.at))/float64(fade))
	if d > l.value {
		w = max(w, riseWeight)
	} else {
		w = max(w, fallWeight)
	}
	l.value += time.Duration(float64(d-l.value) * w)
	l.at = now
}

// Value returns the average, but at least the age of the oldest request that has no answer yet.
func (l *Latency) Value(oldest time.Duration) time.Duration { return max(l.value, oldest) }
