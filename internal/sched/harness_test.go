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

// big is the capacity of a worker that has room for some tasks.
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

// TestCancelWhileDetached is the case that broke a promise: a job was cancelled while the guard of one
// of its runs was not connected. The order to stop must be given when it is.
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
	c.Report(now, "a", row, nil)
	c.Detach(now, "a")
	c.Cancel(now, "job")
	settle(now, c)
	now = now.Add(100 * time.Millisecond)
	c.Attach(now, "node-a", link.Worker{ID: "a", Service: "pool", Capacity: big}, row, nil)
	if d := settle(now, c)["a"]; d == nil || len(d.Stop) != 1 || d.Stop[0] != ref {
		t.Fatalf("orders %+v after the guard is back, want the stop", d)
	}
	now = now.Add(stopRepeat)
	if d := settle(now, c)["a"]; d == nil || len(d.Stop) != 1 {
		t.Errorf("orders %+v, want the stop again while the run is listed", d)
	}
	c.Ended(now, "a", []link.RunEnd{{Number: 1, RunRef: ref, Outcome: link.Stopped}})
	settle(now, c)
	if v, _ := c.Job("job"); v.State != Cancelled || v.Held != 0 {
		t.Errorf("job is %+v", v)
	}
}

// TestOldLives is a power cut of everything: a new owner finds new lives beside the guards, and what the
// old ones ran is started anew at once, not when their leases have lapsed.
func TestOldLives(t *testing.T) {
	now := epoch0
	c := pool(now, "a")
	spec := one("job", 0, job.Step{Count: 2, Demand: cores(1), EstimateMS: 1000})
	c.Submit(now, spec)
	c.Schedule(now)
	b, _ := c.Flush(now)
	c.Stored(b.Seq)

	next := New(options)
	next.Submit(now, spec)
	for _, r := range b.Records {
		if err := next.Restore(now, r.Key, r.Value); err != nil {
			t.Fatal(err)
		}
	}
	for _, id := range next.OtherLives("a2", "node-a") {
		next.Gone(now, id)
	}
	next.Attach(now, "node-a", link.Worker{ID: "a2", Service: "pool", Capacity: big}, nil, nil)
	got := started(settle(now, next))["a2"]
	if len(got) != 2 || got[0].Run != 2 {
		t.Errorf("started %+v, want both tasks as run 2", got)
	}
}

// TestLostStartIsNotRepeatedElsewhere checks that a run that its worker doesn't list after a new link is
// settled before its task has another run.
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
	c.Attach(now, "node-"+at, link.Worker{ID: at, Service: "pool", Capacity: big}, nil, nil)
	o := settle(now, c)
	if len(started(o)) != 0 || o[at] == nil || len(o[at].Stop) != 1 {
		t.Fatalf("orders %+v, want a stop and no start", o)
	}
	c.Ended(now, at, []link.RunEnd{{RunRef: ref, Outcome: link.Absent}})
	now = now.Add(refusedFor)
	if got := started(settle(now, c)); len(got) != 1 {
		t.Errorf("started %v after the run is known to be absent, want one", got)
	}
}

// TestUrgentPreempts checks that an urgent task gets the room of less urgent ones, that no more is
// stopped than it takes, and that it starts only when the room is free.
func TestUrgentPreempts(t *testing.T) {
	now := epoch0
	c := pool(now, "a")
	c.Submit(now, one("batch", 2, job.Step{Count: 4, Demand: cores(1), EstimateMS: 5000}))
	starts := started(settle(now, c))["a"]
	var rows []link.RunStatus
	for _, s := range starts {
		rows = append(rows, link.RunStatus{RunRef: s.RunRef, Percent: 10})
	}
	c.Report(now, "a", rows, nil)
	c.Submit(now, one("urgent", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 100}))
	o := settle(now, c)
	if len(started(o)) != 0 || len(o["a"].Stop) != 1 {
		t.Fatalf("orders %+v, want one stop and no start", o)
	}
	c.Ended(now, "a", []link.RunEnd{{Number: 1, RunRef: o["a"].Stop[0], Outcome: link.Stopped, Checkpoint: "cp"}})
	got := started(settle(now, c))["a"]
	if len(got) != 1 || got[0].Task.Job != "urgent" {
		t.Fatalf("started %+v, want the urgent task", got)
	}
}

// TestCheckpoint checks that a task that was stopped goes on from where it was.
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

// TestGang checks that a gang starts whole under one run number or not at all.
func TestGang(t *testing.T) {
	now := epoch0
	c := pool(now, "a")
	c.Submit(now, one("gang", 0, job.Step{Count: 3, Demand: cores(2), EstimateMS: 1000, Gang: true}))
	if got := started(settle(now, c)); len(got) != 0 {
		t.Fatalf("started %v of a gang that doesn't fit", got)
	}
	c.Attach(now, "node-b", link.Worker{ID: "b", Service: "pool", Capacity: big}, nil, nil)
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

// TestOccurrences checks that a job by time opens an occurrence when it is due, not before, and that it
// is complete after the last.
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

// TestDrain checks that a draining worker gets nothing new, keeps what can end in time, and loses lasting
// tasks and those that can't.
func TestDrain(t *testing.T) {
	now := epoch0
	c := pool(now, "a", "b")
	c.Submit(now, one("short", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 500}))
	c.Submit(now, one("long", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 9000}))
	c.Submit(now, one("lasting", 0, job.Step{Count: 1, Demand: cores(1), LongRunning: true}))
	c.Detach(now, "b")
	c.Gone(now, "b")
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

// TestBadWorker is a worker that fails all it starts, beside good ones: it gets no tasks after some
// failures, and no job fails on its account.
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

// TestStandstill checks that a run without progress is stopped, its worker avoided, and that the
// attempt doesn't count.
func TestStandstill(t *testing.T) {
	now := epoch0
	c := pool(now, "a", "b")
	c.Submit(now, one("job", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 500}))
	var at string
	var ref link.RunRef
	for id, s := range started(settle(now, c)) {
		at, ref = id, s[0].RunRef
	}
	row := []link.RunStatus{{RunRef: ref, Percent: 30}}
	c.Report(now, at, row, nil)
	now = now.Add(stallAfter + time.Millisecond)
	c.Report(now, at, row, nil)
	if d := settle(now, c)[at]; d == nil || len(d.Stop) != 1 {
		t.Fatalf("orders %+v, want a stop", d)
	}
	c.Ended(now, at, []link.RunEnd{{Number: 1, RunRef: ref, Outcome: link.Stopped}})
	o := started(settle(now, c))
	if len(o) != 1 || len(o[at]) != 0 {
		t.Errorf("started %v, want on the other worker", o)
	}
}

// TestHopelessYields is a burst: a job that can no longer meet its objective is due first, and one that
// still can waits beside it. The room goes to the latter.
func TestHopelessYields(t *testing.T) {
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

// TestMemoryOfDisturbance is a filler image that raises the tail of a serving image: after some readings
// the fillers beside it are moved away, and new ones go to the worker without that image.
func TestMemoryOfDisturbance(t *testing.T) {
	now := epoch0
	c := pool(now, "a")
	c.Submit(now, one("serve", 0, job.Step{Count: 1, Demand: cores(2), LongRunning: true, TailTargetMS: 100, Image: "s"}))
	var home string
	var serving link.RunRef
	for id, s := range started(settle(now, c)) {
		home, serving = id, s[0].RunRef
	}
	ends := map[string]int64{}
	here := 0
	for n := range 40 {
		now = now.Add(tailWindow)
		if n == 20 {
			c.Attach(now, "node-b", link.Worker{ID: "b", Service: "pool", Capacity: big}, nil, nil)
		}
		if n%2 == 0 {
			c.Submit(now, one(fmt.Sprintf("fill%d", n), 2, job.Step{Count: 1, Demand: cores(1), EstimateMS: 900, Filler: true, Image: "f"}))
		}
		o := settle(now, c)
		for id := range started(o) {
			if id == home && n > 20 {
				here++
			}
		}
		for _, w := range c.order {
			var rows []link.RunStatus
			fillers := 0
			for _, task := range w.tasks {
				if task.step.spec.Filler {
					fillers++
					rows = append(rows, link.RunStatus{RunRef: task.ref(), Percent: 50, Measurement: 1000})
				}
			}
			if w.id == home {
				// Alone the tail is at a third of its target; each filler takes two of the headroom.
				tail := 100 / max(0.1, 3-2*float64(fillers))
				rows = append(rows, link.RunStatus{RunRef: serving, Percent: 100, Measurement: tail})
			}
			c.Report(now, w.id, rows, nil)
			for _, r := range rows {
				if r.RunRef != serving && n%2 == 1 {
					ends[w.id]++
					c.Ended(now, w.id, []link.RunEnd{{Number: ends[w.id], RunRef: r.RunRef, Outcome: link.Done}})
				}
			}
		}
	}
	if here > 1 {
		t.Errorf("%d fillers were placed beside the task that they disturb after ten were seen", here)
	}
	if mean, _ := c.tails.Interference("s", "f"); mean < 1 {
		t.Errorf("effect of %.2f a core was learned, want about 2", mean)
	}
}

// TestExplain checks that a job that waits says why, filter by filter with counts.
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

// TestRoomForShort is a pool that lasting tasks would fill: short urgent tasks find room at once, and a
// lasting task that nothing else can take gets the rest after a while.
func TestRoomForShort(t *testing.T) {
	now := epoch0
	c := pool(now, "a")
	c.Submit(now, one("lasting", 0, job.Step{Count: 8, Demand: cores(0.6), LongRunning: true}))
	if got := started(settle(now, c))["a"]; len(got) != 6 {
		t.Fatalf("%d lasting tasks started, want 6 of 8", len(got))
	}
	c.Submit(now, one("lasting2", 0, job.Step{Count: 2, Demand: cores(0.15), LongRunning: true}))
	if got := started(settle(now, c))["a"]; len(got) != 0 {
		t.Fatalf("lasting tasks %v started in the room of short ones", got)
	}
	c.Submit(now, one("short", 0, job.Step{Count: 1, Demand: cores(0.3), EstimateMS: 100}))
	got := started(settle(now, c))["a"]
	if len(got) != 1 || got[0].Task.Job != "short" {
		t.Fatalf("started %+v, want the short task", got)
	}
	c.Ended(now, "a", []link.RunEnd{{Number: 1, RunRef: got[0].RunRef, Outcome: link.Done}})
	now = now.Add(starvedAfter)
	if got := started(settle(now, c))["a"]; len(got) != 2 || got[0].Task.Job != "lasting2" {
		t.Errorf("started %+v, want both lasting tasks that fit, at once", got)
	}
}
