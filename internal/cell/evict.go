package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/internal/place"
	"github.com/crocusspring/crocusspring/internal/resource"
	"github.com/crocusspring/crocusspring/internal/workerapi"
)

const (
	// preemptWithin is how long room is held for an urgent task before others are pushed out elsewhere.
	preemptWithin = 2 * time.Second
	// checkpointWithin is how long an eviction waits for a whole checkpoint.
	checkpointWithin = 700 * time.Millisecond
	// evictedCost is what each earlier eviction of a task counts as, in milliseconds of lost work, so
	// that the same task is not evicted again and again.
	evictedCost = 30_000
)

// eviction is an attempt that is checkpointed and stopped to give way.
type eviction struct {
	worker string
	reason string
	since  time.Time
	// before is the progress of the newest checkpoint when the eviction began.
	before int64
	stop   bool
}

// evict begins to evict an attempt.
func (o *owner) evict(now time.Time, w *worker, t *Task, reason string) {
	key := t.key()
	if o.evicts[key] != nil {
		return
	}
	o.evicts[key] = &eviction{worker: w.name, reason: reason, since: now, before: savedMS(w.mirror[key])}
	w.urge, w.guard.hurry = true, true
	o.c.noteEviction(t, w.name, reason)
	o.out.add(Report{Task: t.ID, Attempt: t.Attempt, Event: string(EventCheckpoint), Reason: reason})
}

// savedMS is the progress in the newest whole checkpoint of an attempt.
func savedMS(a workerapi.Attempt) int64 {
	if a.Checkpoint == nil {
		return 0
	}
	return a.Checkpoint.DoneMS
}

// evicting moves evictions on: an attempt is stopped once its new checkpoint is whole, or too late.
func (o *owner) evicting(now time.Time) {
	for _, w := range o.order {
		w.guard.hurry = false
	}
	for key, ev := range o.evicts {
		w := o.worker(ev.worker)
		a := w.mirror[key]
		fresh := a.Checkpoint != nil && a.Checkpoint.Attempt == key.attempt && savedMS(a) > ev.before
		if !ev.stop && (fresh || now.Sub(ev.since) > checkpointWithin) {
			ev.stop, w.urge = true, true
		}
		w.guard.hurry = true
	}
	o.inherit(now)
}

// inherit goes on with evictions that an earlier owner began.
func (o *owner) inherit(now time.Time) {
	if o.inherited {
		return
	}
	o.inherited = true
	for name, tasks := range o.c.state.held {
		for _, t := range tasks {
			if t.State == StateCheckpointing {
				o.evict(now, o.worker(name), t, t.Reason)
			}
		}
	}
}

// move evicts what still runs on drained workers once its time is up.
func (o *owner) move(now time.Time) {
	for _, w := range o.order {
		if !w.drained || !w.fenced || now.Before(w.moveAt) {
			continue
		}
		for _, t := range sorted(o.c.state.held[w.name]) {
			if t.State == StateRunning {
				o.evict(now, w, t, "worker is drained")
			}
		}
	}
}

// victim is an attempt that could give way.
type victim struct {
	task *Task
	lost int64 // milliseconds of work that a stop without a new checkpoint would cost
}

// victims returns the attempts on a worker that may give way, the least lost work first.
func (o *owner) victims(w *worker) []victim {
	var out []victim
	for _, t := range o.c.state.held[w.name] {
		key := t.key()
		// That it runs may not stand in the log yet.
		runs := w.mirror[key].State == workerapi.StateRunning && (t.State == StateRunning || t.State == StateAssigned)
		if !runs || o.c.fixed(t) || o.out.ending[key] || o.evicts[key] != nil {
			continue
		}
		a := w.mirror[key]
		out = append(out, victim{t, a.DoneMS + a.AgeMS - savedMS(a) + evictedCost*int64(t.Evictions)})
	}
	slices.SortFunc(out, func(a, b victim) int { return cmp.Or(cmp.Compare(a.lost, b.lost), cmp.Compare(a.task.ID, b.task.ID)) })
	return out
}

// preempt evicts what is needed for a task on the worker where that costs the least, and returns the
// worker; nil when nothing would help.
func (o *owner) preempt(now time.Time, pt *place.Task, open []*place.Worker) *place.Worker {
	var best *place.Worker
	var chosen []victim
	var least int64
	for _, p := range open {
		if p.Draining || p.Suspended != "" {
			continue
		}
		vs, cost, ok := o.clear(p, pt.Reserve)
		if ok && (best == nil || cost < least) {
			best, chosen, least = p, vs, cost
		}
	}
	for _, v := range chosen {
		o.evict(now, o.workers[best.Name], v.task, "gave way to urgent task "+pt.ID)
	}
	return best
}

// clear returns what has to give way on a worker for a reservation to fit. Evictions that are under
// way count as room.
func (o *owner) clear(p *place.Worker, need resource.Vector) (out []victim, cost int64, ok bool) {
	w := o.workers[p.Name]
	free := p.Free()
	for _, t := range o.c.state.held[p.Name] {
		if o.evicts[t.key()] != nil || t.State == StateStopping {
			free = free.Add(t.Reserve)
		}
	}
	for _, v := range o.victims(w) {
		if need.Fits(free) {
			break
		}
		free = free.Add(v.task.Reserve)
		out = append(out, v)
		cost += v.lost
	}
	return out, cost + int64(len(out)), need.Fits(free)
}
