package workerstand

import (
	"errors"
	"time"

	"github.com/crocusspring/crocusspring/internal/workerapi"
)

// duplicateAfter is how much later than the first the copy of a duplicated sync arrives.
const duplicateAfter = 300 * time.Millisecond

// ErrDown says that the worker has crashed and not restarted, or is paused, or that a newer sync replaced
// one that waited.
var ErrDown = errors.New("worker is down")

// Faults configure how a worker misbehaves. The zero value is a healthy worker.
type Faults struct {
	// FailAll makes every start fail at once.
	FailAll bool
	// SyncDelay is added before a sync is handled; a sync whose caller has given up is handled all the same.
	SyncDelay time.Duration
	// Duplicate handles every sync a second time later.
	Duplicate bool
	// LoseAnswers handles syncs but closes the connection without an answer.
	LoseAnswers bool
	// Noise multiplies the interference between neighbours; less than 1 means 1.
	Noise float64
	// UsageLag is how old usage readings are; 0 means defaultUsageLag.
	UsageLag time.Duration
}

// SetFaults changes how the worker misbehaves.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// SetFailAll makes every task fail at its start.
func (w *Worker) SetFailAll(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults.FailAll = on
}

// Pause freezes the whole host: tasks make no progress and syncs hang. Leases keep running, and an
// attempt whose lease expires during the pause never runs again.
func (w *Worker) Pause(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if w.paused == nil && !w.down {
		w.paused = make(chan struct{})
	}
}

// Resume ends a pause.
func (w *Worker) Resume(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.unpause()
}

// unpause releases the syncs that wait for the end of the pause.
func (w *Worker) unpause() {
	if w.paused != nil {
		close(w.paused)
		w.paused = nil
	}
}

// Crash ends all attempts, as when the host fails. Syncs get no answer until Restart.
func (w *Worker) Crash(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	for _, cs := range w.cells {
		for _, a := range cs.attempts {
			w.end(cs, a, workerapi.StateExpired, now, "host failed")
		}
	}
	w.cells = map[string]*cellState{}
	w.down = true
	w.unpause()
}

// Restart brings a crashed worker back with a new incarnation and no state.
func (w *Worker) Restart(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = false
	w.startedAt, w.advancedTo = now, now
	w.announce.Incarnation = max(w.announce.Incarnation+1, now.UnixNano())
}

// Down reports whether the worker has crashed and not restarted; it announces nothing meanwhile.
func (w *Worker) Down() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.down
}

// Incarnation returns the incarnation of the latest start.
func (w *Worker) Incarnation() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.announce.Incarnation
}
