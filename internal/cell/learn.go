package cell

import (
	"math"
	"time"

	"github.com/crocusspring/crocusspring/internal/interfere"
	"github.com/crocusspring/crocusspring/internal/resource"
	"github.com/crocusspring/crocusspring/internal/workerapi"
)

const (
	// sizePrior is the weight of the declared size, in readings.
	sizePrior = 5.0
	// minSizeStep is the smallest part of the difference by which a fresh reading moves a learned size; the
	// first readings move it by more.
	minSizeStep = 0.1
	// sizeHalfLife is the age at which a reading counts half.
	sizeHalfLife = time.Minute
	// sizeDeviations is how many deviations above the mean are reserved.
	sizeDeviations = 2
)

// classUsage is the learned processor and memory usage of a class.
type classUsage struct {
	cpu, memory moments
	count       float64
}

// moments are a moving mean and mean absolute deviation.
type moments struct{ mean, dev float64 }

// usageByClass holds the learned usage of each class.
type usageByClass map[string]*classUsage

// add adds a reading of the given age.
func (s usageByClass) add(class string, used resource.Vector, age time.Duration) {
	e := s[class]
	if e == nil {
		e = &classUsage{}
		s[class] = e
	}
	weight := math.Exp2(-age.Seconds() / sizeHalfLife.Seconds())
	e.count += weight
	k := max(minSizeStep, 1/e.count) * weight
	e.cpu.update(float64(used.MilliCPU), k)
	e.memory.update(float64(used.MemoryMB), k)
}

// update moves the moments towards v by the fraction k.
func (m *moments) update(v, k float64) {
	k = min(k, 1)
	m.dev += (math.Abs(v-m.mean) - m.dev) * k
	if m.mean == 0 {
		m.dev = 0
	}
	m.mean += (v - m.mean) * k
}

// upperBound returns a value that most readings stay below.
func (m moments) upperBound() float64 { return m.mean + sizeDeviations*m.dev }

// reservation returns the resources to reserve for a task: the larger of its declared size and the size
// learned for its class, which counts the less the fewer readings there are. Learning never raises it past
// the largest worker, so that a task which could be scheduled before still can.
func (c *Core) reservation(t *Task) resource.Vector {
	out := t.Declare
	e := c.usage[t.Class]
	if e == nil {
		return out
	}
	confidence := e.count / (e.count + sizePrior)
	grow := func(declared int64, learned float64, limit int64) int64 {
		excess := learned - float64(declared)
		if excess <= 0 {
			return declared
		}
		return max(declared, min(limit, declared+int64(confidence*excess)))
	}
	var largest resource.Vector
	for _, m := range c.members {
		largest = largest.Max(m.Capacity)
	}
	out.MilliCPU = grow(out.MilliCPU, e.cpu.upperBound(), largest.MilliCPU)
	out.MemoryMB = grow(out.MemoryMB, e.memory.upperBound(), largest.MemoryMB)
	return out
}

// learn adds the new readings of attempts and services to the learned usage and interference.
func (o *owner) learn(now time.Time, w *worker, attempts []workerapi.Attempt) {
	for _, a := range attempts {
		key := attemptKey{a.Task, a.Attempt}
		t := o.current(w, key)
		at := now.Add(-time.Duration(a.AgeMS) * time.Millisecond)
		if t == nil || a.Slowdown == 0 || at.Sub(w.lastReadings[key]) < minReadingGap {
			continue
		}
		w.lastReadings[key] = at
		age := now.Sub(at)
		if a.Percent == 0 {
			o.core.usage.add(t.Class, a.Used, age)
		}
		o.learnSlowdown(w, t.Class, a.Slowdown, at, age)
	}
	for _, r := range w.residents {
		key := attemptKey{task: r.Name}
		at := now.Add(-time.Duration(r.AgeMS) * time.Millisecond)
		if r.Slowdown == 0 || at.Sub(w.lastReadings[key]) < minReadingGap {
			continue
		}
		w.lastReadings[key] = at
		o.learnSlowdown(w, r.Class, r.Slowdown, at, now.Sub(at))
	}
}

// minReadingGap is the time between two readings of one attempt below which the later one is ignored.
const minReadingGap = 200 * time.Millisecond

// learnSlowdown adds one reading to the interference model if it is known what ran beside the task at that
// time.
func (o *owner) learnSlowdown(w *worker, class string, slowdown float64, at time.Time, age time.Duration) {
	m, ok := w.mixAt(at)
	if !ok {
		return
	}
	o.core.model.Observe(interfere.Report{Class: class, Neighbours: m.neighboursOf(class), Load: m.load, Slowdown: slowdown, Age: age})
}
