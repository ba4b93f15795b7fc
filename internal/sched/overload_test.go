package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
)

// filler returns a job of fillers of one core that take a second each.
func filler(id string, count int) *job.Spec {
	return one(id, 2, job.Step{Count: count, Demand: cores(1), EstimateMS: 1000, Filler: true, Image: "f"})
}

// TestBurstOfWideJobs simulates a burst of jobs beyond what the pool can do in time: the small jobs must go
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

// TestFreedCapacityGoesByRank frees capacity between two rounds for fillers: the job that ranks first must get it,
// whichever was refused last.
func TestFreedCapacityGoesByRank(t *testing.T) {
	now := epoch0
	c := pool(now, "a")
	c.Submit(now, filler("running", 4))
	runs := started(settle(now, c))["a"]
	c.Submit(now, filler("wide", 40))
	settle(now.Add(fillerInterval), c)
	c.Submit(now, filler("small", 1))
	settle(now.Add(fillerInterval+5*time.Millisecond), c)
	now = now.Add(2*fillerInterval + time.Millisecond)
	c.Ended(now, "a", []link.RunEnd{{Number: 1, RunRef: runs[0].RunRef, Outcome: link.Done}})
	var got []link.Start
	for range 3 {
		got = append(got, started(settle(now, c))["a"]...)
		now = now.Add(fillerInterval / 2)
	}
	if len(got) == 0 || got[0].Task.Job != "small" {
		t.Errorf("started %+v, want the small job first", got)
	}
}

// besideServing returns a core with one worker and a serving task on it with the given headroom.
func besideServing(t *testing.T, now time.Time, headroom float64) *Core {
	t.Helper()
	c := pool(now, "a")
	c.Submit(now, one("serve", 0, job.Step{Count: 1, Demand: cores(1), LongRunning: true, TailTargetMS: 100, Image: "s"}))
	runs := started(settle(now, c))["a"]
	if len(runs) != 1 {
		t.Fatalf("started %+v, want the serving task", runs)
	}
	c.Report(now, "a", link.Listing{Running: []link.RunStatus{{RunRef: runs[0].RunRef, Percent: 100, Measurement: 100 / headroom}}})
	return c
}

// TestLateFillersAvoidServing runs a serving task near its target: a filler of a job that can be on time may take
// a little of its headroom, one of a late job may not, and none may take much.
func TestLateFillersAvoidServing(t *testing.T) {
	for _, tt := range []struct {
		name     string
		headroom float64
		late     time.Duration
		cores    float64
		want     int
	}{
		{"on time", 1.1, 0, 1, 1},
		{"late", 1.1, 2 * time.Second, 1, 0},
		{"late beside much headroom", 2, 2 * time.Second, 1, 1},
		{"wide", 1.1, 0, 2.5, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			now := epoch0
			c := besideServing(t, now, tt.headroom)
			now = now.Add(fillerInterval)
			j := filler("fill", 1)
			j.AcceptedMS -= tt.late.Milliseconds()
			j.Steps[0].Demand = cores(tt.cores)
			c.Submit(now, j)
			if got := started(settle(now, c))["a"]; len(got) != tt.want {
				t.Errorf("started %+v, want %d", got, tt.want)
			}
		})
	}
}

// TestThrottledFillersMove throttles the fillers of a worker, as its guard does for serving tasks: they must be
// stopped after slowFillerTimeout, not before.
func TestThrottledFillersMove(t *testing.T) {
	now := epoch0
	c := pool(now, "a")
	c.Submit(now, filler("fill", 1))
	run := started(settle(now, c))["a"][0].RunRef
	for range 3 {
		c.Report(now, "a", link.Listing{Running: []link.RunStatus{{RunRef: run, Percent: 10, Measurement: 100}}})
		c.UpdatePressure(now, "a", minFillerPace-1, false)
		if d := settle(now, c)["a"]; d != nil && len(d.Stop) > 0 {
			t.Fatalf("stopped %v after %s", d.Stop, now.Sub(epoch0))
		}
		now = now.Add(slowFillerTimeout / 3)
	}
	now = now.Add(sweepInterval)
	if d := settle(now, c)["a"]; d == nil || len(d.Stop) != 1 {
		t.Errorf("commands %+v, want the stop", d)
	}
}
