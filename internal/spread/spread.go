// Package spread weighs what the loss of one machine takes from a service whose tasks last against the tasks that
// already share that machine.
package spread

import "time"

// silence is added to the overload of a place that would hold all tasks of a step: with it the step goes silent.
const silence = 8

// Overload returns how much the loss of a place weighs for one more task of a step there, while the place holds some of its
// tasks already: 1 if it holds none. The tasks that are left after the loss take over the load of the others, so that it grows
// with the square of what is left.
func Overload(held, tasks int) float64 {
	if tasks <= 0 {
		return 0
	}
	held = min(max(held, 0), tasks-1)
	left := 1 - float64(held)/float64(tasks)
	overload := 1 / (left * left)
	if held == tasks-1 {
		overload += silence
	}
	return overload
}

// Place is something that can be lost as a whole: a machine, a rack or a data centre.
type Place struct {
	// Held is the number of the step's tasks there.
	Held int
	// Frequency is how often it is lost, relative to a machine.
	Frequency float64
}

// Cost returns what the losses of the places around a worker cost one more task of a step on it, in seconds of the task's service for
// each loss of a machine; recovery is the time until a task that was lost with the worker runs again. The loss of a place with
// less than Share tasks counts by the part minor.
func Cost(tasks int, recovery time.Duration, minor float64, places ...Place) float64 {
	sum := 0.0
	for _, p := range places {
		cost := p.Frequency * Overload(p.Held, tasks)
		if p.Held < Share(tasks) {
			cost *= minor
		}
		sum += cost
	}
	return sum * recovery.Seconds()
}

// Share returns how many of a step's tasks a machine should hold at most while others have room: half of them, rounded up.
func Share(tasks int) int { return (tasks + 1) / 2 }
