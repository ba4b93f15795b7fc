// Package wallclock estimates the time of day from the clocks of several processes, so that a jump of one clock moves
// nothing. It does no I/O and reads no clock.
package wallclock

import (
	"slices"
	"time"
)

// voteLifetime is how long a reading counts. Steady clocks run at nearly the same rate, so older ones would do too;
// this limits the weight of a clock that has been set right since.
const voteLifetime = 10 * time.Second

// vote is a reading of a process's time of day: how far it was ahead of the steady clock since the start of the
// estimate.
type vote struct {
	ahead time.Duration
	at    time.Time
}

// Estimate is the median of the readings of all processes. Times that are passed to it must carry a steady reading,
// as those of time.Now do. Use New to make one.
type Estimate struct {
	began time.Time
	votes map[string]vote
}

// New returns an estimate without readings, for a process that starts now.
func New(now time.Time) *Estimate { return &Estimate{began: now, votes: map[string]vote{}} }

// Observe takes a reading of a process's time of day, in Unix milliseconds, that arrived now.
func (e *Estimate) Observe(now time.Time, process string, unixMS int64) {
	e.votes[process] = vote{time.Duration(unixMS)*time.Millisecond - now.Sub(e.began), now}
}

// UnixMS returns the estimated time of day in Unix milliseconds; without readings that of now.
func (e *Estimate) UnixMS(now time.Time) int64 {
	var ahead []time.Duration
	for process, v := range e.votes {
		if now.Sub(v.at) > voteLifetime {
			delete(e.votes, process)
			continue
		}
		ahead = append(ahead, v.ahead)
	}
	if len(ahead) == 0 {
		return now.UnixMilli()
	}
	slices.Sort(ahead)
	return (ahead[len(ahead)/2] + now.Sub(e.began)).Milliseconds()
}
