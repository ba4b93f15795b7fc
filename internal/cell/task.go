package cell

import (
	"slices"

	"github.com/crocusspring/crocusspring/charts"
	"github.com/crocusspring/crocusspring/internal/chart"
	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/queue"
	"github.com/crocusspring/crocusspring/internal/resource"
	"github.com/crocusspring/crocusspring/internal/workerapi"
)

// States and events of charts/task.yaml that the code names.
const (
	StateQueued        chart.State = "queued"
	StateEvicted       chart.State = "evicted"
	StateUnschedulable chart.State = "unschedulable"
	StateAssigned      chart.State = "assigned"
	StateRunning       chart.State = "running"
	StateCheckpointing chart.State = "checkpointing"
	StateStopping      chart.State = "stopping"

	EventAssign     chart.Event = "assign"
	EventReject     chart.Event = "reject"
	EventRequeue    chart.Event = "requeue"
	EventRun        chart.Event = "run"
	EventCheckpoint chart.Event = "checkpoint"
	EventCancel     chart.Event = "cancel"
	EventFinish     chart.Event = "finish"
	EventFail       chart.Event = "fail"
	EventFailFinal  chart.Event = "fail-final"
	EventLose       chart.Event = "lose"
	EventEvict      chart.Event = "evict"
	EventRefuse     chart.Event = "refuse"
	EventStopped    chart.Event = "stopped"
)

var taskChart = chart.MustLoad(charts.Files, "task.yaml")

// Task is one accepted job as recorded in the log. A job has one task.
type Task struct {
	Job
	State   chart.State `json:"state"`
	Attempt int         `json:"attempt"`
	// AssignEpoch is the epoch of the owner that assigned the current attempt.
	AssignEpoch logsvc.Offset `json:"assign_epoch,omitempty"`
	// Worker holds the attempt while the task is held; Incarnation is the one of the worker.
	Worker      string          `json:"worker,omitempty"`
	Incarnation int64           `json:"incarnation,omitempty"`
	Reserve     resource.Vector `json:"reserve,omitzero"`
	// Checkpoint is the newest complete checkpoint that no attempt has consumed.
	Checkpoint *workerapi.Checkpoint `json:"checkpoint,omitempty"`
	// Resumed is the checkpoint that the current attempt consumed.
	Resumed   *workerapi.Checkpoint `json:"resumed,omitempty"`
	Failures  int                   `json:"failures,omitempty"`
	FailedOn  []string              `json:"failed_on,omitempty"`
	Evictions int                   `json:"evictions,omitempty"`
	Reason    string                `json:"reason,omitempty"`
	Accepted  logsvc.Offset         `json:"accepted"`
}

// Held reports whether a worker may hold the current attempt.
func (t *Task) Held() bool {
	switch t.State {
	case StateAssigned, StateRunning, StateCheckpointing, StateStopping:
		return true
	}
	return false
}

// Waits reports whether the task waits to be placed.
func (t *Task) Waits() bool { return t.State == StateQueued || t.State == StateEvicted }

// Done reports whether nothing more can happen to the task.
func (t *Task) Done() bool { return taskChart.Final(t.State) }

// key identifies the current attempt.
func (t *Task) key() attemptKey { return attemptKey{t.ID, t.Attempt} }

// lane returns the lane of the queue the task belongs to.
func (t *Task) lane() queue.Lane {
	if t.RunMS == 0 {
		return queue.LaneLongRunning
	}
	return queue.LaneBatch
}

// attemptKey identifies one attempt of a task.
type attemptKey struct {
	task    string
	attempt int
}

// applyAssign applies an assignment.
func (t *Task) applyAssign(epoch logsvc.Offset, a Assign) {
	t.Attempt, t.Worker, t.Incarnation = a.Attempt, a.Worker, a.Incarnation
	t.Reserve, t.AssignEpoch, t.Reason = a.Reserve, epoch, ""
	t.Resumed, t.Checkpoint = t.Checkpoint, nil
}

// applyEnd applies the end of an attempt. The checkpoint assigned to the attempt is restored only when the
// attempt certainly never started; otherwise it counts as consumed, and a newer one takes its place if the
// report has one and the attempt did not fail.
func (t *Task) applyEnd(e chart.Event, r Report) {
	if e == EventRefuse {
		t.Checkpoint = t.Resumed
	} else {
		t.Checkpoint = r.Checkpoint
	}
	switch e {
	case EventFail, EventFailFinal:
		t.Failures++
		t.Checkpoint = nil
		if !slices.Contains(t.FailedOn, t.Worker) {
			t.FailedOn = append(t.FailedOn, t.Worker)
		}
	case EventEvict:
		t.Evictions++
	}
	t.Worker, t.Incarnation, t.Reserve, t.Resumed = "", 0, resource.Vector{}, nil
	t.Reason = r.Reason
}
