package sched

import (
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
	"github.com/crocusspring/crocusspring/internal/probation"
)

// onTrial returns a core with a worker on trial: all tasks of a job have failed there, and its probation is over. The tasks
// of the job wait.
func onTrial(t *testing.T, s job.Step) (*Core, time.Time) {
	t.Helper()
	now := epoch0
	c := pool(now, "a")
	spec := one("job", 0, s)
	spec.Policy.MaxAttempts = 10
	c.Submit(now, spec)
	var ends []link.RunEnd
	for i, st := range started(settle(now, c))["a"] {
		ends = append(ends, link.RunEnd{Number: int64(i) + 1, RunRef: st.RunRef, Outcome: link.Failed})
	}
	c.Ended(now, "a", ends)
	if got := c.health.track.State(now, "a"); got != probation.Probation {
		t.Fatalf("worker is %s after %d failures", got, len(ends))
	}
	return c, now.Add(probationLimits().First)
}

// TestLastingTaskDoesNotHoldWorkerOnTrial guards against a worker that takes nothing else for good: after its probation it got a
// lasting task on trial, which has no end, and the trial waited for one.
func TestLastingTaskDoesNotHoldWorkerOnTrial(t *testing.T) {
	c, now := onTrial(t, job.Step{Count: 4, Demand: cores(0.5), LongRunning: true})
	c.Submit(now, one("short", 0, job.Step{Count: 1, Demand: cores(0.5), EstimateMS: 500}))
	var rows []link.RunStatus
	tasks := map[job.TaskID]bool{}
	for range 100 {
		for _, s := range started(settle(now, c))["a"] {
			tasks[s.Task] = true
			if s.Task.Job == "short" {
				c.Ended(now, "a", []link.RunEnd{{Number: 5, RunRef: s.RunRef, Outcome: link.Done}})
				continue
			}
			rows = append(rows, link.RunStatus{RunRef: s.RunRef, Percent: 100})
		}
		now = now.Add(50 * time.Millisecond)
		c.Report(now, "a", link.Listing{Running: rows})
	}
	if len(tasks) != 5 {
		t.Errorf("%d of 5 tasks started in 5 s after the probation; the others wait for: %s", len(tasks), c.waitReason(now, c.task(job.TaskID{Job: "job"}).step))
	}
}

// TestGangEndsTrial guards against a worker that stays on trial with a member of a gang whose end another member's stood for.
func TestGangEndsTrial(t *testing.T) {
	c, now := onTrial(t, job.Step{Count: 3, Demand: cores(1), EstimateMS: 500})
	c.Cancel(now, "job")
	c.Submit(now, one("gang", 0, job.Step{Count: 2, Demand: cores(1), EstimateMS: 500, Gang: true, AntiAffinity: 1}))
	c.Attach(now, "node-b", link.Worker{ID: "b", Service: "pool", Capacity: big}, link.Listing{})
	starts := started(settle(now, c))
	if len(starts["a"]) != 1 || len(starts["b"]) != 1 {
		t.Fatalf("started %v, want a member on each worker", starts)
	}
	c.Ended(now, "b", []link.RunEnd{{Number: 1, RunRef: starts["b"][0].RunRef, Outcome: link.Done}})
	c.Ended(now, "a", []link.RunEnd{{Number: 4, RunRef: starts["a"][0].RunRef, Outcome: link.Done}})
	if got := c.health.refusal(now, "a"); got != "" {
		t.Errorf("worker refuses tasks after the gang has ended: %s", got)
	}
}

// TestExpiredCopyEndsTrial guards against a worker that stays on trial with an earlier run of a speculative task, whose lease
// expired while the worker didn't answer.
func TestExpiredCopyEndsTrial(t *testing.T) {
	c, now := onTrial(t, job.Step{Count: 3, Demand: cores(1), EstimateMS: 500})
	c.Cancel(now, "job")
	c.Submit(now, one("copied", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 500, Speculative: true}))
	id, _ := firstStart(t, settle(now, c))
	c.UpdatePressure(now, id, 100, true)
	now = now.Add(copyDelay + sweepInterval)
	settle(now, c)
	if len(c.workers["a"].copies) != 1 {
		t.Fatal("the run didn't become a copy")
	}
	w := c.workers["a"]
	c.expireRuns(now, w)
	c.UpdatePressure(now, id, 100, false)
	if got := c.health.refusal(now, "a"); got != "" {
		t.Errorf("worker refuses tasks after the lease has expired: %s", got)
	}
}
