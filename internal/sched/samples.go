package sched

import "time"

// Measure is a kind of duration that the scheduler measures.
type Measure string

// Measures of a scheduler.
const (
	// MeasureWait is from a job's acceptance until its first task got a run.
	MeasureWait Measure = "wait"
	// MeasureRun is from the placement of a run until its success.
	MeasureRun Measure = "run"
	// MeasureStop is from the placement of a run until it ended on a stop command.
	MeasureStop Measure = "stopped_run"
	// MeasureStandstill is for how long a job, or a task that lasts, had nothing running, if it stood still although there
	// was room.
	MeasureStandstill Measure = "standstill"
)

// Sample is one measured duration.
type Sample struct {
	Measure Measure
	Time    time.Duration
}

// sample records a measured duration.
func (c *Core) sample(m Measure, d time.Duration) { c.samples = append(c.samples, Sample{m, d}) }

// Samples returns the durations measured since the last call.
func (c *Core) Samples() []Sample {
	out := c.samples
	c.samples = nil
	return out
}
