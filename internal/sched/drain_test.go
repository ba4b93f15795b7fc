package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
)

// attachIn attaches a worker in a data centre.
func attachIn(now time.Time, c *Core, id, dataCentre string) {
	c.Attach(now, "node-"+id, link.Worker{ID: id, Service: "pool", DataCentre: dataCentre, Capacity: big}, link.Listing{})
}

// inDrained returns the set of one drained data centre.
func inDrained(name string) map[string]bool { return map[string]bool{name: true} }

// TestNoStartInDrained checks that nothing starts in a drained data centre, that explain says so, and that it is used
// again after the drain.
func TestNoStartInDrained(t *testing.T) {
	now := epoch0
	c := New(options)
	attachIn(now, c, "a", "east")
	c.SetDrains(inDrained("east"), true)
	c.Submit(now, one("job", 0, job.Step{Count: 2, Demand: cores(1), EstimateMS: 500}))
	if got := started(settle(now, c)); len(got) != 0 {
		t.Fatalf("started %v in a drained data centre", got)
	}
	if v, _ := c.Explain("job"); v.Waits["job.0.0"] != "data centre: data centre is drained x1" {
		t.Errorf("waits for %v", v.Waits)
	}
	c.SetDrains(nil, true)
	if got := started(settle(now.Add(time.Millisecond), c))["a"]; len(got) != 2 {
		t.Errorf("started %v after the drain, want both tasks", got)
	}
}

// TestNoStartWithoutView guards against an owner that acts on a view of the drains which is too old: it must start
// nothing, in no data centre, until the view is current again.
func TestNoStartWithoutView(t *testing.T) {
	now := epoch0
	c := New(options)
	attachIn(now, c, "a", "east")
	c.SetDrains(nil, false)
	c.Submit(now, one("job", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 500}))
	if got := started(settle(now, c)); len(got) != 0 {
		t.Fatalf("started %v without a current view of the drains", got)
	}
	c.SetDrains(nil, true)
	if got := started(settle(now.Add(time.Millisecond), c)); len(got) != 1 {
		t.Errorf("started %v with a current view, want the task", got)
	}
}

// TestDrainWhileRecordIsStored guards against a start that was decided before a drain and is sent after it: the record
// of the decision takes long to be stored. The run must be withdrawn and go elsewhere once its guard has confirmed
// that it doesn't exist.
func TestDrainWhileRecordIsStored(t *testing.T) {
	now := epoch0
	c := New(options)
	attachIn(now, c, "a", "east")
	c.Submit(now, one("job", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 500}))
	c.Schedule(now)
	b, _ := c.Flush(now)
	now = now.Add(5 * time.Second)
	c.SetDrains(inDrained("east"), true)
	c.Stored(now, b.Seq)
	d := c.Commands()["a"]
	if d == nil || len(d.Start) != 0 || len(d.Stop) != 1 {
		t.Fatalf("commands %+v, want a stop in place of the start", d)
	}
	attachIn(now, c, "b", "west")
	if got := started(settle(now, c)); len(got) != 0 {
		t.Fatalf("started %v before the guard has confirmed", got)
	}
	c.Ended(now, "a", []link.RunEnd{{RunRef: d.Stop[0], Outcome: link.Absent}})
	if got := started(settle(now, c))["b"]; len(got) != 1 || got[0].Run != 2 {
		t.Errorf("started %v, want run 2 in the other data centre", got)
	}
}

// TestMovesOffDrained drains a data centre with a serving step of which one task may be away: its tasks must move one
// after the other, each only once the one before is at work again, and none while no other worker has room.
func TestMovesOffDrained(t *testing.T) {
	now := epoch0
	c := New(options)
	attachIn(now, c, "a", "east")
	spec := one("serve", 0, job.Step{Count: 3, Demand: cores(1), LongRunning: true})
	spec.Steps[0].MayMiss = 1
	c.Submit(now, spec)
	at := map[link.RunRef]string{}
	for _, s := range started(settle(now, c))["a"] {
		at[s.RunRef] = "a"
	}
	report := func() {
		rows := map[string][]link.RunStatus{}
		for r, id := range at {
			rows[id] = append(rows[id], link.RunStatus{RunRef: r, Percent: 100})
		}
		for _, w := range c.sortedWorkers {
			c.Report(now, w.id, link.Listing{Running: rows[w.id]})
		}
	}
	report()
	now = now.Add(time.Second)
	c.SetDrains(inDrained("east"), true)
	if d := settle(now, c)["a"]; d != nil && len(d.Stop) > 0 {
		t.Fatalf("stopped %v although no other worker has room", d.Stop)
	}
	attachIn(now, c, "b", "west")
	moved := 0
	for range 100 {
		now = now.Add(sweepInterval)
		commands := settle(now, c)
		if d := commands["a"]; d != nil {
			if len(d.Start) > 0 || len(d.Stop) > 1 {
				t.Fatalf("commands %+v, want at most one stop at a time", d)
			}
			for _, r := range d.Stop {
				if len(at) < 3 {
					t.Fatalf("stopped %s while another task is away", r.Task)
				}
				delete(at, r)
				moved++
				c.Ended(now, "a", []link.RunEnd{{Number: int64(moved), RunRef: r, Outcome: link.Stopped}})
			}
		}
		for _, s := range started(commands)["b"] {
			at[s.RunRef] = "b"
		}
		report()
	}
	if moved != 3 {
		t.Errorf("%d tasks have moved, want 3", moved)
	}
}

// TestDrainLetsShortTasksFinish checks that of the finite tasks in a drained data centre only one that would stay for
// long and has a checkpoint is moved.
func TestDrainLetsShortTasksFinish(t *testing.T) {
	now := epoch0
	c := New(options)
	attachIn(now, c, "a", "east")
	for id, s := range map[string]job.Step{
		"short":   {Count: 1, Demand: cores(1), EstimateMS: 500},
		"long":    {Count: 1, Demand: cores(1), EstimateMS: 60_000},
		"resumes": {Count: 1, Demand: cores(1), EstimateMS: 60_000, Checkpoints: true},
	} {
		c.Submit(now, one(id, 0, s))
	}
	var rows []link.RunStatus
	for _, s := range started(settle(now, c))["a"] {
		rows = append(rows, link.RunStatus{RunRef: s.RunRef, Percent: 1, Checkpoint: "cp"})
	}
	attachIn(now, c, "b", "west")
	now = now.Add(500 * time.Millisecond)
	c.Report(now, "a", link.Listing{Running: rows})
	now = now.Add(500 * time.Millisecond)
	c.SetDrains(inDrained("east"), true)
	d := settle(now, c)["a"]
	if d == nil || len(d.Stop) != 1 || d.Stop[0].Task.Job != "resumes" {
		t.Errorf("commands %+v, want a stop of the long task that resumes elsewhere", d)
	}
}

// TestAllDrained checks that jobs wait, and are not lost, while every data centre is drained.
func TestAllDrained(t *testing.T) {
	now := epoch0
	c := New(options)
	attachIn(now, c, "a", "east")
	attachIn(now, c, "b", "west")
	c.SetDrains(map[string]bool{"east": true, "west": true}, true)
	for n := range 3 {
		c.Submit(now, one(fmt.Sprintf("job%d", n), 0, job.Step{Count: 1, Demand: cores(1), LongRunning: true}))
		now = now.Add(time.Second)
		if got := started(settle(now, c)); len(got) != 0 {
			t.Fatalf("started %v", got)
		}
	}
	c.SetDrains(inDrained("east"), true)
	if got := started(settle(now, c))["b"]; len(got) != 3 {
		t.Errorf("started %v in the data centre that was taken back, want all", got)
	}
}

// TestDrainAsksForApprovals guards against a long-running task that stays in a drained data centre for good: on a queue with
// advice the tickets for other workers expire after seconds, and nothing asked for new ones while the task ran.
func TestDrainAsksForApprovals(t *testing.T) {
	now := epoch0
	c := New(options)
	attachIn(now, c, "a", "east")
	spec := one("job", 0, job.Step{Count: 1, Demand: cores(1), LongRunning: true})
	spec.Policy.Advice = &job.Advice{DecideMS: 20, EachMS: 5, ValidMS: 3000}
	c.Submit(now, spec)
	settle(now, c)
	approveAll(now, c)
	_, ref := firstStart(t, settle(now, c))
	attachIn(now, c, "b", "west")
	c.SetDrains(inDrained("east"), true)
	for range 100 {
		now = now.Add(sweepInterval)
		c.Report(now, "a", link.Listing{Running: []link.RunStatus{{RunRef: ref, Percent: 100}}})
		if d := settle(now, c)["a"]; d != nil && len(d.Stop) == 1 {
			return
		}
		approveAll(now, c)
	}
	t.Error("the task is still in the drained data centre after 5 s")
}
