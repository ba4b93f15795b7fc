package sched

import (
	"fmt"
	"math"
	"slices"
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
	// workers are attached first; only worker a if there are none.
	workers []string
	// takes is how long arrange takes.
	takes time.Duration
	// doubt names why the workers are doubtful; empty if they aren't.
	doubt string
	// approves says that the queue takes advice, and that each request is granted; suspect that the tasks must start in isolation.
	approves, suspect bool
}

// name names a scene.
func (r *refusalScene) name() string {
	name := fmt.Sprintf("%s-%s/%s/%d-workers", r.filter, r.doubt, kindOf(&r.step), max(1, len(r.workers)))
	if r.approves {
		name += "/advice"
	}
	if r.suspect {
		name += "/suspect"
	}
	return name
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

// blocked lets the workers take no tasks for a minute, as after failures.
func blocked(now time.Time, c *Core) {
	for _, w := range c.sortedWorkers {
		c.health.block(now, now.Add(time.Minute), w.id, "worker is on probation")
	}
}

// onProbation lets all workers be on the longest probation: all tasks have failed there, those of the trials as well.
func onProbation(now time.Time, c *Core) {
	limits := probationLimits()
	for _, w := range c.sortedWorkers {
		track, at := c.health.track, now.Add(-4*limits.Max)
		for n := 0; ; n++ {
			until, _ := track.Outlook(at, w.id)
			if until.Sub(at) == limits.Max {
				break
			}
			at = laterOf(at, until)
			task := fmt.Sprintf("failed-on-%s-%d", w.id, n)
			track.Started(at, w.id, task)
			track.Ended(at, w.id, task, true)
		}
		// The times of the last trial are those of now.
		until, _ := track.Outlook(at, w.id)
		task := "failed-last-on-" + w.id
		track.Started(until, w.id, task)
		track.Ended(now, w.id, task, true)
	}
}

// standing lets a run stand still on each worker and be stopped for it.
func standing(now time.Time, c *Core) {
	c.Submit(now, one("stands", 0, job.Step{Count: len(c.workers), Demand: cores(1), EstimateMS: 6000, AntiAffinity: 1}))
	settle(now, c)
	for _, at := range []time.Duration{0, stallTimeout + time.Millisecond} {
		for _, w := range c.sortedWorkers {
			c.Report(now.Add(at), w.id, link.Listing{Running: []link.RunStatus{{RunRef: w.tasks[0].ref(), Percent: 30}}})
		}
		settle(now.Add(at), c)
	}
	c.Cancel(now.Add(stallTimeout), "stands")
	for _, w := range c.sortedWorkers {
		c.Ended(now.Add(stallTimeout), w.id, []link.RunEnd{{Number: 1, RunRef: w.tasks[0].ref(), Outcome: link.Stopped}})
	}
}

// trying lets each worker be on trial with a task that runs on.
func trying(now time.Time, c *Core) {
	for _, w := range c.sortedWorkers {
		for n := range probationLimits().Failures {
			task := fmt.Sprintf("failed-on-%s-%d", w.id, n)
			c.health.track.Started(now.Add(-probationLimits().First), w.id, task)
			c.health.track.Ended(now.Add(-probationLimits().First), w.id, task, true)
		}
	}
	c.Submit(now, one("tries", 0, job.Step{Count: len(c.workers), Demand: cores(0.1), EstimateMS: 60_000}))
	settle(now, c)
}

// doubtfulScenes are scenes of the filter health: each way in which workers come to be doubtful, for steps of each kind, with one worker
// and with several, with advice, and for suspects.
func doubtfulScenes() []refusalScene {
	var out []refusalScene
	for _, scene := range waysToDoubt() {
		advised, suspect := scene, scene
		advised.approves, suspect.suspect = true, true
		out = append(out, scene, advised)
		if !scene.step.Gang {
			both := suspect
			both.approves = true
			out = append(out, suspect, both)
		}
	}
	return out
}

// waysToDoubt are doubtfulScenes without advice and suspects.
func waysToDoubt() []refusalScene {
	var out []refusalScene
	for _, s := range []job.Step{finiteStep, fillerStep, lastingStep, gangStep} {
		for _, ids := range [][]string{{"a"}, {"a", "b", "c"}} {
			out = append(out,
				refusalScene{filter: healthName, step: s, workers: ids, arrange: blocked, doubt: "block"},
				refusalScene{filter: healthName, step: s, workers: ids, arrange: onProbation, doubt: "probation"},
				refusalScene{filter: healthName, step: s, workers: ids, arrange: standing, doubt: "stall", takes: stallTimeout + sweepInterval},
				refusalScene{filter: healthName, step: s, workers: ids, arrange: trying, doubt: "trial"},
			)
		}
	}
	return out
}

// ofEachKind returns scenes that differ from one in the kind of the step.
func (r refusalScene) ofEachKind() []refusalScene {
	var out []refusalScene
	for _, s := range []job.Step{finiteStep, fillerStep, lastingStep, gangStep} {
		s.Requires, s.AntiAffinity = r.step.Requires, r.step.AntiAffinity
		other := r
		other.step = s
		out = append(out, other)
	}
	return out
}

// kindless are the filters that refuse steps of all kinds alike.
var kindless = []string{"service", "attached", "draining", "data centre", "mute", "label", "stray run", "isolation", "ticket"}

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
		if w.unresponsive || len(w.tasks)+len(w.unknownRuns) == 0 {
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
	return len(startedRuns(c, id, now, until, math.MaxInt))
}

// startedRun is a run that was started on a worker.
type startedRun struct {
	worker string
	ref    link.RunRef
}

// startedRuns plays until a time, or until a number of tasks of a job are started, and returns their runs.
func startedRuns(c *Core, id string, now *time.Time, until time.Time, enough int) []startedRun {
	var out []startedRun
	for ; now.Before(until) && len(out) < enough; *now = now.Add(fillerInterval) {
		for w, starts := range started(settle(*now, c)) {
			for _, s := range starts {
				if s.Task.Job == id {
					out = append(out, startedRun{w, s.RunRef})
				}
			}
		}
		reportProgress(*now, c)
	}
	return out
}

// TestEveryRefusalEnds guards against a refusal that nothing ends, or only other work: a task stands still with room for it, since
// nothing brings the end about, or its time is longer than customers wait. It goes through all filters, with one job and at each
// number of attempts that are left: what a filter names ends its refusals, or a starved task passes it in time.
func TestEveryRefusalEnds(t *testing.T) {
	scenes := doubtfulScenes()
	for _, scene := range refusalScenes {
		if slices.Contains(kindless, scene.filter) {
			scenes = append(scenes, scene.ofEachKind()...)
		} else {
			scenes = append(scenes, scene)
		}
	}
	seen := map[string]bool{}
	for _, scene := range scenes {
		seen[scene.filter] = true
		for attempts := 1; attempts <= 4; attempts++ {
			t.Run(fmt.Sprintf("%s/%d-attempts", scene.name(), attempts), func(t *testing.T) { playRefusal(t, scene, attempts) })
		}
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

// playRefusal plays one scene with a number of attempts, of which all but the last fail.
func playRefusal(t *testing.T, scene refusalScene, attempts int) {
	now := epoch0
	c := New(options)
	ids := scene.workers
	if len(ids) == 0 && scene.filter != "service" {
		ids = []string{"a"}
	}
	for _, id := range ids {
		attach(now, c, id, "pool", "")
	}
	scene.arrange(now, c)
	now = now.Add(max(reserveDelay, scene.takes))
	spec := one("job", 0, scene.step)
	spec.Policy.MaxAttempts = attempts
	if scene.advice || scene.approves {
		spec.Policy.Advice = &job.Advice{DecideMS: 20, EachMS: 5, ValidMS: 3000}
	}
	spec.Steps[0].Count += scene.before
	c.Submit(now, spec)
	settle(now, c)
	s := c.jobs["job"].occurrences[0].steps[0]
	if scene.suspect {
		c.addCrash(s.tasks[0], crash{Worker: "gone", Run: 1, Sole: true})
	}
	if n := s.spec.Count - s.waiting; n != scene.before {
		t.Fatalf("%d tasks are started at once, want %d", n, scene.before)
	}
	if got := c.refusal(now, s, c.workers["a"]); !strings.HasPrefix(got, scene.filter+": ") {
		t.Fatalf("worker a refuses the task with %q, want a refusal of filter %s", got, scene.filter)
	}
	reportProgress(now, c)
	allowed := standstillDelay
	if scene.end != nil {
		if n := startsOf(c, "job", &now, now.Add(standstillDelay)); n > 0 {
			t.Errorf("%d tasks are started although nothing has ended the refusal", n)
		}
		scene.end(now, c)
		allowed = time.Second
	}
	for attempt := 1; attempt <= attempts; attempt++ {
		var runs []startedRun
		for until := now.Add(allowed); now.Before(until) && len(runs) < scene.step.Count; {
			if scene.approves {
				approveAll(now, c)
			}
			runs = append(runs, startedRuns(c, "job", &now, now.Add(fillerInterval), math.MaxInt)...)
		}
		if len(runs) < scene.step.Count {
			t.Fatalf("attempt %d of %d: %d tasks are started within %s, want %d; the step waits for: %s", attempt, attempts, len(runs), allowed,
				scene.step.Count, c.waitReason(now, s))
		}
		if attempt < attempts {
			failRuns(now, c, runs)
		}
		allowed = standstillDelay
	}
	if v, _ := c.Job("job"); v.State.Terminal() {
		t.Errorf("the job is %s: %s", v.State, v.Reason)
	}
}

// failRuns lets the first of some runs fail, and the others end for it.
func failRuns(now time.Time, c *Core, runs []startedRun) {
	for i, r := range runs {
		end := link.RunEnd{Number: c.workers[r.worker].acknowledged + 1, RunRef: r.ref, Outcome: link.GangBroken}
		if i == 0 {
			end.Outcome = link.Failed
		}
		c.Ended(now, r.worker, []link.RunEnd{end})
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
