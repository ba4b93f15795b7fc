// Package cell is the decision core of one cell: it folds the cell's log stream, owns the cell under
// a lease, places queued tasks and drives workers. It does no I/O and has no clock of its own.
package cell

import (
	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/resource"
	"github.com/crocusspring/crocusspring/internal/workerapi"
)

// SchemaVersion is the version of the bodies below.
const SchemaVersion = 1

// Stream returns the log stream of a cell.
func Stream(name string) string { return "cell-" + name }

// Job is what a caller submits.
type Job struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	// Class groups tasks that behave alike, such as timetable-rebuild.
	Class   string          `json:"class"`
	Urgent  bool            `json:"urgent,omitempty"`
	Declare resource.Vector `json:"declare"`
	// RunMS is the declared run time in milliseconds of undisturbed work; 0 for a watcher without end.
	RunMS int64 `json:"run_ms"`
}

// Cancel is the body of a cancellation of one or more jobs.
type Cancel struct {
	Jobs []string `json:"jobs"`
}

// Assign is the owner's decision to run an attempt on a worker.
type Assign struct {
	Epoch   logsvc.Offset         `json:"epoch"`
	Task    string                `json:"task"`
	Attempt int                   `json:"attempt"`
	Worker  string                `json:"worker"`
	Reserve resource.Vector       `json:"reserve"`
	Resume  *workerapi.Checkpoint `json:"resume,omitempty"`
}

// TaskState is what the owner learned about an attempt.
type TaskState struct {
	Epoch   logsvc.Offset `json:"epoch"`
	Task    string        `json:"task"`
	Attempt int           `json:"attempt"`
	// Event is an event of the task chart.
	Event      string                `json:"event"`
	Checkpoint *workerapi.Checkpoint `json:"checkpoint,omitempty"`
	Reason     string                `json:"reason,omitempty"`
}
