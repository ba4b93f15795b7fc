package history

// planted is one violated invariant in an otherwise clean history.
type planted struct {
	name      string
	invariant Invariant
	// ops are the numbers of the operations that the violation must name.
	ops   []int
	plant func(*History)
	count func(Report) int
}

// plantedRequests returns violations of the invariants on requests.
func plantedRequests() []planted {
	return []planted{
		{
			"lost without a cause", EveryOutcome,
			[]int{2},
			func(h *History) { h.Requests[1].Outcome = Lost },
			func(r Report) int { return r.RequestsLost },
		},
		{
			"answer ended early", AnswerIntegrity,
			[]int{1, 11},
			func(h *History) { h.Requests[0].Truncated = true },
			func(r Report) int { return r.WrongAnswers },
		},
		{
			"part of an answer", AnswerIntegrity,
			[]int{1, 11},
			func(h *History) { h.Requests[0].Answer = "target-01 seat-1 fill" },
			func(r Report) int { return r.WrongAnswers },
		},
		{
			"answer of another caller", AnswerIntegrity,
			[]int{1, 11},
			func(h *History) { h.Requests[0].Answer = h.Requests[1].Answer },
			func(r Report) int { return r.WrongAnswers },
		},
		{
			"answer without a run", AnswerIntegrity,
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
			"two places at once", SingleExecution,
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
				h.ExcessConnections = append(h.ExcessConnections, &ExcessConnection{Op: 18, Target: "target-01", Open: 65, At: at(70)})
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
			"connection refused by an entry that was never stopped", EveryOutcome,
			[]int{2},
			func(h *History) { h.Requests[1].Outcome, h.Requests[1].Unsent = Lost, true },
			func(r Report) int { return r.RequestsLost },
		},
		{
			"connection refused by an entry that had started again", EveryOutcome,
			[]int{2},
			func(h *History) {
				h.Requests[1].Outcome, h.Requests[1].Unsent = Lost, true
				h.Incidents = append(h.Incidents, stopped(10, 20), &Incident{Op: 73, Kind: ProcessUp, Subject: "entry-1", Start: at(40), End: at(40)})
			},
			func(r Report) int { return r.RequestsLost },
		},
		{
			"connection lost after a stop", EveryOutcome,
			[]int{2},
			func(h *History) {
				h.Requests[1].Outcome = Lost
				h.Incidents = append(h.Incidents, stopped(10, 20))
			},
			func(r Report) int { return r.RequestsLost },
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

// stopped returns a planned stop of the entry of the clean requests.
func stopped(start, end int) *Incident {
	return &Incident{Op: 72, Kind: ProcessStop, Subject: "entry-1", Start: at(start), End: at(end)}
}
