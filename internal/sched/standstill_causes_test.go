package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
)

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
	// A guard tells that its worker answers again with what it lists.
	c.UpdatePressure(now, "a", 100, false)
	c.Report(now, "a", link.Listing{})
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
