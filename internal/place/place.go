// Package place chooses a worker for a task: filters refuse with a reason, scorers rank the rest.
package place

import (
	"sort"

	"github.com/crocusspring/crocusspring/internal/resource"
)

// Worker is what placement knows of one worker.
type Worker struct {
	Name       string
	DataCentre string
	Rack       string
	Capacity   resource.Vector
	// Reserved is the sum over all attempts the worker may hold.
	Reserved resource.Vector
	// Draining workers take no new tasks.
	Draining bool
}

// Free returns what is not reserved.
func (w *Worker) Free() resource.Vector { return w.Capacity.Sub(w.Reserved) }

// Task is what placement knows of one task.
type Task struct {
	ID      string
	Class   string
	Reserve resource.Vector
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

// Pipeline is an ordered set of filters and a sum of scorers.
type Pipeline struct {
	Filters []Filter
	Scorers []Scorer
}

// Default returns the pipeline of the product.
func Default() *Pipeline {
	return &Pipeline{
		Filters: []Filter{Drain{}, Capacity{}},
		Scorers: []Scorer{Spread{}},
	}
}

// Select returns the best worker, or nil with a refusal for each worker. Ties go to the lower name.
func (p *Pipeline) Select(t *Task, workers []*Worker) (*Worker, []Refusal) {
	var best *Worker
	var top float64
	var refusals []Refusal
	for _, w := range workers {
		if r, ok := p.refuse(t, w); ok {
			refusals = append(refusals, r)
			continue
		}
		s := p.score(t, w)
		if best == nil || s > top || s == top && w.Name < best.Name {
			best, top = w, s
		}
	}
	if best == nil {
		sort.Slice(refusals, func(i, j int) bool { return refusals[i].Worker < refusals[j].Worker })
	}
	return best, refusals
}

// refuse returns the first refusal of a filter.
func (p *Pipeline) refuse(t *Task, w *Worker) (Refusal, bool) {
	for _, f := range p.Filters {
		if reason := f.Refuse(t, w); reason != "" {
			return Refusal{Worker: w.Name, Filter: f.Name(), Reason: reason}, true
		}
	}
	return Refusal{}, false
}

// score sums the scorers.
func (p *Pipeline) score(t *Task, w *Worker) float64 {
	var sum float64
	for _, s := range p.Scorers {
		sum += s.Score(t, w)
	}
	return sum
}

// Drain refuses workers that are being drained.
type Drain struct{}

// Name implements Filter.
func (Drain) Name() string { return "drain" }

// Refuse implements Filter.
func (Drain) Refuse(_ *Task, w *Worker) string {
	if w.Draining {
		return "worker is draining"
	}
	return ""
}

// Capacity refuses workers whose free resources are too small.
type Capacity struct{}

// Name implements Filter.
func (Capacity) Name() string { return "capacity" }

// Refuse implements Filter.
func (Capacity) Refuse(t *Task, w *Worker) string {
	if kind := t.Reserve.Lacking(w.Free()); kind != "" {
		return "too few " + kind
	}
	return ""
}

// Spread prefers the worker with the larger free share of processors.
type Spread struct{}

// Score implements Scorer.
func (Spread) Score(_ *Task, w *Worker) float64 {
	if w.Capacity.MilliCPU == 0 {
		return 0
	}
	return float64(w.Free().MilliCPU) / float64(w.Capacity.MilliCPU)
}
