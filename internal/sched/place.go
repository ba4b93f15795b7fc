package sched

import (
	"slices"
	"strings"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/resource"
)

// filter refuses workers that must not take a task of a step; it returns the reason or an empty string.
type filter struct {
	name   string
	refuse func(c *Core, now time.Time, s *step, w *worker) string
}

// filters are asked in order; the first refusal counts.
var filters = []filter{
	{"service", func(_ *Core, _ time.Time, s *step, w *worker) string {
		return when(w.info.Service != s.occ.job.spec.Policy.Service, "other service")
	}},
	{"attached", func(_ *Core, _ time.Time, _ *step, w *worker) string {
		return when(!w.known || !w.attached, "guard not connected")
	}},
	{"draining", func(_ *Core, _ time.Time, _ *step, w *worker) string { return when(w.info.Draining, "draining") }},
	{"mute", func(_ *Core, _ time.Time, _ *step, w *worker) string { return when(w.mute, "not answering") }},
	{"health", func(c *Core, now time.Time, _ *step, w *worker) string { return c.health.refuse(now, w.id) }},
	{"label", func(_ *Core, _ time.Time, s *step, w *worker) string {
		need := s.spec.Requires
		return when(need != "" && need != w.info.Kind && need != w.info.Rack, "lacks the label")
	}},
	{"capacity", func(_ *Core, _ time.Time, s *step, w *worker) string { return s.spec.Reserve().Lacking(w.free()) }},
	{"urgent", func(c *Core, now time.Time, s *step, _ *worker) string {
		return when(s.spec.LongRunning && !s.starved(now) && !c.leavesUrgent(s), "the rest is for short tasks")
	}},
	{"filler", func(_ *Core, _ time.Time, s *step, w *worker) string {
		return when(s.spec.Filler && !w.roomForFiller(s), "no room left over")
	}},
	{"tails", func(c *Core, now time.Time, s *step, w *worker) string {
		if !s.spec.Filler {
			return ""
		}
		return c.disturbs(now, s, w)
	}},
	{"anti-affinity", func(_ *Core, _ time.Time, s *step, w *worker) string {
		limit := s.spec.AntiAffinity
		return when(limit > 0 && s.on(w) >= limit, "has its share of the step")
	}},
	{"ticket", func(_ *Core, now time.Time, s *step, w *worker) string {
		return when(s.occ.job.spec.Policy.Advice != nil && !s.approved(now, w.id), "not approved by the policy service")
	}},
}

// when returns a reason if a condition holds.
func when(refused bool, reason string) string {
	if refused {
		return reason
	}
	return ""
}

const (
	// fillerShare is the least part of its demand that a filler must find unused on a worker.
	fillerShare = 0.6
	// urgentMemory is the part of a worker's memory that fillers leave free, room for some urgent tasks,
	// which need half a gigabyte each.
	urgentMemory = 0.03
	// fillerPace is the least pace, in percent, at which more fillers are placed on a worker.
	fillerPace = 40
)

// urgentCPU is the part of a pool's processors that lasting tasks leave free, so that short urgent tasks
// find room beside them; those use 5% of the processors at their mean rate.
const urgentCPU = 0.08

// leavesUrgent reports whether a lasting task would leave room for short ones in its pool.
func (c *Core) leavesUrgent(s *step) bool {
	p := c.round.pools[s.occ.job.spec.Policy.Service]
	return p != nil && float64(p.free-s.spec.Demand.MilliCPU) >= urgentCPU*float64(p.capacity)
}

// starved reports whether no worker has taken a task of the step for a while.
func (s *step) starved(now time.Time) bool {
	return !s.refused.IsZero() && now.Sub(s.refused) >= starvedAfter
}

// roomForFiller reports whether a filler would find enough processor time, and leave enough memory.
func (w *worker) roomForFiller(s *step) bool {
	if float64(w.free().MemoryMB-s.spec.Demand.MemoryMB) < urgentMemory*float64(w.info.Capacity.MemoryMB) {
		return false
	}
	return w.pace >= fillerPace && float64(w.spare()) >= fillerShare*float64(s.spec.Demand.MilliCPU)
}

// on counts the tasks of a step that a worker may hold.
func (s *step) on(w *worker) int {
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

// approved reports whether the policy service lets a worker run a step.
func (s *step) approved(now time.Time, worker string) bool {
	t, ok := s.tickets[worker]
	return ok && now.Before(t.until)
}

// Weights of the score; the unit is the whole of a worker's processors.
const (
	// failedWeight keeps a task off workers on which it has failed, if any other is left.
	failedWeight = 10.0
	// rackWeight draws a task to its data or to the rest of its step; far tasks take far longer.
	rackWeight = 2.0
	// strainWeight keeps fillers off workers where they take headroom that is needed.
	strainWeight = 1.0
	// likenessWeight draws serving tasks to workers where others of their image are.
	likenessWeight = 0.6
)

// score ranks workers that may take tasks of a step; higher is better.
func (c *Core) score(s *job.Step, st *step, w *worker) float64 {
	capacity := max(1, float64(w.info.Capacity.MilliCPU))
	var v float64
	switch {
	case s.Filler:
		v = float64(w.spare())/capacity*float64(w.pace)/100 - strainWeight*c.strain(c.round.now, s, w)
	case s.TailTargetMS > 0:
		v = float64(w.load.serving)/capacity + likenessWeight*w.likeness(s.Image)
	default:
		v = float64(w.free().MilliCPU) / capacity
	}
	v -= c.health.penalty(c.round.now, w.id)
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

// openFilters are the filters that ask nothing of a step but its service.
const openFilters = 5

// round is what one round of scheduling has found out so far. Room only shrinks within it.
type round struct {
	now   time.Time
	pools map[string]*poolRoom
	// refused is the least demand of each kind of filler that no worker took.
	refused map[fillerKind]resource.Vector
}

// fillerKind is what the filters ask of a filler besides its demand.
type fillerKind struct {
	image string
	late  bool
}

// kind returns the kind of a step's fillers.
func (s *step) kind() fillerKind { return fillerKind{s.spec.Image, s.occ.job.lateness > 0} }

// poolRoom is what the workers of a service have that take tasks at all.
type poolRoom struct {
	open []*worker
	// free and capacity are processors, in thousandths of a core.
	free, capacity int64
}

// busy reports whether more than half of the processors are reserved.
func (p *poolRoom) busy() bool { return 2*p.free < p.capacity }

// begin begins a round.
func (c *Core) begin(now time.Time) {
	c.round = round{now: now, pools: map[string]*poolRoom{}, refused: map[fillerKind]resource.Vector{}}
}

// pool returns the workers that take tasks of a step's service at all.
func (c *Core) pool(s *step) *poolRoom {
	service := s.occ.job.spec.Policy.Service
	p := c.round.pools[service]
	if p != nil {
		return p
	}
	p = &poolRoom{}
	for _, w := range c.order {
		if passes(filters[:openFilters], c, c.round.now, s, w) {
			p.open = append(p.open, w)
			p.free += w.free().MilliCPU
			p.capacity += w.info.Capacity.MilliCPU
		}
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

// feasible returns the workers that may take a task of a step.
func (c *Core) feasible(now time.Time, s *step) []*worker {
	if s.spec.Filler {
		if least, ok := c.round.refused[s.kind()]; ok && least.Fits(s.spec.Demand) {
			return nil
		}
	}
	var out []*worker
	for _, w := range c.pool(s).open {
		if passes(filters[openFilters:], c, now, s, w) {
			out = append(out, w)
		}
	}
	if len(out) == 0 && s.spec.Filler && s.spec.Requires == "" {
		c.round.refused[s.kind()] = s.spec.Demand
	}
	return out
}

// why returns why no worker takes a task of a step now, by reason with counts.
func (c *Core) why(now time.Time, s *step) string {
	if !s.ready() {
		return "waits for the steps that it depends on"
	}
	refused := map[string]int{}
	for _, w := range c.order {
		if why := c.refuse(now, s, w); why != "" {
			refused[why]++
		}
	}
	return summary(refused)
}

// refuse returns why a worker can't take a task of a step.
func (c *Core) refuse(now time.Time, s *step, w *worker) string { return c.refuseBut(now, s, w) }

// refuseBut does the same without the filters named.
func (c *Core) refuseBut(now time.Time, s *step, w *worker, without ...string) string {
	for _, f := range filters {
		if slices.Contains(without, f.name) {
			continue
		}
		if why := f.refuse(c, now, s, w); why != "" {
			return f.name + ": " + why
		}
	}
	return ""
}

// summary lists reasons with their counts.
func summary(refused map[string]int) string {
	if len(refused) == 0 {
		return "no workers"
	}
	var parts []string
	for why, n := range refused {
		parts = append(parts, why+" x"+itoa(n))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

// ranking holds the workers that may take tasks of a step, with the score of each for a task like any
// other of the step.
type ranking struct {
	c       *Core
	now     time.Time
	step    *step
	workers []*worker
	scores  []float64
	full    []bool
}

// rankFor scores workers for the tasks of a step.
func (c *Core) rankFor(now time.Time, s *step, among []*worker) *ranking {
	r := &ranking{c: c, now: now, step: s, workers: among, scores: make([]float64, len(among)), full: make([]bool, len(among))}
	for i := range among {
		r.scores[i] = c.score(s.spec, s, among[i])
	}
	return r
}

// best returns the place of the worker with the highest score for a task; -1 when none takes it.
func (r *ranking) best(t *task) int {
	best, top := -1, 0.0
	for i, w := range r.workers {
		if r.full[i] || w.hasCopy(t) {
			continue
		}
		v := r.scores[i]
		if slices.Contains(t.failedOn, w.id) {
			v -= failedWeight
		}
		if best < 0 || v > top {
			best, top = i, v
		}
	}
	return best
}

// taken says that a worker got a task of the step.
func (r *ranking) taken(i int) {
	w := r.workers[i]
	if r.c.refuse(r.now, r.step, w) != "" {
		r.full[i] = true
		return
	}
	r.scores[i] = r.c.score(r.step.spec, r.step, w)
}
