package sched_test

import (
	"maps"
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
	"github.com/crocusspring/crocusspring/internal/sched"
	"github.com/crocusspring/crocusspring/internal/store"
)

// Times of the owner's driver, in milliseconds; see owner.go and peer.go.
const (
	maxRoundMS     = 100
	minRoundMS     = 15
	ownerRetryMS   = 100
	guardSilenceMS = 1000
	extensionMS    = 6000
	halfQuorumMS   = 2000
)

// cellOptions are the options of the scheduler in a deployment; see internal/process.
func cellOptions(recordBytes int) sched.Options {
	return sched.Options{
		RunLease: cellRunLeaseMS * time.Millisecond, RunLeaseExtension: extensionMS * time.Millisecond, HalfQuorumTime: halfQuorumMS * time.Millisecond,
		GuardSilence: guardSilenceMS * time.Millisecond, Margin: 200 * time.Millisecond, JobRetention: time.Hour, LinkTime: time.Second, RecordBytes: recordBytes,
	}
}

// cellLink is a link between a guard and an owner. Messages of one direction arrive in order.
type cellLink struct {
	w *cellWorld
	g *cellGuard
	o *cellOwner
	p *cellPeer
	// guardOpen and ownerOpen say which ends are open; lost means that nothing passes any more.
	guardOpen, ownerOpen, lost bool
	// lostUp and lostDown mean that nothing passes in one direction.
	lostUp, lostDown       bool
	stalledUntil           int64
	upAt, downAt           int64
	guardHeard, ownerHeard int64
}

// cellPeer is a guard with an open link, as the owner sees it.
type cellPeer struct {
	l      *cellLink
	node   string
	worker string
	echoMS int64
	outbox link.OwnerMessage
	wake   cellSignal
}

// newCellLink returns an open link.
func newCellLink(g *cellGuard, o *cellOwner) *cellLink {
	w := g.w
	l := &cellLink{w: w, g: g, o: o, guardOpen: true, ownerOpen: true, guardHeard: w.now, ownerHeard: w.now}
	l.p = &cellPeer{l: l}
	o.peers = append(o.peers, l.p)
	w.after(w.between(0, 2), func() { o.send(l.p) })
	l.watch()
	return l
}

// watch closes an end that has heard nothing for too long.
func (l *cellLink) watch() {
	if !l.guardOpen && !l.ownerOpen {
		return
	}
	if l.guardOpen && l.w.now-l.guardHeard >= linkReadTimeoutMS {
		l.closeGuard("heard nothing")
	}
	if l.ownerOpen && l.w.now-l.ownerHeard >= linkReadTimeoutMS {
		l.closeOwner("heard nothing")
	}
	l.w.after(50, l.watch)
}

// apart reports whether the machine of the guard is cut off from owners.
func (l *cellLink) apart() bool { return l.w.now < l.g.m.apartUntil }

// carry delivers something to the other end, in order.
func (l *cellLink) carry(at *int64, open *bool, f func()) {
	if l.lost {
		return
	}
	if l.apart() {
		// TCP sends it again until the path is back; the end that waits may have given up by then.
		l.stalledUntil = max(l.stalledUntil, l.g.m.apartUntil)
	}
	*at = max(*at, l.w.now+l.w.between(1, 4), l.stalledUntil)
	l.w.after(*at-l.w.now, func() {
		if !l.lost && *open {
			f()
		}
	})
}

// sendUp sends a message of the guard.
func (l *cellLink) sendUp(up link.GuardMessage) {
	if !l.lostUp {
		l.carry(&l.upAt, &l.ownerOpen, func() { l.arrive(up) })
	}
}

// arrive hands a message of the guard to the owner.
func (l *cellLink) arrive(up link.GuardMessage) {
	if !l.o.awake(func() { l.arrive(up) }) || !l.ownerOpen {
		return
	}
	l.ownerHeard = l.w.now
	if !l.o.report(l.p, up) {
		l.closeOwner("ownership is over")
	}
}

// sendDown sends a message of the owner.
func (l *cellLink) sendDown(d link.OwnerMessage) {
	if !l.lostDown {
		l.carry(&l.downAt, &l.guardOpen, func() { l.g.handle(l, d) })
	}
}

// reset breaks the link at both ends; messages on their way are lost.
func (l *cellLink) reset(reason string) {
	if l.lost {
		return
	}
	l.lost = true
	l.w.logf("link of %s to owner %d breaks: %s", l.g.m.node, l.o.epoch, reason)
	l.w.after(l.w.between(0, 5), func() { l.closeGuard("reset") })
	l.w.after(l.w.between(0, 5), func() { l.closeOwner("reset") })
}

// closeGuard closes the guard's end; the owner learns it in order.
func (l *cellLink) closeGuard(reason string) {
	if !l.guardOpen {
		return
	}
	l.guardOpen = false
	l.w.logf("guard of %s closes its link to owner %d: %s", l.g.m.node, l.o.epoch, reason)
	l.carry(&l.upAt, &l.ownerOpen, func() { l.closeOwner("closed by the guard") })
	l.g.unlinked(l)
}

// closeOwner closes the owner's end; the guard learns it in order.
func (l *cellLink) closeOwner(reason string) {
	if !l.ownerOpen {
		return
	}
	l.ownerOpen = false
	l.carry(&l.downAt, &l.guardOpen, func() { l.closeGuard("closed by the owner") })
	l.o.detach(l.p, reason)
}

// cellOwner drives a scheduler core as owner.Cell does.
type cellOwner struct {
	w     *cellWorld
	epoch int64
	// node is the machine on which the owner runs.
	node string
	// core is nil until the cell is loaded and after the ownership has ended.
	core  *sched.Core
	links map[string]*cellPeer
	peers []*cellPeer
	// dead means that the process has ended. leaseOverAt is when its lease ends, replacedAt when it learns of a successor; 0
	// while there is none.
	dead bool
	// cutOff means that the store doesn't answer this owner.
	cutOff                  bool
	leaseOverAt, replacedAt int64
	// frozenUntil is until when the process stands still; see owner.Cell for the other two.
	frozenUntil, extendCheckedAt, stalledAt int64
	jobsRead                                int
	due                                     cellSignal
}

// serves reports whether the owner accepts links.
func (o *cellOwner) serves() bool { return !o.dead && o.core != nil }

// awake reports whether the process lives and runs; if it stands still, f is called again when it goes on.
func (o *cellOwner) awake(f func()) bool {
	if o.dead {
		return false
	}
	if o.w.now < o.frozenUntil {
		o.w.after(o.frozenUntil-o.w.now, f)
		return false
	}
	return true
}

// owns reports whether the owner may go on.
func (o *cellOwner) owns() bool {
	return !o.dead && (o.replacedAt == 0 || o.w.now < o.replacedAt)
}

// time returns the time of the fake clock.
func (o *cellOwner) time() time.Time { return o.w.time() }

// load loads the cell from the store, as owner.Cell.load does.
func (o *cellOwner) load() {
	w := o.w
	if o.dead || !o.owns() {
		return
	}
	if w.now < w.storeSilentUntil {
		w.after(w.storeSilentUntil-w.now+w.between(5, 200), o.load)
		return
	}
	w.fence = max(w.fence, o.epoch)
	opt := cellOptions(w.recordBytes)
	opt.Node = o.node
	core := sched.New(opt)
	now := o.time()
	o.jobsRead = len(w.jobLog)
	for _, e := range w.jobLog {
		if !e.cancel {
			core.Submit(now, e.spec)
		}
	}
	var records []store.Record
	for _, key := range slices.Sorted(maps.Keys(w.records)) {
		records = append(records, store.Record{Key: key, Value: w.records[key]})
	}
	sched.SortForRestore(records)
	for _, r := range records {
		if err := core.Restore(now, r.Key, r.Value); err != nil {
			w.finding("restore", "%s: %v", r.Key, err)
		}
	}
	for _, e := range w.jobLog {
		if e.cancel {
			core.Cancel(now, e.spec.ID)
		}
	}
	w.after(w.between(20, 150), func() {
		if o.dead || !o.owns() {
			return
		}
		o.core = core
		w.logf("owner %d has loaded %d jobs", o.epoch, core.Jobs())
		o.follow()
		o.round()
	})
}

// follow reads new jobs and cancellations.
func (o *cellOwner) follow() {
	if !o.awake(o.follow) || o.core == nil {
		return
	}
	w := o.w
	if w.now >= w.storeSilentUntil && o.jobsRead < len(w.jobLog) {
		records := w.jobLog[o.jobsRead:]
		o.jobsRead = len(w.jobLog)
		for _, cancel := range []bool{false, true} {
			for _, e := range records {
				switch {
				case e.cancel != cancel:
				case cancel:
					o.core.Cancel(o.time(), e.spec.ID)
				default:
					o.core.Submit(o.time(), e.spec)
				}
			}
		}
		w.signal(&o.due)
	}
	w.after(w.between(5, 30), o.follow)
}

// round schedules once, stores the decisions, and sends the commands that depend on them.
func (o *cellOwner) round() {
	if !o.awake(o.round) || o.core == nil {
		return
	}
	if !o.owns() {
		o.release("lost the cell")
		return
	}
	o.core.DropExpiredJobs(o.time())
	o.core.Schedule(o.time())
	b, _ := o.core.Flush(o.time())
	for _, d := range o.core.Decisions() {
		o.w.logf("  owner %d: %s %s %s", o.epoch, d.Decision, d.Subject, d.Reason)
	}
	o.queueCommands()
	again := func() { o.w.after(minRoundMS, func() { o.w.wait(&o.due, maxRoundMS, o.round) }) }
	if b.Seq == 0 {
		again()
		return
	}
	o.write(o.w.calls(b.Records), func() { o.stored(b.Seq, again) })
}

// stored releases the commands of a batch.
func (o *cellOwner) stored(seq int64, again func()) {
	if !o.awake(func() { o.stored(seq, again) }) || o.core == nil {
		return
	}
	o.core.Stored(o.time(), seq)
	o.queueCommands()
	again()
}

// write stores the records of some appends in order.
func (o *cellOwner) write(calls [][]store.Record, done func()) {
	if len(calls) == 0 {
		done()
		return
	}
	o.w.append(o, calls[0], func(ok bool) {
		switch {
		case o.core == nil:
		case !ok:
			o.release("another owner's fence is in the store")
		default:
			o.write(calls[1:], done)
		}
	})
}

// release ends the ownership.
func (o *cellOwner) release(reason string) {
	if o.core == nil {
		return
	}
	o.w.logf("owner %d gives up the cell: %s", o.epoch, reason)
	o.core = nil
	for _, p := range o.peers {
		p.l.closeOwner("ownership is over")
	}
	o.links = map[string]*cellPeer{}
}

// kill ends the owner's process.
func (o *cellOwner) kill() {
	o.w.logf("owner %d dies", o.epoch)
	o.dead, o.core = true, nil
	for _, p := range o.peers {
		p.l.reset("owner died")
	}
}

// report handles one message of a guard; false means that the ownership is over.
func (o *cellOwner) report(p *cellPeer, up link.GuardMessage) bool {
	if o.core == nil {
		return false
	}
	now := o.time()
	p.echoMS = max(p.echoMS, up.ClockMS)
	if up.Node != "" {
		p.node = up.Node
	}
	if up.Follows.Epoch == o.epoch {
		o.core.Followed(now, p.node, up.Follows)
	}
	for _, crash := range up.Crashed {
		o.core.WorkerCrashed(now, crash)
	}
	for _, id := range up.EndedIncarnations {
		o.core.RemoveWorker(now, id)
		if p.worker == id {
			p.setWorker("")
			delete(o.links, id)
		}
		o.w.signal(&o.due)
	}
	if up.Inventory && up.Worker != nil {
		o.attach(now, p, up)
		return true
	}
	if p.worker == "" {
		return true
	}
	if up.Worker != nil && up.Worker.ID == p.worker {
		o.core.Update(now, *up.Worker)
	}
	if up.Reported {
		o.core.Report(now, p.worker, up.Listing)
	} else if len(up.Ended) > 0 {
		o.core.Ended(now, p.worker, up.Ended)
	}
	o.core.UpdatePressure(now, p.worker, up.Pace, up.Unresponsive)
	o.w.signal(&o.due)
	return true
}

// setWorker sets the incarnation that the peer reports on.
func (p *cellPeer) setWorker(incarnation string) {
	if p.worker != incarnation {
		p.worker, p.outbox = incarnation, link.OwnerMessage{}
	}
}

// attach handles the inventory of a guard.
func (o *cellOwner) attach(now time.Time, p *cellPeer, up link.GuardMessage) {
	id := up.Worker.ID
	if p.worker != "" && p.worker != id {
		o.core.RemoveWorker(now, p.worker)
		delete(o.links, p.worker)
	}
	if old := o.links[id]; old != nil && old != p {
		old.setWorker("")
		old.l.closeOwner("attached over another link")
	}
	for _, w := range o.core.SupersededWorkers(id, p.node) {
		o.core.RemoveWorker(now, w)
	}
	p.setWorker(id)
	o.links[id] = p
	o.core.Attach(now, p.node, *up.Worker, up.Listing)
	o.core.UpdatePressure(now, id, up.Pace, up.Unresponsive)
	o.w.signal(&o.due)
}

// send sends the next message to a guard, and goes on as long as the link lasts.
func (o *cellOwner) send(p *cellPeer) {
	if !o.awake(func() { o.send(p) }) || !p.l.ownerOpen {
		return
	}
	if o.core == nil || !o.owns() {
		p.l.closeOwner("ownership is over")
		return
	}
	d := p.outbox
	p.outbox = link.OwnerMessage{}
	d.Epoch, d.Worker, d.ClockMS = o.epoch, p.worker, o.clockMS(o.w.now)
	if o.mayExtend() {
		d.EchoMS = p.echoMS
	}
	p.l.sendDown(d)
	o.w.wait(&p.wake, heartbeatMS, func() { o.send(p) })
}

// mayExtend reports whether the owner may extend the leases of runs.
func (o *cellOwner) mayExtend() bool {
	if o.extendCheckedAt > 0 && o.w.now-o.extendCheckedAt > 1500 {
		o.stalledAt = o.w.now
	}
	o.extendCheckedAt = o.w.now
	if o.stalledAt > 0 && o.w.now-o.stalledAt < guardSilenceMS {
		return false
	}
	if o.leaseOverAt == 0 || o.w.now < o.leaseOverAt {
		return true
	}
	return o.core.MayExtend(o.clockMS(o.w.now), o.clockMS(o.leaseOverAt))
}

// clockMS returns what the owner's clock reads at a time of the world; it is never 0.
func (o *cellOwner) clockMS(at int64) int64 { return at + 1 }

// queueCommands queues the scheduler's commands on the links of their workers.
func (o *cellOwner) queueCommands() {
	commands := o.core.Commands()
	for _, id := range slices.Sorted(maps.Keys(commands)) {
		d, p := commands[id], o.links[id]
		if p == nil {
			continue
		}
		p.outbox.Start = append(p.outbox.Start, d.Start...)
		p.outbox.Stop = append(p.outbox.Stop, sortedRefs(d.Stop)...)
		p.outbox.KnownRuns = append(p.outbox.KnownRuns, d.KnownRuns...)
		p.outbox.AckedEnd = max(p.outbox.AckedEnd, d.AckedEnd)
		o.w.signal(&p.wake)
	}
}

// detach handles the end of a link.
func (o *cellOwner) detach(p *cellPeer, reason string) {
	o.peers = slices.DeleteFunc(slices.Clone(o.peers), func(q *cellPeer) bool { return q == p })
	o.w.signal(&p.wake)
	if o.core == nil || p.worker == "" || o.links[p.worker] != p {
		return
	}
	o.w.logf("owner %d: link of %s has ended: %s", o.epoch, p.node, reason)
	delete(o.links, p.worker)
	o.core.Detach(o.time(), p.worker)
	o.w.signal(&o.due)
}

// cellJobEntry is a record of an accepted job or of its cancellation.
type cellJobEntry struct {
	spec   *job.Spec
	cancel bool
}

// calls splits records into the appends that store them.
func (w *cellWorld) calls(records []store.Record) [][]store.Record {
	return store.Limits{Call: w.callBytes}.Calls(records)
}

// append stores records for an owner, sooner or later; done gets false if a successor has fenced it.
func (w *cellWorld) append(o *cellOwner, records []store.Record, done func(ok bool)) {
	if o.cutOff {
		return
	}
	storedIn, answeredIn := w.between(2, 15), w.between(16, 30)
	if w.now < w.storeSilentUntil {
		left := w.storeSilentUntil - w.now
		storedIn, answeredIn = w.between(2, left+300), left+w.between(310, 700)
	}
	ok := false
	w.after(storedIn, func() {
		if o.epoch < w.fence {
			return
		}
		ok = true
		for _, r := range records {
			if len(r.Value) == 0 {
				delete(w.records, r.Key)
			} else {
				w.records[r.Key] = r.Value
			}
		}
	})
	w.after(answeredIn, func() { done(ok) })
}
