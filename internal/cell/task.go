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

// Task is one accepted job as the log tells it. A job has one task.
type Task struct {
	Job
	State   chart.State `json:"state"`
	Attempt int         `json:"attempt"`
	// AssignEpoch is the epoch of the owner that assigned the current attempt.
	AssignEpoch logsvc.Offset `json:"assign_epoch,omitempty"`
	// Worker holds the attempt while the task is held, in its start Incarnation.
	Worker      string          `json:"worker,omitempty"`
	Incarnation int64           `json:"incarnation,omitempty"`
	Reserve     resource.Vector `json:"reserve,omitzero"`
	// Checkpoint is the newest whole one that no attempt has consumed.
	Checkpoint *workerapi.Checkpoint `json:"checkpoint,omitempty"`
	// Resumed is the one the current attempt consumed.
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

// Waits reports whether the task is to be placed.
func (t *Task) Waits() bool { return t.State == StateQueued || t.State == StateEvicted }

// Done reports whether nothing more can happen to the task.
func (t *Task) Done() bool { return taskChart.Final(t.State) }

// key names the current attempt.
func (t *Task) key() attemptKey { return attemptKey{t.ID, t.Attempt} }

// lane returns the lane of the queue the task belongs to.
func (t *Task) lane() queue.Lane {
	if t.RunMS == 0 {
		return queue.LaneLongRunning
	}
	return queue.LaneBatch
}

// attemptKey names one attempt of a task.
type attemptKey struct {
	task    string
	attempt int
}

// assigned takes what an assignment says.
func (t *Task) assigned(epoch logsvc.Offset, a Assign) {
	t.Attempt, t.Worker, t.Incarnation = a.Attempt, a.Worker, a.Incarnation
	t.Reserve, t.AssignEpoch, t.Reason = a.Reserve, epoch, ""
	t.Resumed, t.Checkpoint = t.Checkpoint, nil
}

// released takes the end of an attempt. A checkpoint is given back only when the attempt surely never
// started; else it counts as consumed, and a newer one takes its place.
func (t *Task) released(e chart.Event, r Report) {
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
