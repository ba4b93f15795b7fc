package workerstand

import (
	"math"
	"time"

	"github.com/crocusspring/crocusspring/internal/resource"
	"github.com/crocusspring/crocusspring/internal/workerapi"
)

const (
	defaultUsageLag = 2 * time.Second
	sampleInterval  = 250 * time.Millisecond
	// minRelativeChange is the least relative change of a reading that is reported.
	minRelativeChange = 0.1
)

// sample is one reading of an attempt.
type sample struct {
	at       time.Time
	used     resource.Vector
	slowdown float64
	done     time.Duration
}

// sample takes readings that are due and moves the ones that are old enough into the inventory.
func (w *Worker) sample(cs *cellState, now time.Time) {
	lag := w.faults.UsageLag
	if lag == 0 {
		lag = defaultUsageLag
	}
	for _, a := range cs.attempts {
		if a.state != workerapi.StateRunning {
			continue
		}
		n := len(a.samples)
		if n == 0 || now.Sub(a.samples[n-1].at) >= sampleInterval {
			a.samples = append(a.samples, sample{now, w.wanted(a), w.slowdown(a), a.done})
		}
		for len(a.samples) > 0 && now.Sub(a.samples[0].at) >= lag {
			s := a.samples[0]
			a.samples = a.samples[1:]
			if materiallyChanged(a.reported, s) {
				a.reported = s
				cs.touch(a)
			}
		}
	}
}

// materiallyChanged reports whether a reading differs enough from the reported one.
func materiallyChanged(old, s sample) bool {
	if old.at.IsZero() {
		return true
	}
	differ := func(a, b float64) bool { return math.Abs(a-b) > minRelativeChange*math.Max(math.Abs(a), math.Abs(b)) }
	return differ(old.slowdown, s.slowdown) || differ(float64(old.used.MilliCPU), float64(s.used.MilliCPU)) ||
		differ(float64(old.done), float64(s.done)) && s.at.Sub(old.at) >= defaultUsageLag
}

// used returns what an attempt uses now; processor time is limited to the reservation and by a throttle.
func (w *Worker) used(a *attempt) resource.Vector {
	u := a.demand
	u.MilliCPU = min(u.MilliCPU, a.cmd.Reserve.MilliCPU)
	if a.percent > 0 {
		u.MilliCPU = u.MilliCPU * int64(a.percent) / 100
	}
	return u
}

// wanted returns what an attempt would use without limits: readings report demand, so that a reservation
// that is too small can be seen.
func (w *Worker) wanted(a *attempt) resource.Vector { return a.demand }

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
	for _, cs := range w.cells {
		for _, a := range cs.attempts {
			if a.state == workerapi.StateRunning {
				out = append(out, a)
			}
		}
	}
	return out
}

// slowdown returns the factor by which an attempt takes longer than it would alone.
func (w *Worker) slowdown(a *attempt) float64 { return w.classSlowdown(a.cmd.Class, a) }

// classSlowdown returns the slowdown of a class on this worker; self is left out of the neighbours.
func (w *Worker) classSlowdown(class string, self *attempt) float64 {
	if w.taskModel.Interference == 0 {
		return 1
	}
	load, noise := w.load(), max(w.faults.Noise, 1)
	out := 1.0
	for _, o := range w.running() {
		if o != self {
			out += noise * w.taskModel.PairInterference(class, o.cmd.Class, load) * float64(w.used(o).MilliCPU) / float64(max(1, w.announce.Capacity.MilliCPU))
		}
	}
	return out
}

// speeds returns the progress of each running attempt per unit of time.
func (w *Worker) speeds() map[*attempt]float64 {
	out := map[*attempt]float64{}
	for _, a := range w.running() {
		s := 1 / w.slowdown(a)
		if a.demand.MilliCPU > 0 {
			s *= float64(w.used(a).MilliCPU) / float64(a.demand.MilliCPU)
		}
		out[a] = s
	}
	return out
}

// residents returns the services of the worker with their slowdown now.
func (w *Worker) residents() []workerapi.Resident {
	out := make([]workerapi.Resident, 0, len(w.resident))
	for _, r := range w.resident {
		r.Slowdown = w.classSlowdown(r.Class, nil)
		out = append(out, r)
	}
	return out
}
