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
