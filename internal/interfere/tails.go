package interfere

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"
)

// Tails learns how much filler tasks raise the tail latency of serving tasks beside them.
//
// A reading is the headroom of a serving task: its target divided by its tail latency, so that 1 is at the
// target and less is over it. The tail latency of a queue grows with the inverse of its remaining capacity, so
// headroom falls linearly with the capacity that others take: it is the headroom that the task would have
// alone, less an interference for each core that fillers of an image use.
//
// The tasks of one step share a load, which rises and falls within seconds and takes more headroom than most fillers
// do. Their readings together tell the headroom that each would have alone: a Group follows it as a level with a
// slope. What a task lacks to that is the interference of the fillers beside it. Each estimate of a pair has a
// variance and is corrected by the gain of a Kalman filter with independent components: a prediction error is
// attributed mostly to uncertain estimates and little to well-known ones.
type Tails struct {
	estimates map[tailPair]*estimate
	groups    map[string]*group
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
	// driftVariance is how much the variance of an estimate grows with each reading.
	driftVariance = 0.0005
	// readingVariance and relativeVariance are the variance of a reading and that of its relative error.
	readingVariance  = 0.02
	relativeVariance = 0.005
	// minHeadroom is the headroom below which a task is overloaded; its readings say only that it is.
	minHeadroom = 0.3
	// maxHeadroom bounds the headroom of one reading.
	maxHeadroom = 8.0
)

// NewTails returns an untrained model.
func NewTails() *Tails {
	return &Tails{estimates: map[tailPair]*estimate{}, groups: map[string]*group{}}
}

// Reading is the headroom of one serving task beside fillers.
type Reading struct {
	// Group names the step of the task, and Image the image that it runs.
	Group, Image string
	Headroom     float64
	// Fillers is the processor use by filler image, in cores.
	Fillers map[string]float64
}

// Observe learns from a reading that arrived now.
func (m *Tails) Observe(now time.Time, r Reading) {
	if math.IsNaN(r.Headroom) || r.Headroom <= 0 {
		return
	}
	r.Headroom = min(r.Headroom, maxHeadroom)
	g := m.groups[r.Group]
	if g == nil {
		g = newGroup(now)
		m.groups[r.Group] = g
	}
	g.advance(now)
	noise := readingVariance + relativeVariance*r.Headroom*r.Headroom
	if g.known() {
		m.learn(g, r, noise)
	}
	if r.Headroom < minHeadroom {
		return
	}
	taken, variance := m.taken(r)
	g.observe(r.Headroom+taken, noise+variance)
}

// taken returns how much headroom the fillers beside a task are expected to take, and the variance of that.
func (m *Tails) taken(r Reading) (mean, variance float64) {
	for f, cores := range r.Fillers {
		e := m.estimate(r.Image, f)
		mean += e.mean * cores
		variance += e.variance * cores * cores
	}
	return mean, variance
}

// learn attributes what a task lacks to the headroom of its group to the fillers beside it.
func (m *Tails) learn(g *group, r Reading, noise float64) {
	taken, variance := m.taken(r)
	predictionError := g.level - r.Headroom - taken
	if r.Headroom < minHeadroom && predictionError < 0 {
		return
	}
	errorVariance := noise + g.levelVariance() + variance
	for f, cores := range r.Fillers {
		e := m.estimate(r.Image, f)
		e.update(predictionError, errorVariance, cores)
		e.mean = max(0, e.mean)
		e.variance = min(priorVariance, e.variance+driftVariance)
	}
}

// Alone returns the headroom that tasks of a group would have now without fillers, and by how much it changes in a
// second; false while it isn't known well.
func (m *Tails) Alone(now time.Time, name string) (level, slope float64, ok bool) {
	g := m.groups[name]
	if g == nil {
		return 0, 0, false
	}
	g.advance(now)
	return g.level, g.slope, g.known()
}

// RemoveGroup drops a group whose job has ended.
func (m *Tails) RemoveGroup(name string) { delete(m.groups, name) }

// update corrects an estimate by its share of the prediction error. The caller gives the variance of the error,
// and the weight of the estimate in the predicted value.
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

// Encode returns the estimates for a later owner in at most a number of bytes, the most certain ones if not all fit; a limit
// of 0 or less means none.
func (m *Tails) Encode(limit int) ([]byte, error) {
	var out []estimateRecord
	for k, e := range m.estimates {
		out = append(out, estimateRecord{k.serving, k.filler, e.mean, e.variance})
	}
	if limit > 0 {
		out = mostCertain(out, limit)
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

// mostCertain returns the records with the least variance whose encoding fits into a number of bytes.
func mostCertain(records []estimateRecord, limit int) []estimateRecord {
	slices.SortFunc(records, func(a, b estimateRecord) int {
		return cmp.Or(cmp.Compare(a.Variance, b.Variance), cmp.Compare(a.Serving, b.Serving), cmp.Compare(a.Filler, b.Filler))
	})
	size := len("[]")
	for i, r := range records {
		data, err := json.Marshal(r)
		if size += len(data) + len(","); err != nil || size > limit {
			return records[:i]
		}
	}
	return records
}

// Decode restores the estimates that Encode returned.
func (m *Tails) Decode(data []byte) error {
	var records []estimateRecord
	if err := json.Unmarshal(data, &records); err != nil {
		return fmt.Errorf("decode tail interference: %w", err)
	}
	for _, r := range records {
		m.estimates[tailPair{r.Serving, r.Filler}] = &estimate{min(max(0, r.Mean), maxHeadroom), min(max(0, r.Variance), priorVariance)}
	}
	return nil
}
