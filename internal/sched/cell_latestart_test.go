package sched_test

import "testing"

// lateStartFault holds up the next start at a machine. The machine loses power soon after it was sent, and is back with its worker
// before its guard, both within the time that a task waits for it.
var lateStartFault = cellFault{"late start and loss of power", func(w *cellWorld) {
	m, delay := w.machine(), w.between(2000, 12_000)
	m.holdUpStart(delay)
	w.touch(delay)
	w.after(w.between(300, 2000), func() {
		if m.guard == nil || m.exec == nil || m.gone {
			return
		}
		m.guard.kill()
		m.crash()
		dark := w.between(500, 3500)
		w.touch(5500)
		w.after(dark, func() {
			if m.exec == nil && !m.gone {
				m.boot(true)
			}
		})
		w.after(dark+w.between(0, 1500), func() {
			if m.guard == nil && !m.gone {
				m.bootGuard()
			}
		})
	})
}}

// TestCellWithLateStarts is TestCell with starts that are held up into the next birth of their worker, and nothing else: no task may run
// twice. CELL_SEED, CELL_SEEDS and CELL_FROM are those of TestCell.
func TestCellWithLateStarts(t *testing.T) {
	playCells(t, func(t *testing.T, seed uint64, trace func(string)) {
		w := newCellWorld(seed, trace)
		p := &cellPlan{w: w, faults: []cellFault{lateStartFault}}
		p.run()
		reportFindings(t, w)
	})
}
