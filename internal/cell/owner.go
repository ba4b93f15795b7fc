package cell

import (
	"slices"
	"strings"
	"time"

	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/queue"
	"github.com/crocusspring/crocusspring/internal/resource"
)

const (
	// sweepEvery is the time between two looks at what only time changes: lapsed leases, services that
	// suffer, old ended tasks.
	sweepEvery = 250 * time.Millisecond
	// settleIn is how long an owner waits before it says that no worker could hold a task, so that
	// workers have been heard of.
	settleIn = 5 * time.Second
	// snapshotRetry is the least time between two attempts at a snapshot.
	snapshotRetry = 3 * time.Second
	// snapshotAge is how long a snapshot counts when little is added.
	snapshotAge = 5 * time.Minute
	// pauseFrom is the time between two rounds from which the owner was paused or without its lease.
	pauseFrom = time.Second
	// leaseMargin is added to a task lease for clocks that run at different rates.
	leaseMargin = 500 * time.Millisecond
)

// owner is what a core does while it owns the cell; it is built anew for each epoch.
type owner struct {
	c     *Core
	epoch logsvc.Offset
	since time.Time
	// watching is since when workers have been called without a break, and rounded the newest round.
	watching time.Time
	rounded  time.Time

	workers map[string]*worker
	order   []*worker // by name, so that every run decides alike
	joined  int

	queue  *queue.Queue
	shares *queue.Shares
	// named are the workspaces that the configuration names.
	named map[string]queue.Policy
	out   outbox
	// assumed are assignments that are decided and not yet folded, by task.
	assumed map[string]Assign
	holds   map[string]hold
	evicts  map[attemptKey]*eviction

	racks      map[string]map[string]int // replicas of each service by rack
	racksStale bool
	inherited  bool
	swept      time.Time
	snapshotAt time.Time
}

// newOwner takes over the fold as it stands.
func newOwner(c *Core, now time.Time, epoch logsvc.Offset) *owner {
	o := &owner{
		c: c, epoch: epoch, since: now, workers: map[string]*worker{}, out: newOutbox(),
		assumed: map[string]Assign{}, holds: map[string]hold{}, evicts: map[attemptKey]*eviction{},
		shares: queue.NewShares(resource.Vector{}), racksStale: true, joined: -1, snapshotAt: now,
	}
	o.queue = queue.New(queue.DefaultLimits(), o.shares)
	o.applyPolicies()
	for _, t := range c.state.waiting {
		o.enqueue(now, t)
	}
	for name, tasks := range c.state.held {
		o.worker(name)
		for _, t := range tasks {
			o.shares.Charge(now, t.Workspace, t.lane(), t.Reserve)
		}
	}
	// The changes of this step are part of the fold that was taken over.
	c.state.changes = c.state.changes[:0]
	return o
}

// applyPolicies hands the configuration on.
func (o *owner) applyPolicies() {
	for name := range o.named {
		o.shares.SetPolicy(name, queue.Policy{})
	}
	o.named = o.c.policies.Workspaces
	for name, p := range o.named {
		o.shares.SetPolicy(name, p)
	}
	o.joined = -1
}

// worker returns what is known of a worker and opens it when it is new.
func (o *owner) worker(name string) *worker {
	w := o.workers[name]
	if w == nil {
		w = newWorker(name)
		o.workers[name] = w
		o.order = append(o.order, w)
		slices.SortFunc(o.order, func(a, b *worker) int { return strings.Compare(a.name, b.name) })
	}
	return w
}

// advance does one round.
func (o *owner) advance(now time.Time, out []Action) []Action {
	if now.Sub(o.rounded) > pauseFrom {
		o.watching = now
	}
	o.rounded = now
	o.roster(now)
	o.absorb(now)
	if now.Sub(o.swept) >= sweepEvery {
		o.swept = now
		o.lapse(now)
		if !o.out.stuck(now) {
			o.protect(now)
			o.move(now)
		}
		o.compact(now)
		o.reconsider(now)
		out = o.snapshot(now, out)
	}
	o.evicting(now)
	for _, w := range o.order {
		if w.unsettled {
			o.settle(w)
		}
	}
	if !o.c.leaving && !o.out.stuck(now) {
		o.schedule(now)
	}
	out = o.syncs(now, out)
	if env := o.out.take(now, o.c.opt.Self, o.epoch, o.batch()); env != nil {
		out = append(out, Append{Record: *env, Epoch: o.epoch})
	}
	return out
}

// batch returns the number of the newest folded batch of this epoch.
func (o *owner) batch() int64 {
	if o.c.state.epoch != o.epoch {
		return 0
	}
	return o.c.state.batch
}

// roster takes over which workers are announced.
func (o *owner) roster(now time.Time) {
	if o.joined == o.c.joined {
		return
	}
	o.joined = o.c.joined
	var total resource.Vector
	for _, w := range o.order {
		w.live = false
	}
	for name, m := range o.c.members {
		w := o.worker(name)
		w.member, w.live, w.stale = m, true, true
		o.drain(now, w)
		total = total.Add(m.Capacity)
	}
	o.order = slices.DeleteFunc(o.order, func(w *worker) bool {
		gone := !w.live && o.c.state.held[w.name] == nil && len(w.assumed) == 0
		if gone {
			delete(o.workers, w.name)
		}
		return gone
	})
	o.shares.SetTotal(total)
	o.queue.Unpark()
	o.queue.Wake()
}

// drain takes over whether a worker is drained.
func (o *owner) drain(now time.Time, w *worker) {
	after, drained := o.c.drained(w.member)
	if drained && !w.drained {
		w.drainedAt = now
	}
	w.drained, w.moveAt = drained, w.drainedAt.Add(after)
}

// absorb takes over what the fold changed since the last round.
func (o *owner) absorb(now time.Time) {
	for _, ch := range o.c.state.changes {
		t := ch.task
		if a, ok := o.assumed[t.ID]; ok && (!t.Waits() || t.Attempt >= a.Attempt) {
			o.unassume(now, a)
		}
		switch {
		case ch.after && !ch.before:
			o.shares.Charge(now, t.Workspace, t.lane(), ch.reserve)
			o.touch(ch)
		case ch.after:
			o.touch(ch)
		case ch.before:
			o.ended(now, ch)
		}
		if t.Waits() {
			o.enqueue(now, t)
		} else {
			o.queue.Remove(t.ID)
		}
		if !t.Waits() && !t.Held() {
			delete(o.holds, t.ID)
		}
		if t.Done() {
			o.c.track.Done(t.ID)
		}
	}
	o.c.state.changes = o.c.state.changes[:0]
}

// ended takes over the end of an attempt.
func (o *owner) ended(now time.Time, ch change) {
	t := ch.task
	o.shares.Refund(now, t.Workspace, t.lane(), ch.reserve)
	o.queue.Wake()
	key := attemptKey{t.ID, ch.attempt}
	delete(o.evicts, key)
	if t.Service != "" {
		o.racksStale = true
	}
	if w := o.workers[ch.worker]; w != nil {
		w.stale, w.unsettled = true, true
		w.drop(key)
	}
	switch ch.event {
	case EventFinish:
		o.c.track.Ended(now, ch.worker, t.ID, false)
	case EventFail, EventFailFinal:
		o.c.track.Ended(now, ch.worker, t.ID, true)
	default:
		o.c.track.Gone(ch.worker, t.ID)
	}
}

// touch notes that a worker has something to do about a held task.
func (o *owner) touch(ch change) {
	w := o.worker(ch.worker)
	w.stale, w.unsettled = true, true
	w.urge = w.urge || ch.event != EventRun
	if ch.task.Service != "" {
		o.racksStale = true
	}
}

// unassume drops an assumed assignment and what it was charged.
func (o *owner) unassume(now time.Time, a Assign) {
	delete(o.assumed, a.Task)
	w := o.worker(a.Worker)
	delete(w.assumed, a.Task)
	w.stale = true
	if t := o.c.state.tasks[a.Task]; t != nil {
		o.shares.Refund(now, t.Workspace, t.lane(), a.Reserve)
	}
}

// enqueue puts a waiting task into the queue.
func (o *owner) enqueue(now time.Time, t *Task) {
	if _, ok := o.assumed[t.ID]; ok {
		return
	}
	o.queue.Add(queue.Item{
		ID: t.ID, Workspace: t.Workspace, Lane: t.lane(), Urgent: o.c.urgent(t),
		Demand: o.c.size(t), Order: int64(t.Accepted), Since: now,
	})
}

// sorted returns tasks in order of id, so that every run decides alike.
func sorted(tasks map[string]*Task) []*Task {
	out := make([]*Task, 0, len(tasks))
	for _, t := range tasks {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b *Task) int { return strings.Compare(a.ID, b.ID) })
	return out
}
