package interfere

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
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
// The task's own load can't be told from fillers that are always there, so effects are learned from
// changes between two readings: fillers come and go at once, loads move slowly. Each effect is an
// estimate with a variance, corrected by the gain of a Kalman filter with independent components: one
// that is well known takes little of the blame for a surprise, one that isn't takes most of it.
type Tails struct {
	effects map[tailPair]*estimate
	last    map[string]Reading
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
	// changeNoise is the variance of the change between two readings of a task whose neighbours stay, as
	// its own load moves, and readingGrain that of the relative error of a reading.
	changeNoise  = 0.06
	readingGrain = 0.01
	// leastChange is the change of a filler image's use, in cores, from which it tells something.
	leastChange = 0.05
	// leastHeadroom is where readings end: below it a task is overrun and the reading tells no more.
	leastHeadroom = 0.3
	// mostHeadroom bounds what one reading may claim.
	mostHeadroom = 8.0
)

// NewTails returns a model that has seen nothing.
func NewTails() *Tails {
	return &Tails{effects: map[tailPair]*estimate{}, last: map[string]Reading{}}
}

// Reading is the headroom of one serving task beside fillers.
type Reading struct {
	// Task names the task, Image what it runs.
	Task, Image string
	Headroom    float64
	// Fillers is the use of processors by filler image, in cores.
	Fillers map[string]float64
}

// Observe takes a reading; it learns from the change since the task's reading before.
func (m *Tails) Observe(r Reading) {
	if math.IsNaN(r.Headroom) || r.Headroom <= 0 {
		return
	}
	r.Headroom = min(r.Headroom, mostHeadroom)
	r.Fillers = maps.Clone(r.Fillers)
	before, ok := m.last[r.Task]
	m.last[r.Task] = r
	if !ok || r.Headroom < leastHeadroom && before.Headroom < leastHeadroom {
		return
	}
	changes := changes(before.Fillers, r.Fillers)
	surprise := r.Headroom - before.Headroom
	spread := changeNoise + readingGrain*(r.Headroom*r.Headroom+before.Headroom*before.Headroom)
	for f, cores := range changes {
		e := m.effect(r.Image, f)
		surprise += e.mean * cores
		spread += e.variance * cores * cores
	}
	for f, cores := range changes {
		e := m.effect(r.Image, f)
		e.correct(surprise, spread, -cores)
		e.mean = max(0, e.mean)
		e.variance += effectDrift * math.Abs(cores)
	}
}

// changes returns by how many cores the use of each filler image has changed.
func changes(before, after map[string]float64) map[string]float64 {
	out := map[string]float64{}
	for f, cores := range after {
		out[f] = cores
	}
	for f, cores := range before {
		out[f] -= cores
	}
	maps.DeleteFunc(out, func(_ string, cores float64) bool { return math.Abs(cores) < leastChange })
	return out
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

// Forget drops what was learned about a task that has ended.
func (m *Tails) Forget(task string) { delete(m.last, task) }

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
