// Package stall decides how long a run may make no progress before it counts as standing still. Progress is reported in whole percent, so
// that a run of some minutes shows none for seconds.
package stall

import "time"

const (
	// estimateError is how many times longer than declared a task may take.
	estimateError = 10
	// wholePercent is the number of steps of the progress of a run.
	wholePercent = 100
	// stepSlack is how many times the longest step so far the next one may take.
	stepSlack = 3
	// enoughJumps is how many changes by more than one percent show that a run is faster than its reports. One may be the end of a
	// restore.
	enoughJumps = 2
	// reportSlack is how much later than it was made a step may be reported.
	reportSlack = 500 * time.Millisecond
	// fullPace is the pace in percent of a run that isn't slowed down.
	fullPace = 100
)

// Progress is what the listings of a run show of its steps. The zero value is that of a run that hasn't been listed.
type Progress struct {
	// step is the longest time that one percent has taken lately, 0 before a run has shown that; jumps counts the changes by more.
	step  time.Duration
	jumps int
}

// Advance takes a change of the progress by some percent, some time after the one before.
func (p *Progress) Advance(percent float64, took time.Duration) {
	switch {
	case percent > 1:
		p.jumps++
	case took > p.step:
		p.step = took
	default:
		p.step = (p.step + took) / 2
	}
}

// Limit returns how long the next change may take, least at the shortest. The task was declared to take a time, and the run is slowed down to
// a pace in percent.
func (p *Progress) Limit(least, declared time.Duration, pace int) time.Duration {
	limit := stepSlack * p.step
	if p.step == 0 && p.jumps < enoughJumps {
		first := declared * estimateError / wholePercent
		limit = first + first/4
	}
	if pace > 0 && pace < fullPace {
		limit = limit * fullPace / time.Duration(pace)
	}
	return max(least, limit+reportSlack)
}
