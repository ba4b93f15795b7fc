package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
)

// lastAttempt submits a job of one task with one attempt.
func lastAttempt(now time.Time, c *Core) {
	spec := one("last", 0, finiteStep)
	spec.Policy.MaxAttempts = 1
	c.Submit(now, spec)
}

// TestLastAttemptTakesSoundWorker guards against a job that fails on a doubtful worker although a sound one has room for the task's last
// attempt.
func TestLastAttemptTakesSoundWorker(t *testing.T) {
	now := epoch0
	c := pool(now, "a")
	blocked(now, c)
	attach(now, c, "b", "pool", "")
	lastAttempt(now, c)
	if runs := startedRuns(c, "last", &now, now.Add(fillerInterval), 1); len(runs) != 1 || runs[0].worker != "b" {
		t.Errorf("started %v, want the task on b, which is sound", runs)
	}
}

// TestLastAttemptAwaitsRoom guards against a job that fails on a doubtful worker although a sound one will have room for the task's last
// attempt once a run ends, in a service that is more than half in use, and against one that waits for room that no end brings.
func TestLastAttemptAwaitsRoom(t *testing.T) {
	for _, lasts := range []bool{false, true} {
		now := epoch0
		c := pool(now, "a")
		blocked(now, c)
		attach(now, c, "b", "pool", "")
		c.Submit(now, one("fills", 0, job.Step{Count: 1, Demand: cores(3.6), EstimateMS: 4500, LongRunning: lasts}))
		c.Submit(now, one("fills too", 0, job.Step{Count: 1, Demand: cores(0.4), EstimateMS: 4500}))
		settle(now, c)
		lastAttempt(now, c)
		runs := startedRuns(c, "last", &now, now.Add(4*time.Second), 1)
		if want := toInt(lasts); len(runs) != want {
			t.Errorf("started %v, want %d runs on the doubtful worker beside a sound one whose room is taken for good: %t", runs, want, lasts)
		}
		if lasts {
			continue
		}
		c.Ended(now, "b", []link.RunEnd{{Number: 1, RunRef: c.workers["b"].tasks[0].ref(), Outcome: link.Done}})
		if runs := startedRuns(c, "last", &now, now.Add(fillerInterval), 1); len(runs) != 1 || runs[0].worker != "b" {
			t.Errorf("started %v once the run has ended, want the task on b", runs)
		}
	}
}

// TestLastAttemptComesAfterOthers guards against a job that fails on a doubtful worker which a task with more attempts, of another job or
// of the same step, may try first or is trying: it gets the worker first, and the last attempt starts once that has gone well or has
// failed and the worker has been left alone for a while.
func TestLastAttemptComesAfterOthers(t *testing.T) {
	for _, outcome := range []link.Outcome{link.Done, link.Failed} {
		now := epoch0
		c := pool(now, "a")
		blocked(now, c)
		lastAttempt(now, c)
		c.Submit(now, one("other", 0, finiteStep))
		runs := startedRuns(c, "other", &now, now.Add(standstillDelay), 1)
		if len(runs) != 1 || c.jobs["last"].held > 0 {
			t.Fatalf("%v of the job with two attempts and %d of the one with one are started, want the first alone", runs, c.jobs["last"].held)
		}
		tried := now
		if n := startsOf(c, "last", &now, now.Add(time.Second)); n > 0 {
			t.Error("the last attempt starts beside the task that tries the worker")
		}
		c.health.blockedUntil["a"] = now
		if outcome == link.Failed {
			blocked(now, c)
		}
		c.Ended(now, "a", []link.RunEnd{{Number: 1, RunRef: runs[0].ref, Outcome: outcome}})
		last := startedRuns(c, "last", &now, now.Add(standstillDelay), 1)
		switch after := now.Add(-fillerInterval).Sub(tried); {
		case len(last) != 1:
			t.Errorf("%s: the last attempt isn't started within %s", outcome, standstillDelay)
		case outcome == link.Failed && after < lastAttemptDelay-fillerInterval:
			t.Errorf("the last attempt starts %s after another task tried the worker, want %s", after, lastAttemptDelay)
		}
	}
}

// TestTaskWithFewestFailuresTriesWorker guards against a step that risks a task's last attempt, or the one that has failed most, on a
// doubtful worker while another of its tasks may try it.
func TestTaskWithFewestFailuresTriesWorker(t *testing.T) {
	now := epoch0
	c := pool(now, "a")
	blocked(now, c)
	spec := one("job", 0, job.Step{Count: 3, Demand: cores(1), EstimateMS: 1000})
	spec.Policy.MaxAttempts = 3
	c.Submit(now, spec)
	tasks := c.jobs["job"].occurrences[0].steps[0].tasks
	tasks[0].failedRuns, tasks[1].failedRuns = []int{1, 2}, []int{1}
	var order []int
	for range 2 {
		for _, r := range startedRuns(c, "job", &now, now.Add(standstillDelay), 1) {
			order = append(order, r.ref.Task.Index)
			failRuns(now, c, []startedRun{r})
		}
	}
	if len(order) != 2 || order[0] != 2 || order[1] == 0 {
		t.Errorf("tasks %v try the worker, want task 2, which hasn't failed yet, and then 1 or 2", order)
	}
}

// TestDoubtfulWorkerWithLeastLeft guards against a starved task that takes any doubtful worker rather than the one whose failures are
// longest ago.
func TestDoubtfulWorkerWithLeastLeft(t *testing.T) {
	now := epoch0
	c := pool(now, "a", "b", "c")
	for id, left := range map[string]time.Duration{"a": 40 * time.Second, "b": 20 * time.Second, "c": time.Minute} {
		c.health.block(now, now.Add(left), id, "worker is on probation")
	}
	lastAttempt(now, c)
	if runs := startedRuns(c, "last", &now, now.Add(standstillDelay), 1); len(runs) != 1 || runs[0].worker != "b" {
		t.Errorf("started %v, want the task on b, whose probation ends first", runs)
	}
}

// placedOn returns how many tasks of a job each worker holds.
func placedOn(c *Core, id string) map[string]int {
	out := map[string]int{}
	for _, task := range c.jobs[id].occurrences[0].steps[0].tasks {
		if task.held() {
			out[task.worker]++
		}
	}
	return out
}

// TestStarvedGangTakesSoundWorkersFirst guards against a starved gang that puts members on doubtful workers although sound ones have room
// for some of them.
func TestStarvedGangTakesSoundWorkersFirst(t *testing.T) {
	now := epoch0
	c := pool(now, "a", "b")
	c.health.block(now, now.Add(time.Minute), "a", "worker is on probation")
	c.Submit(now, one("occupant", 0, job.Step{Count: 1, Demand: cores(1.5), EstimateMS: 60_000}))
	settle(now, c)
	c.Submit(now, one("gang", 0, job.Step{Count: 3, Demand: cores(1), EstimateMS: 1000, Gang: true, DataRack: "r-a"}))
	startsOf(c, "gang", &now, now.Add(standstillDelay))
	if got := placedOn(c, "gang"); got["a"] != 1 || got["b"] != 2 {
		t.Errorf("members are placed on %v, want two on b, which is sound and has room for them", got)
	}
}

// TestMemberWithLastAttemptTakesSoundWorker guards against a gang whose member has its last attempt on a doubtful worker while another
// member takes the room of a sound one.
func TestMemberWithLastAttemptTakesSoundWorker(t *testing.T) {
	now := epoch0
	c := pool(now, "a", "b")
	c.health.block(now, now.Add(time.Minute), "a", "worker is on probation")
	c.Submit(now, one("gang", 0, job.Step{Count: 2, Demand: cores(1), EstimateMS: 1000, Gang: true, AntiAffinity: 1}))
	tasks := c.jobs["gang"].occurrences[0].steps[0].tasks
	tasks[1].failedRuns = []int{1}
	runs := startedRuns(c, "gang", &now, now.Add(lastAttemptDelay-2*fillerInterval), 2)
	if len(runs) != 2 || tasks[1].worker != "b" {
		t.Errorf("started %v, want both members before any may risk its last attempt, that with one left on b", runs)
	}
}

// TestManyLastAttemptsStartInTime guards against jobs that stand still behind the last attempt of another one, since one task at a time
// tries a doubtful worker: all start in time once the first one's run has been listed for a while, also if it doesn't end.
func TestManyLastAttemptsStartInTime(t *testing.T) {
	const jobs = 8
	for _, ids := range [][]string{{"a"}, {"a", "b", "c"}} {
		now := epoch0
		c := pool(now, ids...)
		onProbation(now, c)
		for n := range jobs {
			spec := one(fmt.Sprintf("job%d", n), 0, job.Step{Count: 1, Demand: cores(0.2), EstimateMS: 60_000})
			spec.Policy.MaxAttempts = 1
			c.Submit(now, spec)
		}
		starts := 0
		for until := now.Add(standstillDelay); now.Before(until); now = now.Add(fillerInterval) {
			for _, s := range started(settle(now, c)) {
				starts += len(s)
			}
			if now.Sub(epoch0)%(200*time.Millisecond) == 0 {
				reportProgress(now, c)
			}
		}
		if starts != jobs {
			t.Errorf("%d of %d jobs start within %s on %d workers that are sound again", starts, jobs, standstillDelay, len(ids))
		}
	}
}

// TestJobsThatComeOneByOneStartInTime guards against jobs that stand still behind the trials of a worker that is sound again: the first
// run there proves it, and those whose turn didn't come in the same round, and gangs, waited for a second trial as well.
func TestJobsThatComeOneByOneStartInTime(t *testing.T) {
	const jobs, interval, round = 8, 35 * time.Millisecond, 5 * time.Millisecond
	for _, attempts := range []int{1, 2} {
		for _, step := range []job.Step{finiteStep, fillerStep, gangStep} {
			for _, ids := range [][]string{{"a"}, {"a", "b"}} {
				step.Demand, step.EstimateMS = cores(0.1), 60_000
				now := epoch0
				c := pool(now, ids...)
				onProbation(now, c)
				waits := map[string]time.Duration{}
				for until := now.Add(2 * standstillDelay); now.Before(until); now = now.Add(round) {
					at := now.Sub(epoch0)
					if n := int(at / interval); n < jobs && at%interval == 0 {
						spec := one(fmt.Sprintf("job%d", n), 0, step)
						spec.Policy.MaxAttempts = attempts
						c.Submit(now, spec)
					}
					for _, starts := range started(settle(now, c)) {
						for _, s := range starts {
							waits[s.Task.Job] = now.Sub(c.jobs[s.Task.Job].acceptedAt)
						}
					}
					if at%(200*time.Millisecond) == 0 {
						reportProgress(now, c)
					}
				}
				for n := range jobs {
					id := fmt.Sprintf("job%d", n)
					if wait, ok := waits[id]; !ok || wait > standstillDelay {
						t.Errorf("%s steps with %d attempts on %d workers: %s waits for %s, started %t", kindOf(&step), attempts, len(ids), id, wait, ok)
					}
				}
			}
		}
	}
}

// TestRunEndsBlock guards against jobs that stand still until the block of a worker on which runs stood still is over, although a run
// that was risked there meanwhile makes progress, and against a block that ends although it makes none.
func TestRunEndsBlock(t *testing.T) {
	const jobs = 8
	for _, step := range []job.Step{finiteStep, fillerStep, gangStep} {
		for _, progresses := range []bool{true, false} {
			step.Demand, step.EstimateMS = cores(0.1), 60_000
			now := epoch0
			c := pool(now, "a")
			standing(now, c)
			now = now.Add(stallTimeout + sweepInterval)
			for n := range jobs {
				c.Submit(now, one(fmt.Sprintf("job%d", n), 0, step))
			}
			began := map[string]bool{}
			for until := now.Add(standstillDelay); now.Before(until); now = now.Add(fillerInterval) {
				for _, starts := range started(settle(now, c)) {
					for _, s := range starts {
						began[s.Task.Job] = true
					}
				}
				var rows []link.RunStatus
				for _, task := range c.workers["a"].tasks {
					rows = append(rows, link.RunStatus{RunRef: task.ref()})
				}
				if progresses {
					reportProgress(now, c)
				} else {
					c.Report(now, "a", link.Listing{Running: rows})
				}
			}
			if want := map[bool]int{true: jobs, false: 1}[progresses]; len(began) != want {
				t.Errorf("%s steps: %d of %d jobs start within %s beside a run that makes progress: %t, want %d", kindOf(&step), len(began), jobs,
					standstillDelay, progresses, want)
			}
		}
	}
}
