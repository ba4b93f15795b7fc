package stall

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// least is the shortest limit of these tests.
const least = 1500 * time.Millisecond

// changes calls f with the changes of progress that the listings of a run show, a report interval apart, until f returns false.
func changes(lasts, interval time.Duration, f func(percent float64, took time.Duration) bool) {
	shown, at := 0.0, time.Duration(0)
	for shown < 99 {
		next := time.Duration(math.Ceil(float64(lasts) * (shown + 1) / 100))
		report := (next + interval - 1) / interval * interval
		percent := min(99, math.Floor(100*float64(report)/float64(lasts)))
		if !f(percent-shown, report-at) {
			return
		}
		shown, at = percent, report
	}
}

// TestSoundRunsAreNotStopped guards against runs of some minutes that are stopped as standing still and begin anew for ever: their
// percent stays the same for seconds. Durations are from 0.2 s to 12 h, estimates up to ten times too high or too low.
func TestSoundRunsAreNotStopped(t *testing.T) {
	rng := rand.New(rand.NewPCG(53, 6))
	const runs = 100_000
	for n := range runs {
		lasts := time.Duration(200 * math.Pow(12*3600*1000/200, rng.Float64()) * float64(time.Millisecond))
		declared := time.Duration(float64(lasts) * math.Pow(10, 2*rng.Float64()-1))
		interval := time.Duration(50+rng.IntN(450)) * time.Millisecond
		pace := []int{100, 100, 70, 40}[rng.IntN(4)]
		slowed := lasts * 100 / time.Duration(pace)
		var p Progress
		if rng.IntN(4) == 0 {
			// The run resumes from a checkpoint.
			p.Advance(30, 600*time.Millisecond)
		}
		changes(slowed, interval, func(percent float64, took time.Duration) bool {
			if limit := p.Limit(least, declared, pace); took > limit {
				t.Errorf("run %d of %s, declared %s, pace %d: stopped after %s without progress, limit %s", n, lasts, declared, pace, took, limit)
				return false
			}
			p.Advance(percent, took)
			return true
		})
	}
}

// TestStalledRunsAreNoticed checks that a run of up to seven seconds that hangs is noticed after the shortest time, and a longer one that has
// shown how long a percent takes after a twentieth of its duration.
func TestStalledRunsAreNoticed(t *testing.T) {
	const interval = 400 * time.Millisecond
	for _, tt := range []struct {
		name            string
		lasts, declared time.Duration
		at              float64
		want            time.Duration
	}{
		{"short, at once", 640 * time.Millisecond, 640 * time.Millisecond, 0, least},
		{"seven seconds, at once", 6800 * time.Millisecond, 6800 * time.Millisecond, 0, least},
		{"seven seconds, at its end", 6800 * time.Millisecond, 6800 * time.Millisecond, 99, least},
		{"40 s, halfway", 40 * time.Second, 40 * time.Second, 50, 2 * time.Second},
		{"four minutes, halfway", 4 * time.Minute, 4 * time.Minute, 50, 12 * time.Second},
		{"four minutes, at its end", 4 * time.Minute, 4 * time.Minute, 99, 12 * time.Second},
		{"an hour, halfway", time.Hour, time.Hour, 50, 3 * time.Minute},
		{"twelve hours, declared a tenth, halfway", 12 * time.Hour, 72 * time.Minute, 50, 36 * time.Minute},
	} {
		var p Progress
		shown := 0.0
		changes(tt.lasts, interval, func(percent float64, took time.Duration) bool {
			if shown >= tt.at {
				return false
			}
			p.Advance(percent, took)
			shown += percent
			return true
		})
		if got := p.Limit(least, tt.declared, 100); got > tt.want {
			t.Errorf("%s: noticed after %s, want %s at most", tt.name, got, tt.want)
		}
	}
}

// TestOneSlowStepIsForgotten checks that a step that took long, for instance on a machine that was suspended, doesn't lengthen the limit for good.
func TestOneSlowStepIsForgotten(t *testing.T) {
	var p Progress
	p.Advance(1, time.Minute)
	for range 10 {
		p.Advance(1, time.Second)
	}
	if got := p.Limit(least, time.Minute, 100); got > 4*time.Second {
		t.Errorf("limit %s", got)
	}
}
