package cell

import "time"

// expireLeases reports the attempts of workers whose task lease has certainly expired as lost: the worker
// last answered, or an earlier owner last renewed it, longer ago than any lease it was granted. After a
// pause of the owner the wait starts again, so that a worker can still report what it has finished. A
// worker that has not answered this owner may have been driven by an earlier one until the extension of
// that owner's lease has ended, so the wait starts no earlier than then.
func (o *owner) expireLeases(now time.Time) {
	wait := o.core.lease.TaskLease() + leaseMargin
	for name, tasks := range o.core.state.held {
		w := o.worker(name)
		from := o.pollingSince
		if w.echoAt.IsZero() {
			from = later(from, o.core.lease.PriorHolderUntil())
		}
		from = later(from, w.echoAt)
		if now.Sub(from) <= wait {
			continue
		}
		w.fenced = false
		for _, t := range sortedByID(tasks) {
			o.outbox.add(Report{
				Task: t.ID, Attempt: t.Attempt, Event: string(EventLose), Checkpoint: w.inventory[t.key()].Checkpoint,
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

// compact drops ended tasks that are older than KeepDone, or than minKeepDone when there are more than
// MaxDone.
func (o *owner) compact(now time.Time) {
	if len(o.outbox.forget) > 0 {
		return
	}
	done := o.core.state.done
	for i, d := range done {
		age, many := now.Sub(d.at), len(done)-i > o.core.opt.MaxDone
		if age < o.core.opt.KeepDone && !(many && age >= minKeepDone) || len(o.outbox.forget) >= maxBatch {
			return
		}
		o.outbox.forget = append(o.outbox.forget, d.id)
	}
}

// snapshot appends a snapshot of the fold when one is due.
func (o *owner) snapshot(now time.Time, out []Action) []Action {
	s := &o.core.state
	if !o.snapshotDue(now) {
		return out
	}
	o.lastSnapshot = now
	env, err := s.snapshot(o.core.opt.Self, o.core.lease)
	if err != nil {
		o.core.fault(err)
		return out
	}
	return append(out, Append{Record: env})
}

// snapshotDue reports whether enough entries were added since the newest snapshot, or that is too old, or
// lies in the older half of what the log still keeps.
func (o *owner) snapshotDue(now time.Time) bool {
	s := &o.core.state
	since := int(s.next - s.snapshotOffset)
	if since <= 1 || now.Sub(o.lastSnapshot) < snapshotRetryInterval {
		return false
	}
	half := o.core.firstKept + (s.next-o.core.firstKept)/2
	return since >= max(o.core.opt.SnapshotEvery, len(s.tasks)) || now.Sub(o.lastSnapshot) >= o.core.opt.SnapshotAge ||
		o.core.firstKept > 1 && s.snapshotOffset < half
}

// requeueParked requeues unschedulable tasks that a worker could hold now.
func (o *owner) requeueParked(now time.Time) {
	if now.Sub(o.ownedSince) < discoveryTime {
		return
	}
	for _, t := range sortedByID(o.core.state.parked) {
		if o.unschedulableReason(t) == "" {
			o.outbox.add(Report{Task: t.ID, Event: string(EventRequeue)})
		}
	}
}
