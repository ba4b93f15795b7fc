package place

import (
	"slices"

	"github.com/crocusspring/crocusspring/internal/interfere"
)

// Spread prefers the worker with the larger free part of processors, from 0 to 1.
type Spread struct{}

// Score implements Scorer.
func (Spread) Score(_ *Task, w *Worker) float64 { return 1 - w.Busy() }

// Pack prefers the worker with the smaller free part of processors, from 0 to 1.
type Pack struct{}

// Score implements Scorer.
func (Pack) Score(_ *Task, w *Worker) float64 { return w.Busy() }

// rackWeight is what one replica of the same service in the rack costs.
const rackWeight = 2

// RackSpread keeps replicas of one service apart.
type RackSpread struct{}

// Score implements Scorer.
func (RackSpread) Score(t *Task, w *Worker) float64 {
	if t.Service == "" {
		return 0
	}
	return -rackWeight * float64(w.RackServices[t.Service])
}

// untriedWeight is what an earlier failure on the same worker costs.
const untriedWeight = 4

// Untried prefers workers on which the task has not failed, which also tells bad tasks from bad workers.
type Untried struct{}

// Score implements Scorer.
func (Untried) Score(t *Task, w *Worker) float64 {
	if slices.Contains(t.FailedOn, w.Name) {
		return -untriedWeight
	}
	return 0
}

// Model tells how much one neighbour slows down a task; see package interfere.
type Model interface {
	Effect(victim, neighbour string, load interfere.Load) (value, count float64)
}

// interferenceWeight is what a slowdown of one costs against a free worker.
const interferenceWeight = 3

// Interference prefers workers on which the task slows its neighbours, and they it, the least.
type Interference struct {
	Model Model
	// Weight is how much interference counts against a free worker; 1 is usual.
	Weight float64
}

// Score implements Scorer.
func (i Interference) Score(t *Task, w *Worker) float64 {
	load := interfere.LoadOf(w.Busy())
	var sum float64
	for _, n := range w.Classes {
		onNeighbour, _ := i.Model.Effect(n.Class, t.Class, load)
		onTask, _ := i.Model.Effect(t.Class, n.Class, load)
		sum += (onNeighbour + onTask) * float64(n.Count)
	}
	return -interferenceWeight * i.Weight * sum
}
