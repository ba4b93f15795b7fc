package sched

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/resource"
)

// drawSpec draws a job.
func drawSpec(t *rapid.T, n int) *job.Spec {
	s := &job.Spec{
		ID: fmt.Sprintf("job%d", n), AcceptedMS: 1_800_000_000_000,
		Policy: job.Policy{Queue: "q", Service: "pool", Priority: rapid.IntRange(0, 2).Draw(t, "priority"), MaxAttempts: 3, Stretch: 2, LatencyTargetMS: 1000},
	}
	for i := range rapid.IntRange(1, 3).Draw(t, "steps") {
		st := job.Step{
			Count:      rapid.IntRange(1, 4).Draw(t, "count"),
			Demand:     resource.Vector{MilliCPU: int64(rapid.IntRange(1, 30).Draw(t, "cpu")) * 100, MemoryMB: 1000},
			EstimateMS: 1000, MayMiss: -1,
			Gang:        rapid.IntRange(0, 5).Draw(t, "gang") == 0,
			LongRunning: rapid.IntRange(0, 6).Draw(t, "lasts") == 0,
			Filler:      rapid.IntRange(0, 3).Draw(t, "filler") == 0,
			Speculative: rapid.IntRange(0, 2).Draw(t, "speculative") == 0,
		}
		st.AntiAffinity = rapid.IntRange(0, 2).Draw(t, "anti-affinity")
		if i > 0 && rapid.Bool().Draw(t, "depends") && !s.Steps[i-1].LongRunning {
			st.DependsOn = []int{i - 1}
		}
		s.Steps = append(s.Steps, st)
	}
	return s
}

// TestPromises drives the core through crashes, takeovers, lost and late commands, expired leases,
// capacities that shrink and grow, drains, cancellations and tasks that crash their workers, and checks every start against the invariants: one run at a
// time, none after an acknowledged success, steps in order, attempts and crashes bounded, none in a drained data centre,
// capacity and anti-affinity kept. No job may fail without a cause.
func TestPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const workers = 3
		w := newWorld(t, workers)
		faults := rapid.IntRange(0, 9)
		nodes := []string{"node-0", "node-1", "node-2"}
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			node := rapid.SampledFrom(nodes).Draw(t, "node")
			switch rapid.IntRange(0, 18).Draw(t, "event") {
			case 0, 1:
				if len(w.specs) < 8 {
					s := drawSpec(t, len(w.specs))
					w.specs = append(w.specs, s)
					w.deadly[job.TaskID{Job: s.ID}] = rapid.IntRange(0, 5).Draw(t, "deadly") == 0
					w.core.Submit(w.now, s)
				}
			case 2:
				if len(w.specs) > 0 {
					s := rapid.SampledFrom(w.specs).Draw(t, "cancelled")
					w.cancels[s.ID] = true
					w.core.Cancel(w.now, s.ID)
				}
			case 3:
				w.detach(node)
			case 4:
				w.takeover()
			case 5:
				w.crash(node, rapid.Bool().Draw(t, "guard lives"))
			case 6:
				w.deliverLate()
			case 7, 8, 9:
				w.attach(node)
			case 10, 11:
				dataCentre := "dc-" + node
				w.drained[dataCentre] = !w.drained[dataCentre]
				w.setDrains(rapid.IntRange(0, 3).Draw(t, "view") > 0)
			case 12:
				w.resize(node, rapid.IntRange(0, 4).Draw(t, "capacity"))
			default:
				w.report()
			}
			w.step(time.Duration(rapid.IntRange(10, 300).Draw(t, "ms")) * time.Millisecond)
			w.flush()
			w.deliver(w.core.Commands(), faults)
			if rapid.IntRange(0, 3).Draw(t, "store") > 0 {
				w.stored()
				w.deliver(w.core.Commands(), faults)
			}
		}
	})
}

// deliverLate carries out the start commands that were delayed.
func (w *world) deliverLate() {
	for _, l := range w.late {
		w.start(l.to, l.start, l.until, l.capacity, true)
	}
	w.late = nil
}

// resize changes the capacity of the worker beside a node to some quarters of the full one.
func (w *world) resize(node string, quarters int) {
	for _, e := range w.execs {
		if e.node == node && e.up {
			e.cap = resource.Vector{MilliCPU: fullCapacity.MilliCPU * int64(quarters) / 4, MemoryMB: fullCapacity.MemoryMB}
		}
	}
}

// report reports what the attached incarnations list.
func (w *world) report() {
	for _, node := range slices.Sorted(maps.Keys(w.attached)) {
		e := w.attached[node]
		if e.told != e.cap {
			e.told = e.cap
			w.core.Update(w.now, e.info())
		}
		w.core.Report(w.now, e.id, e.listing())
	}
}

// TestCompletes checks liveness: without faults every job that can be done is completed.
func TestCompletes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 3)
		for i := range rapid.IntRange(1, 5).Draw(t, "jobs") {
			s := drawSpec(t, i)
			s.Policy.MaxAttempts = 1000
			for k := range s.Steps {
				s.Steps[k].LongRunning = false
				// Three workers of four cores fit any gang of these sizes.
				s.Steps[k].Gang = s.Steps[k].Gang && s.Steps[k].Demand.MilliCPU <= 2000
				if s.Steps[k].Gang {
					s.Steps[k].AntiAffinity = 0
				}
			}
			w.specs = append(w.specs, s)
			w.core.Submit(w.now, s)
		}
		for i := range 3 {
			w.attach(fmt.Sprintf("node-%d", i))
		}
		for range 600 {
			w.report()
			w.step(100 * time.Millisecond)
			w.flush()
			w.stored()
			w.deliver(w.core.Commands(), rapid.Just(9))
		}
		for _, s := range w.specs {
			if v, _ := w.core.Job(s.ID); v.State != Completed {
				t.Fatalf("%s is %s after a minute: %+v", s.ID, v.State, v)
			}
		}
	})
}
