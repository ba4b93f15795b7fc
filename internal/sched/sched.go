// Package sched decides what runs where in one cell. It takes events with a time and returns records to
// store and orders to guards; it does no I/O, reads no clock and starts no goroutine.
//
// Invariants:
//   - A run is ordered only after a record that names its worker and number has been stored.
//   - A task has a new run only once its last one has surely ended: its end was reported, its worker
//     said that it is absent, the worker's life is over, or the worker's lease has surely lapsed.
//   - A worker forgets an end only after a record with its effect has been stored.
//   - What may be on a worker counts against its capacity until its end is known.
package sched

import (
	"maps"
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/interfere"
	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
	"github.com/crocusspring/crocusspring/internal/store"
)

// Options are the fixed parameters of a core.
type Options struct {
	// RunLease is how long runs outlive the last clock reading that was echoed to their guard.
	RunLease time.Duration
	// EchoStretch is how long an owner goes on echoing after its own lease has ended.
	EchoStretch time.Duration
	// Margin is added to every lapse for the granularity of clocks and timers.
	Margin time.Duration
	// Keep is how long the state of an ended job can be asked for.
	Keep time.Duration
}

// clockDrift is by how much a worker's steady clock may be slow, as a divisor: 1/50 is 2%.
const clockDrift = 50

// lapse returns after what time without an echo the runs of a worker have surely ended.
func (o Options) lapse() time.Duration { return o.RunLease + o.RunLease/clockDrift + o.Margin }

// Batch is a set of records that are stored together.
type Batch struct {
	Seq     int64
	Records []store.Record
}

// Orders are what is to be sent to the guard of one worker, by the worker's ID.
type Orders map[string]*link.OwnerMessage

// Core is the state of one ownership of the cell. Use New to make one.
type Core struct {
	opt     Options
	round   round // the round of scheduling that is under way or was the last
	jobs    map[string]*jobState
	open    []*jobState
	workers map[string]*worker
	// order lists the workers by id, so that every run decides alike.
	order []*worker
	// dirty jobs have changed since their last record; gated is what may only be sent once they are stored.
	dirty map[string]*jobState
	gated Orders
	// placed holds the nodes of workers that have to be stored, by worker; empty for one that is gone.
	placed map[string]string
	// flying is the batch whose append has not been answered.
	flying *flight
	seq    int64
	ready  Orders
	notes  []Note
	// samples are the times measured since they were asked for.
	samples []Sample
	// durations holds what was learned about the duration of tasks.
	durations durations
	health    *health
	tails     *interfere.Tails
	// questions are to be asked of the policy service, asking are the steps with one on its way.
	questions []Question
	asking    map[string]*step
	// ends counts the runs that have ended.
	ends int
	// swept is when what only time changes was looked at last.
	swept time.Time
	// fillersAt is when fillers are placed next.
	fillersAt time.Time
	// learnedAt is when what was learned was stored last.
	learnedAt time.Time
}

// flight is a batch on its way to the store, with what waits for it.
type flight struct {
	seq    int64
	orders Orders
	shown  map[*jobState]State
}

// Note is one decision, for the log.
type Note struct {
	// Decision is the kind of decision, Subject the task, job or worker it is about.
	Decision event.Message
	Subject  string
	// Reason holds the inputs that decided it.
	Reason string
}

// New returns a core without jobs or workers.
func New(opt Options) *Core {
	return &Core{
		opt: opt, jobs: map[string]*jobState{}, workers: map[string]*worker{},
		dirty: map[string]*jobState{}, placed: map[string]string{}, gated: Orders{}, ready: Orders{}, durations: durations{},
		health: newHealth(), asking: map[string]*step{}, tails: interfere.NewTails(),
	}
}

// LearnedKey is the key of the record that holds what was learned about tasks, beside those of jobs.
const LearnedKey = "learned"

// workerPrefix begins the keys of records that name the node beside a worker. A successor learns from
// them which earlier lives a new one has replaced.
const workerPrefix = "w/"

// learnedEvery is the time between two records of what was learned.
const learnedEvery = 3 * time.Second

// appendLearned adds what was learned to a batch that is stored anyway, now and then.
func (c *Core) appendLearned(now time.Time, b *Batch) {
	if now.Sub(c.learnedAt) < learnedEvery {
		return
	}
	c.learnedAt = now
	data, err := c.tails.Encode()
	if err != nil {
		c.note(event.Learn, "tails", err.Error())
		return
	}
	b.Records = append(b.Records, store.Record{Key: LearnedKey, Value: data})
}

// Flush returns the next batch to store, if anything has changed and none is on its way.
func (c *Core) Flush(now time.Time) (Batch, bool) {
	if c.flying != nil || len(c.dirty) == 0 && len(c.gated) == 0 && len(c.placed) == 0 {
		return Batch{}, false
	}
	c.seq++
	f := &flight{seq: c.seq, orders: c.gated, shown: map[*jobState]State{}}
	b := Batch{Seq: c.seq}
	for _, id := range slices.Sorted(maps.Keys(c.dirty)) {
		j := c.dirty[id]
		b.Records = append(b.Records, store.Record{Key: id, Value: j.encode()})
		f.shown[j] = j.state
	}
	for _, id := range slices.Sorted(maps.Keys(c.placed)) {
		b.Records = append(b.Records, store.Record{Key: workerPrefix + id, Value: []byte(c.placed[id])})
	}
	clear(c.placed)
	if len(b.Records) > 0 {
		c.appendLearned(now, &b)
	}
	c.dirty, c.gated, c.flying = map[string]*jobState{}, Orders{}, f
	return b, true
}

// Stored says that a batch stands in the store.
func (c *Core) Stored(seq int64) {
	f := c.flying
	if f == nil || f.seq != seq {
		return
	}
	c.flying = nil
	for j, s := range f.shown {
		j.shown = s
	}
	for id, d := range f.orders {
		c.release(id, d)
	}
}

// release hands gated orders on. Starts that were overtaken by a stop are not sent.
func (c *Core) release(id string, d *link.OwnerMessage) {
	w := c.workers[id]
	if w == nil || !w.attached {
		return
	}
	out := c.ordersFor(c.ready, id)
	for _, s := range d.Start {
		if t := c.task(s.Task); t != nil && t.run == s.Run && t.state == stateAssigned {
			t.told = true
			out.Start = append(out.Start, s)
		}
	}
	out.Stop = append(out.Stop, d.Stop...)
	out.AckedEnd = max(out.AckedEnd, d.AckedEnd)
}

// Orders returns what can be sent to guards now.
func (c *Core) Orders() Orders {
	if len(c.ready) == 0 {
		return nil
	}
	out := c.ready
	c.ready = Orders{}
	return out
}

// Notes returns the decisions since the last call.
func (c *Core) Notes() []Note {
	out := c.notes
	c.notes = nil
	return out
}

// note keeps a decision for the log.
func (c *Core) note(decision event.Message, subject, reason string) {
	c.notes = append(c.notes, Note{decision, subject, reason})
}

// ordersFor returns the orders of a worker in a set.
func (c *Core) ordersFor(set Orders, id string) *link.OwnerMessage {
	d := set[id]
	if d == nil {
		d = &link.OwnerMessage{}
		set[id] = d
	}
	return d
}

// touch marks a job as changed.
func (c *Core) touch(j *jobState) { c.dirty[j.spec.ID] = j }

// task finds a task; nil when its job isn't known or the id names none.
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
