// Package link carries the message stream between a guard and the owner of its cell. The guard sends reports
// about runs; the owner sends commands and the authority to renew the leases of runs.
package link

import (
	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/resource"
)

// RunRef identifies one run of a task. Runs of a task are numbered in order from 1.
type RunRef struct {
	Task job.TaskID `json:"t"`
	Run  int        `json:"r"`
}

// Worker describes one incarnation of a worker.
type Worker struct {
	// ID is the text form of the worker's Incarnation.
	ID         string          `json:"id"`
	Service    string          `json:"service"`
	DataCentre string          `json:"data_centre"`
	Kind       string          `json:"kind,omitempty"`
	Rack       string          `json:"rack,omitempty"`
	Capacity   resource.Vector `json:"capacity"`
	Draining   bool            `json:"draining,omitempty"`
	// RemainingMS is the least time until a draining worker leaves, in milliseconds; 0 when not known.
	RemainingMS int64 `json:"remaining_ms,omitempty"`
}

// RunStatus is the state of a run on a worker, as the worker lists it.
type RunStatus struct {
	RunRef
	// Checkpoint is the newest checkpoint; empty for none.
	Checkpoint string `json:"c,omitempty"`
	// Percent is the progress of a finite task; for a long-running task it is 100 while the task works.
	Percent float64 `json:"p"`
	// Measurement is the tail latency in milliseconds of a serving task, and for other tasks the processor use
	// in thousandths of a core; both over the last half second.
	Measurement float64 `json:"f,omitempty"`
}

// Outcome is how a run ended.
type Outcome string

// Outcomes of a run.
const (
	// Done means success, Failed a failure of the task or its worker.
	Done   Outcome = "done"
	Failed Outcome = "failed"
	// Stopped means that the run was stopped by a command, Expired that its lease was not renewed.
	Stopped Outcome = "stopped"
	Expired Outcome = "lapsed"
	// GangBroken means that another member of the run's gang ended, GangIncomplete that the other members never
	// started.
	GangBroken     Outcome = "broken"
	GangIncomplete Outcome = "alone"
	// Absent means that the run is not on the worker and never will be, and that no end of it is listed.
	Absent Outcome = "absent"
)

// RunEnd is one entry of a worker's list of run ends, which are numbered from 1 in each incarnation.
type RunEnd struct {
	Number int64 `json:"n,omitempty"`
	RunRef
	Outcome    Outcome `json:"o"`
	Checkpoint string  `json:"c,omitempty"`
	// Reason is why a run is absent, as the worker or the guard states it.
	Reason string `json:"why,omitempty"`
	// Unanswered means that the start of an absent run may have been sent and got no answer. The incarnation that the end is of
	// refuses it from now on; a later one of the same ID would carry it out until its guard has called it.
	Unanswered bool `json:"unanswered,omitempty"`
}

// Listing is what a worker lists of its runs.
type Listing struct {
	// Running are all runs in progress, Ended the ends that are not acknowledged yet.
	Running []RunStatus `json:"running,omitempty"`
	Ended   []RunEnd    `json:"ended,omitempty"`
	// EndsCut means that Ended may lack some, since a worker lists only so many at a time. A run that such a listing
	// doesn't show may have ended, with any outcome.
	EndsCut bool `json:"cut,omitempty"`
}

// Start is the command to start a run.
type Start struct {
	Traits
	Payload    string `json:"payload,omitempty"`
	Checkpoint string `json:"c,omitempty"`
	Ticket     string `json:"ticket,omitempty"`
}

// Traits are the properties of a run that the guard needs to control the pace of fillers.
type Traits struct {
	RunRef
	Filler       bool   `json:"filler,omitempty"`
	TailTargetMS int64  `json:"target,omitempty"`
	Image        string `json:"image,omitempty"`
}

// Crash is the end of an incarnation of a worker that hadn't announced that it would leave.
type Crash struct {
	// Worker is the incarnation, Node names its guard.
	Worker string `json:"w"`
	Node   string `json:"node,omitempty"`
	// Service is the one that the worker belonged to.
	Service string `json:"service,omitempty"`
	// AgoMS is how long before the message was made the worker was last known to answer or first failed to, in
	// milliseconds; 0 if it isn't known.
	AgoMS int64 `json:"ago,omitempty"`
	// Runs are those that it had or may have had.
	Runs []CrashedRun `json:"runs,omitempty"`
}

// CrashedRun is a run that a worker had when it crashed.
type CrashedRun struct {
	RunRef
	// AgeMS is how long before the crash the start was sent to the worker, in milliseconds.
	AgeMS int64 `json:"age"`
	// Unsure means that the start wasn't answered: the run may not have been there.
	Unsure bool `json:"unsure,omitempty"`
}

// GuardMessage is one message of a guard.
type GuardMessage struct {
	// Worker is set in every inventory and when it has changed. A new ID in an inventory means that the earlier
	// incarnation has ended.
	Worker *Worker `json:"worker,omitempty"`
	// Node names the guard, in the first message only.
	Node string `json:"node,omitempty"`
	// Inventory means that the listing holds all that the worker listed to a poll under the owner's epoch. Other
	// messages leave out ends that were reported before on the same link.
	Inventory bool `json:"inventory,omitempty"`
	// Reported means that Running lists all runs; without it Running is unset.
	Reported bool `json:"reported,omitempty"`
	Listing
	// EndedIncarnations are incarnations of the worker that have ended; none of their runs exists any more.
	// A guard reports the latest ones again on each new link.
	EndedIncarnations []string `json:"over,omitempty"`
	// Crashed tells of those of EndedIncarnations that hadn't announced that they would leave.
	Crashed []Crash `json:"crashed,omitempty"`
	// Pace is the pace that the guard sets for fillers, in percent of full pace.
	Pace int `json:"pace"`
	// Unresponsive means that the worker doesn't answer its guard.
	Unresponsive bool `json:"mute,omitempty"`
	// ClockMS is the guard's monotonic clock when the message was made, in milliseconds.
	ClockMS int64 `json:"clock"`
	// Follows names the ownership that the guard follows; zero before the first message of an owner.
	Follows Following `json:"follows,omitzero"`
	// UnixMS is the guard's time of day, in Unix milliseconds; it is sent from time to time, otherwise 0.
	UnixMS int64 `json:"unix,omitempty"`
}

// Following is the ownership that a guard follows: the one with the highest epoch that it has had a message of. The guard obeys
// none with a lower epoch any more.
type Following struct {
	Epoch int64 `json:"epoch"`
	// SinceMS is OwnerMessage.ClockMS of the first message under the epoch, HeardMS that of the newest one.
	SinceMS int64 `json:"since"`
	HeardMS int64 `json:"heard"`
}

// OwnerMessage is one message of the owner.
type OwnerMessage struct {
	// Epoch numbers the ownership; a guard that has seen a higher one rejects the message.
	Epoch int64 `json:"epoch"`
	// ClockMS is the owner's clock when the message was made, in milliseconds; it also advances while the machine is suspended.
	ClockMS int64 `json:"clock,omitempty"`
	// EchoMS is the newest clock reading received from the guard, in milliseconds; the lease of runs counts from
	// it.
	EchoMS int64 `json:"echo"`
	// Worker is the incarnation of the worker that the fields below are for; a guard whose worker has another one
	// ignores them.
	Worker string   `json:"worker,omitempty"`
	Start  []Start  `json:"start,omitempty"`
	Stop   []RunRef `json:"stop,omitempty"`
	// KnownRuns are the traits of listed runs that the owner has not sent over this link before.
	KnownRuns []Traits `json:"known,omitempty"`
	// AckedEnd is the number of the newest run end that is stored; the worker may drop ends up to it.
	AckedEnd int64 `json:"forget,omitempty"`
}
