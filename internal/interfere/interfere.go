// Package interfere learns how much tasks of one class slow down those of another that share a
// worker, from usage reports that arrive late.
//
// The model is additive: a task's slowdown is one plus the sum of the interference of its neighbours,
// which is learned for each pair of classes at a load level. The model learns from each report by a step of
// normalized least mean squares. An estimate from few reports is shrunk towards the mean interference of the
// neighbour's class, and that towards zero.
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

// Shares of the processors in use below which a load is Low or Mid.
const (
	lowBelow = 0.4
	midBelow = 0.75
)

// LoadOf returns the load level for the share of processors in use, from 0 to 1.
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
	// learningRate is the share of the prediction error that one fresh report corrects.
	learningRate = 0.25
	// priorWeight is the weight of the shrinkage target, in reports.
	priorWeight = 5.0
	// maxSlowdown bounds the slowdown of one report, against absurd readings.
	maxSlowdown = 20.0
	// halfLife is the age at which a report has half the weight of a fresh one.
	halfLife = 5 * time.Minute
)

// Neighbour is a class with the number of its tasks on the worker.
type Neighbour struct {
	Class string
	Count int
}

// Report is one measurement of a task's slowdown.
type Report struct {
	Class      string
	Neighbours []Neighbour
	Load       Load
	// Slowdown is the run time relative to that without neighbours; 1 means no slowdown.
	Slowdown float64
	// Age is the time since the measurement.
	Age time.Duration
}

// pair is an ordered pair of classes at a load level.
type pair struct {
	victim, neighbour string
	load              Load
}

// interference is a learned estimate of the slowdown that each neighbour task adds.
type interference struct {
	value float64
	// count is the sum of the weights of the reports it was learned from.
	count float64
}

// Model holds the learned interference. Use New to make one.
type Model struct {
	pairs map[pair]*interference
	// means holds the mean interference of a neighbour class over all victim classes.
	means map[string]*interference
}

// New returns an untrained model, in which all interference is 0.
func New() *Model {
	return &Model{pairs: map[pair]*interference{}, means: map[string]*interference{}}
}

// Observe learns from one report. Reports without neighbours or with a slowdown that is no number are ignored.
func (m *Model) Observe(r Report) {
	if math.IsNaN(r.Slowdown) || len(r.Neighbours) == 0 {
		return
	}
	observed := min(max(r.Slowdown, 1), maxSlowdown) - 1
	weight := math.Exp2(-r.Age.Seconds() / halfLife.Seconds())
	var predicted, norm float64
	for _, n := range r.Neighbours {
		c := float64(n.Count)
		predicted += m.pair(r.Class, n.Class, r.Load).value * c
		norm += c * c
	}
	if norm == 0 {
		return
	}
	correction := learningRate * weight * (observed - predicted) / norm
	for _, n := range r.Neighbours {
		e := m.pair(r.Class, n.Class, r.Load)
		e.value = max(0, e.value+correction*float64(n.Count))
		e.count += weight
		m.learnMean(n.Class, e.value, weight)
	}
}

// pair returns the estimate of a pair; a new one starts from the mean of the neighbour's class.
func (m *Model) pair(victim, neighbour string, load Load) *interference {
	k := pair{victim, neighbour, load}
	e := m.pairs[k]
	if e == nil {
		e = &interference{value: m.mean(neighbour)}
		m.pairs[k] = e
	}
	return e
}

// learnMean adds a value to the weighted mean interference of a class.
func (m *Model) learnMean(class string, value, weight float64) {
	e := m.means[class]
	if e == nil {
		e = &interference{}
		m.means[class] = e
	}
	e.count += weight
	e.value += (value - e.value) * weight / e.count
}

// mean returns the mean interference of a class, shrunk towards 0.
func (m *Model) mean(class string) float64 {
	e := m.means[class]
	if e == nil {
		return 0
	}
	return e.value * e.count / (e.count + priorWeight)
}

// Interference returns the expected slowdown that one neighbour adds to a task, and the total weight of the
// reports that it was learned from.
func (m *Model) Interference(victim, neighbour string, load Load) (value, count float64) {
	e := m.pairs[pair{victim, neighbour, load}]
	classMean := m.mean(neighbour)
	if e == nil {
		return classMean, 0
	}
	weight := e.count / (e.count + priorWeight)
	return e.value*weight + classMean*(1-weight), e.count
}

// Slowdown returns the expected slowdown of a task beside its neighbours; 1 means no slowdown.
func (m *Model) Slowdown(class string, neighbours []Neighbour, load Load) float64 {
	sum := 1.0
	for _, n := range neighbours {
		v, _ := m.Interference(class, n.Class, load)
		sum += v * float64(n.Count)
	}
	return sum
}

// Pairs returns the number of pairs of classes at a load level that have reports.
func (m *Model) Pairs() int { return len(m.pairs) }
