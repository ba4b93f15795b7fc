package sched

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
	"github.com/crocusspring/crocusspring/internal/resource"
)

// worker is one life of a worker.
type worker struct {
	id   string
	info link.Worker
	// node names the guard beside the worker; empty while it isn't known.
	node string
	// known is false until the worker has been described; nothing is placed on it before.
	known bool
	// attached says that its guard is connected and has given its inventory.
	attached bool
	// lapseAt is when all runs on a detached worker have surely ended.
	lapseAt time.Time
	// held are the tasks whose newest run may be there, and tasks the same in order of their assignment.
	held  map[job.TaskID]*task
	tasks []*task
	// strangers are runs that the worker lists and no task accounts for; they are being stopped.
	strangers map[link.RunRef]resource.Vector
	// copies are earlier runs of speculative tasks that may go on here.
	copies map[link.RunRef]*copied
	// detached is when the connection to the guard was lost, or the worker became known without one.
	detached time.Time
	// forget is the newest end that has been taken note of.
	forget int64
	// pace is what local control leaves to fillers, in percent; slowAt is since when that is less than
	// fillerPace.
	pace   int
	slowAt time.Time
	// mute says that the worker doesn't answer its guard, since muteAt.
	mute   bool
	muteAt time.Time
	// drainSeen is when a draining worker was described last.
	drainSeen time.Time
	// load is kept by the scheduler; see tally.
	load load
	// tails is what the figures of its tasks said; see observe.
	tails tails
}

// load sums what is on a worker.
type load struct {
	// reserved counts against capacity.
	reserved resource.Vector
	// serving and ending are the processors reserved by tasks that serve and by others; filling is what
	// fillers would use.
	serving, ending, filling int64
}

// worker returns a life of a worker and opens it when it is new.
func (c *Core) worker(now time.Time, id string) *worker {
	w := c.workers[id]
	if w == nil {
		w = &worker{id: id, held: map[job.TaskID]*task{}, strangers: map[link.RunRef]resource.Vector{}, copies: map[link.RunRef]*copied{}, pace: 100}
		w.lapseAt, w.detached = now.Add(c.opt.lapse()+c.opt.EchoStretch), now
		c.workers[id] = w
		i, _ := slices.BinarySearchFunc(c.order, id, func(o *worker, id string) int { return strings.Compare(o.id, id) })
		c.order = slices.Insert(c.order, i, w)
	}
	return w
}

// hold notes that a worker may have the newest run of a task.
func (c *Core) hold(now time.Time, t *task) {
	w := c.worker(now, t.worker)
	w.held[t.id] = t
	w.tasks = append(w.tasks, t)
	w.tails.stale = true
	w.load.add(t.step.spec, 1)
	t.step.occ.job.held++
}

// drop notes that a worker surely doesn't have the newest run of a task any more.
func (c *Core) drop(t *task) {
	if w := c.workers[t.worker]; w != nil && w.held[t.id] == t {
		delete(w.held, t.id)
		w.tails.stale = true
		// A new slice, since callers range over the old one.
		w.tasks = slices.DeleteFunc(slices.Clone(w.tasks), func(o *task) bool { return o == t })
		w.load.add(t.step.spec, -1)
	}
	c.ends++
	t.step.occ.job.held--
	t.worker = ""
	t.percent, t.figure = 0, 0
}

// add takes a task in with sign 1 and out with sign -1.
func (l *load) add(s *job.Step, sign int64) {
	r := s.Reserve()
	if sign < 0 {
		l.reserved = l.reserved.Sub(r)
	} else {
		l.reserved = l.reserved.Add(r)
	}
	switch {
	case s.Filler:
		l.filling += sign * s.Demand.MilliCPU
	case s.TailTargetMS > 0:
		l.serving += sign * s.Demand.MilliCPU
	default:
		l.ending += sign * s.Demand.MilliCPU
	}
}

// free returns what can still be reserved.
func (w *worker) free() resource.Vector {
	f := w.info.Capacity.Sub(w.load.reserved)
	for _, r := range w.strangers {
		f = f.Sub(r)
	}
	for _, cp := range w.copies {
		f = f.Sub(cp.task.step.spec.Reserve())
	}
	return f
}

// servingShare is the part of their reservation that serving tasks are taken to use; watchers use about
// half of it on average, in waves.
const servingShare = 0.6

// spare returns the processors that fillers could still use, in thousandths of a core.
func (w *worker) spare() int64 {
	used := int64(float64(w.load.serving)*servingShare) + w.load.ending
	return w.info.Capacity.MilliCPU - used - w.load.filling
}

// Attach takes the inventory of a worker whose guard has connected under this ownership.
func (c *Core) Attach(now time.Time, node string, info link.Worker, running []link.RunStatus, ended []link.RunEnd) {
	w := c.worker(now, info.ID)
	if w.node != node {
		w.node, c.placed[info.ID] = node, node
	}
	w.info, w.known, w.attached, w.mute = info, true, true, false
	c.ends++ // a worker that comes is as good as a run that ends
	if info.Draining {
		w.drainSeen = now
	}
	c.note(event.Worker, info.ID, fmt.Sprintf("attached running=%d ended=%d held=%d", len(running), len(ended), len(w.held)))
	listed := map[link.RunRef]bool{}
	for _, r := range running {
		listed[r.RunRef] = true
	}
	for _, e := range ended {
		listed[e.RunRef] = true
	}
	for _, t := range w.tasks {
		t.told = false
		switch {
		case t.state == stateStopping:
			c.orderStop(now, t)
		case !listed[t.ref()]:
			// Its start may still be on its way to the worker.
			c.stop(now, t, "start unanswered")
		}
	}
	c.settleCopies(now, w, listed)
	c.Report(now, info.ID, running, ended)
}

// OtherLives returns the workers that a new life beside the same guard has replaced.
func (c *Core) OtherLives(id, node string) []string {
	var out []string
	for _, w := range c.order {
		if w.id != id && node != "" && w.node == node {
			out = append(out, w.id)
		}
	}
	return out
}

// Jobs returns the number of jobs that are known.
func (c *Core) Jobs() int { return len(c.jobs) }

// Update takes a new description of an attached worker.
func (c *Core) Update(now time.Time, info link.Worker) {
	w := c.workers[info.ID]
	if w == nil || !w.attached {
		return
	}
	if info.Draining && !w.info.Draining {
		c.swept = time.Time{}
		c.note(event.Worker, info.ID, fmt.Sprintf("draining remaining_ms=%d", info.RemainingMS))
	}
	if info.Draining {
		w.drainSeen = now
	}
	w.info = info
}

// Pressure takes what a guard says of its worker as a whole.
func (c *Core) Pressure(now time.Time, id string, pace int, mute bool) {
	w := c.workers[id]
	if w == nil {
		return
	}
	if mute && !w.mute {
		w.muteAt = now
		c.note(event.Worker, id, fmt.Sprintf("not answering held=%d", len(w.held)))
	}
	if pace >= fillerPace || w.pace >= fillerPace {
		w.slowAt = now
	}
	w.pace, w.mute = pace, mute
}

// Detach says that the connection to a worker's guard is gone; nothing is echoed to it any more.
func (c *Core) Detach(now time.Time, id string) {
	w := c.workers[id]
	if w == nil || !w.attached {
		return
	}
	w.attached, w.detached = false, now
	w.lapseAt = now.Add(c.opt.lapse())
	c.note(event.Worker, id, fmt.Sprintf("detached held=%d lapse_in=%s", len(w.held), c.opt.lapse()))
}

// Gone says that a life of a worker is surely over and nothing runs in it.
func (c *Core) Gone(now time.Time, id string) {
	w := c.workers[id]
	if w == nil {
		return
	}
	c.note(event.Worker, id, fmt.Sprintf("gone held=%d", len(w.held)))
	c.evacuated(now, w)
	c.remove(w)
}

// remove forgets a worker.
func (c *Core) remove(w *worker) {
	delete(c.workers, w.id)
	if w.node != "" {
		c.placed[w.id] = ""
	}
	c.order = slices.DeleteFunc(slices.Clone(c.order), func(o *worker) bool { return o == w })
}

// lapse ends the runs of workers whose lease has surely ended.
func (c *Core) lapse(now time.Time) {
	for _, w := range c.order {
		if w.attached {
			c.lapseMute(now, w)
			continue
		}
		if now.Before(w.lapseAt) {
			continue
		}
		if len(w.held) > 0 {
			c.note(event.Lapse, w.id, fmt.Sprintf("held=%d", len(w.held)))
		}
		c.evacuated(now, w)
		c.remove(w)
	}
}

// lapseMute ends the runs of a worker that its guard has not been able to renew for a whole lease.
func (c *Core) lapseMute(now time.Time, w *worker) {
	if w.mute && len(w.held) > 0 && now.Sub(w.muteAt) > c.opt.lapse() {
		c.note(event.Lapse, w.id, fmt.Sprintf("not answering held=%d", len(w.held)))
		c.evacuated(now, w)
	}
}

// evacuated ends all runs of a worker without counting an attempt.
func (c *Core) evacuated(now time.Time, w *worker) {
	for _, t := range w.tasks {
		c.end(now, t, link.RunEnd{RunRef: t.ref(), Outcome: link.Expired, Checkpoint: t.checkpoint})
	}
	c.dropCopies(w)
}
