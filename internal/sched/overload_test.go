package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
)

// filler returns a job of fillers of one core that last a second each.
func filler(id string, count int) *job.Spec {
	return one(id, 2, job.Step{Count: count, Demand: cores(1), EstimateMS: 1000, Filler: true, Image: "f"})
}

// TestBurstOfWideJobs is a burst of wide jobs beyond what the pool can do in time: the small ones go
// first, although the wide one is due earlier, and complete on time.
func TestBurstOfWideJobs(t *testing.T) {
	now := epoch0
	c := pool(now, "a")
	wide := filler("wide", 40)
	wide.AcceptedMS -= 100
	c.Submit(now, wide)
	for n := range 4 {
		c.Submit(now, filler(fmt.Sprintf("small%d", n), 1))
	}
	for _, s := range started(settle(now, c))["a"] {
		if s.Task.Job == "wide" {
			t.Errorf("started %s before the small jobs", s.Task)
		}
	}
	if v, _ := c.Job("small3"); v.Held != 1 {
		t.Errorf("small3 is %+v, want it running", v)
	}
}

// TestFreedRoomGoesByRank is room that becomes free between two rounds for fillers: the job that ranks
// first gets it, whichever was refused last.
func TestFreedRoomGoesByRank(t *testing.T) {
	now := epoch0
	c := pool(now, "a")
	c.Submit(now, filler("running", 4))
	runs := started(settle(now, c))["a"]
	c.Submit(now, filler("wide", 40))
	settle(now.Add(fillerEvery), c)
	c.Submit(now, filler("small", 1))
	settle(now.Add(fillerEvery+5*time.Millisecond), c)
	now = now.Add(2*fillerEvery + time.Millisecond)
	c.Ended(now, "a", []link.RunEnd{{N: 1, RunRef: runs[0].RunRef, Outcome: link.Done}})
	var got []link.Start
	for range 3 {
		got = append(got, started(settle(now, c))["a"]...)
		now = now.Add(fillerEvery / 2)
	}
	if len(got) == 0 || got[0].Task.Job != "small" {
		t.Errorf("started %+v, want the small job first", got)
	}
}
