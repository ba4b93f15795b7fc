package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/interfere"
	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
)

// servingPool is a pool in which each worker runs a serving task, reserving a number of cores, whose tail is near its target,
// and that knows that fillers of image f disturb those of image s. It returns the rows that each worker reports.
func servingPool(t *testing.T, reserved float64, workers ...string) (*Core, time.Time, map[string][]link.RunStatus) {
	t.Helper()
	now := epoch0
	c := pool(now, workers...)
	for range 200 {
		c.interferenceModel.Observe(now, interfere.Reading{Group: "known", Image: "s", Headroom: 4})
		c.interferenceModel.Observe(now, interfere.Reading{Group: "known", Image: "s", Headroom: 2, Fillers: map[string]float64{"f": 1}})
	}
	c.Submit(now, one("serve", 0, job.Step{
		Count: len(workers), Demand: cores(reserved), LongRunning: true, TailTargetMS: 100, Image: "s", AntiAffinity: 1,
	}))
	rows := map[string][]link.RunStatus{}
	for id, starts := range started(settle(now, c)) {
		rows[id] = []link.RunStatus{{RunRef: starts[0].RunRef, Percent: 100, Measurement: 100 / 1.3}}
	}
	if len(rows) != len(workers) {
		t.Fatalf("%d workers run a serving task, want %d", len(rows), len(workers))
	}
	return c, now, rows
}

// startsWithin reports whether a task of a job is started within a time, while workers report their rows and all requests
// for approval are granted.
func startsWithin(c *Core, now time.Time, rows map[string][]link.RunStatus, id string, within time.Duration) bool {
	for until := now.Add(within); now.Before(until); now = now.Add(fillerInterval) {
		for worker, r := range rows {
			c.Report(now, worker, link.Listing{Running: r})
		}
		for _, starts := range started(settle(now, c)) {
			for _, s := range starts {
				if s.Task.Job == id {
					return true
				}
			}
		}
		approveAll(now, c)
	}
	return false
}

// TestStarvedFillerIsApproved guards against a filler that never starts on a queue with advice: the policy service was asked
// only about workers on which no serving task kept it off, so that the fallback for starved fillers found none approved.
func TestStarvedFillerIsApproved(t *testing.T) {
	c, now, rows := servingPool(t, 1, "a", "b")
	spec := one("job", 2, job.Step{Count: 2, Demand: cores(1), EstimateMS: 1000, Filler: true, Image: "f"})
	spec.Policy.Advice = &job.Advice{DecideMS: 20, EachMS: 5, ValidMS: 3000}
	c.Submit(now, spec)
	if !startsWithin(c, now, rows, "job", starvationDelay+time.Second) {
		t.Errorf("no filler is started; the step waits for: %s", c.waitReason(c.round.now, c.task(job.TaskID{Job: "job"}).step))
	}
}

// TestLateFillerStartsBesideBlockedWorkers guards against a late filler that stands still while most of the service is free:
// the workers that are blocked for a while, nearly empty ones, didn't count when it was decided whether the pool is busy.
func TestLateFillerStartsBesideBlockedWorkers(t *testing.T) {
	c, now, rows := servingPool(t, 2.5, "a", "b")
	for i := range 2 {
		id := fmt.Sprintf("blocked%d", i)
		c.Attach(now, "node-"+id, link.Worker{ID: id, Service: "pool", Capacity: big}, link.Listing{})
		c.health.block(now.Add(time.Minute), id, "runs stand still")
	}
	spec := one("job", 2, job.Step{Count: 2, Demand: cores(1), EstimateMS: 1000, Filler: true, Image: "f"})
	spec.AcceptedMS -= time.Minute.Milliseconds()
	c.Submit(now, spec)
	if !startsWithin(c, now, rows, "job", starvationDelay+time.Second) {
		t.Errorf("no filler is started; the step waits for: %s", c.waitReason(c.round.now, c.task(job.TaskID{Job: "job"}).step))
	}
}

// startingOn starts jobs of short tasks on worker a, the only one, and attaches four more. It returns the runs on a, which
// are still starting there.
func startingOn(t *testing.T, counts ...int) (*Core, time.Time, []link.RunRef) {
	t.Helper()
	now := epoch0
	c := pool(now, "a")
	want := 0
	for i, n := range counts {
		want += n
		c.Submit(now, one(fmt.Sprintf("job%d", i), 0, job.Step{Count: n, Demand: cores(0.2), EstimateMS: 5000}))
	}
	var refs []link.RunRef
	for _, s := range started(settle(now, c))["a"] {
		refs = append(refs, s.RunRef)
	}
	if len(refs) != want {
		t.Fatalf("%d tasks start on a, want %d", len(refs), want)
	}
	for _, id := range []string{"b", "c", "d", "e"} {
		c.Attach(now, "node-"+id, link.Worker{ID: id, Service: "pool", Capacity: big}, link.Listing{})
	}
	return c, now, refs
}

// startedWithin counts the tasks that are started within a time, by job, on workers that report every 400 ms.
func startedWithin(c *Core, now time.Time, within time.Duration) map[string]int {
	const reportInterval = 400 * time.Millisecond
	out := map[string]int{}
	rows := map[string][]link.RunStatus{}
	for n := 0; time.Duration(n)*fillerInterval < within; n++ {
		if time.Duration(n)*fillerInterval%reportInterval == 0 {
			for id, r := range rows {
				for i := range r {
					r[i].Percent += 5
				}
				c.Report(now, id, link.Listing{Running: r})
			}
		}
		for id, starts := range started(settle(now, c)) {
			for _, s := range starts {
				out[s.Task.Job]++
				rows[id] = append(rows[id], link.RunStatus{RunRef: s.RunRef})
			}
		}
		now = now.Add(fillerInterval)
	}
	return out
}

// TestAnsweringWorkerHasNotCrashed guards against tasks that queue for isolated starts although no worker has crashed: one
// that doesn't answer for longer than a lease was suspected of a crash, also after it had answered again on the same link.
func TestAnsweringWorkerHasNotCrashed(t *testing.T) {
	const tasks = 12
	c, now, _ := startingOn(t, tasks)
	c.UpdatePressure(now, "a", 100, true)
	now = now.Add(options.expiryDelay() + sweepInterval)
	c.expireLeases(now)
	c.UpdatePressure(now, "a", 100, false)
	if got := startedWithin(c, now, time.Second)["job0"]; got != tasks {
		t.Errorf("%d of %d tasks are started within a second after the worker has answered again", got, tasks)
	}
}

// TestSuspectsDontQueueForLong guards against a job that stands still behind the isolated starts of other jobs: a worker
// crashed while many tasks started there, and each was started alone, one after the other.
func TestSuspectsDontQueueForLong(t *testing.T) {
	const allowed = 7 * time.Second // from the crash until a job that has nothing running counts as standing still
	c, now, refs := startingOn(t, 16, 1)
	report := link.Crash{Worker: "a"}
	for _, ref := range refs {
		report.Runs = append(report.Runs, link.CrashedRun{RunRef: ref, AgeMS: 20})
	}
	c.WorkerCrashed(now, report)
	if got := startedWithin(c, now, allowed); got["job1"] == 0 {
		t.Errorf("the second job isn't started within %s, %d of 16 tasks of the first are", allowed, got["job0"])
	}
}

// TestUnlistedRunEnds guards against a job that waits for good for a run that its worker doesn't have: the end got lost
// before any listing showed the run, and a run that is only assigned never counts as stalled.
func TestUnlistedRunEnds(t *testing.T) {
	now := epoch0
	c := pool(now, "a")
	c.Submit(now, one("job", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 1000}))
	_, ref := firstStart(t, settle(now, c))
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		c.Report(now, "a", link.Listing{})
		if d := settle(now, c)["a"]; d != nil && len(d.Stop) == 1 && d.Stop[0] == ref {
			return
		}
	}
	t.Errorf("no stop of %v after 10 s of complete listings that don't show it", ref)
}

// TestVanishedFillerEnds guards against a job that waits for good for a filler that its worker doesn't list any more: at a low
// pace no filler counts as stalled, and a pinned one isn't stopped for its pace.
func TestVanishedFillerEnds(t *testing.T) {
	now := epoch0
	c := pool(now, "a")
	c.Submit(now, one("job", 2, job.Step{Count: 1, Demand: cores(1), EstimateMS: 1000, Filler: true}))
	_, ref := firstStart(t, settle(now, c))
	c.task(ref.Task).pinned = true
	c.Report(now, "a", link.Listing{Running: []link.RunStatus{{RunRef: ref, Percent: 10}}})
	c.UpdatePressure(now, "a", 0, false)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		c.Report(now, "a", link.Listing{})
		if d := settle(now, c)["a"]; d != nil && len(d.Stop) == 1 && d.Stop[0] == ref {
			return
		}
	}
	t.Errorf("no stop of %v after 10 s of complete listings that don't show it", ref)
}
