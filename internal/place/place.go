// Package place chooses a worker for a task: filters refuse workers with a reason, and scorers rank the
// remaining ones.
package place

import (
	"slices"
	"strings"

	"github.com/crocusspring/crocusspring/internal/interfere"
	"github.com/crocusspring/crocusspring/internal/resource"
)

// Worker is the state of one worker that placement uses.
type Worker struct {
	Name       string
	DataCentre string
	Rack       string
	Capacity   resource.Vector
	// Reserved is the sum over all attempts and services that may be on the worker, and over the capacity
	// held for tasks that do not fit yet.
	Reserved resource.Vector
	// Draining workers take no new tasks.
	Draining bool
	// Suspended is the reason why the worker takes no new tasks after its failures; empty if it takes them.
	Suspended string
	// Classes counts the tasks of each class on the worker, sorted by class.
	Classes []interfere.Neighbour
	// ServiceClasses are the classes of the services on the worker.
	ServiceClasses []string
	// RackServices counts the replicas of each service in the worker's rack.
	RackServices map[string]int
}

// Free returns the resources that are not reserved.
func (w *Worker) Free() resource.Vector { return w.Capacity.Sub(w.Reserved) }

// ReservedCPU returns the reserved fraction of the processors, from 0 to 1; 1 for a worker without processors.
func (w *Worker) ReservedCPU() float64 {
	if w.Capacity.MilliCPU == 0 {
		return 1
	}
	return float64(w.Reserved.MilliCPU) / float64(w.Capacity.MilliCPU)
}

// Add reserves the resources of a task placed on the worker and counts its class.
func (w *Worker) Add(t *Task) {
	w.Reserved = w.Reserved.Add(t.Reserve)
	i, found := slices.BinarySearchFunc(w.Classes, t.Class, func(n interfere.Neighbour, c string) int {
		return strings.Compare(n.Class, c)
	})
	if !found {
		w.Classes = slices.Insert(w.Classes, i, interfere.Neighbour{Class: t.Class})
	}
	w.Classes[i].Count++
}

// Task is the description of one task that placement uses.
type Task struct {
	ID      string
	Class   string
	Reserve resource.Vector
	// Service is set for a replica of a latency-critical service.
	Service string
	// DataCentre restricts the task to a data centre; empty for any.
	DataCentre string
	// FailedOn lists workers on which the task has failed.
	FailedOn []string
}

// Filter excludes workers that must not take a task.
type Filter interface {
	Name() string
	// Refuse returns the reason, or an empty string when the worker may take the task.
	Refuse(t *Task, w *Worker) string
}

// Scorer ranks workers that may take a task; a higher score is better.
type Scorer interface {
	Score(t *Task, w *Worker) float64
}

// Refusal is the reason why one worker was excluded for a task.
type Refusal struct {
	Worker string `json:"worker"`
	Filter string `json:"filter"`
	Reason string `json:"reason"`
}
