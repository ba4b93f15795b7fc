package sched

import (
	"errors"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
	"github.com/crocusspring/crocusspring/internal/resource"
)

// pool returns a core with attached workers of four cores.
func pool(now time.Time, ids ...string) *Core {
	c := New(options)
	for _, id := range ids {
		c.Attach(now, "node-"+id, link.Worker{
			ID: id, Service: "pool", Kind: "a", Rack: "r-" + id,
			Capacity: resource.Vector{MilliCPU: 4000, MemoryMB: 8000},
		}, link.Listing{})
	}
	return c
}

// settle schedules, stores and returns the commands.
func settle(now time.Time, c *Core) Commands {
	c.Schedule(now)
	if b, ok := c.Flush(now); ok {
		c.Stored(now, b.Seq)
	}
	return c.Commands()
}

// started returns the start commands of a set, by worker.
func started(o Commands) map[string][]link.Start {
	out := map[string][]link.Start{}
	for id, d := range o {
		if len(d.Start) > 0 {
			out[id] = d.Start
		}
	}
	return out
}

// TestAdvice checks that a step whose queue takes advice starts only on approved workers, with their ticket,
// that denied ones are not requested again, and that a failed request is retried.
func TestAdvice(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	c := pool(now, "a", "b", "c")
	c.Submit(now, &job.Spec{
		ID: "job", AcceptedMS: now.UnixMilli(),
		Policy: job.Policy{Queue: "q", Service: "pool", MaxAttempts: 3, Stretch: 2, Advice: &job.Advice{DecideMS: 20, EachMS: 5, ValidMS: 3000}},
		Steps:  []job.Step{{Count: 2, Demand: resource.Vector{MilliCPU: 1000, MemoryMB: 100}, EstimateMS: 100, MayMiss: -1}},
	})
	if got := started(settle(now, c)); len(got) != 0 {
		t.Fatalf("started %v without advice", got)
	}
	requests := allRequests(now, c)
	if len(requests) != 1 || requests[0].Step != "job.0.0" || len(requests[0].Workers) != 3 || requests[0].Within != 35*time.Millisecond {
		t.Fatalf("requests %+v, want one for three workers", requests)
	}
	c.HandleApproval(now, requests[0], Approval{}, errors.New("busy"))
	settle(now, c)
	if got := allRequests(now, c); len(got) != 0 {
		t.Errorf("request repeated at once: %+v", got)
	}
	now = now.Add(approvalRetryDelay)
	settle(now, c)
	requests = allRequests(now, c)
	if len(requests) != 1 {
		t.Fatalf("requests %+v after a failed request, want one", requests)
	}
	c.HandleApproval(now, requests[0], Approval{Tickets: map[string]string{"b": "t1"}, Valid: 3 * time.Second}, nil)
	got := started(settle(now, c))
	if len(got) != 1 || len(got["b"]) != 2 || got["b"][0].Ticket != "t1" {
		t.Errorf("started %+v, want both tasks on b with its ticket", got)
	}
	if got := allRequests(now, c); len(got) != 0 {
		t.Errorf("requests %+v for workers that were denied", got)
	}
}

// TestUnapprovedFillerHoldsUpNoOthers guards against a filler with approvals that isn't placed although a worker has room: another
// of the same image, ranked above it, lacked only its own approval, and the round took that for a lack of room.
func TestUnapprovedFillerHoldsUpNoOthers(t *testing.T) {
	now := epoch0
	c := pool(now, "a", "b")
	filler := job.Step{Count: 1, Demand: cores(1), EstimateMS: 1000, Filler: true, Image: "fill"}
	c.Submit(now, advised("denied", 1, filler))
	c.Submit(now, advised("approved", 2, filler))
	now = now.Add(fillerInterval)
	settle(now, c)
	for q, ok := c.NextApprovalRequest(now); ok; q, ok = c.NextApprovalRequest(now) {
		a := Approval{Tickets: map[string]string{}, Valid: 3 * time.Second}
		if q.Step == "approved.0.0" {
			a.Tickets[q.Workers[0]] = "t"
		}
		c.HandleApproval(now, q, a, nil)
	}
	now = now.Add(fillerInterval)
	if got := started(settle(now, c)); len(got) != 1 {
		t.Errorf("started %+v, want the approved filler", got)
	}
}
