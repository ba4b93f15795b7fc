package workerstand

import (
	"math"
	"time"

	"github.com/crocusspring/crocusspring/internal/resource"
	"github.com/crocusspring/crocusspring/internal/workerapi"
)

const (
	usualLag    = 2 * time.Second
	sampleEvery = 250 * time.Millisecond
	// material is the least relative change of a reading that makes it worth a report.
	material = 0.1
)

// sample is one reading of an attempt.
type sample struct {
	at       time.Time
	used     resource.Vector
	slowdown float64
	done     time.Duration
}

// sample takes readings that are due and moves the ones that are old enough into the inventory.
func (w *Worker) sample(tn *tenant, now time.Time) {
	lag := w.faults.UsageLag
	if lag == 0 {
		lag = usualLag
	}
	for _, a := range tn.attempts {
		if a.state != workerapi.StateRunning {
			continue
		}
		n := len(a.samples)
		if n == 0 || now.Sub(a.samples[n-1].at) >= sampleEvery {
			a.samples = append(a.samples, sample{now, w.wanted(a), w.slowdown(a), a.done})
		}
		for len(a.samples) > 0 && now.Sub(a.samples[0].at) >= lag {
			s := a.samples[0]
			a.samples = a.samples[1:]
			if changed(a.reported, s) {
				a.reported = s
				tn.touch(a)
			}
		}
	}
}

// changed reports whether a reading differs enough from the reported one.
func changed(old, s sample) bool {
	if old.at.IsZero() {
		return true
	}
	far := func(a, b float64) bool { return math.Abs(a-b) > material*math.Max(math.Abs(a), math.Abs(b)) }
	return far(old.slowdown, s.slowdown) || far(float64(old.used.MilliCPU), float64(s.used.MilliCPU)) ||
		far(float64(old.done), float64(s.done)) && s.at.Sub(old.at) >= usualLag
}

// used returns what an attempt uses now; processor time is held to the reservation.
func (w *Worker) used(a *attempt) resource.Vector {
	u := a.use
	u.MilliCPU = min(u.MilliCPU, a.cmd.Reserve.MilliCPU)
	if a.percent > 0 {
		u.MilliCPU = u.MilliCPU * int64(a.percent) / 100
	}
	return u
}

// wanted returns what an attempt would use: readings show demand, so that a reservation that is too
// small can be seen.
func (w *Worker) wanted(a *attempt) resource.Vector { return a.use }

// load returns the share of the worker's processors in use.
func (w *Worker) load() float64 {
	var sum int64
	for _, r := range w.resident {
		sum += r.Reserve.MilliCPU
	}
	for _, o := range w.running() {
		sum += w.used(o).MilliCPU
	}
	return float64(sum) / float64(max(1, w.announce.Capacity.MilliCPU))
}

// running returns the running attempts of all cells.
func (w *Worker) running() []*attempt {
	var out []*attempt
	for _, tn := range w.cells {
		for _, a := range tn.attempts {
			if a.state == workerapi.StateRunning {
				out = append(out, a)
			}
		}
	}
	return out
}

// slowdown returns how much longer an attempt takes than it would alone.
func (w *Worker) slowdown(a *attempt) float64 { return w.slowed(a.cmd.Class, a) }

// slowed returns the slowdown of a class on this worker; self is left out of the neighbours.
func (w *Worker) slowed(class string, self *attempt) float64 {
	if w.truth.Strength == 0 {
		return 1
	}
	load, noise := w.load(), max(w.faults.Noise, 1)
	out := 1.0
	for _, o := range w.running() {
		if o != self {
			out += noise * w.truth.Pair(class, o.cmd.Class, load) * float64(w.used(o).MilliCPU) / float64(max(1, w.announce.Capacity.MilliCPU))
		}
	}
	return out
}

// speeds returns the progress of each running attempt per unit of time.
func (w *Worker) speeds() map[*attempt]float64 {
	out := map[*attempt]float64{}
	for _, a := range w.running() {
		s := 1 / w.slowdown(a)
		if a.use.MilliCPU > 0 {
			s *= float64(w.used(a).MilliCPU) / float64(a.use.MilliCPU)
		}
		out[a] = s
	}
	return out
}

// residents returns the services of the worker with their slowdown now.
func (w *Worker) residents() []workerapi.Resident {
	out := make([]workerapi.Resident, 0, len(w.resident))
	for _, r := range w.resident {
		r.Slowdown = w.slowed(r.Class, nil)
		out = append(out, r)
	}
	return out
}
