package history

import (
	"fmt"
	"slices"
	"time"
)

const (
	// resumeSlack is what clocks and rounding may add to the progress of a checkpoint.
	resumeSlack = 50 * time.Millisecond
	// idleWithin is how long batch work may stand still while finite jobs are open.
	idleWithin = 10 * time.Second
	// runPatience is how many times its declared run time an attempt may run.
	runPatience = 3
)

// resumes finds checkpoints that were gone on from twice, or that hold work nobody did.
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

// resume judges one resume against the attempts that began before it.
func (c *checker) resume(a *Attempt, before []*Attempt) {
	var source *Attempt
	for _, b := range before {
		if b.Attempt == a.Resume {
			source = b
		}
		// A resume that its worker lost leaves the checkpoint as the newest whole one.
		lost := b.State == StateCrashed || b.State == StateLapsed
		if b.Resume == a.Resume && !lost {
			c.r.DoubleResumes++
			c.broken(ResumeOnce, []fmt.Stringer{b, a}, "the checkpoint of attempt %d was gone on from twice", a.Resume)
		}
	}
	if source == nil {
		c.broken(ResumeOnce, []fmt.Stringer{a}, "attempt %d never ran, yet its checkpoint was gone on from", a.Resume)
		return
	}
	done := time.Duration(source.ResumedMS)*time.Millisecond + c.end(source.End).Sub(source.Start)
	if time.Duration(a.ResumedMS)*time.Millisecond > done+resumeSlack {
		c.broken(ResumeOnce, []fmt.Stringer{source, a}, "resumed with %d ms done, but only %v were", a.ResumedMS, done.Round(time.Millisecond))
	}
}

// jobs counts the ends of jobs and finds those that were lost, doubled or falsely ended.
func (c *checker) jobs() {
	seen := map[string]bool{}
	openFinite := []*Job{}
	for _, j := range c.h.Jobs {
		told := j.Outcome == Accepted
		known := j.Final != JobMissing && j.Final != ""
		if seen[j.ID] || !told && !known {
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
	c.doubled()
	c.evictions()
}

// jobEnd counts and judges the end of one accepted job.
func (c *checker) jobEnd(j *Job) {
	as := c.byTask[j.ID]
	switch j.Final {
	case JobFinished:
		c.r.JobsFinished++
		if !slices.ContainsFunc(as, func(a *Attempt) bool { return a.State == StateFinished }) {
			c.broken(NoJobLost, append([]fmt.Stringer{j}, stringers(as)...), "told as finished, but no worker finished it")
		}
	case JobFailed:
		c.r.JobsFailed++
		if !j.Impossible {
			c.broken(NoJobLost, append([]fmt.Stringer{j}, stringers(as)...), "failed for good, though nothing is wrong with the job")
		}
	case JobCancelled:
		c.r.JobsCancelled++
		if j.Cancelled.IsZero() {
			c.broken(NoJobLost, []fmt.Stringer{j}, "cancelled, though nobody asked for it")
		}
	case JobOpen:
		c.r.JobsOpen++
		if !j.CancelTaken.IsZero() {
			c.broken(NoJobLost, append([]fmt.Stringer{j}, stringers(as)...), "its cancellation was taken, yet it is open at the end")
		}
	default:
		c.r.JobsLost++
		c.broken(NoJobLost, append([]fmt.Stringer{j}, stringers(as)...), "accepted, but the system does not know it at the end")
	}
}

// progress finds batch work that stands still while finite jobs are open. An attempt that has not
// ended counts as work for a few times its declared run time.
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
			last = latest(last, a.Start.Add(runPatience*runs[a.Task]))
		}
	}
	if idle := c.h.End.Sub(last); idle > idleWithin {
		c.broken(Progress, stringers(open), "%d jobs are open and nothing was done for %v", len(open), idle.Round(time.Second))
	}
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// doubled finds tasks that were begun again after a worker had finished them. A worker that crashed
// after the finish may have told nobody, so the task may be done again then.
func (c *checker) doubled() {
	for _, task := range sortedKeys(c.byTask) {
		as := c.byTask[task]
		for i, a := range as {
			if a.State != StateFinished || c.crashedAfter(a) {
				continue
			}
			for _, b := range as[i+1:] {
				if !b.Start.Before(a.End) {
					c.broken(NoJobLost, []fmt.Stringer{a, b}, "begun again after it had finished")
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

// evictions counts attempts that were stopped although nobody had cancelled their job.
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
