// Package route selects the target of a request. It does no I/O and has no clock.
package route

import (
	"math/rand/v2"
	"time"
)

// Candidate is a target that may get the request: it has a free slot and is not ejected.
type Candidate struct {
	// Near is true for targets in the data centre of this process.
	Near bool
	// InUse is the number of this process's requests that are running at the target; Slots is the number
	// of requests that the target runs at once for all processes.
	InUse int
	Slots int
	// Latency is the moving average measured by this process, network round trip included; 0 if unknown.
	Latency time.Duration
}

// Policy is a load-balancing policy.
type Policy string

// Policies. Default is the one in production; the others are baselines for comparison.
const (
	Default     Policy = "two-choices"
	Random      Policy = "random"
	RoundRobin  Policy = "round-robin"
	LeastLoaded Policy = "least-loaded"
)

// Picker selects targets by a policy. Use New to create one.
type Picker struct {
	policy Policy
	rng    *rand.Rand
	next   int
	near   []int
	far    []int
}

// New returns a picker; the seed makes its choices repeatable.
func New(p Policy, seed uint64) *Picker {
	return &Picker{policy: p, rng: rand.New(rand.NewPCG(seed, seed))}
}

// Pick returns the index of the selected candidate; cs must not be empty.
func (p *Picker) Pick(cs []Candidate) int {
	switch p.policy {
	case Random:
		return p.rng.IntN(len(cs))
	case RoundRobin:
		p.next++
		return p.next % len(cs)
	case LeastLoaded:
		return leastLoaded(cs)
	}
	return p.twoChoices(cs)
}

// leastLoaded returns the candidate with the fewest requests in use, preferring near ones.
func leastLoaded(cs []Candidate) int {
	best := 0
	for i, c := range cs {
		b := cs[best]
		if c.Near != b.Near {
			if c.Near {
				best = i
			}
			continue
		}
		if c.InUse < b.InUse {
			best = i
		}
	}
	return best
}

// farCostFactor is the fraction of the near target's cost below which a far target is selected. A request
// in transit to another data centre occupies a slot without doing work, so noise in the latencies must not
// be enough to send requests there.
const farCostFactor = 0.6

// twoChoices implements the power of two choices: it draws two near candidates and takes the one with the
// lower cost, and does the same for the far ones. The far one is selected only if its cost is below
// farCostFactor times that of the near one, or if there is no near candidate.
func (p *Picker) twoChoices(cs []Candidate) int {
	p.near, p.far = p.near[:0], p.far[:0]
	for i, c := range cs {
		if c.Near {
			p.near = append(p.near, i)
		} else {
			p.far = append(p.far, i)
		}
	}
	mean := meanLatency(cs)
	near, far := p.betterOfTwo(cs, p.near, mean), p.betterOfTwo(cs, p.far, mean)
	if near < 0 || far >= 0 && cost(cs[far], mean) < farCostFactor*cost(cs[near], mean) {
		return far
	}
	return near
}

// betterOfTwo draws two candidates of a list, possibly the same one twice, and returns the one with the
// lower cost, or -1 if the list is empty.
func (p *Picker) betterOfTwo(cs []Candidate, list []int, mean time.Duration) int {
	if len(list) == 0 {
		return -1
	}
	a := list[p.rng.IntN(len(list))]
	b := list[p.rng.IntN(len(list))]
	if cost(cs[b], mean) < cost(cs[a], mean) {
		return b
	}
	return a
}

// meanLatency returns the mean of the known latencies, which is assumed for targets without one.
func meanLatency(cs []Candidate) time.Duration {
	var sum time.Duration
	n := 0
	for _, c := range cs {
		if c.Latency > 0 {
			sum += c.Latency
			n++
		}
	}
	return sum / time.Duration(max(1, n))
}

// cost returns the expected duration of one more request, in nanoseconds.
func cost(c Candidate, mean time.Duration) float64 {
	l := c.Latency
	if l == 0 {
		l = mean
	}
	if l == 0 {
		l = time.Millisecond
	}
	return float64(l) * (1 + loadWeight*float64(c.InUse)/float64(max(1, c.Slots)))
}

// loadWeight is the assumed fractional increase in latency of a target when all its slots are in use.
const loadWeight = 0.5
