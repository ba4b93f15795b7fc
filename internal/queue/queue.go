// Package queue orders the tasks of a cell that wait for a worker.
//
// Urgent tasks come first, then workspaces by weighted dominant share, each in order of acceptance. A
// task that found no worker backs off, one that would not fit on any worker even if that were empty is
// parked with the reason, and neither blocks the others. A task that has waited past the ageing limit may
// hold capacity on a worker, so that smaller tasks can't starve a large one.
package queue

import (
	"cmp"
	"container/heap"
	"time"

	"github.com/crocusspring/crocusspring/internal/resource"
)

// Lane separates tasks of one workspace that must not starve each other.
type Lane int

// Lanes of a workspace.
const (
	// LaneBatch holds tasks that end by themselves.
	LaneBatch Lane = iota
	// LaneLongRunning holds tasks that run until they are cancelled.
	LaneLongRunning
	laneCount
)

// Item is one waiting task.
type Item struct {
	ID        string
	Workspace string
	Lane      Lane
	Urgent    bool
	Demand    resource.Vector
	// Order is the position in the order of acceptance; lower comes first.
	Order int64
	// QueuedAt is when the task entered the queue; its ageing is counted from then.
	QueuedAt time.Time
}

// Limits are the backoff and ageing times of a queue.
type Limits struct {
	// FirstBackoff is the first backoff; it doubles with each further one up to MaxBackoff.
	FirstBackoff time.Duration
	MaxBackoff   time.Duration
	// Ageing is how long a task waits before it may hold capacity on a worker.
	Ageing time.Duration
}

// DefaultLimits returns the limits used in production.
func DefaultLimits() Limits {
	return Limits{FirstBackoff: 100 * time.Millisecond, MaxBackoff: 5 * time.Second, Ageing: 5 * time.Second}
}

// entryState is the state of an item in the queue.
type entryState int

const (
	active entryState = iota
	backoff
	parked
	taken
)

// entry is an item with its state in the queue.
type entry struct {
	Item
	state    entryState
	backoffs int // since the task was added or unparked
	due      time.Time
	reason   string
	// index is the position in the heap of its lane or of the backoff heap.
	index int
}

// Queue holds the waiting tasks of a cell. Use New to make one.
type Queue struct {
	limits  Limits
	entries map[string]*entry
	urgent  *entryHeap
	lanes   map[string]*[laneCount]*entryHeap
	backoff *entryHeap
	shares  *Shares
	// waiting counts the active and backed-off tasks of each workspace.
	waiting map[string]int
	// wake makes every item in backoff due at the next call of Next.
	wake bool
}

// New returns an empty queue that orders workspaces by their shares.
func New(limits Limits, shares *Shares) *Queue {
	return &Queue{
		limits: limits, entries: map[string]*entry{}, urgent: newHeap(byOrder),
		lanes: map[string]*[laneCount]*entryHeap{}, backoff: newHeap(byDue), shares: shares,
		waiting: map[string]int{},
	}
}

// byOrder compares by order of acceptance.
func byOrder(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.Order, b.Order), cmp.Compare(a.ID, b.ID))
}

// byDue compares by the end of the backoff.
func byDue(a, b *entry) int { return cmp.Or(a.due.Compare(b.due), byOrder(a, b)) }

// Len returns how many tasks are in the queue, parked and taken ones included.
func (q *Queue) Len() int { return len(q.entries) }

// Has reports whether a task is in the queue.
func (q *Queue) Has(id string) bool { return q.entries[id] != nil }

// Add queues a task; a task that is already in the queue is left unchanged.
func (q *Queue) Add(it Item) {
	if q.entries[it.ID] != nil {
		return
	}
	e := &entry{Item: it}
	q.entries[it.ID] = e
	q.activate(e)
}

// Remove removes a task from the queue, whatever its state.
func (q *Queue) Remove(id string) {
	e := q.entries[id]
	if e == nil {
		return
	}
	q.detach(e)
	delete(q.entries, id)
}

// activate adds an entry to the heap that Next takes it from.
func (q *Queue) activate(e *entry) {
	e.state = active
	q.waiting[e.Workspace]++
	heap.Push(q.activeHeap(e), e)
}

// detach removes an entry from its heap, if it is in one.
func (q *Queue) detach(e *entry) {
	switch e.state {
	case active:
		heap.Remove(q.activeHeap(e), e.index)
		q.waiting[e.Workspace]--
	case backoff:
		heap.Remove(q.backoff, e.index)
		q.waiting[e.Workspace]--
	}
}

// activeHeap returns the heap of active entries that an entry belongs to.
func (q *Queue) activeHeap(e *entry) *entryHeap {
	if e.Urgent {
		return q.urgent
	}
	lanes := q.lanes[e.Workspace]
	if lanes == nil {
		lanes = &[laneCount]*entryHeap{newHeap(byOrder), newHeap(byOrder)}
		q.lanes[e.Workspace] = lanes
	}
	return lanes[e.Lane]
}

// Next takes the task to place now. The caller must then call Placed, BackOff, Park or Remove for it.
func (q *Queue) Next(now time.Time) (Item, bool) {
	q.activateDue(now)
	e := q.head(now)
	if e == nil {
		return Item{}, false
	}
	q.detach(e)
	e.state = taken
	return e.Item, true
}

// activateDue moves entries whose backoff has ended, or after Wake all entries in backoff, to the active
// heaps.
func (q *Queue) activateDue(now time.Time) {
	for q.backoff.Len() > 0 {
		e := q.backoff.items[0]
		if !q.wake && now.Before(e.due) {
			break
		}
		q.detach(e)
		q.activate(e)
	}
	q.wake = false
}

// head returns the active entry to take next, or nil.
func (q *Queue) head(now time.Time) *entry {
	if e := q.urgent.first(); e != nil {
		return e
	}
	var best *entry
	var bestKey float64
	for name, lanes := range q.lanes {
		e, key := q.laneHead(now, name, lanes)
		if e == nil {
			continue
		}
		if best == nil || key < bestKey || key == bestKey && byOrder(e, best) < 0 {
			best, bestKey = e, key
		}
	}
	return best
}

// laneHead returns the first entry of the workspace's lane that uses less, and the workspace's key; nil if
// nothing is active or the workspace is over its quota.
func (q *Queue) laneHead(now time.Time, name string, lanes *[laneCount]*entryHeap) (*entry, float64) {
	b, w := lanes[LaneBatch].first(), lanes[LaneLongRunning].first()
	if b == nil && w == nil || q.shares.OverQuota(name) {
		return nil, 0
	}
	e := b
	if b == nil || w != nil && q.shares.laneKey(name, LaneLongRunning) < q.shares.laneKey(name, LaneBatch) {
		e = w
	}
	return e, q.shares.Key(now, name)
}

// MayHold reports whether a taken task may hold capacity on a worker until it fits: it has waited past the
// ageing limit, and no workspace that has waiting tasks and is within its quota ranks before its own.
func (q *Queue) MayHold(now time.Time, it Item) bool {
	if now.Sub(it.QueuedAt) < q.limits.Ageing {
		return false
	}
	own := q.shares.Key(now, it.Workspace)
	for name, n := range q.waiting {
		if n > 0 && !q.shares.OverQuota(name) && q.shares.Key(now, name) < own {
			return false
		}
	}
	return true
}

// Placed removes a taken task that was placed on a worker from the queue.
func (q *Queue) Placed(id string) { q.Remove(id) }

// BackOff puts a taken task into backoff with the reason why no worker could take it.
func (q *Queue) BackOff(now time.Time, id, reason string) {
	e := q.entries[id]
	if e == nil || e.state != taken {
		return
	}
	delay := q.limits.MaxBackoff
	if e.backoffs < 16 {
		delay = min(delay, q.limits.FirstBackoff<<e.backoffs)
	}
	e.backoffs++
	e.due, e.reason, e.state = now.Add(delay), reason, backoff
	q.waiting[e.Workspace]++
	heap.Push(q.backoff, e)
}

// Park excludes a taken task from Next until Unpark, for example since it would not fit on any worker even
// if that were empty.
func (q *Queue) Park(id, reason string) {
	e := q.entries[id]
	if e == nil || e.state != taken {
		return
	}
	e.state, e.reason = parked, reason
}

// Wake makes all tasks in backoff due at the next call of Next, for example when capacity was freed.
func (q *Queue) Wake() { q.wake = true }

// Unpark makes parked tasks active again, for example when workers have joined.
func (q *Queue) Unpark() {
	for _, e := range q.entries {
		if e.state == parked {
			e.backoffs = 0
			q.activate(e)
		}
	}
}

// Reason returns why a task still waits, and whether it is parked.
func (q *Queue) Reason(id string) (reason string, isParked bool) {
	e := q.entries[id]
	if e == nil {
		return "", false
	}
	if e.reason == "" && !e.Urgent && q.shares.OverQuota(e.Workspace) {
		return "workspace has used up its quota", false
	}
	return e.reason, e.state == parked
}
