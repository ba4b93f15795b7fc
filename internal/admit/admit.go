// Package admit holds requests of one service until a slot is free, within bounds.
//
// Workspaces take turns; inside one the earliest deadline goes first. When the queue is full the
// workspace with the most waiting requests loses its latest one, so a workspace that floods the
// service sheds its own requests. A request that can't be answered in time any more is shed at once.
package admit

import (
	"slices"
	"time"
)

// Item is one waiting request.
type Item struct {
	ID        string
	Workspace string
	Deadline  time.Time
	Bytes     int
}

// Limits bound a queue.
type Limits struct {
	Requests int
	Bytes    int
}

// Queue is the waiting requests of one service. Use New to make one.
type Queue struct {
	limits Limits
	lanes  map[string][]Item
	// turn is the order in which workspaces are served; the first is next.
	turn  []string
	count int
	bytes int
	// mean is the moving average of the time a request holds a slot.
	mean time.Duration
}

// meanWeight is the weight of the newest time in the average.
const meanWeight = 0.1

// New returns an empty queue.
func New(l Limits) *Queue { return &Queue{limits: l, lanes: map[string][]Item{}} }

// Len returns how many requests wait.
func (q *Queue) Len() int { return q.count }

// Served folds the time a request held a slot.
func (q *Queue) Served(d time.Duration) {
	if q.mean == 0 {
		q.mean = d
		return
	}
	q.mean += time.Duration(float64(d-q.mean) * meanWeight)
}

// Mean returns the average time a request holds a slot.
func (q *Queue) Mean() time.Duration { return q.mean }

// Wait estimates how long one more request waits when slots are served in parallel.
func (q *Queue) Wait(slots int) time.Duration {
	return q.mean * time.Duration(q.count+1) / time.Duration(max(1, slots))
}

// ahead estimates the wait of one more request of a workspace, which takes turns with the others.
func (q *Queue) ahead(workspace string, slots int) time.Duration {
	own := len(q.lanes[workspace])
	n := own
	for ws, lane := range q.lanes {
		if ws != workspace {
			n += min(len(lane), own+1)
		}
	}
	return q.mean * time.Duration(n+1) / time.Duration(max(1, slots))
}

// Late reports whether a request has too little time left to be run.
func (q *Queue) Late(now time.Time, it Item) bool { return !now.Add(q.mean / 2).Before(it.Deadline) }

// Push adds a request. It returns the request that was shed to make room, or the request itself with
// the reason when it was not taken.
func (q *Queue) Push(now time.Time, it Item, slots int) (shed Item, reason string) {
	if q.Late(now, it) || now.Add(q.ahead(it.Workspace, slots)+q.mean/2).After(it.Deadline) {
		return it, "the deadline can't be met"
	}
	q.insert(it)
	if q.count <= q.limits.Requests && q.bytes <= q.limits.Bytes {
		return Item{}, ""
	}
	shed = q.latest(q.longest())
	q.Remove(shed)
	return shed, "the queue is full"
}

// insert adds a request in order of its deadline.
func (q *Queue) insert(it Item) {
	lane, ok := q.lanes[it.Workspace]
	if !ok {
		q.turn = append(q.turn, it.Workspace)
	}
	at, _ := slices.BinarySearchFunc(lane, it, func(a, b Item) int {
		if a.Deadline.After(b.Deadline) {
			return 1
		}
		return -1
	})
	q.lanes[it.Workspace] = slices.Insert(lane, at, it)
	q.count++
	q.bytes += it.Bytes
}

// longest returns the workspace with the most waiting requests; the last in turn of equals.
func (q *Queue) longest() string {
	best := ""
	for _, ws := range q.turn {
		if best == "" || len(q.lanes[ws]) >= len(q.lanes[best]) {
			best = ws
		}
	}
	return best
}

// latest returns the request of a workspace with the latest deadline.
func (q *Queue) latest(workspace string) Item {
	lane := q.lanes[workspace]
	return lane[len(lane)-1]
}

// Remove takes a request out and reports whether it waited.
func (q *Queue) Remove(it Item) bool {
	lane := q.lanes[it.Workspace]
	i := slices.IndexFunc(lane, func(o Item) bool { return o.ID == it.ID })
	if i < 0 {
		return false
	}
	q.count--
	q.bytes -= lane[i].Bytes
	q.lanes[it.Workspace] = slices.Delete(lane, i, i+1)
	if len(q.lanes[it.Workspace]) == 0 {
		delete(q.lanes, it.Workspace)
		q.turn = slices.DeleteFunc(q.turn, func(ws string) bool { return ws == it.Workspace })
	}
	return true
}

// Peek returns the request whose turn it is.
func (q *Queue) Peek() (Item, bool) {
	if len(q.turn) == 0 {
		return Item{}, false
	}
	return q.lanes[q.turn[0]][0], true
}

// Pop takes the request whose turn it is and moves its workspace to the end of the turn.
func (q *Queue) Pop() (Item, bool) {
	it, ok := q.Peek()
	if !ok {
		return Item{}, false
	}
	q.turn = append(q.turn[1:], it.Workspace)
	q.Remove(it)
	return it, true
}

// Expired returns every request that is too late, in no particular order, and takes them out.
func (q *Queue) Expired(now time.Time) []Item {
	var out []Item
	for _, lane := range q.lanes {
		for _, it := range lane {
			if q.Late(now, it) {
				out = append(out, it)
			}
		}
	}
	for _, it := range out {
		q.Remove(it)
	}
	return out
}

// NextExpiry returns when the next request becomes too late.
func (q *Queue) NextExpiry() (time.Time, bool) {
	var first time.Time
	for _, lane := range q.lanes {
		if d := lane[0].Deadline; first.IsZero() || d.Before(first) {
			first = d
		}
	}
	return first.Add(-q.mean / 2), !first.IsZero()
}
