// Package cell is the decision core of one cell: it folds the cell's log stream, owns the cell under a
// lease, places waiting tasks and drives workers. It does no I/O and has no clock of its own.
//
// Three rules ensure that an attempt runs in one place. Its assignment, which names the worker and its
// incarnation, is in the log before the start command is sent. An attempt counts as over only when its
// worker has reported so under the current epoch, or when the worker's lease has certainly expired. And all
// decisions of an epoch are batches with consecutive numbers, one in flight at a time, so that a late or
// duplicate copy of any of them has no effect.
package cell

import (
	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/record"
	"github.com/crocusspring/crocusspring/internal/resource"
	"github.com/crocusspring/crocusspring/internal/workerapi"
)

// SchemaVersion is the schema version of the record bodies of this package.
const SchemaVersion = 1

// KindBatch is the kind of a record with decisions of the owner.
const KindBatch record.Kind = "cell-batch"

// Stream returns the log stream of a cell.
func Stream(name string) string { return "cell-" + name }

// Job is what a caller submits.
type Job struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	// Class groups tasks that behave alike, such as timetable-rebuild.
	Class string `json:"class"`
	// Service is set for a replica of a latency-critical service, which is never throttled, and evicted only
	// by a drain.
	Service string          `json:"service,omitempty"`
	Urgent  bool            `json:"urgent,omitempty"`
	Declare resource.Vector `json:"declare"`
	// RunMS is the declared run time in milliseconds without interference; 0 for a watcher, which has no
	// end.
	RunMS int64 `json:"run_ms"`
}

// Cancel is the body of a cancellation of one or more jobs.
type Cancel struct {
	Jobs []string `json:"jobs"`
}

// Batch holds the decisions and reports that the owner appends together.
type Batch struct {
	Epoch logsvc.Offset `json:"epoch"`
	// Seq counts the batches of an epoch from 1; a reader folds only the next one.
	Seq     int64    `json:"seq"`
	Assigns []Assign `json:"assigns,omitempty"`
	Reports []Report `json:"reports,omitempty"`
	// Forget lists ended tasks that readers drop.
	Forget []string `json:"forget,omitempty"`
}

// Assign is the decision to run an attempt on a worker.
type Assign struct {
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
	Worker  string `json:"worker"`
	// Incarnation is the worker incarnation that the attempt is assigned to; no other may run it.
	Incarnation int64           `json:"incarnation"`
	Reserve     resource.Vector `json:"reserve"`
	// Resume is the checkpoint the attempt consumes.
	Resume *workerapi.Checkpoint `json:"resume,omitempty"`
}

// Report is what the owner learned about a task.
type Report struct {
	Task string `json:"task"`
	// Attempt is the attempt it is about; 0 for a task that waits.
	Attempt int `json:"attempt,omitempty"`
	// Event is an event of the task chart.
	Event      string                `json:"event"`
	Checkpoint *workerapi.Checkpoint `json:"checkpoint,omitempty"`
	Reason     string                `json:"reason,omitempty"`
}
