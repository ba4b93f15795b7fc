// Package admit queues the requests of one service until a slot is free, within limits.
//
// Workspaces are served round-robin, and each workspace's requests by earliest deadline first. If the
// queue is full, the workspace with the most queued requests loses the one with the latest deadline, so
// a workspace that floods the service sheds its own requests. A request that can no longer be answered
// before its deadline is shed at once.
package admit

import (
	"slices"
	"time"
)

// Item is one queued request.
type Item struct {
	ID        string
	Workspace string
	Deadline  time.Time
	Bytes     int
}

// Limits are the most requests and bytes that a queue holds.
type Limits struct {
	Requests int
	Bytes    int
}

// Queue holds the queued requests of one service. Use New to create one.
type Queue struct {
	limits Limits
	// lanes holds the requests of each workspace, ordered by deadline.
	lanes map[string][]Item
	// order lists the workspaces in the order in which they are served; the first is next.
	order []string
	count int
	bytes int
	// mean is the moving average of the time a request uses a slot.
	mean time.Duration
}

// meanWeight is the weight of the newest sample in the moving average.
const meanWeight = 0.1

// New returns an empty queue.
func New(l Limits) *Queue { return &Queue{limits: l, lanes: map[string][]Item{}} }

// Len returns the number of queued requests.
func (q *Queue) Len() int { return q.count }

// RecordServiceTime adds the time that a request used a slot to the moving average.
func (q *Queue) RecordServiceTime(d time.Duration) {
	if q.mean == 0 {
		q.mean = d
		return
	}
	q.mean += time.Duration(float64(d-q.mean) * meanWeight)
}

// MeanServiceTime returns the moving average of the time that a request uses a slot.
func (q *Queue) MeanServiceTime() time.Duration { return q.mean }

// Wait estimates how long one more request would wait with the given number of slots in parallel.
func (q *Queue) Wait(slots int) time.Duration {
	return q.mean * time.Duration(q.count+1) / time.Duration(max(1, slots))
}

// workspaceWait estimates how long one more request of a workspace would wait, since workspaces are
// served round-robin.
func (q *Queue) workspaceWait(workspace string, slots int) time.Duration {
	own := len(q.lanes[workspace])
	n := own
	for ws, lane := range q.lanes {
		if ws != workspace {
			n += min(len(lane), own+1)
		}
	}
	return q.mean * time.Duration(n+1) / time.Duration(max(1, slots))
}

// Late reports whether a request has at most half the mean service time left, too little to be run.
func (q *Queue) Late(now time.Time, it Item) bool { return !now.Add(q.mean / 2).Before(it.Deadline) }

// Push adds a request. If a request had to be shed, either another one or the new one, it returns that
// request and the reason; otherwise the reason is empty.
func (q *Queue) Push(now time.Time, it Item, slots int) (shed Item, reason string) {
	if q.Late(now, it) || now.Add(q.workspaceWait(it.Workspace, slots)+q.mean/2).After(it.Deadline) {
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

// insert adds a request to its workspace's lane in order of deadline.
func (q *Queue) insert(it Item) {
	lane, ok := q.lanes[it.Workspace]
	if !ok {
		q.order = append(q.order, it.Workspace)
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

// longest returns the workspace with the most queued requests; of several, the last one to be served.
func (q *Queue) longest() string {
	best := ""
	for _, ws := range q.order {
		if best == "" || len(q.lanes[ws]) >= len(q.lanes[best]) {
			best = ws
		}
	}
	return best
}

// latest returns the request with the latest deadline of a workspace.
func (q *Queue) latest(workspace string) Item {
	lane := q.lanes[workspace]
	return lane[len(lane)-1]
}

// Remove removes a request and reports whether it was queued.
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
		q.order = slices.DeleteFunc(q.order, func(ws string) bool { return ws == it.Workspace })
	}
	return true
}

// Peek returns the next request to serve.
func (q *Queue) Peek() (Item, bool) {
	if len(q.order) == 0 {
		return Item{}, false
	}
	return q.lanes[q.order[0]][0], true
}

// Pop removes the next request to serve and moves its workspace to the end of the order.
func (q *Queue) Pop() (Item, bool) {
	it, ok := q.Peek()
	if !ok {
		return Item{}, false
	}
	q.order = append(q.order[1:], it.Workspace)
	q.Remove(it)
	return it, true
}

// Expired removes and returns every request that is Late, in no particular order.
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

// NextExpiry returns when the next request becomes Late, and false if the queue is empty.
func (q *Queue) NextExpiry() (time.Time, bool) {
	var first time.Time
	for _, lane := range q.lanes {
		if d := lane[0].Deadline; first.IsZero() || d.Before(first) {
			first = d
		}
	}
	return first.Add(-q.mean / 2), !first.IsZero()
}
