// Package workerstand is a small stand-in of a platform worker for tests and demonstrations.
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
	runEvery = 5 * time.Millisecond
	// checkpointTakes is how long a checkpoint is written before it is whole.
	checkpointTakes = 50 * time.Millisecond
)

// Observer sees what really runs; calls come under the worker's lock.
type Observer interface {
	Started(worker string, c workerapi.Command, at time.Time)
	Ended(worker string, task string, attempt int, s workerapi.State, at time.Time)
}

// CheckpointObserver is an Observer that sees whole checkpoints and throttles too.
type CheckpointObserver interface {
	Checkpointed(worker string, task string, c workerapi.Checkpoint, at time.Time)
	Throttled(worker string, task string, attempt, percent int, at time.Time)
}

// Worker is the stand-in. Use New to make one.
type Worker struct {
	mu       sync.Mutex
	announce announce.Announcement
	began    time.Time
	last     time.Time // until when progress is counted
	cells    map[string]*tenant
	seen     Observer
	faults   Faults
	truth    Truth
	resident []workerapi.Resident
	paused   chan struct{} // closed on resume; nil when not paused
	down     bool
}

// tenant is what one cell has on the worker.
type tenant struct {
	epoch    int64
	seq      int64
	leaseEnd time.Time
	// version counts the changes of the inventory; moved is that of the newest end or checkpoint.
	version  int64
	moved    int64
	attempts map[attemptKey]*attempt
}

type attemptKey struct {
	task    string
	attempt int
}

// New returns a worker as its announcement describes it. The observer may be nil.
func New(a announce.Announcement, seen Observer) *Worker { return NewAt(a, seen, time.Now()) }

// NewAt is New for a worker whose clock is told by its callers.
func NewAt(a announce.Announcement, seen Observer, now time.Time) *Worker {
	return &Worker{announce: a, began: now, last: now, cells: map[string]*tenant{}, seen: seen}
}

// SetTruth sets how tasks really behave. Call it before the first start.
func (w *Worker) SetTruth(t Truth) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.truth = t
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
	t := time.NewTicker(runEvery)
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
	f := w.arrive(r.Context(), req)
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

// poll handles a sync and, where that is asked for, waits for an attempt to end before it answers.
func (w *Worker) poll(ctx context.Context, req workerapi.SyncRequest) (workerapi.SyncResponse, error) {
	resp, err := w.Sync(time.Now(), req)
	end := time.Now().Add(time.Duration(req.WaitMS) * time.Millisecond)
	for err == nil && !resp.Full && ctx.Err() == nil && time.Now().Before(end) && !w.changed(req) {
		pause.For(ctx, runEvery)
	}
	if err != nil || req.WaitMS == 0 {
		return resp, err
	}
	return w.again(time.Now(), req)
}

// arrive lets the faults of the way to the worker act on a sync.
func (w *Worker) arrive(ctx context.Context, req workerapi.SyncRequest) Faults {
	w.mu.Lock()
	f, paused := w.faults, w.paused
	w.mu.Unlock()
	if f.Duplicate {
		time.AfterFunc(f.SyncDelay+duplicateAfter, func() { _, _ = w.Sync(time.Now(), req) })
	}
	pause.For(ctx, f.SyncDelay)
	if paused != nil {
		<-paused // a frozen host handles what reached it once it thaws, given up or not
	}
	return f
}
