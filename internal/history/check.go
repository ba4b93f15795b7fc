package history

import (
	"fmt"
	"slices"
	"time"
)

// Invariant names a guarantee of the system to its users.
type Invariant string

// Invariants that Check verifies.
const (
	Capacity        Invariant = "capacity"
	SingleExecution Invariant = "one place at a time"
	ResumeOnce      Invariant = "resume exactly once"
	AnswerIntegrity Invariant = "whole own answer"
	TrueNotRun      Invariant = "true not-run"
	AtMostOnce      Invariant = "at most once"
	LeavingTarget   Invariant = "leaving target"
	GracefulStop    Invariant = "graceful stop"
	Slots           Invariant = "slots of a target"
	NoRevert        Invariant = "configuration never reverts"
	InEffect        Invariant = "configuration in force in time"
	OneVerdict      Invariant = "one verdict on each record"
	NoJobLost       Invariant = "no accepted job lost"
	EveryOutcome    Invariant = "every request has an outcome"
	Progress        Invariant = "batch work makes progress"
)

// Time limits of the invariants.
const (
	// LeaveLimit is how long a leaving target may still receive new work.
	LeaveLimit = 2 * time.Second
	// PropagationLimit is how long an accepted record may take to be in effect in every process.
	PropagationLimit = 5 * time.Second
)

// Violation is one violated invariant with the operations that show it.
type Violation struct {
	Invariant  Invariant `json:"promise"`
	Detail     string    `json:"detail"`
	Operations []string  `json:"operations"`
}

// Report is the result of checking a history. All counts come from observations outside the system.
type Report struct {
	RequestsSent     int `json:"requests_sent"`
	RequestsAnswered int `json:"requests_answered"`
	RequestsNotRun   int `json:"requests_not_run"`
	RequestsUnknown  int `json:"requests_unknown"`
	RequestsLost     int `json:"requests_lost"`
	WrongAnswers     int `json:"wrong_answers"`
	DoubleRuns       int `json:"double_runs"`
	FalseNotRun      int `json:"false_not_run"`
	CutRequests      int `json:"cut_requests"`
	OverSlots        int `json:"over_slots"`
	LateToLeaving    int `json:"late_to_leaving"`

	JobsAccepted  int `json:"jobs_accepted"`
	JobsFinished  int `json:"jobs_finished"`
	JobsFailed    int `json:"jobs_failed"`
	JobsCancelled int `json:"jobs_cancelled"`
	JobsOpen      int `json:"jobs_open"`
	JobsLost      int `json:"jobs_lost"`
	DoubleResumes int `json:"double_resumes"`
	Evictions     int `json:"evictions"`
	OverCapacity  int `json:"over_capacity"`

	RecordsApplied  int         `json:"records_applied"`
	ConfigReverts   int         `json:"config_reverts"`
	ConfigSlowestMS int64       `json:"config_slowest_ms"`
	LogAppendsPeak  int         `json:"log_appends_peak_per_second"`
	LatencyMS       Tail        `json:"latency_ms"`
	JainIndex       float64     `json:"jain_index"`
	Violations      []Violation `json:"violations"`
}

// Tail is the tail latency of answered requests in milliseconds, measured from when each was due.
type Tail struct {
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
}

// Check verifies all invariants on a history.
func Check(h *History) Report {
	c := &checker{h: h, r: Report{Violations: []Violation{}}}
	c.index()
	c.requests()
	c.answers()
	c.notRun()
	c.concurrentRuns()
	c.repeatedRuns()
	c.slots()
	c.leaving()
	c.stops()
	c.capacity()
	c.ownership()
	c.resumes()
	c.jobs()
	c.reverts()
	c.inEffect()
	c.verdicts()
	c.measures()
	return c.r
}

// checker holds a history, its indexes and the report during a check.
type checker struct {
	h *History
	r Report
	// byRequest, byToken and byKey index the runs that started.
	byRequest map[string][]*Run
	byToken   map[string][]*Run
	byKey     map[string][]*Run
	byTask    map[string][]*Attempt
	// sends indexes the requests by key; it is filled at its first use.
	sends map[string][]*Request
}

// index groups runs and attempts for the checks and sorts the attempts of each task by their start.
func (c *checker) index() {
	c.byRequest, c.byToken, c.byKey = map[string][]*Run{}, map[string][]*Run{}, map[string][]*Run{}
	keys := map[string]string{}
	for _, q := range c.h.Requests {
		keys[q.Token] = q.Key
	}
	for _, r := range c.h.Runs {
		if r.Start.IsZero() {
			continue
		}
		if r.Key == "" {
			r.Key = keys[r.Token]
		}
		c.byRequest[r.RequestID] = append(c.byRequest[r.RequestID], r)
		if r.Token != "" {
			c.byToken[r.Token] = append(c.byToken[r.Token], r)
		}
		if r.Key != "" {
			c.byKey[r.Key] = append(c.byKey[r.Key], r)
		}
	}
	c.byTask = map[string][]*Attempt{}
	for _, a := range c.h.Attempts {
		c.byTask[a.Task] = append(c.byTask[a.Task], a)
	}
	for _, as := range c.byTask {
		slices.SortStableFunc(as, func(a, b *Attempt) int { return a.Start.Compare(b.Start) })
	}
}

// addViolation adds a violation with its operations.
func (c *checker) addViolation(p Invariant, ops []fmt.Stringer, format string, args ...any) {
	v := Violation{Invariant: p, Detail: fmt.Sprintf(format, args...), Operations: []string{}}
	for _, o := range ops {
		v.Operations = append(v.Operations, o.String())
	}
	c.r.Violations = append(c.r.Violations, v)
}

// end returns the end of an interval; the end of the observation if no end was observed.
func (c *checker) end(t time.Time) time.Time {
	if t.IsZero() {
		return c.h.End
	}
	return t
}

// overlapsIncident reports whether an incident of one of the kinds and of the subject overlaps an interval.
// An incident without an end lasts until the end of the observation.
func (c *checker) overlapsIncident(from, to time.Time, subject string, kinds ...IncidentKind) bool {
	return slices.ContainsFunc(c.h.Incidents, func(i *Incident) bool {
		return slices.Contains(kinds, i.Kind) && i.Subject == subject && !i.Start.After(to) && !c.end(i.End).Before(from)
	})
}

// sortedKeys returns the keys of a map in order, so that reports are deterministic.
func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
