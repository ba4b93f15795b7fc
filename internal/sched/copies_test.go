package sched

import (
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
)

// speculate starts the only task of a job and returns its worker and run.
func speculate(t *testing.T, now time.Time, c *Core, speculative bool) (string, link.RunRef) {
	t.Helper()
	c.Submit(now, one("job", 0, job.Step{Count: 1, Demand: cores(3), EstimateMS: 200, Speculative: speculative}))
	for id, s := range started(settle(now, c)) {
		c.Report(now, id, link.Listing{Running: []link.RunStatus{{RunRef: s[0].RunRef, Percent: 10}}})
		return id, s[0].RunRef
	}
	t.Fatal("nothing was started")
	return "", link.RunRef{}
}

// TestCopyOfLostRun disconnects a guard: a speculative task must get a copy elsewhere long before the lease of
// its run expires, any other task must not, and the original run counts when it succeeds.
func TestCopyOfLostRun(t *testing.T) {
	for _, speculative := range []bool{true, false} {
		now := epoch0
		c := pool(now, "a", "b")
		first, run := speculate(t, now, c, speculative)
		c.Detach(now, first)
		now = now.Add(copyDelay + sweepInterval)
		got := started(settle(now, c))
		if n := len(got); speculative && n != 1 || !speculative && n != 0 {
			t.Fatalf("speculative %v: started %+v", speculative, got)
		}
		if !speculative {
			continue
		}
		c.Attach(now, "node-"+first, link.Worker{ID: first, Service: "pool", Capacity: big}, link.Listing{Ended: []link.RunEnd{{Number: 1, RunRef: run, Outcome: link.Done}}})
		o := settle(now, c)
		if v, _ := c.Job("job"); v.State != Completed {
			t.Errorf("job is %+v after the first run has succeeded", v)
		}
		for id, s := range got {
			if d := o[id]; d == nil || len(d.Stop) != 1 || d.Stop[0] != s[0].RunRef {
				t.Errorf("commands %+v for %s, want the stop of the copy", d, id)
			}
		}
	}
}

// TestCopyOfSlowRun has a run that takes far longer than expected: its task must get a copy, the slow run keeps
// its resources, and is stopped once the copy has succeeded.
func TestCopyOfSlowRun(t *testing.T) {
	now := epoch0
	c := pool(now, "a", "b")
	first, run := speculate(t, now, c, true)
	now = now.Add(3 * 200 * time.Millisecond)
	c.Report(now, first, link.Listing{Running: []link.RunStatus{{RunRef: run, Percent: 20}}})
	got := started(settle(now, c))
	if len(got) != 1 || got[first] != nil {
		t.Fatalf("started %+v, want a copy on the other worker", got)
	}
	if free := c.workers[first].free().MilliCPU; free != 1000 {
		t.Errorf("%d free beside the slow run, want 1000", free)
	}
	for id, s := range got {
		c.Ended(now, id, []link.RunEnd{{Number: 1, RunRef: s[0].RunRef, Outcome: link.Done}})
	}
	now = now.Add(sweepInterval)
	if d := settle(now, c)[first]; d == nil || len(d.Stop) != 1 || d.Stop[0] != run {
		t.Errorf("commands %+v, want the stop of the slow run", d)
	}
	c.Ended(now, first, []link.RunEnd{{Number: 1, RunRef: run, Outcome: link.Stopped}})
	if free := c.workers[first].free(); free != big {
		t.Errorf("%s free after all runs have ended", free)
	}
}

// TestTakeoverRestoresCopies hands a job with a copy and a failure to a new owner: it must keep the copy on its
// worker, since the copy occupies resources there, and remember where the task has failed.
func TestTakeoverRestoresCopies(t *testing.T) {
	now := epoch0
	c := pool(now, "a", "b")
	first, run := speculate(t, now, c, true)
	c.Ended(now, first, []link.RunEnd{{Number: 1, RunRef: run, Outcome: link.Failed}})
	for id, s := range started(settle(now, c)) {
		first, run = id, s[0].RunRef
		c.Report(now, id, link.Listing{Running: []link.RunStatus{{RunRef: run, Percent: 10}}})
	}
	c.Detach(now, first)
	now = now.Add(copyDelay + sweepInterval)
	settle(now, c)
	j := c.jobs["job"]
	next := New(options)
	next.Submit(now, j.spec)
	if err := next.Restore(now, "job", j.inline().Value); err != nil {
		t.Fatal(err)
	}
	task := next.jobs["job"].occurrences[0].steps[0].tasks[0]
	if len(task.failedOn) != 1 || len(task.failedRuns) != 1 {
		t.Errorf("failed runs %v on %v after the takeover, want one of each", task.failedRuns, task.failedOn)
	}
	if w := next.workers[first]; w == nil || !w.hasCopy(task) {
		t.Errorf("the run on %s is not known after the takeover", first)
	}
}

// TestTakeoverWaitsForGuards checks that a new owner gives no task a copy before the guards of its runs had
// time to connect.
func TestTakeoverWaitsForGuards(t *testing.T) {
	now := epoch0
	c := pool(now, "a")
	speculate(t, now, c, true)
	next := New(options)
	next.Submit(now, c.jobs["job"].spec)
	if err := next.Restore(now, "job", c.jobs["job"].inline().Value); err != nil {
		t.Fatal(err)
	}
	next.Attach(now, "node-b", link.Worker{ID: "b", Service: "pool", Capacity: big}, link.Listing{})
	if got := started(settle(now, next)); len(got) != 0 {
		t.Errorf("started %+v at the takeover", got)
	}
	now = now.Add(copyDelay + sweepInterval)
	if got := started(settle(now, next)); len(got) != 1 {
		t.Errorf("started %+v while the guard of the run is disconnected, want a copy", got)
	}
}

// TestSurplusCopyAfterTakeover guards against a worker that is filled over its capacity: a speculative job was complete, its surplus copy
// was still being stopped, and the next owner, which knows nothing of its task any more, gave the copy's room away.
func TestSurplusCopyAfterTakeover(t *testing.T) {
	now := epoch0
	c := New(options)
	copied := link.RunRef{Task: job.TaskID{Job: "complete"}, Run: 1}
	running := link.Listing{Running: []link.RunStatus{{RunRef: copied, Percent: 50}}}
	c.Attach(now, "node-a", link.Worker{ID: "a", Service: "pool", Capacity: big}, running)
	c.Submit(now, one("job", 0, job.Step{Count: 4, Demand: cores(1), EstimateMS: 60_000}))
	c.Submit(now, one("fills", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 60_000, Filler: true}))
	for range 10 {
		if got := started(settle(now, c)); len(got) > 0 {
			t.Fatalf("started %v beside a run whose room isn't known", got)
		}
		now = now.Add(sweepInterval)
		c.Report(now, "a", running)
	}
	c.Ended(now, "a", []link.RunEnd{{Number: 1, RunRef: copied, Outcome: link.Stopped}})
	if n := startedWithin(c, now, time.Second)["job"]; n != 4 {
		t.Errorf("%d tasks start within a second after the end of the copy, want 4", n)
	}
}

// TestRunThatNeverStops guards against a worker that is kept from all tasks for good by a run that goes on in spite of its stops.
func TestRunThatNeverStops(t *testing.T) {
	now := epoch0
	c := New(options)
	running := link.Listing{Running: []link.RunStatus{{RunRef: link.RunRef{Task: job.TaskID{Job: "complete"}, Run: 1}, Percent: 50}}}
	c.Attach(now, "node-a", link.Worker{ID: "a", Service: "pool", Capacity: big}, running)
	c.Submit(now, one("job", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 60_000}))
	for now.Sub(epoch0) < unknownRoomTime+time.Second {
		if len(started(settle(now, c))) > 0 {
			return
		}
		now = now.Add(sweepInterval)
		c.Report(now, "a", running)
	}
	t.Errorf("nothing starts within %s", now.Sub(epoch0))
}
