// Package job defines the model of a batch job: steps of tasks with dependencies, placement constraints
// and, for scheduled jobs, occurrences.
package job

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/crocusspring/crocusspring/internal/resource"
)

// Step is a set of identical tasks.
type Step struct {
	// Count is the number of tasks.
	Count int `json:"count"`
	// Demand is the amount of each resource that one task needs; see Reserve for what it reserves.
	Demand resource.Vector `json:"demand"`
	// EstimateMS is the declared duration of a task in milliseconds; it may be far from the actual one.
	EstimateMS int64 `json:"estimate_ms,omitempty"`
	// DependsOn are the indexes (from 0) of earlier steps that must be complete before this one starts.
	DependsOn []int `json:"depends_on,omitempty"`
	// Gang tasks make progress only while all of them run, with the same run number.
	Gang bool `json:"gang,omitempty"`
	// RackLocality tasks run slower when they are spread over racks.
	RackLocality bool `json:"rack_locality,omitempty"`
	// Requires is a label the worker must carry; empty for none.
	Requires string `json:"requires,omitempty"`
	// DataRack is the rack that holds the input; empty for none.
	DataRack string `json:"data_rack,omitempty"`
	// AntiAffinity is the maximum number of tasks of the step on one worker; 0 for no limit.
	AntiAffinity int `json:"anti_affinity,omitempty"`
	// Speculative tasks may run in several copies at the same time; the first to finish counts.
	Speculative bool `json:"speculative,omitempty"`
	// Checkpoints means that tasks save checkpoints and can resume from them.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `json:"long_running,omitempty"`
	// Image is the program that the tasks run; tasks of one image are expected to behave alike.
	Image string `json:"image,omitempty"`
	// TailTargetMS is the tail latency, in milliseconds, that a serving task must stay below; 0 for a task
	// that doesn't serve.
	TailTargetMS int64 `json:"tail_target_ms,omitempty"`
	// Filler tasks use the processor time that other tasks leave idle; no processors are reserved for them.
	Filler bool `json:"filler,omitempty"`
	// MayMiss is how many tasks the system itself may make unavailable at the same time, or NoMissLimit.
	MayMiss int `json:"may_miss"`
}

// NoMissLimit is the MayMiss of a step that sets no limit.
const NoMissLimit = -1

// Reserve returns the part of a worker's capacity that a task of the step reserves.
func (s *Step) Reserve() resource.Vector {
	r := s.Demand
	if s.Filler {
		r.MilliCPU = 0
	}
	return r
}

// Policy is the policy of the job's queue at the time when the job was accepted.
type Policy struct {
	// Queue is the name of the queue, Service the pool of workers that runs its tasks.
	Queue   string `json:"queue"`
	Service string `json:"service"`
	// Priority orders queues; 0 is served first.
	Priority int `json:"priority"`
	// MaxAttempts is how many times a task may end as failed.
	MaxAttempts int `json:"max_attempts"`
	// Stretch and LatencyTargetMS set the job's objective: Stretch times the critical path plus
	// LatencyTargetMS.
	Stretch         float64 `json:"stretch"`
	LatencyTargetMS int64   `json:"latency_target_ms"`
	// Advice is set when a policy service must approve workers for each step.
	Advice *Advice `json:"advice,omitempty"`
}

// Advice describes the policy service's approvals, in milliseconds: the cost of a decision, the additional
// cost of each worker in it, and how long an approval is valid.
type Advice struct {
	DecideMS int64 `json:"decide_ms"`
	EachMS   int64 `json:"each_ms"`
	ValidMS  int64 `json:"valid_ms"`
}

// Schedule sets the occurrences of a scheduled job; with the zero value the job runs once, immediately.
type Schedule struct {
	// FirstMS is the due time of occurrence 0 in Unix milliseconds, IntervalMS the time between two
	// occurrences and Count their number.
	FirstMS    int64 `json:"first_ms"`
	IntervalMS int64 `json:"interval_ms"`
	Count      int   `json:"count"`
}

// Spec is an accepted job.
type Spec struct {
	ID string `json:"id"`
	// Payload is opaque and passed to every task as is.
	Payload  string   `json:"payload"`
	Steps    []Step   `json:"steps"`
	Policy   Policy   `json:"policy"`
	Schedule Schedule `json:"schedule,omitzero"`
	// AcceptedMS is the wall-clock time of acceptance, in Unix milliseconds.
	AcceptedMS int64 `json:"accepted_ms"`
}

// Scheduled reports whether the job has a schedule.
func (s *Spec) Scheduled() bool { return s.Schedule.Count > 0 }

// Memory returns about how many bytes a job takes in memory, without structures for its tasks.
func (s *Spec) Memory() int64 {
	const specBytes, stepBytes, dependencyBytes = 1 << 10, 512, 8
	n := specBytes + len(s.ID) + len(s.Payload)
	for i := range s.Steps {
		step := &s.Steps[i]
		n += stepBytes + dependencyBytes*len(step.DependsOn) + len(step.Requires) + len(step.DataRack) + len(step.Image)
	}
	return int64(n)
}

// Tasks returns the number of tasks of one occurrence.
func (s *Spec) Tasks() int {
	n := 0
	for i := range s.Steps {
		n += s.Steps[i].Count
	}
	return n
}

// Occurrences returns how many times the steps run.
func (s *Spec) Occurrences() int { return max(1, s.Schedule.Count) }

// Due returns the due time of occurrence k in Unix milliseconds; 0 for a job without a schedule.
func (s *Spec) Due(k int) int64 {
	if !s.Scheduled() {
		return 0
	}
	return s.Schedule.FirstMS + int64(k)*s.Schedule.IntervalMS
}

// HasLongRunning reports whether any step runs until the job is cancelled.
func (s *Spec) HasLongRunning() bool {
	for i := range s.Steps {
		if s.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// CriticalPath returns the declared duration of the critical path: the longest chain of dependent steps.
func (s *Spec) CriticalPath() time.Duration {
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

// Objective returns the target for the time in which the job completes.
func (s *Spec) Objective() time.Duration {
	target := time.Duration(s.Policy.LatencyTargetMS) * time.Millisecond
	return time.Duration(s.Policy.Stretch*float64(s.CriticalPath())) + target
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

// ParseTaskID parses the format of String.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskID{}, fmt.Errorf("task %q: want JOB.OCCURRENCE.STEP.INDEX", text)
	}
	t := TaskID{Job: parts[0]}
	for i, dst := range []*int{&t.Occurrence, &t.Step, &t.Index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskID{}, fmt.Errorf("task %q: %q is not a number of 0 or more", text, parts[i+1])
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
