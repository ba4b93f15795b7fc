package sched_test

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/crocusspring/crocusspring/internal/guard"
	"github.com/crocusspring/crocusspring/internal/link"
)

// Times of the guard's driver, in milliseconds; see guard.go.
const (
	pollWaitMS        = 250
	callTimeoutMS     = 200
	slowCallTimeoutMS = 500
	unackedPollMS     = 50
	runsReportMS      = 400
	minReportMS       = 10
	guardRetryMS      = 150
	maxFailedPolls    = 2
	heartbeatMS       = 250
	linkReadTimeoutMS = 1500
	linkDialTimeoutMS = 1000
	cellRunLeaseMS    = 4000
)

// cellMachine is a machine with a worker and its guard.
type cellMachine struct {
	w      *cellWorld
	n      int
	node   string
	offset int64
	exec   *cellExec
	guard  *cellGuard
	lastID string
	// cutUntil is until when the worker is cut off from the guard, apartUntil until when the guard is cut off from owners.
	cutUntil, apartUntil   int64
	callFaultsUntil        int64
	callFaultShare         float64
	callFates              []cellFate
	lateAnnouncementsUntil int64
	// nextStartLateMS holds up the next start by so long, unless it is 0; heldUp is its run.
	nextStartLateMS int64
	heldUp          link.RunRef
	// gone means that the machine doesn't come back.
	gone bool
}

// cellGuard drives a guard's core as guard.Guard does.
type cellGuard struct {
	w    *cellWorld
	m    *cellMachine
	core *guard.Core
	dead bool

	failed            int
	listing           *guard.Listing
	listingUnderEpoch bool
	inventoryDue      bool
	probing           bool
	changed           cellSignal
	endsAcked         cellSignal
	announced         cellSignal
	slots             int
	queued            []func()
	// frozenUntil is until when the process stands still.
	frozenUntil int64
	// owner is the owner that the guard follows.
	owner *cellOwner
	link  *cellLink
}

// bootGuard starts the guard of a machine.
func (m *cellMachine) bootGuard() {
	w := m.w
	g := &cellGuard{w: w, m: m, core: guard.NewCore(guard.Options{
		Node: m.node, RunLease: cellRunLeaseMS * time.Millisecond, MaxLease: maxHoldMS * time.Millisecond, StartedUnix: w.unix() / 1000,
	})}
	m.guard = g
	w.logf("guard of %s starts", m.node)
	w.after(w.between(10, 60), func() {
		// A process reads the newest lease when it starts; word of an earlier owner may still be on its way then.
		if o := w.newest(); g.owner == nil || g.owner.epoch < o.epoch {
			g.owner = o
		}
	})
	g.poll()
	g.dial()
}

// kill ends a guard process.
func (g *cellGuard) kill() {
	g.w.logf("guard of %s dies", g.m.node)
	g.dead = true
	g.m.guard = nil
	if g.link != nil {
		g.link.reset("guard died")
	}
}

// awake reports whether the process lives and runs; if it stands still, f is called again when it goes on.
func (g *cellGuard) awake(f func()) bool {
	if g.dead {
		return false
	}
	if g.w.now < g.frozenUntil {
		g.w.after(g.frozenUntil-g.w.now, f)
		return false
	}
	return true
}

// clock returns the guard's clock.
func (g *cellGuard) clock() int64 { return g.m.offset + g.w.now }

// describe takes an announcement of the worker.
func (g *cellGuard) describe(info link.Worker, seq int64) {
	if !g.awake(func() { g.describe(info, seq) }) {
		return
	}
	g.core.Describe(g.clock(), info, seq)
	g.w.signal(&g.changed)
	g.w.signal(&g.announced)
}

// poll makes the next poll of the polling loop.
func (g *cellGuard) poll() {
	if !g.awake(g.poll) {
		return
	}
	q, ok := g.core.NextPoll(g.clock(), pollWaitMS*time.Millisecond)
	resolvable := g.core.Resolvable()
	if !ok {
		g.w.wait(&g.announced, pollWaitMS, g.poll)
		return
	}
	limit := int64(pollWaitMS + callTimeoutMS)
	if g.failed > 0 {
		limit = pollWaitMS + slowCallTimeoutMS
	}
	g.hold(q, limit, func(l guard.Listing, err error) {
		if err != nil {
			g.pollFailed(q, err)
			return
		}
		g.failed = 0
		if g.handleListing(q, resolvable, l) {
			g.w.wait(&g.endsAcked, unackedPollMS, g.poll)
			return
		}
		g.poll()
	})
}

// hold sends a poll to the worker.
func (g *cellGuard) hold(q guard.Poll, limit int64, done func(guard.Listing, error)) {
	var got guard.Listing
	g.m.call(q.Incarnation, limit, func(e *cellExec, answer func(error)) {
		e.hold(q, func(l guard.Listing, err error) {
			if e.born == 0 {
				l.Incarnation = q.Incarnation
			}
			got = l
			answer(err)
		})
	}, func(err error) { g.whenAwake(func() { done(got, err) }) })
}

// whenAwake calls f as soon as the process runs.
func (g *cellGuard) whenAwake(f func()) {
	if g.awake(func() { g.whenAwake(f) }) {
		f()
	}
}

// pollFailed handles a poll that returned an error, and goes on polling.
func (g *cellGuard) pollFailed(q guard.Poll, err error) {
	g.failed++
	var refused *guard.RefusedError
	switch {
	case errors.As(err, &refused) && refused.Reason == guard.ReasonFence:
		g.core.Fenced(q.Token)
	case errors.Is(err, guard.ErrOtherIncarnation):
		g.w.logf("guard of %s: %s has ended", g.m.node, q.Incarnation)
		if now, ok := g.core.NextPoll(g.clock(), 0); ok && now.Incarnation == q.Incarnation {
			g.inventoryDue = true
		}
		g.core.IncarnationEnded(q.Incarnation)
		g.w.signal(&g.changed)
	default:
		g.core.PollFailed(g.clock())
		if g.failed >= maxFailedPolls {
			g.core.MarkUnresponsive()
		}
	}
	if errors.Is(err, context.DeadlineExceeded) {
		g.poll()
		return
	}
	g.w.after(guardRetryMS, g.poll)
}

// handleListing processes an answer; it reports whether it lists run ends.
func (g *cellGuard) handleListing(q guard.Poll, resolvable map[link.RunRef]bool, l guard.Listing) bool {
	l.Token = q.Token
	g.observe(resolvable, l)
	g.listing, g.listingUnderEpoch = &l, g.core.UnderEpoch(q.Token)
	g.sendDueCommands()
	g.w.signal(&g.changed)
	return len(l.Ended) > 0
}

// observe passes a listing to the core.
func (g *cellGuard) observe(resolvable map[link.RunRef]bool, l guard.Listing) {
	before := g.answers(l.Incarnation)
	g.core.ObserveListing(g.clock(), resolvable, l)
	if !before && g.answers(l.Incarnation) {
		g.inventoryDue = true
	}
	for _, ref := range sortedRefs(g.core.TakeVanished()) {
		g.w.logf("guard of %s: run %s#%d has vanished", g.m.node, ref.Task, ref.Run)
	}
}

// answers reports whether an incarnation is the one that answered last.
func (g *cellGuard) answers(incarnation string) bool {
	return g.core.Matches(link.OwnerMessage{Worker: incarnation})
}

// command runs a command when one of the slots is free.
func (g *cellGuard) command(f func()) {
	if g.slots == guard.MaxCommands {
		g.queued = append(g.queued, f)
		return
	}
	g.slots++
	f()
}

// commandDone frees the slot of a command.
func (g *cellGuard) commandDone() {
	g.slots--
	if len(g.queued) > 0 {
		f := g.queued[0]
		g.queued = g.queued[1:]
		g.command(f)
	}
}

// sendDueCommands sends the stop commands that are due.
func (g *cellGuard) sendDueCommands() {
	due := g.core.DueStops()
	slices.SortFunc(due, func(a, b guard.Command) int {
		return strings.Compare(a.Start.Task.String(), b.Start.Task.String())
	})
	for _, o := range due {
		g.command(func() { g.sendStop(o) })
	}
}

// sendStop sends a stop command and records its outcome.
func (g *cellGuard) sendStop(o guard.Command) {
	record := func(err error) {
		g.whenAwake(func() {
			g.core.StopAnswered(o.Start.RunRef, err)
			g.sendDueAndProbe()
		})
	}
	limit := int64(callTimeoutMS)
	if o.Slow {
		limit = slowCallTimeoutMS
	}
	g.m.call(o.Incarnation, limit, func(e *cellExec, answer func(error)) { answer(e.halt(o)) }, func(err error) {
		g.whenAwake(func() {
			g.commandDone()
			if err != nil {
				g.w.after(guardRetryMS, func() { record(err) })
				return
			}
			record(nil)
		})
	})
}

// sendStart sends a start command and records its outcome.
func (g *cellGuard) sendStart(o guard.Command) {
	g.m.callStart(o, func(err error) { g.whenAwake(func() { g.startAnswered(o, err) }) })
}

// startAnswered records the outcome of a start command.
func (g *cellGuard) startAnswered(o guard.Command, err error) {
	g.commandDone()
	if errors.Is(err, errNoConnection) {
		err = &guard.RefusedError{Reason: "no connection"}
	}
	refused, reason := cellRefusal(err)
	if err != nil {
		g.w.logf("guard of %s: start of %s#%d not done: %v", g.m.node, o.Start.Task, o.Start.Run, err)
	}
	g.core.StartAnswered(o.Start.RunRef, err, refused, reason)
	g.sendDueAndProbe()
	if refused {
		g.w.signal(&g.changed)
	}
}

// cellRefusal reports whether an error means that the worker has not executed a command, and why.
func cellRefusal(err error) (bool, string) {
	var refused *guard.RefusedError
	switch {
	case errors.As(err, &refused):
		return true, refused.Reason
	case errors.Is(err, guard.ErrOtherIncarnation):
		return true, "other life"
	}
	return false, ""
}

// sendDueAndProbe sends the commands that are due, and polls at once when runs are in doubt.
func (g *cellGuard) sendDueAndProbe() {
	g.sendDueCommands()
	if !g.probing && g.core.InDoubt() {
		g.probing = true
		g.w.after(0, g.probe)
	}
}

// probe polls the worker without waiting for a run to end.
func (g *cellGuard) probe() {
	if !g.awake(g.probe) {
		return
	}
	q, ok := g.core.NextPoll(g.clock(), 0)
	resolvable := g.core.Resolvable()
	if !ok {
		g.probing = false
		return
	}
	g.hold(q, callTimeoutMS, func(l guard.Listing, err error) {
		g.probing = false
		if err != nil {
			return
		}
		l.Token = q.Token
		g.observe(resolvable, l)
		if l.EndsCut {
			g.sendDueCommands()
		} else {
			g.sendDueAndProbe()
		}
		g.w.signal(&g.changed)
	})
}

// dial opens a link to the owner that the guard follows, again and again.
func (g *cellGuard) dial() {
	if !g.awake(g.dial) {
		return
	}
	o := g.owner
	if o == nil {
		g.w.after(guardRetryMS, g.dial)
		return
	}
	if g.w.now < g.m.apartUntil {
		g.w.after(linkDialTimeoutMS+guardRetryMS, g.dial)
		return
	}
	g.w.after(g.w.between(2, 8), func() {
		if g.dead {
			return
		}
		if !o.serves() || o.w.now < o.frozenUntil || g.w.now < g.m.apartUntil {
			g.w.after(guardRetryMS, g.dial)
			return
		}
		g.linked(newCellLink(g, o))
	})
}

// linked begins to serve a link.
func (g *cellGuard) linked(l *cellLink) {
	g.w.logf("guard of %s linked to owner %d", g.m.node, l.o.epoch)
	g.link = l
	g.core.Linked()
	g.inventoryDue = true
	g.listing, g.listingUnderEpoch = nil, false
	l.sendUp(link.GuardMessage{Node: g.m.node, ClockMS: g.clock(), Pace: 100})
	s := &cellReport{runsAt: -runsReportMS, sentAt: g.w.now}
	g.w.wait(&g.changed, heartbeatMS, func() { g.report(l, s) })
}

// unlinked handles the end of the guard's link.
func (g *cellGuard) unlinked(l *cellLink) {
	if g.link != l || g.dead {
		return
	}
	g.link = nil
	g.w.signal(&g.changed)
	g.w.after(guardRetryMS, g.dial)
}

// handle handles one message of the owner.
func (g *cellGuard) handle(l *cellLink, d link.OwnerMessage) {
	if !g.awake(func() { g.handle(l, d) }) || !l.guardOpen {
		return
	}
	l.guardHeard = g.w.now
	before := g.core.Epoch()
	if !g.core.ExtendLease(d) {
		l.closeGuard("owner was replaced")
		return
	}
	if g.core.Epoch() != before {
		g.inventoryDue = true
	}
	if !g.core.Matches(d) {
		if len(d.Start) > 0 {
			g.w.logf("guard of %s ignores %d starts for %s", g.m.node, len(d.Start), d.Worker)
		}
		return
	}
	if d.AckedEnd > 0 {
		g.w.signal(&g.endsAcked)
	}
	for _, s := range d.Start {
		if o, ok := g.core.BeginStart(g.clock(), s); ok {
			g.command(func() { g.sendStart(o) })
		} else {
			g.w.signal(&g.changed)
		}
	}
	for _, s := range d.Stop {
		g.core.RequestStop(s)
	}
	g.sendDueCommands()
}

// cellReport records what was last reported on a link.
type cellReport struct {
	complete       bool
	runsAt, sentAt int64
	lastEnd        int64
}

// report sends the next report on a link.
func (g *cellGuard) report(l *cellLink, s *cellReport) {
	if !g.awake(func() { g.report(l, s) }) || g.link != l {
		return
	}
	if g.owner != l.o {
		l.closeGuard("follows another owner")
		return
	}
	again := func() { g.w.wait(&g.changed, heartbeatMS, func() { g.report(l, s) }) }
	up, news := g.nextReport(s)
	if !news && g.w.now-s.sentAt < heartbeatMS {
		again()
		return
	}
	s.sentAt = g.w.now
	l.sendUp(up)
	g.w.after(minReportMS, func() {
		if !g.dead && g.link == l {
			again()
		}
	})
}

// nextReport returns the next message and whether it holds anything new.
func (g *cellGuard) nextReport(s *cellReport) (link.GuardMessage, bool) {
	switch {
	case g.core.Settling():
	case s.complete && !g.inventoryDue:
		up := g.core.Report(g.clock(), g.listing, false)
		g.listing = nil
		return up, s.trim(g.w.now, &up)
	case g.listingUnderEpoch && g.listing != nil && g.answers(g.listing.Incarnation) && g.core.Described():
		up := g.core.Report(g.clock(), g.listing, true)
		g.inventoryDue, g.listing, s.complete = false, nil, true
		s.runsAt, s.lastEnd = -runsReportMS, 0
		s.trim(g.w.now, &up)
		return up, true
	}
	up := g.core.Heartbeat(g.clock())
	return up, len(up.EndedIncarnations) > 0
}

// trim removes from a message what was reported before; it reports whether anything new is left.
func (s *cellReport) trim(now int64, up *link.GuardMessage) bool {
	up.Ended = slices.DeleteFunc(slices.Clone(up.Ended), func(e link.RunEnd) bool { return e.Number > 0 && e.Number <= s.lastEnd })
	for _, e := range up.Ended {
		s.lastEnd = max(s.lastEnd, e.Number)
	}
	switch {
	case !up.Reported:
	case now-s.runsAt < runsReportMS:
		up.Reported, up.Running = false, nil
	default:
		s.runsAt = now
	}
	return up.Reported || up.Worker != nil || len(up.Ended) > 0 || len(up.EndedIncarnations) > 0
}
