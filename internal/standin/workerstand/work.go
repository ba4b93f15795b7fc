package workerstand

import (
	"time"

	"github.com/crocusspring/crocusspring/internal/resource"
	"github.com/crocusspring/crocusspring/internal/workerapi"
)

// attempt is one running or ended attempt.
type attempt struct {
	cmd     workerapi.Command
	state   workerapi.State
	reason  string
	run     time.Duration // work there is in truth; 0 for no end
	done    time.Duration // work done
	use     resource.Vector
	percent int
	// saving is when the checkpoint being written is whole; saved is the newest whole one.
	saving   time.Time
	savingMS int64
	saved    *workerapi.Checkpoint
	samples  []sample
	reported sample
	changed  int64
}

// start begins an attempt.
func (w *Worker) start(tn *tenant, key attemptKey, c workerapi.Command, now time.Time) {
	a := &attempt{cmd: c, state: workerapi.StateRunning, run: w.truth.run(c), use: w.truth.use(c)}
	if c.Resume != nil {
		a.done = time.Duration(c.Resume.DoneMS) * time.Millisecond
	}
	tn.attempts[key] = a
	tn.touch(a)
	if w.seen != nil {
		w.seen.Started(w.announce.Name, c, now)
	}
	if w.faults.FailAll || w.truth.fails(c) {
		w.end(tn, a, workerapi.StateFailed, now, "task failed at its start")
	}
}

// advance counts progress up to now and ends what is due, each at the time it was due.
func (w *Worker) advance(now time.Time) {
	if !now.After(w.last) {
		return
	}
	from := w.last
	w.last = now
	speeds := w.speeds()
	for _, tn := range w.cells {
		for _, a := range tn.attempts {
			if a.state == workerapi.StateRunning {
				w.progress(tn, a, from, now, speeds[a])
			}
		}
	}
}

// progress moves one running attempt from a time on at a constant speed.
func (w *Worker) progress(tn *tenant, a *attempt, from, now time.Time, speed float64) {
	until := now
	if tn.leaseEnd.Before(now) {
		until = tn.leaseEnd
	}
	if w.paused == nil && speed > 0 {
		due := from.Add(time.Duration(float64(a.run-a.done) / speed))
		if a.run > 0 && !due.After(until) {
			a.done = a.run
			w.end(tn, a, workerapi.StateFinished, due, "")
			return
		}
		if until.After(from) {
			a.done += time.Duration(float64(until.Sub(from)) * speed)
		}
		w.save(tn, a, until)
	}
	if !until.Equal(now) {
		w.end(tn, a, workerapi.StateLapsed, until, "lease has lapsed")
	}
}

// save makes a checkpoint whole when it is due.
func (w *Worker) save(tn *tenant, a *attempt, now time.Time) {
	if a.saving.IsZero() || now.Before(a.saving) {
		return
	}
	a.saved = &workerapi.Checkpoint{Attempt: a.cmd.Attempt, DoneMS: a.savingMS}
	a.saving = time.Time{}
	tn.move(a)
	if o, ok := w.seen.(CheckpointObserver); ok {
		o.Checkpointed(w.announce.Name, a.cmd.Task, *a.saved, now)
	}
}

// end moves a running attempt to an end state.
func (w *Worker) end(tn *tenant, a *attempt, s workerapi.State, at time.Time, reason string) {
	if a.state != workerapi.StateRunning {
		return
	}
	a.state, a.reason, a.saving = s, reason, time.Time{}
	tn.move(a)
	if w.seen != nil {
		w.seen.Ended(w.announce.Name, a.cmd.Task, a.cmd.Attempt, s, at)
	}
}
