package cell

import (
	"time"

	"github.com/crocusspring/crocusspring/internal/interfere"
)

// keepEffects is how long a looked-up effect is used before the model is asked again.
const keepEffects = time.Second

// effects is the learned model for placement, which asks for the same few pairs again and again.
type effects struct {
	model *interfere.Model
	memo  map[effectKey]effect
	since time.Time
}

// effectKey is an ordered pair of classes at a load.
type effectKey struct {
	victim, neighbour string
	load              interfere.Load
}

// effect is what the model says of a pair.
type effect struct{ value, count float64 }

// newEffects returns a memo of a model.
func newEffects(m *interfere.Model) *effects {
	return &effects{model: m, memo: map[effectKey]effect{}}
}

// renew forgets what is too old.
func (e *effects) renew(now time.Time) {
	if now.Sub(e.since) > keepEffects {
		clear(e.memo)
		e.since = now
	}
}

// Effect implements place.Model.
func (e *effects) Effect(victim, neighbour string, load interfere.Load) (value, count float64) {
	k := effectKey{victim, neighbour, load}
	f, ok := e.memo[k]
	if !ok {
		f.value, f.count = e.model.Effect(victim, neighbour, load)
		e.memo[k] = f
	}
	return f.value, f.count
}
