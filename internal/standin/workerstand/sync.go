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
	tn := w.cells[req.Cell]
	if tn == nil {
		tn = &cellState{version: 1, attempts: map[attemptKey]*attempt{}}
		w.cells[req.Cell] = tn
	}
	if req.Epoch < tn.epoch || req.Epoch == tn.epoch && req.Seq <= tn.seq {
		return workerapi.SyncResponse{}, &workerapi.StaleError{Epoch: tn.epoch}
	}
	tn.epoch, tn.seq = req.Epoch, req.Seq
	refusals := w.applyCommands(tn, req, now)
	resp := w.answer(tn, now, req)
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
	tn := w.cells[req.Cell]
	if tn == nil || tn.epoch != req.Epoch || tn.seq != req.Seq {
		return workerapi.SyncResponse{}, ErrDown
	}
	return w.answer(tn, now, req), nil
}

// answerDue reports whether a waiting sync has to be answered: an attempt ended or was checkpointed, a
// newer sync arrived, or the worker crashed.
func (w *Worker) answerDue(req workerapi.SyncRequest) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	tn := w.cells[req.Cell]
	return w.down || tn == nil || tn.epoch != req.Epoch || tn.seq != req.Seq || tn.wakeVersion > req.Since
}

// answer returns the response to a sync, with the whole inventory or the changes it requests.
func (w *Worker) answer(tn *cellState, now time.Time, req workerapi.SyncRequest) workerapi.SyncResponse {
	w.sample(tn, now)
	since := req.Since
	if req.Incarnation != w.announce.Incarnation {
		since = 0
	}
	return workerapi.SyncResponse{
		Worker: w.announce.Name, Incarnation: w.announce.Incarnation, ClockMS: w.clock(now),
		Full: since == 0, Version: tn.version, Attempts: w.inventory(tn, now, since), Residents: w.residents(),
	}
}

// clock is the worker's monotonic clock in milliseconds; it starts at 1 since 0 means none.
func (w *Worker) clock(now time.Time) int64 { return now.Sub(w.startedAt).Milliseconds() + 1 }

// applyCommands renews the lease and executes the commands of a sync. A renewal and a start require an
// echo of this incarnation's clock, so that a long-delayed sync has no effect past its lease.
func (w *Worker) applyCommands(tn *cellState, req workerapi.SyncRequest, now time.Time) []workerapi.Refusal {
	current := req.Incarnation == w.announce.Incarnation && req.EchoMS > 0
	if current {
		end := w.startedAt.Add(time.Duration(req.EchoMS-1+req.LeaseMS) * time.Millisecond)
		if end.After(tn.leaseEnd) {
			tn.leaseEnd = end
		}
	}
	var out []workerapi.Refusal
	for _, c := range req.Commands {
		if reason := w.applyCommand(tn, c, now, current); reason != "" {
			out = append(out, workerapi.Refusal{Task: c.Task, Attempt: c.Attempt, Reason: reason})
		}
	}
	return out
}

// applyCommand executes one command and returns the reason when it was refused.
func (w *Worker) applyCommand(tn *cellState, c workerapi.Command, now time.Time, current bool) string {
	key := attemptKey{c.Task, c.Attempt}
	a := tn.attempts[key]
	if a == nil {
		if c.Op != workerapi.OpStart {
			return ""
		}
		if !current || !now.Before(tn.leaseEnd) {
			return "lease has lapsed"
		}
		w.start(tn, key, c, now)
		return ""
	}
	running := a.state == workerapi.StateRunning
	switch {
	case c.Op == workerapi.OpStop:
		w.end(tn, a, workerapi.StateStopped, now, "stopped by its owner")
	case c.Op == workerapi.OpForget && !running:
		delete(tn.attempts, key)
	case c.Op == workerapi.OpThrottle && running && a.percent != c.Percent:
		a.percent = c.Percent
		tn.touch(a)
		if o, ok := w.observer.(CheckpointObserver); ok {
			o.Throttled(w.announce.Name, c.Task, c.Attempt, c.Percent, now)
		}
	case c.Op == workerapi.OpCheckpoint && running && a.savingUntil.IsZero():
		a.savingUntil, a.savingDoneMS = now.Add(checkpointTime), a.done.Milliseconds()
	}
	return ""
}

// touch gives an attempt the next version of the inventory.
func (tn *cellState) touch(a *attempt) {
	tn.version++
	a.changedVersion = tn.version
}

// touchAndWake is touch for a change that a waiting sync is answered for.
func (tn *cellState) touchAndWake(a *attempt) {
	tn.touch(a)
	tn.wakeVersion = tn.version
}

// inventory lists the attempts of a cell that changed after a version, sorted by task.
func (w *Worker) inventory(tn *cellState, now time.Time, since int64) []workerapi.Attempt {
	var out []workerapi.Attempt
	for key, a := range tn.attempts {
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
