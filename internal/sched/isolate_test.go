package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
)

// approveAll answers all requests for approval, one after the other, with a ticket for each worker, and returns how many there
// were.
func approveAll(now time.Time, c *Core) int {
	for n := 0; ; n++ {
		q, ok := c.NextApprovalRequest(now)
		if !ok {
			return n
		}
		tickets := map[string]string{}
		for _, id := range q.Workers {
			tickets[id] = "ticket"
		}
		c.HandleApproval(now, q, Approval{Tickets: tickets, Valid: 3 * time.Second}, nil)
	}
}

// allRequests returns the requests that would be sent one after the other.
func allRequests(now time.Time, c *Core) []ApprovalRequest {
	var out []ApprovalRequest
	for q, ok := c.NextApprovalRequest(now); ok; q, ok = c.NextApprovalRequest(now) {
		out = append(out, q)
	}
	return out
}

// crashUnder crashes the worker that was starting a run, and brings it back as another incarnation.
func crashUnder(now time.Time, c *Core, id string, ref link.RunRef) {
	c.WorkerCrashed(now, crashed(id, ref, 20))
	c.Attach(now, "node-"+id, link.Worker{ID: id + "'", Service: "pool", Capacity: big}, link.Listing{})
}

// TestSuspectTaskIsApprovedAgain guards against a task that is never started again after its worker has crashed under its
// start: on a queue with advice the tickets had expired, and each refusal of the isolated start put off the round's
// placement, which alone asked for new ones.
func TestSuspectTaskIsApprovedAgain(t *testing.T) {
	now := epoch0
	c := pool(now, "a", "b", "c")
	spec := one("job", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 1000})
	spec.Policy.Advice = &job.Advice{DecideMS: 20, EachMS: 5, ValidMS: 3000}
	c.Submit(now, spec)
	settle(now, c)
	approveAll(now, c)
	id, ref := firstStart(t, settle(now, c))
	now = now.Add(4 * time.Second)
	crashUnder(now, c, id, ref)
	for range 20 {
		now = now.Add(placementRetryDelay)
		o := settle(now, c)
		if len(started(o)) > 0 {
			return
		}
		approveAll(now, c)
	}
	t.Errorf("not started again; the step waits for: %s", c.waitReason(now, c.task(ref.Task).step))
}

// TestSuspectTaskHoldsUpNoOthers guards against a task that must start in isolation and finds no worker keeping the other
// tasks of its step from being placed.
func TestSuspectTaskHoldsUpNoOthers(t *testing.T) {
	now := epoch0
	c := pool(now, "a")
	c.Submit(now, one("job", 0, job.Step{Count: 2, Demand: cores(1), EstimateMS: 1000, Speculative: true}))
	starts := started(settle(now, c))["a"]
	suspect, other := c.task(starts[0].Task), c.task(starts[1].Task)
	// The only worker still has an earlier run of the suspect, so that only the other task can start there.
	c.convertToCopy(c.workers["a"], suspect)
	c.addCrash(suspect, crash{Worker: "gone", Run: 1, Sole: true})
	c.Ended(now, "a", []link.RunEnd{{Number: 1, RunRef: other.ref(), Outcome: link.Stopped}})
	for range 20 {
		now = now.Add(placementRetryDelay)
		if got := started(settle(now, c))["a"]; len(got) == 1 && got[0].Task == other.id {
			return
		}
	}
	t.Errorf("the other task isn't placed; the step waits for: %s", c.waitReason(now, other.step))
}

// TestSuspectFillerStarves guards against a filler that must start in isolation and never counts as starved: each round
// that had no other task of its step to place forgot since when it waits, and with that the fallback for starved fillers.
func TestSuspectFillerStarves(t *testing.T) {
	now := epoch0
	c := pool(now, "b")
	c.Submit(now, one("busy", 0, job.Step{Count: 1, Demand: cores(4), EstimateMS: 60_000}))
	busy := started(settle(now, c))["b"][0].RunRef
	c.Attach(now, "node-a", link.Worker{ID: "a", Service: "pool", Capacity: big}, link.Listing{})
	now = now.Add(fillerInterval)
	c.Submit(now, one("job", 0, job.Step{Count: 1, Demand: cores(2), EstimateMS: 1000, Filler: true}))
	id, ref := firstStart(t, settle(now, c))
	if id != "a" {
		t.Fatalf("the filler runs on %s, want a", id)
	}
	c.WorkerCrashed(now, crashed(id, ref, 20))
	row := link.RunStatus{RunRef: busy}
	for range 200 {
		now = now.Add(fillerInterval)
		row.Percent += 0.1
		c.Report(now, "b", link.Listing{Running: []link.RunStatus{row}})
		if len(started(settle(now, c))["b"]) > 0 {
			return
		}
	}
	t.Errorf("the filler isn't started within 5 s; its step waits for: %s", c.waitReason(now, c.task(ref.Task).step))
}

// TestGangAsksForMoreApprovals guards against a gang that never starts since too few workers are approved: nobody else was
// asked about while the tickets of those were valid.
func TestGangAsksForMoreApprovals(t *testing.T) {
	now := epoch0
	c := pool(now, "a", "b")
	spec := one("gang", 0, job.Step{Count: 3, Demand: cores(3), EstimateMS: 1000, Gang: true})
	spec.Policy.Advice = &job.Advice{DecideMS: 20, EachMS: 5, ValidMS: 60_000}
	c.Submit(now, spec)
	settle(now, c)
	for _, q := range allRequests(now, c) {
		c.HandleApproval(now, q, Approval{Tickets: map[string]string{"a": "t", "b": "t"}, Valid: time.Minute}, nil)
	}
	c.Attach(now, "node-c", link.Worker{ID: "c", Service: "pool", Capacity: big}, link.Listing{})
	for range 20 {
		now = now.Add(placementRetryDelay)
		if len(started(settle(now, c))) == 3 {
			return
		}
		approveAll(now, c)
	}
	t.Error("the gang isn't started although three workers have room")
}

// TestSilentWorkerSuspectsAllThatShareAStart guards against a task that crashes worker after worker: of suspects that start
// together only the first was suspected when their worker went silent, and the others' earlier crashes were explained by it.
func TestSilentWorkerSuspectsAllThatShareAStart(t *testing.T) {
	now := epoch0
	c := pool(now, "a")
	c.Submit(now, one("job", 0, job.Step{Count: 3, Demand: cores(1), EstimateMS: 5000}))
	report := link.Crash{Worker: "a"}
	for _, s := range started(settle(now, c))["a"] {
		report.Runs = append(report.Runs, link.CrashedRun{RunRef: s.RunRef, AgeMS: 20})
	}
	c.WorkerCrashed(now, report)
	c.Attach(now, "node-b", link.Worker{ID: "b", Service: "pool", Capacity: big}, link.Listing{})
	if got := started(settle(now, c))["b"]; len(got) != len(report.Runs) {
		t.Fatalf("%d suspects start together, want %d", len(got), len(report.Runs))
	}
	c.UpdatePressure(now, "b", 100, true)
	for _, r := range report.Runs {
		if got := c.task(r.Task).crashes; len(got) != 2 || got[1].Sole {
			t.Errorf("crashes of %s are %+v, want those on a and on b, shared", r.Task, got)
		}
	}
}

// TestSuspectsOfManyJobsShareStarts guards against jobs of which nothing runs for many seconds: each waited for a turn of its own
// with a task under which two workers had crashed, although another of its tasks might share a start with those of other jobs.
func TestSuspectsOfManyJobsShareStarts(t *testing.T) {
	now := epoch0
	c := pool(now, "a", "b")
	var jobs []string
	for i := range 16 {
		jobs = append(jobs, fmt.Sprintf("job%02d", i))
		c.Submit(now, one(jobs[i], 0, job.Step{Count: 2, Demand: cores(0.1), EstimateMS: 60_000}))
		tasks := c.jobs[jobs[i]].occurrences[0].steps[0].tasks
		c.addCrash(tasks[0], crash{Worker: "gone", Run: 1})
		c.addCrash(tasks[0], crash{Worker: "gone too", Run: 2})
		c.addCrash(tasks[1], crash{Worker: "gone", Run: 1})
	}
	first := map[string]time.Duration{}
	for from := now; now.Sub(from) < 20*time.Second; now = now.Add(fillerInterval) {
		for _, starts := range started(settle(now, c)) {
			for _, s := range starts {
				if _, ok := first[s.Task.Job]; !ok {
					first[s.Task.Job] = now.Sub(from)
				}
			}
		}
		reportProgress(now, c)
	}
	for _, id := range jobs {
		if d, ok := first[id]; !ok || d > standstillDelay {
			t.Errorf("%s starts after %s", id, d)
		}
	}
}

// TestStarvedSuspectStartsWhereRunsHaveSettled guards against starved suspects that wait for the runs that have just started on the
// worker with the fewest runs, one after the other, while runs have settled on another one.
func TestStarvedSuspectStartsWhereRunsHaveSettled(t *testing.T) {
	now := epoch0
	c := pool(now, "b")
	c.Submit(now, one("settled", 0, job.Step{Count: 3, Demand: cores(0.1), EstimateMS: 60_000}))
	settle(now, c)
	reportProgress(now, c)
	now = now.Add(settleTime)
	reportProgress(now, c)
	attach(now, c, "a", "pool", "")
	c.Submit(now, one("fresh", 0, job.Step{Count: 1, Demand: cores(2), EstimateMS: 60_000, AntiAffinity: 1}))
	if id, _ := firstStart(t, settle(now, c)); id != "a" {
		t.Fatalf("the fresh run is on %s, want a", id)
	}
	c.Submit(now, one("job", 0, job.Step{Count: 1, Demand: cores(0.1), EstimateMS: 1000}))
	suspect := c.jobs["job"].occurrences[0].steps[0].tasks[0]
	c.addCrash(suspect, crash{Worker: "gone", Run: 1, Sole: true})
	suspect.queuedAt = now.Add(-starvationDelay)
	if id, ref := firstStart(t, settle(now, c)); id != "b" || ref.Task != suspect.id {
		t.Errorf("%s starts on %s, want the suspect on b", ref.Task, id)
	}
}

// TestSuspectsOfSmallServiceStartInTime guards against jobs that stand still after a crash behind suspects of many others, in a service
// so small that one worker at a time is kept: too few of them shared a start.
func TestSuspectsOfSmallServiceStartInTime(t *testing.T) {
	const jobs = 28
	now := epoch0
	c := pool(now, "a", "b", "c")
	for i := range jobs {
		id := fmt.Sprintf("job%02d", i)
		c.Submit(now, one(id, 0, job.Step{Count: 1, Demand: cores(0.1), EstimateMS: 60_000}))
		c.addCrash(c.jobs[id].occurrences[0].steps[0].tasks[0], crash{Worker: "gone", Run: 1})
	}
	starts := 0
	for until := now.Add(standstillDelay); now.Before(until); now = now.Add(fillerInterval) {
		for _, s := range started(settle(now, c)) {
			starts += len(s)
		}
		reportProgress(now, c)
	}
	if starts != jobs {
		t.Errorf("%d of %d jobs start within %s", starts, jobs, standstillDelay)
	}
}
