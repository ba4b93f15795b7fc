package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/internal/interfere"
	"github.com/crocusspring/crocusspring/internal/place"
)

const (
	// defaultThrottlePercent is the percentage of processor time that a throttled task gets.
	defaultThrottlePercent = 30
	// throttleFraction is the part of the worst neighbour's interference from which others are throttled
	// with it.
	throttleFraction = 0.5
	// reactionTime is how long an action is given to show in usage, on top of the age of readings.
	reactionTime = 3 * time.Second
	// throttleReleaseDelay is how long services must be healthy before a throttle is released.
	throttleReleaseDelay = 10 * time.Second
	// healthyFraction is the part of the slowdown limit up to which a service counts as healthy.
	healthyFraction = 0.9
)

// protection is the state of the protection of a worker's services.
type protection struct {
	evicting     bool // an attempt on the worker is being evicted
	lastAction   time.Time
	healthySince time.Time
	// bans are the classes that are not placed beside the services for a while.
	bans map[string]ban
}

// ban keeps a class off a worker. It is longer each time, so that a class whose interference has not
// been learned well enough is not placed and evicted over and over.
type ban struct {
	until      time.Time
	nextLength time.Duration
}

const (
	minBan = time.Minute
	maxBan = 16 * time.Minute
)

// ban keeps a class off the worker for a while.
func (g *protection) ban(now time.Time, class string) {
	if g.bans == nil {
		g.bans = map[string]ban{}
	}
	b := g.bans[class]
	length := max(minBan, b.nextLength)
	g.bans[class] = ban{now.Add(length), min(2*length, maxBan)}
}

// banned reports whether a class is kept off the worker.
func (g *protection) banned(now time.Time, class string) bool { return now.Before(g.bans[class].until) }

// filterBanned splits off the workers that the class of a task is kept off, with the reason. It applies
// to no service.
func (o *owner) filterBanned(now time.Time, pt *place.Task, candidates []*place.Worker) (out []*place.Worker, refused []place.Refusal) {
	if pt.Service != "" {
		return candidates, nil
	}
	for _, p := range candidates {
		if o.workers[p.Name].protection.banned(now, pt.Class) {
			refused = append(refused, place.Refusal{Worker: p.Name, Filter: "protection", Reason: "class has slowed down a service there"})
		} else {
			out = append(out, p)
		}
	}
	return out, refused
}

// slowedService is a service that is slowed down, and the age of the reading.
type slowedService struct {
	class    string
	slowdown float64
	age      time.Duration
}

// protect throttles the neighbours of services that are slowed down, first those that slow the service
// most, and evicts them one by one when that did not help.
func (o *owner) protect(now time.Time) {
	for _, w := range o.sortedWorkers {
		if !w.fenced || len(o.core.state.held[w.name]) == 0 {
			continue
		}
		o.relieveMemory(now, w)
		if s, ok := o.mostSlowed(w); ok {
			o.protectWorker(now, w, s)
		}
	}
}

// mostSlowed returns the service on a worker that is slowed down most.
func (o *owner) mostSlowed(w *worker) (slowedService, bool) {
	var out slowedService
	consider := func(class string, slowdown float64, ageMS int64) {
		if slowdown > out.slowdown {
			out = slowedService{class, slowdown, time.Duration(ageMS) * time.Millisecond}
		}
	}
	for _, r := range w.residents {
		consider(r.Class, r.Slowdown, r.AgeMS)
	}
	for _, t := range o.core.state.held[w.name] {
		if t.Service != "" {
			a := w.inventory[t.key()]
			consider(t.Class, a.Slowdown, a.AgeMS)
		}
	}
	return out, out.slowdown > 0
}

// protectWorker takes at most one action, and waits until usage can show its result before the next.
func (o *owner) protectWorker(now time.Time, w *worker, s slowedService) {
	limit := o.core.slowdownLimit()
	if s.slowdown > healthyFraction*limit {
		w.protection.healthySince = time.Time{}
	} else if w.protection.healthySince.IsZero() {
		w.protection.healthySince = now
	}
	switch {
	case s.slowdown > limit && now.Sub(w.protection.lastAction) > reactionTime+s.age:
		o.restrainNeighbours(now, w, s)
	case !w.protection.healthySince.IsZero() && now.Sub(w.protection.healthySince) > throttleReleaseDelay:
		o.releaseThrottle(now, w)
	}
}

// restrainNeighbours throttles the neighbours that slow a service most, and when all of these are throttled
// evicts the worst.
func (o *owner) restrainNeighbours(now time.Time, w *worker, s slowedService) {
	load := interfere.LoadOf(o.refreshView(now, w).ReservedCPU())
	vs := o.victims(w)
	if len(vs) == 0 {
		return
	}
	cost := func(v victim) float64 {
		interference, _ := o.core.model.Interference(s.class, v.task.Class, load)
		// Without a learned interference, larger tasks rank higher.
		return interference + 1e-6*float64(v.task.Reserve.MilliCPU)
	}
	worst := slices.MaxFunc(vs, func(a, b victim) int {
		return cmp.Or(cmp.Compare(cost(a), cost(b)), cmp.Compare(b.lost, a.lost))
	})
	w.protection.lastAction = now
	least, throttled := cost(worst)*throttleFraction, false
	for _, v := range vs {
		if key := v.task.key(); w.throttle[key] == 0 && cost(v) >= least {
			w.throttle[key], throttled = o.core.throttlePercent(), true
		}
	}
	if throttled {
		w.syncNow = true
		return
	}
	w.protection.ban(now, worst.task.Class)
	o.evict(now, w, worst.task, "slowed down service class "+s.class)
}

// releaseThrottle ends one throttle.
func (o *owner) releaseThrottle(now time.Time, w *worker) {
	for _, t := range sortedByID(o.core.state.held[w.name]) {
		if w.throttle[t.key()] != 0 {
			delete(w.throttle, t.key())
			w.protection.lastAction, w.protection.healthySince, w.syncNow = now, time.Time{}, true
			return
		}
	}
}

// relieveMemory evicts an attempt when tasks use so much more memory than they reserved that the worker's
// capacity is exceeded, unless an eviction is in progress.
func (o *owner) relieveMemory(now time.Time, w *worker) {
	if v := o.refreshView(now, w); v.Reserved.MemoryMB <= v.Capacity.MemoryMB || w.protection.evicting {
		return
	}
	if vs := o.victims(w); len(vs) > 0 {
		o.evict(now, w, vs[0].task, "worker's memory is used up")
	}
}
