// Package retry decides whether a request may be attempted again.
//
// A request never has two running attempts: a retry requires proof that the earlier attempt is over.
// Retries are limited by a budget that is refilled only by successes, so that an outage can't multiply
// the load.
package retry

// Kind is how often a request may be sent and run.
type Kind int

// Kinds of requests.
const (
	// Once is a request that is sent to a target at most once.
	Once Kind = iota
	// Keyed is a request that runs at most once; it may be sent again after proof that it did not run.
	Keyed
	// Idempotent is a request that may run again after its earlier run is over.
	Idempotent
)

// Proof is what is known about an attempt that gave no answer.
type Proof int

// Proofs in order of strength, weakest first.
const (
	// None means that the attempt may still be running.
	None Proof = iota
	// Over means that the attempt is over and may have run.
	Over
	// Refused means that the target did not run the attempt and never will.
	Refused
	// NeverSent means that no byte of the request reached the target.
	NeverSent
)

// Allowed reports whether a request may be attempted again after an attempt with this proof.
func Allowed(k Kind, p Proof) bool {
	switch p {
	case NeverSent:
		return true
	case Refused:
		return k != Once
	case Over:
		return k == Idempotent
	}
	return false
}

// NotRun reports whether the proof says that the attempt did not run.
func (p Proof) NotRun() bool { return p == Refused || p == NeverSent }

const (
	// Ratio is the number of retries that each success adds to the budget.
	Ratio = 0.1
	// Burst is the most retries that the budget holds.
	Burst = 10
)

// Budget is a token bucket for retries. Use NewBudget to create one.
type Budget struct{ tokens float64 }

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{tokens: Burst} }

// Success adds Ratio retries to the budget, up to Burst.
func (b *Budget) Success() { b.tokens = min(Burst, b.tokens+Ratio) }

// Spend takes one retry from the budget and reports whether there was one.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
