// Package retry decides whether a request may be attempted again.
//
// A request is never in two places at once: another attempt needs proof that the earlier one is over.
// Retries are paid from a budget that only successes fill, so an outage can't multiply the load.
package retry

// Kind says how often a request may run.
type Kind int

// Kinds of requests.
const (
	// Once is sent to a target at most one time.
	Once Kind = iota
	// Keyed runs at most one time; it may be sent again after proof that it did not run.
	Keyed
	// Idempotent may run again once an earlier run is over.
	Idempotent
)

// Proof says what is known of an attempt that gave no answer.
type Proof int

// Proofs, from the weakest on.
const (
	// None says that the attempt may still run.
	None Proof = iota
	// Over says that the attempt is over and may have run.
	Over
	// Refused says that the target did not run it and won't.
	Refused
	// NeverSent says that no byte reached the target.
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
	// Ratio is how many retries each success pays for.
	Ratio = 0.1
	// Burst is how many retries may be saved up.
	Burst = 10
)

// Budget is what is left for retries. Use NewBudget to make one.
type Budget struct{ tokens float64 }

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{tokens: Burst} }

// Success pays in for one success.
func (b *Budget) Success() { b.tokens = min(Burst, b.tokens+Ratio) }

// Spend takes one retry and reports whether there was one.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
