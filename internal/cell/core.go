package cell

import (
	"fmt"
	"time"

	"github.com/crocusspring/crocusspring/internal/announce"
	"github.com/crocusspring/crocusspring/internal/interfere"
	"github.com/crocusspring/crocusspring/internal/lease"
	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/place"
	"github.com/crocusspring/crocusspring/internal/probation"
	"github.com/crocusspring/crocusspring/internal/record"
	"github.com/crocusspring/crocusspring/internal/workerapi"
)

// Event is an input of a core: Entries, StreamExpired, Workers, Policies, PromiseResults, SyncDone,
// AppendDone or Tick.
type Event interface{ event() }

// Entries are the next entries of the cell's stream.
type Entries struct {
	Entries []logsvc.Entry
	// First is the oldest entry that is still kept; 0 when it is unknown.
	First logsvc.Offset
	Tail  logsvc.Offset
}

// StreamExpired reports that all entries have expired and nothing is left to start from; the next entry
// will be at Tail.
type StreamExpired struct{ Tail logsvc.Offset }

// Workers are all workers of the cell whose announcement is valid.
type Workers struct{ Members []announce.Member }

// SyncDone is the answer to a Sync action.
type SyncDone struct {
	Sync Sync
	Resp workerapi.SyncResponse
	Err  error
}

// AppendDone reports that an Append action returned; whether the record took effect is read from the
// stream.
type AppendDone struct{ Append Append }

// Tick reports that time has passed.
type Tick struct{}

func (Entries) event()       {}
func (StreamExpired) event() {}
func (Workers) event()       {}
func (Policies) event()      {}
func (SyncDone) event()      {}
func (AppendDone) event()    {}
func (Tick) event()          {}

// Action is what a core asks its driver to do: Append, Sync or RequestPromises.
type Action interface{ action() }

// Append asks for a record to be appended to the cell's stream.
type Append struct {
	Record record.Envelope
	// Epoch is the epoch under which the record was made; 0 for lease records and snapshots, which
	// may be appended by any process at any time.
	Epoch logsvc.Offset
}

// Sync asks for one call to a worker. The driver makes it only while the epoch of the request is still
// owned.
type Sync struct {
	Worker string
	Addr   string
	Req    workerapi.SyncRequest
}

func (Append) action() {}
func (Sync) action()   {}

// Core is the cell as one process sees it. Use New to make one.
type Core struct {
	opt   Options
	lease *lease.Core
	state state
	// ready says that the fold has reached the tail of the stream once, with no gap since.
	ready bool
	// lastRead is when the stream was read last, even if there were no new entries.
	lastRead time.Time
	// firstKept is the oldest entry that the log still kept at lastRead.
	firstKept logsvc.Offset
	members   map[string]announce.Member
	// membersVersion counts the changes of members.
	membersVersion int
	policies       Policies
	promises       promiseState
	owner          *owner
	leaving        bool
	faults         []error
	decisions      []DecisionRecord

	// The learned data below is kept when an ownership ends.
	model        *interfere.Model
	interference *interferenceCache
	pipeline     *place.Pipeline
	tracker      *probation.Tracker
	usage        usageByClass
}

// New returns the core of a cell with an empty stream.
func New(opt Options) *Core {
	opt = opt.withDefaults()
	c := &Core{
		opt: opt, state: newState(), promises: promiseState{lastAnswers: map[string]time.Time{}}, members: map[string]announce.Member{}, usage: usageByClass{},
		lease: lease.New(lease.Options{Self: opt.Self, Length: opt.OwnerLease, TaskLease: opt.TaskLease, Delay: opt.TakeDelay, MaxExtension: opt.MaxLeaseExtension}),
		model: interfere.New(), tracker: probation.New(probation.DefaultLimits()),
	}
	c.interference = newInterferenceCache(c.model)
	c.pipeline = c.choosePipeline()
	return c
}

// Step applies one event and returns the actions for the driver.
func (c *Core) Step(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Entries:
		c.fold(now, ev)
	case StreamExpired:
		c.streamExpired(now, ev.Tail)
	case Workers:
		c.setMembers(ev.Members)
	case Policies:
		c.policies = ev
		c.pipeline = c.choosePipeline()
		if c.owner != nil {
			c.owner.applyPolicies()
		}
	case PromiseResults:
		c.applyPromises(now, ev)
	case SyncDone:
		if c.owner != nil {
			c.owner.syncReturned(now, ev)
		}
	case AppendDone:
		if c.owner != nil {
			c.owner.outbox.appendReturned(ev.Append.Record.ID)
		}
	case Tick:
	}
	return c.advance(now)
}

// fold folds entries. It never folds across a gap: it stops there, and the core is no longer ready.
func (c *Core) fold(now time.Time, ev Entries) {
	c.firstKept, c.lastRead = max(c.firstKept, ev.First), now
	for _, e := range ev.Entries {
		if e.Offset > c.state.next {
			c.fault(fmt.Errorf("%w: offset %d follows %d", ErrGap, e.Offset, c.state.next-1))
			c.ready = false
			return
		}
		env, err := c.state.fold(now, c.lease, e)
		if err != nil {
			c.fault(err)
		}
		if c.owner != nil {
			c.owner.outbox.confirm(env.ID)
		}
	}
	if c.state.next >= ev.Tail {
		c.ready = true
	}
}

// fault keeps an error for the driver to report.
func (c *Core) fault(err error) {
	c.faults = append(c.faults, fmt.Errorf("cell %s: %w", c.opt.Cell, err))
}

// setMembers replaces the list of workers.
func (c *Core) setMembers(members []announce.Member) {
	seen := make(map[string]announce.Member, len(members))
	changed := len(members) != len(c.members)
	for _, m := range members {
		old, ok := c.members[m.Name]
		changed = changed || !ok || old.Address != m.Address || old.Capacity != m.Capacity || old.Leaving != m.Leaving
		seen[m.Name] = m
	}
	c.members = seen
	if changed {
		c.membersVersion++
	}
}

// advance returns the actions that the new state requires; none until the core is ready.
func (c *Core) advance(now time.Time) []Action {
	if !c.ready {
		return nil
	}
	var out []Action
	if b, ok := c.lease.Tick(now); ok {
		if env, err := record.New(record.NewID(), record.KindLease, SchemaVersion, c.opt.Self, b); err == nil {
			out = append(out, Append{Record: env})
		}
	}
	out = c.requestPromises(now, out)
	out = c.serve(now, out)
	c.state.changes = c.state.changes[:0]
	return out
}

// serve runs the owner while the lease is valid. Between the expiry of a lease and its late renewal under
// the same epoch the owner only applies changes of the fold and keeps its state, since no other process can
// have taken the cell in between.
func (c *Core) serve(now time.Time, out []Action) []Action {
	holder, held := c.lease.Holder()
	if c.owner != nil && (holder != c.opt.Self || held != c.owner.epoch) {
		c.owner = nil
	}
	if _, ok := c.lease.Owner(now); !ok {
		if c.owner != nil {
			c.owner.applyChanges(now)
		}
		return out
	}
	if c.owner == nil {
		c.owner = newOwner(c, now, held)
		c.recordDecision(DecisionRecord{Decision: DecisionTakeover, Subject: "cell " + c.opt.Cell, Reason: fmt.Sprintf("lease taken under epoch %d", held)})
	}
	return c.owner.advance(now, out)
}

// Owner reports whether this process owns the cell now, and under which epoch.
func (c *Core) Owner(now time.Time) (logsvc.Offset, bool) { return c.lease.Owner(now) }

// Holder returns the owner according to the log, and its epoch.
func (c *Core) Holder() (string, logsvc.Offset) { return c.lease.Holder() }

// Ready reports whether the fold has reached the tail of the stream.
func (c *Core) Ready() bool { return c.ready }

// Next returns the offset of the next entry to fold.
func (c *Core) Next() logsvc.Offset { return c.state.next }

// Faults returns the errors found in the stream since the last call and clears them.
func (c *Core) Faults() []error {
	out := c.faults
	c.faults = nil
	return out
}

// Leave releases the ownership at the next tick and never takes it again.
func (c *Core) Leave() {
	c.leaving = true
	c.lease.Leave()
}
