package sched_test

import (
	"fmt"
	"testing"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/resource"
)

// TestCellWithLosses is TestCell with the loss of any number of machines but one, with the owner or without it, and small tasks that last:
// none may stand still. CELL_SEED, CELL_SEEDS and CELL_FROM are those of TestCell.
func TestCellWithLosses(t *testing.T) {
	playCells(t, func(t *testing.T, seed uint64, trace func(string)) {
		w := newCellWorld(seed, trace)
		w.runUntil(1500)
		for k := range int(w.between(1, 6)) {
			s := w.drawSpec(fmt.Sprintf("lasts%d", k))
			s.Steps = []job.Step{{Count: int(w.between(1, 4)), Demand: resource.Vector{MilliCPU: 100, MemoryMB: 100}, LongRunning: true, MayMiss: 1}}
			w.submit(s)
		}
		w.runUntil(w.now + w.between(1000, 5000))
		lost := int(w.between(1, int64(len(w.machines)-1)))
		if w.chance(0.5) {
			w.loseWithOwner(lost)
		} else {
			w.lose(lost)
		}
		w.runUntil(w.now + 15_000)
		reportFindings(t, w)
	})
}

// TestCellWithCuts is TestCellWithLosses with an owner that is cut off from the store with some of the guards, while another one takes
// the cell with the others: no task may run twice.
func TestCellWithCuts(t *testing.T) {
	playCells(t, func(t *testing.T, seed uint64, trace func(string)) {
		w := newCellWorld(seed, trace)
		w.runUntil(1500)
		s := w.drawSpec("lasts")
		s.Steps = []job.Step{{Count: 2 * len(w.machines), Demand: resource.Vector{MilliCPU: 300, MemoryMB: 100}, LongRunning: true, MayMiss: 1}}
		w.submit(s)
		w.runUntil(w.now + w.between(500, 4000))
		w.split(int(w.between(0, int64(len(w.machines)))))
		w.runUntil(w.now + w.between(0, 3000))
		if w.chance(0.5) {
			w.machine().restartGuard(w.between(50, 3000))
		}
		w.runUntil(w.now + 20_000)
		reportFindings(t, w)
	})
}
