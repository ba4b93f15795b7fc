package cell

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/crocusspring/crocusspring/internal/chart"
	"github.com/crocusspring/crocusspring/internal/lease"
	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/record"
	"github.com/crocusspring/crocusspring/internal/resource"
)

// ErrUnknownKind reports that a record's kind is not one of the cell's stream.
var ErrUnknownKind = errors.New("unknown kind of record")

// state is the fold of a cell's stream; it is the same for every reader of the stream.
type state struct {
	tasks map[string]*Task
	next  logsvc.Offset
	// epoch and batch are the epoch and number of the newest batch that was folded.
	epoch logsvc.Offset
	batch int64
	// snapshotOffset is the offset of the newest snapshot in the stream.
	snapshotOffset logsvc.Offset

	// The fields below are derived from the tasks.
	waiting map[string]*Task
	parked  map[string]*Task
	held    map[string]map[string]*Task // by worker and task
	done    []doneTask                  // in order of their end
	changes []change
}

// doneTask is an ended task and when this reader saw its end.
type doneTask struct {
	id string
	at time.Time
}

// change is one transition of a task in its chart: which attempt it was about, whether a worker held the
// task before and after, and which worker.
type change struct {
	task       *Task
	event      chart.Event
	attempt    int
	heldBefore bool
	heldAfter  bool
	worker     string
	reserve    resource.Vector
}

// newState returns the fold of an empty stream.
func newState() state {
	return state{
		tasks: map[string]*Task{}, next: 1, waiting: map[string]*Task{}, parked: map[string]*Task{},
		held: map[string]map[string]*Task{},
	}
}

// fold applies one entry. An entry that can't be read is reported and has no effect.
func (s *state) fold(now time.Time, l *lease.Core, e logsvc.Entry) (record.Envelope, error) {
	if e.Offset < s.next {
		return record.Envelope{}, nil
	}
	s.next = e.Offset + 1
	env, err := record.Decode(e.Data)
	if err != nil {
		return env, fmt.Errorf("offset %d: %w", e.Offset, err)
	}
	if env.Schema > SchemaVersion {
		return env, fmt.Errorf("offset %d: record %s has schema %d, newest known is %d", e.Offset, env.ID, env.Schema, SchemaVersion)
	}
	switch env.Kind {
	case record.KindLease:
		err = foldBody(env, func(b lease.Body) { l.Fold(now, e.Offset, b) })
	case record.KindJob:
		err = foldBody(env, func(j Job) { s.accept(e.Offset, j) })
	case record.KindCancel:
		err = foldBody(env, func(c Cancel) { s.cancel(now, c) })
	case KindBatch:
		err = foldBody(env, func(b Batch) { s.applyBatch(now, l, b) })
	case record.KindSnapshot:
		s.snapshotOffset = e.Offset
	default:
		err = fmt.Errorf("record %s: %w %q", env.ID, ErrUnknownKind, env.Kind)
	}
	if err != nil {
		return env, fmt.Errorf("offset %d: %w", e.Offset, err)
	}
	return env, nil
}

// foldBody decodes a body and applies it.
func foldBody[T any](env record.Envelope, apply func(T)) error {
	var body T
	if err := json.Unmarshal(env.Body, &body); err != nil {
		return fmt.Errorf("record %s: decode %s: %w", env.ID, env.Kind, err)
	}
	apply(body)
	return nil
}

// accept adds a job; the first record of an id counts.
func (s *state) accept(at logsvc.Offset, j Job) {
	if j.ID == "" || s.tasks[j.ID] != nil {
		return
	}
	t := &Task{Job: j, State: taskChart.Initial, Accepted: at}
	s.tasks[j.ID] = t
	s.waiting[j.ID] = t
	s.changes = append(s.changes, change{task: t})
}

// cancel folds a cancellation; tasks that have ended stay as they are.
func (s *state) cancel(now time.Time, c Cancel) {
	for _, id := range c.Jobs {
		if t := s.tasks[id]; t != nil {
			s.transition(now, t, EventCancel, func() { t.Reason = "cancelled" })
		}
	}
}

// applyBatch folds a batch when it is the next one of the current owner.
func (s *state) applyBatch(now time.Time, l *lease.Core, b Batch) {
	holder, epoch := l.Holder()
	if holder == "" || b.Epoch != epoch {
		return
	}
	if s.epoch != epoch {
		s.epoch, s.batch = epoch, 0
	}
	if b.Seq != s.batch+1 {
		return
	}
	s.batch = b.Seq
	for _, a := range b.Assigns {
		s.assign(now, a)
	}
	for _, r := range b.Reports {
		s.report(now, r)
	}
	for _, id := range b.Forget {
		s.dropEnded(id)
	}
}

// assign folds an assignment of the next attempt.
func (s *state) assign(now time.Time, a Assign) {
	t := s.tasks[a.Task]
	if t == nil || a.Attempt != t.Attempt+1 {
		return
	}
	s.transition(now, t, EventAssign, func() { t.applyAssign(s.epoch, a) })
}

// report folds a report of the owner.
func (s *state) report(now time.Time, r Report) {
	t := s.tasks[r.Task]
	if t == nil {
		return
	}
	e := chart.Event(r.Event)
	if !t.Held() {
		s.transition(now, t, e, func() { t.Reason = r.Reason })
		return
	}
	if r.Attempt != t.Attempt {
		return
	}
	s.transition(now, t, e, func() {
		if !t.Held() {
			t.applyEnd(e, r)
		}
	})
}

// transition applies an event of the chart to a task and updates the indexes. The function apply runs in
// the new state; an event that the chart doesn't allow has no effect.
func (s *state) transition(now time.Time, t *Task, e chart.Event, apply func()) {
	to, err := taskChart.Next(t.State, e)
	if err != nil {
		return
	}
	ch := change{task: t, event: e, heldBefore: t.Held(), worker: t.Worker, reserve: t.Reserve}
	s.unindex(t)
	t.State = to
	apply()
	s.index(t)
	if t.Done() {
		s.done = append(s.done, doneTask{t.ID, now})
	}
	if ch.heldAfter = t.Held(); ch.heldAfter {
		ch.worker, ch.reserve = t.Worker, t.Reserve
	}
	ch.attempt = t.Attempt
	s.changes = append(s.changes, ch)
}

// index adds a task to the set its state belongs to.
func (s *state) index(t *Task) {
	switch {
	case t.Waits():
		s.waiting[t.ID] = t
	case t.State == StateUnschedulable:
		s.parked[t.ID] = t
	case t.Held():
		if s.held[t.Worker] == nil {
			s.held[t.Worker] = map[string]*Task{}
		}
		s.held[t.Worker][t.ID] = t
	}
}

// unindex removes a task from the set its state belongs to.
func (s *state) unindex(t *Task) {
	delete(s.waiting, t.ID)
	delete(s.parked, t.ID)
	if !t.Held() {
		return
	}
	delete(s.held[t.Worker], t.ID)
	if len(s.held[t.Worker]) == 0 {
		delete(s.held, t.Worker)
	}
}

// dropEnded drops a task that has ended.
func (s *state) dropEnded(id string) {
	t := s.tasks[id]
	if t == nil || !t.Done() {
		return
	}
	delete(s.tasks, id)
	for i, d := range s.done {
		if d.id == id {
			s.done = append(s.done[:i], s.done[i+1:]...)
			return
		}
	}
}
