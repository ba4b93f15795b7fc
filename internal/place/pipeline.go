package place

import (
	"cmp"
	"slices"
)

// Pipeline is an ordered set of filters and a sum of scorers.
type Pipeline struct {
	Filters []Filter
	Scorers []Scorer
}

// Default returns the pipeline of the product. The model may be nil.
func Default(model Model) *Pipeline {
	p := &Pipeline{
		Filters: []Filter{Drain{}, Probation{}, DataCentre{}, Capacity{}},
		Scorers: []Scorer{Spread{}, RackSpread{}, Untried{}},
	}
	if model != nil {
		p.Filters = append(p.Filters, Tolerance{Model: model})
		p.Scorers = append(p.Scorers, Interference{Model: model, Weight: 1})
	}
	return p
}

// Strategy names a way to score workers that operators may choose.
type Strategy string

// Strategies of a placement policy.
const (
	StrategySpread       Strategy = "spread"
	StrategyPack         Strategy = "pack"
	StrategyInterference Strategy = "interference"
)

// ByStrategy returns the pipeline of a strategy; an empty or unknown one is that of the product. Weight
// is how much the learned interference counts, 1 for as much as usual.
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

// FirstFit returns a baseline that takes the first worker in order.
func FirstFit() *Pipeline {
	return &Pipeline{Filters: []Filter{Drain{}, Probation{}, DataCentre{}, Capacity{}}}
}

// BestFit returns a baseline that fills the fullest worker first.
func BestFit() *Pipeline {
	p := FirstFit()
	p.Scorers = []Scorer{Pack{}}
	return p
}

// SpreadOut returns a baseline that fills the emptiest worker first.
func SpreadOut() *Pipeline {
	p := FirstFit()
	p.Scorers = []Scorer{Spread{}}
	return p
}

// Select returns the best worker, or nil with a refusal for each worker. Ties go to the lower name.
func (p *Pipeline) Select(t *Task, workers []*Worker) (*Worker, []Refusal) {
	var best *Worker
	var top float64
	for _, w := range workers {
		if f, _ := p.refuse(t, w); f != nil {
			continue
		}
		s := p.score(t, w)
		if best == nil || s > top || s == top && w.Name < best.Name {
			best, top = w, s
		}
	}
	if best != nil {
		return best, nil
	}
	return nil, p.Refusals(t, workers)
}

// Refusals explains why no worker takes a task, in order of worker.
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

// refuse returns the first filter that refuses, with its reason.
func (p *Pipeline) refuse(t *Task, w *Worker) (Filter, string) {
	for _, f := range p.Filters {
		if reason := f.Refuse(t, w); reason != "" {
			return f, reason
		}
	}
	return nil, ""
}

// score sums the scorers.
func (p *Pipeline) score(t *Task, w *Worker) float64 {
	var sum float64
	for _, s := range p.Scorers {
		sum += s.Score(t, w)
	}
	return sum
}

// Never returns why no worker could hold the task even when empty, or an empty string when one could.
// Without workers nothing is known.
func Never(t *Task, workers []*Worker) string {
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
	return neverReason(counts)
}

// neverReason names the kinds that lack, most workers first.
func neverReason(counts map[string]int) string {
	kinds := make([]string, 0, len(counts))
	for k := range counts {
		kinds = append(kinds, k)
	}
	slices.SortFunc(kinds, func(a, b string) int { return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b)) })
	return "no worker is large enough: too few or wrong " + kinds[0]
}

// Hold returns the worker on which a task that fits nowhere now should hold room: one that could take
// it when empty and has the most free. Nil when there is none.
func Hold(t *Task, workers []*Worker) *Worker {
	var best *Worker
	for _, w := range workers {
		open := !w.Draining && w.Suspended == "" && t.Reserve.Fits(w.Capacity)
		if open && (t.DataCentre == "" || t.DataCentre == w.DataCentre) && (best == nil || w.Busy() < best.Busy()) {
			best = w
		}
	}
	return best
}

// Counts sums refusals by filter and reason for people.
func Counts(refusals []Refusal) []ReasonCount {
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

// ReasonCount is how many workers refused a task for one reason.
type ReasonCount struct {
	Filter  string `json:"filter"`
	Reason  string `json:"reason"`
	Workers int    `json:"workers"`
}
