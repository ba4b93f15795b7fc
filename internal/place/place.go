// Package place chooses a worker for a task: filters refuse with a reason, scorers rank the rest.
package place

import (
	"slices"
	"strings"

	"github.com/crocusspring/crocusspring/internal/interfere"
	"github.com/crocusspring/crocusspring/internal/resource"
)

// Worker is what placement knows of one worker.
type Worker struct {
	Name       string
	DataCentre string
	Rack       string
	Capacity   resource.Vector
	// Reserved is the sum over all attempts and services the worker may hold, and over held room.
	Reserved resource.Vector
	// Draining workers take no new tasks.
	Draining bool
	// Suspended says why the worker takes no new tasks on account of its failures; empty when it does.
	Suspended string
	// Classes counts the tasks of each class on the worker, sorted by class.
	Classes []interfere.Neighbour
	// Critical are the classes of the services on the worker.
	Critical []string
	// RackServices counts the replicas of each service in the worker's rack.
	RackServices map[string]int
}

// Free returns what is not reserved.
func (w *Worker) Free() resource.Vector { return w.Capacity.Sub(w.Reserved) }

// Busy returns the part of the processors that is reserved, from 0 to 1.
func (w *Worker) Busy() float64 {
	if w.Capacity.MilliCPU == 0 {
		return 1
	}
	return float64(w.Reserved.MilliCPU) / float64(w.Capacity.MilliCPU)
}

// Add notes that a task has been placed on the worker.
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

// Task is what placement knows of one task.
type Task struct {
	ID      string
	Class   string
	Reserve resource.Vector
	// Service is set for a replica of a latency-critical service.
	Service string
	// DataCentre binds the task to a data centre; empty for any.
	DataCentre string
	// FailedOn lists workers on which the task has failed.
	FailedOn []string
}

// Filter refuses workers that must not take a task.
type Filter interface {
	Name() string
	// Refuse returns the reason, or an empty string when the worker may take the task.
	Refuse(t *Task, w *Worker) string
}

// Scorer ranks workers that may take a task; higher is better.
type Scorer interface {
	Score(t *Task, w *Worker) float64
}

// Refusal is why one worker did not take a task.
type Refusal struct {
	Worker string `json:"worker"`
	Filter string `json:"filter"`
	Reason string `json:"reason"`
}
