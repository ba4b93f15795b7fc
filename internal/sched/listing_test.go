package sched

import (
	"testing"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
)

// TestUnshownRunIsNotStalled guards against a second run of a task that has succeeded: its worker lists so many ends that the
// listing is cut before the one of its run, which then seemed to make no progress and was stopped.
func TestUnshownRunIsNotStalled(t *testing.T) {
	now := epoch0
	c := pool(now, "a")
	c.Submit(now, one("job", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 500}))
	ref := started(settle(now, c))["a"][0].RunRef
	c.Report(now, "a", link.Listing{Running: []link.RunStatus{{RunRef: ref, Percent: 90}}})
	for range 100 {
		now = now.Add(sweepInterval)
		c.Report(now, "a", link.Listing{EndsCut: true})
		if d := settle(now, c)["a"]; d != nil && len(d.Stop) > 0 {
			t.Fatalf("%v is stopped although it may have ended", d.Stop)
		}
	}
	c.Ended(now, "a", []link.RunEnd{{Number: 501, RunRef: ref, Outcome: link.Done}})
	if o := settle(now, c); len(started(o)) > 0 {
		t.Errorf("started %v after the task had succeeded", started(o))
	}
	if v, _ := c.Job("job"); v.State != Completed {
		t.Errorf("job is %+v", v)
	}
}

// TestVanishedRunIsStopped guards against a task that waits for good for a run which is gone: complete listings show neither the
// run nor its end, as after a late acknowledgement. It counts as stalled, so that its worker confirms that it is gone.
func TestVanishedRunIsStopped(t *testing.T) {
	now := epoch0
	c := pool(now, "a")
	c.Submit(now, one("job", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 500}))
	ref := started(settle(now, c))["a"][0].RunRef
	c.Report(now, "a", link.Listing{Running: []link.RunStatus{{RunRef: ref, Percent: 90}}})
	for range 2 * stallTimeout / sweepInterval {
		now = now.Add(sweepInterval)
		c.Report(now, "a", link.Listing{})
		if d := settle(now, c)["a"]; d != nil && len(d.Stop) == 1 {
			return
		}
	}
	t.Error("the run isn't stopped although complete listings don't show it")
}

// TestCutInventoryProvesNoAbsence guards against runs that are stopped at a takeover since the inventory is cut before their
// ends: those that a complete listing doesn't show either are stopped, as their starts may be in transit; others have ended.
func TestCutInventoryProvesNoAbsence(t *testing.T) {
	now := epoch0
	c := pool(now, "a")
	spec := one("job", 0, job.Step{Count: 2, Demand: cores(1), EstimateMS: 500, Speculative: true})
	c.Submit(now, spec)
	c.Schedule(now)
	b, _ := c.Flush(now)
	c.Stored(now, b.Seq)
	starts := started(c.Commands())["a"]
	next := New(options)
	next.Submit(now, spec)
	for _, r := range b.Records {
		if err := next.Restore(now, r.Key, r.Value); err != nil {
			t.Fatal(err)
		}
	}
	ended, unsent := starts[0].RunRef, starts[1].RunRef
	next.Attach(now, "node-a", link.Worker{ID: "a", Service: "pool", Capacity: big}, link.Listing{EndsCut: true})
	if o := settle(now, next); o["a"] != nil && len(o["a"].Stop) > 0 || len(started(o)) > 0 {
		t.Fatalf("commands %+v after an inventory that was cut short, want none", o["a"])
	}
	now = now.Add(sweepInterval)
	next.Report(now, "a", link.Listing{Ended: []link.RunEnd{{Number: 501, RunRef: ended, Outcome: link.Done}}})
	if o := settle(now, next); o["a"] == nil || len(o["a"].Stop) != 1 || o["a"].Stop[0] != unsent {
		t.Errorf("commands %+v after a complete listing, want the stop of %v", o["a"], unsent)
	}
}

// TestCutInventoryLeavesCopies guards against the same for an earlier run of a speculative task.
func TestCutInventoryLeavesCopies(t *testing.T) {
	now := epoch0
	c := pool(now, "a")
	first, ref := speculate(t, now, c, true)
	c.convertToCopy(c.workers[first], c.task(ref.Task))
	c.Detach(now, first)
	c.Attach(now, "node-a", link.Worker{ID: first, Service: "pool", Capacity: big}, link.Listing{EndsCut: true})
	if d := settle(now, c)[first]; d != nil && len(d.Stop) > 0 {
		t.Fatalf("%v is stopped although it may have ended", d.Stop)
	}
	c.Report(now, first, link.Listing{})
	if d := settle(now, c)[first]; d == nil || len(d.Stop) != 1 {
		t.Errorf("commands %+v after a complete listing, want the stop of %v", d, ref)
	}
}
