package history

import (
	"fmt"
	"time"
)

// Outcome is the result of an operation as its observer saw it.
type Outcome string

// Outcomes of requests, jobs and proposals.
const (
	Answered Outcome = "answered"
	Accepted Outcome = "accepted"
	Conflict Outcome = "conflict"
	NotRun   Outcome = "not_run"
	Unknown  Outcome = "unknown"
	// Lost means that the caller received no outcome: the connection broke or no answer came.
	Lost Outcome = "lost"
)

// Amount is an amount of each resource kind.
type Amount struct{ MilliCPU, MemoryMB, Accelerators int64 }

// plus returns a plus b.
func (a Amount) plus(b Amount) Amount {
	return Amount{a.MilliCPU + b.MilliCPU, a.MemoryMB + b.MemoryMB, a.Accelerators + b.Accelerators}
}

// within reports whether a is at most b in every kind.
func (a Amount) within(b Amount) bool {
	return a.MilliCPU <= b.MilliCPU && a.MemoryMB <= b.MemoryMB && a.Accelerators <= b.Accelerators
}

// Request is one send of a latency-critical request as its caller saw it. A retry with the same key is
// another Request.
type Request struct {
	Op int
	// Token names the request in its body; Key is its idempotency key, shared by repeated sends.
	Token, Key string
	// RequestID is the id that the system assigned to this send, if it returned one.
	RequestID string
	Class     string
	Workspace string
	// Entry is the process the caller sent it to.
	Entry      string
	Idempotent bool
	// Due is the scheduled time, Start when it was sent, End when its outcome was seen.
	Due, Start, End time.Time
	Budget          time.Duration
	Outcome         Outcome
	// Sent is the body that the caller sent, Answer the body that it received.
	Sent, Answer string
	// Truncated is set when the answer's body ended early.
	Truncated bool
	// Unsent is set when no connection to the entry could be opened, so that this send reached nothing.
	Unsent bool
	Reason string
}

// String describes the request in reports.
func (r *Request) String() string {
	return fmt.Sprintf("request %d %s via %s (%s, %s)", r.Op, r.Token, r.Entry, r.RequestID, r.Outcome)
}

// Run is one arrival of a request at a target.
type Run struct {
	Op        int
	Target    string
	RequestID string
	Attempt   string
	// Token and Key are read from the request itself.
	Token, Key string
	Arrived    time.Time
	// Start is zero when the target did not run it; End is zero while it runs.
	Start, End time.Time
}

// String describes the run in reports.
func (r *Run) String() string {
	return fmt.Sprintf("run %d of %s at %s (%s attempt %s)", r.Op, r.Token, r.Target, r.RequestID, r.Attempt)
}

// Attempt is one attempt of a task as its worker saw it.
type Attempt struct {
	Op      int
	Worker  string
	Task    string
	Attempt int
	Class   string
	Reserve Amount
	// Resume is the attempt whose checkpoint this one resumes; 0 for none.
	Resume int
	// ResumedMS is the progress of that checkpoint.
	ResumedMS  int64
	Start, End time.Time
	// State is how it ended: finished, failed, stopped, lapsed, crashed.
	State string
}

// String describes the attempt in reports.
func (a *Attempt) String() string {
	return fmt.Sprintf("attempt %d: task %s attempt %d on %s (%s)", a.Op, a.Task, a.Attempt, a.Worker, a.State)
}

// States of an attempt at its worker.
const (
	StateFinished = "finished"
	StateFailed   = "failed"
	StateStopped  = "stopped"
	StateExpired  = "lapsed"
	StateCrashed  = "crashed"
)

// Job is one submitted job as its caller saw it.
type Job struct {
	Op         int
	ID         string
	Workspace  string
	Class      string
	Entry      string
	Declare    Amount
	RunMS      int64
	Start, End time.Time
	// Outcome is Accepted, NotRun, Unknown or Lost.
	Outcome Outcome
	// Impossible is set when the job can never run or finish, whatever the system does.
	Impossible bool
	// Cancelled is when the caller requested its cancellation; zero for never.
	Cancelled time.Time
	// CancelAccepted is when the system had accepted the cancellation; zero for never.
	CancelAccepted time.Time
	// Final is the state that the system reported at the end of the run.
	Final JobState
}

// JobState is the state of a job as the system reports it.
type JobState string

// States of a job as callers see them.
const (
	JobFinished  JobState = "finished"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
	// JobOpen stands for every state that is not final.
	JobOpen JobState = "open"
	// JobMissing means that the system does not know the job.
	JobMissing JobState = "missing"
)

// String describes the job in reports.
func (j *Job) String() string {
	return fmt.Sprintf("job %d %s via %s (%s, %s)", j.Op, j.ID, j.Entry, j.Outcome, j.Final)
}

// Proposal is one configuration record that an operator published.
type Proposal struct {
	Op   int
	ID   string
	Name string
	// Expected is the version that the operator meant to replace, Version the one in effect after the verdict.
	Expected, Version int64
	Deleted           bool
	Start, End        time.Time
	// Outcome is Accepted, Conflict, NotRun or Unknown.
	Outcome Outcome
}

// String describes the proposal in reports.
func (p *Proposal) String() string {
	return fmt.Sprintf("proposal %d %s of %s on version %d (%s)", p.Op, p.ID, p.Name, p.Expected, p.Outcome)
}

// Reading is the configuration that one process showed.
type Reading struct {
	Op int
	// Process identifies one start of a process, such as entry-1#2.
	Process    string
	Ready      bool
	Start, End time.Time
	// Versions are the versions in effect by record name.
	Versions map[string]int64
}

// String describes the reading in reports.
func (r *Reading) String() string { return fmt.Sprintf("reading %d of %s", r.Op, r.Process) }

// Append is one append as the log saw it.
type Append struct {
	Op      int
	Stream  string
	Records int
	At      time.Time
	// Outcome is Accepted, Lost when it took effect without an answer, or NotRun.
	Outcome Outcome
}

// ExcessConnection is a connection to a target that was opened over the target's limit.
type ExcessConnection struct {
	Op     int
	Target string
	// Open is the number of open connections, including this one.
	Open int
	At   time.Time
}

// String describes the connection in reports.
func (o *ExcessConnection) String() string { return fmt.Sprintf("connection %d to %s", o.Op, o.Target) }

// IncidentKind is a kind of planned event or fault.
type IncidentKind string

// Kinds of incidents that the checks take into account.
const (
	// ProcessUp is one start of a process; its Start is when it first served.
	ProcessUp IncidentKind = "process-up"
	// ProcessStop is a planned stop: from the signal to the end of the process.
	ProcessStop IncidentKind = "process-stop"
	// ProcessKill is an abrupt end.
	ProcessKill IncidentKind = "process-kill"
	// ProcessPause is an interval in which a process was suspended.
	ProcessPause IncidentKind = "process-pause"
	// TargetLeave is a planned departure: Start is when a process had accepted the announcement.
	TargetLeave IncidentKind = "target-leave"
	// TargetCrash is an abrupt end of a target.
	TargetCrash IncidentKind = "target-crash"
	// WorkerCrash is an abrupt end of a worker.
	WorkerCrash IncidentKind = "worker-crash"
)

// Incident is one planned event or fault. End is zero while it lasts.
type Incident struct {
	Op         int
	Kind       IncidentKind
	Subject    string
	Start, End time.Time
	// Err says why a planned stop failed.
	Err string
}

// String describes the incident in reports.
func (i *Incident) String() string {
	return fmt.Sprintf("incident %d: %s of %s", i.Op, i.Kind, i.Subject)
}
