package sched

import (
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
)

// TestLostAcknowledgementIsRepeated guards against ends that a worker lists for good: the link broke while the record with
// their effect was being stored, so that their acknowledgement was dropped. If they fill a listing, no later end is seen.
func TestLostAcknowledgementIsRepeated(t *testing.T) {
	now := epoch0
	c := pool(now, "a")
	c.Submit(now, one("job", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 500}))
	ref := started(settle(now, c))["a"][0].RunRef
	ends := []link.RunEnd{{Number: 1, RunRef: ref, Outcome: link.Done}}
	c.Ended(now, "a", ends)
	c.Schedule(now)
	b, _ := c.Flush(now)
	c.Detach(now, "a")
	c.Stored(now, b.Seq)
	if d := c.Commands()["a"]; d != nil {
		t.Fatalf("commands %+v for a worker without a link", d)
	}
	c.Attach(now, "node-a", link.Worker{ID: "a", Service: "pool", Capacity: big}, link.Listing{Ended: ends})
	if d := settle(now, c)["a"]; d == nil || d.AckedEnd != 1 {
		t.Errorf("commands %+v after the end is listed again, want its acknowledgement", d)
	}
}

// TestVanishedGangIsStopped is TestVanishedRunIsStopped for a gang: its runs never count as stalled, since members that wait for
// others make no progress, so that nothing ends the wait for runs that no complete listing shows.
func TestVanishedGangIsStopped(t *testing.T) {
	now := epoch0
	c := pool(now, "a")
	c.Submit(now, one("gang", 0, job.Step{Count: 2, Demand: cores(1), EstimateMS: 500, Gang: true}))
	var rows []link.RunStatus
	for _, s := range started(settle(now, c))["a"] {
		rows = append(rows, link.RunStatus{RunRef: s.RunRef, Percent: 70})
	}
	c.Report(now, "a", link.Listing{Running: rows})
	for range 20 * time.Second / sweepInterval {
		now = now.Add(sweepInterval)
		c.Report(now, "a", link.Listing{})
		if d := settle(now, c)["a"]; d != nil && len(d.Stop) > 0 {
			return
		}
	}
	t.Error("the runs of the gang aren't stopped although no listing has shown them for 20 s")
}
