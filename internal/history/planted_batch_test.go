package history

import "time"

// plantedBatch returns violations of the invariants on batch jobs.
func plantedBatch() []planted {
	return []planted{
		{
			"more than the capacity", Capacity,
			[]int{21, 22, 24},
			func(h *History) {
				a := attempt(24, "job-x", 1, "worker-01", 200, 250)
				a.Reserve.MilliCPU = 1
				h.Attempts = append(h.Attempts, a)
			},
			func(r Report) int { return r.OverCapacity },
		},
		{
			"reserved less than declared", Capacity,
			[]int{21},
			func(h *History) { h.Attempts[0].Reserve.MilliCPU = 3999 },
			func(r Report) int { return r.OverCapacity },
		},
		{
			"task in two places", SingleExecution,
			[]int{21, 25},
			func(h *History) { h.Attempts = append(h.Attempts, attempt(25, "job-a", 2, "worker-02", 499, 600)) },
			func(r Report) int { return r.DoubleRuns },
		},
		{
			"older attempt after a newer one", SingleExecution,
			[]int{21, 26},
			func(h *History) {
				h.Attempts[0].Attempt, h.Attempts[0].State = 2, StateExpired
				h.Attempts = append(h.Attempts, attempt(26, "job-a", 1, "worker-02", 1000, 1400))
			},
			func(r Report) int { return len(r.Violations) },
		},
		{
			"resumed twice", ResumeOnce,
			[]int{23, 27},
			func(h *History) {
				h.Attempts[2].State = StateStopped
				a := attempt(27, "job-b", 3, "worker-02", 800, 1100)
				a.Resume, a.ResumedMS = 1, 200
				h.Attempts = append(h.Attempts, a)
			},
			func(r Report) int { return r.DoubleResumes },
		},
		{
			"resumed from nothing", ResumeOnce,
			[]int{23},
			func(h *History) { h.Attempts[1].Task = "job-z" },
			func(r Report) int { return len(r.Violations) },
		},
		{
			"resumed with more than was done", ResumeOnce,
			[]int{22, 23},
			func(h *History) { h.Attempts[2].ResumedMS = 251 },
			func(r Report) int { return len(r.Violations) },
		},
		{
			"accepted job is gone", NoJobLost,
			[]int{32, 22, 23},
			func(h *History) { h.Jobs[1].Final = JobMissing },
			func(r Report) int { return r.JobsLost },
		},
		{
			"finished by nobody", NoJobLost,
			[]int{31, 21},
			func(h *History) { h.Attempts[0].State = StateExpired },
			func(r Report) int { return r.JobsFinished - 1 },
		},
		{
			"failed for nothing", NoJobLost,
			[]int{31, 21},
			func(h *History) { h.Jobs[0].Final, h.Attempts[0].State = JobFailed, StateFailed },
			func(r Report) int { return r.JobsFailed },
		},
		{
			"cancelled by nobody", NoJobLost,
			[]int{31},
			func(h *History) { h.Jobs[0].Final = JobCancelled },
			func(r Report) int { return r.JobsCancelled },
		},
		{
			"done again after its finish", NoJobLost,
			[]int{21, 28},
			func(h *History) { h.Attempts = append(h.Attempts, attempt(28, "job-a", 2, "worker-02", 900, 1300)) },
			func(r Report) int { return len(r.Violations) },
		},
		{
			"cancelled but open", NoJobLost,
			[]int{31, 21},
			func(h *History) { h.Jobs[0].Final, h.Jobs[0].CancelAccepted = JobOpen, at(600) },
			func(r Report) int { return r.JobsOpen },
		},
		{
			"an attempt never ends", Progress,
			[]int{31},
			func(h *History) { h.Jobs[0].Final, h.Attempts[0].End, h.End = JobOpen, time.Time{}, at(11_301) },
			func(r Report) int { return r.JobsOpen },
		},
		{
			"batch stands still", Progress,
			[]int{31},
			func(h *History) { h.Jobs[0].Final, h.Attempts[0].State, h.End = JobOpen, StateExpired, at(10701) },
			func(r Report) int { return r.JobsOpen },
		},
	}
}

// plantedConfig returns violations of the invariants on configuration.
func plantedConfig() []planted {
	return []planted{
		{
			"lower version after a higher one", NoRevert,
			[]int{53, 55},
			func(h *History) {
				h.Readings = append(h.Readings, &Reading{Op: 55, Process: "entry-1#1", Start: at(7500), End: at(7600), Versions: map[string]int64{"service/s": 1}})
			},
			func(r Report) int { return r.ConfigReverts },
		},
		{
			"record vanished", NoRevert,
			[]int{53, 55},
			func(h *History) {
				h.Readings = append(h.Readings, &Reading{Op: 55, Process: "entry-1#1", Start: at(7500), End: at(7600)})
			},
			func(r Report) int { return r.ConfigReverts },
		},
		{
			"not in force in time", InEffect,
			[]int{42, 56},
			func(h *History) {
				h.Readings = append(h.Readings, &Reading{Op: 56, Process: "entry-2#1", Ready: true, Start: at(6011), End: at(6020), Versions: map[string]int64{"service/s": 1}})
			},
			func(r Report) int { return len(r.Violations) },
		},
		{
			"restarted and ready with an old record", InEffect,
			[]int{41, 57},
			func(h *History) {
				h.Readings = append(h.Readings, &Reading{Op: 57, Process: "entry-1#2", Ready: true, Start: at(5500), End: at(5600)})
			},
			func(r Report) int { return len(r.Violations) },
		},
		{
			"two operators won", OneVerdict,
			[]int{41, 42, 43},
			func(h *History) { h.Proposals[2].Outcome = Accepted },
			func(r Report) int { return r.RecordsApplied - 2 },
		},
		{
			"version from nowhere", OneVerdict,
			[]int{41, 42, 58},
			func(h *History) {
				h.Readings = append(h.Readings, &Reading{Op: 58, Process: "entry-3#1", Start: at(1500), End: at(1510), Versions: map[string]int64{"service/s": 3}})
			},
			func(r Report) int { return len(r.Violations) },
		},
	}
}
