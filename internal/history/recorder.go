package history

import (
	"maps"
	"sync"
	"time"
)

// History holds everything that was observed in one run.
type History struct {
	// Slots and Conns are the limits of targets, Capacity the resources of workers, each by name.
	Slots    map[string]int
	Conns    map[string]int
	Capacity map[string]Amount

	Requests          []*Request
	Runs              []*Run
	Attempts          []*Attempt
	Jobs              []*Job
	Proposals         []*Proposal
	Readings          []*Reading
	Appends           []*Append
	ExcessConnections []*ExcessConnection
	Incidents         []*Incident
	// End is when the observation ended.
	End time.Time
}

// runKey identifies one attempt of a request at one target.
type runKey struct{ target, request, attempt string }

// taskKey identifies one attempt of a task on one worker.
type taskKey struct {
	worker, task string
	attempt      int
}

// Recorder collects a history from many goroutines. Use NewRecorder to make one.
type Recorder struct {
	mu    sync.Mutex
	h     History
	ops   int
	runs  map[runKey]*Run
	tasks map[taskKey]*Attempt
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{
		h:    History{Slots: map[string]int{}, Conns: map[string]int{}, Capacity: map[string]Amount{}},
		runs: map[runKey]*Run{}, tasks: map[taskKey]*Attempt{},
	}
}

// nextOp returns the number of a new operation. The caller holds the lock.
func (r *Recorder) nextOp() int {
	r.ops++
	return r.ops
}

// Target records the slots and the connection limit of a target.
func (r *Recorder) Target(name string, slots, conns int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.h.Slots[name], r.h.Conns[name] = slots, conns
}

// ConnectionOpened records how many connections a target had after one was opened, if they exceed its limit.
func (r *Recorder) ConnectionOpened(target string, open int, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if open > r.h.Conns[target] {
		r.h.ExcessConnections = append(r.h.ExcessConnections, &ExcessConnection{Op: r.nextOp(), Target: target, Open: open, At: at})
	}
}

// Worker records the capacity of a worker.
func (r *Recorder) Worker(name string, capacity Amount) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.h.Capacity[name] = capacity
}

// Request adds a request whose outcome was seen.
func (r *Recorder) Request(q Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q.Op = r.nextOp()
	r.h.Requests = append(r.h.Requests, &q)
}

// RunArrived adds an arrival at a target before it is known whether it runs.
func (r *Recorder) RunArrived(run Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.Op = r.nextOp()
	r.h.Runs = append(r.h.Runs, &run)
	r.runs[runKey{run.Target, run.RequestID, run.Attempt}] = &run
}

// RunStarted records that a run started at its target. A second start, or one without an arrival, adds a run.
func (r *Recorder) RunStarted(target, request, attempt string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := runKey{target, request, attempt}
	run := r.runs[key]
	if run == nil || !run.Start.IsZero() {
		run = &Run{Op: r.nextOp(), Target: target, RequestID: request, Attempt: attempt, Arrived: at}
		r.h.Runs = append(r.h.Runs, run)
		r.runs[key] = run
	}
	run.Start = at
}

// RunEnded records that a run ended at its target; only its first end counts.
func (r *Recorder) RunEnded(target, request, attempt string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run := r.runs[runKey{target, request, attempt}]; run != nil && run.End.IsZero() {
		run.End = at
	}
}

// TargetCrashed ends every run in progress at a target.
func (r *Recorder) TargetCrashed(target string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.h.Runs {
		if run.Target == target && !run.Start.IsZero() && run.End.IsZero() {
			run.End = at
		}
	}
}

// TaskStarted adds an attempt of a task.
func (r *Recorder) TaskStarted(a Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.Op = r.nextOp()
	r.h.Attempts = append(r.h.Attempts, &a)
	r.tasks[taskKey{a.Worker, a.Task, a.Attempt}] = &a
}

// TaskEnded records how an attempt ended; only its first end counts.
func (r *Recorder) TaskEnded(worker, task string, attempt int, state string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a := r.tasks[taskKey{worker, task, attempt}]; a != nil && a.End.IsZero() {
		a.End, a.State = at, state
	}
}

// WorkerCrashed ends every attempt in progress on a worker.
func (r *Recorder) WorkerCrashed(worker string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.h.Attempts {
		if a.Worker == worker && a.End.IsZero() {
			a.End, a.State = at, StateCrashed
		}
	}
}

// Job adds a submitted job.
func (r *Recorder) Job(j Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j.Op = r.nextOp()
	r.h.Jobs = append(r.h.Jobs, &j)
}

// JobCancelled records that a caller requested the cancellation of a job.
func (r *Recorder) JobCancelled(id string, at time.Time) {
	r.eachJob(id, func(j *Job) { j.Cancelled = at })
}

// CancelAccepted records that the system accepted the cancellation of a job.
func (r *Recorder) CancelAccepted(id string, at time.Time) {
	r.eachJob(id, func(j *Job) { j.CancelAccepted = at })
}

// JobFinal records the state of a job that the system reports at the end.
func (r *Recorder) JobFinal(id string, s JobState) {
	r.eachJob(id, func(j *Job) { j.Final = s })
}

// eachJob calls f for the submissions of a job.
func (r *Recorder) eachJob(id string, f func(*Job)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, j := range r.h.Jobs {
		if j.ID == id {
			f(j)
		}
	}
}

// Proposal adds a published record whose verdict was seen.
func (r *Recorder) Proposal(p Proposal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.Op = r.nextOp()
	r.h.Proposals = append(r.h.Proposals, &p)
}

// Reading adds a reading of the configuration of a process.
func (r *Recorder) Reading(rd Reading) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rd.Op = r.nextOp()
	r.h.Readings = append(r.h.Readings, &rd)
}

// Append adds one append that the log saw.
func (r *Recorder) Append(a Append) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.Op = r.nextOp()
	r.h.Appends = append(r.h.Appends, &a)
}

// Incident adds a planned event or fault and returns a function that records its end.
func (r *Recorder) Incident(kind IncidentKind, subject string, at time.Time) func(at time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := &Incident{Op: r.nextOp(), Kind: kind, Subject: subject, Start: at}
	r.h.Incidents = append(r.h.Incidents, i)
	return func(at time.Time, err error) {
		r.mu.Lock()
		defer r.mu.Unlock()
		i.End = at
		if err != nil {
			i.Err = err.Error()
		}
	}
}

// Jobs returns copies of the jobs submitted so far.
func (r *Recorder) Jobs() []Job {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Job, len(r.h.Jobs))
	for i, j := range r.h.Jobs {
		out[i] = *j
	}
	return out
}

// History returns a copy of what was observed so far; now is the end of the observation.
func (r *Recorder) History(now time.Time) *History {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &History{
		Slots: maps.Clone(r.h.Slots), Conns: maps.Clone(r.h.Conns), Capacity: maps.Clone(r.h.Capacity),
		Requests: clone(r.h.Requests), Runs: clone(r.h.Runs), Attempts: clone(r.h.Attempts),
		Jobs: clone(r.h.Jobs), Proposals: clone(r.h.Proposals), Readings: clone(r.h.Readings),
		Appends: clone(r.h.Appends), ExcessConnections: clone(r.h.ExcessConnections), Incidents: clone(r.h.Incidents), End: now,
	}
}

// clone copies a slice of pointers and what they point to.
func clone[T any](in []*T) []*T {
	out := make([]*T, len(in))
	for i, p := range in {
		v := *p
		out[i] = &v
	}
	return out
}
