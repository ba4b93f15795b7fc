package sched_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
)

// cellEvent is something that happens at a time of the fake clock.
type cellEvent struct {
	at, seq int64
	do      func()
}

// cellQueue is a heap of events by time, those of one time in the order in which they were added.
type cellQueue []*cellEvent

func (q cellQueue) Len() int { return len(q) }
func (q cellQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q cellQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *cellQueue) Push(x any) { *q = append(*q, x.(*cellEvent)) }

// Pop implements heap.Interface.
func (q *cellQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// cellClock runs events in the order of their times, so that a run is a function of its seed.
type cellClock struct {
	now, seq int64
	queue    cellQueue
	rng      *rand.Rand
	trace    func(line string)
}

// after runs f some milliseconds from now.
func (c *cellClock) after(ms int64, f func()) {
	c.seq++
	heap.Push(&c.queue, &cellEvent{c.now + max(0, ms), c.seq, f})
}

// runUntil runs the events up to a time.
func (c *cellClock) runUntil(end int64) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		e := heap.Pop(&c.queue).(*cellEvent)
		c.now = e.at
		e.do()
	}
	c.now = end
}

// between draws a number from low to high.
func (c *cellClock) between(low, high int64) int64 { return low + c.rng.Int64N(high-low+1) }

// chance draws true with a probability.
func (c *cellClock) chance(p float64) bool { return c.rng.Float64() < p }

// logf writes a line of the trace.
func (c *cellClock) logf(format string, args ...any) {
	if c.trace != nil {
		c.trace(fmt.Sprintf("%8.3f %s", float64(c.now)/1000, strings.TrimRight(fmt.Sprintf(format, args...), "\n")))
	}
}

// cellSignal wakes one waiter, or the next one if there is none; like a channel with room for one signal.
type cellSignal struct {
	set    bool
	waiter func()
}

// signal wakes the waiter of a signal.
func (c *cellClock) signal(s *cellSignal) {
	if s.waiter == nil {
		s.set = true
		return
	}
	f := s.waiter
	s.waiter = nil
	c.after(0, f)
}

// wait runs f once at a signal or after some milliseconds.
func (c *cellClock) wait(s *cellSignal, ms int64, f func()) {
	if s.set {
		s.set = false
		c.after(0, f)
		return
	}
	done := false
	once := func() {
		if !done {
			done, s.waiter = true, nil
			f()
		}
	}
	s.waiter = once
	c.after(ms, once)
}
