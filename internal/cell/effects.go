package cell

import (
	"time"

	"github.com/crocusspring/crocusspring/internal/interfere"
)

// keepEffects is how long a looked-up effect is used before the model is asked again.
const keepEffects = time.Second

// loads is how many levels of load there are.
const loads = interfere.High + 1

// effects is the learned model for placement, which asks for one class, that of the task to place,
// with all others, as victim and as neighbour. What is known is kept by that class, so that a look-up
// is of one short name.
type effects struct {
	model *interfere.Model
	rows  map[string]*row
	focus string
	row   *row
	since time.Time
}

// effect is what the model says of a pair.
type effect struct{ value, count float64 }

// row keeps the effects of others on a class and those of the class on others.
type row struct{ suffers, causes [loads]map[string]effect }

// newEffects returns a memo of a model.
func newEffects(m *interfere.Model) *effects {
	return &effects{model: m, rows: map[string]*row{}}
}

// renew forgets what is too old.
func (e *effects) renew(now time.Time) {
	if now.Sub(e.since) > keepEffects {
		clear(e.rows)
		e.row, e.since = nil, now
	}
}

// about says which class is asked for from now on.
func (e *effects) about(class string) {
	r := e.rows[class]
	if r == nil {
		r = &row{}
		for l := range loads {
			r.suffers[l], r.causes[l] = map[string]effect{}, map[string]effect{}
		}
		e.rows[class] = r
	}
	e.focus, e.row = class, r
}

// Effect implements place.Model.
func (e *effects) Effect(victim, neighbour string, load interfere.Load) (value, count float64) {
	var known map[string]effect
	var other string
	switch {
	case e.row == nil:
	case victim == e.focus:
		known, other = e.row.suffers[load], neighbour
	case neighbour == e.focus:
		known, other = e.row.causes[load], victim
	}
	f, ok := known[other]
	if ok {
		return f.value, f.count
	}
	f.value, f.count = e.model.Effect(victim, neighbour, load)
	if known != nil {
		known[other] = f
	}
	return f.value, f.count
}
