package sched

import (
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
)

// unanswered has a job of one task whose first start gets no answer on worker a@10, which refuses it from then on; worker b@10 has
// room as well.
func unanswered(t *testing.T, now time.Time, s job.Step) (*Core, link.RunRef) {
	t.Helper()
	c := pool(now, "a@10")
	s.Count, s.Demand, s.EstimateMS = 1, cores(1), 60_000
	c.Submit(now, one("job", 0, s))
	ref := started(settle(now, c))["a@10"][0].RunRef
	attach(now, c, "b@10", "pool", "")
	c.Ended(now, "a@10", []link.RunEnd{{RunRef: ref, Outcome: link.Absent, Unanswered: true}})
	return c, ref
}

// wantStartOn fails the test unless the job is started once, on one worker.
func wantStartOn(t *testing.T, worker string, got map[string][]link.Start) {
	t.Helper()
	if len(got) != 1 || len(got[worker]) != 1 {
		t.Errorf("started %v, want one on %s", got, worker)
	}
}

// TestUnansweredStartKeepsTask guards against two runs of a task at a time: a start without an answer is carried out by the next birth
// of its worker, while the task has been started on another one.
func TestUnansweredStartKeepsTask(t *testing.T) {
	now := epoch0
	c, _ := unanswered(t, now, job.Step{})
	wantStartOn(t, "a@10", started(settle(now, c)))
	// The next run is over as well, and the worker is away.
	c.Report(now, "a@10", link.Listing{Running: []link.RunStatus{{RunRef: c.jobs["job"].occurrences[0].steps[0].tasks[0].ref(), Percent: 1}}})
	c.Detach(now, "a@10")
	if n := startsOf(c, "job", &now, epoch0.Add(lateStartTime)); n != 0 {
		t.Errorf("%d starts within %s after the last word of the guard", n, lateStartTime)
	}
	if n := startsOf(c, "job", &now, now.Add(500*time.Millisecond)); n != 1 {
		t.Errorf("%d starts half a second later, want one", n)
	}
}

// TestUnansweredStartEnds guards against a task that waits for one worker for no reason: speculative runs may overlap, a worker with
// another ID refuses calls to the one before, a start that was never sent isn't carried out, and no start is after maxStartDelay.
func TestUnansweredStartEnds(t *testing.T) {
	now := epoch0
	c, _ := unanswered(t, now, job.Step{Speculative: true})
	wantStartOn(t, "b@10", started(settle(now, c)))

	c, _ = unanswered(t, now, job.Step{})
	c.RemoveWorker(now, "a@10")
	if got := started(settle(now, c)); len(got) > 0 {
		t.Errorf("started %v while the worker is away", got)
	}
	attach(now, c, "z@20", "pool", "")
	if got := started(settle(now, c)); len(got) > 0 {
		t.Errorf("started %v after a worker of another node has attached", got)
	}
	c.Attach(now, "node-a@10", link.Worker{ID: "c@20", Service: "pool", Capacity: big}, link.Listing{})
	if got := started(settle(now.Add(placementRetryDelay), c)); len(got) != 1 {
		t.Errorf("started %v after the node has a worker with another ID, want one", got)
	}

	c = pool(now, "a@10")
	c.Submit(now, one("job", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 60_000}))
	c.Schedule(now)
	attach(now, c, "b@10", "pool", "")
	tk := c.jobs["job"].occurrences[0].steps[0].tasks[0]
	c.Ended(now, "a@10", []link.RunEnd{{RunRef: tk.ref(), Outcome: link.Absent, Unanswered: true}})
	wantStartOn(t, "b@10", started(settle(now, c)))

	c, _ = unanswered(t, now, job.Step{})
	settle(now, c)
	tk = c.jobs["job"].occurrences[0].steps[0].tasks[0]
	settle(now.Add(maxStartDelay), c)
	if tk.late != nil || len(c.lateStarts) != 0 {
		t.Errorf("the start counts as one that may still be carried out after %s", maxStartDelay)
	}
}

// TestUnansweredStartAndFullWorker guards against a task that stands still, since the only worker that may take it has no room.
func TestUnansweredStartAndFullWorker(t *testing.T) {
	now := epoch0
	c, _ := unanswered(t, now, job.Step{})
	c.Update(now, link.Worker{ID: "a@10", Service: "pool", Draining: true, RemainingMS: 60_000})
	if n := startsOf(c, "job", &now, epoch0.Add(lateStartTime)); n != 0 {
		t.Errorf("%d starts within %s", n, lateStartTime)
	}
	if reason := c.waitReason(now, c.jobs["job"].occurrences[0].steps[0]); reason == "" {
		t.Error("no reason is given for the wait")
	}
	if n := startsOf(c, "job", &now, now.Add(500*time.Millisecond)); n != 1 {
		t.Errorf("%d starts after %s, want one", n, lateStartTime)
	}
}
