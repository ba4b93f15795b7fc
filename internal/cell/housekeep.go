package cell

import "time"

// lapse gives up the attempts of workers whose task lease has surely ended: a worker was heard of
// last, or an earlier owner renewed last, longer ago than any lease they were given. After a pause of
// the owner the wait begins anew, so that a worker can still tell what it has finished. A worker that has
// not answered this owner may have been driven by an earlier one until its ghost has passed.
func (o *owner) lapse(now time.Time) {
	wait := o.c.lease.TaskLease() + leaseMargin
	for name, tasks := range o.c.state.held {
		w := o.worker(name)
		from := o.watching
		if w.heard.IsZero() {
			from = later(from, o.c.lease.PriorHolderUntil())
		}
		from = later(from, w.heard)
		if now.Sub(from) <= wait {
			continue
		}
		w.fenced = false
		for _, t := range sorted(tasks) {
			o.out.add(Report{
				Task: t.ID, Attempt: t.Attempt, Event: string(EventLose), Checkpoint: w.mirror[t.key()].Checkpoint,
				Reason: "worker is silent and its lease has lapsed",
			})
		}
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// compact drops ended tasks that are old, or too many.
func (o *owner) compact(now time.Time) {
	if len(o.out.forget) > 0 {
		return
	}
	done := o.c.state.done
	for i, d := range done {
		age, many := now.Sub(d.at), len(done)-i > o.c.opt.MaxDone
		if age < o.c.opt.KeepDone && !(many && age >= minKeepDone) || len(o.out.forget) >= maxBatch {
			return
		}
		o.out.forget = append(o.out.forget, d.id)
	}
}

// snapshot writes the fold to the stream when it is due.
func (o *owner) snapshot(now time.Time, out []Action) []Action {
	s := &o.c.state
	if !o.snapshotDue(now) {
		return out
	}
	o.snapshotAt = now
	env, err := s.snapshot(o.c.opt.Self, o.c.lease)
	if err != nil {
		o.c.fault(err)
		return out
	}
	return append(out, Append{Record: env})
}

// snapshotDue reports whether enough was added since the newest snapshot, or that is old, or stands in
// the older half of what the log still keeps.
func (o *owner) snapshotDue(now time.Time) bool {
	s := &o.c.state
	since := int(s.next - s.snapshotAt)
	if since <= 1 || now.Sub(o.snapshotAt) < snapshotRetry {
		return false
	}
	half := o.c.first + (s.next-o.c.first)/2
	return since >= max(o.c.opt.SnapshotEvery, len(s.tasks)) || now.Sub(o.snapshotAt) >= o.c.opt.SnapshotAge ||
		o.c.first > 1 && s.snapshotAt < half
}

// reconsider brings back tasks that a worker could hold now.
func (o *owner) reconsider(now time.Time) {
	if now.Sub(o.since) < settleIn {
		return
	}
	for _, t := range sorted(o.c.state.parked) {
		if o.never(t) == "" {
			o.out.add(Report{Task: t.ID, Event: string(EventRequeue)})
		}
	}
}
