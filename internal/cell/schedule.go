package cell

import (
	"time"

	"github.com/crocusspring/crocusspring/internal/place"
	"github.com/crocusspring/crocusspring/internal/queue"
	"github.com/crocusspring/crocusspring/internal/resource"
)

// maxPlacements bounds the tasks that are tried in one round.
const maxPlacements = 512

// hold reserves resources on a worker for a task that waits for them.
type hold struct {
	worker  string
	reserve resource.Vector
	urgent  bool
	until   time.Time
}

// shape holds what distinguishes tasks for placement. When a task finds no worker in a round, others of its
// shape are not tried, unless they are urgent or have a hold.
type shape struct {
	class, service string
	reserve        resource.Vector
}

// schedule places waiting tasks on workers that have been fenced under this epoch.
func (o *owner) schedule(now time.Time) {
	if o.queue.Len() == 0 {
		return
	}
	var candidates []*place.Worker
	unplaced := map[shape]string{}
	for range maxPlacements {
		it, ok := o.queue.Next(now)
		if !ok {
			return
		}
		t := o.core.state.tasks[it.ID]
		if t == nil || !t.Waits() {
			o.queue.Remove(it.ID)
			continue
		}
		if candidates == nil {
			candidates = o.startableWorkers(now)
		}
		o.tryPlace(now, it, t, candidates, unplaced)
	}
}

// tryPlace places one task, or records why it has to wait.
func (o *owner) tryPlace(now time.Time, it queue.Item, t *Task, candidates []*place.Worker, unplaced map[shape]string) {
	pt := o.placeTask(t)
	s := shape{t.Class, t.Service, pt.Reserve}
	h, held := o.holds[t.ID]
	if reason, ok := unplaced[s]; ok && !held && !it.Urgent {
		o.queue.BackOff(now, t.ID, reason)
		return
	}
	if reason := o.core.beyondQuota(t); reason != "" {
		o.park(t, reason)
		return
	}
	if ok, kind := o.shares.Allows(t.Workspace, pt.Reserve); !ok {
		o.queue.BackOff(now, t.ID, "workspace has used up its quota of "+kind)
		return
	}
	if held {
		o.releaseHold(h, candidates)
	}
	candidates, banned := o.filterBanned(now, pt, candidates)
	o.core.interference.selectClass(pt.Class)
	w, refusals := o.core.pipeline.Select(pt, candidates)
	if w != nil {
		o.assign(now, t, pt, w)
		return
	}
	if reason := o.unschedulableReason(t); reason != "" && now.Sub(o.ownedSince) >= discoveryTime {
		o.park(t, reason)
		return
	}
	reason := mostFrequentReason(append(refusals, banned...))
	o.preemptOrHold(now, it, t, pt, candidates, h, held)
	unplaced[s] = reason
	o.queue.BackOff(now, t.ID, reason)
}

// park reports a task as unschedulable.
func (o *owner) park(t *Task, reason string) {
	delete(o.holds, t.ID)
	o.queue.Park(t.ID, reason)
	o.outbox.add(Report{Task: t.ID, Event: string(EventReject), Reason: reason})
}

// preemptOrHold evicts others for an urgent task, and holds resources for one that has waited long.
func (o *owner) preemptOrHold(now time.Time, it queue.Item, t *Task, pt *place.Task, candidates []*place.Worker, h hold, held bool) {
	if held && now.Before(h.until) {
		o.addHold(t.ID, h, candidates)
		return
	}
	delete(o.holds, t.ID)
	switch {
	case it.Urgent:
		if w := o.preempt(now, pt, o.withoutHold(candidates, true)); w != nil {
			o.dropHold(w.Name, candidates)
			o.addHold(t.ID, hold{w.Name, pt.Reserve, true, now.Add(preemptTimeout)}, candidates)
		}
	case o.queue.MayHold(now, it):
		if w := place.HoldWorker(pt, o.withoutHold(candidates, false)); w != nil {
			o.addHold(t.ID, hold{w.Name, pt.Reserve, false, now.Add(holdDuration)}, candidates)
		}
	}
}

// withoutHold returns the workers on which no resources are held; an urgent task may displace a hold that
// is not urgent. One task holds resources on a worker at a time, since two could block each other for ever.
func (o *owner) withoutHold(candidates []*place.Worker, urgent bool) []*place.Worker {
	taken := map[string]bool{}
	for _, h := range o.holds {
		taken[h.worker] = taken[h.worker] || !urgent || h.urgent
	}
	var out []*place.Worker
	for _, w := range candidates {
		if !taken[w.Name] {
			out = append(out, w)
		}
	}
	return out
}

// dropHold ends the hold on a worker.
func (o *owner) dropHold(worker string, candidates []*place.Worker) {
	for id, h := range o.holds {
		if h.worker == worker {
			o.releaseHold(h, candidates)
			delete(o.holds, id)
		}
	}
}

// holdDuration is how long resources are held on one worker before another is tried.
const holdDuration = time.Minute

// addHold holds resources on a worker.
func (o *owner) addHold(id string, h hold, candidates []*place.Worker) {
	o.holds[id] = h
	o.reserveHold(h, candidates)
}

// reserveHold counts held resources as reserved for the rest of the round.
func (o *owner) reserveHold(h hold, candidates []*place.Worker) {
	o.worker(h.worker).stale = true
	for _, w := range candidates {
		if w.Name == h.worker {
			w.Reserved = w.Reserved.Add(h.reserve)
		}
	}
}

// releaseHold returns held resources to the worker, for the task they are meant for.
func (o *owner) releaseHold(h hold, candidates []*place.Worker) {
	for _, w := range candidates {
		if w.Name == h.worker {
			w.Reserved = w.Reserved.Sub(h.reserve)
		}
	}
}

// assign decides that a task runs on a worker.
func (o *owner) assign(now time.Time, t *Task, pt *place.Task, p *place.Worker) {
	w := o.workers[p.Name]
	p.Add(pt)
	a := Assign{
		Task: t.ID, Attempt: t.Attempt + 1, Worker: w.name, Incarnation: w.incarnation, Reserve: pt.Reserve, Resume: t.Checkpoint,
	}
	o.assumed[t.ID], w.assumed[t.ID] = a, a
	o.shares.Charge(now, t.Workspace, t.lane(), a.Reserve)
	w.stale = true
	delete(o.holds, t.ID)
	o.outbox.assigns = append(o.outbox.assigns, a)
	o.queue.Placed(t.ID)
	o.core.tracker.Started(now, w.name, t.ID)
	if p.Suspended == "" {
		p.Suspended = o.core.tracker.Refuse(now, w.name)
	}
	if t.Service != "" {
		o.racksStale = true
	}
}

// startableWorkers returns the workers that can start an attempt. The round updates them with its own
// assignments; held resources count as reserved.
func (o *owner) startableWorkers(now time.Time) []*place.Worker {
	o.countRacks()
	o.core.interference.expire(now)
	for id, h := range o.holds {
		o.worker(h.worker).stale = true
		if t := o.core.state.tasks[id]; t == nil || !t.Waits() {
			delete(o.holds, id)
		}
	}
	out := make([]*place.Worker, 0, len(o.sortedWorkers))
	for _, w := range o.sortedWorkers {
		if !w.canStart() {
			continue
		}
		v := o.refreshView(now, w)
		v.Draining, v.Suspended = w.drained, o.core.tracker.Refuse(now, w.name)
		o.core.recordProbation(w, v.Suspended)
		v.RackServices = o.racks[v.Rack]
		out = append(out, v)
	}
	for _, h := range o.holds {
		o.reserveHold(h, out)
	}
	return out
}

// countRacks counts the replicas of each service by rack when that is out of date.
func (o *owner) countRacks() {
	if !o.racksStale {
		return
	}
	o.racksStale = false
	o.racks = map[string]map[string]int{}
	for name, tasks := range o.core.state.held {
		for _, t := range tasks {
			o.countRack(name, t)
		}
	}
	for _, a := range o.assumed {
		if t := o.core.state.tasks[a.Task]; t != nil {
			o.countRack(a.Worker, t)
		}
	}
}

// countRack counts one replica.
func (o *owner) countRack(worker string, t *Task) {
	if t.Service == "" {
		return
	}
	rack := o.worker(worker).member.Rack
	if o.racks[rack] == nil {
		o.racks[rack] = map[string]int{}
	}
	o.racks[rack][t.Service]++
}

// placeTask returns the input of placement for a task.
func (o *owner) placeTask(t *Task) *place.Task {
	return &place.Task{ID: t.ID, Class: t.Class, Reserve: o.core.reservation(t), Service: t.Service, FailedOn: t.FailedOn}
}

// unschedulableReason returns why no announced worker could hold a task even when empty, or an empty
// string.
func (o *owner) unschedulableReason(t *Task) string {
	all := make([]*place.Worker, 0, len(o.sortedWorkers))
	for _, w := range o.sortedWorkers {
		if w.announced {
			all = append(all, &place.Worker{Name: w.name, DataCentre: w.member.DataCentre, Capacity: w.member.Capacity.Sub(o.core.keptFree(w.member.Capacity))})
		}
	}
	pt := o.placeTask(t)
	pt.Reserve = t.Declare
	if reason := place.NeverFits(pt, all); reason != "" {
		return reason
	}
	return o.core.beyondQuota(t)
}

// mostFrequentReason returns the most frequent reason of refusals.
func mostFrequentReason(refusals []place.Refusal) string {
	if len(refusals) == 0 {
		return "no worker has been heard of under this epoch"
	}
	return place.CountReasons(refusals)[0].Reason
}
