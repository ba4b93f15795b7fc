package interfere

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"slices"
)

// Tails learns how much filler tasks raise the tail latency of serving tasks beside them. A reading is
// the tail as a part of its target; it is taken to be the image's own level plus, for each filler image,
// an effect times the processors that tasks of that image use.
//
// Each effect is an estimate with a variance, corrected by the gain of a Kalman filter with independent
// components: an effect that is well known takes little of the blame for a surprise, one that isn't
// takes most of it.
type Tails struct {
	effects map[tailPair]*tailEffect
	levels  map[string]*tailEffect
}

// tailPair is a serving image and a filler image.
type tailPair struct{ serving, filler string }

// tailEffect is an estimate with its variance.
type tailEffect struct{ mean, variance float64 }

const (
	// tailPrior and tailSpread are the mean and variance of an effect that was never seen, in parts of
	// the target for each core. Some pairs go together well and some raise tails several times over.
	tailPrior  = 0.05
	tailSpread = 0.5
	// levelPrior and levelSpread are those of a serving image alone.
	levelPrior  = 0.4
	levelSpread = 0.05
	// tailNoise is the variance of a reading, and tailGrain adds to it with the square of the reading:
	// the figures are rough.
	tailNoise = 0.02
	tailGrain = 0.1
	// tailDrift is by how much an effect may change between two readings.
	tailDrift = 0.001
)

// MaxTail bounds what one reading may claim, in parts of the target.
const MaxTail = 4.0

// NewTails returns a model that has seen nothing.
func NewTails() *Tails {
	return &Tails{effects: map[tailPair]*tailEffect{}, levels: map[string]*tailEffect{}}
}

// Observe takes the tail of a serving task, as a part of its target, beside fillers whose use of
// processors, in cores, is given by image.
func (m *Tails) Observe(serving string, tail float64, fillers map[string]float64) {
	if math.IsNaN(tail) || tail <= 0 {
		return
	}
	tail = min(tail, MaxTail)
	level := m.level(serving)
	guess := level.mean
	spread := level.variance + tailNoise + tailGrain*tail*tail
	for f, cores := range fillers {
		e := m.effect(serving, f)
		guess += e.mean * cores
		spread += e.variance * cores * cores
	}
	surprise := tail - guess
	level.correct(surprise, spread, 1)
	for f, cores := range fillers {
		m.effect(serving, f).correct(surprise, spread, cores)
	}
}

// correct moves an estimate by its share of a surprise.
func (e *tailEffect) correct(surprise, spread, weight float64) {
	gain := e.variance * weight / spread
	e.mean = max(0, e.mean+gain*surprise)
	e.variance = e.variance*(1-gain*weight) + tailDrift*weight*weight
}

// effect returns the estimate of a pair and makes it when it is new.
func (m *Tails) effect(serving, filler string) *tailEffect {
	k := tailPair{serving, filler}
	e := m.effects[k]
	if e == nil {
		e = &tailEffect{tailPrior, tailSpread}
		m.effects[k] = e
	}
	return e
}

// level returns the estimate of an image alone and makes it when it is new.
func (m *Tails) level(serving string) *tailEffect {
	e := m.levels[serving]
	if e == nil {
		e = &tailEffect{levelPrior, levelSpread}
		m.levels[serving] = e
	}
	return e
}

// Effect returns by how much, in parts of its target, one core of a filler raises the tail of a serving
// task, and the variance of that estimate.
func (m *Tails) Effect(serving, filler string) (mean, variance float64) {
	if e := m.effects[tailPair{serving, filler}]; e != nil {
		return e.mean, e.variance
	}
	return tailPrior, tailSpread
}

// tailRecord is one estimate as it is stored; Filler is empty for the level of an image alone.
type tailRecord struct {
	Serving  string  `json:"s"`
	Filler   string  `json:"f,omitempty"`
	Mean     float64 `json:"m"`
	Variance float64 `json:"v"`
}

// Encode returns all estimates for a successor.
func (m *Tails) Encode() ([]byte, error) {
	var out []tailRecord
	for k, e := range m.effects {
		out = append(out, tailRecord{k.serving, k.filler, e.mean, e.variance})
	}
	for s, e := range m.levels {
		out = append(out, tailRecord{s, "", e.mean, e.variance})
	}
	slices.SortFunc(out, func(a, b tailRecord) int {
		return cmp.Or(cmp.Compare(a.Serving, b.Serving), cmp.Compare(a.Filler, b.Filler))
	})
	data, err := json.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("encode effects on tails: %w", err)
	}
	return data, nil
}

// Decode takes over what Encode returned.
func (m *Tails) Decode(data []byte) error {
	var records []tailRecord
	if err := json.Unmarshal(data, &records); err != nil {
		return fmt.Errorf("decode effects on tails: %w", err)
	}
	for _, r := range records {
		e := &tailEffect{max(0, r.Mean), min(max(0, r.Variance), tailSpread)}
		if r.Filler == "" {
			m.levels[r.Serving] = e
		} else {
			m.effects[tailPair{r.Serving, r.Filler}] = e
		}
	}
	return nil
}
