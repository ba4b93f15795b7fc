package workerstand

import (
	"slices"
	"strings"
	"time"

	"github.com/crocusspring/crocusspring/internal/workerapi"
)

// Sync handles one sync at a time. Its error is a *workerapi.StaleError or ErrDown.
func (w *Worker) Sync(now time.Time, req workerapi.SyncRequest) (workerapi.SyncResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down || w.paused != nil {
		return workerapi.SyncResponse{}, ErrDown
	}
	w.advance(now)
	cs := w.cells[req.Cell]
	if cs == nil {
		cs = &cellState{version: 1, attempts: map[attemptKey]*attempt{}}
		w.cells[req.Cell] = cs
	}
	if req.Epoch < cs.epoch || req.Epoch == cs.epoch && req.Seq <= cs.seq {
		return workerapi.SyncResponse{}, &workerapi.StaleError{Epoch: cs.epoch}
	}
	cs.epoch, cs.seq = req.Epoch, req.Seq
	refusals := w.applyCommands(cs, req, now)
	resp := w.answer(cs, now, req)
	resp.Refusals = refusals
	return resp, nil
}

// answerWaiting answers a sync that has waited, unless a newer one arrived meanwhile.
func (w *Worker) answerWaiting(now time.Time, req workerapi.SyncRequest) (workerapi.SyncResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down || w.paused != nil {
		return workerapi.SyncResponse{}, ErrDown
	}
	w.advance(now)
	cs := w.cells[req.Cell]
	if cs == nil || cs.epoch != req.Epoch || cs.seq != req.Seq {
		return workerapi.SyncResponse{}, ErrDown
	}
	return w.answer(cs, now, req), nil
}

// answerDue reports whether a waiting sync has to be answered: an attempt ended or was checkpointed, a
// newer sync arrived, or the worker crashed.
func (w *Worker) answerDue(req workerapi.SyncRequest) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	cs := w.cells[req.Cell]
	return w.down || cs == nil || cs.epoch != req.Epoch || cs.seq != req.Seq || cs.wakeVersion > req.Since
}

// answer returns the response to a sync, with the whole inventory or the changes it requests.
func (w *Worker) answer(cs *cellState, now time.Time, req workerapi.SyncRequest) workerapi.SyncResponse {
	w.sample(cs, now)
	since := req.Since
	if req.Incarnation != w.announce.Incarnation {
		since = 0
	}
	return workerapi.SyncResponse{
		Worker: w.announce.Name, Incarnation: w.announce.Incarnation, ClockMS: w.clock(now),
		Full: since == 0, Version: cs.version, Attempts: w.inventory(cs, now, since), Residents: w.residents(),
	}
}

// clock is the worker's monotonic clock in milliseconds; it starts at 1 since 0 means none.
func (w *Worker) clock(now time.Time) int64 { return now.Sub(w.startedAt).Milliseconds() + 1 }

// applyCommands renews the lease and executes the commands of a sync. A renewal and a start require an
// echo of this incarnation's clock, so that a long-delayed sync has no effect past its lease.
func (w *Worker) applyCommands(cs *cellState, req workerapi.SyncRequest, now time.Time) []workerapi.Refusal {
	current := req.Incarnation == w.announce.Incarnation && req.EchoMS > 0
	if current {
		end := w.startedAt.Add(time.Duration(req.EchoMS-1+req.LeaseMS) * time.Millisecond)
		if end.After(cs.leaseEnd) {
			cs.leaseEnd = end
		}
	}
	var out []workerapi.Refusal
	for _, c := range req.Commands {
		if reason := w.applyCommand(cs, c, now, current); reason != "" {
			out = append(out, workerapi.Refusal{Task: c.Task, Attempt: c.Attempt, Reason: reason})
		}
	}
	return out
}

// applyCommand executes one command and returns the reason when it was refused.
func (w *Worker) applyCommand(cs *cellState, c workerapi.Command, now time.Time, current bool) string {
	key := attemptKey{c.Task, c.Attempt}
	a := cs.attempts[key]
	if a == nil {
		if c.Op != workerapi.OpStart {
			return ""
		}
		if !current || !now.Before(cs.leaseEnd) {
			return "lease has lapsed"
		}
		w.start(cs, key, c, now)
		return ""
	}
	running := a.state == workerapi.StateRunning
	switch {
	case c.Op == workerapi.OpStop:
		w.end(cs, a, workerapi.StateStopped, now, "stopped by its owner")
	case c.Op == workerapi.OpForget && !running:
		delete(cs.attempts, key)
	case c.Op == workerapi.OpThrottle && running && a.percent != c.Percent:
		a.percent = c.Percent
		cs.touch(a)
		if o, ok := w.observer.(CheckpointObserver); ok {
			o.Throttled(w.announce.Name, c.Task, c.Attempt, c.Percent, now)
		}
	case c.Op == workerapi.OpCheckpoint && running && a.savingUntil.IsZero():
		a.savingUntil, a.savingDoneMS = now.Add(checkpointTime), a.done.Milliseconds()
	}
	return ""
}

// touch gives an attempt the next version of the inventory.
func (cs *cellState) touch(a *attempt) {
	cs.version++
	a.changedVersion = cs.version
}

// touchAndWake is touch for a change that a waiting sync is answered for.
func (cs *cellState) touchAndWake(a *attempt) {
	cs.touch(a)
	cs.wakeVersion = cs.version
}

// inventory lists the attempts of a cell that changed after a version, sorted by task.
func (w *Worker) inventory(cs *cellState, now time.Time, since int64) []workerapi.Attempt {
	var out []workerapi.Attempt
	for key, a := range cs.attempts {
		if since > 0 && a.changedVersion <= since {
			continue
		}
		item := workerapi.Attempt{
			Task: key.task, Attempt: key.attempt, State: a.state, Reason: a.reason, Checkpoint: a.saved, Percent: a.percent,
		}
		if s := a.reported; !s.at.IsZero() {
			item.Used, item.Slowdown, item.DoneMS = s.used, s.slowdown, s.done.Milliseconds()
			item.AgeMS = now.Sub(s.at).Milliseconds()
		}
		out = append(out, item)
	}
	slices.SortFunc(out, func(a, b workerapi.Attempt) int { return strings.Compare(a.Task, b.Task) })
	return out
}
