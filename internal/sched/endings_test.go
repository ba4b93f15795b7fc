package sched

import (
	"strings"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
	"github.com/crocusspring/crocusspring/internal/resource"
)

// refusalScene is a service in which a filter refuses a task on every worker.
type refusalScene struct {
	filter string
	// step is that of the job "job", which the scene submits last, after what arrange has done.
	step    job.Step
	arrange func(now time.Time, c *Core)
	// end brings about what the filter names as the end of its refusals. It is nil if starved tasks of the step pass the
	// filter, or if the refusals end by themselves.
	end func(now time.Time, c *Core)
	// advice says that the queue takes advice; nobody answers before the end.
	advice bool
	// before is how many tasks the step has besides, which are started at once.
	before int
}

// attach attaches a worker of a service, with a label.
func attach(now time.Time, c *Core, id, service, label string) {
	c.Attach(now, "node-"+id, link.Worker{ID: id, Service: service, Kind: label, Capacity: big}, link.Listing{})
}

// occupy starts a task that lasts on worker a, which leaves a part of a core free.
func occupy(now time.Time, c *Core) {
	c.Submit(now, one("occupant", 0, job.Step{Count: 1, Demand: cores(3.6), LongRunning: true}))
	settle(now, c)
	reportProgress(now, c)
}

// reserveForLarge lets a task run on worker a for some seconds more, and a large one wait for its room.
func reserveForLarge(now time.Time, c *Core) {
	c.Submit(now, one("occupant", 0, job.Step{Count: 1, Demand: cores(2), EstimateMS: 4500}))
	settle(now, c)
	reportProgress(now, c)
	c.Submit(now, one("large", 0, job.Step{Count: 1, Demand: cores(3.5), EstimateMS: 60_000}))
	settle(now, c)
	settle(now.Add(reserveDelay), c)
}

// queueSuspects lets twelve tasks wait for isolated starts on worker a, one after the other.
func queueSuspects(now time.Time, c *Core) {
	c.Submit(now, one("suspects", 0, job.Step{Count: 12, Demand: cores(0.1), EstimateMS: 60_000}))
	for _, t := range c.jobs["suspects"].occurrences[0].steps[0].tasks {
		c.addCrash(t, crash{Worker: "gone", Run: 1, Sole: true})
	}
	settle(now, c)
}

// tryFiller starts a serving task at its target on worker a and a filler beside it, whose effect isn't known yet.
func tryFiller(now time.Time, c *Core) {
	c.Submit(now, one("serve", 0, job.Step{Count: 1, Demand: cores(1), LongRunning: true, TailTargetMS: 100, Image: "serve"}))
	settle(now, c)
	reportProgress(now, c)
	other := fillerStep
	other.EstimateMS = 60_000
	c.Submit(now, one("other", 0, other))
	settle(now.Add(fillerInterval), c)
}

// finiteStep, fillerStep, lastingStep and gangStep are steps of each kind.
var (
	finiteStep  = job.Step{Count: 1, Demand: cores(1), EstimateMS: 1000}
	fillerStep  = job.Step{Count: 1, Demand: cores(2), EstimateMS: 2000, Filler: true, Image: "fill"}
	lastingStep = job.Step{Count: 1, Demand: cores(1), LongRunning: true}
	gangStep    = job.Step{Count: 2, Demand: cores(1), EstimateMS: 1000, Gang: true}
)

// blocked lets worker a take no tasks for a minute, as after failures.
func blocked(now time.Time, c *Core) {
	c.health.block(now.Add(time.Minute), "a", "worker is on probation")
}

// refusalScenes has a scene for each filter at least. Worker a is the only one.
var refusalScenes = []refusalScene{
	{
		filter: "service", step: finiteStep, arrange: func(now time.Time, c *Core) { attach(now, c, "a", "other", "") },
		end: func(now time.Time, c *Core) { attach(now, c, "b", "pool", "") },
	},
	{
		filter: "attached", step: finiteStep, arrange: func(now time.Time, c *Core) { c.Detach(now, "a") },
		end: func(now time.Time, c *Core) { attach(now, c, "a", "pool", "") },
	},
	{
		filter: "draining", step: finiteStep, arrange: func(now time.Time, c *Core) {
			c.Update(now, link.Worker{ID: "a", Service: "pool", Capacity: big, Draining: true, RemainingMS: 60_000})
		},
		end: func(now time.Time, c *Core) {
			c.RemoveWorker(now, "a")
			attach(now, c, "b", "pool", "")
		},
	},
	{
		filter: "data centre", step: finiteStep, arrange: func(_ time.Time, c *Core) { c.SetDrains(inDrained(""), true) },
		end: func(_ time.Time, c *Core) { c.SetDrains(nil, true) },
	},
	{
		filter: "mute", step: finiteStep, arrange: func(now time.Time, c *Core) { c.UpdatePressure(now, "a", 100, true) },
		end: func(now time.Time, c *Core) { c.UpdatePressure(now, "a", 100, false) },
	},
	{filter: "health", step: finiteStep, arrange: blocked},
	{filter: "health", step: fillerStep, arrange: blocked},
	{filter: "health", step: lastingStep, arrange: blocked},
	{filter: "health", step: gangStep, arrange: blocked},
	{
		filter: "label", step: job.Step{Count: 1, Demand: cores(1), EstimateMS: 1000, Requires: "large"}, arrange: func(time.Time, *Core) {},
		end: func(now time.Time, c *Core) { attach(now, c, "b", "pool", "large") },
	},
	{
		filter: "stray run", step: finiteStep, arrange: func(now time.Time, c *Core) {
			row := link.RunStatus{RunRef: link.RunRef{Task: job.TaskID{Job: "job"}, Run: 7}}
			c.Report(now, "a", link.Listing{Running: []link.RunStatus{row}})
		},
		end: func(now time.Time, c *Core) {
			c.Ended(now, "a", []link.RunEnd{{RunRef: link.RunRef{Task: job.TaskID{Job: "job"}, Run: 7}, Outcome: link.Stopped}})
		},
	},
	{
		filter: "capacity", step: finiteStep, arrange: occupy, end: func(now time.Time, c *Core) {
			c.Cancel(now, "occupant")
			c.Ended(now, "a", []link.RunEnd{{Number: 1, RunRef: c.workers["a"].tasks[0].ref(), Outcome: link.Stopped}})
		},
	},
	{filter: "isolation", step: finiteStep, arrange: queueSuspects},
	{filter: "isolation", step: lastingStep, arrange: queueSuspects},
	{filter: "urgent", step: job.Step{Count: 1, Demand: cores(3.9), LongRunning: true}, arrange: func(time.Time, *Core) {}},
	{filter: "filler", step: fillerStep, arrange: func(now time.Time, c *Core) { c.UpdatePressure(now, "a", minFillerPace/2, false) }},
	{filter: "tails", step: fillerStep, arrange: tryFiller},
	{filter: "reserved", step: lastingStep, arrange: reserveForLarge},
	{
		filter: "anti-affinity", step: job.Step{Count: 1, Demand: cores(1), EstimateMS: 1000, AntiAffinity: 1}, arrange: func(time.Time, *Core) {}, before: 1,
		end: func(now time.Time, c *Core) { attach(now, c, "b", "pool", "") },
	},
	{
		filter: "ticket", step: finiteStep, arrange: func(time.Time, *Core) {}, advice: true,
		end: func(now time.Time, c *Core) { approveAll(now, c) },
	},
}

// reportProgress reports the runs on all linked workers: finite tasks as far as they should be, those that last at work with
// a tail latency of 100 ms.
func reportProgress(now time.Time, c *Core) {
	for _, w := range c.sortedWorkers {
		if w.unresponsive {
			continue
		}
		var rows []link.RunStatus
		for _, t := range w.tasks {
			row := link.RunStatus{RunRef: t.ref(), Percent: 100, Measurement: 100}
			if s := t.step.spec; !s.LongRunning {
				row.Percent = min(99, 100*float64(now.Sub(t.assignedAt).Milliseconds())/float64(s.EstimateMS))
			}
			rows = append(rows, row)
		}
		for ref := range w.unknownRuns {
			rows = append(rows, link.RunStatus{RunRef: ref})
		}
		c.Report(now, w.id, link.Listing{Running: rows})
	}
}

// startsOf plays until a time and returns how many tasks of a job are started.
func startsOf(c *Core, id string, now *time.Time, until time.Time) int {
	n := 0
	for ; now.Before(until); *now = now.Add(fillerInterval) {
		for _, starts := range started(settle(*now, c)) {
			for _, s := range starts {
				if s.Task.Job == id {
					n++
				}
			}
		}
		reportProgress(*now, c)
	}
	return n
}

// TestEveryRefusalEnds guards against a refusal without an end: a task stands still with room for it, since nothing brings the
// end about or its time is longer than customers wait. It goes through all filters: what a filter names ends its refusals, or a
// starved task passes it in time.
func TestEveryRefusalEnds(t *testing.T) {
	seen := map[string]bool{}
	for _, scene := range refusalScenes {
		seen[scene.filter] = true
		t.Run(scene.filter+"/"+kindOf(&scene.step), func(t *testing.T) { playRefusal(t, scene) })
	}
	for i := range filters {
		if f := &filters[i]; f.ends == "" || !seen[f.name] {
			t.Errorf("filter %s: its refusals end with %q, it has a scene: %t", f.name, f.ends, seen[f.name])
		}
	}
}

// kindOf names the kind of a step.
func kindOf(s *job.Step) string {
	switch {
	case s.LongRunning:
		return "lasting"
	case s.Filler:
		return "filler"
	case s.Gang:
		return "gang"
	}
	return "finite"
}

// playRefusal plays one scene.
func playRefusal(t *testing.T, scene refusalScene) {
	now := epoch0
	c := New(options)
	if scene.filter != "service" {
		attach(now, c, "a", "pool", "")
	}
	scene.arrange(now, c)
	now = now.Add(reserveDelay)
	spec := one("job", 0, scene.step)
	if scene.advice {
		spec.Policy.Advice = &job.Advice{DecideMS: 20, EachMS: 5, ValidMS: 3000}
	}
	spec.Steps[0].Count += scene.before
	c.Submit(now, spec)
	settle(now, c)
	s := c.jobs["job"].occurrences[0].steps[0]
	if n := s.spec.Count - s.waiting; n != scene.before {
		t.Fatalf("%d tasks are started at once, want %d", n, scene.before)
	}
	if got := c.refusal(now, s, c.workers["a"]); !strings.HasPrefix(got, scene.filter+": ") {
		t.Fatalf("worker a refuses the task with %q, want a refusal of filter %s", got, scene.filter)
	}
	reportProgress(now, c)
	early := startsOf(c, "job", &now, now.Add(standstillDelay))
	if scene.end == nil {
		if early < scene.step.Count {
			t.Errorf("%d tasks are started within %s, want %d; the step waits for: %s", early, standstillDelay, scene.step.Count, c.waitReason(now, s))
		}
		return
	}
	if early > 0 {
		t.Errorf("%d tasks are started although nothing has ended the refusal", early)
	}
	scene.end(now, c)
	if n := startsOf(c, "job", &now, now.Add(time.Second)); n < scene.step.Count {
		t.Errorf("%d tasks are started within a second after the end, want %d; the step waits for: %s", n, scene.step.Count, c.waitReason(now, s))
	}
}

// TestLastAttemptIsNotRisked guards against a job that fails on workers that fail everything: a starved task takes one that is
// doubtful, but for its last attempt.
func TestLastAttemptIsNotRisked(t *testing.T) {
	now := epoch0
	c := New(options)
	attach(now, c, "a", "pool", "")
	blocked(now, c)
	spec := one("job", 0, finiteStep)
	spec.Policy.MaxAttempts = 3
	c.Submit(now, spec)
	starts := 0
	for ; now.Before(epoch0.Add(20 * time.Second)); now = now.Add(fillerInterval) {
		for _, s := range started(settle(now, c))["a"] {
			starts++
			c.Ended(now, "a", []link.RunEnd{{Number: int64(starts), RunRef: s.RunRef, Outcome: link.Failed}})
		}
	}
	if v, _ := c.Job("job"); starts != 2 || v.State == Failed {
		t.Errorf("%d starts on a doubtful worker, job %s; want two of three attempts, and the job open", starts, v.State)
	}
}

// TestSuspectsOfOneJobHoldUpNoOthers guards against jobs that stand still behind the isolated starts of another one: all tasks
// of the first had their turn before any of the next.
func TestSuspectsOfOneJobHoldUpNoOthers(t *testing.T) {
	const allowed = 7 * time.Second // from the crash until a job that has nothing running counts as standing still
	now := epoch0
	c := pool(now, "a", "b", "c", "d")
	ids := []string{"job0", "job1", "job2"}
	for _, id := range ids {
		c.Submit(now, one(id, 0, job.Step{Count: 16, Demand: resource.Vector{MilliCPU: 50, MemoryMB: 10}, EstimateMS: 60_000}))
		for _, task := range c.jobs[id].occurrences[0].steps[0].tasks {
			for _, gone := range []string{"gone", "gone too"} {
				c.addCrash(task, crash{Worker: gone, Run: 1})
			}
		}
	}
	got := startedWithin(c, now, allowed)
	for _, id := range ids {
		if got[id] == 0 {
			t.Errorf("nothing of %s is started within %s: %v", id, allowed, got)
		}
	}
}

// TestLastingSuspectTakesDoubtfulWorker guards against a task that lasts and must start in isolation waiting for the end of
// probation: only tasks that aren't suspects took doubtful workers.
func TestLastingSuspectTakesDoubtfulWorker(t *testing.T) {
	now := epoch0
	c := New(options)
	attach(now, c, "a", "pool", "")
	blocked(now, c)
	c.Submit(now, one("job", 0, lastingStep))
	c.addCrash(c.jobs["job"].occurrences[0].steps[0].tasks[0], crash{Worker: "gone", Run: 1, Sole: true})
	if n := startsOf(c, "job", &now, now.Add(standstillDelay)); n != 1 {
		t.Errorf("%d starts within %s, want one; the step waits for: %s", n, standstillDelay, c.waitReason(now, c.jobs["job"].occurrences[0].steps[0]))
	}
}
