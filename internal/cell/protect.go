package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/internal/interfere"
	"github.com/crocusspring/crocusspring/internal/place"
)

const (
	// defaultThrottlePercent is the share of processor time a throttled task is left.
	defaultThrottlePercent = 30
	// throttlePart is the part of the worst neighbour's effect from which others are throttled with it.
	throttlePart = 0.5
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
	// bars are the classes that take no place beside the services for a while.
	bars map[string]bar
}

// bar keeps a class off a worker. It is longer each time, so that what was learned too little of does
// not come back and go again.
type bar struct {
	until time.Time
	next  time.Duration
}

const (
	firstBar = time.Minute
	lastBar  = 16 * time.Minute
)

// bar keeps a class off the worker for a while.
func (g *guard) bar(now time.Time, class string) {
	if g.bars == nil {
		g.bars = map[string]bar{}
	}
	b := g.bars[class]
	length := max(firstBar, b.next)
	g.bars[class] = bar{now.Add(length), min(2*length, lastBar)}
}

// barred reports whether a class is kept off the worker.
func (g *guard) barred(now time.Time, class string) bool { return now.Before(g.bars[class].until) }

// allowed splits off the workers that a class is kept off, with the reason.
func (o *owner) allowed(now time.Time, pt *place.Task, open []*place.Worker) (out []*place.Worker, refused []place.Refusal) {
	if pt.Service != "" {
		return open, nil
	}
	for _, p := range open {
		if o.workers[p.Name].guard.barred(now, pt.Class) {
			refused = append(refused, place.Refusal{Worker: p.Name, Filter: "protection", Reason: "class has slowed down a service there"})
		} else {
			out = append(out, p)
		}
	}
	return out, refused
}

// suffering is a service that is slowed down.
type suffering struct {
	class    string
	slowdown float64
	age      time.Duration
}

// protect holds back the neighbours of services that suffer: the ones that slow the service most are
// throttled first, and evicted one by one when that didn't help.
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
	limit := o.c.slowdownLimit()
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

// holdBack throttles the neighbours that slow a service most, and when they all are throttled evicts
// the worst.
func (o *owner) holdBack(now time.Time, w *worker, s suffering) {
	load := interfere.LoadOf(o.refresh(now, w).ReservedCPU())
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
	least, throttled := cost(worst)*throttlePart, false
	for _, v := range vs {
		if key := v.task.key(); w.throttle[key] == 0 && cost(v) >= least {
			w.throttle[key], throttled = o.c.throttlePercent(), true
		}
	}
	if throttled {
		w.urge = true
		return
	}
	w.guard.bar(now, worst.task.Class)
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
