package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
	"github.com/crocusspring/crocusspring/internal/resource"
)

// epoch0 is when the tests begin.
var epoch0 = time.Unix(1_800_000_000, 0)

// big is the capacity of a worker that fits several tasks.
var big = resource.Vector{MilliCPU: 4000, MemoryMB: 8000}

// one returns a job of one step.
func one(id string, priority int, s job.Step) *job.Spec {
	s.MayMiss = -1
	return &job.Spec{
		ID: id, AcceptedMS: epoch0.UnixMilli(), Steps: []job.Step{s},
		Policy: job.Policy{Queue: "q", Service: "pool", Priority: priority, MaxAttempts: 2, Stretch: 2, LatencyTargetMS: 1000},
	}
}

// cores returns a demand.
func cores(n float64) resource.Vector {
	return resource.Vector{MilliCPU: int64(n * 1000), MemoryMB: 100}
}

// TestCancelWhileDetached guards against a lost stop: a job is cancelled while the guard of one of its runs is
// not connected. The stop must be sent when the guard attaches.
func TestCancelWhileDetached(t *testing.T) {
	now := epoch0
	c := pool(now, "a")
	c.Submit(now, one("job", 0, job.Step{Count: 1, Demand: cores(1), LongRunning: true}))
	got := started(settle(now, c))["a"]
	if len(got) != 1 {
		t.Fatalf("started %v, want one", got)
	}
	ref := got[0].RunRef
	row := []link.RunStatus{{RunRef: ref, Percent: 100}}
	c.Report(now, "a", link.Listing{Running: row})
	c.Detach(now, "a")
	c.Cancel(now, "job")
	settle(now, c)
	now = now.Add(100 * time.Millisecond)
	c.Attach(now, "node-a", link.Worker{ID: "a", Service: "pool", Capacity: big}, link.Listing{Running: row})
	if d := settle(now, c)["a"]; d == nil || len(d.Stop) != 1 || d.Stop[0] != ref {
		t.Fatalf("commands %+v after the guard has reattached, want the stop", d)
	}
	now = now.Add(stopRetryInterval)
	if d := settle(now, c)["a"]; d == nil || len(d.Stop) != 1 {
		t.Errorf("commands %+v, want the stop to be repeated while the run is listed", d)
	}
	c.Ended(now, "a", []link.RunEnd{{Number: 1, RunRef: ref, Outcome: link.Stopped}})
	settle(now, c)
	if v, _ := c.Job("job"); v.State != Cancelled || v.Held != 0 {
		t.Errorf("job is %+v", v)
	}
}

// TestSupersededIncarnations simulates a power cut of the whole cell: a new owner finds new incarnations beside
// the guards. What ran in the old ones must restart at once, not when their leases expire.
func TestSupersededIncarnations(t *testing.T) {
	now := epoch0
	c := pool(now, "a")
	spec := one("job", 0, job.Step{Count: 2, Demand: cores(1), EstimateMS: 1000})
	c.Submit(now, spec)
	c.Schedule(now)
	b, _ := c.Flush(now)
	c.Stored(now, b.Seq)

	next := New(options)
	next.Submit(now, spec)
	for _, r := range b.Records {
		if err := next.Restore(now, r.Key, r.Value); err != nil {
			t.Fatal(err)
		}
	}
	for _, id := range next.SupersededWorkers("a2", "node-a") {
		next.RemoveWorker(now, id)
	}
	next.Attach(now, "node-a", link.Worker{ID: "a2", Service: "pool", Capacity: big}, link.Listing{})
	got := started(settle(now, next))["a2"]
	if len(got) != 2 || got[0].Run != 2 {
		t.Errorf("started %+v, want both tasks as run 2", got)
	}
}

// TestLostStartIsNotRepeatedElsewhere checks that a run which its worker doesn't list after reattaching is
// confirmed as ended before its task gets another run.
func TestLostStartIsNotRepeatedElsewhere(t *testing.T) {
	now := epoch0
	c := pool(now, "a", "b")
	c.Submit(now, one("job", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 1000}))
	var at string
	var ref link.RunRef
	for id, starts := range started(settle(now, c)) {
		at, ref = id, starts[0].RunRef
	}
	c.Detach(now, at)
	c.Attach(now, "node-"+at, link.Worker{ID: at, Service: "pool", Capacity: big}, link.Listing{})
	o := settle(now, c)
	if len(started(o)) != 0 || o[at] == nil || len(o[at].Stop) != 1 {
		t.Fatalf("commands %+v, want a stop and no start", o)
	}
	c.Ended(now, at, []link.RunEnd{{RunRef: ref, Outcome: link.Absent}})
	now = now.Add(refusalBlock)
	if got := started(settle(now, c)); len(got) != 1 {
		t.Errorf("started %v after the run is known to be absent, want one", got)
	}
}

// TestUrgentPreempts checks that an urgent task gets the resources of less urgent ones, that no more runs are
// stopped than needed, and that it starts only when the resources are free.
func TestUrgentPreempts(t *testing.T) {
	now := epoch0
	c := pool(now, "a")
	c.Submit(now, one("batch", 2, job.Step{Count: 4, Demand: cores(1), EstimateMS: 5000}))
	starts := started(settle(now, c))["a"]
	var rows []link.RunStatus
	for _, s := range starts {
		rows = append(rows, link.RunStatus{RunRef: s.RunRef, Percent: 10})
	}
	c.Report(now, "a", link.Listing{Running: rows})
	c.Submit(now, one("urgent", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 100}))
	o := settle(now, c)
	if len(started(o)) != 0 || len(o["a"].Stop) != 1 {
		t.Fatalf("commands %+v, want one stop and no start", o)
	}
	c.Ended(now, "a", []link.RunEnd{{Number: 1, RunRef: o["a"].Stop[0], Outcome: link.Stopped, Checkpoint: "cp"}})
	got := started(settle(now, c))["a"]
	if len(got) != 1 || got[0].Task.Job != "urgent" {
		t.Fatalf("started %+v, want the urgent task", got)
	}
}

// TestCheckpoint checks that a stopped task resumes from its last checkpoint.
func TestCheckpoint(t *testing.T) {
	now := epoch0
	c := pool(now, "a")
	c.Submit(now, one("job", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 1000, Checkpoints: true}))
	ref := started(settle(now, c))["a"][0].RunRef
	c.Ended(now, "a", []link.RunEnd{{Number: 1, RunRef: ref, Outcome: link.Expired, Checkpoint: "cp7"}})
	got := started(settle(now, c))["a"]
	if len(got) != 1 || got[0].Checkpoint != "cp7" || got[0].Run != 2 {
		t.Errorf("started %+v, want run 2 from cp7", got)
	}
}

// TestGang checks that a gang starts as a whole under one run number or not at all.
func TestGang(t *testing.T) {
	now := epoch0
	c := pool(now, "a")
	c.Submit(now, one("gang", 0, job.Step{Count: 3, Demand: cores(2), EstimateMS: 1000, Gang: true}))
	if got := started(settle(now, c)); len(got) != 0 {
		t.Fatalf("started %v of a gang that doesn't fit", got)
	}
	c.Attach(now, "node-b", link.Worker{ID: "b", Service: "pool", Capacity: big}, link.Listing{})
	o := started(settle(now, c))
	n := 0
	for _, starts := range o {
		for _, s := range starts {
			n++
			if s.Run != 1 {
				t.Errorf("%s has run %d, want 1", s.Task, s.Run)
			}
		}
	}
	if n != 3 {
		t.Errorf("%d members started, want 3", n)
	}
}

// TestGangAgreesOnCheckpoint guards against a gang that never ends: after a member was moved, each resumed from its own
// checkpoint, and members with different ones don't work together.
func TestGangAgreesOnCheckpoint(t *testing.T) {
	now := epoch0
	c := pool(now, "a", "b")
	c.Submit(now, one("gang", 0, job.Step{Count: 2, Demand: cores(3), EstimateMS: 5000, Gang: true, Checkpoints: true}))
	starts := started(settle(now, c))
	a, b := starts["a"][0].RunRef, starts["b"][0].RunRef
	now = now.Add(time.Second)
	c.Report(now, "a", link.Listing{Running: []link.RunStatus{{RunRef: a, Checkpoint: "a1", Percent: 20}}})
	c.Report(now, "b", link.Listing{Running: []link.RunStatus{{RunRef: b, Checkpoint: "b1", Percent: 20}}})
	now = now.Add(time.Second)
	c.Ended(now, "a", []link.RunEnd{{Number: 1, RunRef: a, Outcome: link.Stopped, Checkpoint: "a2"}})
	c.Ended(now, "b", []link.RunEnd{{Number: 1, RunRef: b, Outcome: link.GangBroken, Checkpoint: "b1"}})
	starts = started(settle(now, c))
	if len(starts["a"]) != 1 || len(starts["b"]) != 1 || starts["a"][0].Checkpoint != "a2" || starts["b"][0].Checkpoint != "a2" {
		t.Errorf("started %+v, want both members from the newest checkpoint", starts)
	}
}

// TestOccurrences checks that a scheduled job opens an occurrence when it is due, not before, and that it
// completes after the last.
func TestOccurrences(t *testing.T) {
	now := epoch0
	c := pool(now, "a")
	s := one("timed", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 10})
	s.Schedule = job.Schedule{FirstMS: now.UnixMilli() + 1000, IntervalMS: 500, Count: 2}
	c.Submit(now, s)
	for k, wait := range []time.Duration{999, 1, 499, 1} {
		now = now.Add(wait * time.Millisecond)
		got := started(settle(now, c))["a"]
		if due := k%2 == 1; due != (len(got) == 1) {
			t.Fatalf("started %v at %s", got, now.Sub(epoch0))
		}
		for _, st := range got {
			if st.Task.Occurrence != k/2 {
				t.Errorf("occurrence %d, want %d", st.Task.Occurrence, k/2)
			}
			c.Ended(now, "a", []link.RunEnd{{Number: int64(k), RunRef: st.RunRef, Outcome: link.Done}})
		}
	}
	settle(now, c)
	if v, _ := c.Job("timed"); v.State != Completed {
		t.Errorf("job is %+v", v)
	}
}

// TestDrain checks that a draining worker gets nothing new, keeps tasks that can end in time, and loses
// long-running tasks and those that can't.
func TestDrain(t *testing.T) {
	now := epoch0
	c := pool(now, "a", "b")
	c.Submit(now, one("short", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 500}))
	c.Submit(now, one("long", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 9000}))
	c.Submit(now, one("lasting", 0, job.Step{Count: 1, Demand: cores(1), LongRunning: true}))
	c.Detach(now, "b")
	c.RemoveWorker(now, "b")
	refs := map[string]link.RunRef{}
	for _, s := range started(settle(now, c))["a"] {
		refs[s.Task.Job] = s.RunRef
	}
	c.Update(now, link.Worker{ID: "a", Service: "pool", Capacity: big, Draining: true, RemainingMS: 2000})
	c.Submit(now, one("late", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 100}))
	o := settle(now, c)
	if len(started(o)) != 0 {
		t.Errorf("started %v on a draining worker", started(o))
	}
	stops := map[string]bool{}
	for _, ref := range o["a"].Stop {
		stops[ref.Task.Job] = true
	}
	if want := (map[string]bool{"long": true, "lasting": true}); fmt.Sprint(stops) != fmt.Sprint(want) {
		t.Errorf("stopped %v, want %v", stops, want)
	}
}

// TestBadWorker runs a worker that fails all tasks beside good ones: it must get no tasks after some failures,
// and no job may fail because of it.
func TestBadWorker(t *testing.T) {
	now := epoch0
	c := pool(now, "bad", "good1", "good2")
	ends := map[string]int64{}
	bad := 0
	for i := range 40 {
		s := one(fmt.Sprintf("job%d", i), 0, job.Step{Count: 3, Demand: cores(0.5), EstimateMS: 100})
		s.Policy.MaxAttempts = 3
		c.Submit(now, s)
		for id, starts := range started(settle(now, c)) {
			for _, st := range starts {
				ends[id]++
				o := link.Done
				if id == "bad" {
					o = link.Failed
					bad++
				}
				c.Ended(now, id, []link.RunEnd{{Number: ends[id], RunRef: st.RunRef, Outcome: o}})
			}
		}
		now = now.Add(50 * time.Millisecond)
	}
	if bad > 15 {
		t.Errorf("%d runs went to a worker that fails everything", bad)
	}
	for i := range 40 {
		if v, _ := c.Job(fmt.Sprintf("job%d", i)); v.State == Failed {
			t.Errorf("job%d has failed: %s", i, v.Reason)
		}
	}
}

// TestStalledRun checks that a run without progress is stopped, that its worker is avoided, and that the
// attempt doesn't count.
func TestStalledRun(t *testing.T) {
	now := epoch0
	c := pool(now, "a", "b")
	c.Submit(now, one("job", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 500}))
	var at string
	var ref link.RunRef
	for id, s := range started(settle(now, c)) {
		at, ref = id, s[0].RunRef
	}
	row := []link.RunStatus{{RunRef: ref, Percent: 30}}
	c.Report(now, at, link.Listing{Running: row})
	now = now.Add(stallTimeout + time.Millisecond)
	c.Report(now, at, link.Listing{Running: row})
	if d := settle(now, c)[at]; d == nil || len(d.Stop) != 1 {
		t.Fatalf("commands %+v, want a stop", d)
	}
	c.Ended(now, at, []link.RunEnd{{Number: 1, RunRef: ref, Outcome: link.Stopped}})
	o := started(settle(now, c))
	if len(o) != 1 || len(o[at]) != 0 {
		t.Errorf("started %v, want on the other worker", o)
	}
}

// TestLateJobYields simulates a burst: a job that can no longer meet its objective is due first, beside one that
// still can. The latter must get the free capacity.
func TestLateJobYields(t *testing.T) {
	now := epoch0
	c := pool(now, "a")
	old := one("hopeless", 0, job.Step{Count: 1, Demand: cores(4), EstimateMS: 5000})
	old.AcceptedMS -= 8500
	c.Submit(now, old)
	c.Submit(now, one("able", 0, job.Step{Count: 1, Demand: cores(4), EstimateMS: 1000}))
	got := started(settle(now, c))["a"]
	if len(got) != 1 || got[0].Task.Job != "able" {
		t.Errorf("started %+v, want the job that can be on time", got)
	}
}

// TestLearnedInterference runs a filler image that raises the tail latency of a serving image: after some reports
// the fillers beside it must be stopped, and new ones placed on the worker without that image.
func TestLearnedInterference(t *testing.T) {
	now := epoch0
	c := pool(now, "a")
	c.Submit(now, one("serve", 0, job.Step{Count: 1, Demand: cores(2), LongRunning: true, TailTargetMS: 100, Image: "s"}))
	var servingWorker string
	var serving link.RunRef
	for id, s := range started(settle(now, c)) {
		servingWorker, serving = id, s[0].RunRef
	}
	ends := map[string]int64{}
	placedBeside := 0
	for n := range 40 {
		now = now.Add(tailWindow)
		if n == 20 {
			c.Attach(now, "node-b", link.Worker{ID: "b", Service: "pool", Capacity: big}, link.Listing{})
		}
		if n%2 == 0 {
			c.Submit(now, one(fmt.Sprintf("fill%d", n), 2, job.Step{Count: 1, Demand: cores(1), EstimateMS: 900, Filler: true, Image: "f"}))
		}
		o := settle(now, c)
		for id := range started(o) {
			if id == servingWorker && n > 20 {
				placedBeside++
			}
		}
		for _, w := range c.sortedWorkers {
			var rows []link.RunStatus
			fillers := 0
			for _, task := range w.tasks {
				if task.step.spec.Filler {
					fillers++
					rows = append(rows, link.RunStatus{RunRef: task.ref(), Percent: 50, Measurement: 1000})
				}
			}
			if w.id == servingWorker {
				// Without fillers the tail is at a third of its target; each filler takes two of the headroom.
				tail := 100 / max(0.1, 3-2*float64(fillers))
				rows = append(rows, link.RunStatus{RunRef: serving, Percent: 100, Measurement: tail})
			}
			c.Report(now, w.id, link.Listing{Running: rows})
			for _, r := range rows {
				if r.RunRef != serving && n%2 == 1 {
					ends[w.id]++
					c.Ended(now, w.id, []link.RunEnd{{Number: ends[w.id], RunRef: r.RunRef, Outcome: link.Done}})
				}
			}
		}
	}
	if placedBeside > 1 {
		t.Errorf("%d fillers were placed beside the task that they interfere with after ten were observed", placedBeside)
	}
	if mean, _ := c.interferenceModel.Interference("s", "f"); mean < 1 {
		t.Errorf("learned interference of %.2f per core, want about 2", mean)
	}
}

// TestExplain checks that a waiting job is explained by filter, with counts.
func TestExplain(t *testing.T) {
	now := epoch0
	c := pool(now, "a", "b")
	c.Submit(now, one("big", 0, job.Step{Count: 1, Demand: cores(5), EstimateMS: 100}))
	c.Submit(now, one("far", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 100, Requires: "gpu"}))
	settle(now, c)
	for id, want := range map[string]string{"big": "capacity: processors x2", "far": "label: lacks the label x2"} {
		v, ok := c.Explain(id)
		if !ok || v.Waits[id+".0.0"] != want {
			t.Errorf("%s waits for %v, want %q", id, v.Waits, want)
		}
	}
}

// TestCapacityForShortTasks fills a pool with long-running tasks: short urgent tasks must start at once, and
// long-running tasks that fit nowhere else must get the capacity kept for short ones after starvationDelay.
func TestCapacityForShortTasks(t *testing.T) {
	now := epoch0
	c := pool(now, "a")
	c.Submit(now, one("lasting", 0, job.Step{Count: 8, Demand: cores(0.6), LongRunning: true}))
	if got := started(settle(now, c))["a"]; len(got) != 6 {
		t.Fatalf("%d long-running tasks started, want 6 of 8", len(got))
	}
	c.Submit(now, one("lasting2", 0, job.Step{Count: 2, Demand: cores(0.15), LongRunning: true}))
	if got := started(settle(now, c))["a"]; len(got) != 0 {
		t.Fatalf("long-running tasks %v started in the capacity kept for short ones", got)
	}
	c.Submit(now, one("short", 0, job.Step{Count: 1, Demand: cores(0.3), EstimateMS: 100}))
	got := started(settle(now, c))["a"]
	if len(got) != 1 || got[0].Task.Job != "short" {
		t.Fatalf("started %+v, want the short task", got)
	}
	c.Ended(now, "a", []link.RunEnd{{Number: 1, RunRef: got[0].RunRef, Outcome: link.Done}})
	now = now.Add(starvationDelay)
	if got := started(settle(now, c))["a"]; len(got) != 2 || got[0].Task.Job != "lasting2" {
		t.Errorf("started %+v, want both long-running tasks that fit, at once", got)
	}
}

// TestStoredWithoutBirth takes over from an owner that stored workers without their birth: a run on a worker that now
// reports one goes on, and one that the worker doesn't list gets its next run only after that is confirmed.
func TestStoredWithoutBirth(t *testing.T) {
	now := epoch0
	before := pool(now, "a")
	spec := one("job", 0, job.Step{Count: 2, Demand: cores(1), EstimateMS: 1000})
	before.Submit(now, spec)
	before.Schedule(now)
	b, _ := before.Flush(now)
	c := New(options)
	c.Submit(now, spec)
	for _, r := range b.Records {
		if err := c.Restore(now, r.Key, r.Value); err != nil {
			t.Fatal(err)
		}
	}
	if got := c.SupersededWorkers("a@77", "node-a"); len(got) != 0 {
		t.Fatalf("%v counts as replaced, although it may be the same incarnation", got)
	}
	listed := link.RunRef{Task: job.TaskID{Job: "job"}, Run: 1}
	c.Attach(now, "node-a", link.Worker{ID: "a@77", Service: "pool", Capacity: big}, link.Listing{Running: []link.RunStatus{{RunRef: listed, Percent: 10}}})
	d := settle(now, c)["a@77"]
	if d == nil || len(d.Start) != 0 || len(d.Stop) != 1 || d.Stop[0].Task.Index != 1 {
		t.Fatalf("commands %+v, want only a stop of the run that isn't listed", d)
	}
	if c.workers["a"] != nil || len(c.workers["a@77"].held) != 2 {
		t.Errorf("the worker is known by both keys, or has lost runs")
	}
}
