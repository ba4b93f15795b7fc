package sched_test

import (
	"fmt"
	"testing"
)

// cancelMS is how long after the acknowledgement of its cancellation a task may still start.
const cancelMS = 3000

// lateJobFault cancels a job whose append has an unknown outcome: it is stored before its cancellation, or up to some seconds after it.
var lateJobFault = cellFault{"late job", func(w *cellWorld) {
	w.counter++
	spec := w.drawSpec(fmt.Sprintf("late%d", w.counter))
	spec.AcceptedMS = w.unix()
	w.judge.add(spec)
	j := w.judge.jobs[spec.ID]
	j.cancelled = true
	w.after(w.between(0, 6000), func() {
		w.logf("job %s stored late: %s", spec.ID, describeSteps(spec))
		w.jobLog = append(w.jobLog, cellJobEntry{spec: spec})
	})
	w.after(w.between(0, 3000), func() {
		w.logf("cancellation of job %s stored", spec.ID)
		j.cancelledAt = w.now
		w.jobLog = append(w.jobLog, cellJobEntry{spec: spec, cancel: true})
	})
}}

// TestCellWithLateJobs is TestCell with jobs that are stored after their cancellation, beside takeovers and guards that restart: none of
// their tasks may start. CELL_SEED, CELL_SEEDS and CELL_FROM are those of TestCell.
func TestCellWithLateJobs(t *testing.T) {
	playCells(t, func(t *testing.T, seed uint64, trace func(string)) {
		w := newCellWorld(seed, trace)
		p := &cellPlan{w: w, faults: []cellFault{lateJobFault, lateJobFault, lateJobFault}}
		for _, f := range cellFaults {
			if f.name == "takeover" || f.name == "guard restart" {
				p.faults = append(p.faults, f)
			}
		}
		p.run()
		reportFindings(t, w)
	})
}
