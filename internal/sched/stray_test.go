package sched

import (
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
)

// stray has a task whose first run was started late, in the next birth of its worker: nothing in the owner's state accounts for it.
// It returns the run; worker b has room for the task.
func stray(t *testing.T, now time.Time, c *Core, s job.Step) link.RunRef {
	t.Helper()
	s.EstimateMS = 60_000
	c.Submit(now, one("job", 0, s))
	ref := started(settle(now, c))["a@10"][0].RunRef
	for _, id := range c.SupersededWorkers("a@20", "node-a@10") {
		c.RemoveWorker(now, id)
	}
	reborn := link.Worker{ID: "a@20", Service: "pool", Kind: "a", Rack: "r-a", Capacity: big}
	c.Attach(now, "node-a@10", reborn, link.Listing{Running: []link.RunStatus{{RunRef: ref, Percent: 1}}})
	return ref
}

// twoBirths returns a core with a worker a in its first birth; worker b attaches once a has a run.
func twoBirths(t *testing.T, now time.Time, s job.Step) (*Core, link.RunRef) {
	t.Helper()
	c := pool(now, "a@10")
	ref := stray(t, now, c, s)
	c.Attach(now, "node-b", link.Worker{ID: "b@10", Service: "pool", Kind: "a", Rack: "r-b", Capacity: big}, link.Listing{})
	return c, ref
}

// TestTaskWaitsForItsStrayRun guards against two runs of a task at a time: a start that was held up runs in the next birth of its
// worker, and the task was placed elsewhere before that run had been stopped.
func TestTaskWaitsForItsStrayRun(t *testing.T) {
	now := epoch0
	c, ref := twoBirths(t, now, job.Step{Count: 1, Demand: cores(1)})
	for i := range 10 {
		got := settle(now, c)
		if len(started(got)) > 0 {
			t.Fatalf("started %v while %v is listed", started(got), ref)
		}
		if d := got["a@20"]; i == 0 && (d == nil || len(d.Stop) != 1 || d.Stop[0] != ref) {
			t.Fatalf("commands %+v, want a stop of %v", d, ref)
		}
		now = now.Add(sweepInterval)
		c.Report(now, "a@20", link.Listing{Running: []link.RunStatus{{RunRef: ref, Percent: 2}}})
	}
	c.Ended(now, "a@20", []link.RunEnd{{Number: 1, RunRef: ref, Outcome: link.Stopped}})
	if n := startedWithin(c, now, time.Second)["job"]; n != 1 {
		t.Errorf("%d starts within a second of the end of %v, want one", n, ref)
	}
}

// TestStrayRunThatSucceeds guards against a start after a run of the task has ended as done: the run that nothing accounts for may
// succeed before it is stopped, and its end is acknowledged.
func TestStrayRunThatSucceeds(t *testing.T) {
	now := epoch0
	c, ref := twoBirths(t, now, job.Step{Count: 1, Demand: cores(1)})
	settle(now, c)
	c.Ended(now, "a@20", []link.RunEnd{{Number: 1, RunRef: ref, Outcome: link.Done}})
	if n := startedWithin(c, now, 3*time.Second)["job"]; n != 0 {
		t.Errorf("%d starts after the task had succeeded", n)
	}
	if v, _ := c.Job("job"); v.State != Completed {
		t.Errorf("job is %+v", v)
	}
}

// TestStrayRunOnMuteWorker guards against a task that waits for good for a run whose worker doesn't answer any more: once its lease
// must have lapsed the task is placed elsewhere, and not before.
func TestStrayRunOnMuteWorker(t *testing.T) {
	now := epoch0
	c, ref := twoBirths(t, now, job.Step{Count: 1, Demand: cores(1)})
	if got := started(settle(now, c)); len(got) > 0 {
		t.Fatalf("started %v while %v is listed", got, ref)
	}
	c.UpdatePressure(now, "a@20", 100, true)
	lapse := options.expiryDelay()
	if n := startedWithin(c, now, lapse-time.Second)["job"]; n != 0 {
		t.Fatalf("%d starts before the lease of the run has lapsed", n)
	}
	if n := startedWithin(c, now.Add(lapse), 2*time.Second)["job"]; n != 1 {
		t.Errorf("%d starts after the lease of the run has lapsed, want one", n)
	}
}

// TestStrayRunOfDetachedWorker guards against the same for a worker whose guard is gone.
func TestStrayRunOfDetachedWorker(t *testing.T) {
	now := epoch0
	c, ref := twoBirths(t, now, job.Step{Count: 1, Demand: cores(1)})
	if got := started(settle(now, c)); len(got) > 0 {
		t.Fatalf("started %v while %v is listed", got, ref)
	}
	c.Detach(now, "a@20")
	lapse := options.expiryDelay()
	if n := startedWithin(c, now, lapse-time.Second)["job"]; n != 0 {
		t.Fatalf("%d starts before the lease of the run has lapsed", n)
	}
	if n := startedWithin(c, now.Add(lapse), 2*time.Second)["job"]; n != 1 {
		t.Errorf("%d starts after the lease of the run has lapsed, want one", n)
	}
}

// TestStrayRunsHoldUpNoOthers guards against waiting where nothing is at stake: runs of speculative tasks may overlap, and tasks of
// other steps don't wait.
func TestStrayRunsHoldUpNoOthers(t *testing.T) {
	now := epoch0
	c, _ := twoBirths(t, now, job.Step{Count: 1, Demand: cores(1), Speculative: true})
	if n := len(started(settle(now, c))); n != 1 {
		t.Errorf("%d starts of a speculative task, want one", n)
	}
	c, _ = twoBirths(t, now, job.Step{Count: 1, Demand: cores(1)})
	c.Submit(now, one("other", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 1000}))
	for id, starts := range started(settle(now, c)) {
		if len(starts) != 1 || starts[0].Task.Job != "other" {
			t.Errorf("started %v on %s, want the task of the other job alone", starts, id)
		}
	}
	if v, _ := c.Job("other"); v.Held != 1 {
		t.Errorf("the other job is %+v, want its task to be held", v)
	}
}

// TestStartBeforeFirstReport guards against two runs of a task at a time: a machine is lost between the attachment of its worker and the
// first report of its guard after that, and the task moved once the lease had lapsed, although its start may still be carried out.
func TestStartBeforeFirstReport(t *testing.T) {
	now := epoch0
	c := pool(now, "a")
	c.Submit(now, one("job", 0, finiteStep))
	settle(now, c)
	c.Detach(now, "a")
	attach(now, c, "b", "pool", "")
	if n := startsOf(c, "job", &now, epoch0.Add(lateStartTime)); n > 0 {
		t.Errorf("the task is started elsewhere within %s after the last word of its guard", lateStartTime)
	}
	if n := startsOf(c, "job", &now, epoch0.Add(lateStartTime+time.Second)); n != 1 {
		t.Errorf("%d starts after %s, want one", n, lateStartTime)
	}
}
