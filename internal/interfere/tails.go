package interfere

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"slices"
)

// Tails learns how much filler tasks raise the tail latency of serving tasks beside them.
//
// A reading is the headroom of a serving task: its target divided by its tail, so that 1 is at the
// target and less is over it. A queue's tail grows with the inverse of what is left of its capacity, so
// headroom falls in a straight line with what others take: it is the headroom the task would have alone,
// which moves with its own load, less an effect for each core that fillers of an image use.
//
// Each quantity is an estimate with a variance, corrected by the gain of a Kalman filter with
// independent components: an effect that is well known takes little of the blame for a surprise, one
// that isn't takes most of it.
type Tails struct {
	effects map[tailPair]*estimate
	alone   map[string]*estimate
}

// tailPair is a serving image and a filler image.
type tailPair struct{ serving, filler string }

// estimate is a mean with its variance.
type estimate struct{ mean, variance float64 }

// All in units of headroom, effects in headroom for each core.
const (
	// effectPrior and effectSpread are the mean and variance of an effect that was never seen. Many pairs
	// go together well and some take all headroom with two cores.
	effectPrior  = 0.15
	effectSpread = 0.4
	// effectDrift is by how much the variance of an effect in use grows between two readings.
	effectDrift = 0.002
	// alonePrior and aloneSpread are those of a task that was never seen, aloneDrift the growth of the
	// variance between two readings, as its load moves.
	alonePrior  = 3.0
	aloneSpread = 1.5
	aloneDrift  = 0.03
	// readingNoise is the variance of a reading, and readingGrain that of its relative error.
	readingNoise = 0.02
	readingGrain = 0.01
	// leastHeadroom is where readings end: below it a task is overrun and the reading tells no more.
	leastHeadroom = 0.3
	// mostHeadroom bounds what one reading may claim.
	mostHeadroom = 8.0
)

// NewTails returns a model that has seen nothing.
func NewTails() *Tails {
	return &Tails{effects: map[tailPair]*estimate{}, alone: map[string]*estimate{}}
}

// Reading is the headroom of one serving task beside fillers.
type Reading struct {
	// Task names the task, Image what it runs.
	Task, Image string
	Headroom    float64
	// Fillers is the use of processors by filler image, in cores.
	Fillers map[string]float64
}

// Observe takes a reading.
func (m *Tails) Observe(r Reading) {
	if math.IsNaN(r.Headroom) || r.Headroom <= 0 {
		return
	}
	seen := min(r.Headroom, mostHeadroom)
	alone := m.taskAlone(r.Task)
	alone.variance += aloneDrift
	guess := alone.mean
	spread := alone.variance + readingNoise + readingGrain*seen*seen
	for f, cores := range r.Fillers {
		e := m.effect(r.Image, f)
		guess -= e.mean * cores
		spread += e.variance * cores * cores
	}
	if seen < leastHeadroom && guess < leastHeadroom {
		return
	}
	surprise := seen - guess
	alone.correct(surprise, spread, 1)
	for f, cores := range r.Fillers {
		e := m.effect(r.Image, f)
		e.correct(surprise, spread, -cores)
		e.mean = max(0, e.mean)
		e.variance += effectDrift * cores
	}
}

// correct moves an estimate by its share of a surprise.
func (e *estimate) correct(surprise, spread, weight float64) {
	gain := e.variance * weight / spread
	e.mean += gain * surprise
	e.variance *= 1 - gain*weight
}

// effect returns the estimate of a pair and makes it when it is new.
func (m *Tails) effect(serving, filler string) *estimate {
	k := tailPair{serving, filler}
	e := m.effects[k]
	if e == nil {
		e = &estimate{effectPrior, effectSpread}
		m.effects[k] = e
	}
	return e
}

// taskAlone returns the estimate of a task's headroom alone and makes it when it is new.
func (m *Tails) taskAlone(task string) *estimate {
	e := m.alone[task]
	if e == nil {
		e = &estimate{alonePrior, aloneSpread}
		m.alone[task] = e
	}
	return e
}

// Forget drops what was learned about a task that has ended.
func (m *Tails) Forget(task string) { delete(m.alone, task) }

// Effect returns how much headroom one core of a filler takes of a serving task, and the variance of
// that estimate.
func (m *Tails) Effect(serving, filler string) (mean, variance float64) {
	if e := m.effects[tailPair{serving, filler}]; e != nil {
		return e.mean, e.variance
	}
	return effectPrior, effectSpread
}

// effectRecord is one effect as it is stored.
type effectRecord struct {
	Serving  string  `json:"s"`
	Filler   string  `json:"f"`
	Mean     float64 `json:"m"`
	Variance float64 `json:"v"`
}

// Encode returns all effects for a successor.
func (m *Tails) Encode() ([]byte, error) {
	var out []effectRecord
	for k, e := range m.effects {
		out = append(out, effectRecord{k.serving, k.filler, e.mean, e.variance})
	}
	slices.SortFunc(out, func(a, b effectRecord) int {
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
	var records []effectRecord
	if err := json.Unmarshal(data, &records); err != nil {
		return fmt.Errorf("decode effects on tails: %w", err)
	}
	for _, r := range records {
		m.effects[tailPair{r.Serving, r.Filler}] = &estimate{max(0, r.Mean), min(max(0, r.Variance), effectSpread)}
	}
	return nil
}
