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
	// sweepInterval is the time between two checks of what only time changes: expired leases, slowed
	// services, old ended tasks.
	sweepInterval = 250 * time.Millisecond
	// discoveryTime is how long a new owner waits before it reports that no worker could hold a task, so
	// that the workers are known by then.
	discoveryTime = 5 * time.Second
	// snapshotRetryInterval is the least time between two attempts at a snapshot.
	snapshotRetryInterval = 3 * time.Second
	// defaultSnapshotAge is how old a snapshot may become when few entries are added.
	defaultSnapshotAge = 5 * time.Minute
	// pauseThreshold is the time between two rounds above which the owner counts as having been paused or
	// without its lease.
	pauseThreshold = time.Second
	// leaseMargin is added to a task lease because clocks run at different rates.
	leaseMargin = 500 * time.Millisecond
)

// owner is the state of a core while it owns the cell; it is built anew for each epoch.
type owner struct {
	core       *Core
	epoch      logsvc.Offset
	ownedSince time.Time
	// pollingSince is since when workers have been synced without a pause, and lastRound the time of the
	// newest round.
	pollingSince time.Time
	lastRound    time.Time

	workers        map[string]*worker
	sortedWorkers  []*worker // by name, so that decisions are deterministic
	membersVersion int

	queue  *queue.Queue
	shares *queue.Shares
	// configured are the workspaces that the configuration names.
	configured map[string]queue.Policy
	outbox     outbox
	// assumed are assignments that are decided and not yet folded, by task.
	assumed   map[string]Assign
	holds     map[string]hold
	evictions map[attemptKey]*eviction

	racks            map[string]map[string]int // replicas of each service by rack
	racksStale       bool
	evictionsAdopted bool
	lastSweep        time.Time
	lastSnapshot     time.Time
}

// newOwner returns an owner that starts from the current fold.
func newOwner(c *Core, now time.Time, epoch logsvc.Offset) *owner {
	o := &owner{
		core: c, epoch: epoch, ownedSince: now, workers: map[string]*worker{}, outbox: newOutbox(),
		assumed: map[string]Assign{}, holds: map[string]hold{}, evictions: map[attemptKey]*eviction{},
		shares: queue.NewShares(resource.Vector{}), racksStale: true, membersVersion: -1, lastSnapshot: now,
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
	// The fold used above already contains the changes of this step.
	c.state.changes = c.state.changes[:0]
	return o
}

// applyPolicies applies the configuration to the workspaces, and to the workers in the next round.
func (o *owner) applyPolicies() {
	for name := range o.configured {
		o.shares.SetPolicy(name, queue.Policy{})
	}
	o.configured = o.core.policies.Workspaces
	for name, p := range o.configured {
		o.shares.SetPolicy(name, p)
	}
	o.membersVersion = -1
}

// worker returns the state of a worker and creates it when the worker is new.
func (o *owner) worker(name string) *worker {
	w := o.workers[name]
	if w == nil {
		w = newWorker(name)
		o.workers[name] = w
		o.sortedWorkers = append(o.sortedWorkers, w)
		slices.SortFunc(o.sortedWorkers, func(a, b *worker) int { return strings.Compare(a.name, b.name) })
	}
	return w
}

// advance runs one round and adds its actions to out.
func (o *owner) advance(now time.Time, out []Action) []Action {
	if now.Sub(o.lastRound) > pauseThreshold {
		o.pollingSince = now
	}
	o.lastRound = now
	o.updateWorkers(now)
	o.applyChanges(now)
	if now.Sub(o.lastSweep) >= sweepInterval {
		o.lastSweep = now
		o.expireLeases(now)
		if !o.outbox.stuck(now) {
			o.protect(now)
			o.evictDrained(now)
		}
		o.compact(now)
		o.requeueParked(now)
		out = o.snapshot(now, out)
	}
	o.advanceEvictions(now)
	for _, w := range o.sortedWorkers {
		if w.needsReconcile {
			o.reconcile(w)
		}
	}
	if !o.core.leaving && !o.outbox.stuck(now) {
		o.schedule(now)
	}
	out = o.syncs(now, out)
	if env := o.outbox.nextRecord(now, o.core.opt.Self, o.epoch, o.lastBatch()); env != nil {
		out = append(out, Append{Record: *env, Epoch: o.epoch})
	}
	return out
}

// lastBatch returns the number of the newest folded batch of this epoch.
func (o *owner) lastBatch() int64 {
	if o.core.state.epoch != o.epoch {
		return 0
	}
	return o.core.state.batch
}

// updateWorkers applies changes of the announced workers, and drops workers that are not announced and have
// no held or assumed tasks.
func (o *owner) updateWorkers(now time.Time) {
	if o.membersVersion == o.core.membersVersion {
		return
	}
	o.membersVersion = o.core.membersVersion
	var total resource.Vector
	for _, w := range o.sortedWorkers {
		w.announced = false
	}
	for name, m := range o.core.members {
		w := o.worker(name)
		w.member, w.announced, w.stale = m, true, true
		o.updateDrain(now, w)
		total = total.Add(m.Capacity)
	}
	o.sortedWorkers = slices.DeleteFunc(o.sortedWorkers, func(w *worker) bool {
		gone := !w.announced && o.core.state.held[w.name] == nil && len(w.assumed) == 0
		if gone {
			delete(o.workers, w.name)
		}
		return gone
	})
	o.shares.SetTotal(total)
	o.queue.Unpark()
	o.queue.Wake()
}

// updateDrain sets whether a worker is drained and when its remaining tasks are evicted.
func (o *owner) updateDrain(now time.Time, w *worker) {
	after, drained := o.core.drained(w.member)
	if drained && !w.drained {
		w.drainedAt = now
	}
	w.drained, w.evictAt = drained, w.drainedAt.Add(after)
}

// applyChanges applies the changes of the fold since the last round.
func (o *owner) applyChanges(now time.Time) {
	for _, ch := range o.core.state.changes {
		t := ch.task
		if a, ok := o.assumed[t.ID]; ok && (!t.Waits() || t.Attempt >= a.Attempt) {
			o.dropAssumed(now, a)
		}
		switch {
		case ch.heldAfter && !ch.heldBefore:
			o.shares.Charge(now, t.Workspace, t.lane(), ch.reserve)
			o.taskChanged(ch)
		case ch.heldAfter:
			o.taskChanged(ch)
		case ch.heldBefore:
			o.attemptEnded(now, ch)
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
			o.core.tracker.Done(t.ID)
		}
	}
	o.core.state.changes = o.core.state.changes[:0]
}

// attemptEnded applies the end of an attempt.
func (o *owner) attemptEnded(now time.Time, ch change) {
	t := ch.task
	o.shares.Refund(now, t.Workspace, t.lane(), ch.reserve)
	o.queue.Wake()
	key := attemptKey{t.ID, ch.attempt}
	delete(o.evictions, key)
	if t.Service != "" {
		o.racksStale = true
	}
	if w := o.workers[ch.worker]; w != nil {
		w.stale, w.needsReconcile = true, true
		w.dropAttempt(key)
	}
	switch ch.event {
	case EventFinish:
		o.core.tracker.Ended(now, ch.worker, t.ID, false)
	case EventFail, EventFailFinal:
		o.core.tracker.Ended(now, ch.worker, t.ID, true)
	default:
		o.core.tracker.Removed(ch.worker, t.ID)
	}
}

// taskChanged marks a worker for reconciliation after a change of a task it holds, and for a sync at once
// unless the task only began to run.
func (o *owner) taskChanged(ch change) {
	w := o.worker(ch.worker)
	w.stale, w.needsReconcile = true, true
	w.syncNow = w.syncNow || ch.event != EventRun
	if ch.task.Service != "" {
		o.racksStale = true
	}
}

// dropAssumed drops an assumed assignment and refunds its charge.
func (o *owner) dropAssumed(now time.Time, a Assign) {
	delete(o.assumed, a.Task)
	w := o.worker(a.Worker)
	delete(w.assumed, a.Task)
	w.stale = true
	if t := o.core.state.tasks[a.Task]; t != nil {
		o.shares.Refund(now, t.Workspace, t.lane(), a.Reserve)
	}
}

// enqueue puts a waiting task into the queue.
func (o *owner) enqueue(now time.Time, t *Task) {
	if _, ok := o.assumed[t.ID]; ok {
		return
	}
	o.queue.Add(queue.Item{
		ID: t.ID, Workspace: t.Workspace, Lane: t.lane(), Urgent: o.core.urgent(t),
		Demand: o.core.reservation(t), Order: int64(t.Accepted), QueuedAt: now,
	})
}

// sortedByID returns tasks in order of id, so that decisions are deterministic.
func sortedByID(tasks map[string]*Task) []*Task {
	out := make([]*Task, 0, len(tasks))
	for _, t := range tasks {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b *Task) int { return strings.Compare(a.ID, b.ID) })
	return out
}
