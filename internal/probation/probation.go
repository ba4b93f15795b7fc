// Package probation distinguishes faulty workers from faulty tasks.
//
// A failed attempt is attributed to its worker at first. Once a task has failed on enough different
// workers, the task counts as faulty and its failures no longer count against any of them. A worker whose
// failure ratio is an outlier among its peers is put on probation. It returns by trial, one task at a
// time; after a failed trial the next probation is twice as long. A trial passes when its task succeeds or has run for
// long enough: a task that lasts has no end to wait for. A task that is started on probation all the same ends it in the same way.
package probation

import (
	"time"
)

// Limits are the parameters of a tracker.
type Limits struct {
	// Failures is the least number of different tasks that must have failed on a worker before it can be
	// put on probation.
	Failures int
	// Ratio is how many times its peers' failure ratio a worker's must exceed. The required ratio is
	// never more than one half.
	Ratio float64
	// Workers is the number of different workers on which a task must fail to count as faulty itself.
	Workers int
	// First is the length of the first probation; it doubles with each failed trial up to Max.
	First time.Duration
	Max   time.Duration
	// Trials is the number of trials in a row that must succeed to end a trial period.
	Trials int
	// Proof is how long a worker must list the run of a task on trial for the trial to pass without an end.
	Proof time.Duration
	// Window is how long an outcome counts.
	Window time.Duration
}

// DefaultLimits returns the limits used in production.
func DefaultLimits() Limits {
	return Limits{
		Failures: 3, Ratio: 3, Workers: 2, First: 15 * time.Second, Max: 10 * time.Minute, Trials: 2,
		Proof: 15 * time.Second, Window: 10 * time.Minute,
	}
}

// State is the probation state of a worker.
type State string

// States of a worker.
const (
	Good      State = "good"
	Probation State = "probation"
	Trial     State = "trial"
)

// outcome is the outcome of one ended attempt.
type outcome struct {
	task   string
	failed bool
	at     time.Time
}

// worker is the record of one worker.
type worker struct {
	state           State
	outcomes        []outcome
	probationUntil  time.Time
	probationLength time.Duration
	trialsPassed    int
	// trialTask is the task that runs on trial, or that was started first on probation, listed since listedSince; empty if none.
	trialTask   string
	listedSince time.Time
	// proven are the tasks whose trial has passed while they run on; their end is no trial any more.
	proven map[string]bool
}

// Tracker tracks the failures of the workers of a cell. Use New to create one.
type Tracker struct {
	limits  Limits
	workers map[string]*worker
	// failedOn holds the workers on which each task has failed.
	failedOn map[string]map[string]bool
}

// New returns a tracker without outcomes, for which every worker is Good.
func New(l Limits) *Tracker {
	return &Tracker{limits: l, workers: map[string]*worker{}, failedOn: map[string]map[string]bool{}}
}

// worker returns the record of a worker, creating it if needed.
func (t *Tracker) worker(name string) *worker {
	w := t.workers[name]
	if w == nil {
		w = &worker{state: Good, probationLength: t.limits.First}
		t.workers[name] = w
	}
	return w
}

// Ended records the outcome of an attempt and reports whether the worker's state changed.
func (t *Tracker) Ended(now time.Time, name, task string, failed bool) bool {
	w := t.worker(name)
	before := w.state
	if failed {
		t.recordFailure(name, task)
	}
	w.outcomes = append(w.prune(now.Add(-t.limits.Window)), outcome{task, failed, now})
	switch {
	case before == Trial:
		t.recordTrial(now, w, task, failed)
	case before == Probation:
		t.recordEarly(w, task, failed)
	case t.isOutlier(name):
		w.suspend(now)
	}
	return w.state != before
}

// Done drops the record of a task that will not run again.
func (t *Tracker) Done(task string) { delete(t.failedOn, task) }

// recordFailure records on which worker a task failed.
func (t *Tracker) recordFailure(name, task string) {
	if t.failedOn[task] == nil {
		t.failedOn[task] = map[string]bool{}
	}
	t.failedOn[task][name] = true
}

// BadTask reports whether a task has failed on enough different workers to count as faulty itself.
func (t *Tracker) BadTask(task string) bool { return len(t.failedOn[task]) >= t.limits.Workers }

// FailedOn reports whether a task has failed on a worker.
func (t *Tracker) FailedOn(task, name string) bool { return t.failedOn[task][name] }

// prune returns the outcomes after a time, reusing the memory of the slice.
func (w *worker) prune(since time.Time) []outcome {
	kept := w.outcomes[:0]
	for _, o := range w.outcomes {
		if o.at.After(since) {
			kept = append(kept, o)
		}
	}
	return kept
}

// countFailures returns the number of different tasks whose failures are attributed to a worker, and the
// number of its outcomes.
func (t *Tracker) countFailures(w *worker) (failed, all int) {
	seen := map[string]bool{}
	for _, o := range w.outcomes {
		all++
		if o.failed && !seen[o.task] && !t.BadTask(o.task) {
			seen[o.task] = true
			failed++
		}
	}
	return failed, all
}

// isOutlier reports whether a worker has enough failures and a much higher failure ratio than its peers.
func (t *Tracker) isOutlier(name string) bool {
	failed, all := t.countFailures(t.workers[name])
	if failed < t.limits.Failures {
		return false
	}
	peerFailed, peerAll := 0, 0
	for n, w := range t.workers {
		if n != name {
			f, a := t.countFailures(w)
			peerFailed += f
			peerAll += a
		}
	}
	// One failure in limits.Failures attempts is added to those of the peers, so that a few attempts of
	// theirs are not conclusive.
	peers := float64(peerFailed+1) / float64(peerAll+t.limits.Failures)
	return float64(failed)/float64(all) > min(0.5, t.limits.Ratio*peers)
}

// suspend puts a worker on probation.
func (w *worker) suspend(now time.Time) {
	w.state, w.probationUntil = Probation, now.Add(w.probationLength)
	w.trialsPassed, w.trialTask, w.proven = 0, "", nil
}

// recordTrial records the outcome of an attempt on a worker on trial. A failure of a faulty task counts
// neither as a failed nor as a passed trial.
func (t *Tracker) recordTrial(now time.Time, w *worker, task string, failed bool) {
	if task == w.trialTask {
		w.trialTask = ""
	}
	if failed && t.BadTask(task) {
		return
	}
	if failed {
		w.probationLength = min(2*w.probationLength, t.limits.Max)
		w.suspend(now)
		return
	}
	if !w.proven[task] {
		t.passTrial(w)
	}
}

// recordEarly records the outcome of an attempt on a worker on probation. Success of one that was started there since ends the
// probation and counts as a trial; a failure tells nothing new.
func (t *Tracker) recordEarly(w *worker, task string, failed bool) {
	if task != w.trialTask {
		return
	}
	w.trialTask = ""
	if !failed {
		w.state = Trial
		t.passTrial(w)
	}
}

// passTrial records a trial that has passed.
func (t *Tracker) passTrial(w *worker) {
	w.trialsPassed++
	if w.trialsPassed >= t.limits.Trials {
		*w = worker{state: Good, probationLength: w.probationLength}
	}
}

// Listed records that a worker lists the run of a task, and reports whether the worker's state changed. A task on trial that
// has been listed for Limits.Proof passes its trial; one that was started on probation ends it, too.
func (t *Tracker) Listed(now time.Time, name, task string) bool {
	w := t.workers[name]
	if w == nil || w.trialTask != task || t.State(now, name) == Good {
		return false
	}
	before := w.state
	if w.listedSince.IsZero() {
		w.listedSince = now
	}
	if now.Sub(w.listedSince) < t.limits.Proof {
		return false
	}
	w.trialTask = ""
	if w.proven == nil {
		w.proven = map[string]bool{}
	}
	w.proven[task] = true
	w.state = Trial
	t.passTrial(w)
	return w.state != before
}

// State returns the state of a worker now. A worker whose probation is over goes on trial.
func (t *Tracker) State(now time.Time, name string) State {
	w := t.workers[name]
	if w == nil {
		return Good
	}
	if w.state == Probation && !now.Before(w.probationUntil) {
		w.state = Trial
	}
	return w.state
}

// Refuse returns why no task may start on a worker now, or an empty string if one may.
func (t *Tracker) Refuse(now time.Time, name string) string {
	switch t.State(now, name) {
	case Probation:
		return "worker is on probation"
	case Trial:
		if t.workers[name].trialTask != "" {
			return "worker is on trial with another task"
		}
	}
	return ""
}

// Outlook returns what ends the refusals of a worker: the end of its probation, zero if it isn't on probation, and the task whose run
// is its trial, empty if there is none.
func (t *Tracker) Outlook(now time.Time, name string) (until time.Time, trial string) {
	switch w := t.workers[name]; t.State(now, name) {
	case Probation:
		return w.probationUntil, w.trialTask
	case Trial:
		return time.Time{}, w.trialTask
	}
	return time.Time{}, ""
}

// Proving reports whether a worker on trial has passed one since its last failure.
func (t *Tracker) Proving(now time.Time, name string) bool {
	return t.State(now, name) == Trial && t.workers[name].trialsPassed > 0
}

// Started records that a task was placed on a worker. Of several on one that is on trial or on probation the first is watched.
func (t *Tracker) Started(now time.Time, name, task string) {
	state := t.State(now, name)
	if w := t.workers[name]; state != Good && w.trialTask == "" {
		w.trialTask, w.listedSince = task, time.Time{}
	}
}

// Removed records that a task left a worker without an outcome, for example by eviction.
func (t *Tracker) Removed(name, task string) {
	if w := t.workers[name]; w != nil && w.trialTask == task {
		w.trialTask = ""
	}
}
