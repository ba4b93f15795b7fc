// Package sched is the scheduler of one cell. It takes timestamped events and returns records to store and
// commands for guards; it does no I/O, reads no clock and starts no goroutine.
//
// Invariants:
//   - A start is sent only after a record with its worker and run number has been stored.
//   - A task gets a new run only once its previous one must have ended: its end was reported, its worker
//     reported it absent, the worker's incarnation is over, or the worker's lease must have expired. A
//     speculative task may also have a copy; see runCopy.
//   - An end is acknowledged to a worker only after a record with its effect has been stored.
//   - A run that may be on a worker counts against its capacity until its end is known.
package sched

import (
	"maps"
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/interfere"
	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
	"github.com/crocusspring/crocusspring/internal/spread"
	"github.com/crocusspring/crocusspring/internal/store"
)

// Options are the fixed parameters of a Core.
type Options struct {
	// RunLease is how long runs continue after the last clock reading that was echoed to their guard.
	RunLease time.Duration
	// RunLeaseExtension is how long an owner may go on extending the leases of runs, by echoes, after its own
	// lease has ended.
	RunLeaseExtension time.Duration
	// HalfQuorumTime is how long more than half of the guards suffice for that; then it takes all of them.
	HalfQuorumTime time.Duration
	// GuardSilence is how long an owner may go on with that after the newest of its messages that most guards have confirmed.
	GuardSilence time.Duration
	// Margin is added to every expiry delay for the granularity of clocks and timers.
	Margin time.Duration
	// JobRetention is how long the state of an ended job can be queried.
	JobRetention time.Duration
	// MaxOpenTasks is how many tasks may be held in memory before further ones wait until some have ended; 0 means no limit.
	MaxOpenTasks int
	// JobMemory is how much memory jobs may take as they were accepted, in bytes; 0 means no limit. Entries learn what is left of it.
	JobMemory int64
	// RecordBytes bounds a stored record with its key; 0 means no limit.
	RecordBytes int
	// LinkTime is how long after the beginning guards may take to link: tasks of new jobs that are to be spread aren't placed before.
	LinkTime time.Duration
	// Node names the guard whose process runs the core: its machine goes together with the owner.
	Node string
}

// clockDrift bounds how slow a worker's monotonic clock may run, as a divisor: 1/50 is 2%.
const clockDrift = 50

// expiryDelay returns how long after the last echo all runs of a worker must have ended.
func (o Options) expiryDelay() time.Duration { return o.RunLease + o.RunLease/clockDrift + o.Margin }

// SetTimeOfDay sets the time of day, in Unix milliseconds, at the time now. Without it the one that now carries is
// used. A time of day that jumps opens occurrences too early or too late.
func (c *Core) SetTimeOfDay(now time.Time, unixMS int64) { c.unixAt, c.unixMS = now, unixMS }

// timeOfDay returns the time of day in Unix milliseconds.
func (c *Core) timeOfDay(now time.Time) int64 {
	if c.unixAt.IsZero() {
		return now.UnixMilli()
	}
	return c.unixMS + now.Sub(c.unixAt).Milliseconds()
}

// SetMaxAge bounds the age of jobs that are submitted from now on: the caller knows that they were accepted since. The
// clocks of the entries that accepted them may be wrong.
func (c *Core) SetMaxAge(d time.Duration) { c.maxAge = d }

// age returns the time since a job was accepted.
func (c *Core) age(now time.Time, spec *job.Spec) time.Duration {
	age := max(0, time.Duration(c.timeOfDay(now)-spec.AcceptedMS)*time.Millisecond)
	if c.maxAge > 0 {
		age = min(age, c.maxAge)
	}
	return age
}

// Batch is a set of records that are stored together.
type Batch struct {
	Seq     int64
	Records []store.Record
}

// Commands holds the message to be sent to each guard, by worker ID.
type Commands map[string]*link.OwnerMessage

// Core is the scheduling state of a cell under one ownership. Use New to create one.
type Core struct {
	opt   Options
	round round // the scheduling round in progress, or the last one
	jobs  map[string]*jobState
	// tasks is the number of tasks of all jobs that are held in memory.
	tasks int
	// specMemory is the memory of all jobs as they were accepted, in bytes.
	specMemory int64
	openJobs   []*jobState
	// cancelled are the jobs that aren't known and were cancelled, with the time when that was read.
	cancelled map[string]time.Time
	workers   map[string]*worker
	// sortedWorkers lists the workers by ID, so that scheduling is deterministic.
	sortedWorkers []*worker
	// strayOn are the workers with runs that no task accounts for, and some that had them; see hasStrayRun.
	strayOn map[*worker]struct{}
	// lateStarts are the tasks with late starts.
	lateStarts map[*task]struct{}
	// dirty holds the jobs changed since their last record; gatedCommands may be sent only once those are stored.
	dirty         map[string]*jobState
	gatedCommands Commands
	// dirtyNodes holds the node names to store, by worker; empty for a worker that was removed.
	dirtyNodes map[string]string
	// inFlight is the batch whose append has not been answered.
	inFlight      *inFlightBatch
	seq           int64
	readyCommands Commands
	decisions     []DecisionRecord
	// samples are the durations measured since the last call of Samples.
	samples []Sample
	// durationRatios corrects the declared durations of tasks.
	durationRatios    durationRatios
	health            *health
	crashed           crashes
	interferenceModel *interfere.Tails
	approvals         approvals
	// capacityEvents counts the runs that have ended and the workers that have attached.
	capacityEvents int
	// drained holds the data centres in which no task starts; while drainsKnown is false, none starts anywhere.
	drained     map[string]bool
	drainsKnown bool
	standing    standstills
	// lastSweep is when the checks that depend on time alone ran last.
	lastSweep time.Time
	// nextFillerRound is when fillers are placed next.
	nextFillerRound time.Time
	// unixMS is the time of day, in Unix milliseconds, at the time unixAt; see SetTimeOfDay.
	unixMS int64
	unixAt time.Time
	guards guardQuorum
	// maxAge bounds the age of a job that is submitted, by the time of day of its entry; 0 for no bound.
	maxAge time.Duration
	// interferenceSavedAt is when the interference estimates were stored last.
	interferenceSavedAt time.Time
	fillerDemands       fillerDemands
	// beganAt is the time of the first round; newCell says that no worker was known from records.
	beganAt time.Time
	newCell bool
	// nextSpreadOut is when spreadOut looks again; crowdedSteps is what it found.
	nextSpreadOut time.Time
	crowdedSteps  int
}

// inFlightBatch is a batch being stored, with the commands and job states that take effect once it is.
type inFlightBatch struct {
	seq      int64
	commands Commands
	states   map[*jobState]State
	// nodes are the records of workers in it, provisional those under provisionalPrefix.
	nodes, provisional map[string]string
}

// DecisionRecord is one scheduling decision, for the log.
type DecisionRecord struct {
	// Decision is the kind of decision, Subject the task, job or worker it is about.
	Decision event.Message
	Subject  string
	// Reason holds the inputs of the decision.
	Reason string
}

// New returns a Core without jobs or workers.
func New(opt Options) *Core {
	return &Core{
		opt: opt, jobs: map[string]*jobState{}, cancelled: map[string]time.Time{}, workers: map[string]*worker{}, strayOn: map[*worker]struct{}{}, lateStarts: map[*task]struct{}{}, guards: newGuardQuorum(),
		dirty: map[string]*jobState{}, dirtyNodes: map[string]string{}, gatedCommands: Commands{}, readyCommands: Commands{}, durationRatios: durationRatios{},
		health: newHealth(), crashed: newCrashes(), drainsKnown: true, approvals: newApprovals(), interferenceModel: interfere.NewTails(), fillerDemands: fillerDemands{services: map[string]*spread.Demand{}},
	}
}

// InterferenceKey is the key of the record that holds the interference estimates, beside those of jobs.
const InterferenceKey = "learned"

// workerPrefix starts the keys of the records that hold the node of a worker. They tell a new owner which
// earlier incarnations a new one has replaced.
const workerPrefix = "w/"

// provisionalPrefix starts the keys of the records that hold the node of a worker while its record under workerPrefix may not be
// stored: the quorums of guards don't count them.
const provisionalPrefix = "n/"

// interferenceSaveInterval is the least time between two records of the interference estimates.
const interferenceSaveInterval = 3 * time.Second

// appendInterference adds the interference estimates to a batch that is stored anyway, unless they were
// stored less than interferenceSaveInterval ago.
func (c *Core) appendInterference(now time.Time, b *Batch) {
	if now.Sub(c.interferenceSavedAt) < interferenceSaveInterval {
		return
	}
	c.interferenceSavedAt = now
	data, err := c.interferenceModel.Encode(c.opt.RecordBytes - len(InterferenceKey) - 1)
	if err != nil {
		c.logDecision(event.Learn, "tails", err.Error())
		return
	}
	b.Records = append(b.Records, store.Record{Key: InterferenceKey, Value: data})
}

// Flush returns the next batch to store, if anything has changed and no batch is in flight. Its records may be stored by
// several appends, in order.
func (c *Core) Flush(now time.Time) (Batch, bool) {
	if c.inFlight != nil {
		return Batch{}, false
	}
	nodes, provisional := c.nodesToStore(now)
	if len(c.dirty) == 0 && len(c.gatedCommands) == 0 && len(nodes) == 0 && len(provisional) == 0 {
		return Batch{}, false
	}
	c.seq++
	f := &inFlightBatch{seq: c.seq, commands: c.gatedCommands, states: map[*jobState]State{}, nodes: nodes, provisional: provisional}
	named, removed := c.nodeBatch(nodes, provisional)
	b := Batch{Seq: c.seq, Records: named}
	for _, id := range slices.Sorted(maps.Keys(c.dirty)) {
		j := c.dirty[id]
		records, err := j.records(c.opt.RecordBytes)
		if err != nil {
			c.failUnstorable(now, j, err.Error())
			records, _ = j.records(c.opt.RecordBytes)
		}
		b.Records = append(b.Records, records...)
		f.states[j] = j.state
	}
	b.Records = append(b.Records, removed...)
	if len(b.Records) > 0 {
		c.appendInterference(now, &b)
	}
	c.dirty, c.gatedCommands, c.inFlight = map[string]*jobState{}, Commands{}, f
	return b, true
}

// Stored reports that a batch has been stored, but for records that the store has rejected, by their keys: storing them
// again can't succeed.
func (c *Core) Stored(now time.Time, seq int64, rejected ...string) {
	f := c.inFlight
	if f == nil || f.seq != seq {
		return
	}
	c.inFlight = nil
	for id, node := range f.nodes {
		if !slices.Contains(rejected, workerPrefix+id) {
			c.guards.records.settle(id, node)
		}
	}
	for id, node := range f.provisional {
		c.guards.provisional.settle(id, node)
	}
	unstored := c.jobsOf(rejected)
	for j, s := range f.states {
		if !unstored[j] {
			j.storedState = s
		}
	}
	for j := range unstored {
		c.failUnstorable(now, j, "the store rejects its progress")
	}
	for id, d := range f.commands {
		if len(rejected) > 0 {
			// Ends are acknowledged once the failure of the job that they may belong to is stored.
			later := c.commandsFor(c.gatedCommands, id)
			later.AckedEnd, d.AckedEnd = max(later.AckedEnd, d.AckedEnd), 0
		}
		c.releaseCommands(now, id, d)
	}
}

// releaseCommands makes gated commands ready to send. Starts of runs stopped in the meantime are dropped, and those on
// workers whose data centre was drained in the meantime, or that have shrunk, are withdrawn.
func (c *Core) releaseCommands(now time.Time, id string, d *link.OwnerMessage) {
	w := c.workers[id]
	if w == nil || !w.attached {
		return
	}
	out := c.commandsFor(c.readyCommands, id)
	free := w.free()
	for _, s := range d.Start {
		t := c.task(s.Task)
		if t == nil || t.run != s.Run || t.state != stateAssigned {
			continue
		}
		reason := c.drainRefusal(w)
		need := t.step.spec.Reserve()
		if reason == "" && !need.Fits(free.Add(need)) {
			reason = "the worker has shrunk"
		}
		if reason != "" {
			// The worker has changed while the record was being stored. The guard confirms that the run doesn't exist.
			c.stopRun(now, t, reason)
			free = free.Add(need)
			continue
		}
		t.notified, t.sent = true, true
		out.Start = append(out.Start, s)
	}
	out.Stop = append(out.Stop, d.Stop...)
	out.AckedEnd = max(out.AckedEnd, d.AckedEnd)
}

// Commands returns the commands that can be sent to guards now.
func (c *Core) Commands() Commands {
	if len(c.readyCommands) == 0 {
		return nil
	}
	out := c.readyCommands
	c.readyCommands = Commands{}
	return out
}

// Decisions returns the decisions made since the last call.
func (c *Core) Decisions() []DecisionRecord {
	out := c.decisions
	c.decisions = nil
	return out
}

// logDecision records a decision for the log.
func (c *Core) logDecision(decision event.Message, subject, reason string) {
	c.decisions = append(c.decisions, DecisionRecord{decision, subject, reason})
}

// commandsFor returns the commands for a worker in a set and creates them if there are none.
func (c *Core) commandsFor(set Commands, id string) *link.OwnerMessage {
	d := set[id]
	if d == nil {
		d = &link.OwnerMessage{}
		set[id] = d
	}
	return d
}

// markDirty marks a job as changed, so that the next batch stores it.
func (c *Core) markDirty(j *jobState) { c.dirty[j.spec.ID] = j }

// task returns a task; nil when its job isn't known or no task has that ID.
func (c *Core) task(id job.TaskID) *task {
	j := c.jobs[id.Job]
	if j == nil {
		return nil
	}
	occ := j.occurrences[id.Occurrence]
	if occ == nil || id.Step >= len(occ.steps) || id.Index >= len(occ.steps[id.Step].tasks) {
		return nil
	}
	return occ.steps[id.Step].tasks[id.Index]
}
