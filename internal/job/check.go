package job

import (
	"fmt"

	"github.com/crocusspring/crocusspring/internal/finding"
)

// Limits of a job.
const (
	// MaxPayload is the maximum size of a payload, in bytes.
	MaxPayload = 4000
	// MaxSteps and MaxTasks bound the size of a job, so that it fits into one record of the store.
	MaxSteps = 64
	MaxTasks = 5000
)

// Check returns all problems of a job as a *finding.Error, or nil.
func (s *Spec) Check() error {
	var l finding.List
	if s.ID == "" {
		l.Add("/id", "", "must be given")
	}
	if len(s.Payload) > MaxPayload {
		l.Add("/payload", "", "has %d bytes, at most %d are allowed", len(s.Payload), MaxPayload)
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		l.Add("/steps", "", "must have 1 to %d steps, has %d", MaxSteps, len(s.Steps))
	}
	tasks := 0
	for i := range s.Steps {
		s.Steps[i].check(&l, i)
		tasks += s.Steps[i].Count
	}
	if tasks > MaxTasks {
		l.Add("/steps", "", "have %d tasks, at most %d are allowed", tasks, MaxTasks)
	}
	if s.Schedule.Count < 0 || s.Schedule.IntervalMS < 0 {
		l.Add("/schedule", "", "count and interval must not be negative")
	}
	return l.Err()
}

// check adds a finding for each problem of the step with index i.
func (s *Step) check(l *finding.List, i int) {
	at := fmt.Sprintf("/steps/%d", i)
	if s.Count < 1 {
		l.Add(at+"/count", "", "must be at least 1, is %d", s.Count)
	}
	if s.Demand.Negative() || s.EstimateMS < 0 || s.AntiAffinity < 0 {
		l.Add(at, "", "amounts must not be negative")
	}
	for _, d := range s.DependsOn {
		if d < 0 || d >= i {
			l.Add(at+"/depends_on", "", "step %d is not an earlier step", d)
		}
	}
}
