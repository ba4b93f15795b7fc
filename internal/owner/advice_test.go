package owner

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
	"github.com/crocusspring/crocusspring/internal/resource"
	"github.com/crocusspring/crocusspring/internal/sched"
	"github.com/crocusspring/crocusspring/internal/store/memstore"
)

// slowAdviser approves everything, after a while.
type slowAdviser struct {
	takes time.Duration

	mu sync.Mutex
	// asked are the steps of the calls, in order; busy counts the calls in progress, most is the highest count.
	asked      []string
	busy, most int
}

func (a *slowAdviser) Advise(_ context.Context, step string, workers []string) (sched.Approval, error) {
	a.mu.Lock()
	a.asked = append(a.asked, step)
	a.busy++
	a.most = max(a.most, a.busy)
	a.mu.Unlock()
	time.Sleep(a.takes)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.busy--
	out := sched.Approval{Tickets: map[string]string{}, Valid: time.Minute}
	for _, id := range workers {
		out.Tickets[id] = "ticket"
	}
	return out, nil
}

// calls returns the steps of the calls so far.
func (a *slowAdviser) calls() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string(nil), a.asked...)
}

// TestRequestIsChosenWhenServiceIsFree guards against an owner that queues requests for the policy service: those of dozens of
// fillers, more than a queue took, kept the one for a task that lasts waiting for seconds.
func TestRequestIsChosenWhenServiceIsFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := ownedCell(t, memstore.New())
		adviser := &slowAdviser{takes: 100 * time.Millisecond}
		submit := func(id string, priority int, s job.Step) {
			spec := smallJob(id)
			spec.Policy.Priority, spec.Policy.Advice = priority, &job.Advice{DecideMS: 20, EachMS: 5, ValidMS: 60_000}
			s.MayMiss, s.Count, s.EstimateMS, s.Demand = job.NoMissLimit, 1, 1000, resource.Vector{MilliCPU: 100, MemoryMB: 10}
			spec.Steps = []job.Step{s}
			c.core.Submit(time.Now(), spec)
		}
		c.mu.Lock()
		c.adviser = adviser
		c.core.Attach(time.Now(), "node", link.Worker{ID: "a", Service: "pool", Capacity: resource.Vector{MilliCPU: 100_000, MemoryMB: 100_000}}, link.Listing{})
		for i := range 100 {
			submit(fmt.Sprintf("fill%02d", i), 2, job.Step{Filler: true})
		}
		c.mu.Unlock()
		time.Sleep(time.Second)
		c.mu.Lock()
		submit("serve", 0, job.Step{LongRunning: true})
		c.mu.Unlock()
		before := len(adviser.calls())
		time.Sleep(500 * time.Millisecond)
		calls := adviser.calls()
		if before == 0 || len(calls) < before+2 {
			t.Fatalf("%d calls, then %d", before, len(calls))
		}
		// One more call may begin before the next round, and the next one be that of the step that has waited longest.
		at := -1
		for i, step := range calls {
			if step == "serve.0.0" {
				at = i
			}
		}
		if at < 0 || at > before+2 {
			t.Errorf("the step that lasts is call %d, want at most %d: %v", at, before+2, calls)
		}
		if adviser.most != 1 {
			t.Errorf("%d calls at a time, want one", adviser.most)
		}
	})
}
