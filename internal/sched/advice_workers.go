package sched

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/internal/spread"
)

const (
	// maxRequestWorkers is the most workers in one approval request; its service time grows with each.
	maxRequestWorkers = 30
	// minRequestWorkers is the least number of workers in a request, if there are as many to ask about: a worker more costs
	// less than another request after a denial.
	minRequestWorkers = 3
	// requestReserve is how many times the room that a step needs the workers in a request have: some are denied, and others
	// take the room of some meanwhile.
	requestReserve = 2
	// renewalLead is how long before the end of a ticket the policy service is asked again about a worker that is kept, at
	// most half of its validity.
	renewalLead = time.Second
)

// workersToApprove returns the workers to ask the policy service about for a step now; none if the step needs no approval.
// Workers that a response has left out are never asked about again for that step.
func (c *Core) workersToApprove(now time.Time, s *step) []*worker {
	tasks := c.tasksToPlace(now, s)
	if tasks == 0 || s.occ.job.state.Terminal() {
		return nil
	}
	out := append(c.keptToApprove(now, s), c.roomToApprove(now, s, tasks)...)
	return out[:min(len(out), maxRequestWorkers)]
}

// roomToApprove returns workers to ask about for tasks of a step, best first: no more than have room for requestReserve times those
// for which the approved workers have none.
func (c *Core) roomToApprove(now time.Time, s *step, tasks int) []*worker {
	candidates := c.approvalCandidates(now, s)
	if len(candidates) == 0 {
		return nil
	}
	fallback := !c.takesOnceApproved(now, s, candidates[0])
	missing := tasks - c.approvedRoom(now, s, fallback)
	if missing <= 0 {
		return nil
	}
	n, room := 0, 0
	for n < min(len(candidates), maxRequestWorkers) && (n < minRequestWorkers || room < requestReserve*missing) {
		room += c.roomFor(now, s, candidates[n])
		n++
	}
	return candidates[:n]
}

var (
	// keptChecks are the filters that a worker kept for a task of a step needn't pass to be asked about for the step,
	// sharedChecks those for one that is kept for another task.
	keptChecks   = append([]string{"ticket", healthName}, isolationChecks...)
	sharedChecks = []string{"ticket", "isolation"}
)

// keptToApprove returns the workers kept for isolated starts to ask about for a step: that of a task of the step, whose ticket may
// expire before its runs have settled, and those on which tasks of the step may start beside another one.
func (c *Core) keptToApprove(now time.Time, s *step) []*worker {
	shares := slices.ContainsFunc(s.tasks, func(t *task) bool {
		return t.state == stateWaiting && t.startsAlone() && t.mayShareStart()
	})
	var out []*worker
	for _, w := range c.sortedWorkers {
		t := w.isolated
		if t == nil || t.held() || s.denied[w.id] || now.Before(s.tickets[w.id].renewAt) {
			continue
		}
		if t.step == s && c.refusalExcept(now, s, w, keptChecks...) == "" || shares && t.mayShareStart() && c.refusalExcept(now, s, w, sharedChecks...) == "" {
			out = append(out, w)
		}
	}
	return out
}

// approvalCandidates returns the workers whose approval would help a step, best first: those that lack nothing else, then those
// that only a fallback for starved steps takes.
func (c *Core) approvalCandidates(now time.Time, s *step) []*worker {
	refusal := c.refusalSoon(now, s)
	var takes, fallback []*worker
	scores := map[*worker]float64{}
	for _, w := range c.sortedWorkers {
		if s.denied[w.id] || s.approved(now, w.id) || refusal(w) != "" {
			continue
		}
		scores[w] = c.score(s.spec, s, w)
		if c.takesOnceApproved(now, s, w) {
			takes = append(takes, w)
		} else {
			fallback = append(fallback, w)
		}
	}
	for _, workers := range [][]*worker{takes, fallback} {
		slices.SortStableFunc(workers, func(a, b *worker) int { return -cmp.Compare(scores[a], scores[b]) })
	}
	return append(takes, fallback...)
}

// refusalSoon returns the function that tells why a worker, once it is approved, can't take a waiting task of a step now, nor
// once the task is starved; approvals of doubtful workers are asked for only then.
func (c *Core) refusalSoon(now time.Time, s *step) func(w *worker) string {
	suspect := func(t *task) bool { return t.state == stateWaiting && t.startsAlone() }
	if c.yields(now, s) != "" && !slices.ContainsFunc(s.tasks, suspect) {
		return func(w *worker) string { return c.refusalExcept(now, s, w, "ticket") }
	}
	return func(w *worker) string {
		if c.doubts(now, w) && !s.starved(now) {
			return healthName
		}
		return c.starvedRefusal(now, s, w, "ticket")
	}
}

// takesOnceApproved reports whether a worker lacks nothing but the approval to take a task of a step.
func (c *Core) takesOnceApproved(now time.Time, s *step, w *worker) bool {
	return c.refusalExcept(now, s, w, "ticket") == ""
}

// tasksToPlace counts the tasks of a step that wait for a worker, or should leave one that is in a drained data centre or holds too
// many of them.
func (c *Core) tasksToPlace(now time.Time, s *step) int {
	n := s.waiting + toInt(s.crowdedFor(now, crowdedPatience))
	for _, t := range s.tasks {
		if w := c.workers[t.worker]; t.state == stateRunning && w != nil && c.drainRefusal(w) != "" {
			n++
		}
	}
	return n
}

// approvedRoom returns for how many tasks of a step the approved workers have room or are kept; fallback includes those that only a
// fallback for starved steps takes.
func (c *Core) approvedRoom(now time.Time, s *step, fallback bool) int {
	refusal := func(w *worker) string { return c.refusalExcept(now, s, w, "ticket") }
	if fallback {
		refusal = c.refusalSoon(now, s)
	}
	sum := 0
	for _, w := range c.sortedWorkers {
		switch {
		case !s.approved(now, w.id) || s.hasCopyOn(w):
		case w.isolated != nil && w.isolated.step == s && !w.isolated.held():
			sum++
		case refusal(w) == "":
			sum += c.roomFor(now, s, w)
		}
	}
	return sum
}

// hasCopyOn reports whether a worker may still have an earlier run of a waiting task of a step, and so doesn't take that task.
func (s *step) hasCopyOn(w *worker) bool {
	return slices.ContainsFunc(s.tasks, func(t *task) bool { return t.state == stateWaiting && w.hasCopy(t) })
}

// roomFor estimates how many tasks of a step a worker takes that takes one; a fallback places one at a time.
func (c *Core) roomFor(now time.Time, s *step, w *worker) int {
	if !c.takesOnceApproved(now, s, w) {
		return 1
	}
	n := int64(math.MaxInt32)
	free, need := w.free(), s.spec.Reserve()
	for _, kind := range [][2]int64{{free.MilliCPU, need.MilliCPU}, {free.MemoryMB, need.MemoryMB}, {free.Accelerators, need.Accelerators}} {
		if kind[1] > 0 {
			n = min(n, kind[0]/kind[1])
		}
	}
	if demand := s.spec.Demand.MilliCPU; s.spec.Filler && demand > 0 {
		n = min(n, w.spare()/demand)
	}
	limit := s.spec.AntiAffinity
	if share := spread.Share(len(s.tasks)); s.spreads() && (limit == 0 || share < limit) {
		limit = share
	}
	if limit > 0 {
		n = min(n, int64(limit-s.countOn(w)))
	}
	return int(max(1, n))
}
