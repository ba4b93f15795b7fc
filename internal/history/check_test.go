package history

import (
	"math"
	"slices"
	"testing"
	"time"
)

// at returns the time ms milliseconds after the origin of the test histories.
func at(ms int) time.Time {
	return time.Unix(1_700_000_000, 0).Add(time.Duration(ms) * time.Millisecond)
}

// body returns the body of a request with a token.
func body(token string) string { return token + " filling " + token }

// request returns an answered idempotent request without a key.
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

// keyed returns an answered request with a key that is not idempotent.
func keyed(op int, token string, from, to int) *Request {
	q := request(op, token, from, to)
	q.Key, q.Idempotent = "key-"+token, false
	return q
}

// keyedRun returns the run of a request with a key.
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

// clean returns a history without violations that has operations of most kinds.
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

// TestCleanHistory checks that a clean history has no violation and has the expected counts.
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

// TestPlantedViolations checks that the checker finds and counts each planted violation and names exactly
// its operations.
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
				return v.Invariant == p.invariant && slices.Equal(sorted(v.Operations), sorted(names(h, p.ops)))
			}) {
				t.Errorf("want %q naming %v, got %+v", p.invariant, p.ops, r.Violations)
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
	for _, v := range h.ExcessConnections {
		add(v.Op, v.String())
	}
	for _, v := range h.Incidents {
		add(v.Op, v.String())
	}
	return out
}

// TestWhatFaultsExcuse checks that what a fault or a concurrent operation explains is no violation.
func TestWhatFaultsExcuse(t *testing.T) {
	tests := map[string]func(*History){
		"request to an entry that died": func(h *History) {
			h.Requests[1].Outcome = Lost
			h.Incidents = append(h.Incidents, &Incident{Kind: ProcessKill, Subject: "entry-1", Start: at(100)})
		},
		// Guards against resends that count as lost, although their entry had been stopped as planned and wasn't up yet.
		"resend refused by an entry that had been stopped": func(h *History) {
			h.Requests[3].Outcome, h.Requests[3].Answer, h.Requests[3].Unsent = Lost, "", true
			h.Incidents = append(h.Incidents, stopped(110, 205), &Incident{Op: 73, Kind: ProcessUp, Subject: "entry-1", Start: at(400), End: at(400)})
		},
		"resend refused by an entry that was stopping": func(h *History) {
			h.Requests[3].Outcome, h.Requests[3].Answer, h.Requests[3].Unsent = Lost, "", true
			h.Incidents = append(h.Incidents, stopped(220, 400))
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
