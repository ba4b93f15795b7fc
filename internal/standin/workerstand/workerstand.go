// Package workerstand is a small stand-in of a platform worker for tests and demonstrations.
//
// Tasks are timers: a task finishes when its run time of work is done. The stand-in enforces epochs,
// sequence numbers and leases as workers do.
package workerstand

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/crocusspring/crocusspring/internal/announce"
	"github.com/crocusspring/crocusspring/internal/jsonhttp"
	"github.com/crocusspring/crocusspring/internal/workerapi"
)

// Observer sees what really runs; calls come under the worker's lock.
type Observer interface {
	Started(worker string, c workerapi.Command, at time.Time)
	Ended(worker string, task string, attempt int, s workerapi.State, at time.Time)
}

// Worker is the stand-in. Use New to make one.
type Worker struct {
	mu       sync.Mutex
	announce announce.Announcement
	began    time.Time
	cells    map[string]*tenant
	seen     Observer
	// FailAll makes every start fail at once.
	failAll bool
}

// tenant is what one cell has on the worker.
type tenant struct {
	epoch    int64
	seq      int64
	leaseEnd time.Time
	attempts map[attemptKey]*attempt
}

type attemptKey struct {
	task    string
	attempt int
}

// attempt is one running or ended attempt.
type attempt struct {
	cmd     workerapi.Command
	state   workerapi.State
	started time.Time
	before  time.Duration
	ended   time.Time
	reason  string
}

// New returns a worker as its announcement describes it. The observer may be nil.
func New(a announce.Announcement, seen Observer) *Worker {
	return &Worker{announce: a, began: time.Now(), cells: map[string]*tenant{}, seen: seen}
}

// SetFailAll makes every task fail at its start.
func (w *Worker) SetFailAll(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failAll = on
}

// Handler returns the HTTP interface.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/sync", w.sync)
	return mux
}

// Run ends tasks and leases as time passes until stop is closed.
func (w *Worker) Run(stop <-chan struct{}) {
	t := time.NewTicker(5 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-stop:
			w.kill()
			return
		case <-t.C:
			w.mu.Lock()
			w.advance(time.Now())
			w.mu.Unlock()
		}
	}
}

// kill ends everything, as when the host fails.
func (w *Worker) kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for _, tn := range w.cells {
		for _, a := range tn.attempts {
			w.end(a, workerapi.StateLapsed, now, "worker was stopped")
		}
	}
}

// sync serves POST /v1/sync.
func (w *Worker) sync(rw http.ResponseWriter, r *http.Request) {
	var req workerapi.SyncRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || req.Cell == "" {
		http.Error(rw, "bad sync", http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.advance(now)
	tn := w.cells[req.Cell]
	if tn == nil {
		tn = &tenant{attempts: map[attemptKey]*attempt{}}
		w.cells[req.Cell] = tn
	}
	if req.Epoch < tn.epoch || req.Epoch == tn.epoch && req.Seq <= tn.seq {
		jsonhttp.Write(rw, http.StatusConflict, workerapi.StaleError{Epoch: tn.epoch})
		return
	}
	tn.epoch, tn.seq = req.Epoch, req.Seq
	resp := workerapi.SyncResponse{
		Worker: w.announce.Name, Incarnation: w.announce.Incarnation, ClockMS: w.clock(now),
	}
	resp.Refusals = w.commands(tn, req, now)
	resp.Attempts = tn.inventory(now)
	jsonhttp.Write(rw, http.StatusOK, resp)
}

// clock is the worker's monotonic clock in milliseconds; it starts at 1 since 0 means none.
func (w *Worker) clock(now time.Time) int64 { return now.Sub(w.began).Milliseconds() + 1 }

// commands renews the lease and does the commands of a sync.
func (w *Worker) commands(tn *tenant, req workerapi.SyncRequest, now time.Time) []workerapi.Refusal {
	current := req.Incarnation == w.announce.Incarnation && req.EchoMS > 0
	if current {
		end := w.began.Add(time.Duration(req.EchoMS-1+req.LeaseMS) * time.Millisecond)
		if end.After(tn.leaseEnd) {
			tn.leaseEnd = end
		}
	}
	var out []workerapi.Refusal
	for _, c := range req.Commands {
		if reason := w.command(tn, c, now, current); reason != "" {
			out = append(out, workerapi.Refusal{Task: c.Task, Attempt: c.Attempt, Reason: reason})
		}
	}
	return out
}

// command does one command and returns why not when it was refused.
func (w *Worker) command(tn *tenant, c workerapi.Command, now time.Time, current bool) string {
	key := attemptKey{c.Task, c.Attempt}
	a := tn.attempts[key]
	switch {
	case c.Op == workerapi.OpStart && a == nil:
		if !current || !now.Before(tn.leaseEnd) {
			return "lease has lapsed"
		}
		w.start(tn, key, c, now)
	case c.Op == workerapi.OpStop && a != nil:
		w.end(a, workerapi.StateStopped, now, "stopped by its owner")
	case c.Op == workerapi.OpForget && a != nil && a.state != workerapi.StateRunning:
		delete(tn.attempts, key)
	}
	return ""
}

// start begins an attempt.
func (w *Worker) start(tn *tenant, key attemptKey, c workerapi.Command, now time.Time) {
	a := &attempt{cmd: c, state: workerapi.StateRunning, started: now}
	if c.Resume != nil {
		a.before = time.Duration(c.Resume.DoneMS) * time.Millisecond
	}
	tn.attempts[key] = a
	if w.seen != nil {
		w.seen.Started(w.announce.Name, c, now)
	}
	if w.failAll {
		w.end(a, workerapi.StateFailed, now, "worker fails everything")
	}
}

// advance ends what is due.
func (w *Worker) advance(now time.Time) {
	for _, tn := range w.cells {
		for _, a := range tn.attempts {
			run := time.Duration(a.cmd.RunMS) * time.Millisecond
			switch {
			case a.cmd.RunMS > 0 && a.done(now) >= run:
				w.end(a, workerapi.StateFinished, now, "")
			case now.After(tn.leaseEnd):
				w.end(a, workerapi.StateLapsed, now, "lease has lapsed")
			}
		}
	}
}

// end moves a running attempt to an end state.
func (w *Worker) end(a *attempt, s workerapi.State, now time.Time, reason string) {
	if a.state != workerapi.StateRunning {
		return
	}
	a.state, a.ended, a.reason = s, now, reason
	if w.seen != nil {
		w.seen.Ended(w.announce.Name, a.cmd.Task, a.cmd.Attempt, s, now)
	}
}

// done returns the work done so far.
func (a *attempt) done(now time.Time) time.Duration {
	if a.state != workerapi.StateRunning {
		now = a.ended
	}
	return a.before + now.Sub(a.started)
}

// inventory lists the attempts of a cell in order.
func (tn *tenant) inventory(now time.Time) []workerapi.Attempt {
	var out []workerapi.Attempt
	for key, a := range tn.attempts {
		item := workerapi.Attempt{Task: key.task, Attempt: key.attempt, State: a.state, Reason: a.reason}
		if a.state == workerapi.StateStopped || a.state == workerapi.StateLapsed {
			item.Checkpoint = &workerapi.Checkpoint{Attempt: key.attempt, DoneMS: a.done(now).Milliseconds()}
		}
		out = append(out, item)
	}
	slices.SortFunc(out, func(a, b workerapi.Attempt) int { return strings.Compare(a.Task, b.Task) })
	return out
}
