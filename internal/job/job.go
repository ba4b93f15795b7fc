// Package job holds the model of a batch job: steps of tasks with dependencies, placement constraints
// and, for jobs by time, occurrences.
package job

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/crocusspring/crocusspring/internal/resource"
)

// Step is a set of like tasks.
type Step struct {
	// Count is the number of tasks.
	Count int `json:"count"`
	// Demand is what one task reserves of a worker.
	Demand resource.Vector `json:"demand"`
	// EstimateMS is the declared duration of a task in milliseconds; it can be far off.
	EstimateMS int64 `json:"estimate_ms,omitempty"`
	// DependsOn are the numbers of earlier steps, counted from 0, that must be complete first.
	DependsOn []int `json:"depends_on,omitempty"`
	// Gang tasks only make progress while all of them run, under one run number.
	Gang bool `json:"gang,omitempty"`
	// RackLocality tasks run slower when they are spread over racks.
	RackLocality bool `json:"rack_locality,omitempty"`
	// Requires is a label the worker must carry; empty for none.
	Requires string `json:"requires,omitempty"`
	// DataRack is the rack that holds the input; empty for none.
	DataRack string `json:"data_rack,omitempty"`
	// AntiAffinity is the most tasks of the step on one worker; 0 for no limit.
	AntiAffinity int `json:"anti_affinity,omitempty"`
	// Speculative tasks may run in several copies at once; the first to finish counts.
	Speculative bool `json:"speculative,omitempty"`
	// Checkpoints says that tasks save their progress and can resume.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `json:"long_running,omitempty"`
	// Image names what the tasks run; tasks of one image behave alike.
	Image string `json:"image,omitempty"`
	// TailTargetMS is the tail latency a serving task must stay below; 0 for a task that doesn't serve.
	TailTargetMS int64 `json:"tail_target_ms,omitempty"`
	// Filler tasks take the processor time that others leave; their processors are not reserved.
	Filler bool `json:"filler,omitempty"`
	// MayMiss is how many tasks may be unavailable at once by the system's own doing; -1 for no limit.
	MayMiss int `json:"may_miss"`
}

// Reserve returns what a task of the step takes of a worker's capacity.
func (s *Step) Reserve() resource.Vector {
	r := s.Demand
	if s.Filler {
		r.MilliCPU = 0
	}
	return r
}

// Policy is what the queue said about its jobs when the job was accepted.
type Policy struct {
	// Queue names the queue, Service the pool of workers that runs its tasks.
	Queue   string `json:"queue"`
	Service string `json:"service"`
	// Priority 0 goes first.
	Priority int `json:"priority"`
	// MaxAttempts is how often a task may end as failed.
	MaxAttempts int `json:"max_attempts"`
	// Stretch times the longest chain of work, plus LatencyTargetMS, is the job's objective.
	Stretch         float64 `json:"stretch"`
	LatencyTargetMS int64   `json:"latency_target_ms"`
	// Advice is set when a policy service must approve workers for each step.
	Advice *Advice `json:"advice,omitempty"`
}

// Advice describes the cost of asking the policy service, in milliseconds.
type Advice struct {
	DecideMS int64 `json:"decide_ms"`
	EachMS   int64 `json:"each_ms"`
	ValidMS  int64 `json:"valid_ms"`
}

// Schedule makes a job by time; the zero value means that the job runs once, at once.
type Schedule struct {
	// FirstMS is the due time of occurrence 0 in milliseconds since 1970, IntervalMS the time between two.
	FirstMS    int64 `json:"first_ms"`
	IntervalMS int64 `json:"interval_ms"`
	Count      int   `json:"count"`
}

// Spec is an accepted job.
type Spec struct {
	ID string `json:"id"`
	// Payload is handed to every task unread.
	Payload  string   `json:"payload"`
	Steps    []Step   `json:"steps"`
	Policy   Policy   `json:"policy"`
	Schedule Schedule `json:"schedule,omitzero"`
	// AcceptedMS is the time of day of acceptance, in milliseconds since 1970.
	AcceptedMS int64 `json:"accepted_ms"`
}

// Timed reports whether the job runs by time.
func (s *Spec) Timed() bool { return s.Schedule.Count > 0 }

// Occurrences returns how often the steps run.
func (s *Spec) Occurrences() int { return max(1, s.Schedule.Count) }

// Due returns when an occurrence is due, in milliseconds since 1970; 0 for a job that runs at once.
func (s *Spec) Due(k int) int64 {
	if !s.Timed() {
		return 0
	}
	return s.Schedule.FirstMS + int64(k)*s.Schedule.IntervalMS
}

// Lasts reports whether any step runs until the job is cancelled.
func (s *Spec) Lasts() bool {
	for i := range s.Steps {
		if s.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Chain returns the declared duration of the longest chain of steps.
func (s *Spec) Chain() time.Duration {
	ends := make([]int64, len(s.Steps))
	longest := int64(0)
	for i := range s.Steps {
		begin := int64(0)
		for _, d := range s.Steps[i].DependsOn {
			begin = max(begin, ends[d])
		}
		ends[i] = begin + s.Steps[i].EstimateMS
		longest = max(longest, ends[i])
	}
	return time.Duration(longest) * time.Millisecond
}

// Objective returns the time within which the job should complete.
func (s *Spec) Objective() time.Duration {
	target := time.Duration(s.Policy.LatencyTargetMS) * time.Millisecond
	return time.Duration(s.Policy.Stretch*float64(s.Chain())) + target
}

// TaskID names one task of a job.
type TaskID struct {
	Job                     string
	Occurrence, Step, Index int
}

// String formats the id as JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// ParseTaskID reads what String wrote.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskID{}, fmt.Errorf("task %q: want JOB.OCCURRENCE.STEP.INDEX", text)
	}
	t := TaskID{Job: parts[0]}
	for i, dst := range []*int{&t.Occurrence, &t.Step, &t.Index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskID{}, fmt.Errorf("task %q: %q is no number", text, parts[i+1])
		}
		*dst = n
	}
	return t, nil
}

// MarshalText implements encoding.TextMarshaler.
func (t TaskID) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (t *TaskID) UnmarshalText(text []byte) error {
	got, err := ParseTaskID(string(text))
	if err != nil {
		return err
	}
	*t = got
	return nil
}
