package sched

import (
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
	"github.com/crocusspring/crocusspring/internal/resource"
)

// servedPool returns a pool of workers of 16 cores, each with a serving task near its target that reserves some of them.
func servedPool(t *testing.T, now time.Time, reserved float64, ids ...string) *Core {
	t.Helper()
	c := New(options)
	for _, id := range ids {
		c.Attach(now, "node-"+id, link.Worker{ID: id, Service: "pool", Capacity: resource.Vector{MilliCPU: 16_000, MemoryMB: 60_000}}, link.Listing{})
	}
	c.Submit(now, one("serve", 0, job.Step{
		Count: len(ids), Demand: cores(reserved), LongRunning: true, TailTargetMS: 100, Image: "serve", AntiAffinity: 1,
	}))
	if got := started(settle(now, c)); len(got) != len(ids) {
		t.Fatalf("%d serving tasks are started, want %d", len(got), len(ids))
	}
	reportPool(now, c)
	return c
}

// reportPool reports the runs on all linked workers; the tail latency of serving tasks is at their target.
func reportPool(now time.Time, c *Core) {
	for _, w := range c.sortedWorkers {
		var rows []link.RunStatus
		for _, task := range w.tasks {
			rows = append(rows, link.RunStatus{RunRef: task.ref(), Percent: 100, Measurement: 100})
		}
		c.Report(now, w.id, link.Listing{Running: rows})
	}
}

// startsJobWithin runs rounds for some time, grants all requests for approval, and reports whether a task of a job is started.
func startsJobWithin(now time.Time, c *Core, id string, d time.Duration) bool {
	for end := now.Add(d); now.Before(end); now = now.Add(fillerInterval) {
		for _, starts := range started(settle(now, c)) {
			for _, s := range starts {
				if s.Task.Job == id {
					return true
				}
			}
		}
		approveAll(now, c)
		reportPool(now, c)
	}
	return false
}

// TestLateFillerRunsBesideBlockedWorkers guards against a late job that stands still although most of the room is free: its
// fillers are refused beside serving tasks, and the pool counted as busy since a free worker that takes no tasks for a while
// was left out with its room.
func TestLateFillerRunsBesideBlockedWorkers(t *testing.T) {
	now := epoch0
	c := servedPool(t, now, 9, "a", "b")
	c.Attach(now, "node-c", link.Worker{ID: "c", Service: "pool", Capacity: resource.Vector{MilliCPU: 16_000, MemoryMB: 60_000}}, link.Listing{})
	c.health.block(now, now.Add(time.Minute), "c", "runs stand still")
	late := one("late", 2, job.Step{Count: 4, Demand: cores(2.3), EstimateMS: 2000, Filler: true, Image: "fill"})
	late.AcceptedMS -= 8000
	c.Submit(now, late)
	if !startsJobWithin(now, c, "late", standstillDelay) {
		t.Errorf("nothing of the job is started for %s with 18 of 48 cores reserved: %s", standstillDelay, c.waitReason(now, c.jobs["late"].occurrences[0].steps[0]))
	}
}

// TestLateFillerYieldsInFullService guards against fillers of late jobs that are placed beside serving tasks at their target
// while nobody else's room is free: workers that drain or don't answer don't make a service less busy.
func TestLateFillerYieldsInFullService(t *testing.T) {
	for _, state := range []string{"draining", "silent", "drained data centre", "gone"} {
		now := epoch0
		c := servedPool(t, now, 15, "a", "b")
		for _, id := range []string{"c", "d"} {
			c.Attach(now, "node-"+id, link.Worker{
				ID: id, Service: "pool", DataCentre: "dc2", Draining: state == "draining",
				Capacity: resource.Vector{MilliCPU: 16_000, MemoryMB: 60_000},
			}, link.Listing{})
			c.UpdatePressure(now, id, 100, state == "silent")
			if state == "gone" {
				c.Detach(now, id)
			}
		}
		c.SetDrains(map[string]bool{"dc2": state == "drained data centre"}, true)
		late := one("late", 2, job.Step{Count: 4, Demand: cores(2.3), EstimateMS: 2000, Filler: true, Image: "fill"})
		late.AcceptedMS -= 8000
		c.Submit(now, late)
		if startsJobWithin(now, c, "late", standstillDelay) {
			t.Errorf("%s: a filler of a late job is started with 30 of 32 usable cores reserved", state)
		}
	}
}

// TestLostRunHoldsUpNoOthers guards against a job that stands still while the owner waits for the lease of one of its runs
// to expire: its other fillers, refused beside serving tasks, weren't started as starved ones while it held any run.
func TestLostRunHoldsUpNoOthers(t *testing.T) {
	now := epoch0
	c := servedPool(t, now, 4, "a", "b")
	c.opt.RunLease = 10 * time.Second
	c.Attach(now, "node-c", link.Worker{ID: "c", Service: "pool", Capacity: resource.Vector{MilliCPU: 4000, MemoryMB: 60_000}}, link.Listing{})
	c.Submit(now, one("job", 2, job.Step{Count: 2, Demand: cores(3), EstimateMS: 2000, Filler: true, Image: "fill"}))
	now = now.Add(fillerInterval)
	if at, _ := firstStart(t, settle(now, c)); at != "c" || c.jobs["job"].held != 1 {
		t.Fatalf("%d tasks run, the first on %s; want one on c", c.jobs["job"].held, at)
	}
	c.Detach(now, "c")
	if !startsJobWithin(now, c, "job", standstillDelay) {
		t.Errorf("nothing else of the job is started for %s: %s", standstillDelay, c.waitReason(now, c.jobs["job"].occurrences[0].steps[0]))
	}
}

// TestStarvedFillerIsApproved guards against a filler that never starts on a queue with advice: the policy service was asked
// only about workers on which no serving task kept it off, so that the fallback for starved fillers found none approved.
func TestStarvedFillerIsApproved(t *testing.T) {
	now := epoch0
	c := servedPool(t, now, 4, "a", "b")
	spec := one("job", 2, job.Step{Count: 2, Demand: cores(3), EstimateMS: 2000, Filler: true, Image: "fill"})
	spec.Policy.Advice = &job.Advice{DecideMS: 20, EachMS: 5, ValidMS: 3000}
	c.Submit(now, spec)
	if !startsJobWithin(now, c, "job", standstillDelay) {
		t.Errorf("nothing of the job is started for %s: %s", standstillDelay, c.waitReason(now, c.jobs["job"].occurrences[0].steps[0]))
	}
}

// TestApprovalsAreThereOnceStarved guards against a filler on a queue with advice that waits for approvals when it may start
// at last: the policy service answers one request at a time, and was asked only then.
func TestApprovalsAreThereOnceStarved(t *testing.T) {
	now := epoch0
	c := servedPool(t, now, 4, "a", "b")
	spec := one("job", 2, job.Step{Count: 2, Demand: cores(3), EstimateMS: 2000, Filler: true, Image: "fill"})
	spec.Policy.Advice = &job.Advice{DecideMS: 20, EachMS: 5, ValidMS: 3000}
	c.Submit(now, spec)
	now = now.Add(fillerInterval)
	settle(now, c)
	if got := allRequests(now, c); len(got) != 1 || len(got[0].Workers) != 2 {
		t.Errorf("requests %+v at the first refusal, want one about both workers", got)
	}
}

// TestLastingTaskTakesDoubtfulWorker guards against a lasting task that stands still with room for it: the only worker that is
// left for it, since the others have their share of the step, takes nothing for up to a minute after it has failed tasks.
func TestLastingTaskTakesDoubtfulWorker(t *testing.T) {
	now := epoch0
	c := pool(now, "a", "b")
	c.health.block(now, now.Add(time.Minute), "b", "worker is on probation")
	c.Submit(now, one("job", 0, job.Step{Count: 2, Demand: cores(1), LongRunning: true, AntiAffinity: 1}))
	if got := started(settle(now, c)); len(got["a"]) != 1 || len(got["b"]) != 0 {
		t.Fatalf("started %v, want one task on a", got)
	}
	if !startsJobWithin(now, c, "job", standstillDelay) {
		t.Errorf("the second task isn't started within %s: %s", standstillDelay, c.waitReason(now, c.jobs["job"].occurrences[0].steps[0]))
	}
}

// TestLastingTaskAsksAboutDoubtfulWorker is TestLastingTaskTakesDoubtfulWorker on a queue with advice: the policy service was
// asked only about workers that are well.
func TestLastingTaskAsksAboutDoubtfulWorker(t *testing.T) {
	now := epoch0
	c := pool(now, "a")
	c.health.block(now, now.Add(time.Minute), "a", "worker is on probation")
	spec := one("job", 0, job.Step{Count: 1, Demand: cores(1), LongRunning: true})
	spec.Policy.Advice = &job.Advice{DecideMS: 20, EachMS: 5, ValidMS: 3000}
	c.Submit(now, spec)
	if !startsJobWithin(now, c, "job", standstillDelay) {
		t.Errorf("the task isn't started within %s: %s", standstillDelay, c.waitReason(now, c.jobs["job"].occurrences[0].steps[0]))
	}
}

// TestFrozenWorkerLosesNoStart guards against a stop of a run that was listed by nobody since its worker stood still: two
// listings with seconds of silence between them say nothing about the time between.
func TestFrozenWorkerLosesNoStart(t *testing.T) {
	now := epoch0
	c := pool(now, "a")
	c.Submit(now, one("job", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 5000}))
	settle(now, c)
	for _, at := range []time.Duration{10 * time.Millisecond, 2510 * time.Millisecond} {
		c.Report(epoch0.Add(at), "a", link.Listing{})
	}
	if d := settle(epoch0.Add(2520*time.Millisecond), c)["a"]; d != nil && len(d.Stop) > 0 {
		t.Errorf("stops %v at the first listing after the silence", d.Stop)
	}
}

// TestStarvedFillersOverlap guards against a late job of which nothing runs again and again: its fillers were placed one at a
// time, and the next one only after a pause.
func TestStarvedFillersOverlap(t *testing.T) {
	now := epoch0
	c := servedPool(t, now, 4, "a", "b")
	c.Submit(now, one("job", 2, job.Step{Count: 6, Demand: cores(3), EstimateMS: 1000, Filler: true, Image: "fill"}))
	const lasts = time.Second
	idle, began := time.Duration(0), false
	for end := now.Add(8 * time.Second); now.Before(end); now = now.Add(fillerInterval) {
		settle(now, c)
		running := 0
		for _, task := range c.jobs["job"].occurrences[0].steps[0].tasks {
			if !task.held() {
				continue
			}
			running++
			if now.Sub(task.assignedAt) >= lasts {
				c.Ended(now, task.worker, []link.RunEnd{{RunRef: task.ref(), Outcome: link.Stopped}})
				running--
			}
		}
		began = began || running > 0
		if began && running == 0 {
			idle += fillerInterval
		}
		reportPool(now, c)
	}
	if !began || idle > 0 {
		t.Errorf("nothing of the job runs for %s after its first start", idle)
	}
}
