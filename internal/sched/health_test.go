package sched

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
)

// TestSilentWorkerKeepsRuns guards against giving up work on a worker that is only slow to report: without a listing
// nothing is known of the progress of its runs, so that none of them may be stopped for standing still.
func TestSilentWorkerKeepsRuns(t *testing.T) {
	now := epoch0
	c := pool(now, "a", "b")
	c.Submit(now, one("job", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 500}))
	c.Submit(now, one("lasting", 0, job.Step{Count: 1, Demand: cores(1), LongRunning: true}))
	rows := map[string][]link.RunStatus{}
	for id, starts := range started(settle(now, c)) {
		for _, s := range starts {
			rows[id] = append(rows[id], link.RunStatus{RunRef: s.RunRef, Percent: 30})
		}
	}
	for id, listed := range rows {
		c.Report(now, id, link.Listing{Running: listed})
	}
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		for id, d := range settle(now, c) {
			if len(d.Stop) > 0 || len(d.Start) > 0 {
				t.Fatalf("commands %+v for %s after %s without a report", d, id, now.Sub(epoch0))
			}
		}
	}
	stops := func() (n int) {
		for id, listed := range rows {
			c.Report(now, id, link.Listing{Running: listed})
		}
		for _, d := range settle(now, c) {
			n += len(d.Stop)
		}
		return n
	}
	if n := stops(); n > 0 {
		t.Errorf("stopped %d runs at the first report after the silence", n)
	}
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		if stops() > 0 {
			return
		}
	}
	t.Error("runs that stand still in every report are not stopped")
}

// TestSlowStart runs a long-running step whose tasks take 4 s until they are at work, beside short tasks: none of its
// runs may be stopped and no worker avoided for that, since all of them are slow. A run that needs far longer than the
// others is stopped, and its worker avoided.
func TestSlowStart(t *testing.T) {
	now := epoch0
	c := pool(now, "a", "b", "c")
	c.Submit(now, one("slow", 0, job.Step{Count: 3, Demand: cores(2), LongRunning: true, AntiAffinity: 1}))
	runs := started(settle(now, c))
	if len(runs) != 3 {
		t.Fatalf("started %v, want one task on each worker", runs)
	}
	report := func(percent map[string]float64) (stopped []string) {
		now = now.Add(200 * time.Millisecond)
		for id, starts := range runs {
			c.Report(now, id, link.Listing{Running: []link.RunStatus{{RunRef: starts[0].RunRef, Percent: percent[id]}}})
		}
		for id, d := range settle(now, c) {
			if len(d.Stop) > 0 {
				stopped = append(stopped, id)
			}
		}
		return stopped
	}
	for range 20 {
		if got := report(nil); len(got) > 0 {
			t.Fatalf("stopped on %v after %s", got, now.Sub(epoch0))
		}
	}
	for range 18 {
		if got := report(map[string]float64{"a": 100, "b": 100}); len(got) > 0 {
			t.Fatalf("stopped on %v after %s, within twice the time of the others", got, now.Sub(epoch0))
		}
	}
	for range 10 {
		if got := report(map[string]float64{"a": 100, "b": 100}); len(got) > 0 {
			if got[0] != "c" || c.health.refusal(now, "c") == "" || c.health.refusal(now, "a") != "" {
				t.Errorf("stopped on %v; want c, and only c avoided", got)
			}
			return
		}
	}
	t.Error("a run that takes far longer than the others of its step is not stopped")
}

// TestLongTasksAreNotStopped guards against tasks of some minutes that never end: their percent stands for seconds, they were stopped as
// standing still, and began anew on another worker, for ever. A run that hangs is stopped.
func TestLongTasksAreNotStopped(t *testing.T) {
	for _, lasts := range []time.Duration{4 * time.Minute, time.Hour} {
		now := epoch0
		c := pool(now, "a", "b")
		c.Submit(now, one("job", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: lasts.Milliseconds()}))
		at, ref := "", link.RunRef{}
		for id, starts := range started(settle(now, c)) {
			at, ref = id, starts[0].RunRef
		}
		report := func(percent float64) *link.OwnerMessage {
			now = now.Add(400 * time.Millisecond)
			c.Report(now, at, link.Listing{Running: []link.RunStatus{{RunRef: ref, Percent: percent}}})
			return settle(now, c)[at]
		}
		percent := 0.0
		for percent < 60 {
			percent = math.Floor(100 * float64(now.Sub(epoch0)) / float64(lasts))
			if d := report(percent); d != nil && len(d.Stop) > 0 {
				t.Fatalf("a task of %s is stopped at %.0f%%, after %s", lasts, percent, now.Sub(epoch0))
			}
		}
		hangs := now
		for now.Sub(hangs) < lasts/20 {
			if d := report(percent); d != nil && len(d.Stop) > 0 {
				break
			}
		}
		if now.Sub(hangs) >= lasts/20 {
			t.Errorf("a task of %s that hangs isn't stopped within %s", lasts, lasts/20)
		}
	}
}

// TestCheckpointIsProgress guards against a task that is stopped as standing still although it brings new checkpoints.
func TestCheckpointIsProgress(t *testing.T) {
	now := epoch0
	c := pool(now, "a")
	c.Submit(now, one("job", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 1000, Checkpoints: true}))
	ref := started(settle(now, c))["a"][0].RunRef
	for n := range 20 {
		now = now.Add(time.Second)
		c.Report(now, "a", link.Listing{Running: []link.RunStatus{{RunRef: ref, Percent: 1, Checkpoint: fmt.Sprint(n)}}})
		if d := settle(now, c)["a"]; d != nil && len(d.Stop) > 0 {
			t.Fatalf("stopped after %s", now.Sub(epoch0))
		}
	}
}
