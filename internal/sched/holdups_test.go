package sched

import (
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
	"github.com/crocusspring/crocusspring/internal/probation"
	"github.com/crocusspring/crocusspring/internal/resource"
)

// startDelay plays for some time and returns when a task of a job is started first, or -1.
func startDelay(c *Core, id string, now time.Time, within time.Duration) time.Duration {
	for from := now; now.Sub(from) < within; now = now.Add(fillerInterval) {
		if n := startsOf(c, id, &now, now.Add(time.Millisecond)); n > 0 {
			return now.Sub(from)
		}
	}
	return -1
}

// TestLastAttemptHoldsUpNoSiblings guards against a task with its last attempt, which takes no doubtful worker, keeping the other
// tasks of its step off them for up to a minute.
func TestLastAttemptHoldsUpNoSiblings(t *testing.T) {
	for _, step := range []job.Step{finiteStep, fillerStep} {
		now := epoch0
		c := New(options)
		attach(now, c, "a", "pool", "")
		blocked(now, c)
		step.Count = 5
		step.Demand = cores(0.5)
		spec := one("job", 0, step)
		c.Submit(now, spec)
		c.jobs["job"].occurrences[0].steps[0].tasks[0].failedRuns = []int{1}
		c.jobs["job"].occurrences[0].steps[0].tasks[0].run = 1
		if d := startDelay(c, "job", now, 70*time.Second); d < 0 || d >= standstillDelay {
			t.Errorf("%s: the first start is after %s (-1ns: none in 70 s)", kindOf(&step), d)
		}
	}
}

// TestBlockOnTrialIsPassed guards against starved tasks that wait for the end of a block since the worker is on trial without a task.
func TestBlockOnTrialIsPassed(t *testing.T) {
	for _, step := range []job.Step{finiteStep, fillerStep, lastingStep} {
		now := epoch0
		c := New(options)
		attach(now, c, "a", "pool", "")
		for _, id := range []string{"x", "y", "z"} {
			c.health.track.Ended(now, "a", id, true)
		}
		now = now.Add(probationLimits().First)
		if got := c.health.refusal(now, "a"); got != "" || c.health.track.State(now, "a") != probation.Trial {
			t.Fatalf("refusal %q, worker is %s", got, c.health.track.State(now, "a"))
		}
		c.health.block(now, now.Add(suspectDuration), "a", "runs stand still")
		c.Submit(now, one("job", 0, step))
		if d := startDelay(c, "job", now, 20*time.Second); d < 0 || d >= standstillDelay {
			t.Errorf("%s: the first start is after %s", kindOf(&step), d)
		}
	}
}

// TestStallOnTrial is TestBlockOnTrialIsPassed by events alone: a worker whose trial passes by time stalls its runs.
func TestStallOnTrial(t *testing.T) {
	now := epoch0
	c := New(options)
	attach(now, c, "a", "pool", "")
	for _, id := range []string{"x", "y", "z"} {
		c.health.track.Ended(now, "a", id, true)
	}
	now = now.Add(probationLimits().First)
	c.Submit(now, one("job", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 1000}))
	var at []time.Duration
	var stopped time.Time
	frozen := 0.0
	for from := now; now.Sub(from) < 20*time.Second; now = now.Add(fillerInterval) {
		o := settle(now, c)
		for _, starts := range started(o) {
			for range starts {
				at = append(at, now.Sub(from))
				if !stopped.IsZero() {
					if gap := now.Sub(stopped); gap >= standstillDelay {
						t.Errorf("nothing ran from the stop for %s", gap)
					}
					return
				}
			}
		}
		if d := o["a"]; d != nil {
			for _, ref := range d.Stop {
				stopped = now
				c.Ended(now, "a", []link.RunEnd{{Number: 1, RunRef: ref, Outcome: link.Stopped}})
			}
		}
		var rows []link.RunStatus
		for _, r := range c.workers["a"].tasks {
			rows = append(rows, link.RunStatus{RunRef: r.ref(), Percent: frozen})
		}
		c.Report(now, "a", link.Listing{Running: rows})
	}
	t.Errorf("starts at %v, stopped %s", at, stopped.Sub(epoch0))
}

// TestRefusalOfAnotherStep guards against a filler that isn't approved, or whose service has no workers, keeping fillers of the same
// image in other steps from workers.
func TestRefusalOfAnotherStep(t *testing.T) {
	for _, name := range []string{"ticket", "service"} {
		t.Run(name, func(t *testing.T) {
			now := epoch0
			c := New(options)
			attach(now, c, "a", "pool", "")
			attach(now, c, "b", "pool2", "")
			c.Submit(now, one("occupant", 0, job.Step{Count: 1, Demand: cores(2.2), LongRunning: true}))
			o2 := one("occupant2", 0, job.Step{Count: 1, Demand: cores(2.2), LongRunning: true})
			o2.Policy.Service = "pool2"
			c.Submit(now, o2)
			settle(now, c)
			reportProgress(now, c)
			step := job.Step{Count: 4, Demand: cores(1), EstimateMS: 2000, Filler: true, Image: "fill"}
			first := one("first", 0, step)
			second := one("second", 1, step)
			first.AcceptedMS -= 20_000
			second.AcceptedMS -= 20_000
			if name == "ticket" {
				first.Policy.Advice = &job.Advice{DecideMS: 20, EachMS: 5, ValidMS: 3000}
			} else {
				first.Policy.Service = "nowhere"
			}
			c.Submit(now, first)
			c.Submit(now, second)
			d := startDelay(c, "second", now, 20*time.Second)
			if d < 0 || d >= standstillDelay {
				s := c.jobs["second"].occurrences[0].steps[0]
				t.Errorf("the first start is after %s; waits for %q, fallback %q, lateness %d", d, c.waitReason(now, s), c.fallbackRefusal(now.Add(20*time.Second), s), c.jobs["second"].lateness)
			}
		})
	}
}

// TestSilentKeptWorkerHoldsUpNoOthers guards against suspects that wait for the end of the lease of a worker that was kept for
// another one and has fallen silent.
func TestSilentKeptWorkerHoldsUpNoOthers(t *testing.T) {
	for _, how := range []string{"mute", "detached"} {
		t.Run(how, func(t *testing.T) {
			now := epoch0
			c := prodPool(now, "a", "b", "c", "d")
			for _, id := range []string{"one", "two"} {
				c.Submit(now, one(id, 0, job.Step{Count: 1, Demand: cores(1), LongRunning: true}))
				c.addCrash(c.jobs[id].occurrences[0].steps[0].tasks[0], crash{Worker: "gone", Run: 1, Sole: true})
			}
			at := ""
			for id, s := range started(settle(now, c)) {
				at = id
				if len(s) != 1 || s[0].Task.Job != "one" {
					t.Fatalf("started %v", s)
				}
			}
			now = now.Add(100 * time.Millisecond)
			if how == "mute" {
				c.UpdatePressure(now, at, 100, true)
			} else {
				c.Detach(now, at)
			}
			from := now
			for ; now.Sub(from) < 30*time.Second; now = now.Add(fillerInterval) {
				for _, s := range started(settle(now, c)) {
					if s[0].Task.Job == "two" {
						if d := now.Sub(from); d >= standstillDelay {
							t.Errorf("the other suspect starts after %s", d)
						} else {
							t.Logf("after %s", d)
						}
						return
					}
				}
				for _, w := range c.sortedWorkers {
					if w.answers() {
						c.Report(now, w.id, link.Listing{})
					}
				}
			}
			t.Error("never")
		})
	}
}

// TestGangBesideSuspects guards against a gang that waits for a whole queue of suspects, since the workers that it needs are never free
// together.
func TestGangBesideSuspects(t *testing.T) {
	for _, n := range []int{12, 48, 200} {
		now := epoch0
		c := New(options)
		attach(now, c, "a", "pool", "")
		attach(now, c, "b", "pool", "")
		c.Submit(now, one("suspects", 0, job.Step{Count: n, Demand: resource.Vector{MilliCPU: 10, MemoryMB: 5}, EstimateMS: 600_000}))
		for _, task := range c.jobs["suspects"].occurrences[0].steps[0].tasks {
			c.addCrash(task, crash{Worker: "gone", Run: 1, Sole: true})
		}
		settle(now, c)
		c.Submit(now, one("gang", 0, job.Step{Count: 2, Demand: cores(2.1), EstimateMS: 1000, Gang: true}))
		if d := startDelay(c, "gang", now, 100*time.Second); d < 0 || d >= standstillDelay {
			t.Errorf("%d suspects: the gang starts after %s", n, d)
		}
	}
}

// TestStrayHoldsUpNoSiblings guards against a stray run of one task, on a worker that is gone, holding up the others of its step.
func TestStrayHoldsUpNoSiblings(t *testing.T) {
	now := epoch0
	c := prodPool(now, "a", "b", "c", "d")
	row := link.RunStatus{RunRef: link.RunRef{Task: job.TaskID{Job: "job"}, Run: 7}}
	c.Submit(now, one("job", 0, job.Step{Count: 20, Demand: cores(0.1), EstimateMS: 1000}))
	c.Report(now, "a", link.Listing{Running: []link.RunStatus{row}})
	c.Detach(now, "a")
	d := startDelay(c, "job", now, 30*time.Second)
	if d < 0 || d >= standstillDelay {
		t.Errorf("the first of 20 tasks starts after %s", d)
	} else {
		t.Logf("after %s", d)
	}
}

// TestVerdictHoldsUpNoSiblings guards against a whole step that waits until it is known whether a worker has crashed under one of its
// tasks.
func TestVerdictHoldsUpNoSiblings(t *testing.T) {
	now := epoch0
	c := prodPool(now, "a", "b", "c", "d")
	c.Submit(now, one("job", 0, job.Step{Count: 5, Demand: cores(0.1), LongRunning: true}))
	task := c.jobs["job"].occurrences[0].steps[0].tasks[0]
	for _, gone := range []string{"g1", "g2", "g3", "g4"} {
		c.addCrash(task, crash{Worker: gone, Run: 1, AgeMS: 5000})
	}
	c.addCrash(task, crash{Worker: "g5", Run: 2, AgeMS: 5000, Pending: true})
	d := startDelay(c, "job", now, 30*time.Second)
	if d < 0 || d >= standstillDelay {
		t.Errorf("the first of 5 lasting tasks starts after %s", d)
	}
}

// TestFreshCopySettles guards against a worker that never counts as quiet, since a copy that it has became one before it had settled.
func TestFreshCopySettles(t *testing.T) {
	now := epoch0
	c := New(options)
	attach(now, c, "a", "pool", "")
	attach(now, c, "b", "pool", "")
	c.Submit(now, one("spec", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 60_000, Speculative: true}))
	at := ""
	for id := range started(settle(now, c)) {
		at = id
	}
	task := c.jobs["spec"].occurrences[0].steps[0].tasks[0]
	c.UpdatePressure(now, at, 100, true)
	rows := map[string]map[link.RunRef]bool{"a": {}, "b": {}}
	rows[at][task.ref()] = true
	from := now
	submitted := time.Time{}
	for ; now.Sub(from) < 30*time.Second; now = now.Add(fillerInterval) {
		if now.Sub(from) >= 1500*time.Millisecond && submitted.IsZero() {
			c.UpdatePressure(now, at, 100, false)
			submitted = now
			other := "a"
			if at == "a" {
				other = "b"
			}
			t.Logf("copies %v on %s", task.copies, at)
			c.Detach(now, other)
			c.RemoveWorker(now, other)
			delete(rows, other)
			c.Submit(now, one("suspect", 0, job.Step{Count: 1, Demand: cores(1), LongRunning: true}))
			c.addCrash(c.jobs["suspect"].occurrences[0].steps[0].tasks[0], crash{Worker: "gone", Run: 1, Sole: true})
		}
		for id, starts := range started(settle(now, c)) {
			for _, s := range starts {
				if s.Task.Job == "suspect" {
					t.Logf("suspect after %s", now.Sub(submitted))
					if now.Sub(submitted) >= standstillDelay {
						t.Errorf("too late")
					}
					return
				}
				rows[id][s.RunRef] = true
			}
		}
		for id, refs := range rows {
			w := c.workers[id]
			if !w.answers() {
				continue
			}
			var out []link.RunStatus
			for ref := range refs {
				out = append(out, link.RunStatus{RunRef: ref, Percent: 99 * now.Sub(from).Seconds() / 60})
			}
			c.Report(now, id, link.Listing{Running: out})
		}
	}
	t.Errorf("never; isolated %q, copies %v", c.isolationSummary(now), task.copies)
}

// prodPool returns a pool with the leases of production.
func prodPool(now time.Time, ids ...string) *Core {
	opt := options
	opt.RunLease, opt.RunLeaseExtension, opt.HalfQuorumTime, opt.GuardSilence, opt.Margin = 4*time.Second, 6*time.Second, 2*time.Second, time.Second, 200*time.Millisecond
	c := New(opt)
	for _, id := range ids {
		attach(now, c, id, "pool", "")
	}
	return c
}

// TestGangOfSuspects guards against a gang whose members are suspects getting no gap between the isolated starts of others.
func TestGangOfSuspects(t *testing.T) {
	for _, suspect := range []bool{false, true} {
		now := epoch0
		c := New(options)
		attach(now, c, "a", "pool", "")
		c.Submit(now, one("suspects", 0, job.Step{Count: 30, Demand: resource.Vector{MilliCPU: 10, MemoryMB: 5}, EstimateMS: 600_000}))
		for _, task := range c.jobs["suspects"].occurrences[0].steps[0].tasks {
			c.addCrash(task, crash{Worker: "gone", Run: 1, Sole: true})
		}
		settle(now, c)
		c.Submit(now, one("gang", 0, gangStep))
		if suspect {
			for _, task := range c.jobs["gang"].occurrences[0].steps[0].tasks {
				c.addCrash(task, crash{Worker: "gone", Run: 1})
			}
		}
		if d := startDelay(c, "gang", now, 100*time.Second); d < 0 || d >= standstillDelay {
			t.Errorf("suspects %t: the gang starts after %s", suspect, d)
		}
	}
}

// TestWideGangBesideSuspects is TestGangBesideSuspects with a gang that needs all workers but one, of 4 and of 8.
func TestWideGangBesideSuspects(t *testing.T) {
	for _, n := range []int{4, 8} {
		now := epoch0
		c := New(options)
		for i := range n {
			attach(now, c, string(rune('a'+i)), "pool", "")
		}
		c.Submit(now, one("suspects", 0, job.Step{Count: 100, Demand: resource.Vector{MilliCPU: 10, MemoryMB: 5}, EstimateMS: 600_000}))
		for _, task := range c.jobs["suspects"].occurrences[0].steps[0].tasks {
			c.addCrash(task, crash{Worker: "gone", Run: 1, Sole: true})
		}
		settle(now, c)
		c.Submit(now, one("gang", 0, job.Step{Count: 2 * (n - 1), Demand: cores(1.9), EstimateMS: 1000, Gang: true}))
		if d := startDelay(c, "gang", now, 100*time.Second); d < 0 || d >= standstillDelay {
			t.Errorf("%d workers: the gang that needs %d starts after %s", n, n-1, d)
		}
	}
}

// TestFillersBesideUnapproved guards against fewer starts of fillers beside a step of the same image that isn't approved.
func TestFillersBesideUnapproved(t *testing.T) {
	starts := map[bool]int{}
	for _, beside := range []bool{false, true} {
		now := epoch0
		c := pool(now, "a", "b", "c", "d")
		step := job.Step{Count: 40, Demand: cores(1), EstimateMS: 2000, Filler: true, Image: "fill"}
		if beside {
			first := one("first", 0, step)
			first.Policy.Advice = &job.Advice{DecideMS: 20, EachMS: 5, ValidMS: 3000}
			c.Submit(now, first)
		}
		c.Submit(now, one("second", 1, step))
		starts[beside] = startsOf(c, "second", &now, now.Add(10*time.Second))
	}
	t.Logf("starts within 10 s: %v", starts)
	if starts[true] < starts[false] {
		t.Errorf("%d starts beside a step that isn't approved, %d without it", starts[true], starts[false])
	}
}

// TestShortSuspectsTakeTurns guards against a job that stands still behind all suspects of another one whose runs are short: between
// two of them nothing of that job runs, and its next suspect has queued for longest.
func TestShortSuspectsTakeTurns(t *testing.T) {
	for _, n := range []int{1, 4} {
		now := epoch0
		c := New(options)
		for i := range n {
			attach(now, c, string(rune('a'+i)), "pool", "")
		}
		suspects := func(id string, count int) {
			c.Submit(now, one(id, 0, job.Step{Count: count, Demand: cores(0.1), EstimateMS: 400}))
			for _, task := range c.jobs[id].occurrences[0].steps[0].tasks {
				c.addCrash(task, crash{Worker: "gone", Run: 1, Sole: true})
			}
		}
		suspects("wide", 40)
		first := map[string]time.Duration{}
		count := map[string]int{}
		ends := map[string]int64{}
		from := now
		submitted := false
		for ; now.Sub(from) < 60*time.Second && first["zlate"] == 0; now = now.Add(fillerInterval) {
			if !submitted && now.Sub(from) >= 500*time.Millisecond {
				suspects("zlate", 1)
				submitted = true
			}
			for _, starts := range started(settle(now, c)) {
				for _, s := range starts {
					count[s.Task.Job]++
					if first[s.Task.Job] == 0 {
						first[s.Task.Job] = now.Sub(from)
					}
				}
			}
			reportProgress(now, c)
			for _, w := range c.sortedWorkers {
				for _, r := range w.tasks {
					if now.Sub(r.assignedAt) >= 400*time.Millisecond {
						ends[w.id]++
						c.Ended(now, w.id, []link.RunEnd{{Number: ends[w.id], RunRef: r.ref(), Outcome: link.Done}})
					}
				}
			}
		}
		if d := first["zlate"] - 500*time.Millisecond; d < 0 || d > 5*time.Second {
			t.Errorf("%d workers: the other job starts after %s, after %d starts of the wide one", n, d, count["wide"])
		}
	}
}
