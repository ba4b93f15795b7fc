// Package route decides which target a request goes to. It does no I/O and has no clock.
package route

import (
	"math/rand/v2"
	"time"
)

// Candidate is a target that may get the request: it has a free credit and is not ejected.
type Candidate struct {
	// Near is true for targets in the data centre of this process.
	Near bool
	// InUse is how many requests of this process the target has, Slots how many it takes in all.
	InUse int
	Slots int
	// Latency is the moving average seen from here, way there and back included; 0 when unknown.
	Latency time.Duration
}

// Policy says how to choose.
type Policy string

// Policies. Default is what the product uses; the others are what it is measured against.
const (
	Default     Policy = "two-choices"
	Random      Policy = "random"
	RoundRobin  Policy = "round-robin"
	LeastLoaded Policy = "least-loaded"
)

// Picker chooses targets. Use New to make one.
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

// Pick returns the index of the chosen candidate; there must be one at least.
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

// leastLoaded returns the candidate with the fewest requests, near ones first.
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

// farGain is the part of the near cost that a far target must stay below to be taken. The way to
// another data centre holds a slot without doing work, so noise alone must not send requests there.
const farGain = 0.6

// twoChoices draws two near candidates and takes the one with the least expected time, and does the
// same for the far ones. A far one wins when the near ones are that much slower, or have no free slot.
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
	near, far := p.better(cs, p.near, mean), p.better(cs, p.far, mean)
	if near < 0 || far >= 0 && cost(cs[far], mean) < farGain*cost(cs[near], mean) {
		return far
	}
	return near
}

// better draws two of the candidates in a list and returns the better one, or -1 when there is none.
func (p *Picker) better(cs []Candidate, list []int, mean time.Duration) int {
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

// meanLatency is the latency assumed of a target that is not known yet.
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

// cost is the expected time of one more request.
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

// loadWeight is how much slower a target is taken to be when all its slots are in use.
const loadWeight = 0.5
