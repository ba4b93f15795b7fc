package sched

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/crocusspring/crocusspring/internal/guard"
	"github.com/crocusspring/crocusspring/internal/link"
)

// quorumLeaseMS is the length of an owner's lease, in milliseconds.
const quorumLeaseMS = 1500

// quorumOwner is an owner of quorumWorld.
type quorumOwner struct {
	epoch int64
	core  *Core
	// leaseEndMS is when its lease ends.
	leaseEndMS int64
	// batch is the batch that hasn't been answered; its first records are in the store.
	batch  *Batch
	stored int
}

// quorumGuard is the guard of a node.
type quorumGuard struct {
	node  string
	core  *guard.Core
	owner *quorumOwner
	// births counts the incarnations of its worker but for the first.
	births int
}

// worker returns the worker of a guard.
func (g *quorumGuard) worker() link.Worker {
	w := nodeWorker(g.node)
	if g.births > 0 {
		w.ID = link.Incarnation{ID: w.ID, BornMS: int64(g.births)}.String()
	}
	return w
}

// quorumWorld is owners that take a cell one after the other and may live on, the guards, what is on its way between them, and
// the records of workers in the store.
type quorumWorld struct {
	t       *rapid.T
	nowMS   int64
	owners  []*quorumOwner
	guards  []*quorumGuard
	records map[string]string
	transit []func()
	// foreign are the keys that another writer has overwritten since the newest owner's last append.
	foreign []string
	// extended and decided count the extensions by owners without a lease, and the checks after a conclusion by the guards; handed
	// the provisional records that a further owner was tried with.
	extended, decided, handed *int
}

// now returns the time of the world.
func (w *quorumWorld) now() time.Time { return epoch0.Add(time.Duration(w.nowMS) * time.Millisecond) }

// pick draws an index.
func (w *quorumWorld) pick(name string, n int) int { return rapid.IntRange(0, n-1).Draw(w.t, name) }

// newest returns the newest owner.
func (w *quorumWorld) newest() *quorumOwner { return w.owners[len(w.owners)-1] }

// boot starts the guard of a node; it knows nothing of a process before it.
func (w *quorumWorld) boot(g *quorumGuard) {
	g.core = guard.NewCore(guard.Options{Node: g.node, RunLease: 4 * time.Second})
}

// load returns a core with what is in the store.
func (w *quorumWorld) load() *Core {
	core := New(quorumOptions())
	for key, node := range w.records {
		if err := core.Restore(w.now(), key, []byte(node)); err != nil {
			w.t.Fatal(err)
		}
	}
	return core
}

// takeOver lets a new owner take the cell.
func (w *quorumWorld) takeOver() {
	core := w.load()
	w.foreign = nil
	w.owners = append(w.owners, &quorumOwner{epoch: int64(len(w.owners) + 1), core: core, leaseEndMS: w.nowMS + quorumLeaseMS})
}

// extends reports whether an owner whose lease has ended may extend the leases of runs.
func (w *quorumWorld) extends(o *quorumOwner) bool {
	since := w.nowMS - o.leaseEndMS
	return since > 0 && since <= o.core.opt.RunLeaseExtension.Milliseconds() && o.core.MayExtend(w.nowMS, o.leaseEndMS)
}

// sendDown sends a message of an owner to a guard.
func (w *quorumWorld) sendDown(o *quorumOwner, g *quorumGuard) {
	to, d := g.core, link.OwnerMessage{Epoch: o.epoch, ClockMS: w.nowMS}
	w.transit = append(w.transit, func() {
		if g.core == to && g.owner == o && !to.ExtendLease(d) {
			g.owner = nil
		}
	})
}

// sendUp sends a message of a guard to the owner that it is linked to; attach says that it is an inventory.
func (w *quorumWorld) sendUp(g *quorumGuard, attach bool) {
	o, up, worker := g.owner, g.core.Heartbeat(w.nowMS), g.worker()
	if o == nil {
		return
	}
	w.transit = append(w.transit, func() {
		if up.Follows.Epoch == o.epoch {
			o.core.Followed(w.now(), g.node, up.Follows)
		}
		if attach {
			for _, id := range o.core.SupersededWorkers(worker.ID, g.node) {
				o.core.RemoveWorker(w.now(), id)
			}
			o.core.Attach(w.now(), g.node, worker, link.Listing{})
		}
	})
}

// flush begins to store what an owner has to store.
func (w *quorumWorld) flush(o *quorumOwner) {
	if b, ok := o.core.Flush(w.now()); ok {
		o.batch, o.stored = &b, 0
	}
}

// store carries out some of the appends of an owner's batch, unless a successor has fenced it, and may answer the last one.
func (w *quorumWorld) store(o *quorumOwner) {
	if o.batch == nil {
		w.flush(o)
	}
	if o.batch == nil {
		return
	}
	if o == w.newest() {
		w.append(o)
	}
	if o.stored < len(o.batch.Records) || !rapid.Bool().Draw(w.t, "answered") {
		return
	}
	o.core.Stored(w.now(), o.batch.Seq)
	o.batch = nil
	if w.flush(o); o.batch == nil && o == w.newest() {
		w.checkNodes(o)
	}
}

// append stores further records of an owner's batch, in order.
func (w *quorumWorld) append(o *quorumOwner) {
	if len(w.foreign) > 0 {
		o.core.Overwritten(w.foreign)
		w.foreign = nil
	}
	upTo := len(o.batch.Records)
	if rapid.Bool().Draw(w.t, "in part") {
		upTo = rapid.IntRange(o.stored, upTo).Draw(w.t, "stored")
	}
	for _, r := range o.batch.Records[o.stored:upTo] {
		if delete(w.records, r.Key); len(r.Value) > 0 {
			w.records[r.Key] = string(r.Value)
		}
	}
	o.stored = upTo
}

// checkNodes checks that a further owner would know the node of each worker of an owner that has nothing left to store.
func (w *quorumWorld) checkNodes(o *quorumOwner) {
	next := w.load()
	for id, known := range o.core.workers {
		if got := next.workers[id]; known.node != "" && (got == nil || got.node != known.node) {
			w.t.Fatalf("a further owner doesn't know that worker %s is on node %s; records %v", id, known.node, w.records)
		}
	}
	*w.handed += len(next.guards.provisional)
	if now := w.now(); len(next.guards.provisional) > 0 && !now.Before(o.core.guards.silentFrom) {
		for id := range next.guards.provisional {
			if o.core.workers[id].attached {
				w.t.Fatalf("the record of worker %s doesn't count yet; records %v", id, w.records)
			}
		}
	}
}

// overwrite lets another writer change or delete a provisional record.
func (w *quorumWorld) overwrite(worker string) {
	key := provisionalPrefix + worker
	if delete(w.records, key); rapid.Bool().Draw(w.t, "odd") {
		w.records[key] = "odd"
	}
	w.foreign = append(w.foreign, key)
}

// step does one thing.
func (w *quorumWorld) step() {
	o, g := w.owners[max(0, len(w.owners)-1-w.pick("owner", 3))], w.guards[w.pick("guard", len(w.guards))]
	switch w.pick("event", 18) {
	case 0, 1:
		w.nowMS += rapid.Int64Range(1, 700).Draw(w.t, "passes")
	case 2, 3:
		for _, g := range w.guards {
			if g.owner != nil {
				w.sendDown(g.owner, g)
			}
		}
	case 4, 5:
		for _, g := range w.guards {
			w.sendUp(g, false)
		}
	case 6, 7:
		// What was sent lately arrives.
		for _, f := range w.transit {
			f()
		}
		w.transit = nil
	case 8:
		if len(w.transit) > 0 {
			w.transit[w.pick("message", len(w.transit))]()
		}
	case 9:
		if o.epoch >= g.core.Epoch() {
			g.owner = o
		}
	case 10:
		w.boot(g)
		g.owner = o
	case 11:
		all := rapid.Bool().Draw(w.t, "all attach")
		for _, other := range w.guards {
			if all || other == g {
				w.sendUp(other, true)
			}
		}
	case 12:
		o.core.RemoveWorker(w.now(), g.worker().ID)
	case 13:
		w.flush(o)
	case 14:
		w.store(o)
	case 15:
		switch n := w.newest(); {
		case w.nowMS < n.leaseEndMS && rapid.Bool().Draw(w.t, "renewed"):
			n.leaseEndMS = w.nowMS + quorumLeaseMS
		case w.nowMS >= n.leaseEndMS:
			w.takeOver()
		}
	case 16:
		g.births++
	case 17:
		w.overwrite(g.worker().ID)
	}
}

// check checks that no owner extends leases once a successor counts on that.
func (w *quorumWorld) check() {
	for i, next := range w.owners {
		g := &next.core.guards
		silent := !w.now().Before(g.silentFrom)
		*w.decided += toInt(silent && g.silentFrom.Before(g.takenOverAt.Add(next.core.opt.RunLeaseExtension)))
		for _, o := range w.owners[:i] {
			extends := w.extends(o)
			*w.extended += toInt(extends)
			if extends && silent {
				w.t.Fatalf("owner %d extends leases at %d ms, owner %d counts on the contrary from %d ms on; records %v", o.epoch, w.nowMS, next.epoch,
					g.silentFrom.Sub(epoch0).Milliseconds(), w.records)
			}
		}
	}
}

// TestNoExtensionBesideSuccessor plays owners and guards with late messages, restarts, workers that come, go and start again, batches
// that are stored in part or without an answer, and provisional records that another writer overwrites: an owner without a lease
// never extends the leases of runs once a successor counts on the contrary, and a further owner knows the nodes of all workers.
func TestNoExtensionBesideSuccessor(t *testing.T) {
	extended, decided, handed := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := &quorumWorld{t: t, nowMS: 1000, records: map[string]string{}, extended: &extended, decided: &decided, handed: &handed}
		recorded := rapid.IntRange(1, 5).Draw(t, "recorded")
		for i := range recorded + rapid.IntRange(0, 3).Draw(t, "unrecorded") {
			g := &quorumGuard{node: fmt.Sprint(i)}
			w.guards = append(w.guards, g)
			if i < recorded {
				w.records[workerPrefix+nodeWorker(g.node).ID] = g.node
			}
		}
		w.takeOver()
		for _, g := range w.guards {
			w.boot(g)
			g.owner = w.newest()
		}
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			w.step()
			w.check()
		}
	})
	t.Logf("owners without a lease could extend %d times, successors counted on the contrary %d times, with %d provisional records", extended, decided, handed)
}
