package cell

import (
	"time"

	"github.com/crocusspring/crocusspring/internal/interfere"
)

// interferenceTTL is how long an estimate is used before it is read from the model again.
const interferenceTTL = time.Second

// numLoads is the number of load levels.
const numLoads = interfere.High + 1

// interferenceCache caches the learned model for placement. Placement looks up the pairs of one class, that
// of the task to place, with all others, as victim and as neighbour. The estimates are kept by that class,
// so that a lookup needs one short name only.
type interferenceCache struct {
	model       *interfere.Model
	rows        map[string]*classRow
	class       string
	row         *classRow
	cachedSince time.Time
}

// estimate is what the model returns for a pair.
type estimate struct{ value, count float64 }

// classRow holds the estimated interference of other classes with one class, and of this class with others.
type classRow struct{ asVictim, asNeighbour [numLoads]map[string]estimate }

// newInterferenceCache returns an empty cache of a model.
func newInterferenceCache(m *interfere.Model) *interferenceCache {
	return &interferenceCache{model: m, rows: map[string]*classRow{}}
}

// expire drops all estimates once the oldest may be older than interferenceTTL.
func (e *interferenceCache) expire(now time.Time) {
	if now.Sub(e.cachedSince) > interferenceTTL {
		clear(e.rows)
		e.row, e.cachedSince = nil, now
	}
}

// selectClass sets the class that the following lookups are for.
func (e *interferenceCache) selectClass(class string) {
	r := e.rows[class]
	if r == nil {
		r = &classRow{}
		for l := range numLoads {
			r.asVictim[l], r.asNeighbour[l] = map[string]estimate{}, map[string]estimate{}
		}
		e.rows[class] = r
	}
	e.class, e.row = class, r
}

// Interference implements place.Model.
func (e *interferenceCache) Interference(victim, neighbour string, load interfere.Load) (value, count float64) {
	var cached map[string]estimate
	var other string
	switch {
	case e.row == nil:
	case victim == e.class:
		cached, other = e.row.asVictim[load], neighbour
	case neighbour == e.class:
		cached, other = e.row.asNeighbour[load], victim
	}
	f, ok := cached[other]
	if ok {
		return f.value, f.count
	}
	f.value, f.count = e.model.Interference(victim, neighbour, load)
	if cached != nil {
		cached[other] = f
	}
	return f.value, f.count
}
