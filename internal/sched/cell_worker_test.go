package sched_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/crocusspring/crocusspring/internal/guard"
	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
	"github.com/crocusspring/crocusspring/internal/resource"
)

const (
	// maxHoldMS is the longest lease that a worker grants.
	maxHoldMS = 6000
	// announceMS is the time between two announcements of a worker.
	announceMS = 300
)

// cellCapacity is the capacity of each worker.
var cellCapacity = resource.Vector{MilliCPU: 8000, MemoryMB: 16000}

// cellRun is a run on a worker.
type cellRun struct {
	startedAt, lastsMS int64
	startupMS          int64
	fails              bool
	step               *job.Step
	stopping           bool
}

// cellExec is one incarnation of a worker, as PROTOCOL.md describes it.
type cellExec struct {
	w         *cellWorld
	m         *cellMachine
	id        string
	born      int64
	startedAt int64
	rate      float64
	offset    int64
	running   map[link.RunRef]*cellRun
	ended     []link.RunEnd
	nextEnd   int64
	acked     int64
	fence     map[job.TaskID]int
	token     int64
	until     int64
	up        bool
	draining  bool
	leavesAt  int64
	seq       int64
	holds     []func()
	// frozenUntil is until when the worker stands still with all its runs.
	frozenUntil int64
	cap         resource.Vector
}

// whenAwake calls f as soon as the worker runs, unless it crashes before.
func (e *cellExec) whenAwake(f func()) {
	switch {
	case !e.up:
	case e.w.now < e.frozenUntil:
		e.w.after(e.frozenUntil-e.w.now, func() { e.whenAwake(f) })
	default:
		f()
	}
}

// incarnation returns the text form of the worker's incarnation.
func (e *cellExec) incarnation() string { return link.Incarnation{ID: e.id, BornMS: e.born}.String() }

// clock returns the worker's clock, which may be slow.
func (e *cellExec) clock() int64 { return e.offset + int64(float64(e.w.now-e.startedAt)*e.rate) }

// boot starts a worker on a machine: under the ID of the one before if reborn is set, otherwise under a new one.
func (m *cellMachine) boot(reborn bool) {
	w := m.w
	w.counter++
	e := &cellExec{
		w: w, m: m, id: fmt.Sprintf("w%d-%d", m.n, w.counter), startedAt: w.now, rate: 1 - 0.02*w.rng.Float64(), offset: w.between(1000, 9_000_000),
		running: map[link.RunRef]*cellRun{}, fence: map[job.TaskID]int{}, up: true, cap: cellCapacity,
	}
	if w.births {
		e.born = w.unix()
		if reborn && m.lastID != "" {
			e.id = m.lastID
		}
	}
	if w.capsVary && w.chance(0.3) {
		e.cap = resource.Vector{MilliCPU: e.cap.MilliCPU / 2, MemoryMB: e.cap.MemoryMB / 2}
	}
	m.lastID, m.exec = e.id, e
	w.logf("worker %s boots on %s", e.incarnation(), m.node)
	e.announce()
}

// info describes the worker as its announcements do.
func (e *cellExec) info() link.Worker {
	return link.Worker{
		ID: e.incarnation(), Service: "pool", Capacity: e.cap, Kind: "a", Rack: "r-" + e.m.node, DataCentre: "dc",
		Draining: e.draining, RemainingMS: max(0, e.leavesAt-e.w.now),
	}
}

// announce sends an announcement to the guard, now and from then on.
func (e *cellExec) announce() {
	if !e.up {
		return
	}
	if e.w.now < e.frozenUntil {
		e.whenAwake(e.announce)
		return
	}
	e.seq++
	info, seq := e.info(), e.seq
	if !e.draining {
		info.RemainingMS = 0
	}
	deliver := func() {
		if g := e.m.guard; g != nil {
			g.describe(info, seq)
		}
	}
	if !e.m.cut() {
		e.w.after(e.w.between(1, 5), deliver)
	}
	if e.w.now < e.m.lateAnnouncementsUntil && e.w.chance(0.5) {
		late := e.w.between(1000, 8000)
		e.w.after(late, func() {
			e.w.touch(0)
			e.w.logf("late announcement %d of %s", seq, info.ID)
			deliver()
		})
	}
	e.w.after(announceMS+e.w.between(-30, 30), e.announce)
}

// crash ends the worker without a word.
func (m *cellMachine) crash() {
	e := m.exec
	if e == nil {
		return
	}
	m.w.logf("worker %s crashes with %d runs", e.incarnation(), len(e.running))
	e.stop()
}

// stop ends the worker and everything that runs on it.
func (e *cellExec) stop() {
	e.up = false
	for _, ref := range e.refs() {
		e.w.runGone(e, ref)
	}
	clear(e.running)
	for _, f := range e.holds {
		f()
	}
	e.holds = nil
	if e.m.exec == e {
		e.m.exec = nil
	}
}

// refs returns the runs of the worker in a fixed order.
func (e *cellExec) refs() []link.RunRef { return sortedRefs(slices.Collect(maps.Keys(e.running))) }

// sortedRefs sorts runs.
func sortedRefs(refs []link.RunRef) []link.RunRef {
	slices.SortFunc(refs, func(a, b link.RunRef) int {
		if c := strings.Compare(a.Task.String(), b.Task.String()); c != 0 {
			return c
		}
		return a.Run - b.Run
	})
	return refs
}

// drain announces that the worker will leave.
func (e *cellExec) drain(remainingMS int64) {
	e.draining, e.leavesAt = true, e.w.now+remainingMS
	e.w.logf("worker %s drains, %d ms left", e.incarnation(), remainingMS)
}

// end ends a run.
func (e *cellExec) end(ref link.RunRef, o link.Outcome) {
	r := e.running[ref]
	if r == nil || !e.up {
		return
	}
	delete(e.running, ref)
	e.nextEnd++
	e.fence[ref.Task] = max(e.fence[ref.Task], ref.Run)
	e.ended = append(e.ended, link.RunEnd{Number: e.nextEnd, RunRef: ref, Outcome: o})
	e.w.logf("  run %s#%d on %s ends %s (end %d)", ref.Task, ref.Run, e.incarnation(), o, e.nextEnd)
	if o == link.Done {
		e.w.succeeded(e, ref, e.nextEnd)
	}
	e.w.runGone(e, ref)
	holds := e.holds
	e.holds = nil
	for _, f := range holds {
		f()
	}
}

// extend extends the lease of all runs to a time of the worker's clock.
func (e *cellExec) extend(until int64) {
	until = min(until, e.clock()+maxHoldMS)
	if until <= e.until {
		return
	}
	e.until = until
	e.watchLease()
}

// watchLease ends all runs when the lease expires.
func (e *cellExec) watchLease() {
	left := e.until - e.clock()
	e.w.after(left+left/40+1, e.lapse)
}

// lapse ends all runs if the lease has expired.
func (e *cellExec) lapse() {
	if !e.up || len(e.running) == 0 || e.clock() < e.until {
		return
	}
	e.w.logf("lease of %s lapses", e.incarnation())
	for _, ref := range e.refs() {
		e.end(ref, link.Expired)
	}
}

// checkToken notes a fencing token; it returns an error for one that is lower than the highest seen.
func (e *cellExec) checkToken(token int64) error {
	if token < e.token {
		return &guard.RefusedError{Reason: guard.ReasonFence}
	}
	e.token = token
	return nil
}

// start carries out a run-start.
func (e *cellExec) start(o guard.Command) error {
	if err := e.checkToken(o.Token); err != nil {
		return err
	}
	ref := o.Start.RunRef
	if e.running[ref] != nil {
		e.extend(o.UntilMS)
		return nil
	}
	if ref.Run <= e.fence[ref.Task] {
		e.extend(o.UntilMS)
		return &guard.RefusedError{Reason: "old"}
	}
	if e.clock() >= o.UntilMS {
		return &guard.RefusedError{Reason: "late"}
	}
	e.extend(o.UntilMS)
	if !e.w.step(ref.Task).Reserve().Fits(e.free()) && e.w.rejectsOverload {
		return &guard.RefusedError{Reason: "room"}
	}
	for other := range e.running {
		if other.Task == ref.Task && other.Run > ref.Run {
			return &guard.RefusedError{Reason: "old"}
		}
	}
	e.begin(ref)
	return nil
}

// begin begins a run.
func (e *cellExec) begin(ref link.RunRef) {
	s := e.w.step(ref.Task)
	r := &cellRun{startedAt: e.w.now, step: s, startupMS: e.w.between(100, 900)}
	r.lastsMS = max(20, int64(float64(s.EstimateMS)*(0.6+0.8*e.w.rng.Float64())))
	e.running[ref] = r
	e.w.logf("  run %s#%d begins on %s", ref.Task, ref.Run, e.incarnation())
	e.w.runBegan(e, ref)
	r.fails = e.w.chance(e.w.failureShare)
	if s.LongRunning {
		r.lastsMS = 1 << 40
		if r.fails {
			r.lastsMS = e.w.between(500, 20_000)
		}
	}
	e.w.after(r.lastsMS, func() { e.whenAwake(func() { e.finish(ref, r) }) })
}

// finish ends a run that has done its work.
func (e *cellExec) finish(ref link.RunRef, r *cellRun) {
	switch {
	case e.running[ref] != r:
	case r.fails:
		e.end(ref, link.Failed)
	case r.step.Gang:
		e.finishGang(ref)
	default:
		e.end(ref, link.Done)
	}
}

// finishGang ends a run of a gang, and with it the whole gang if all its members are there.
func (e *cellExec) finishGang(ref link.RunRef) {
	n := 0
	members := e.w.judge.jobs[ref.Task.Job].byID
	for id := range members {
		if id.Step == ref.Task.Step && members[id].running > 0 {
			n++
		}
	}
	if n < e.running[ref].step.Count {
		e.end(ref, link.GangIncomplete)
		return
	}
	e.end(ref, link.Done)
	for _, m := range e.w.machines {
		if m.exec == nil {
			continue
		}
		for _, other := range m.exec.refs() {
			if other.Task.Job == ref.Task.Job && other.Task.Step == ref.Task.Step {
				m.exec.end(other, link.Done)
			}
		}
	}
}

// free returns what runs leave of the capacity.
func (e *cellExec) free() resource.Vector {
	f := e.cap
	for _, r := range e.running {
		f = f.Sub(r.step.Reserve())
	}
	return f
}

// halt carries out a run-stop.
func (e *cellExec) halt(o guard.Command) error {
	if err := e.checkToken(o.Token); err != nil {
		return err
	}
	ref := o.Start.RunRef
	e.fence[ref.Task] = max(e.fence[ref.Task], ref.Run)
	if r := e.running[ref]; r != nil && !r.stopping {
		r.stopping = true
		e.w.after(e.w.between(20, e.w.stopMS), func() {
			e.whenAwake(func() {
				if e.running[ref] == r {
					e.end(ref, link.Stopped)
				}
			})
		})
	}
	return nil
}

// hold carries out a hold, and answers at an end or after its wait.
func (e *cellExec) hold(q guard.Poll, answer func(guard.Listing, error)) {
	if err := e.checkToken(q.Token); err != nil {
		answer(guard.Listing{}, err)
		return
	}
	e.acknowledge(q.AckedEnd)
	if q.UntilMS > 0 {
		e.extend(q.UntilMS)
	}
	if len(e.ended) > 0 || q.Wait == 0 {
		answer(e.listing(), nil)
		return
	}
	done := false
	once := func() {
		if done {
			return
		}
		done = true
		if !e.up {
			answer(guard.Listing{}, errReset)
			return
		}
		answer(e.listing(), nil)
	}
	e.holds = append(e.holds, once)
	e.w.after(q.Wait.Milliseconds(), once)
}

// acknowledge forgets ends up to a number.
func (e *cellExec) acknowledge(upTo int64) {
	e.acked = max(e.acked, upTo)
	e.ended = slices.DeleteFunc(e.ended, func(end link.RunEnd) bool { return end.Number <= e.acked })
}

// listing lists runs and ends.
func (e *cellExec) listing() guard.Listing {
	l := guard.Listing{Incarnation: e.incarnation(), ClockMS: e.clock()}
	for _, ref := range e.refs() {
		r := e.running[ref]
		l.Running = append(l.Running, link.RunStatus{RunRef: ref, Percent: r.percent(e.w.now), Measurement: float64(r.step.Demand.MilliCPU)})
	}
	l.Ended = slices.Clone(e.ended[:min(len(e.ended), e.w.listedEnds)])
	l.EndsCut = len(l.Ended) >= e.w.listedEnds
	return l
}

// percent returns the progress of a run.
func (r *cellRun) percent(now int64) float64 {
	if r.step.LongRunning {
		if now-r.startedAt >= r.startupMS {
			return 100
		}
		return 0
	}
	return float64(min(99, 100*(now-r.startedAt)/max(1, r.lastsMS)))
}

// errReset means that the connection of a call was broken.
var errReset = errors.New("connection reset")

// cellFate is what becomes of one call to a worker.
type cellFate int

const (
	fateAnswered cellFate = iota
	fateLost
	fateUnanswered
	fateLate
	fateRefused
	fateSlow
	fateSluggish
)

// fate draws what becomes of a call.
func (m *cellMachine) fate() cellFate {
	if m.cut() {
		return fateLost
	}
	if m.w.now >= m.callFaultsUntil || !m.w.chance(m.callFaultShare) {
		return fateAnswered
	}
	return m.callFates[m.w.rng.IntN(len(m.callFates))]
}

// cut reports whether the worker is cut off from its guard.
func (m *cellMachine) cut() bool { return m.w.now < m.cutUntil }

// call makes a call to the worker of a machine. carry executes it there and answers; done gets the error of a call
// without an answer. It reports the answer of the call or a deadline after limitMS, once.
func (m *cellMachine) call(expect string, limitMS int64, carry func(e *cellExec, answer func(error)), done func(error)) {
	w := m.w
	finished := false
	finish := func(err error) {
		if !finished {
			finished = true
			done(err)
		}
	}
	w.after(limitMS, func() { finish(context.DeadlineExceeded) })
	fate := m.fate()
	var again func(answer func(error))
	execute := func(answer func(error)) {
		e := m.exec
		switch {
		case e == nil:
			answer(errNoConnection)
		case expect != "" && link.ParseIncarnation(expect).ID != e.id:
			answer(guard.ErrOtherIncarnation)
		case w.now < e.frozenUntil:
			w.after(e.frozenUntil-w.now+w.between(0, 20), func() { again(answer) })
		default:
			carry(e, answer)
		}
	}
	again = execute
	back := func(lowMS, highMS int64) func(error) {
		return func(err error) { w.after(w.between(lowMS, highMS), func() { finish(err) }) }
	}
	switch fate {
	case fateAnswered:
		w.after(w.between(1, 4), func() { execute(back(1, 4)) })
	case fateLost:
	case fateUnanswered:
		w.after(w.between(1, 4), func() { execute(func(error) {}) })
	case fateLate:
		w.after(w.between(2000, 12_000), func() {
			w.touch(0)
			execute(func(error) {})
		})
	case fateRefused:
		back(2, 8)(&guard.RefusedError{Reason: "status 503"})
	case fateSluggish:
		w.after(w.between(130, 250), func() { execute(back(80, 200)) })
	case fateSlow:
		w.after(w.between(20, 150), func() { execute(back(20, 400)) })
	}
}

// holdUpStart holds up the next start at the machine.
func (m *cellMachine) holdUpStart(ms int64) { m.nextStartLateMS, m.heldUp = ms, link.RunRef{} }

// callStart calls the worker of a machine to start a run.
func (m *cellMachine) callStart(o guard.Command, done func(error)) {
	carry := func(e *cellExec, answer func(error)) { answer(e.start(o)) }
	if m.nextStartLateMS == 0 {
		m.call(o.Incarnation, callTimeoutMS, carry, done)
		return
	}
	lateMS := m.nextStartLateMS
	m.nextStartLateMS, m.heldUp = 0, o.Start.RunRef
	m.w.logf("start of %s#%d is held up on %s for %d ms", o.Start.Task, o.Start.Run, m.node, lateMS)
	m.w.after(callTimeoutMS, func() { done(context.DeadlineExceeded) })
	m.w.after(lateMS, func() {
		if e := m.exec; e != nil && link.ParseIncarnation(o.Incarnation).ID == e.id {
			m.w.touch(0)
			e.whenAwake(func() { carry(e, func(error) {}) })
		}
	})
}

// refuses reports whether the worker refuses a run, since it or a later one of the task was stopped or has ended there.
func (e *cellExec) refuses(ref link.RunRef) bool {
	return e.running[ref] == nil && e.fence[ref.Task] >= ref.Run
}

// errNoConnection means that no process listens at the worker's address.
var errNoConnection = errors.New("connection refused")
