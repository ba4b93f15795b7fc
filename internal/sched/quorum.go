package sched

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/link"
	"github.com/crocusspring/crocusspring/internal/store"
)

// guardQuorum decides by the guards when an owner without a lease of its own may extend the leases of runs, and when its
// successor knows that it doesn't. Both count over the same set, the nodes in the stored records of workers: the successor's
// fence ends what its predecessor stores. The one needs more than half, the other at least half; after Options.HalfQuorumTime the
// one needs all, the other any. A guard that follows the successor confirms no message of the predecessor any more.
type guardQuorum struct {
	// records are the stored records of workers.
	records nodeRecords
	// provisional are the stored nodes of workers without such a record; they don't count.
	provisional nodeRecords
	// inherited are the nodes that they named at the takeover, and takenOverAt when that was.
	inherited   map[string]bool
	takenOverAt time.Time
	// followers are the nodes whose guards have followed this owner.
	followers map[string]link.Following
	// silentFrom is from when no predecessor extends the leases of runs.
	silentFrom time.Time
}

// newGuardQuorum returns a quorum without nodes.
func newGuardQuorum() guardQuorum {
	return guardQuorum{records: nodeRecords{}, provisional: nodeRecords{}, inherited: map[string]bool{}, followers: map[string]link.Following{}}
}

// nodeRecords holds the possible values of the stored record of each worker: a node, or nothing for one without a record. There
// are several while the outcome of an append is unknown.
type nodeRecords map[string][]string

// attempt notes that a record is being stored.
func (r nodeRecords) attempt(worker, node string) {
	if len(r[worker]) == 0 {
		r[worker] = []string{""}
	}
	if !slices.Contains(r[worker], node) {
		r[worker] = append(r[worker], node)
	}
}

// settle notes the value that a record has for certain.
func (r nodeRecords) settle(worker, node string) {
	if r[worker] = []string{node}; node == "" {
		delete(r, worker)
	}
}

// holds reports whether a record certainly has a value.
func (r nodeRecords) holds(worker, node string) bool {
	if node == "" {
		return len(r[worker]) == 0
	}
	return slices.Equal(r[worker], []string{node})
}

// members returns the nodes that the records name, true for those that they name for certain.
func (r nodeRecords) members() map[string]bool {
	out := map[string]bool{}
	for _, nodes := range r {
		for _, node := range nodes {
			if node != "" {
				out[node] = out[node] || len(nodes) == 1
			}
		}
	}
	return out
}

// inheritNode takes the record of a worker that the takeover found in the store.
func (c *Core) inheritNode(now time.Time, worker, node string) {
	c.guards.takenOverAt, c.guards.silentFrom = now, now.Add(c.opt.RunLeaseExtension)
	c.guards.records.settle(worker, node)
	if node != "" {
		c.guards.inherited[node] = true
	}
}

// inheritProvisional takes a provisional record that the takeover found in the store. Beside a record that counts it is out of date,
// or says the same.
func (c *Core) inheritProvisional(now time.Time, worker, node string) {
	c.guards.provisional.attempt(worker, node)
	if node == "" {
		return
	}
	c.guards.provisional.settle(worker, node)
	if w := c.ensureWorker(now, worker); len(c.guards.records[worker]) == 0 {
		w.node = node
	}
}

// Followed takes the word of a node's guard that it follows this owner.
func (c *Core) Followed(now time.Time, node string, f link.Following) {
	before, known := c.guards.followers[node]
	if node == "" || known && f.HeardMS < before.HeardMS {
		return
	}
	c.guards.followers[node] = f
	if !known {
		c.endExtension(now)
	}
}

// MayExtend reports whether an owner whose lease has ended may extend the leases of runs; both times are readings of its clock.
// It may while enough of the nodes have confirmed messages of the last GuardSilence, whichever appends have succeeded. A
// guard that has followed the owner only since its lease ended doesn't count: its process may be a new one on a node whose guard
// followed a successor.
func (c *Core) MayExtend(nowMS, leaseEndMS int64) bool {
	needsAll := nowMS-leaseEndMS >= c.opt.HalfQuorumTime.Milliseconds()
	margin := 0
	for node, stored := range c.guards.records.members() {
		f := c.guards.followers[node]
		heard := f.HeardMS > 0 && nowMS-f.HeardMS < c.opt.GuardSilence.Milliseconds() && f.SinceMS < leaseEndMS
		switch {
		case !heard && needsAll:
			return false
		case !heard:
			margin--
		case stored:
			margin++
		}
	}
	return margin > 0
}

// endExtension shortens the wait for workers whose guards haven't linked, once so many nodes follow this owner that the others are
// too few for a predecessor.
func (c *Core) endExtension(now time.Time) {
	g := &c.guards
	follow := 0
	for node := range g.inherited {
		if _, ok := g.followers[node]; ok {
			follow++
		}
	}
	if follow == 0 {
		return
	}
	from := now.Add(c.opt.GuardSilence)
	if half := 2*follow >= len(g.inherited); !half {
		from = laterOf(from, g.takenOverAt.Add(c.opt.HalfQuorumTime))
	}
	if !from.Before(g.silentFrom) {
		return
	}
	g.silentFrom = from
	by := from.Add(c.opt.expiryDelay())
	for _, w := range c.sortedWorkers {
		if !w.attached && w.expiresAt.After(by) {
			w.expiresAt = by
		}
	}
	c.logDecision(event.Worker, "cell", fmt.Sprintf("guards follow=%d of=%d lapse_in=%s", follow, len(g.inherited), by.Sub(now)))
}

// mayStoreNode reports whether the record of a worker that is to be stored may be stored now. While a predecessor may extend the
// leases of runs the set of nodes stays as it is, since a further successor must count over the same one. Not for the last
// GuardSilence of that: by the guards that successor can't conclude anything before it is over.
func (c *Core) mayStoreNode(now time.Time, id string) bool {
	g := &c.guards
	if len(g.inherited) == 0 || !now.Before(g.silentFrom.Add(-c.opt.GuardSilence)) {
		return true
	}
	node := c.dirtyNodes[id]
	other := func(v string) bool { return v != "" && v != node }
	return g.inherited[node] && !slices.ContainsFunc(g.records[id], other)
}

// nodesToStore returns the records of workers to store now, by worker: those that the quorums count, and the provisional ones.
func (c *Core) nodesToStore(now time.Time) (nodes, provisional map[string]string) {
	nodes, provisional = map[string]string{}, map[string]string{}
	for id, node := range c.dirtyNodes {
		if c.mayStoreNode(now, id) {
			nodes[id] = node
		} else {
			provisional[id] = c.provisionalNode(id)
		}
	}
	for id := range c.guards.provisional {
		provisional[id] = c.provisionalNode(id)
	}
	maps.DeleteFunc(provisional, c.guards.provisional.holds)
	return nodes, provisional
}

// provisionalNode returns what the provisional record of a worker should hold: its node until the one that counts is stored, nothing for
// a worker that is gone.
func (c *Core) provisionalNode(id string) string {
	w, records := c.workers[id], c.guards.records[id]
	if w == nil || len(records) == 1 && records[0] != "" {
		return ""
	}
	return w.node
}

// nodeBatch returns the records that name nodes, and those that delete others. The former are stored before the progress of jobs, the
// latter after it: a run may be stored as assigned only while the node of its worker is.
func (c *Core) nodeBatch(nodes, provisional map[string]string) (named, removed []store.Record) {
	add := func(r store.Record) {
		if len(r.Value) > 0 {
			named = append(named, r)
		} else {
			removed = append(removed, r)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(nodes)) {
		c.guards.records.attempt(id, nodes[id])
		add(store.Record{Key: workerPrefix + id, Value: []byte(nodes[id])})
		delete(c.dirtyNodes, id)
	}
	for _, id := range slices.Sorted(maps.Keys(provisional)) {
		c.guards.provisional.attempt(id, provisional[id])
		add(store.Record{Key: provisionalPrefix + id, Value: []byte(provisional[id])})
	}
	return named, removed
}
