package history

import (
	"math"
	"slices"
	"testing"
	"time"
)

// at returns a time of the planted histories.
func at(ms int) time.Time {
	return time.Unix(1_700_000_000, 0).Add(time.Duration(ms) * time.Millisecond)
}

// body is what a caller sends under a token.
func body(token string) string { return token + " filling " + token }

// request returns an answered request of a key-less seat check.
func request(op int, token string, from, to int) *Request {
	return &Request{
		Op: op, Token: token, RequestID: "r-" + token, Entry: "entry-1", Idempotent: true, Due: at(from), Start: at(from), End: at(to),
		Outcome: Answered, Sent: body(token), Answer: "target-01 " + body(token),
	}
}

// run returns the run of a request.
func run(op int, token, target string, from, to int) *Run {
	return &Run{
		Op: op, Target: target, RequestID: "r-" + token, Attempt: "1", Token: token, Arrived: at(from), Start: at(from), End: at(to),
	}
}

// keyed returns a paid enrolment with its key.
func keyed(op int, token string, from, to int) *Request {
	q := request(op, token, from, to)
	q.Key, q.Idempotent = "key-"+token, false
	return q
}

// keyedRun returns the run of a paid enrolment.
func keyedRun(op int, token, target string, from, to int) *Run {
	r := run(op, token, target, from, to)
	r.Key = "key-" + token
	return r
}

// attempt returns an attempt that finished.
func attempt(op int, task string, n int, worker string, from, to int) *Attempt {
	return &Attempt{
		Op: op, Worker: worker, Task: task, Attempt: n, Reserve: Amount{MilliCPU: 4000, MemoryMB: 100},
		Start: at(from), End: at(to), State: StateFinished,
	}
}

// clean returns a history in which every promise was kept, with a little of everything.
func clean() *History {
	evicted := attempt(22, "job-b", 1, "worker-01", 100, 300)
	evicted.State = StateStopped
	resumed := attempt(23, "job-b", 2, "worker-02", 400, 700)
	resumed.Resume, resumed.ResumedMS = 1, 200
	again := keyed(5, "pay", 210, 320)
	return &History{
		Slots:    map[string]int{"target-01": 2, "target-02": 2},
		Conns:    map[string]int{"target-01": 64, "target-02": 64},
		Capacity: map[string]Amount{"worker-01": {8000, 1000, 0}, "worker-02": {8000, 1000, 0}},
		Requests: []*Request{
			request(1, "seat-1", 0, 100), request(2, "seat-2", 50, 150),
			keyed(4, "pay", 100, 200), again,
			{Op: 6, Token: "seat-3", RequestID: "r-seat-3", Entry: "entry-1", Idempotent: true, Start: at(1500), End: at(1600), Outcome: NotRun},
			{Op: 7, Token: "seat-4", RequestID: "r-seat-4", Entry: "entry-2", Idempotent: true, Start: at(1500), End: at(1600), Outcome: Unknown},
		},
		Runs: []*Run{
			run(11, "seat-1", "target-01", 10, 90), run(12, "seat-2", "target-01", 60, 140),
			keyedRun(13, "pay", "target-02", 110, 190),
		},
		Jobs: []*Job{
			{Op: 31, ID: "job-a", Workspace: "a", Declare: Amount{MilliCPU: 4000}, RunMS: 400, Start: at(0), End: at(10), Outcome: Accepted, Final: JobFinished},
			{Op: 32, ID: "job-b", Workspace: "b", Declare: Amount{MilliCPU: 4000}, RunMS: 500, Start: at(0), End: at(10), Outcome: Accepted, Final: JobFinished},
			{Op: 33, ID: "job-c", Workspace: "b", RunMS: 500, Start: at(0), End: at(10), Outcome: Unknown, Final: JobMissing},
		},
		Attempts: []*Attempt{attempt(21, "job-a", 1, "worker-01", 100, 500), evicted, resumed},
		Proposals: []*Proposal{
			{Op: 41, ID: "p1", Name: "service/s", Version: 1, Start: at(0), End: at(10), Outcome: Accepted},
			{Op: 42, ID: "p2", Name: "service/s", Expected: 1, Version: 2, Start: at(1000), End: at(1010), Outcome: Accepted},
			{Op: 43, ID: "p3", Name: "service/s", Expected: 1, Version: 2, Start: at(1005), End: at(1020), Outcome: Conflict},
		},
		Readings: []*Reading{
			{Op: 51, Process: "entry-1#1", Ready: true, Start: at(0), End: at(5), Versions: map[string]int64{}},
			{Op: 52, Process: "entry-1#1", Ready: true, Start: at(500), End: at(505), Versions: map[string]int64{"service/s": 1}},
			{Op: 53, Process: "entry-1#1", Ready: true, Start: at(1500), End: at(1510), Versions: map[string]int64{"service/s": 2}},
			{Op: 54, Process: "entry-1#1", Ready: true, Start: at(7000), End: at(7010), Versions: map[string]int64{"service/s": 2}},
		},
		Appends: []*Append{
			{Op: 61, At: at(0), Outcome: Accepted},
			{Op: 62, At: at(900), Outcome: Lost},
			{Op: 63, At: at(950), Outcome: NotRun},
			{Op: 64, At: at(1100), Outcome: Accepted},
		},
		Incidents: []*Incident{{Op: 71, Kind: TargetLeave, Subject: "target-02", Start: at(500)}},
		End:       at(8000),
	}
}

// TestCleanHistory has no violation, and its counts are those planted.
func TestCleanHistory(t *testing.T) {
	r := Check(clean())
	if len(r.Violations) > 0 {
		t.Errorf("violations in a clean history: %+v", r.Violations)
	}
	if r.RequestsSent != 6 || r.RequestsAnswered != 4 || r.RequestsNotRun != 1 || r.RequestsUnknown != 1 || r.RequestsLost != 0 {
		t.Errorf("requests: %+v", r)
	}
	if r.JobsAccepted != 2 || r.JobsFinished != 2 || r.Evictions != 1 || r.RecordsApplied != 2 || r.ConfigSlowestMS != 500 {
		t.Errorf("jobs and records: %+v", r)
	}
	if r.LogAppendsPeak != 2 || r.LatencyMS.P50 != 100 || r.LatencyMS.P999 != 110 {
		t.Errorf("measures: %+v", r)
	}
	if math.Abs(r.JainIndex-1) > 1e-9 {
		t.Errorf("both workspaces received all they asked for, Jain's index is %v", r.JainIndex)
	}
}

// planted is one broken promise in an otherwise clean history.
type planted struct {
	name    string
	promise Promise
	// ops are the operations that the violation has to name.
	ops   []int
	plant func(*History)
	count func(Report) int
}

func plantedRequests() []planted {
	return []planted{
		{
			"lost without a cause", EveryOutcome,
			[]int{2},
			func(h *History) { h.Requests[1].Outcome = Lost },
			func(r Report) int { return r.RequestsLost },
		},
		{
			"answer ended early", OwnAnswer,
			[]int{1, 11},
			func(h *History) { h.Requests[0].Broken = true },
			func(r Report) int { return r.WrongAnswers },
		},
		{
			"part of an answer", OwnAnswer,
			[]int{1, 11},
			func(h *History) { h.Requests[0].Answer = "target-01 seat-1 fill" },
			func(r Report) int { return r.WrongAnswers },
		},
		{
			"answer of another caller", OwnAnswer,
			[]int{1, 11},
			func(h *History) { h.Requests[0].Answer = h.Requests[1].Answer },
			func(r Report) int { return r.WrongAnswers },
		},
		{
			"answer without a run", OwnAnswer,
			[]int{1},
			func(h *History) { h.Runs = h.Runs[1:] },
			func(r Report) int { return r.WrongAnswers },
		},
		{
			"refused but ran", TrueNotRun,
			[]int{1, 11},
			func(h *History) { h.Requests[0].Outcome = NotRun },
			func(r Report) int { return r.FalseNotRun },
		},
		{
			"second send refused although the first ran", TrueNotRun,
			[]int{5, 13},
			func(h *History) { h.Requests[3].Outcome = NotRun },
			func(r Report) int { return r.FalseNotRun },
		},
		{
			"two places at once", OnePlace,
			[]int{11, 14},
			func(h *History) { h.Runs = append(h.Runs, run(14, "seat-1", "target-02", 80, 120)) },
			func(r Report) int { return r.DoubleRuns },
		},
		{
			"charged twice", AtMostOnce,
			[]int{13, 15},
			func(h *History) { h.Runs = append(h.Runs, run(15, "pay", "target-01", 250, 300)) },
			func(r Report) int { return r.DoubleRuns },
		},
		{
			"two answers to one key", AtMostOnce,
			[]int{4, 5, 13},
			func(h *History) { h.Requests[3].Answer = "target-02 " + body("pay") },
			func(r Report) int { return len(r.Violations) },
		},
		{
			"more than the slots", Slots,
			[]int{11, 12, 16},
			func(h *History) {
				h.Runs = append(h.Runs, &Run{Op: 16, Target: "target-01", Token: "seat-9", Arrived: at(70)})
			},
			func(r Report) int { return r.OverSlots },
		},
		{
			"more than the connections", Slots,
			[]int{18},
			func(h *History) {
				h.Opened = append(h.Opened, &Opened{Op: 18, Target: "target-01", Open: 65, At: at(70)})
			},
			func(r Report) int { return r.OverSlots },
		},
		{
			"late to a leaving target", LeavingTarget,
			[]int{17, 71},
			func(h *History) {
				h.Runs = append(h.Runs, &Run{Op: 17, Target: "target-02", Token: "seat-9", Arrived: at(2501)})
			},
			func(r Report) int { return r.LateToLeaving },
		},
		{
			"stop cut a request", GracefulStop,
			[]int{2, 72},
			func(h *History) {
				h.Requests[1].Outcome = Lost
				h.Incidents = append(h.Incidents, &Incident{Op: 72, Kind: ProcessStop, Subject: "entry-1", Start: at(60), End: at(400)})
			},
			func(r Report) int { return r.CutRequests },
		},
		{
			"stop cut a request it had let in", GracefulStop,
			[]int{2, 72},
			func(h *History) {
				h.Requests[1].Outcome = Lost
				h.Incidents = append(h.Incidents, &Incident{Op: 72, Kind: ProcessStop, Subject: "entry-1", Start: at(40), End: at(400)})
			},
			func(r Report) int { return r.CutRequests },
		},
		{
			"stop failed", GracefulStop,
			[]int{72},
			func(h *History) {
				h.Incidents = append(h.Incidents, &Incident{Op: 72, Kind: ProcessStop, Subject: "entry-1", Start: at(60), End: at(400), Err: "timeout"})
			},
			func(r Report) int { return len(r.Violations) },
		},
	}
}

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
			"task in two places", OnePlace,
			[]int{21, 25},
			func(h *History) { h.Attempts = append(h.Attempts, attempt(25, "job-a", 2, "worker-02", 499, 600)) },
			func(r Report) int { return r.DoubleRuns },
		},
		{
			"older attempt after a newer one", OnePlace,
			[]int{21, 26},
			func(h *History) {
				h.Attempts[0].Attempt, h.Attempts[0].State = 2, StateLapsed
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
			func(h *History) { h.Attempts[0].State = StateLapsed },
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
			func(h *History) { h.Jobs[0].Final, h.Jobs[0].CancelTaken = JobOpen, at(600) },
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
			func(h *History) { h.Jobs[0].Final, h.Attempts[0].State, h.End = JobOpen, StateLapsed, at(10701) },
			func(r Report) int { return r.JobsOpen },
		},
	}
}

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
			"not in force in time", InForce,
			[]int{42, 56},
			func(h *History) {
				h.Readings = append(h.Readings, &Reading{Op: 56, Process: "entry-2#1", Ready: true, Start: at(6011), End: at(6020), Versions: map[string]int64{"service/s": 1}})
			},
			func(r Report) int { return len(r.Violations) },
		},
		{
			"restarted and ready with an old record", InForce,
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

// TestPlantedViolations plants one broken promise at a time: the checker finds it, counts it and names
// exactly its operations.
func TestPlantedViolations(t *testing.T) {
	for _, p := range slices.Concat(plantedRequests(), plantedBatch(), plantedConfig()) {
		t.Run(p.name, func(t *testing.T) {
			h := clean()
			p.plant(h)
			r := Check(h)
			if p.count(r) != 1 {
				t.Errorf("counted %d", p.count(r))
			}
			if !slices.ContainsFunc(r.Violations, func(v Violation) bool {
				return v.Promise == p.promise && slices.Equal(sorted(v.Operations), sorted(names(h, p.ops)))
			}) {
				t.Errorf("want %q naming %v, got %+v", p.promise, p.ops, r.Violations)
			}
		})
	}
}

// sorted returns a sorted copy.
func sorted(in []string) []string { return slices.Sorted(slices.Values(in)) }

// names returns the names of operations by number.
func names(h *History, ops []int) []string {
	var out []string
	add := func(op int, name string) {
		if slices.Contains(ops, op) {
			out = append(out, name)
		}
	}
	for _, v := range h.Requests {
		add(v.Op, v.String())
	}
	for _, v := range h.Runs {
		add(v.Op, v.String())
	}
	for _, v := range h.Attempts {
		add(v.Op, v.String())
	}
	for _, v := range h.Jobs {
		add(v.Op, v.String())
	}
	for _, v := range h.Proposals {
		add(v.Op, v.String())
	}
	for _, v := range h.Readings {
		add(v.Op, v.String())
	}
	for _, v := range h.Opened {
		add(v.Op, v.String())
	}
	for _, v := range h.Incidents {
		add(v.Op, v.String())
	}
	return out
}

// TestWhatFaultsExcuse holds that the few things a fault excuses are not found.
func TestWhatFaultsExcuse(t *testing.T) {
	tests := map[string]func(*History){
		"request to an entry that died": func(h *History) {
			h.Requests[1].Outcome = Lost
			h.Incidents = append(h.Incidents, &Incident{Kind: ProcessKill, Subject: "entry-1", Start: at(100)})
		},
		"finish that died with its worker": func(h *History) {
			h.Attempts = append(h.Attempts, attempt(28, "job-a", 2, "worker-02", 900, 1300))
			h.Incidents = append(h.Incidents, &Incident{Kind: WorkerCrash, Subject: "worker-01", Start: at(500)})
		},
		"resume that died with its worker": func(h *History) {
			h.Attempts[2].State = StateCrashed
			a := attempt(27, "job-b", 3, "worker-01", 800, 1100)
			a.Resume, a.ResumedMS = 1, 200
			h.Attempts = append(h.Attempts, a)
		},
		"process that was paused": func(h *History) {
			h.Incidents = append(h.Incidents, &Incident{Kind: ProcessPause, Subject: "entry-2", Start: at(900), End: at(6000)})
			h.Readings = append(h.Readings, &Reading{Op: 56, Process: "entry-2#1", Ready: true, Start: at(6011), End: at(6020), Versions: map[string]int64{"service/s": 1}})
		},
		"readings at the same time": func(h *History) {
			h.Readings = append(h.Readings, &Reading{Process: "entry-1#1", Start: at(1505), End: at(1600), Versions: map[string]int64{"service/s": 1}})
		},
		"proposal without a verdict": func(h *History) {
			h.Proposals[1].Outcome, h.Proposals[1].Version = Unknown, 0
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			h := clean()
			change(h)
			if r := Check(h); len(r.Violations) > 0 {
				t.Errorf("violations: %+v", r.Violations)
			}
		})
	}
}
