package cell

import (
	"slices"

	"github.com/crocusspring/crocusspring/internal/chart"
	"github.com/crocusspring/crocusspring/internal/workerapi"
)

// current returns the task whose current attempt a key names, when the worker may hold it.
func (o *owner) current(w *worker, key attemptKey) *Task {
	t := o.c.state.held[w.name][key.task]
	if t == nil || t.Attempt != key.attempt || t.Incarnation != w.incarnation {
		return nil
	}
	return t
}

// settle compares the fold with a worker's inventory and reports what the fold doesn't know.
func (o *owner) settle(w *worker) {
	if !w.fenced {
		return
	}
	w.unsettled, w.stray = false, false
	for _, t := range sorted(o.c.state.held[w.name]) {
		if a, ok := w.mirror[t.key()]; ok && t.Incarnation == w.incarnation {
			o.settleListed(w, t, a)
		} else {
			o.settleUnlisted(w, t)
		}
	}
	for key, a := range w.mirror {
		if o.current(w, key) == nil && a.State == workerapi.StateRunning {
			w.stray, w.urge = true, true
		}
	}
}

// settleListed reports what became of an attempt that the worker lists.
func (o *owner) settleListed(w *worker, t *Task, a workerapi.Attempt) {
	r := Report{Task: t.ID, Attempt: t.Attempt, Checkpoint: a.Checkpoint, Reason: a.Reason}
	if a.State == workerapi.StateRunning {
		if t.State == StateAssigned {
			o.out.add(Report{Task: t.ID, Attempt: t.Attempt, Event: string(EventRun)})
		}
		return
	}
	r.Event = string(o.endEvent(w, t, a.State))
	if r.Event != string(EventFinish) {
		o.out.add(r)
		return
	}
	r.Checkpoint = nil
	o.out.add(r)
}

// settleUnlisted reports an attempt that the worker doesn't list. A worker takes no sync that is older
// than one it has answered, so a start that was sent before and has not taken effect never will unless
// it is sent again; while a newer sync carries the start, nothing is known.
func (o *owner) settleUnlisted(w *worker, t *Task) {
	key := t.key()
	reason, refused := w.refused[key]
	last, sent := w.startSeq[key]
	if sent && last > w.answered && t.Incarnation == w.incarnation {
		return
	}
	same, own := t.Incarnation == w.incarnation, t.AssignEpoch == o.epoch
	r := Report{Task: t.ID, Attempt: t.Attempt}
	switch {
	case t.State == StateStopping && same:
		r.Event = string(EventStopped)
	case refused && same:
		r.Event, r.Reason = string(EventRefuse), reason
	case o.startable(w, t):
		w.urge = w.urge || !sent
		return
	case t.State == StateAssigned && (same || own && !sent):
		r.Event, r.Reason = string(EventRefuse), "worker never started it"
	default:
		r.Event, r.Reason = string(EventLose), "worker restarted and no longer holds it"
	}
	o.out.add(r)
}

// endEvent maps a worker's word for an end to the chart's.
func (o *owner) endEvent(w *worker, t *Task, s workerapi.State) chart.Event {
	switch s {
	case workerapi.StateFinished:
		return EventFinish
	case workerapi.StateFailed:
		if o.failsForGood(w, t) {
			return EventFailFinal
		}
		return EventFail
	case workerapi.StateStopped:
		if t.State == StateStopping {
			return EventStopped
		}
		return EventEvict
	}
	return EventLose
}

// failsForGood reports whether one more failure is the last: it has failed often enough, and on
// different workers where there are some, so that a bad worker alone can't fail it.
func (o *owner) failsForGood(w *worker, t *Task) bool {
	n := t.Failures + 1
	if n >= 2*o.c.maxFailures(t) {
		return true
	}
	places := len(t.FailedOn)
	if !slices.Contains(t.FailedOn, w.name) {
		places++
	}
	return n >= o.c.maxFailures(t) && places >= min(2, len(o.c.members))
}
