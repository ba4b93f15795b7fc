package cell

import (
	"math"
	"time"

	"github.com/crocusspring/crocusspring/internal/interfere"
	"github.com/crocusspring/crocusspring/internal/resource"
	"github.com/crocusspring/crocusspring/internal/workerapi"
)

const (
	// sizePrior is how many readings the declared size weighs.
	sizePrior = 5.0
	// sizeStep bounds how much one reading moves a learned size.
	sizeStep = 0.1
	// sizeHalfLife is the age at which a reading counts half.
	sizeHalfLife = time.Minute
	// sizeSpread is how many deviations are reserved above the mean.
	sizeSpread = 2
)

// size is what was learned of the real use of a class, for processors and memory.
type size struct {
	cpu, memory moments
	count       float64
}

// moments are a moving mean and deviation.
type moments struct{ mean, dev float64 }

// sizes are the learned sizes by class.
type sizes map[string]*size

// step folds a reading that is some time old.
func (s sizes) step(class string, used resource.Vector, age time.Duration) {
	e := s[class]
	if e == nil {
		e = &size{}
		s[class] = e
	}
	weight := math.Exp2(-age.Seconds() / sizeHalfLife.Seconds())
	e.count += weight
	k := max(sizeStep, 1/e.count) * weight
	e.cpu.step(float64(used.MilliCPU), k)
	e.memory.step(float64(used.MemoryMB), k)
}

// step moves the moments towards a value.
func (m *moments) step(v, k float64) {
	k = min(k, 1)
	m.dev += (math.Abs(v-m.mean) - m.dev) * k
	if m.mean == 0 {
		m.dev = 0
	}
	m.mean += (v - m.mean) * k
}

// high returns what most uses stay under.
func (m moments) high() float64 { return m.mean + sizeSpread*m.dev }

// size returns the reservation of a task: the larger of what was declared and what was learned of its
// class, which counts the less the fewer readings there are. It never grows past the largest worker,
// so that a task which could run once still can.
func (c *Core) size(t *Task) resource.Vector {
	out := t.Declare
	e := c.sizes[t.Class]
	if e == nil {
		return out
	}
	sure := e.count / (e.count + sizePrior)
	grow := func(declared int64, learned float64, limit int64) int64 {
		more := learned - float64(declared)
		if more <= 0 {
			return declared
		}
		return max(declared, min(limit, declared+int64(sure*more)))
	}
	var largest resource.Vector
	for _, m := range c.members {
		largest = largest.Max(m.Capacity)
	}
	out.MilliCPU = grow(out.MilliCPU, e.cpu.high(), largest.MilliCPU)
	out.MemoryMB = grow(out.MemoryMB, e.memory.high(), largest.MemoryMB)
	return out
}

// learn folds late readings of attempts and services.
func (o *owner) learn(now time.Time, w *worker, attempts []workerapi.Attempt) {
	for _, a := range attempts {
		key := attemptKey{a.Task, a.Attempt}
		t := o.current(w, key)
		at := now.Add(-time.Duration(a.AgeMS) * time.Millisecond)
		if t == nil || a.Slowdown == 0 || at.Sub(w.readings[key]) < readingGap {
			continue
		}
		w.readings[key] = at
		age := now.Sub(at)
		if a.Percent == 0 {
			o.c.sizes.step(t.Class, a.Used, age)
		}
		o.learnSlowdown(w, t.Class, a.Slowdown, at, age)
	}
	for _, r := range w.residents {
		key := attemptKey{task: r.Name}
		at := now.Add(-time.Duration(r.AgeMS) * time.Millisecond)
		if r.Slowdown == 0 || at.Sub(w.readings[key]) < readingGap {
			continue
		}
		w.readings[key] = at
		o.learnSlowdown(w, r.Class, r.Slowdown, at, now.Sub(at))
	}
}

// readingGap is the least time between two readings of one attempt that count as different.
const readingGap = 200 * time.Millisecond

// learnSlowdown folds one reading when it is known what ran beside the task at that time.
func (o *owner) learnSlowdown(w *worker, class string, slowdown float64, at time.Time, age time.Duration) {
	m, ok := w.mixAt(at)
	if !ok {
		return
	}
	o.c.model.Observe(interfere.Report{Class: class, Neighbours: m.without(class), Load: m.load, Slowdown: slowdown, Age: age})
}
