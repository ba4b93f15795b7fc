// Package queue orders the tasks of a cell that wait for a worker.
//
// Urgent tasks come first, then workspaces by weighted dominant share, each in order of acceptance. A
// task that found no worker backs off, one that no worker could ever hold is parked with the reason,
// and neither stands in the way of others. A task that has waited past the ageing limit may hold room
// on a worker, so that smaller tasks can't keep a large one out for ever.
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
	// Builds end by themselves.
	Builds Lane = iota
	// Watchers run until they are cancelled.
	Watchers
	laneCount
)

// Item is one waiting task.
type Item struct {
	ID        string
	Workspace string
	Lane      Lane
	Urgent    bool
	Demand    resource.Vector
	// Order is the place in the order of acceptance.
	Order int64
	// Since is when the task began to wait.
	Since time.Time
}

// Limits are the fixed times of a queue.
type Limits struct {
	// FirstBackoff doubles with each try up to MaxBackoff.
	FirstBackoff time.Duration
	MaxBackoff   time.Duration
	// Ageing is how long a task waits before it may hold room on a worker.
	Ageing time.Duration
}

// DefaultLimits returns the limits of the product.
func DefaultLimits() Limits {
	return Limits{FirstBackoff: 100 * time.Millisecond, MaxBackoff: 5 * time.Second, Ageing: 5 * time.Second}
}

// place says where an item stands.
type place int

const (
	active place = iota
	backoff
	parked
	taken
)

// entry is an item with its standing.
type entry struct {
	Item
	place  place
	tries  int
	due    time.Time
	reason string
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

// New returns an empty queue that orders workspaces by the given shares.
func New(limits Limits, shares *Shares) *Queue {
	return &Queue{
		limits: limits, entries: map[string]*entry{}, urgent: newHeap(byOrder),
		lanes: map[string]*[laneCount]*entryHeap{}, backoff: newHeap(byDue), shares: shares,
		waiting: map[string]int{},
	}
}

// byOrder ranks by acceptance.
func byOrder(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.Order, b.Order), cmp.Compare(a.ID, b.ID))
}

// byDue ranks by the end of the backoff.
func byDue(a, b *entry) int { return cmp.Or(a.due.Compare(b.due), byOrder(a, b)) }

// Len returns how many tasks wait, parked ones included.
func (q *Queue) Len() int { return len(q.entries) }

// Has reports whether a task waits.
func (q *Queue) Has(id string) bool { return q.entries[id] != nil }

// Add queues a task; a task that waits already is left as it is.
func (q *Queue) Add(it Item) {
	if q.entries[it.ID] != nil {
		return
	}
	e := &entry{Item: it}
	q.entries[it.ID] = e
	q.activate(e)
}

// Remove takes a task out, wherever it stands.
func (q *Queue) Remove(id string) {
	e := q.entries[id]
	if e == nil {
		return
	}
	q.detach(e)
	delete(q.entries, id)
}

// activate puts an entry where Next finds it.
func (q *Queue) activate(e *entry) {
	e.place = active
	q.waiting[e.Workspace]++
	heap.Push(q.home(e), e)
}

// detach takes an entry out of its heap.
func (q *Queue) detach(e *entry) {
	switch e.place {
	case active:
		heap.Remove(q.home(e), e.index)
		q.waiting[e.Workspace]--
	case backoff:
		heap.Remove(q.backoff, e.index)
		q.waiting[e.Workspace]--
	}
}

// home returns the heap of active entries that an entry belongs to.
func (q *Queue) home(e *entry) *entryHeap {
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

// Next takes the task to place now. The caller answers with Placed, Wait or Park.
func (q *Queue) Next(now time.Time) (Item, bool) {
	q.ripen(now)
	e := q.head(now)
	if e == nil {
		return Item{}, false
	}
	q.detach(e)
	e.place = taken
	return e.Item, true
}

// ripen moves entries whose backoff has ended to the active heaps.
func (q *Queue) ripen(now time.Time) {
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

// head returns the active entry that comes first.
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

// laneHead returns the head of the workspace's lane that has received less, and the workspace's key.
func (q *Queue) laneHead(now time.Time, name string, lanes *[laneCount]*entryHeap) (*entry, float64) {
	b, w := lanes[Builds].first(), lanes[Watchers].first()
	if b == nil && w == nil || q.shares.OverQuota(name) {
		return nil, 0
	}
	e := b
	if b == nil || w != nil && q.shares.laneKey(name, Watchers) < q.shares.laneKey(name, Builds) {
		e = w
	}
	return e, q.shares.Key(now, name)
}

// MayHold reports whether a taken task may hold room on a worker until it fits: it has waited past the
// ageing limit and no workspace with waiting tasks has received less than its own.
func (q *Queue) MayHold(now time.Time, it Item) bool {
	if now.Sub(it.Since) < q.limits.Ageing {
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

// Placed says that a taken task has found its worker; it leaves the queue.
func (q *Queue) Placed(id string) { q.Remove(id) }

// Wait puts a taken task into backoff with the reason it found no worker.
func (q *Queue) Wait(now time.Time, id, reason string) {
	e := q.entries[id]
	if e == nil || e.place != taken {
		return
	}
	pause := q.limits.MaxBackoff
	if e.tries < 16 {
		pause = min(pause, q.limits.FirstBackoff<<e.tries)
	}
	e.tries++
	e.due, e.reason, e.place = now.Add(pause), reason, backoff
	q.waiting[e.Workspace]++
	heap.Push(q.backoff, e)
}

// Park sets a taken task aside until Unpark, since no worker could hold it even when empty.
func (q *Queue) Park(id, reason string) {
	e := q.entries[id]
	if e == nil || e.place != taken {
		return
	}
	e.place, e.reason = parked, reason
}

// Wake makes all tasks in backoff due, as when room has become free.
func (q *Queue) Wake() { q.wake = true }

// Unpark brings parked tasks back, as when workers have joined.
func (q *Queue) Unpark() {
	for _, e := range q.entries {
		if e.place == parked {
			e.tries = 0
			q.activate(e)
		}
	}
}

// Reason says why a task still waits, and whether it is parked.
func (q *Queue) Reason(id string) (reason string, isParked bool) {
	e := q.entries[id]
	if e == nil {
		return "", false
	}
	if e.reason == "" && !e.Urgent && q.shares.OverQuota(e.Workspace) {
		return "workspace has used up its quota", false
	}
	return e.reason, e.place == parked
}
