// Package probation tells bad workers from bad jobs.
//
// A failed attempt is blamed on its worker at first. Once a task has failed on enough different
// workers it is the task that is bad: its failures are taken back from all of them. A worker whose
// blamed failures stand out against its peers goes on probation, and comes back by trial: one task at
// a time, and after a failed trial the next probation is twice as long.
package probation

import (
	"time"
)

// Limits are the fixed parameters of a tracker.
type Limits struct {
	// Failures is how many different tasks must have failed on a worker before it is judged.
	Failures int
	// Ratio is how many times its peers' failure ratio a worker's must be.
	Ratio float64
	// Workers is on how many different workers a task must fail to be bad itself.
	Workers int
	// First is the length of the first probation; it doubles up to Max.
	First time.Duration
	Max   time.Duration
	// Trials is how many trials in a row must succeed.
	Trials int
	// Window is how long an outcome counts.
	Window time.Duration
}

// DefaultLimits returns the limits of the product.
func DefaultLimits() Limits {
	return Limits{
		Failures: 3, Ratio: 3, Workers: 2, First: 15 * time.Second, Max: 10 * time.Minute, Trials: 2,
		Window: 10 * time.Minute,
	}
}

// State is where a worker stands.
type State string

// States of a worker.
const (
	Good      State = "good"
	Probation State = "probation"
	Trial     State = "trial"
)

// outcome is one ended attempt.
type outcome struct {
	task   string
	failed bool
	at     time.Time
}

// worker is the record of one worker.
type worker struct {
	state    State
	outcomes []outcome
	until    time.Time
	length   time.Duration
	passed   int
	// trying is the task on trial; empty when none.
	trying string
}

// Tracker judges the workers of a cell. Use New to make one.
type Tracker struct {
	limits  Limits
	workers map[string]*worker
	// failedOn lists the workers each task has failed on.
	failedOn map[string]map[string]bool
}

// New returns a tracker to which every worker is good.
func New(l Limits) *Tracker {
	return &Tracker{limits: l, workers: map[string]*worker{}, failedOn: map[string]map[string]bool{}}
}

// worker returns the record of a worker and opens it when it is new.
func (t *Tracker) worker(name string) *worker {
	w := t.workers[name]
	if w == nil {
		w = &worker{state: Good, length: t.limits.First}
		t.workers[name] = w
	}
	return w
}

// Ended folds the end of an attempt and reports whether the worker's state changed.
func (t *Tracker) Ended(now time.Time, name, task string, failed bool) bool {
	w := t.worker(name)
	before := w.state
	if failed {
		t.noteFailure(name, task)
	}
	w.outcomes = append(w.prune(now.Add(-t.limits.Window)), outcome{task, failed, now})
	if before == Trial {
		t.judgeTrial(now, w, task, failed)
	} else if before == Good && t.standsOut(name) {
		w.suspend(now)
	}
	return w.state != before
}

// Done forgets a task that will not run again.
func (t *Tracker) Done(task string) { delete(t.failedOn, task) }

// noteFailure remembers where a task failed.
func (t *Tracker) noteFailure(name, task string) {
	if t.failedOn[task] == nil {
		t.failedOn[task] = map[string]bool{}
	}
	t.failedOn[task][name] = true
}

// BadTask reports whether a task has failed on enough different workers to be bad itself.
func (t *Tracker) BadTask(task string) bool { return len(t.failedOn[task]) >= t.limits.Workers }

// FailedOn reports whether a task has failed on a worker.
func (t *Tracker) FailedOn(task, name string) bool { return t.failedOn[task][name] }

// prune returns the outcomes since a time.
func (w *worker) prune(since time.Time) []outcome {
	keep := w.outcomes[:0]
	for _, o := range w.outcomes {
		if o.at.After(since) {
			keep = append(keep, o)
		}
	}
	return keep
}

// blamed counts a worker's outcomes and the different tasks whose failures are blamed on it.
func (t *Tracker) blamed(w *worker) (failed, all int) {
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

// standsOut reports whether a worker fails much more than its peers.
func (t *Tracker) standsOut(name string) bool {
	failed, all := t.blamed(t.workers[name])
	if failed < t.limits.Failures {
		return false
	}
	peerFailed, peerAll := 0, 0
	for n, w := range t.workers {
		if n != name {
			f, a := t.blamed(w)
			peerFailed += f
			peerAll += a
		}
	}
	// One failure in one attempt is added to the peers, so that few attempts prove little.
	peers := float64(peerFailed+1) / float64(peerAll+t.limits.Failures)
	return float64(failed)/float64(all) > min(0.5, t.limits.Ratio*peers)
}

// suspend puts a worker on probation.
func (w *worker) suspend(now time.Time) {
	w.state, w.until = Probation, now.Add(w.length)
	w.passed, w.trying = 0, ""
}

// judgeTrial folds the end of an attempt on a worker on trial.
func (t *Tracker) judgeTrial(now time.Time, w *worker, task string, failed bool) {
	if task == w.trying {
		w.trying = ""
	}
	if failed && t.BadTask(task) {
		return
	}
	if failed {
		w.length = min(2*w.length, t.limits.Max)
		w.suspend(now)
		return
	}
	w.passed++
	if w.passed >= t.limits.Trials {
		*w = worker{state: Good, length: w.length}
	}
}

// State returns where a worker stands now.
func (t *Tracker) State(now time.Time, name string) State {
	w := t.workers[name]
	if w == nil {
		return Good
	}
	if w.state == Probation && !now.Before(w.until) {
		w.state = Trial
	}
	return w.state
}

// Refuse returns why a task must not start on a worker now, or an empty string.
func (t *Tracker) Refuse(now time.Time, name string) string {
	switch t.State(now, name) {
	case Probation:
		return "worker is on probation"
	case Trial:
		if t.workers[name].trying != "" {
			return "worker is on trial with another task"
		}
	}
	return ""
}

// Started notes that a task was placed on a worker; on trial it takes up the only place.
func (t *Tracker) Started(now time.Time, name, task string) {
	if t.State(now, name) == Trial {
		t.workers[name].trying = task
	}
}

// Gone forgets a task that left a worker without an outcome, as after an eviction.
func (t *Tracker) Gone(name, task string) {
	if w := t.workers[name]; w != nil && w.trying == task {
		w.trying = ""
	}
}
