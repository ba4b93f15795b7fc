package sched

import (
	"fmt"
	"time"

	"github.com/crocusspring/crocusspring/internal/backfill"
	"github.com/crocusspring/crocusspring/internal/event"
)

const (
	// reserveDelay is how long a task must wait before room is reserved for it; most that wait less find a gap.
	reserveDelay = 200 * time.Millisecond
	// reserveHorizon is how far ahead room is reserved. Declared durations are off by up to 90%, so that what ends
	// later can't be planned with.
	reserveHorizon = 5 * time.Second
	// maxReservations and maxReservedShare, a part of the pool's workers, bound the reservations of a pool, one a
	// worker; short tasks have the others. One is always possible.
	maxReservations  = 8
	maxReservedShare = 0.2
	// fragmentedShare is the part of a pool's processors that must be free for a long-running task to get a reservation,
	// twice what is kept for short urgent tasks. With less, it waits since the pool is full, not since the gaps are
	// small; the sooner it got the last room, the longer urgent tasks would wait.
	fragmentedShare = 2 * urgentCPUShare
	// reservedPenalty lowers the score of a worker for tasks that would delay the reservation there, below that of
	// any other that takes them. Urgent tasks go there rather than wait.
	reservedPenalty = 5.0
)

// reservation is room reserved on a worker for a task of a step.
type reservation struct {
	step *step
	backfill.Reservation
}

// reserve plans the reservations of a round: for waiting tasks in the order of rank, on the workers where room for them
// will be free first. A step keeps the workers that it had; if they changed with each run that ends, no gap would grow.
// Fillers reserve no processors and aren't planned for, nor are long-running tasks while the pool is nearly full.
func (c *Core) reserve(now time.Time) {
	for _, w := range c.sortedWorkers {
		w.reservedFor = nil
		if w.reserved != nil {
			w.reservedFor, w.reserved = w.reserved.step, nil
		}
	}
	open := map[*workerPool]int{}
	for _, j := range c.openJobs {
		for _, o := range j.inOrder() {
			for _, s := range o.steps {
				if s.waitsForRoom(now) {
					c.reserveFor(now, s, open)
				}
			}
		}
	}
}

// waitsForRoom reports whether tasks of a step have waited for reserveDelay.
func (s *step) waitsForRoom(now time.Time) bool {
	return s.waiting > 0 && !s.spec.Filler && !s.spec.Gang && !s.unplacedSince.IsZero() && now.Sub(s.unplacedSince) >= reserveDelay && s.ready()
}

// reserveFor reserves room for the waiting tasks of a step; open counts the reservations by pool.
func (c *Core) reserveFor(now time.Time, s *step, open map[*workerPool]int) {
	p := c.pool(s)
	if s.spec.LongRunning && float64(p.free) < fragmentedShare*float64(p.capacity) {
		return
	}
	limit := min(maxReservations, max(1, int(maxReservedShare*float64(len(p.workers)))))
	if open[p] >= limit {
		return
	}
	need := s.spec.Reserve()
	var candidates []*worker
	var rooms []backfill.Worker
	left := s.waiting
	for _, w := range p.workers {
		if w.reserved != nil || !passesExcept(filters[poolFilters:], c, now, s, w, "capacity") {
			continue
		}
		room := w.room(now)
		if in, ok := room.FreeIn(need); ok && in <= reserveHorizon && w.reservedFor == s && left > 0 && open[p] < limit {
			w.reserved = &reservation{s, backfill.Reservation{Need: need, In: in}}
			left--
			open[p]++
			continue
		}
		candidates, rooms = append(candidates, w), append(rooms, room)
	}
	for ; left > 0 && open[p] < limit; left-- {
		i, in, ok := backfill.First(rooms, need, reserveHorizon)
		if !ok {
			return
		}
		open[p]++
		w := candidates[i]
		w.reserved = &reservation{s, backfill.Reservation{Need: need, In: in}}
		c.logDecision(event.Reserve, s.name(), fmt.Sprintf("worker=%s in=%s waiting=%d waited=%s", w.id,
			in.Round(time.Millisecond), s.waiting, now.Sub(s.unplacedSince).Round(time.Millisecond)))
		rooms[i] = backfill.Worker{}
	}
}

// room returns what will be free on a worker as runs end by themselves.
func (w *worker) room(now time.Time) backfill.Worker {
	out := backfill.Worker{Free: w.free()}
	for _, t := range w.tasks {
		switch {
		case t.state == stateStopping:
			out.Runs = append(out.Runs, backfill.Run{Holds: t.step.spec.Reserve()})
		case !t.step.spec.LongRunning:
			out.Runs = append(out.Runs, backfill.Run{EndsIn: t.remaining(now), Holds: t.step.spec.Reserve()})
		}
	}
	return out
}

// reservedRefusal returns why a reservation keeps a task of a step off a worker, or an empty string. A long-running
// task would take the room for good.
func (c *Core) reservedRefusal(now time.Time, s *step, w *worker) string {
	if w.reserved == nil || w.reserved.step == s || !s.spec.LongRunning {
		return ""
	}
	return when(c.delaysReservation(now, s, w), "reserved for "+w.reserved.step.name())
}

// delaysReservation reports whether a task of a step would delay the reservation of another step on a worker.
func (c *Core) delaysReservation(now time.Time, s *step, w *worker) bool {
	if w.reserved == nil || w.reserved.step == s {
		return false
	}
	lasts := c.expectedDuration(s)
	if s.spec.LongRunning {
		lasts = reserveHorizon + time.Second
	}
	return w.reserved.Delays(w.room(now), s.spec.Reserve(), lasts)
}
