package sched

import (
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
)

// TestShrunkWhileStoring guards against starts that exceed the capacity of a worker which has shrunk while their record
// was being stored: a slow store takes seconds. The runs that no longer fit are withdrawn, the others start, and the
// tasks run once the worker has grown again.
func TestShrunkWhileStoring(t *testing.T) {
	now := epoch0
	c := pool(now, "a")
	c.Submit(now, one("job", 0, job.Step{Count: 4, Demand: cores(1), EstimateMS: 1000}))
	c.Schedule(now)
	b, _ := c.Flush(now)
	small := big
	small.MilliCPU = 2000
	info := link.Worker{ID: "a", Service: "pool", Capacity: small}
	now = now.Add(5 * time.Second)
	c.Update(now, info)
	c.Stored(now, b.Seq)
	d := c.Commands()["a"]
	if len(d.Start) != 2 || len(d.Stop) != 2 {
		t.Fatalf("%d starts and %d stops on a worker with room for two, want two each", len(d.Start), len(d.Stop))
	}
	for _, ref := range d.Stop {
		c.Ended(now, "a", []link.RunEnd{{RunRef: ref, Outcome: link.Absent}})
	}
	now = now.Add(time.Second)
	if got := started(settle(now, c)); len(got) != 0 {
		t.Fatalf("started %+v on a full worker", got)
	}
	info.Capacity = big
	c.Update(now, info)
	now = now.Add(time.Second)
	if got := started(settle(now, c))["a"]; len(got) != 2 {
		t.Errorf("started %+v after the worker has grown again, want the other two", got)
	}
}

// TestShrunkBelowLoad guards against starts on a worker whose capacity has shrunk below what runs there: what is being
// stopped still counts, also for an urgent task that preempts others. Running tasks stay.
func TestShrunkBelowLoad(t *testing.T) {
	now := epoch0
	c := pool(now, "a")
	c.Submit(now, one("batch", 2, job.Step{Count: 4, Demand: cores(1), EstimateMS: 5000}))
	var rows []link.RunStatus
	for _, s := range started(settle(now, c))["a"] {
		rows = append(rows, link.RunStatus{RunRef: s.RunRef, Percent: 10})
	}
	c.Report(now, "a", link.Listing{Running: rows})
	small := big
	small.MilliCPU = 2000
	c.Update(now, link.Worker{ID: "a", Service: "pool", Capacity: small})
	if d := settle(now, c)["a"]; d != nil {
		t.Fatalf("commands %+v for a worker that has shrunk, want none", d)
	}
	c.Submit(now, one("urgent", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 100}))
	stops := settle(now, c)["a"].Stop
	if len(stops) != 3 {
		t.Fatalf("stopped %v for an urgent task, want three of four runs", stops)
	}
	for i, ref := range stops {
		now = now.Add(10 * time.Millisecond)
		if got := started(settle(now, c)); len(got) != 0 {
			t.Fatalf("started %+v while %d runs are being stopped", got, len(stops)-i)
		}
		c.Ended(now, "a", []link.RunEnd{{Number: int64(i + 1), RunRef: ref, Outcome: link.Stopped}})
	}
	if got := started(settle(now, c))["a"]; len(got) != 1 || got[0].Task.Job != "urgent" {
		t.Errorf("started %+v, want the urgent task", got)
	}
}
