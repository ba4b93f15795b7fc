package cell

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/internal/workerapi"
)

const (
	// pollDivisor divides the task lease into the time that a worker may take over the answer to a sync
	// without commands; it answers earlier when something ends.
	pollDivisor = 3
	// evictionSyncInterval is the time between two syncs with a worker that is checkpointing a task for an
	// eviction.
	evictionSyncInterval = 100 * time.Millisecond
	// minSyncInterval is the least time between two syncs with a worker, however urgent.
	minSyncInterval = 10 * time.Millisecond
)

// syncs adds the sync calls that are due to out.
func (o *owner) syncs(now time.Time, out []Action) []Action {
	for _, w := range o.sortedWorkers {
		if w.member.Address == "" || w.busy && !(w.polling && w.syncNow) || !o.syncDue(now, w) {
			continue
		}
		out = append(out, o.sync(now, w))
	}
	return out
}

// syncDue reports whether it is time for a sync.
func (o *owner) syncDue(now time.Time, w *worker) bool {
	since := now.Sub(w.sentAt)
	return w.syncNow && since >= minSyncInterval || since >= o.core.opt.SyncEvery || w.protection.evicting && since >= evictionSyncInterval
}

// sync returns one sync call. A worker that is not fenced gets no commands, since its inventory comes
// first.
func (o *owner) sync(now time.Time, w *worker) Sync {
	w.seq++
	w.busy, w.sentAt, w.syncNow = true, now, false
	req := workerapi.SyncRequest{
		Cell: o.core.opt.Cell, Epoch: int64(o.epoch), Seq: w.seq, EchoMS: w.clockEcho, Incarnation: w.incarnation,
		LeaseMS: o.core.opt.TaskLease.Milliseconds(), Since: w.version,
	}
	if w.fenced {
		req.Commands = o.commands(now, w)
	}
	w.polling = w.fenced && len(req.Commands) == 0 && !w.protection.evicting
	if w.polling {
		req.WaitMS = (o.core.opt.TaskLease / pollDivisor).Milliseconds()
	}
	return Sync{Worker: w.name, Addr: w.member.Address, Req: req}
}

// commands returns the commands for a worker, from the fold and its inventory.
func (o *owner) commands(now time.Time, w *worker) []workerapi.Command {
	var out []workerapi.Command
	for _, t := range sortedByID(o.core.state.held[w.name]) {
		out = o.command(now, out, w, t)
	}
	for key, a := range w.inventory {
		if o.current(w, key) != nil {
			continue
		}
		op := workerapi.OpForget
		if a.State == workerapi.StateRunning {
			op = workerapi.OpStop
		}
		out = append(out, workerapi.Command{Op: op, Task: key.task, Attempt: key.attempt})
	}
	slices.SortStableFunc(out, func(a, b workerapi.Command) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
	})
	return out
}

// command adds the commands for a task that a worker may hold.
func (o *owner) command(now time.Time, out []workerapi.Command, w *worker, t *Task) []workerapi.Command {
	key := t.key()
	if o.outbox.ending[key] {
		return out
	}
	a, listed := w.inventory[key]
	cmd := workerapi.Command{Task: t.ID, Attempt: t.Attempt}
	if !listed {
		if o.mayStart(w, t) {
			w.startSeq[key] = w.seq
			out = append(out, start(t))
		}
		return out
	}
	if a.State != workerapi.StateRunning {
		return out
	}
	ev := o.evictions[key]
	switch {
	case t.State == StateStopping || ev != nil && ev.stop:
		cmd.Op = workerapi.OpStop
		return append(out, cmd)
	case ev != nil:
		cmd.Op = workerapi.OpCheckpoint
		return append(out, cmd)
	}
	if o.checkpointDue(now, w, t) {
		cmd.Op = workerapi.OpCheckpoint
		return append(out, cmd)
	}
	if p := w.throttle[key]; p != a.Percent {
		cmd.Op, cmd.Percent = workerapi.OpThrottle, p
		out = append(out, cmd)
	}
	return out
}

// mayStart reports whether the start of an attempt that the worker doesn't list may be sent: it was
// assigned in this epoch to the worker's current incarnation, and nothing indicates that it has run
// already. An attempt of an earlier epoch is never started: the fencing sync that returned the inventory
// makes the worker reject the earlier owner's start for good, and the attempt is refused instead.
func (o *owner) mayStart(w *worker, t *Task) bool {
	return t.State == StateAssigned && t.AssignEpoch == o.epoch && t.Incarnation == w.incarnation
}

// start returns the command that starts the current attempt of a task.
func start(t *Task) workerapi.Command {
	return workerapi.Command{
		Op: workerapi.OpStart, Task: t.ID, Attempt: t.Attempt, Class: t.Class, Declare: t.Declare,
		Reserve: t.Reserve, RunMS: t.RunMS, Resume: t.Resumed,
	}
}

// syncReturned applies the answer of a worker. Only the answer to the newest sync counts.
func (o *owner) syncReturned(now time.Time, ev SyncDone) {
	w, req, resp := o.workers[ev.Sync.Worker], ev.Sync.Req, ev.Resp
	if w == nil || req.Epoch != int64(o.epoch) || req.Seq != w.seq {
		return
	}
	w.busy = false
	var stale *workerapi.StaleError
	if errors.As(ev.Err, &stale) {
		// A copy of this sync came first, or a newer owner is active; in both cases the worker's state is
		// unknown.
		w.fenced, w.version = false, 0
		return
	}
	if ev.Err != nil || resp.Version < w.version && !resp.Full {
		return
	}
	if !w.fenced || w.incarnation != resp.Incarnation {
		w.syncNow = true
	}
	restarted := w.incarnation != 0 && w.incarnation != resp.Incarnation
	if !resp.Full && (restarted || w.version != req.Since) {
		w.version = 0
		return
	}
	w.lastAnswered = req.Seq
	w.fenced, w.incarnation, w.clockEcho, w.echoAt, w.version = true, resp.Incarnation, resp.ClockMS, now, resp.Version
	o.updateInventory(now, w, req, resp)
	w.needsReconcile, w.stale = true, true
}

// updateInventory applies an answer to the inventory.
func (o *owner) updateInventory(now time.Time, w *worker, req workerapi.SyncRequest, resp workerapi.SyncResponse) {
	if resp.Full {
		clear(w.inventory)
	}
	for _, cmd := range req.Commands {
		if cmd.Op == workerapi.OpForget {
			delete(w.inventory, attemptKey{cmd.Task, cmd.Attempt})
		}
	}
	for _, a := range resp.Attempts {
		w.inventory[attemptKey{a.Task, a.Attempt}] = a
	}
	clear(w.refused)
	for _, r := range resp.Refusals {
		w.refused[attemptKey{r.Task, r.Attempt}] = r.Reason
	}
	if resp.Full || len(resp.Residents) > 0 {
		w.residents = resp.Residents
	}
	for key, a := range w.inventory {
		if a.State == workerapi.StateRunning {
			o.core.tracker.Listed(now, w.name, key.task)
		}
	}
	o.learn(now, w, resp.Attempts)
}
