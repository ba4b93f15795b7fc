// Package workerstand is a small stand-in for a platform worker for tests and demonstrations.
//
// Tasks are timers: a task finishes when its run time of work is done, and neighbours and throttles
// slow it down. The stand-in enforces epochs, sequence numbers and leases as workers do.
package workerstand

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/crocusspring/crocusspring/internal/announce"
	"github.com/crocusspring/crocusspring/internal/jsonhttp"
	"github.com/crocusspring/crocusspring/internal/pause"
	"github.com/crocusspring/crocusspring/internal/workerapi"
)

const (
	tickInterval = 5 * time.Millisecond
	// checkpointTime is how long it takes to write a checkpoint.
	checkpointTime = 50 * time.Millisecond
)

// Observer is notified of attempts that actually run; it is called under the worker's lock.
type Observer interface {
	Started(worker string, c workerapi.Command, at time.Time)
	Ended(worker string, task string, attempt int, s workerapi.State, at time.Time)
}

// CheckpointObserver is implemented by an Observer that is also notified of complete checkpoints and throttles.
type CheckpointObserver interface {
	Checkpointed(worker string, task string, c workerapi.Checkpoint, at time.Time)
	Throttled(worker string, task string, attempt, percent int, at time.Time)
}

// Worker is the stand-in. Use New to make one.
type Worker struct {
	mu         sync.Mutex
	announce   announce.Announcement
	startedAt  time.Time
	advancedTo time.Time // until when progress has been added
	cells      map[string]*cellState
	observer   Observer
	faults     Faults
	taskModel  Model
	resident   []workerapi.Resident
	paused     chan struct{} // closed on resume; nil when not paused
	down       bool
}

// cellState is the state of one cell on the worker.
type cellState struct {
	epoch    int64
	seq      int64
	leaseEnd time.Time
	// version counts the changes of the inventory; wakeVersion is that of the latest end or checkpoint.
	version     int64
	wakeVersion int64
	attempts    map[attemptKey]*attempt
}

type attemptKey struct {
	task    string
	attempt int
}

// New returns a worker as its announcement describes it. The observer may be nil.
func New(a announce.Announcement, observer Observer) *Worker { return NewAt(a, observer, time.Now()) }

// NewAt is New for a worker whose callers pass the time.
func NewAt(a announce.Announcement, observer Observer, now time.Time) *Worker {
	return &Worker{announce: a, startedAt: now, advancedTo: now, cells: map[string]*cellState{}, observer: observer}
}

// SetTaskModel sets how tasks actually behave. Call it before the first start.
func (w *Worker) SetTaskModel(t Model) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.taskModel = t
}

// SetResidents sets the latency-critical services that run on the worker outside of any cell.
func (w *Worker) SetResidents(r []workerapi.Resident) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.resident = r
}

// Handler returns the HTTP interface.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/sync", w.serve)
	return mux
}

// Run ends tasks and leases as time passes until stop is closed.
func (w *Worker) Run(stop <-chan struct{}) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-stop:
			w.Crash(time.Now())
			return
		case <-t.C:
			w.Advance(time.Now())
		}
	}
}

// Advance ends what is due at a time.
func (w *Worker) Advance(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
}

// serve serves POST /v1/sync.
func (w *Worker) serve(rw http.ResponseWriter, r *http.Request) {
	var req workerapi.SyncRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || req.Cell == "" {
		http.Error(rw, "bad sync", http.StatusBadRequest)
		return
	}
	f := w.applyFaults(r.Context(), req)
	resp, err := w.poll(r.Context(), req)
	if errors.Is(err, ErrDown) || f.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	var stale *workerapi.StaleError
	if errors.As(err, &stale) {
		jsonhttp.Write(rw, http.StatusConflict, stale)
		return
	}
	jsonhttp.Write(rw, http.StatusOK, resp)
}

// poll handles a sync and, if it requests so, waits for an attempt to end before it answers.
func (w *Worker) poll(ctx context.Context, req workerapi.SyncRequest) (workerapi.SyncResponse, error) {
	resp, err := w.Sync(time.Now(), req)
	end := time.Now().Add(time.Duration(req.WaitMS) * time.Millisecond)
	for err == nil && !resp.Full && ctx.Err() == nil && time.Now().Before(end) && !w.answerDue(req) {
		pause.For(ctx, tickInterval)
	}
	if err != nil || req.WaitMS == 0 {
		return resp, err
	}
	return w.answerWaiting(time.Now(), req)
}

// applyFaults applies delay, duplication and a pause to an arriving sync and returns the faults in effect.
func (w *Worker) applyFaults(ctx context.Context, req workerapi.SyncRequest) Faults {
	w.mu.Lock()
	f, paused := w.faults, w.paused
	w.mu.Unlock()
	if f.Duplicate {
		time.AfterFunc(f.SyncDelay+duplicateAfter, func() { _, _ = w.Sync(time.Now(), req) })
	}
	pause.For(ctx, f.SyncDelay)
	if paused != nil {
		<-paused // after the pause, a host handles what arrived before, even if its caller has given up
	}
	return f
}
