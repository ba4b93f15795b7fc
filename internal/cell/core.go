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

// Event is what happens to a core: Entries, Lost, Workers, Policies, Words, SyncDone, AppendDone or Tick.
type Event interface{ event() }

// Entries are the next entries of the cell's stream.
type Entries struct {
	Entries []logsvc.Entry
	// First is the oldest entry that is still kept; 0 when it isn't known.
	First logsvc.Offset
	Tail  logsvc.Offset
}

// Lost says that all entries have expired and nothing is left to start from; the next entry will be
// at Tail.
type Lost struct{ Tail logsvc.Offset }

// Workers are all workers of the cell whose announcement holds.
type Workers struct{ Members []announce.Member }

// SyncDone is the answer to a Sync action.
type SyncDone struct {
	Sync Sync
	Resp workerapi.SyncResponse
	Err  error
}

// AppendDone says that an Append action returned; its verdict is read from the stream.
type AppendDone struct{ Append Append }

// Tick says that time has passed.
type Tick struct{}

func (Entries) event()    {}
func (Lost) event()       {}
func (Workers) event()    {}
func (Policies) event()   {}
func (SyncDone) event()   {}
func (AppendDone) event() {}
func (Tick) event()       {}

// Action is what a core asks its driver to do: Append, Sync or Canvass.
type Action interface{ action() }

// Append asks for a record to be appended to the cell's stream.
type Append struct {
	Record record.Envelope
	// Epoch is the epoch under which the record was made; 0 for lease records and snapshots, which
	// may be appended by any process at any time.
	Epoch logsvc.Offset
}

// Sync asks for one call to a worker. The driver makes it only while Epoch is still owned.
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
	// read is when entries were read last, if only none.
	read time.Time
	// first is the oldest entry that was kept when entries were read last.
	first   logsvc.Offset
	members map[string]announce.Member
	// joined counts changes of the set of workers.
	joined   int
	policies Policies
	canvass  canvass
	own      *owner
	leaving  bool
	faults   []error
	notes    []Note

	// What was learned outlives an ownership.
	model   *interfere.Model
	effects *effects
	pipe    *place.Pipeline
	track   *probation.Tracker
	sizes   sizes
}

// New returns the core of a cell with an empty stream.
func New(opt Options) *Core {
	opt = opt.withDefaults()
	c := &Core{
		opt: opt, state: newState(), canvass: canvass{heard: map[string]time.Time{}}, members: map[string]announce.Member{}, sizes: sizes{},
		lease: lease.New(lease.Options{Self: opt.Self, Length: opt.OwnerLease, TaskLength: opt.TaskLease, Delay: opt.TakeDelay, Stretch: opt.Stretch}),
		model: interfere.New(), track: probation.New(probation.DefaultLimits()),
	}
	c.effects = newEffects(c.model)
	c.pipe = c.choose()
	return c
}

// Step takes one event and returns what the driver is to do.
func (c *Core) Step(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Entries:
		c.fold(now, ev)
	case Lost:
		c.lost(now, ev.Tail)
	case Workers:
		c.announced(ev.Members)
	case Policies:
		c.policies = ev
		c.pipe = c.choose()
		if c.own != nil {
			c.own.applyPolicies()
		}
	case Words:
		c.words(now, ev)
	case SyncDone:
		if c.own != nil {
			c.own.synced(now, ev)
		}
	case AppendDone:
		if c.own != nil {
			c.own.out.answered(ev.Append.Record.ID)
		}
	case Tick:
	}
	return c.advance(now)
}

// fold folds entries. It never folds across a gap.
func (c *Core) fold(now time.Time, ev Entries) {
	c.first, c.read = max(c.first, ev.First), now
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
		if c.own != nil {
			c.own.out.seen(env.ID)
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

// announced takes the newest list of workers.
func (c *Core) announced(members []announce.Member) {
	seen := make(map[string]announce.Member, len(members))
	changed := len(members) != len(c.members)
	for _, m := range members {
		old, ok := c.members[m.Name]
		changed = changed || !ok || old.Address != m.Address || old.Capacity != m.Capacity || old.Leaving != m.Leaving
		seen[m.Name] = m
	}
	c.members = seen
	if changed {
		c.joined++
	}
}

// advance does what the new state calls for.
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
	out = c.poll(now, out)
	out = c.serve(now, out)
	c.state.changes = c.state.changes[:0]
	return out
}

// serve acts as the owner while the lease holds. Between the end of a lease and its late renewal under
// the same epoch nothing is done, but what was under way is not forgotten: nobody else can have taken
// the cell in between.
func (c *Core) serve(now time.Time, out []Action) []Action {
	holder, held := c.lease.Holder()
	if c.own != nil && (holder != c.opt.Self || held != c.own.epoch) {
		c.own = nil
	}
	if _, ok := c.lease.Owner(now); !ok {
		if c.own != nil {
			c.own.absorb(now)
		}
		return out
	}
	if c.own == nil {
		c.own = newOwner(c, now, held)
		c.note(Note{Decision: DecisionTakeover, Subject: "cell " + c.opt.Cell, Reason: fmt.Sprintf("lease taken under epoch %d", held)})
	}
	return c.own.advance(now, out)
}

// Owner reports whether this process owns the cell now, and under which epoch.
func (c *Core) Owner(now time.Time) (logsvc.Offset, bool) { return c.lease.Owner(now) }

// Holder returns the owner in log order.
func (c *Core) Holder() (string, logsvc.Offset) { return c.lease.Holder() }

// Ready reports whether the fold has reached the tail of the stream.
func (c *Core) Ready() bool { return c.ready }

// Next returns the offset of the next entry to fold.
func (c *Core) Next() logsvc.Offset { return c.state.next }

// Faults returns what was wrong with entries of the stream and forgets it.
func (c *Core) Faults() []error {
	out := c.faults
	c.faults = nil
	return out
}

// Leave gives the ownership back at the next tick and never takes it again.
func (c *Core) Leave() {
	c.leaving = true
	c.lease.Leave()
}
