package sched

import (
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
)

// TestOccurrencesByTimeOfDay answers for the pattern "the owner's clock jumps by seconds and back": an occurrence opens
// by the time of day that was set, not by the one that the owner's own clock shows.
func TestOccurrencesByTimeOfDay(t *testing.T) {
	for name, jump := range map[string]time.Duration{"ahead": 5 * time.Second, "back": -5 * time.Second} {
		t.Run(name, func(t *testing.T) {
			c := pool(epoch0, "a")
			s := one("timed", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 100})
			s.Schedule = job.Schedule{FirstMS: epoch0.Add(3 * time.Second).UnixMilli(), IntervalMS: 60_000, Count: 2}
			c.SetTimeOfDay(epoch0, epoch0.UnixMilli())
			c.Submit(epoch0, s)
			startedAt := time.Duration(-1)
			for at := time.Duration(0); at < 10*time.Second && startedAt < 0; at += 50 * time.Millisecond {
				// The steady clock goes on, and the time of day that now carries jumps after a second.
				now := epoch0.Add(at)
				if at >= time.Second {
					now = now.Add(jump)
				}
				c.SetTimeOfDay(now, epoch0.Add(at).UnixMilli())
				if len(started(settle(now, c))["a"]) > 0 {
					startedAt = at
				}
			}
			if startedAt < 3*time.Second || startedAt > 3*time.Second+250*time.Millisecond {
				t.Errorf("occurrence due at 3s started at %s", startedAt)
			}
		})
	}
}

// TestAgeOfNewJobIsBounded checks that a job whose entry has a clock that is behind by seconds doesn't count as late
// when it arrives.
func TestAgeOfNewJobIsBounded(t *testing.T) {
	c := pool(epoch0, "a")
	c.SetMaxAge(time.Second)
	s := one("job", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 100})
	s.AcceptedMS = epoch0.Add(-10 * time.Second).UnixMilli()
	c.Submit(epoch0, s)
	if got, want := c.jobs["job"].due, epoch0.Add(s.Objective()-time.Second); !got.Equal(want) {
		t.Errorf("due %s after the submission, want %s", got.Sub(epoch0), want.Sub(epoch0))
	}
}
