package sched_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/resource"
)

// sceneWorld returns a world of some machines whose shape isn't drawn.
func sceneWorld(machines int, trace func(string)) *cellWorld {
	w := &cellWorld{seed: 1, records: map[string][]byte{}, births: true, rejectsOverload: true, listedEnds: 500, stopMS: 300}
	w.rng, w.trace = rand.New(rand.NewPCG(1, 40)), trace
	w.judge = newCellJudge(w)
	for n := range machines {
		w.machines = append(w.machines, &cellMachine{w: w, n: n, node: fmt.Sprintf("node-%02d", n), offset: w.between(1000, 9_000_000)})
	}
	w.takeOver(0)
	for _, m := range w.machines {
		m.boot(false)
		m.bootGuard()
	}
	w.judge.tick()
	return w
}

// crashAll crashes all workers; they come back a second later.
func (w *cellWorld) crashAll() {
	w.touch(1000)
	for _, m := range w.machines {
		m.crash()
		w.after(1000, func() { m.boot(true) })
	}
}

// busyWorkers returns the number of workers with runs.
func (w *cellWorld) busyWorkers() int {
	n := 0
	for _, m := range w.machines {
		if m.exec != nil && len(m.exec.running) > 0 {
			n++
		}
	}
	return n
}

// TestSecondBlackout guards against tasks that wait for their isolated start for long: all 13 workers crash, and crash again
// while the tasks of the first crash are starting. Every task then counts as a suspect, and three are started at a time.
func TestSecondBlackout(t *testing.T) {
	w := sceneWorld(13, nil)
	w.runUntil(1000)
	for k := range 8 {
		s := w.drawSpec(fmt.Sprintf("lasts%d", k))
		s.Steps = []job.Step{{Count: 3, Demand: resource.Vector{MilliCPU: 700, MemoryMB: 500}, LongRunning: true, MayMiss: 1}}
		w.submit(s)
	}
	for k := range 2 {
		s := w.drawSpec(fmt.Sprintf("fills%d", k))
		s.Steps = []job.Step{{Count: 24, Demand: resource.Vector{MilliCPU: 1800, MemoryMB: 1200}, Filler: true, EstimateMS: 3000, Image: "f", MayMiss: job.NoMissLimit}}
		w.submit(s)
	}
	w.runUntil(3000)
	w.crashAll()
	w.runUntil(4000)
	for w.busyWorkers() < len(w.machines) && w.now < 8000 {
		w.runUntil(w.now + 10)
	}
	w.runUntil(w.now + 300)
	w.crashAll()
	w.runUntil(w.now + 30_000)
	for _, f := range w.findings {
		t.Errorf("%s %.1f s after the second crash: %s", f.kind, float64(f.calmMS)/1000+1, f.text)
	}
}
