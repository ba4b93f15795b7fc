package cell

import (
	"time"

	"github.com/crocusspring/crocusspring/internal/place"
	"github.com/crocusspring/crocusspring/internal/queue"
	"github.com/crocusspring/crocusspring/internal/resource"
)

// maxPlaced bounds the tasks that are tried in one round.
const maxPlaced = 512

// hold keeps room on a worker for a task that waits for it.
type hold struct {
	worker  string
	reserve resource.Vector
	urgent  bool
	until   time.Time
}

// shape is what tells tasks apart for placement. Tasks of one shape that find no worker in a round
// are not tried one by one.
type shape struct {
	class, service string
	reserve        resource.Vector
}

// schedule places waiting tasks on workers that have been fenced under this epoch.
func (o *owner) schedule(now time.Time) {
	if o.queue.Len() == 0 {
		return
	}
	var open []*place.Worker
	full := map[shape]string{}
	for range maxPlaced {
		it, ok := o.queue.Next(now)
		if !ok {
			return
		}
		t := o.c.state.tasks[it.ID]
		if t == nil || !t.Waits() {
			o.queue.Remove(it.ID)
			continue
		}
		if open == nil {
			open = o.open(now)
		}
		o.try(now, it, t, open, full)
	}
}

// try places one task, or says why it has to wait.
func (o *owner) try(now time.Time, it queue.Item, t *Task, open []*place.Worker, full map[shape]string) {
	pt := o.placeTask(t)
	s := shape{t.Class, t.Service, pt.Reserve}
	h, held := o.holds[t.ID]
	if reason, ok := full[s]; ok && !held && !it.Urgent {
		o.queue.BackOff(now, t.ID, reason)
		return
	}
	if reason := o.c.beyondQuota(t); reason != "" {
		o.park(t, reason)
		return
	}
	if ok, kind := o.shares.Allows(t.Workspace, pt.Reserve); !ok {
		o.queue.BackOff(now, t.ID, "workspace has used up its quota of "+kind)
		return
	}
	if held {
		o.release(h, open)
	}
	open, barred := o.allowed(now, pt, open)
	o.c.effects.about(pt.Class)
	w, refusals := o.c.pipe.Select(pt, open)
	if w != nil {
		o.assign(now, t, pt, w)
		return
	}
	if reason := o.never(t); reason != "" && now.Sub(o.since) >= settleIn {
		o.park(t, reason)
		return
	}
	reason := summary(append(refusals, barred...))
	o.makeRoom(now, it, t, pt, open, h, held)
	full[s] = reason
	o.queue.BackOff(now, t.ID, reason)
}

// park sets a task aside that can't run.
func (o *owner) park(t *Task, reason string) {
	delete(o.holds, t.ID)
	o.queue.Park(t.ID, reason)
	o.out.add(Report{Task: t.ID, Event: string(EventReject), Reason: reason})
}

// makeRoom lets an urgent task push others out, and an old one hold room.
func (o *owner) makeRoom(now time.Time, it queue.Item, t *Task, pt *place.Task, open []*place.Worker, h hold, held bool) {
	if held && now.Before(h.until) {
		o.keep(t.ID, h, open)
		return
	}
	delete(o.holds, t.ID)
	switch {
	case it.Urgent:
		if w := o.preempt(now, pt, o.free(open, true)); w != nil {
			o.displace(w.Name, open)
			o.keep(t.ID, hold{w.Name, pt.Reserve, true, now.Add(preemptWithin)}, open)
		}
	case o.queue.MayHold(now, it):
		if w := place.HoldWorker(pt, o.free(open, false)); w != nil {
			o.keep(t.ID, hold{w.Name, pt.Reserve, false, now.Add(holdFor)}, open)
		}
	}
}

// free returns the workers on which no room is held; an urgent task may displace a hold that is not
// urgent. One task holds room on a worker at a time, since two could keep each other out for ever.
func (o *owner) free(open []*place.Worker, urgent bool) []*place.Worker {
	taken := map[string]bool{}
	for _, h := range o.holds {
		taken[h.worker] = taken[h.worker] || !urgent || h.urgent
	}
	var out []*place.Worker
	for _, w := range open {
		if !taken[w.Name] {
			out = append(out, w)
		}
	}
	return out
}

// displace ends the hold on a worker.
func (o *owner) displace(worker string, open []*place.Worker) {
	for id, h := range o.holds {
		if h.worker == worker {
			o.release(h, open)
			delete(o.holds, id)
		}
	}
}

// holdFor is how long room is held on one worker before another is tried.
const holdFor = time.Minute

// keep holds room on a worker.
func (o *owner) keep(id string, h hold, open []*place.Worker) {
	o.holds[id] = h
	o.reserve(h, open)
}

// reserve counts held room as reserved for the rest of the round.
func (o *owner) reserve(h hold, open []*place.Worker) {
	o.worker(h.worker).stale = true
	for _, w := range open {
		if w.Name == h.worker {
			w.Reserved = w.Reserved.Add(h.reserve)
		}
	}
}

// release takes held room back for the task it was meant for.
func (o *owner) release(h hold, open []*place.Worker) {
	for _, w := range open {
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
	o.out.assigns = append(o.out.assigns, a)
	o.queue.Placed(t.ID)
	o.c.track.Started(now, w.name, t.ID)
	if p.Suspended == "" {
		p.Suspended = o.c.track.Refuse(now, w.name)
	}
	if t.Service != "" {
		o.racksStale = true
	}
}

// open returns the workers that can take a start. A round notes in them what it has decided; held room
// counts as reserved.
func (o *owner) open(now time.Time) []*place.Worker {
	o.countRacks()
	o.c.effects.renew(now)
	for id, h := range o.holds {
		o.worker(h.worker).stale = true
		if t := o.c.state.tasks[id]; t == nil || !t.Waits() {
			delete(o.holds, id)
		}
	}
	out := make([]*place.Worker, 0, len(o.order))
	for _, w := range o.order {
		if !w.open() {
			continue
		}
		v := o.refresh(now, w)
		v.Draining, v.Suspended = w.drained, o.c.track.Refuse(now, w.name)
		o.c.noteProbation(w, v.Suspended)
		v.RackServices = o.racks[v.Rack]
		out = append(out, v)
	}
	for _, h := range o.holds {
		o.reserve(h, out)
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
	for name, tasks := range o.c.state.held {
		for _, t := range tasks {
			o.countRack(name, t)
		}
	}
	for _, a := range o.assumed {
		if t := o.c.state.tasks[a.Task]; t != nil {
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

// placeTask returns what placement has to know of a task.
func (o *owner) placeTask(t *Task) *place.Task {
	return &place.Task{ID: t.ID, Class: t.Class, Reserve: o.c.size(t), Service: t.Service, FailedOn: t.FailedOn}
}

// never returns why no announced worker could hold a task even when empty.
func (o *owner) never(t *Task) string {
	all := make([]*place.Worker, 0, len(o.order))
	for _, w := range o.order {
		if w.live {
			all = append(all, &place.Worker{Name: w.name, DataCentre: w.member.DataCentre, Capacity: w.member.Capacity.Sub(o.c.kept(w.member.Capacity))})
		}
	}
	pt := o.placeTask(t)
	pt.Reserve = t.Declare
	if reason := place.NeverFits(pt, all); reason != "" {
		return reason
	}
	return o.c.beyondQuota(t)
}

// summary is the most frequent reason of refusals, in words.
func summary(refusals []place.Refusal) string {
	if len(refusals) == 0 {
		return "no worker has been heard of under this epoch"
	}
	return place.CountReasons(refusals)[0].Reason
}
