package cell

import (
	"slices"

	"github.com/crocusspring/crocusspring/internal/chart"
	"github.com/crocusspring/crocusspring/internal/workerapi"
)

// current returns the task whose current attempt has this key, when the worker may hold it.
func (o *owner) current(w *worker, key attemptKey) *Task {
	t := o.core.state.held[w.name][key.task]
	if t == nil || t.Attempt != key.attempt || t.Incarnation != w.incarnation {
		return nil
	}
	return t
}

// reconcile compares the fold with a worker's inventory and reports what the fold does not contain yet.
func (o *owner) reconcile(w *worker) {
	if !w.fenced {
		return
	}
	w.needsReconcile, w.stray = false, false
	for _, t := range sortedByID(o.core.state.held[w.name]) {
		if a, ok := w.inventory[t.key()]; ok && t.Incarnation == w.incarnation {
			o.reconcileListed(w, t, a)
		} else {
			o.reconcileUnlisted(w, t)
		}
	}
	for key, a := range w.inventory {
		if o.current(w, key) == nil && a.State == workerapi.StateRunning {
			w.stray, w.syncNow = true, true
		}
	}
}

// reconcileListed reports the start or the end of an attempt that the worker lists.
func (o *owner) reconcileListed(w *worker, t *Task, a workerapi.Attempt) {
	r := Report{Task: t.ID, Attempt: t.Attempt, Checkpoint: a.Checkpoint, Reason: a.Reason}
	if a.State == workerapi.StateRunning {
		if t.State == StateAssigned {
			o.outbox.add(Report{Task: t.ID, Attempt: t.Attempt, Event: string(EventRun)})
		}
		return
	}
	r.Event = string(o.endEvent(w, t, a.State))
	if r.Event != string(EventFinish) {
		o.outbox.add(r)
		return
	}
	r.Checkpoint = nil
	o.outbox.add(r)
}

// reconcileUnlisted reports an attempt that the worker doesn't list. A worker rejects a sync that is older
// than one it has answered, so a start that was sent before and has not taken effect never will unless it
// is sent again; while a newer sync carries the start, its outcome is unknown.
func (o *owner) reconcileUnlisted(w *worker, t *Task) {
	key := t.key()
	reason, refused := w.refused[key]
	last, sent := w.startSeq[key]
	if sent && last > w.lastAnswered && t.Incarnation == w.incarnation {
		return
	}
	sameIncarnation, ownAssign := t.Incarnation == w.incarnation, t.AssignEpoch == o.epoch
	r := Report{Task: t.ID, Attempt: t.Attempt}
	switch {
	case t.State == StateStopping && sameIncarnation:
		r.Event = string(EventStopped)
	case refused && sameIncarnation:
		r.Event, r.Reason = string(EventRefuse), reason
	case o.mayStart(w, t):
		w.syncNow = w.syncNow || !sent
		return
	case t.State == StateAssigned && (sameIncarnation || ownAssign && !sent):
		r.Event, r.Reason = string(EventRefuse), "worker never started it"
	default:
		r.Event, r.Reason = string(EventLose), "worker restarted and no longer holds it"
	}
	o.outbox.add(r)
}

// endEvent maps the state of an ended attempt, as its worker reports it, to an event of the chart.
func (o *owner) endEvent(w *worker, t *Task, s workerapi.State) chart.Event {
	switch s {
	case workerapi.StateFinished:
		return EventFinish
	case workerapi.StateFailed:
		if o.isFinalFailure(w, t) {
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

// isFinalFailure reports whether one more failure is the last: the task has failed often enough, and on
// different workers where there are some, so that a bad worker alone can't fail it. Twice the number of
// failures is final on any workers.
func (o *owner) isFinalFailure(w *worker, t *Task) bool {
	n := t.Failures + 1
	if n >= 2*o.core.maxFailures(t) {
		return true
	}
	places := len(t.FailedOn)
	if !slices.Contains(t.FailedOn, w.name) {
		places++
	}
	return n >= o.core.maxFailures(t) && places >= min(2, len(o.core.members))
}
