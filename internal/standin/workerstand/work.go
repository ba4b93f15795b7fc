package workerstand

import (
	"time"

	"github.com/crocusspring/crocusspring/internal/resource"
	"github.com/crocusspring/crocusspring/internal/workerapi"
)

// attempt is one running or ended attempt.
type attempt struct {
	cmd       workerapi.Command
	state     workerapi.State
	reason    string
	totalWork time.Duration // actual work in total; 0 for no end
	done      time.Duration // work done
	demand    resource.Vector
	percent   int
	// savingUntil is when the checkpoint being written is complete; saved is the latest complete one.
	savingUntil    time.Time
	savingDoneMS   int64
	saved          *workerapi.Checkpoint
	samples        []sample
	reported       sample
	changedVersion int64
}

// start begins an attempt.
func (w *Worker) start(cs *cellState, key attemptKey, c workerapi.Command, now time.Time) {
	a := &attempt{cmd: c, state: workerapi.StateRunning, totalWork: w.taskModel.runTime(c), demand: w.taskModel.demand(c)}
	if c.Resume != nil {
		a.done = time.Duration(c.Resume.DoneMS) * time.Millisecond
	}
	cs.attempts[key] = a
	cs.touch(a)
	if w.observer != nil {
		w.observer.Started(w.announce.Name, c, now)
	}
	if w.faults.FailAll || w.taskModel.fails(c) {
		w.end(cs, a, workerapi.StateFailed, now, "task failed at its start")
	}
}

// advance adds the progress up to now and ends the attempts that are due, each at the time it was due.
func (w *Worker) advance(now time.Time) {
	if !now.After(w.advancedTo) {
		return
	}
	from := w.advancedTo
	w.advancedTo = now
	speeds := w.speeds()
	for _, cs := range w.cells {
		for _, a := range cs.attempts {
			if a.state == workerapi.StateRunning {
				w.progress(cs, a, from, now, speeds[a])
			}
		}
	}
}

// progress adds the progress of one running attempt between two times at a constant speed.
func (w *Worker) progress(cs *cellState, a *attempt, from, now time.Time, speed float64) {
	until := now
	if cs.leaseEnd.Before(now) {
		until = cs.leaseEnd
	}
	if w.paused == nil && speed > 0 {
		due := from.Add(time.Duration(float64(a.totalWork-a.done) / speed))
		if a.totalWork > 0 && !due.After(until) {
			a.done = a.totalWork
			w.end(cs, a, workerapi.StateFinished, due, "")
			return
		}
		if until.After(from) {
			a.done += time.Duration(float64(until.Sub(from)) * speed)
		}
		w.save(cs, a, until)
	}
	if !until.Equal(now) {
		w.end(cs, a, workerapi.StateExpired, until, "lease has lapsed")
	}
}

// save completes the checkpoint being written when it is due.
func (w *Worker) save(cs *cellState, a *attempt, now time.Time) {
	if a.savingUntil.IsZero() || now.Before(a.savingUntil) {
		return
	}
	a.saved = &workerapi.Checkpoint{Attempt: a.cmd.Attempt, DoneMS: a.savingDoneMS}
	a.savingUntil = time.Time{}
	cs.touchAndWake(a)
	if o, ok := w.observer.(CheckpointObserver); ok {
		o.Checkpointed(w.announce.Name, a.cmd.Task, *a.saved, now)
	}
}

// end moves a running attempt to an end state.
func (w *Worker) end(cs *cellState, a *attempt, s workerapi.State, at time.Time, reason string) {
	if a.state != workerapi.StateRunning {
		return
	}
	a.state, a.reason, a.savingUntil = s, reason, time.Time{}
	cs.touchAndWake(a)
	if w.observer != nil {
		w.observer.Ended(w.announce.Name, a.cmd.Task, a.cmd.Attempt, s, at)
	}
}
