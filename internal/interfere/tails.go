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
// A reading is the headroom of a serving task: its target divided by its tail latency, so that 1 is at the
// target and less is over it. The tail latency of a queue grows with the inverse of its remaining capacity, so
// headroom falls linearly with the capacity that others take: it is the headroom that the task would have
// alone, which varies with its own load, minus an interference for each core that fillers of an image use.
//
// The load of the task itself can't be separated from fillers that are always there, so interference is learned
// from changes between two readings: fillers come and go at once, loads change slowly. Each estimate has a
// variance and is corrected by the gain of a Kalman filter with independent components: a prediction error is
// attributed mostly to uncertain estimates and little to well-known ones.
type Tails struct {
	estimates    map[tailPair]*estimate
	lastReadings map[string]Reading
}

// tailPair is a pair of a serving image and a filler image.
type tailPair struct{ serving, filler string }

// estimate is a mean with its variance.
type estimate struct{ mean, variance float64 }

// Parameters of Tails, in units of headroom; interference is in headroom for each core.
const (
	// priorMean and priorVariance are the mean and variance of the interference of a pair without readings.
	// Many pairs interfere little, and some take all headroom with two cores.
	priorMean     = 0.15
	priorVariance = 0.4
	// driftVariance is how much the variance of an estimate grows between two readings, for each core by which
	// the filler's use has changed.
	driftVariance = 0.002
	// changeVariance is the variance of the change between two readings of a task whose neighbours stay, as its
	// own load varies, and readingVariance the variance of the relative error of a reading.
	changeVariance  = 0.06
	readingVariance = 0.01
	// minChange is the smallest change of a filler image's use to learn from, in cores.
	minChange = 0.05
	// minHeadroom is the headroom below which a task is overloaded and its readings carry no information; a
	// change between two such readings is ignored.
	minHeadroom = 0.3
	// maxHeadroom bounds the headroom of one reading.
	maxHeadroom = 8.0
)

// NewTails returns an untrained model.
func NewTails() *Tails {
	return &Tails{estimates: map[tailPair]*estimate{}, lastReadings: map[string]Reading{}}
}

// Reading is the headroom of one serving task beside fillers.
type Reading struct {
	// Task is the id of the task, and Image the image that it runs.
	Task, Image string
	Headroom    float64
	// Fillers is the processor use by filler image, in cores.
	Fillers map[string]float64
}

// Observe learns from the change between a reading and the previous one of the same task.
func (m *Tails) Observe(r Reading) {
	if math.IsNaN(r.Headroom) || r.Headroom <= 0 {
		return
	}
	r.Headroom = min(r.Headroom, maxHeadroom)
	r.Fillers = maps.Clone(r.Fillers)
	before, ok := m.lastReadings[r.Task]
	m.lastReadings[r.Task] = r
	if !ok || r.Headroom < minHeadroom && before.Headroom < minHeadroom {
		return
	}
	changes := changes(before.Fillers, r.Fillers)
	predictionError := r.Headroom - before.Headroom
	errorVariance := changeVariance + readingVariance*(r.Headroom*r.Headroom+before.Headroom*before.Headroom)
	for f, cores := range changes {
		e := m.estimate(r.Image, f)
		predictionError += e.mean * cores
		errorVariance += e.variance * cores * cores
	}
	for f, cores := range changes {
		e := m.estimate(r.Image, f)
		e.update(predictionError, errorVariance, -cores)
		e.mean = max(0, e.mean)
		e.variance += driftVariance * math.Abs(cores)
	}
}

// changes returns by how many cores the use of each filler image has changed; changes below minChange are left
// out.
func changes(before, after map[string]float64) map[string]float64 {
	out := map[string]float64{}
	for f, cores := range after {
		out[f] = cores
	}
	for f, cores := range before {
		out[f] -= cores
	}
	maps.DeleteFunc(out, func(_ string, cores float64) bool { return math.Abs(cores) < minChange })
	return out
}

// update corrects an estimate by its share of the prediction error. The caller gives the variance of the error,
// and the weight of the estimate in the predicted headroom.
func (e *estimate) update(predictionError, errorVariance, weight float64) {
	gain := e.variance * weight / errorVariance
	e.mean += gain * predictionError
	e.variance *= 1 - gain*weight
}

// estimate returns the estimate of a pair; a new one starts from the prior.
func (m *Tails) estimate(serving, filler string) *estimate {
	k := tailPair{serving, filler}
	e := m.estimates[k]
	if e == nil {
		e = &estimate{priorMean, priorVariance}
		m.estimates[k] = e
	}
	return e
}

// RemoveTask drops the last reading of a task that has ended.
func (m *Tails) RemoveTask(task string) { delete(m.lastReadings, task) }

// Interference returns how much headroom one core of a filler takes of a serving task, and the variance of
// that estimate.
func (m *Tails) Interference(serving, filler string) (mean, variance float64) {
	if e := m.estimates[tailPair{serving, filler}]; e != nil {
		return e.mean, e.variance
	}
	return priorMean, priorVariance
}

// estimateRecord is the stored form of one estimate.
type estimateRecord struct {
	Serving  string  `json:"s"`
	Filler   string  `json:"f"`
	Mean     float64 `json:"m"`
	Variance float64 `json:"v"`
}

// Encode returns all estimates for a later owner.
func (m *Tails) Encode() ([]byte, error) {
	var out []estimateRecord
	for k, e := range m.estimates {
		out = append(out, estimateRecord{k.serving, k.filler, e.mean, e.variance})
	}
	slices.SortFunc(out, func(a, b estimateRecord) int {
		return cmp.Or(cmp.Compare(a.Serving, b.Serving), cmp.Compare(a.Filler, b.Filler))
	})
	data, err := json.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("encode tail interference: %w", err)
	}
	return data, nil
}

// Decode restores the estimates that Encode returned.
func (m *Tails) Decode(data []byte) error {
	var records []estimateRecord
	if err := json.Unmarshal(data, &records); err != nil {
		return fmt.Errorf("decode tail interference: %w", err)
	}
	for _, r := range records {
		m.estimates[tailPair{r.Serving, r.Filler}] = &estimate{max(0, r.Mean), min(max(0, r.Variance), priorVariance)}
	}
	return nil
}
