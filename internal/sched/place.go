package sched

import (
	"slices"
	"strings"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/resource"
)

// filter rejects workers that must not take a task of a step. No refusal may keep a task waiting for good while there is room:
// each filter names what ends its refusals, and which starved tasks pass it if that may take longer than starvationDelay.
type filter struct {
	name string
	// refuse returns the reason or an empty string.
	refuse func(c *Core, now time.Time, s *step, w *worker) string
	// ends is the event or the time that ends a refusal.
	ends string
	// passes reports whether a starved task of a step may pass the filter on a worker; nil means that none may. See placeStarved.
	passes func(s *step, w *worker) bool
}

// healthName is the name of the filter that keeps tasks off doubtful workers.
const healthName = "health"

// Starved tasks that may pass a filter.
var (
	anyTask   = func(*step, *worker) bool { return true }
	fillers   = func(s *step, _ *worker) bool { return s.spec.Filler }
	thatLasts = func(s *step, _ *worker) bool { return s.spec.LongRunning }
	// thatLastsTwice lets a task that lasts pass while there is room for two of them.
	thatLastsTwice = func(s *step, w *worker) bool {
		need := s.spec.Reserve()
		return s.spec.LongRunning && need.Add(need).Fits(w.free())
	}
)

// filters are evaluated in order; the first refusal counts.
var filters = []filter{
	{name: "service", ends: "a worker of the service attaches", refuse: func(_ *Core, _ time.Time, s *step, w *worker) string {
		return when(w.info.Service != s.occ.job.spec.Policy.Service, "other service")
	}},
	{name: "attached", ends: "its guard links, or another worker's does", refuse: func(_ *Core, _ time.Time, _ *step, w *worker) string {
		return when(!w.described || !w.attached, "guard not connected")
	}},
	{name: "draining", ends: "the worker leaves, and another one attaches", refuse: func(_ *Core, _ time.Time, _ *step, w *worker) string {
		return when(w.info.Draining, "draining")
	}},
	{name: "data centre", ends: "operators put the data centre back into use", refuse: func(c *Core, _ time.Time, _ *step, w *worker) string {
		return c.drainRefusal(w)
	}},
	{name: "mute", ends: "the worker answers its guard, or is replaced", refuse: func(_ *Core, _ time.Time, _ *step, w *worker) string {
		return when(w.unresponsive, "not answering")
	}},
	{
		name: healthName, ends: "probation or a block ends after up to probationLimits().Max, or once a run there goes well, a trial with its run; starved tasks pass it, with their last attempt after lastAttemptDelay", passes: anyTask,
		refuse: func(c *Core, now time.Time, _ *step, w *worker) string { return c.health.refusal(now, w.id) },
	},
	{name: "label", ends: "a worker with the label attaches", refuse: func(_ *Core, _ time.Time, s *step, w *worker) string {
		need := s.spec.Requires
		return when(need != "" && need != w.info.Kind && need != w.info.Rack, "lacks the label")
	}},
	{name: "stray run", ends: "the run ends after its stop, or its lease has lapsed", refuse: func(c *Core, now time.Time, s *step, _ *worker) string {
		return when(c.hasStrayRuns(now, s), "an earlier run of a task is still there")
	}},
	{name: "capacity", ends: "a run ends, or the worker grows", refuse: func(_ *Core, _ time.Time, s *step, w *worker) string {
		return s.spec.Reserve().Lacking(w.free())
	}},
	{
		name: "isolation", ends: "the isolated start has settled, or isolationTimeout is over; starved tasks get isolationGap before the next one",
		refuse: func(_ *Core, _ time.Time, _ *step, w *worker) string {
			return when(w.isolated != nil, "kept for a task under which a worker has crashed")
		},
	},
	{
		name: "urgent", ends: "a run ends", passes: thatLasts,
		refuse: func(c *Core, _ time.Time, s *step, _ *worker) string {
			return when(s.spec.LongRunning && !c.leavesUrgentCapacity(s), "the rest is for short tasks")
		},
	},
	{
		name: "filler", ends: "a run ends, or local control allows fillers more", passes: fillers,
		refuse: func(_ *Core, _ time.Time, s *step, w *worker) string {
			return when(s.spec.Filler && !w.fitsFiller(s), "no room left over")
		},
	},
	{
		name: "tails", ends: "the load of serving tasks falls, or a run ends", passes: fillers,
		refuse: func(c *Core, now time.Time, s *step, w *worker) string {
			if !s.spec.Filler {
				return ""
			}
			return c.interferenceRefusal(now, s, w)
		},
	},
	{
		name: "reserved", ends: "the task that the room is reserved for is placed, or its room isn't expected within reserveHorizon",
		passes: thatLastsTwice,
		refuse: func(c *Core, now time.Time, s *step, w *worker) string { return c.reservedRefusal(now, s, w) },
	},
	{name: "anti-affinity", ends: "a run of the step on the worker ends", refuse: func(_ *Core, _ time.Time, s *step, w *worker) string {
		limit := s.spec.AntiAffinity
		return when(limit > 0 && s.countOn(w) >= limit, "has its share of the step")
	}},
	{name: "ticket", ends: "the policy service approves the worker", refuse: func(_ *Core, now time.Time, s *step, w *worker) string {
		return when(s.occ.job.spec.Policy.Advice != nil && !s.approved(now, w.id), "not approved by the policy service")
	}},
}

// starvedRefusal returns why a worker can't take a starved task of a step either, or an empty string.
func (c *Core) starvedRefusal(now time.Time, s *step, w *worker, without ...string) string {
	for i := range filters {
		f := &filters[i]
		if f.passes != nil && f.passes(s, w) || slices.Contains(without, f.name) {
			continue
		}
		if reason := f.refuse(c, now, s, w); reason != "" {
			return f.name + ": " + reason
		}
	}
	return ""
}

// when returns a reason if a condition holds, otherwise an empty string.
func when(refused bool, reason string) string {
	if refused {
		return reason
	}
	return ""
}

const (
	// minFillerShare is the least part of its processor demand that a filler must find unused on a worker.
	minFillerShare = 0.6
	// urgentMemoryShare is the part of a worker's memory that fillers leave free for a few urgent tasks, which
	// need half a gigabyte each.
	urgentMemoryShare = 0.03
	// minFillerPace is the least pace, in percent, at which more fillers are placed on a worker.
	minFillerPace = 40
)

// urgentCPUShare is the part of a pool's processors that long-running tasks leave free for short urgent
// tasks; those use 5% of the processors at their mean rate.
const urgentCPUShare = 0.08

// leavesUrgentCapacity reports whether a long-running task would leave urgentCPUShare of its pool free.
func (c *Core) leavesUrgentCapacity(s *step) bool {
	p := c.round.pools[s.occ.job.spec.Policy.Service]
	return p != nil && float64(p.free-s.spec.Demand.MilliCPU) >= urgentCPUShare*float64(p.capacity)
}

// starved reports whether no worker has taken a task of the step for starvationDelay.
func (s *step) starved(now time.Time) bool {
	return !s.unplacedSince.IsZero() && now.Sub(s.unplacedSince) >= starvationDelay
}

// fitsFiller reports whether a filler would find enough processor time and leave enough memory.
func (w *worker) fitsFiller(s *step) bool {
	if float64(w.free().MemoryMB-s.spec.Demand.MemoryMB) < urgentMemoryShare*float64(w.info.Capacity.MemoryMB) {
		return false
	}
	return w.pace >= minFillerPace && float64(w.spare()) >= minFillerShare*float64(s.spec.Demand.MilliCPU)
}

// countOn returns the number of tasks and copies of a step that a worker may hold.
func (s *step) countOn(w *worker) int {
	n := 0
	for _, t := range w.tasks {
		if t.step == s {
			n++
		}
	}
	for _, cp := range w.copies {
		if cp.task.step == s {
			n++
		}
	}
	return n
}

// approved reports whether the policy service has approved a worker for a step and the ticket is still valid.
func (s *step) approved(now time.Time, worker string) bool {
	t, ok := s.tickets[worker]
	return ok && now.Before(t.until)
}

// Weights of the score; the unit is the whole of a worker's processors.
const (
	// failedWeight keeps a task off workers on which it has failed, if any other is available.
	failedWeight = 10.0
	// doubtfulWeight keeps a starved gang off doubtful workers, if any other is available.
	doubtfulWeight = 30.0
	// rackWeight draws a task to the rack of its data or of the other tasks of its step; elsewhere it takes far
	// longer.
	rackWeight = 2.0
	// interferenceWeight keeps fillers off workers where they take headroom that is needed.
	interferenceWeight = 1.0
	// sameImageWeight draws serving tasks to workers that have others of their image.
	sameImageWeight = 0.6
)

// score ranks workers that may take tasks of a step; higher is better.
func (c *Core) score(s *job.Step, st *step, w *worker) float64 {
	return c.fitness(s, st, w) - c.lossCost(st, w, nil)
}

// fitness is the score of a worker but for what its loss costs.
func (c *Core) fitness(s *job.Step, st *step, w *worker) float64 {
	capacity := max(1, float64(w.info.Capacity.MilliCPU))
	var v float64
	switch {
	case s.Filler:
		v = float64(w.spare())/capacity*float64(w.pace)/100 - interferenceWeight*c.interferenceCost(c.round.now, s, w)
	case s.TailTargetMS > 0:
		v = float64(w.load.servingCPU)/capacity + sameImageWeight*w.sameImageShare(s.Image)
	default:
		v = float64(w.free().MilliCPU) / capacity
	}
	v -= c.health.penalty(c.round.now, w.id)
	if c.delaysReservation(c.round.now, st, w) {
		v -= reservedPenalty
	}
	if s.DataRack != "" && s.DataRack == w.info.Rack || s.RackLocality && st.usesRack(c, w.info.Rack) {
		v += rackWeight
	}
	return v
}

// usesRack reports whether a run of the step may be in a rack.
func (s *step) usesRack(c *Core, rack string) bool {
	for _, t := range s.tasks {
		if w := c.workers[t.worker]; w != nil && t.held() && w.info.Rack == rack {
			return true
		}
	}
	return false
}

// poolFilters is the number of leading filters that depend on nothing of a step but its service.
const poolFilters = 6

// round is the state of one scheduling round. Free capacity only shrinks within it.
type round struct {
	now   time.Time
	pools map[string]*workerPool
	// refused is the latest demand that no worker took, by kind of filler; equal or larger ones aren't tried
	// again in the round.
	refused map[fillerKind]resource.Vector
	// usages are those of the services while no task has come to a worker or gone; places are where the tasks of steps
	// that are spread are.
	usages map[string]float64
	places map[*step]*stepPlaces
	// strays are the tasks of which a worker lists a run that no task accounts for, by step; nil before the first use.
	strays map[*step][]*task
}

// fillerKind is what the filters take into account of a filler besides its demand.
type fillerKind struct {
	service, image string
	late           bool
}

// kind returns the kind of a step's fillers.
func (s *step) kind() fillerKind {
	return fillerKind{s.occ.job.spec.Policy.Service, s.spec.Image, s.occ.job.lateness > 0}
}

// workerPool holds the workers of a service that accept tasks.
type workerPool struct {
	workers []*worker
	// free and capacity are processors, in thousandths of a core.
	free, capacity int64
	// idle are the unreserved processors of doubtful workers, which take no tasks only since runs have failed or stalled there,
	// all those of workers and doubtful ones together. Their room is there, although it can't be used for a while.
	idle, all int64
}

// busy reports whether more than half of the processors are reserved, those of doubtful workers included.
func (p *workerPool) busy() bool { return 2*(p.free+p.idle) < p.all }

// beginRound starts a scheduling round.
func (c *Core) beginRound(now time.Time) {
	c.round = round{now: now, pools: map[string]*workerPool{}, refused: map[fillerKind]resource.Vector{}, usages: map[string]float64{}, places: map[*step]*stepPlaces{}}
}

// pool returns the workers of a step's service that accept tasks.
func (c *Core) pool(s *step) *workerPool {
	service := s.occ.job.spec.Policy.Service
	p := c.round.pools[service]
	if p != nil {
		return p
	}
	p = &workerPool{}
	for _, w := range c.sortedWorkers {
		if !passesExcept(filters[:poolFilters], c, c.round.now, s, w, healthName) {
			continue
		}
		free := w.free().MilliCPU
		p.all += w.info.Capacity.MilliCPU
		if c.health.refusal(c.round.now, w.id) != "" {
			p.idle += free
			continue
		}
		p.workers = append(p.workers, w)
		p.free += free
		p.capacity += w.info.Capacity.MilliCPU
	}
	c.round.pools[service] = p
	return p
}

// passes reports whether no filter refuses a worker.
func passes(fs []filter, c *Core, now time.Time, s *step, w *worker) bool {
	for i := range fs {
		if fs[i].refuse(c, now, s, w) != "" {
			return false
		}
	}
	return true
}

// passesExcept is passes without the named filters.
func passesExcept(fs []filter, c *Core, now time.Time, s *step, w *worker, without ...string) bool {
	for i := range fs {
		if !slices.Contains(without, fs[i].name) && fs[i].refuse(c, now, s, w) != "" {
			return false
		}
	}
	return true
}

// feasible returns the workers that may take a task of a step.
func (c *Core) feasible(now time.Time, s *step) []*worker {
	if s.spec.Filler {
		if least, ok := c.round.refused[s.kind()]; ok && least.Fits(s.spec.Demand) {
			return nil
		}
	}
	var out []*worker
	for _, w := range c.pool(s).workers {
		if passes(filters[poolFilters:], c, now, s, w) {
			out = append(out, w)
		}
	}
	if len(out) == 0 && s.spec.Filler && s.spec.Requires == "" && s.spec.AntiAffinity == 0 && s.occ.job.spec.Policy.Advice == nil && !c.hasStrayRuns(now, s) {
		c.round.refused[s.kind()] = s.spec.Demand
	}
	return out
}

// waitReason returns why no worker takes a task of a step now: the reasons with their counts.
func (c *Core) waitReason(now time.Time, s *step) string {
	if !s.ready() {
		return "waits for the steps that it depends on"
	}
	if c.awaitsGuards(now, s) {
		return "guards are linking to the new owner"
	}
	reasons := c.refusals(now, s)
	if late := s.lateStartReason(now); late != "" {
		reasons = late + ", " + reasons
	}
	return reasons
}

// refusals returns why workers refuse a task of a step, but for the named filters: the reasons with their counts.
func (c *Core) refusals(now time.Time, s *step, without ...string) string {
	refused := map[string]int{}
	for _, w := range c.sortedWorkers {
		if reason := c.refusalExcept(now, s, w, without...); reason != "" {
			refused[reason]++
		}
	}
	return summarize(refused)
}

// refusal returns why a worker can't take a task of a step, or an empty string.
func (c *Core) refusal(now time.Time, s *step, w *worker) string { return c.refusalExcept(now, s, w) }

// refusalExcept is refusal without the named filters.
func (c *Core) refusalExcept(now time.Time, s *step, w *worker, without ...string) string {
	for _, f := range filters {
		if slices.Contains(without, f.name) {
			continue
		}
		if reason := f.refuse(c, now, s, w); reason != "" {
			return f.name + ": " + reason
		}
	}
	return ""
}

// summarize lists reasons with their counts.
func summarize(refused map[string]int) string {
	if len(refused) == 0 {
		return "no workers"
	}
	var parts []string
	for reason, n := range refused {
		parts = append(parts, reason+" x"+itoa(n))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

// ranking holds the workers that may take tasks of a step, with the score of each for a task without failures
// of its own.
type ranking struct {
	c       *Core
	now     time.Time
	step    *step
	refusal func(now time.Time, s *step, w *worker) string
	workers []*worker
	// scores are those without what losses cost.
	scores, losses []float64
	full           []bool
	// risks says that tasks may start on doubtful workers, as far as each may, and after all others.
	risks bool
}

// rankWorkers scores workers for the tasks of a step.
func (c *Core) rankWorkers(now time.Time, s *step, candidates []*worker) *ranking {
	n := len(candidates)
	r := &ranking{c: c, now: now, step: s, refusal: c.refusal, workers: candidates, scores: make([]float64, n), losses: make([]float64, n), full: make([]bool, n)}
	for i, w := range candidates {
		r.scores[i] = c.fitness(s.spec, s, w)
	}
	r.weighLosses()
	return r
}

// weighLosses updates what losses cost: a task in a rack or a data centre counts at all workers there.
func (r *ranking) weighLosses() {
	if !r.step.spreads() {
		return
	}
	for i, w := range r.workers {
		if !r.full[i] {
			r.losses[i] = r.c.lossCost(r.step, w, nil)
		}
	}
}

// best returns the index of the worker with the highest score for a task; -1 when none takes it.
func (r *ranking) best(t *task) int {
	best, top := -1, 0.0
	for i, w := range r.workers {
		if r.full[i] || w.bars(t) {
			continue
		}
		v := r.scores[i] - r.losses[i]
		if slices.Contains(t.failedOn, w.id) {
			v -= failedWeight
		}
		if r.risks && r.c.doubts(r.now, w) {
			if !r.c.mayRisk(r.now, t, w) {
				continue
			}
			v -= doubtfulWeight
		}
		if best < 0 || v > top {
			best, top = i, v
		}
	}
	return best
}

// recordPlacement updates the ranking after a worker got a task of the step.
func (r *ranking) recordPlacement(i int) {
	w := r.workers[i]
	if r.full[i] = r.refusal(r.now, r.step, w) != ""; !r.full[i] {
		r.scores[i] = r.c.fitness(r.step.spec, r.step, w)
	}
	r.weighLosses()
}
