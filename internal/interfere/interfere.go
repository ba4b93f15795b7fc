// Package interfere learns how much tasks of one class slow down those of another that share a
// worker, from usage reports that come late.
//
// The model is additive: a task's slowdown is one plus the sum of the effects of its neighbours, each
// effect belonging to a pair of classes at a load level. Reports are folded by a normalized least
// mean squares step. An effect that was seen seldom is shrunk towards the mean effect of the
// neighbour's class, and that towards no effect.
package interfere

import (
	"math"
	"time"
)

// Load is a level of a worker's processor load.
type Load int

// Levels of load.
const (
	Low Load = iota
	Mid
	High
	loadCount
)

const (
	lowBelow = 0.4
	midBelow = 0.75
)

// LoadOf returns the level of a share of processors in use, from 0 to 1.
func LoadOf(share float64) Load {
	switch {
	case share < lowBelow:
		return Low
	case share < midBelow:
		return Mid
	}
	return High
}

const (
	// step is the part of the error that one report corrects.
	step = 0.25
	// prior is how many reports the shrinkage target weighs.
	prior = 5.0
	// maxSlowdown bounds what one report may claim.
	maxSlowdown = 20.0
	// halfLife is the age at which a report counts half.
	halfLife = 5 * time.Minute
)

// Neighbour is a class with the number of its tasks on the worker.
type Neighbour struct {
	Class string
	Count int
}

// Report is one late reading of a task's slowdown.
type Report struct {
	Class      string
	Neighbours []Neighbour
	Load       Load
	// Slowdown is 1 when the task ran as fast as alone.
	Slowdown float64
	// Age is how old the reading is.
	Age time.Duration
}

// pair is an ordered pair of classes at a load level.
type pair struct {
	victim, neighbour string
	load              Load
}

// effect is a learned slowdown per neighbour task.
type effect struct {
	value float64
	// count is the sum of the weights of the reports it was learned from.
	count float64
}

// Model holds what was learned. Use New to make one.
type Model struct {
	pairs map[pair]*effect
	// means are the effects of a neighbour class on any other.
	means map[string]*effect
}

// New returns a model that knows nothing: every effect is 0.
func New() *Model {
	return &Model{pairs: map[pair]*effect{}, means: map[string]*effect{}}
}

// Step folds one report. Reports without neighbours teach nothing about pairs.
func (m *Model) Step(r Report) {
	if math.IsNaN(r.Slowdown) || len(r.Neighbours) == 0 {
		return
	}
	seen := min(max(r.Slowdown, 1), maxSlowdown) - 1
	weight := math.Exp2(-r.Age.Seconds() / halfLife.Seconds())
	var guess, norm float64
	for _, n := range r.Neighbours {
		c := float64(n.Count)
		guess += m.pair(r.Class, n.Class, r.Load).value * c
		norm += c * c
	}
	if norm == 0 {
		return
	}
	fix := step * weight * (seen - guess) / norm
	for _, n := range r.Neighbours {
		e := m.pair(r.Class, n.Class, r.Load)
		e.value = max(0, e.value+fix*float64(n.Count))
		e.count += weight
		m.learnMean(n.Class, e.value, weight)
	}
}

// pair returns the effect of a pair and makes it when it is new, starting from the neighbour's mean.
func (m *Model) pair(victim, neighbour string, load Load) *effect {
	k := pair{victim, neighbour, load}
	e := m.pairs[k]
	if e == nil {
		e = &effect{value: m.mean(neighbour)}
		m.pairs[k] = e
	}
	return e
}

// learnMean moves the mean effect of a class towards a value.
func (m *Model) learnMean(class string, value, weight float64) {
	e := m.means[class]
	if e == nil {
		e = &effect{}
		m.means[class] = e
	}
	e.count += weight
	e.value += (value - e.value) * weight / e.count
}

// mean returns the mean effect of a class, shrunk towards 0.
func (m *Model) mean(class string) float64 {
	e := m.means[class]
	if e == nil {
		return 0
	}
	return e.value * e.count / (e.count + prior)
}

// Effect returns the expected slowdown that one neighbour adds to a task, and the weight of the
// reports behind it.
func (m *Model) Effect(victim, neighbour string, load Load) (value, count float64) {
	e := m.pairs[pair{victim, neighbour, load}]
	base := m.mean(neighbour)
	if e == nil {
		return base, 0
	}
	own := e.count / (e.count + prior)
	return e.value*own + base*(1-own), e.count
}

// Slowdown returns the expected slowdown of a task among neighbours; 1 means none.
func (m *Model) Slowdown(class string, neighbours []Neighbour, load Load) float64 {
	sum := 1.0
	for _, n := range neighbours {
		v, _ := m.Effect(class, n.Class, load)
		sum += v * float64(n.Count)
	}
	return sum
}

// Pairs returns how many pairs the model holds.
func (m *Model) Pairs() int { return len(m.pairs) }
