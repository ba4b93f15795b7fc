// Package link carries the stream between a guard and the owner of its cell: reports about runs go up,
// orders and the authority to keep runs alive go down.
package link

import (
	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/resource"
)

// RunRef names one run of a task. Runs of a task are numbered from 1 and rise.
type RunRef struct {
	Task job.TaskID `json:"t"`
	Run  int        `json:"r"`
}

// Worker describes one life of a worker; a worker that starts anew has another ID.
type Worker struct {
	ID         string          `json:"id"`
	Service    string          `json:"service"`
	DataCentre string          `json:"data_centre"`
	Kind       string          `json:"kind,omitempty"`
	Rack       string          `json:"rack,omitempty"`
	Capacity   resource.Vector `json:"capacity"`
	Draining   bool            `json:"draining,omitempty"`
	// RemainingMS is the least time a draining worker has left, in milliseconds; 0 when not known.
	RemainingMS int64 `json:"remaining_ms,omitempty"`
}

// RunStatus is what a worker says of a run that is there.
type RunStatus struct {
	RunRef
	// Checkpoint is the newest saved state; empty for none.
	Checkpoint string `json:"c,omitempty"`
	// Percent is the progress of a task that ends, and 100 for a lasting task that is at work.
	Percent float64 `json:"p"`
	// Figure is the tail latency in milliseconds of a serving task, else the processor time in use in
	// thousandths of a core; both for the last half second.
	Figure float64 `json:"f,omitempty"`
}

// Outcome says how a run ended.
type Outcome string

// Outcomes of a run.
const (
	// Done is success, Failed a failure of the task or its worker.
	Done   Outcome = "done"
	Failed Outcome = "failed"
	// Stopped ended by order, Lapsed because its lease was not renewed.
	Stopped Outcome = "stopped"
	Lapsed  Outcome = "lapsed"
	// Broken ended because another member of its gang did, Alone because the others never came.
	Broken Outcome = "broken"
	Alone  Outcome = "alone"
	// Absent says that the run is not on the worker and never will be, and no end of it is listed.
	Absent Outcome = "absent"
)

// RunEnd is one entry of a worker's list of ends, which is numbered from 1 in each life.
type RunEnd struct {
	N int64 `json:"n,omitempty"`
	RunRef
	Outcome    Outcome `json:"o"`
	Checkpoint string  `json:"c,omitempty"`
	// Reason says why a run is absent, as the worker or guard named it.
	Reason string `json:"why,omitempty"`
}

// Start orders a run.
type Start struct {
	Traits
	Payload    string `json:"payload,omitempty"`
	Checkpoint string `json:"c,omitempty"`
	Ticket     string `json:"ticket,omitempty"`
}

// Traits are what local control has to know of a run.
type Traits struct {
	RunRef
	Filler       bool   `json:"filler,omitempty"`
	TailTargetMS int64  `json:"target,omitempty"`
	Image        string `json:"image,omitempty"`
}

// Up is one message of a guard.
type Up struct {
	// Worker is set in the first message and when it changed. A new ID says that the earlier life is over.
	Worker *Worker `json:"worker,omitempty"`
	// Node names the guard, in the first message only.
	Node string `json:"node,omitempty"`
	// Inventory says that Running and Ended are complete, asked of the worker under the owner's epoch.
	Inventory bool        `json:"inventory,omitempty"`
	Reported  bool        `json:"reported,omitempty"`
	Running   []RunStatus `json:"running,omitempty"`
	Ended     []RunEnd    `json:"ended,omitempty"`
	// Over are lives of the worker that have ended; nothing runs in them any more.
	Over []string `json:"over,omitempty"`
	// Pace is the share of processor time that local control leaves to fillers, in percent.
	Pace int `json:"pace"`
	// Mute says that the worker doesn't answer its guard.
	Mute bool `json:"mute,omitempty"`
	// ClockMS is the guard's steady clock when the message was made.
	ClockMS int64 `json:"clock"`
}

// Down is one message of the owner.
type Down struct {
	// Epoch numbers the ownership; a guard that knows a higher one refuses the message.
	Epoch int64 `json:"epoch"`
	// EchoMS is the newest clock reading received from the guard; authority counts from it.
	EchoMS int64 `json:"echo"`
	// Worker is the life of the worker that the orders below are for; a guard of another life leaves them.
	Worker string   `json:"worker,omitempty"`
	Start  []Start  `json:"start,omitempty"`
	Stop   []RunRef `json:"stop,omitempty"`
	Known  []Traits `json:"known,omitempty"`
	// Forget is the number up to which ends are stored and may be forgotten by the worker.
	Forget int64 `json:"forget,omitempty"`
}
