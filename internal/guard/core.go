package guard

import (
	"time"

	"github.com/crocusspring/crocusspring/internal/link"
)

// Options are the fixed parameters of a core.
type Options struct {
	// Node names this process.
	Node string
	// RunLease is how long the lease of runs lasts after the newest clock reading of this guard that the
	// owner has echoed.
	RunLease time.Duration
	// MaxLease is the longest lease that a worker accepts.
	MaxLease time.Duration
	// Drained reports whether this process knows that a data centre is drained; nil where none can be. The owner
	// starts nothing there; this second check holds also for the commands of an owner that doesn't know it yet.
	Drained func(dataCentre string) bool
	// StartedUnix is the time of day at which this process started, in Unix seconds. Tokens of later processes exceed those of
	// earlier ones by it.
	StartedUnix int64
}

// Core is the state machine of a guard: the state of its worker and the authority of the owner. It does no
// I/O and reads no clock; times are milliseconds of the guard's clock, which also advances while the machine
// is suspended.
type Core struct {
	opt Options
	// info is the latest announcement of the worker; nil before the first.
	info *link.Worker
	// incarnation identifies the incarnation of the worker that answered last.
	incarnation string
	// epoch is the highest ownership epoch seen, and deadline the end of the lease that owners granted, on
	// the guard's clock.
	epoch    int64
	deadline int64
	// follows is what the owners hear of that.
	follows link.Following
	// workerClock is the worker's clock reading at the time workerClockAt of the guard's clock; 0 before the first.
	workerClock, workerClockAt int64
	runs                       map[link.RunRef]*run
	// lateStarts are the starts that got no answer, with the time they were sent. They may be carried out later, also by a
	// later incarnation of the same ID, which knows nothing of the stops that settled them.
	lateStarts map[link.RunRef]int64
	ackedEnd   int64 // number of the newest run end that the owner acknowledged
	// listedEnd is the number of the newest end in the newest listing; 0 for none. Only listed ends are acknowledged, so
	// that as few polls as possible can drop ends of another incarnation if they are carried out late.
	listedEnd     int64
	births        births
	pacer         pacer
	unresponsive  bool          // the worker doesn't answer
	silentSinceMS int64         // when the first of the polls since the last answer failed; 0 for none
	absent        []link.RunEnd // absent runs to report
	inventoryDue  bool          // the next report must be a complete inventory
	described     bool          // the owner has the latest announcement
	// vanished are runs whose end no listing has shown; see TakeVanished.
	vanished []link.RunRef
	// successor is the latest announcement of an incarnation that hasn't answered yet.
	successor *link.Worker
	// announcedSeq numbers the latest announcement of the incarnation announcedBy; 0 without numbers.
	announcedSeq int64
	announcedBy  string
	// lower is a series of announcements with lower numbers than announcedSeq.
	lower lowerSeries
	// ended lists the latest incarnations that have ended; the first endedReported of them were reported on the current
	// link.
	ended         []endedIncarnation
	endedReported int
}

// phase is the state of a run as its guard knows it.
type phase int

const (
	// starting means that the start command is in progress.
	starting phase = iota
	// startUnanswered means that the start command got no answer; the next listing shows whether the run exists.
	startUnanswered
	// listed means that the worker has listed the run or confirmed its start.
	listed
	// stopping means that a stop command is due or in progress.
	stopping
	// stopped means that the worker answered the stop command; the next listing confirms that the run is gone.
	stopped
)

// run is one run that the owner has commanded or the worker has listed.
type run struct {
	link.Traits
	phase       phase
	traitsKnown bool // the owner has sent its traits
	// commandPending reports whether a command about the run is in progress.
	commandPending bool
	// stopUnanswered says that the last stop command got no answer in time.
	stopUnanswered bool
	pacePercent    int // last pace that the worker confirmed, in percent
	measurement    float64
	reason         string // reported if the run turns out to be absent
	// startMS is when the start was sent, on the guard's clock; 0 for a run that this process didn't start. confirmed
	// says that the worker has confirmed the start or listed the run.
	startMS   int64
	confirmed bool
	// inherited means that the run was commanded to the incarnation before the current one, of the same ID, and may
	// have started in the current one. It is stopped, and the end of that incarnation is reported after that.
	inherited bool
}

// NewCore returns a core without a worker or an owner.
func NewCore(opt Options) *Core {
	return &Core{opt: opt, runs: map[link.RunRef]*run{}, lateStarts: map[link.RunRef]int64{}, births: newBirths(opt.StartedUnix), pacer: newPacer()}
}

// lowerSeries are announcements with rising numbers, all lower than the highest one seen: the newest number, and when the
// first of them came.
type lowerSeries struct{ seq, firstMS int64 }

// minSeriesMS is how long a series of lower numbers must go on before it counts: late messages that a link held up arrive
// together.
const minSeriesMS = 1000

// late reports whether an announcement is a late one, which newer ones have overtaken. If the worker goes on counting from a
// lower number, the higher one was no announcement of this worker.
func (c *Core) late(nowMS int64, id string, seq int64) bool {
	if seq == 0 || id != c.announcedBy || seq > c.announcedSeq {
		return false
	}
	if c.lower.seq == 0 || seq <= c.lower.seq {
		c.lower = lowerSeries{seq, nowMS}
		return true
	}
	c.lower.seq = seq
	return nowMS-c.lower.firstMS < minSeriesMS
}

// Describe records an announcement of the worker; seq numbers the announcements of an incarnation, or is 0. A late
// one is ignored. While one incarnation of the worker answers, the announcement of another is set aside: it may be a
// delayed message of an earlier incarnation or the first one of a new incarnation.
func (c *Core) Describe(nowMS int64, w link.Worker, seq int64) {
	if link.Reborn(c.incarnation, w.ID) || c.late(nowMS, w.ID, seq) {
		return
	}
	c.lower = lowerSeries{}
	c.announcedBy, c.announcedSeq = w.ID, seq
	if c.incarnation != "" && w.ID != c.incarnation {
		c.successor = &w
		return
	}
	if c.info != nil && *c.info == w {
		return
	}
	c.info, c.described = &w, false
}

// Described reports whether the current incarnation of the worker has announced itself.
func (c *Core) Described() bool { return c.info != nil && c.info.ID == c.incarnation }

// Draining reports whether the worker accepts no new runs.
func (c *Core) Draining() bool { return c.info != nil && c.info.Draining }

// Matches reports whether the commands of a message are for the current incarnation of the worker; the
// owner may not know yet that a new one has started.
func (c *Core) Matches(d link.OwnerMessage) bool { return d.Worker != "" && d.Worker == c.incarnation }

// ExtendLease extends the lease of the runs as an owner's message permits. It also records the message's
// acknowledgement and run traits, if the message is for the current incarnation. It returns false
// for an owner that was replaced.
func (c *Core) ExtendLease(d link.OwnerMessage) bool {
	if d.Epoch < c.epoch {
		return false
	}
	if d.Epoch > c.epoch {
		c.epoch = d.Epoch
		c.births.leap = 0
		c.follows = link.Following{Epoch: d.Epoch, SinceMS: d.ClockMS}
		c.inventoryDue = true
	}
	c.follows.HeardMS = max(c.follows.HeardMS, d.ClockMS)
	if d.EchoMS > 0 {
		c.deadline = max(c.deadline, d.EchoMS+c.opt.RunLease.Milliseconds())
	}
	if !c.Matches(d) {
		return true
	}
	c.ackedEnd = max(c.ackedEnd, d.AckedEnd)
	for _, k := range d.KnownRuns {
		if r := c.runs[k.RunRef]; r != nil {
			r.Traits, r.traitsKnown = k, true
		}
	}
	return true
}

// LeaseEnd returns the end of the lease on the worker's clock; 0 when the lease must not be renewed. A worker
// that doesn't answer gets no renewal: its runs are certain to expire within one lease from then, and the next answer
// may come from another incarnation, which has another clock.
func (c *Core) LeaseEnd(nowMS int64) int64 {
	if c.workerClock == 0 || nowMS >= c.deadline || c.unresponsive || c.silent() {
		return 0
	}
	left := min(c.deadline-c.workerClockAt, nowMS-c.workerClockAt+c.opt.MaxLease.Milliseconds())
	return c.workerClock + left
}

// BeginStart registers a run to start and returns the command for the worker; false when the run is already
// registered or must not be started. In the second case the run is reported as absent.
func (c *Core) BeginStart(nowMS int64, s link.Start) (Command, bool) {
	if c.runs[s.RunRef] != nil {
		return Command{}, false
	}
	until := c.LeaseEnd(nowMS)
	if reason := c.startRefusal(until); reason != "" {
		c.absent = append(c.absent, link.RunEnd{RunRef: s.RunRef, Outcome: link.Absent, Reason: reason})
		return Command{}, false
	}
	c.runs[s.RunRef] = &run{Traits: s.Traits, traitsKnown: true, commandPending: true, pacePercent: fullPace, startMS: nowMS}
	return Command{Incarnation: c.incarnation, Token: c.Token(), UntilMS: until, Start: s}, true
}

// startRefusal returns why no run may start on the worker now, or an empty string; until is the end of the lease.
func (c *Core) startRefusal(until int64) string {
	switch {
	case c.info == nil:
		return "the worker hasn't announced itself"
	case c.silent():
		return "the worker doesn't answer"
	case until == 0:
		return "no lease"
	case c.info.Draining:
		return "the worker drains"
	case c.opt.Drained != nil && c.opt.Drained(c.info.DataCentre):
		return "the data centre is drained"
	}
	return ""
}

// StartAnswered records the outcome of a start command.
func (c *Core) StartAnswered(s link.RunRef, err error, refused bool, reason string) {
	r := c.runs[s]
	if r == nil {
		return
	}
	r.commandPending = false
	r.confirmed = r.confirmed || err == nil
	if err != nil && !refused {
		c.lateStarts[s] = r.startMS
	} else {
		delete(c.lateStarts, s)
	}
	switch {
	case refused:
		delete(c.runs, s)
		c.absent = append(c.absent, link.RunEnd{RunRef: s, Outcome: link.Absent, Reason: reason})
	case err != nil && r.phase == starting:
		r.phase, r.reason = startUnanswered, "start unanswered"
	case r.phase == starting:
		r.phase = listed
	}
}

// RequestStop marks a run to be stopped.
func (c *Core) RequestStop(s link.RunRef) {
	r := c.runs[s]
	if r == nil {
		r = &run{Traits: link.Traits{RunRef: s}, pacePercent: fullPace}
		c.runs[s] = r
	}
	if r.phase != stopped {
		r.phase = stopping
	}
	if r.reason == "" {
		r.reason = "stopped by order"
	}
}

// DueStops returns the stop commands to send now and marks their runs as having a pending command.
func (c *Core) DueStops() []Command {
	var out []Command
	for ref, r := range c.runs {
		if r.phase == stopping && !r.commandPending {
			r.commandPending = true
			o := c.CommandFor(ref)
			o.Slow = r.stopUnanswered
			out = append(out, o)
		}
	}
	return out
}

// StopAnswered records the outcome of a stop command.
func (c *Core) StopAnswered(s link.RunRef, err error) {
	r := c.runs[s]
	if r == nil {
		return
	}
	r.commandPending = false
	r.stopUnanswered = err != nil
	if err == nil {
		r.phase = stopped
	}
}

// NextPoll returns the next poll of the worker; false while no incarnation of it is known.
func (c *Core) NextPoll(nowMS int64, wait time.Duration) (Poll, bool) {
	incarnation := c.polled()
	if incarnation == "" {
		return Poll{}, false
	}
	q := Poll{Incarnation: incarnation, Token: c.Token(), UntilMS: c.LeaseEnd(nowMS), AckedEnd: min(c.ackedEnd, c.listedEnd), Wait: wait}
	if c.silent() {
		// A later start of the same ID may answer, which can't be told before it does.
		q.AckedEnd, q.Wait = 0, 0
	}
	if c.successor != nil && link.Reborn(c.successor.ID, incarnation) {
		// A later start of the same ID will answer; its clock and the numbers of its ends are others.
		q.UntilMS, q.AckedEnd = 0, 0
	}
	return q, true
}

// ObserveListing processes the worker's answer to a poll; resolvable is what Resolvable returned before the poll
// was sent. A run whose stop had been answered by then and that isn't listed will never exist.
func (c *Core) ObserveListing(nowMS int64, resolvable map[link.RunRef]bool, l Listing) {
	if !c.counts(l) {
		return
	}
	if l.Incarnation != c.incarnation {
		c.begin(nowMS, resolvable, l)
	}
	c.unresponsive, c.silentSinceMS = false, 0
	// The polled incarnation has answered, so the announcement of another one was a delayed message.
	c.successor = nil
	c.workerClock, c.workerClockAt = l.ClockMS, nowMS
	seen := map[link.RunRef]bool{}
	for _, s := range l.Running {
		seen[s.RunRef] = true
		r := c.runs[s.RunRef]
		if r == nil {
			r = &run{Traits: link.Traits{RunRef: s.RunRef}, pacePercent: fullPace}
			c.runs[s.RunRef] = r
		}
		if r.phase == starting || r.phase == startUnanswered {
			r.phase = listed
		}
		r.confirmed = true
		r.measurement = s.Measurement
	}
	c.listedEnd = 0
	for _, e := range l.Ended {
		seen[e.RunRef] = true
		delete(c.runs, e.RunRef)
		c.listedEnd = max(c.listedEnd, e.Number)
	}
	for ref, r := range c.runs {
		switch {
		case seen[ref]:
		case l.EndsCut && !(r.inherited && r.phase == stopped):
			// The run may have ended. An inherited one no longer runs, and its end can't be waited for: until it has
			// settled nothing is reported, so that no end is acknowledged and every listing is cut.
		case r.phase == startUnanswered && resolvable[ref]:
			// The start may still take effect at any time until a stop has been answered.
			r.phase = stopping
		case r.phase == stopped && resolvable[ref]:
			delete(c.runs, ref)
			c.absent = append(c.absent, link.RunEnd{RunRef: ref, Outcome: link.Absent, Reason: r.reason, Unanswered: c.unanswered(ref, r)})
		case r.phase == listed && resolvable[ref]:
			// The run has ended, and its end was acknowledged before any listing showed it.
			delete(c.runs, ref)
			c.vanished = append(c.vanished, ref)
		}
	}
	c.pacer.observe(nowMS, c.runs)
}

// unanswered reports whether the start of a run that is absent may have been sent without an answer: by this process, or, if it knows
// of no start, by an earlier one on this node.
func (c *Core) unanswered(ref link.RunRef, r *run) bool {
	_, late := c.lateStarts[ref]
	return late || r.startMS == 0
}

// TakeVanished returns the runs that have vanished from the worker's listings since the last call, without an end.
func (c *Core) TakeVanished() []link.RunRef {
	out := c.vanished
	c.vanished = nil
	return out
}

// Resolvable returns the runs about which a poll sent now gives a valid answer, as no command about them is in
// progress.
func (c *Core) Resolvable() map[link.RunRef]bool {
	out := map[link.RunRef]bool{}
	for ref, r := range c.runs {
		if r.inDoubt() || r.phase == listed && !r.commandPending {
			out[ref] = true
		}
	}
	return out
}

// inDoubt reports whether only the next listing can determine the state of a run.
func (r *run) inDoubt() bool { return r.phase == startUnanswered || r.phase == stopped }

// InDoubt reports whether the state of any run can be determined only by the next listing.
func (c *Core) InDoubt() bool {
	for _, r := range c.runs {
		if r.inDoubt() {
			return true
		}
	}
	return false
}

// reset discards the state of the previous incarnation of the worker.
func (c *Core) reset() {
	clear(c.runs)
	c.absent = nil
	c.ackedEnd, c.listedEnd = 0, 0
	c.workerClock, c.silentSinceMS = 0, 0
	c.pacer = newPacer()
	c.inventoryDue, c.described = true, false
}

// PollFailed records that a poll wasn't answered.
func (c *Core) PollFailed(nowMS int64) {
	if c.silentSinceMS == 0 {
		c.silentSinceMS = nowMS
	}
}

// MarkUnresponsive records that the worker didn't answer in time.
func (c *Core) MarkUnresponsive() { c.unresponsive = true }

// DuePaceChanges returns the new pace in percent of each filler whose pace must change now and marks the runs
// as having a pending command.
func (c *Core) DuePaceChanges() map[link.RunRef]int {
	var out map[link.RunRef]int
	for ref, r := range c.runs {
		want := c.pacer.wholePercent()
		if !r.traitsKnown || !r.Filler || r.commandPending || r.phase != listed || r.pacePercent == want {
			continue
		}
		if out == nil {
			out = map[link.RunRef]int{}
		}
		out[ref] = want
		r.commandPending = true
	}
	return out
}

// TailSum returns the sum of the tail latencies of the serving tasks, in milliseconds. It changes when the
// worker has new measurements.
func (c *Core) TailSum() float64 {
	sum := 0.0
	for _, r := range c.runs {
		if r.TailTargetMS > 0 {
			sum += r.measurement
		}
	}
	return sum
}

// PaceAnswered records the outcome of a pace command.
func (c *Core) PaceAnswered(s link.RunRef, percent int, err error) {
	if r := c.runs[s]; r != nil {
		r.commandPending = false
		if err == nil {
			r.pacePercent = percent
		}
	}
}

// CommandFor returns a command about a run under the current epoch.
func (c *Core) CommandFor(s link.RunRef) Command {
	return Command{Incarnation: c.incarnation, Token: c.Token(), Start: link.Start{Traits: link.Traits{RunRef: s}}}
}

// Pace returns the pace that applies to all fillers, in percent.
func (c *Core) Pace() int { return c.pacer.wholePercent() }

// Epoch returns the highest ownership epoch seen.
func (c *Core) Epoch() int64 { return c.epoch }

// Heartbeat returns a message without a report on the current incarnation.
func (c *Core) Heartbeat(nowMS int64) link.GuardMessage {
	u := link.GuardMessage{ClockMS: nowMS, Follows: c.follows, Pace: fullPace, Unresponsive: c.unresponsive}
	if !c.Settling() {
		c.reportEnded(&u)
	}
	return u
}

// Report returns the next message to the owner; l is the newest listing, or nil when there is no new one. With
// full set, the message is a complete inventory.
func (c *Core) Report(nowMS int64, l *Listing, full bool) link.GuardMessage {
	u := link.GuardMessage{ClockMS: nowMS, Follows: c.follows, Pace: c.pacer.wholePercent(), Unresponsive: c.unresponsive}
	if c.Settling() {
		return u
	}
	c.reportEnded(&u)
	if c.incarnation == "" || c.info == nil {
		return u
	}
	if l != nil && l.Incarnation == c.incarnation {
		u.Reported, u.Listing = true, link.Listing{Running: l.Running, Ended: l.Ended, EndsCut: l.EndsCut}
		u.Inventory = full
	}
	u.Ended = append(u.Ended[:len(u.Ended):len(u.Ended)], c.absent...)
	c.absent = nil
	if full || !c.described {
		w := *c.info
		u.Worker = &w
		c.described = true
	}
	return u
}
