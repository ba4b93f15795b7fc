package place

import (
	"cmp"
	"slices"
)

// Pipeline is an ordered list of filters and the scorers whose scores are added up.
type Pipeline struct {
	Filters []Filter
	Scorers []Scorer
}

// Default returns the production pipeline. Without a model, interference is ignored.
func Default(model Model) *Pipeline {
	p := &Pipeline{
		Filters: []Filter{Drain{}, Probation{}, DataCentre{}, Capacity{}},
		Scorers: []Scorer{Spread{}, RackSpread{}, AvoidFailed{}},
	}
	if model != nil {
		p.Filters = append(p.Filters, Tolerance{Model: model})
		p.Scorers = append(p.Scorers, Interference{Model: model, Weight: 1})
	}
	return p
}

// Strategy names a way to score workers; operators choose it.
type Strategy string

// Strategies of a placement policy.
const (
	StrategySpread       Strategy = "spread"
	StrategyPack         Strategy = "pack"
	StrategyInterference Strategy = "interference"
)

// ByStrategy returns the pipeline of a strategy; for an empty or unknown one that of
// StrategyInterference, as in production. Weight scales the learned interference; the default is 1.
func ByStrategy(s Strategy, model Model, weight float64) *Pipeline {
	p := Default(nil)
	switch s {
	case StrategySpread:
	case StrategyPack:
		p.Scorers[0] = Pack{}
	default:
		p.Filters = append(p.Filters, Tolerance{Model: model})
		p.Scorers = append(p.Scorers, Interference{Model: model, Weight: weight})
	}
	return p
}

// FirstFit returns the baseline that takes the fitting worker with the lowest name.
func FirstFit() *Pipeline {
	return &Pipeline{Filters: []Filter{Drain{}, Probation{}, DataCentre{}, Capacity{}}}
}

// BestFit returns the baseline that fills the worker with the smallest free fraction of processors first.
func BestFit() *Pipeline {
	p := FirstFit()
	p.Scorers = []Scorer{Pack{}}
	return p
}

// WorstFit returns the baseline that fills the worker with the largest free fraction of processors first.
func WorstFit() *Pipeline {
	p := FirstFit()
	p.Scorers = []Scorer{Spread{}}
	return p
}

// Select returns the worker with the highest score, or nil with a refusal for each worker. Ties go to the
// lower name.
func (p *Pipeline) Select(t *Task, workers []*Worker) (*Worker, []Refusal) {
	var best *Worker
	var bestScore float64
	for _, w := range workers {
		if f, _ := p.refuse(t, w); f != nil {
			continue
		}
		s := p.score(t, w)
		if best == nil || s > bestScore || s == bestScore && w.Name < best.Name {
			best, bestScore = w, s
		}
	}
	if best != nil {
		return best, nil
	}
	return nil, p.Refusals(t, workers)
}

// Refusals returns the refusals of a task, sorted by worker.
func (p *Pipeline) Refusals(t *Task, workers []*Worker) []Refusal {
	var out []Refusal
	for _, w := range workers {
		if f, reason := p.refuse(t, w); f != nil {
			out = append(out, Refusal{Worker: w.Name, Filter: f.Name(), Reason: reason})
		}
	}
	slices.SortFunc(out, func(a, b Refusal) int { return cmp.Compare(a.Worker, b.Worker) })
	return out
}

// refuse returns the first filter that refuses the worker, with its reason; nil if none does.
func (p *Pipeline) refuse(t *Task, w *Worker) (Filter, string) {
	for _, f := range p.Filters {
		if reason := f.Refuse(t, w); reason != "" {
			return f, reason
		}
	}
	return nil, ""
}

// score returns the sum of the scorers.
func (p *Pipeline) score(t *Task, w *Worker) float64 {
	var sum float64
	for _, s := range p.Scorers {
		sum += s.Score(t, w)
	}
	return sum
}

// NeverFits returns the reason why the task would not fit on any worker even if that were empty, or an empty
// string if it would. Without workers it returns an empty string, since one that joins may be large enough.
func NeverFits(t *Task, workers []*Worker) string {
	if len(workers) == 0 {
		return ""
	}
	counts := map[string]int{}
	for _, w := range workers {
		kind := t.Reserve.Lacking(w.Capacity)
		if kind == "" && (t.DataCentre == "" || t.DataCentre == w.DataCentre) {
			return ""
		}
		if kind == "" {
			kind = "data centre"
		}
		counts[kind]++
	}
	return neverFitsReason(counts)
}

// neverFitsReason names what the most workers lack: a resource, or the required data centre.
func neverFitsReason(counts map[string]int) string {
	kinds := make([]string, 0, len(counts))
	for k := range counts {
		kinds = append(kinds, k)
	}
	slices.SortFunc(kinds, func(a, b string) int { return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b)) })
	return "no worker is large enough: too few or wrong " + kinds[0]
}

// HoldWorker returns the worker on which a task that fits nowhere now should hold capacity: among those that
// could take it if empty, the one with the largest free fraction of processors. Nil if there is none.
func HoldWorker(t *Task, workers []*Worker) *Worker {
	var best *Worker
	for _, w := range workers {
		available := !w.Draining && w.Suspended == "" && t.Reserve.Fits(w.Capacity)
		if available && (t.DataCentre == "" || t.DataCentre == w.DataCentre) && (best == nil || w.ReservedCPU() < best.ReservedCPU()) {
			best = w
		}
	}
	return best
}

// CountReasons counts refusals by filter and reason, for display to operators; the most frequent first.
func CountReasons(refusals []Refusal) []ReasonCount {
	var out []ReasonCount
	for _, r := range refusals {
		i := slices.IndexFunc(out, func(c ReasonCount) bool { return c.Filter == r.Filter && c.Reason == r.Reason })
		if i < 0 {
			i = len(out)
			out = append(out, ReasonCount{Filter: r.Filter, Reason: r.Reason})
		}
		out[i].Workers++
	}
	slices.SortFunc(out, func(a, b ReasonCount) int {
		return cmp.Or(cmp.Compare(b.Workers, a.Workers), cmp.Compare(a.Filter, b.Filter), cmp.Compare(a.Reason, b.Reason))
	})
	return out
}

// ReasonCount is the number of workers that refused a task for one reason.
type ReasonCount struct {
	Filter  string `json:"filter"`
	Reason  string `json:"reason"`
	Workers int    `json:"workers"`
}
