package history

import (
	"fmt"
	"slices"
)

// slots finds work that was sent to a target while all its slots were in use, and connections over its
// limit.
func (c *checker) slots() {
	byTarget := map[string][]*Run{}
	for _, r := range c.h.Runs {
		byTarget[r.Target] = append(byTarget[r.Target], r)
	}
	for _, name := range sortedKeys(byTarget) {
		if n, ok := c.h.Slots[name]; ok {
			c.targetSlots(n, byTarget[name])
		}
	}
	for _, o := range c.h.ExcessConnections {
		if limit := c.h.Conns[o.Target]; o.Open > limit {
			c.r.OverSlots++
			c.addViolation(Slots, []fmt.Stringer{o}, "target %s allows %d connections and had %d", o.Target, limit, o.Open)
		}
	}
}

// targetSlots checks one target with n slots.
func (c *checker) targetSlots(n int, runs []*Run) {
	slices.SortStableFunc(runs, func(a, b *Run) int { return a.Arrived.Compare(b.Arrived) })
	var active []*Run
	for _, r := range runs {
		active = slices.DeleteFunc(active, func(a *Run) bool { return !c.end(a.End).After(r.Arrived) })
		if len(active) >= n {
			c.r.OverSlots++
			c.addViolation(Slots, append([]fmt.Stringer{r}, stringers(active)...), "target %s has %d slots and all were in use", r.Target, n)
		}
		if !r.Start.IsZero() {
			active = append(active, r)
		}
	}
}

// capacity finds concurrent attempts that together reserved more than their worker has, and attempts that
// reserved less than was declared, which would hide the former.
func (c *checker) capacity() {
	declared := map[string]Amount{}
	for _, j := range c.h.Jobs {
		declared[j.ID] = j.Declare
	}
	byWorker := map[string][]*Attempt{}
	for _, a := range c.h.Attempts {
		byWorker[a.Worker] = append(byWorker[a.Worker], a)
		if d, ok := declared[a.Task]; ok && !d.within(a.Reserve) {
			c.r.OverCapacity++
			c.addViolation(Capacity, []fmt.Stringer{a}, "reserved %v although %v was declared", a.Reserve, d)
		}
	}
	for _, name := range sortedKeys(byWorker) {
		if limit, ok := c.h.Capacity[name]; ok {
			c.workerCapacity(limit, byWorker[name])
		}
	}
}

// workerCapacity checks the sum of the concurrent reservations of one worker.
func (c *checker) workerCapacity(limit Amount, attempts []*Attempt) {
	slices.SortStableFunc(attempts, func(a, b *Attempt) int { return a.Start.Compare(b.Start) })
	var active []*Attempt
	for _, a := range attempts {
		active = slices.DeleteFunc(active, func(o *Attempt) bool { return !c.end(o.End).After(a.Start) })
		active = append(active, a)
		var sum Amount
		for _, o := range active {
			sum = sum.plus(o.Reserve)
		}
		if !sum.within(limit) {
			c.r.OverCapacity++
			c.addViolation(Capacity, stringers(active), "worker %s has %v, but %v is reserved", a.Worker, limit, sum)
		}
	}
}
