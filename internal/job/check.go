package job

import (
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/crocusspring/crocusspring/internal/finding"
)

// Limits of a job.
const (
	// MaxPayload is the maximum size of a payload, in bytes.
	MaxPayload = 4000
	// MaxID is the maximum size of an ID, in bytes.
	MaxID = 200
	// MaxSteps and MaxTasks bound the size of a job.
	MaxSteps = 64
	MaxTasks = 5000
	// MaxValues bounds the JSON values of a job's text: what MaxSteps steps need, with a dependency on each earlier one.
	MaxValues = MaxSteps * (MaxSteps + maxMembers)
	// MaxName bounds each name in a step that is submitted: a label, a rack, an image, in bytes.
	MaxName = 1000
	// maxMembers bounds the members of a step.
	maxMembers = 64
	// MaxOccurrences bounds how often a job runs, and MaxOpenTasks the tasks of all its occurrences together: all of
	// them may be due at once, and the owner holds each open task in memory.
	MaxOccurrences = 10_000
	MaxOpenTasks   = 100_000
	// MaxAmount bounds each amount of a resource, in its unit, and MaxEstimateMS a declared duration or interval (a year), so
	// that sums don't overflow.
	MaxAmount     = 1 << 40
	MaxEstimateMS = 365 * 24 * 3600 * 1000
)

// Check returns all problems of a job as a *finding.Error, or nil.
func (s *Spec) Check() error {
	var l finding.List
	checkID(&l, s.ID)
	if len(s.Payload) > MaxPayload {
		l.Add("/payload", "", "has %d bytes, at most %d are allowed", len(s.Payload), MaxPayload)
	}
	checkSteps(&l, len(s.Steps))
	tasks := 0
	for i := range s.Steps[:min(len(s.Steps), MaxSteps)] {
		s.Steps[i].check(&l, i)
		// A count out of range has a finding of its own; the sum must not overflow.
		tasks += min(max(0, s.Steps[i].Count), MaxTasks)
	}
	if tasks > MaxTasks {
		l.Add("/steps", "", "have %d tasks, at most %d are allowed", tasks, MaxTasks)
	}
	if s.Schedule.Count < 0 || s.Schedule.IntervalMS < 0 {
		l.Add("/schedule", "", "count and interval must not be negative")
	}
	if s.Schedule.IntervalMS > MaxEstimateMS {
		l.Add("/schedule/interval_ms", "", "must be at most %d, is %d", MaxEstimateMS, s.Schedule.IntervalMS)
	}
	if n := s.Schedule.Count; n > MaxOccurrences || n > 0 && n*tasks > MaxOpenTasks {
		l.Add("/schedule/count", "", "is %d: at most %d occurrences and %d tasks in all are allowed", n, MaxOccurrences, MaxOpenTasks)
	}
	return l.Err()
}

// CheckSteps returns why a job can't have n steps, or nil.
func CheckSteps(n int) error {
	var l finding.List
	checkSteps(&l, n)
	return l.Err()
}

// checkSteps adds a finding if a job can't have n steps.
func checkSteps(l *finding.List, n int) {
	if n == 0 || n > MaxSteps {
		l.Add("/steps", "", "must have 1 to %d steps, has %d", MaxSteps, n)
	}
}

// CheckNames returns why a job with such names isn't taken from a client, or nil. A job that is stored already may have
// longer ones.
func (s *Spec) CheckNames() error {
	var l finding.List
	for i := range s.Steps {
		step := &s.Steps[i]
		for _, name := range []struct{ field, value string }{
			{"requires", step.Requires}, {"data_rack", step.DataRack}, {"image", step.Image},
		} {
			if len(name.value) > MaxName {
				l.Add(fmt.Sprintf("/steps/%d/%s", i, name.field), "", "has %d bytes, at most %d are allowed", len(name.value), MaxName)
			}
		}
	}
	return l.Err()
}

// reservedIDs are keys of other records beside the progress of jobs.
var reservedIDs = []string{"learned", "owner"}

// checkID adds a finding for each problem of an ID, which is part of keys in the store.
func checkID(l *finding.List, id string) {
	switch {
	case id == "":
		l.Add("/id", "", "must be given")
	case len(id) > MaxID:
		l.Add("/id", "", "has %d bytes, at most %d are allowed", len(id), MaxID)
	case !utf8.ValidString(id) || strings.Contains(id, "/") || slices.Contains(reservedIDs, id):
		l.Add("/id", "", "must be UTF-8 without a slash, and none of %v", reservedIDs)
	}
}

// check adds a finding for each problem of the step with index i.
func (s *Step) check(l *finding.List, i int) {
	at := fmt.Sprintf("/steps/%d", i)
	if s.Count < 1 || s.Count > MaxTasks {
		l.Add(at+"/count", "", "must be 1 to %d, is %d", MaxTasks, s.Count)
	}
	if s.Demand.Negative() || s.EstimateMS < 0 || s.AntiAffinity < 0 {
		l.Add(at, "", "amounts must not be negative")
	}
	if d := s.Demand; max(d.MilliCPU, d.MemoryMB, d.Accelerators) > MaxAmount {
		l.Add(at+"/demand", "", "amounts must be at most %d", MaxAmount)
	}
	if s.EstimateMS > MaxEstimateMS {
		l.Add(at+"/estimate_ms", "", "must be at most %d, is %d", MaxEstimateMS, s.EstimateMS)
	}
	for _, d := range s.DependsOn {
		if d < 0 || d >= i {
			l.Add(at+"/depends_on", "", "step %d is not an earlier step", d)
		}
	}
}
