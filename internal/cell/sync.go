package cell

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/internal/workerapi"
)

const (
	// pollPart is the part of the task lease that a worker may take over the answer to a sync which
	// carries nothing; it answers earlier when something ends.
	pollPart = 3
	// hurryEvery is the time between two syncs with a worker that is checkpointing a task.
	hurryEvery = 100 * time.Millisecond
	// leastGap is the least time between two syncs with a worker, however urgent.
	leastGap = 10 * time.Millisecond
)

// syncs returns the calls that are due.
func (o *owner) syncs(now time.Time, out []Action) []Action {
	for _, w := range o.order {
		if w.member.Address == "" || w.busy && !(w.polling && w.urge) || !o.due(now, w) {
			continue
		}
		out = append(out, o.sync(now, w))
	}
	return out
}

// due reports whether it is time for a sync.
func (o *owner) due(now time.Time, w *worker) bool {
	since := now.Sub(w.sentAt)
	return w.urge && since >= leastGap || since >= o.c.opt.SyncEvery || w.guard.hurry && since >= hurryEvery
}

// sync makes one call. An unfenced worker gets no commands, since its inventory comes first.
func (o *owner) sync(now time.Time, w *worker) Sync {
	w.seq++
	w.busy, w.sentAt, w.urge = true, now, false
	req := workerapi.SyncRequest{
		Cell: o.c.opt.Cell, Epoch: int64(o.epoch), Seq: w.seq, EchoMS: w.echo, Incarnation: w.incarnation,
		LeaseMS: o.c.opt.TaskLease.Milliseconds(), Since: w.version,
	}
	if w.fenced {
		req.Commands = o.commands(now, w)
	}
	w.polling = w.fenced && len(req.Commands) == 0 && !w.guard.hurry
	if w.polling {
		req.WaitMS = (o.c.opt.TaskLease / pollPart).Milliseconds()
	}
	return Sync{Worker: w.name, Addr: w.member.Address, Req: req}
}

// commands works out what a worker is to be told from the fold and its inventory.
func (o *owner) commands(now time.Time, w *worker) []workerapi.Command {
	var out []workerapi.Command
	for _, t := range sorted(o.c.state.held[w.name]) {
		out = o.command(now, out, w, t)
	}
	for key, a := range w.mirror {
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

// command adds what a worker is to be told about a task that it may hold.
func (o *owner) command(now time.Time, out []workerapi.Command, w *worker, t *Task) []workerapi.Command {
	key := t.key()
	if o.out.ending[key] {
		return out
	}
	a, listed := w.mirror[key]
	cmd := workerapi.Command{Task: t.ID, Attempt: t.Attempt}
	if !listed {
		if o.startable(w, t) {
			w.startSeq[key] = w.seq
			out = append(out, start(t))
		}
		return out
	}
	if a.State != workerapi.StateRunning {
		return out
	}
	ev := o.evicts[key]
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

// startable reports whether the start of an attempt that the worker doesn't list may be sent: it was
// assigned in this epoch to the worker's present start, and nothing says that it has run already. An
// attempt of an earlier epoch is never started: the fence that brought the inventory bars its owner's
// start for good, and the attempt is refused instead.
func (o *owner) startable(w *worker, t *Task) bool {
	return t.State == StateAssigned && t.AssignEpoch == o.epoch && t.Incarnation == w.incarnation
}

// start returns the command that starts the current attempt of a task.
func start(t *Task) workerapi.Command {
	return workerapi.Command{
		Op: workerapi.OpStart, Task: t.ID, Attempt: t.Attempt, Class: t.Class, Declare: t.Declare,
		Reserve: t.Reserve, RunMS: t.RunMS, Resume: t.Resumed,
	}
}

// synced takes the answer of a worker. Only the answer to the newest sync counts.
func (o *owner) synced(now time.Time, ev SyncDone) {
	w, req, resp := o.workers[ev.Sync.Worker], ev.Sync.Req, ev.Resp
	if w == nil || req.Epoch != int64(o.epoch) || req.Seq != w.seq {
		return
	}
	w.busy = false
	var stale *workerapi.StaleError
	if errors.As(ev.Err, &stale) {
		// A copy of this sync came first, or a newer owner is at work; either way nothing is known.
		w.fenced, w.version = false, 0
		return
	}
	if ev.Err != nil || resp.Version < w.version && !resp.Full {
		return
	}
	if !w.fenced || w.incarnation != resp.Incarnation {
		w.urge = true
	}
	restarted := w.incarnation != 0 && w.incarnation != resp.Incarnation
	if !resp.Full && (restarted || w.version != req.Since) {
		w.version = 0
		return
	}
	w.answered = req.Seq
	w.fenced, w.incarnation, w.echo, w.heard, w.version = true, resp.Incarnation, resp.ClockMS, now, resp.Version
	o.takeInventory(now, w, req, resp)
	w.unsettled, w.stale = true, true
}

// takeInventory brings the mirror up to date.
func (o *owner) takeInventory(now time.Time, w *worker, req workerapi.SyncRequest, resp workerapi.SyncResponse) {
	if resp.Full {
		clear(w.mirror)
	}
	for _, cmd := range req.Commands {
		if cmd.Op == workerapi.OpForget {
			delete(w.mirror, attemptKey{cmd.Task, cmd.Attempt})
		}
	}
	for _, a := range resp.Attempts {
		w.mirror[attemptKey{a.Task, a.Attempt}] = a
	}
	clear(w.refused)
	for _, r := range resp.Refusals {
		w.refused[attemptKey{r.Task, r.Attempt}] = r.Reason
	}
	if resp.Full || len(resp.Residents) > 0 {
		w.residents = resp.Residents
	}
	o.learn(now, w, resp.Attempts)
}
