package history

import (
	"fmt"
	"slices"
	"time"
)

const (
	// resumeTolerance is the error that clocks and rounding may add to the progress of a checkpoint.
	resumeTolerance = 50 * time.Millisecond
	// maxIdle is the longest time without batch work that is allowed while finite jobs are open.
	maxIdle = 10 * time.Second
	// maxRunFactor is how many times its declared run time an attempt without an end counts as work.
	maxRunFactor = 3
)

// resumes finds checkpoints that were resumed twice, that no attempt made, or that hold more progress than
// was made.
func (c *checker) resumes() {
	for _, task := range sortedKeys(c.byTask) {
		as := c.byTask[task]
		for i, a := range as {
			if a.Resume != 0 {
				c.resume(a, as[:i])
			}
		}
	}
}

// resume checks one resume against the attempts of the task that started before it.
func (c *checker) resume(a *Attempt, before []*Attempt) {
	var source *Attempt
	for _, b := range before {
		if b.Attempt == a.Resume {
			source = b
		}
		// After an attempt that resumed it has crashed or expired, the checkpoint may be resumed again: it is
		// still the newest complete one.
		lost := b.State == StateCrashed || b.State == StateExpired
		if b.Resume == a.Resume && !lost {
			c.r.DoubleResumes++
			c.addViolation(ResumeOnce, []fmt.Stringer{b, a}, "the checkpoint of attempt %d was resumed twice", a.Resume)
		}
	}
	if source == nil {
		c.addViolation(ResumeOnce, []fmt.Stringer{a}, "attempt %d never ran, yet its checkpoint was resumed", a.Resume)
		return
	}
	done := time.Duration(source.ResumedMS)*time.Millisecond + c.end(source.End).Sub(source.Start)
	if time.Duration(a.ResumedMS)*time.Millisecond > done+resumeTolerance {
		c.addViolation(ResumeOnce, []fmt.Stringer{source, a}, "resumed with %d ms of progress, but only %v were done", a.ResumedMS, done.Round(time.Millisecond))
	}
}

// jobs counts accepted jobs by their final state and finds those that were lost, run again after their end
// or ended without a cause.
func (c *checker) jobs() {
	seen := map[string]bool{}
	openFinite := []*Job{}
	for _, j := range c.h.Jobs {
		acknowledged := j.Outcome == Accepted
		found := j.Final != JobMissing && j.Final != ""
		if seen[j.ID] || !acknowledged && !found {
			continue
		}
		seen[j.ID] = true
		c.r.JobsAccepted++
		c.jobEnd(j)
		if j.Final == JobOpen && j.RunMS > 0 && !j.Impossible {
			openFinite = append(openFinite, j)
		}
	}
	c.progress(openFinite)
	c.repeatedTasks()
	c.evictions()
}

// jobEnd counts and checks the final state of one accepted job.
func (c *checker) jobEnd(j *Job) {
	as := c.byTask[j.ID]
	switch j.Final {
	case JobFinished:
		c.r.JobsFinished++
		if !slices.ContainsFunc(as, func(a *Attempt) bool { return a.State == StateFinished }) {
			c.addViolation(NoJobLost, append([]fmt.Stringer{j}, stringers(as)...), "reported as finished, but no worker finished it")
		}
	case JobFailed:
		c.r.JobsFailed++
		if !j.Impossible {
			c.addViolation(NoJobLost, append([]fmt.Stringer{j}, stringers(as)...), "failed permanently, although the job could have finished")
		}
	case JobCancelled:
		c.r.JobsCancelled++
		if j.Cancelled.IsZero() {
			c.addViolation(NoJobLost, []fmt.Stringer{j}, "cancelled without a cancellation request")
		}
	case JobOpen:
		c.r.JobsOpen++
		if !j.CancelAccepted.IsZero() {
			c.addViolation(NoJobLost, append([]fmt.Stringer{j}, stringers(as)...), "its cancellation was accepted, yet it is open at the end")
		}
	default:
		c.r.JobsLost++
		c.addViolation(NoJobLost, append([]fmt.Stringer{j}, stringers(as)...), "accepted, but unknown to the system at the end")
	}
}

// progress checks that, while finite jobs are open, batch work didn't stop more than maxIdle before the end
// of the run. An attempt without an end counts as work for maxRunFactor times its declared run time.
func (c *checker) progress(open []*Job) {
	if len(open) == 0 {
		return
	}
	last := time.Time{}
	runs := map[string]time.Duration{}
	for _, j := range open {
		last = latest(last, j.End)
		runs[j.ID] = time.Duration(j.RunMS) * time.Millisecond
	}
	for _, a := range c.h.Attempts {
		last = latest(last, latest(a.Start, a.End))
		if a.End.IsZero() {
			last = latest(last, a.Start.Add(maxRunFactor*runs[a.Task]))
		}
	}
	if idle := c.h.End.Sub(last); idle > maxIdle {
		c.addViolation(Progress, stringers(open), "%d jobs are open and no work was done for %v", len(open), idle.Round(time.Second))
	}
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// repeatedTasks finds tasks that were started again after a worker had finished them. A worker that crashed
// after the finish may not have reported it, so such a task may run again.
func (c *checker) repeatedTasks() {
	for _, task := range sortedKeys(c.byTask) {
		as := c.byTask[task]
		for i, a := range as {
			if a.State != StateFinished || c.crashedAfter(a) {
				continue
			}
			for _, b := range as[i+1:] {
				if !b.Start.Before(a.End) {
					c.addViolation(NoJobLost, []fmt.Stringer{a, b}, "started again after it had finished")
				}
			}
		}
	}
}

// crashedAfter reports whether the worker of a finished attempt crashed later.
func (c *checker) crashedAfter(a *Attempt) bool {
	return slices.ContainsFunc(c.h.Incidents, func(i *Incident) bool {
		return i.Kind == WorkerCrash && i.Subject == a.Worker && !i.Start.Before(a.End)
	})
}

// evictions counts attempts that were stopped without an earlier request to cancel their job.
func (c *checker) evictions() {
	cancelled := map[string]time.Time{}
	for _, j := range c.h.Jobs {
		cancelled[j.ID] = j.Cancelled
	}
	for _, a := range c.h.Attempts {
		at := cancelled[a.Task]
		if a.State == StateStopped && (at.IsZero() || at.After(a.End)) {
			c.r.Evictions++
		}
	}
}
