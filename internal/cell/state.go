package cell

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/crocusspring/crocusspring/charts"
	"github.com/crocusspring/crocusspring/internal/chart"
	"github.com/crocusspring/crocusspring/internal/lease"
	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/record"
	"github.com/crocusspring/crocusspring/internal/resource"
	"github.com/crocusspring/crocusspring/internal/workerapi"
)

// States and events of charts/task.yaml that the code names.
const (
	StateQueued   chart.State = "queued"
	StateAssigned chart.State = "assigned"
	StateStopping chart.State = "stopping"

	EventAssign    chart.Event = "assign"
	EventCancel    chart.Event = "cancel"
	EventFinish    chart.Event = "finish"
	EventFail      chart.Event = "fail"
	EventFailFinal chart.Event = "fail-final"
	EventLose      chart.Event = "lose"
	EventRefuse    chart.Event = "refuse"
	EventStopped   chart.Event = "stopped"
)

var taskChart = chart.MustLoad(charts.Files, "task.yaml")

// Task is one accepted job as the log tells it. A job has one task.
type Task struct {
	Job
	State   chart.State `json:"state"`
	Attempt int         `json:"attempt"`
	// AssignEpoch is the epoch of the owner that assigned the current attempt.
	AssignEpoch logsvc.Offset `json:"assign_epoch,omitempty"`
	// Worker holds the attempt in states assigned and stopping.
	Worker     string                `json:"worker,omitempty"`
	Reserve    resource.Vector       `json:"reserve"`
	Checkpoint *workerapi.Checkpoint `json:"checkpoint,omitempty"`
	Failures   int                   `json:"failures,omitempty"`
	Reason     string                `json:"reason,omitempty"`
	Accepted   logsvc.Offset         `json:"accepted"`
}

// Held reports whether a worker may hold the current attempt.
func (t *Task) Held() bool { return t.State == StateAssigned || t.State == StateStopping }

// Done reports whether nothing more can happen to the task.
func (t *Task) Done() bool { return taskChart.Final(t.State) }

// state is the fold of a cell's stream; every reader of the stream has the same.
type state struct {
	tasks map[string]*Task
	next  logsvc.Offset
}

// fold applies one entry. Records of an epoch that is not the lease's are without effect.
func (s *state) fold(now time.Time, l *lease.Core, e logsvc.Entry) error {
	if e.Offset < s.next {
		return nil
	}
	s.next = e.Offset + 1
	env, err := record.Decode(e.Data)
	if err != nil {
		return fmt.Errorf("offset %d: %w", e.Offset, err)
	}
	switch env.Kind {
	case record.KindLease:
		return foldBody(env, func(b lease.Body) { l.Seen(now, e.Offset, b) })
	case record.KindJob:
		return foldBody(env, func(j Job) { s.accept(e.Offset, j) })
	case record.KindCancel:
		return foldBody(env, s.cancel)
	case record.KindAssign:
		return foldBody(env, func(a Assign) { s.assign(l, a) })
	case record.KindTaskState:
		return foldBody(env, func(ts TaskState) { s.report(l, ts) })
	}
	return fmt.Errorf("offset %d: record %s has unknown kind %q", e.Offset, env.ID, env.Kind)
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
	if s.tasks[j.ID] != nil {
		return
	}
	s.tasks[j.ID] = &Task{Job: j, State: taskChart.Initial, Accepted: at}
}

// cancel folds a cancellation; tasks that have ended stay as they are.
func (s *state) cancel(c Cancel) {
	for _, id := range c.Jobs {
		if t := s.tasks[id]; t != nil {
			t.fire(EventCancel)
		}
	}
}

// assign folds the owner's decision when it is of the current epoch and the next attempt.
func (s *state) assign(l *lease.Core, a Assign) {
	t := s.tasks[a.Task]
	_, epoch := l.Holder()
	if t == nil || a.Epoch != epoch || a.Attempt != t.Attempt+1 || !t.fire(EventAssign) {
		return
	}
	t.Attempt, t.Worker, t.Reserve = a.Attempt, a.Worker, a.Reserve
	t.AssignEpoch, t.Reason = a.Epoch, ""
}

// report folds what the owner learned about the current attempt.
func (s *state) report(l *lease.Core, ts TaskState) {
	t := s.tasks[ts.Task]
	_, epoch := l.Holder()
	if t == nil || ts.Epoch != epoch || ts.Attempt != t.Attempt || !t.Held() {
		return
	}
	if !t.fire(chart.Event(ts.Event)) {
		return
	}
	t.Worker, t.Reserve, t.Reason = "", resource.Vector{}, ts.Reason
	if ts.Checkpoint != nil {
		t.Checkpoint = ts.Checkpoint
	}
	if chart.Event(ts.Event) == EventFail {
		t.Failures++
	}
}

// fire moves the task along its chart and reports whether the event was taken.
func (t *Task) fire(e chart.Event) bool {
	to, err := taskChart.Next(t.State, e)
	if err != nil {
		return false
	}
	t.State = to
	return true
}
