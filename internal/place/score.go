package place

import (
	"slices"

	"github.com/crocusspring/crocusspring/internal/interfere"
)

// Spread prefers the worker with the larger free fraction of processors; its score is from 0 to 1.
type Spread struct{}

// Score implements Scorer.
func (Spread) Score(_ *Task, w *Worker) float64 { return 1 - w.ReservedCPU() }

// Pack prefers the worker with the smaller free fraction of processors; its score is from 0 to 1.
type Pack struct{}

// Score implements Scorer.
func (Pack) Score(_ *Task, w *Worker) float64 { return w.ReservedCPU() }

// rackReplicaPenalty is subtracted from the score for each replica of the same service in the rack.
const rackReplicaPenalty = 2

// RackSpread spreads the replicas of one service over racks.
type RackSpread struct{}

// Score implements Scorer.
func (RackSpread) Score(t *Task, w *Worker) float64 {
	if t.Service == "" {
		return 0
	}
	return -rackReplicaPenalty * float64(w.RackServices[t.Service])
}

// failedWorkerPenalty is subtracted from the score of a worker on which the task has failed.
const failedWorkerPenalty = 4

// AvoidFailed prefers workers on which the task has not failed, which also helps to tell a faulty task from a
// faulty worker.
type AvoidFailed struct{}

// Score implements Scorer.
func (AvoidFailed) Score(t *Task, w *Worker) float64 {
	if slices.Contains(t.FailedOn, w.Name) {
		return -failedWorkerPenalty
	}
	return 0
}

// Model estimates how much one neighbour slows down a task; see package interfere.
type Model interface {
	Interference(victim, neighbour string, load interfere.Load) (value, count float64)
}

// slowdownPenalty is subtracted for a summed slowdown of 1, where a fully free worker scores 1 in Spread.
const slowdownPenalty = 3

// Interference prefers workers on which the task and its neighbours slow each other down the least.
type Interference struct {
	Model Model
	// Weight scales the interference penalty relative to free processors; the default is 1.
	Weight float64
}

// Score implements Scorer.
func (i Interference) Score(t *Task, w *Worker) float64 {
	load := interfere.LoadOf(w.ReservedCPU())
	var sum float64
	for _, n := range w.Classes {
		onNeighbour, _ := i.Model.Interference(n.Class, t.Class, load)
		onTask, _ := i.Model.Interference(t.Class, n.Class, load)
		sum += (onNeighbour + onTask) * float64(n.Count)
	}
	return -slowdownPenalty * i.Weight * sum
}
