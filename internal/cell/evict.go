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
	// preemptTimeout is how long resources are held for an urgent task before attempts on another worker are
	// preempted.
	preemptTimeout = 2 * time.Second
	// checkpointTimeout is how long an eviction waits for a complete checkpoint.
	checkpointTimeout = 700 * time.Millisecond
	// repeatEvictionCostMS is the lost work, in milliseconds, that each earlier eviction of a task counts
	// as, so that the same task is not evicted again and again.
	repeatEvictionCostMS = 30_000
)

// eviction is an attempt that is checkpointed and stopped to free its resources.
type eviction struct {
	worker    string
	reason    string
	startedAt time.Time
	// savedAtStartMS is the progress in the newest checkpoint when the eviction began.
	savedAtStartMS int64
	stop           bool
}

// evict starts the eviction of an attempt, unless one is in progress.
func (o *owner) evict(now time.Time, w *worker, t *Task, reason string) {
	key := t.key()
	if o.evictions[key] != nil {
		return
	}
	o.evictions[key] = &eviction{worker: w.name, reason: reason, startedAt: now, savedAtStartMS: savedMS(w.inventory[key])}
	w.syncNow, w.protection.evicting = true, true
	o.core.recordEviction(t, w.name, reason)
	o.outbox.add(Report{Task: t.ID, Attempt: t.Attempt, Event: string(EventCheckpoint), Reason: reason})
}

// savedMS returns the progress in the newest complete checkpoint of an attempt, in milliseconds of work.
func savedMS(a workerapi.Attempt) int64 {
	if a.Checkpoint == nil {
		return 0
	}
	return a.Checkpoint.DoneMS
}

// advanceEvictions stops each evicted attempt once its new checkpoint is complete or checkpointTimeout has
// passed.
func (o *owner) advanceEvictions(now time.Time) {
	for _, w := range o.sortedWorkers {
		w.protection.evicting = false
	}
	for key, ev := range o.evictions {
		w := o.worker(ev.worker)
		a := w.inventory[key]
		fresh := a.Checkpoint != nil && a.Checkpoint.Attempt == key.attempt && savedMS(a) > ev.savedAtStartMS
		if !ev.stop && (fresh || now.Sub(ev.startedAt) > checkpointTimeout) {
			ev.stop, w.syncNow = true, true
		}
		w.protection.evicting = true
	}
	o.adoptEvictions(now)
}

// adoptEvictions continues the evictions that an earlier owner began.
func (o *owner) adoptEvictions(now time.Time) {
	if o.evictionsAdopted {
		return
	}
	o.evictionsAdopted = true
	for name, tasks := range o.core.state.held {
		for _, t := range tasks {
			if t.State == StateCheckpointing {
				o.evict(now, o.worker(name), t, t.Reason)
			}
		}
	}
}

// evictDrained evicts the attempts that still run on drained workers once the time of the drain is up.
func (o *owner) evictDrained(now time.Time) {
	for _, w := range o.sortedWorkers {
		if !w.drained || !w.fenced || now.Before(w.evictAt) {
			continue
		}
		for _, t := range sortedByID(o.core.state.held[w.name]) {
			if t.State == StateRunning {
				o.evict(now, w, t, "worker is drained")
			}
		}
	}
}

// victim is an attempt that may be evicted.
type victim struct {
	task *Task
	lost int64 // milliseconds of work that a stop without a new checkpoint would lose
}

// victims returns the attempts on a worker that may be evicted, the least lost work first.
func (o *owner) victims(w *worker) []victim {
	var out []victim
	for _, t := range o.core.state.held[w.name] {
		key := t.key()
		// The log may not contain the run event yet.
		runs := w.inventory[key].State == workerapi.StateRunning && (t.State == StateRunning || t.State == StateAssigned)
		if !runs || o.core.fixed(t) || o.outbox.ending[key] || o.evictions[key] != nil {
			continue
		}
		a := w.inventory[key]
		out = append(out, victim{t, a.DoneMS + a.AgeMS - savedMS(a) + repeatEvictionCostMS*int64(t.Evictions)})
	}
	slices.SortFunc(out, func(a, b victim) int { return cmp.Or(cmp.Compare(a.lost, b.lost), cmp.Compare(a.task.ID, b.task.ID)) })
	return out
}

// preempt evicts attempts to make a task fit, on the worker where that loses the least work, and returns
// this worker; nil when evictions free enough resources on none.
func (o *owner) preempt(now time.Time, pt *place.Task, candidates []*place.Worker) *place.Worker {
	var best *place.Worker
	var chosen []victim
	var least int64
	for _, p := range candidates {
		if p.Draining || p.Suspended != "" {
			continue
		}
		vs, cost, ok := o.planPreemption(p, pt.Reserve)
		if ok && (best == nil || cost < least) {
			best, chosen, least = p, vs, cost
		}
	}
	for _, v := range chosen {
		o.evict(now, o.workers[best.Name], v.task, "gave way to urgent task "+pt.ID)
	}
	return best
}

// planPreemption returns the attempts to evict on a worker for a reservation to fit, and the work that this
// loses. Resources of attempts that are being evicted or stopped count as free.
func (o *owner) planPreemption(p *place.Worker, need resource.Vector) (out []victim, cost int64, ok bool) {
	w := o.workers[p.Name]
	free := p.Free()
	for _, t := range o.core.state.held[p.Name] {
		if o.evictions[t.key()] != nil || t.State == StateStopping {
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
