package cell

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/crocusspring/crocusspring/internal/announce"
	"github.com/crocusspring/crocusspring/internal/lease"
	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/place"
	"github.com/crocusspring/crocusspring/internal/record"
	"github.com/crocusspring/crocusspring/internal/workerapi"
)

// Options are the fixed parameters of a core.
type Options struct {
	Cell string
	// Self is unique to this start of the process.
	Self       string
	OwnerLease time.Duration
	TaskLease  time.Duration
	// SyncEvery is the time between two syncs with a worker that has no commands waiting.
	SyncEvery time.Duration
	// MaxFailures is how often a task may fail before it is failed for good.
	MaxFailures int
}

// Event is what happens to a core: Entries, Workers, SyncDone, AppendDone or Tick.
type Event interface{ event() }

// Entries are the next entries of the cell's stream.
type Entries struct {
	Entries []logsvc.Entry
	Tail    logsvc.Offset
}

// Workers are all workers of the cell whose announcement holds.
type Workers struct{ Members []announce.Member }

// SyncDone is the answer to a Sync action.
type SyncDone struct {
	Sync Sync
	Resp workerapi.SyncResponse
	Err  error
}

// AppendDone is the answer to an Append action; its verdict is read from the stream.
type AppendDone struct {
	Append Append
	Err    error
}

// Tick says that time has passed.
type Tick struct{}

func (Entries) event()    {}
func (Workers) event()    {}
func (SyncDone) event()   {}
func (AppendDone) event() {}
func (Tick) event()       {}

// Action is what a core asks its driver to do: Append or Sync.
type Action interface{ action() }

// Append asks for records to be appended to the cell's stream.
type Append struct {
	Records []record.Envelope
	// Lease marks a lease record, which is never appended again.
	Lease bool
}

// Sync asks for one call to a worker.
type Sync struct {
	Worker string
	Addr   string
	Req    workerapi.SyncRequest
}

func (Append) action() {}
func (Sync) action()   {}

// Core is the cell as one process sees it. Use New to make one.
type Core struct {
	opt     Options
	lease   *lease.Core
	state   state
	atTail  bool
	pipe    *place.Pipeline
	workers map[string]*worker
	outbox  outbox
	// epoch is the epoch the owner's side below was built for; 0 when not the owner.
	epoch    logsvc.Offset
	ownSince time.Time
	// assumed are assigns that are decided but not yet seen in the log, by task.
	assumed map[string]Assign
	waiting map[string][]place.Refusal
	faults  []error
}

// New returns the core of a cell with an empty stream.
func New(opt Options) *Core {
	return &Core{
		opt:     opt,
		lease:   lease.New(opt.Self, opt.OwnerLease),
		state:   state{tasks: map[string]*Task{}, next: 1},
		pipe:    place.Default(nil),
		workers: map[string]*worker{},
		outbox:  newOutbox(),
		assumed: map[string]Assign{},
		waiting: map[string][]place.Refusal{},
	}
}

// Step takes one event and returns what the driver is to do.
func (c *Core) Step(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Entries:
		c.read(now, ev)
	case Workers:
		c.announced(ev.Members)
	case SyncDone:
		c.synced(now, ev)
	case AppendDone:
		if !ev.Append.Lease {
			c.outbox.done(ev.Append.Records, ev.Err)
		}
	case Tick:
	}
	return c.advance(now)
}

// read folds entries of the stream.
func (c *Core) read(now time.Time, ev Entries) {
	for _, e := range ev.Entries {
		if err := c.state.fold(now, c.lease, e); err != nil {
			c.faults = append(c.faults, fmt.Errorf("cell %s: %w", c.opt.Cell, err))
		}
		c.outbox.seen(e)
	}
	c.atTail = c.state.next >= ev.Tail
	for id, a := range c.assumed {
		if t := c.state.tasks[id]; t == nil || t.Attempt >= a.Attempt || t.State != StateQueued {
			delete(c.assumed, id)
		}
	}
}

// advance does what the new state calls for.
func (c *Core) advance(now time.Time) []Action {
	if !c.atTail {
		return nil
	}
	var out []Action
	if b, ok := c.lease.Tick(now); ok {
		out = appendLease(out, c.opt.Self, b)
	}
	c.checkOwner(now)
	if c.epoch != 0 {
		c.lapse(now)
		c.schedule(now)
		out = append(out, c.syncs(now)...)
	}
	if recs := c.outbox.take(); recs != nil {
		out = append(out, Append{Records: recs})
	}
	return out
}

// appendLease adds the append of a lease record. It goes alone: its answer is settled by reading.
func appendLease(out []Action, self string, b lease.Body) []Action {
	env, err := record.New(record.NewID(), record.KindLease, SchemaVersion, self, b)
	if err != nil {
		return out
	}
	return append(out, Append{Records: []record.Envelope{env}, Lease: true})
}

// checkOwner resets the owner's side when the ownership changed.
func (c *Core) checkOwner(now time.Time) {
	epoch, ok := c.lease.Owner(now)
	if !ok {
		epoch = 0
	}
	if epoch == c.epoch {
		return
	}
	c.epoch, c.ownSince = epoch, now
	c.outbox = newOutbox()
	clear(c.assumed)
	for _, w := range c.workers {
		w.reset()
	}
}

// queued returns the tasks that wait for a worker: urgent ones first, then in order of acceptance.
func (c *Core) queued() []*Task {
	var out []*Task
	for _, t := range c.state.tasks {
		if _, busy := c.assumed[t.ID]; t.State == StateQueued && !busy {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b *Task) int {
		if a.Urgent != b.Urgent {
			if a.Urgent {
				return -1
			}
			return 1
		}
		if a.Accepted != b.Accepted {
			return int(a.Accepted - b.Accepted)
		}
		return strings.Compare(a.ID, b.ID)
	})
	return out
}

// schedule places queued tasks on workers that have been fenced under this epoch.
func (c *Core) schedule(now time.Time) {
	open := c.openWorkers()
	clear(c.waiting)
	for _, t := range c.queued() {
		pt := &place.Task{ID: t.ID, Class: t.Class, Reserve: t.Declare}
		w, refusals := c.pipe.Select(pt, open)
		if w == nil {
			c.waiting[t.ID] = refusals
			continue
		}
		w.Reserved = w.Reserved.Add(t.Declare)
		a := Assign{
			Epoch: c.epoch, Task: t.ID, Attempt: t.Attempt + 1, Worker: w.Name,
			Reserve: t.Declare, Resume: t.Checkpoint,
		}
		c.assumed[t.ID] = a
		c.outbox.add(record.KindAssign, c.opt.Self, a)
	}
}

// Owner reports whether this process owns the cell now, and under which epoch.
func (c *Core) Owner(now time.Time) (logsvc.Offset, bool) { return c.lease.Owner(now) }

// Holder returns the owner in log order.
func (c *Core) Holder() (string, logsvc.Offset) { return c.lease.Holder() }

// Ready reports whether the fold has reached the tail of the stream.
func (c *Core) Ready() bool { return c.atTail }

// Task returns a copy of a task.
func (c *Core) Task(id string) (Task, bool) {
	t := c.state.tasks[id]
	if t == nil {
		return Task{}, false
	}
	return *t, true
}

// Tasks returns copies of all tasks in no particular order.
func (c *Core) Tasks() []Task {
	out := make([]Task, 0, len(c.state.tasks))
	for _, t := range c.state.tasks {
		out = append(out, *t)
	}
	return out
}

// Waiting returns why a queued task was not placed in the newest round.
func (c *Core) Waiting(id string) []place.Refusal { return c.waiting[id] }

// Faults returns what was wrong with entries of the stream and forgets it.
func (c *Core) Faults() []error {
	out := c.faults
	c.faults = nil
	return out
}

// Leave gives the ownership back at the next tick and never takes it again.
func (c *Core) Leave() { c.lease.Leave() }
