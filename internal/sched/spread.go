package sched

import (
	"fmt"
	"iter"
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/internal/spread"
)

const (
	// takeoverTime bounds the time from the loss of an owner until its successor has loaded the cell.
	takeoverTime = 2 * time.Second
	// lossWeight is what a second of a task's service that a loss costs weighs in the score of a worker.
	lossWeight = 0.2
	// leastMinor is how far the loss of less than half of a step counts when fillers need all workers that serving tasks leave them.
	leastMinor = 0.1
	// idleUsage is the part of a service's processors up to which it counts as idle, the less the more it uses.
	idleUsage = 0.1
	// domainFrequency is how often a rack or a data centre is lost, relative to a machine.
	domainFrequency = 0.02
	// moveCost is what the move of a task that lasts weighs: it is away for about a second.
	moveCost = lossWeight
	// spreadInterval is the time between two reviews of what runs where.
	spreadInterval = time.Second
	// crowdedPatience is how long a worker holds too many tasks of a step, while others would be better, before one is moved.
	crowdedPatience = 5 * time.Second
)

// spreads reports whether the tasks of a step are spread over machines, racks and data centres: they last, and each is of use
// without the others.
func (s *step) spreads() bool { return s.spec.LongRunning && !s.spec.Gang }

// awaitsGuards reports whether a step waits since the owner is new: the guards that link first must not get all of its tasks. It ends
// once all workers that an earlier owner knew are linked; nobody knows which those of a new cell are. No job waits for longer
// than LinkTime in all, or its tasks would never start while owners change.
func (c *Core) awaitsGuards(now time.Time, s *step) bool {
	if !s.spreads() || now.Sub(c.beganAt) >= c.opt.LinkTime || now.Sub(s.occ.job.acceptedAt) >= c.opt.LinkTime {
		return false
	}
	return c.newCell || slices.ContainsFunc(c.sortedWorkers, func(w *worker) bool { return !w.attached })
}

// besideOwner reports whether a worker is on the machine of the process that runs the core.
func (c *Core) besideOwner(w *worker) bool { return w.node != "" && w.node == c.opt.Node }

// recoveryTime returns how long it takes until the tasks of a worker run again after the loss of its machine.
func (c *Core) recoveryTime(w *worker) time.Duration {
	if c.besideOwner(w) {
		return takeoverTime + c.opt.HalfQuorumTime + c.opt.expiryDelay()
	}
	return c.opt.expiryDelay()
}

// stepPlaces counts the tasks of a step by where they are.
type stepPlaces struct {
	workers            map[*worker]int
	racks, dataCentres map[string]int
}

// add counts some more tasks on a worker, or fewer.
func (p *stepPlaces) add(w *worker, n int) {
	p.workers[w] += n
	p.racks[w.info.Rack] += n
	p.dataCentres[w.info.DataCentre] += n
}

// placesOf returns where the tasks of a step are in this round.
func (c *Core) placesOf(s *step) *stepPlaces {
	if p := c.round.places[s]; p != nil {
		return p
	}
	p := &stepPlaces{workers: map[*worker]int{}, racks: map[string]int{}, dataCentres: map[string]int{}}
	for _, t := range s.tasks {
		if w := c.workers[t.worker]; w != nil && t.held() {
			p.add(w, 1)
		}
	}
	c.round.places[s] = p
	return p
}

// noteMoved updates what is known in this round of where tasks are, after some of a step have come to a worker or gone.
func (c *Core) noteMoved(s *step, w *worker, n int) {
	delete(c.round.usages, w.info.Service)
	if p := c.round.places[s]; p != nil {
		p.add(w, n)
	}
}

// lossCost returns what the losses of a worker, its rack and its data centre weigh against a task of a step there, beside the other
// tasks of the step; t is the task, or nil for any that waits.
func (c *Core) lossCost(s *step, w *worker, t *task) float64 {
	if !s.spreads() {
		return 0
	}
	p := c.placesOf(s)
	machine, rack, dataCentre := p.workers[w], p.racks[w.info.Rack], p.dataCentres[w.info.DataCentre]
	if t != nil {
		own := c.workers[t.worker]
		machine -= toInt(own == w)
		rack -= toInt(own.info.Rack == w.info.Rack)
		dataCentre -= toInt(own.info.DataCentre == w.info.DataCentre)
	}
	places := [...]spread.Place{{Held: machine, Frequency: 1}, {Held: dataCentre, Frequency: domainFrequency}, {Held: rack, Frequency: domainFrequency}}
	if s.spec.RackLocality {
		places[2].Frequency = 0
	}
	return lossWeight * spread.Cost(len(s.tasks), c.recoveryTime(w), c.minor(s), places[:]...)
}

// minor returns how far the loss of less than half of a step counts: fully in an idle service, little in one where fillers need the room
// that serving tasks leave them by sharing workers.
func (c *Core) minor(s *step) float64 {
	return max(leastMinor, 1-c.usage(s.occ.job.spec.Policy.Service)/idleUsage)
}

// openSteps returns the steps of all open occurrences.
func (c *Core) openSteps() iter.Seq[*step] {
	return func(yield func(*step) bool) {
		for _, j := range c.openJobs {
			for _, o := range j.inOrder() {
				for _, s := range o.steps {
					if !yield(s) {
						return
					}
				}
			}
		}
	}
}

// spreadOut moves tasks that last off workers that hold too many of a step, one at a time, once others would have been better for
// crowdedPatience: workers that were away when the tasks were placed get their part so.
func (c *Core) spreadOut(now time.Time) {
	if now.Before(c.nextSpreadOut) {
		return
	}
	c.nextSpreadOut = now.Add(spreadInterval)
	moving, crowded := c.longRunningBetweenWorkers(), 0
	for s := range c.openSteps() {
		t := c.crowdedTask(s)
		others := c.betterWorkers(now, t)
		crowded += toInt(len(others) > 0)
		switch {
		case len(others) == 0:
			s.crowdedSince = time.Time{}
		case s.crowdedSince.IsZero():
			s.crowdedSince = now
		case !s.crowdedFor(now, crowdedPatience) || moving >= maxDrainMoves || !s.mayMissAnother():
		case !slices.ContainsFunc(others, func(w *worker) bool { return c.refusal(now, s, w) == "" }):
			c.requestApproval(now, s)
		default:
			moving++
			c.stopRun(now, t, fmt.Sprintf("its worker holds %d of %d tasks of the step", s.countOn(c.workers[t.worker]), len(s.tasks)))
		}
	}
	c.crowdedSteps = crowded
}

// CrowdedSteps returns the number of steps whose tasks last and of which a worker holds so many that moving one pays.
func (c *Core) CrowdedSteps() int { return c.crowdedSteps }

// crowdedFor reports whether a worker has held too many tasks of a step for some time.
func (s *step) crowdedFor(now time.Time, d time.Duration) bool {
	return !s.crowdedSince.IsZero() && now.Sub(s.crowdedSince) >= d
}

// crowdedTask returns a task that runs on the worker that holds most of a step, if moving one off it may pay; otherwise nil.
func (c *Core) crowdedTask(s *step) *task {
	if !s.spreads() {
		return nil
	}
	p, most := c.placesOf(s), 1
	var found *task
	for _, t := range s.tasks {
		if n := p.workers[c.workers[t.worker]]; n > most && t.state == stateRunning {
			found, most = t, n
		}
	}
	if found == nil {
		return nil
	}
	w := c.workers[found.worker]
	// No worker is better than one of the same recovery that has no task of the step, in another rack and data centre.
	if c.lossCost(s, w, found)-lossWeight*c.minor(s)*c.opt.expiryDelay().Seconds() <= moveCost {
		return nil
	}
	return found
}

// betterWorkers returns the workers on which a task that runs would be so much better placed that moving it pays, and that would
// take it once they are approved.
func (c *Core) betterWorkers(now time.Time, t *task) []*worker {
	if t == nil {
		return nil
	}
	s, own := t.step, c.workers[t.worker]
	score, loss := c.scoreOfMoved(t, own), c.lossCost(s, own, t)
	return slices.DeleteFunc(slices.Clone(c.pool(s).workers), func(w *worker) bool {
		return w == own || loss-c.lossCost(s, w, t) <= moveCost || c.scoreOfMoved(t, w) <= score ||
			w.bars(t) || s.denied[w.id] || c.unstable(now, w) || c.refusalExcept(now, s, w, "ticket") != ""
	})
}

// scoreOfMoved returns the score of a worker for a task that runs, as it will be once the task has been stopped.
func (c *Core) scoreOfMoved(t *task, w *worker) float64 {
	s := t.step
	return c.score(s.spec, s, w) + c.lossCost(s, w, nil) - c.lossCost(s, w, t)
}
