package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/internal/interfere"
)

const (
	// throttlePercent is the share of processor time a throttled task is left.
	throttlePercent = 30
	// reactIn is how long an action is given to show in usage, on top of the age of readings.
	reactIn = 3 * time.Second
	// calmFor is how long services must do well before a throttle is taken back.
	calmFor = 10 * time.Second
	// calmPart is the part of the slowdown limit below which a service does well.
	calmPart = 0.9
)

// guard is where the protection of a worker's services stands.
type guard struct {
	hurry bool // a task is being checkpointed
	acted time.Time
	calm  time.Time
}

// suffering is a service that is slowed down.
type suffering struct {
	class    string
	slowdown float64
	age      time.Duration
}

// protect holds back the neighbours of services that suffer: the one that slows the service most is
// throttled first, and evicted when that didn't help.
func (o *owner) protect(now time.Time) {
	for _, w := range o.order {
		if !w.fenced || len(o.c.state.held[w.name]) == 0 {
			continue
		}
		o.overcommitted(now, w)
		if s, ok := o.worst(w); ok {
			o.guard(now, w, s)
		}
	}
}

// worst returns the service on a worker that is slowed down most.
func (o *owner) worst(w *worker) (suffering, bool) {
	var out suffering
	note := func(class string, slowdown float64, ageMS int64) {
		if slowdown > out.slowdown {
			out = suffering{class, slowdown, time.Duration(ageMS) * time.Millisecond}
		}
	}
	for _, r := range w.residents {
		note(r.Class, r.Slowdown, r.AgeMS)
	}
	for _, t := range o.c.state.held[w.name] {
		if t.Service != "" {
			a := w.mirror[t.key()]
			note(t.Class, a.Slowdown, a.AgeMS)
		}
	}
	return out, out.slowdown > 0
}

// guard takes at most one action, and waits until usage can show its effect before the next.
func (o *owner) guard(now time.Time, w *worker, s suffering) {
	limit := o.c.opt.SlowdownLimit
	if s.slowdown > calmPart*limit {
		w.guard.calm = time.Time{}
	} else if w.guard.calm.IsZero() {
		w.guard.calm = now
	}
	switch {
	case s.slowdown > limit && now.Sub(w.guard.acted) > reactIn+s.age:
		o.holdBack(now, w, s)
	case !w.guard.calm.IsZero() && now.Sub(w.guard.calm) > calmFor:
		o.letGo(now, w)
	}
}

// holdBack acts on the neighbour that slows a service most.
func (o *owner) holdBack(now time.Time, w *worker, s suffering) {
	load := interfere.LoadOf(o.refresh(now, w).Busy())
	vs := o.victims(w)
	if len(vs) == 0 {
		return
	}
	cost := func(v victim) float64 {
		effect, _ := o.c.model.Effect(s.class, v.task.Class, load)
		// What is not known counts by size.
		return effect + 1e-6*float64(v.task.Reserve.MilliCPU)
	}
	worst := slices.MaxFunc(vs, func(a, b victim) int {
		return cmp.Or(cmp.Compare(cost(a), cost(b)), cmp.Compare(b.lost, a.lost))
	})
	w.guard.acted = now
	if w.throttle[worst.task.key()] == 0 {
		w.throttle[worst.task.key()] = throttlePercent
		w.urge = true
		return
	}
	o.evict(now, w, worst.task, "slowed down service class "+s.class)
}

// letGo takes one throttle back.
func (o *owner) letGo(now time.Time, w *worker) {
	for _, t := range sorted(o.c.state.held[w.name]) {
		if w.throttle[t.key()] != 0 {
			delete(w.throttle, t.key())
			w.guard.acted, w.guard.calm, w.urge = now, time.Time{}, true
			return
		}
	}
}

// overcommitted evicts when tasks use so much more memory than was reserved that the worker can't
// carry it.
func (o *owner) overcommitted(now time.Time, w *worker) {
	if v := o.refresh(now, w); v.Reserved.MemoryMB <= v.Capacity.MemoryMB || w.guard.hurry {
		return
	}
	if vs := o.victims(w); len(vs) > 0 {
		o.evict(now, w, vs[0].task, "worker's memory is used up")
	}
}
