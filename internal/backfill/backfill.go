// Package backfill reserves room for tasks that wait because they are large. It is pure: what runs and how long it
// will is passed in, and a reservation is a plan that its owner makes anew whenever something changes, not a promise.
//
// A large task waits while small ones that come later fit into each gap, so that none grows. A reservation names the
// worker on which enough room will be free first, as runs end there. Later tasks may go there only if they end before
// that, or take room that the reservation doesn't need.
package backfill

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/internal/resource"
)

// Run is a run that ends by itself.
type Run struct {
	// EndsIn is the expected time until its end.
	EndsIn time.Duration
	// Holds is what it frees then.
	Holds resource.Vector
}

// Worker is what a reservation takes into account of a worker.
type Worker struct {
	Free resource.Vector
	Runs []Run
}

// FreeIn returns the expected time until a worker has an amount free; false when the runs that end don't free enough.
func (w Worker) FreeIn(need resource.Vector) (time.Duration, bool) {
	free := w.Free
	if need.Fits(free) {
		return 0, true
	}
	runs := slices.SortedFunc(slices.Values(w.Runs), func(a, b Run) int { return cmp.Compare(a.EndsIn, b.EndsIn) })
	for _, r := range runs {
		free = free.Add(r.Holds)
		if need.Fits(free) {
			return max(0, r.EndsIn), true
		}
	}
	return 0, false
}

// freeAt returns what is expected to be free on a worker at a time from now.
func (w Worker) freeAt(in time.Duration) resource.Vector {
	free := w.Free
	for _, r := range w.Runs {
		if r.EndsIn <= in {
			free = free.Add(r.Holds)
		}
	}
	return free
}

// Reservation is room on a worker for one task.
type Reservation struct {
	Need resource.Vector
	// In is the expected time from now until the room is free.
	In time.Duration
}

// Delays reports whether a task that holds an amount for a time would delay a reservation on a worker.
func (r Reservation) Delays(w Worker, holds resource.Vector, lasts time.Duration) bool {
	if lasts <= r.In {
		return false
	}
	return !r.Need.Fits(w.freeAt(r.In).Sub(holds))
}

// First returns the index of the worker on which an amount is free first, within a horizon, and the expected time
// until then; false when there is none. Among those where it is free at the same time the one with the least room is
// taken, which leaves the large gaps.
func First(workers []Worker, need resource.Vector, horizon time.Duration) (int, time.Duration, bool) {
	best, bestIn := -1, horizon
	for i, w := range workers {
		in, ok := w.FreeIn(need)
		if !ok || in > horizon {
			continue
		}
		if best < 0 || in < bestIn || in == bestIn && w.Free.MilliCPU < workers[best].Free.MilliCPU {
			best, bestIn = i, in
		}
	}
	return best, bestIn, best >= 0
}
