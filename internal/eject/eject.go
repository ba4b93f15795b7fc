// Package eject implements outlier ejection: targets that fail or are slow get no requests for a while
// and return after a successful trial request.
//
// The failure rate is a moving average over the newest reports, so a series of failures ejects a target
// and a single one does not. Latency is compared with that of the other targets of the service. After
// the ejection time, a target gets one request at a time; a success restores it, and a failure ejects it
// for twice as long.
package eject

import (
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/charts"
	"github.com/crocusspring/crocusspring/internal/chart"
)

// Targets is the state chart of a target.
var Targets = chart.MustLoad(charts.Files, "target.yaml")

// Events of the state chart.
const (
	eventEject  chart.Event = "eject"
	eventCool   chart.Event = "cool"
	eventPass   chart.Event = "pass"
	eventFail   chart.Event = "fail"
	eventLeave  chart.Event = "leave"
	eventRenew  chart.Event = "renew"
	eventExpire chart.Event = "expire"
)

// States of the state chart.
const (
	Serving chart.State = "serving"
	Ejected chart.State = "ejected"
	Trial   chart.State = "trial"
	Leaving chart.State = "leaving"
)

const (
	// sampleWeight is the weight of the newest sample in the moving averages of failures and latency.
	// maxFailureRate is the failure rate at which a target is ejected; five failures in a row reach it.
	sampleWeight   = 0.2
	maxFailureRate = 0.6
	// slowFactor is how many times the median latency of the other targets a target's latency may be.
	slowFactor = 5
	// slowFloor is the latency up to which no target counts as slow.
	slowFloor = 20 * time.Millisecond
	// minSamples is how many latencies of a target are needed before it can count as slow.
	minSamples = 10
	// minPeers is how many other targets with enough samples are needed before one can count as slow.
	minPeers = 2
	// firstEjection is the ejection time of a serving target; it doubles with each failed trial up to
	// maxEjection.
	firstEjection = 500 * time.Millisecond
	maxEjection   = 10 * time.Second
)

// Kind is how an attempt ended.
type Kind int

// Kinds of reports.
const (
	// Good is a complete answer with a status below 500.
	Good Kind = iota
	// Refused is an unsuccessful answer: a status of 500 or more, or a refusal.
	Refused
	// Lost is an attempt without any answer.
	Lost
)

// target holds the health of one target.
type target struct {
	state        chart.State
	failureRate  float64
	lastLost     bool
	latency      time.Duration
	samples      int
	ejectedUntil time.Time
	ejection     time.Duration
	trialRunning bool
}

// Set holds the health of the targets of one service. Use New to create one.
type Set struct{ targets map[string]*target }

// New returns an empty set.
func New() *Set { return &Set{targets: map[string]*target{}} }

// get returns a target, creating it if needed.
func (s *Set) get(name string) *target {
	t := s.targets[name]
	if t == nil {
		t = &target{state: Targets.Initial}
		s.targets[name] = t
	}
	return t
}

// move applies an event and reports whether the state accepts it; otherwise nothing changes.
func (t *target) move(e chart.Event) bool {
	to, err := Targets.Next(t.state, e)
	if err != nil {
		return false
	}
	t.state = to
	return true
}

// Present records that a target is announced, and whether it is leaving.
func (s *Set) Present(name string, leaving bool) {
	t := s.get(name)
	switch {
	case leaving:
		t.move(eventLeave)
	case t.state == Leaving:
		s.targets[name] = &target{state: Leaving}
		s.targets[name].move(eventRenew)
	}
}

// Absent records that a target's lease has expired.
func (s *Set) Absent(name string) {
	if t := s.targets[name]; t != nil && t.move(eventExpire) {
		delete(s.targets, name)
	}
}

// Names returns the names of the targets in no particular order.
func (s *Set) Names() []string {
	var out []string
	for name := range s.targets {
		out = append(out, name)
	}
	return out
}

// State returns the state of a target.
func (s *Set) State(name string) chart.State { return s.get(name).state }

// Usable reports whether a target may get a request now. It starts the trial of a target whose ejection
// time is over.
func (s *Set) Usable(now time.Time, name string) bool {
	t := s.get(name)
	if t.state == Ejected && !now.Before(t.ejectedUntil) {
		t.move(eventCool)
		t.trialRunning = false
	}
	return t.state == Serving || t.state == Trial && !t.trialRunning
}

// Begin records that a target got a request; a target on trial gets no other one until it has ended.
func (s *Set) Begin(name string) {
	if t := s.get(name); t.state == Trial {
		t.trialRunning = true
	}
}

// Inconclusive records the end of a request that says nothing about the target. The next one may be its trial.
func (s *Set) Inconclusive(name string) { s.get(name).trialRunning = false }

// NextTrial returns the time until the next trial of an ejected target, at least 1 ms; 0 if no target is
// ejected.
func (s *Set) NextTrial(now time.Time) time.Duration {
	var wait time.Duration
	for _, t := range s.targets {
		if t.state != Ejected {
			continue
		}
		if d := max(time.Millisecond, t.ejectedUntil.Sub(now)); wait == 0 || d < wait {
			wait = d
		}
	}
	return wait
}

// Report records the end of an attempt and reports whether it ejected the target.
func (s *Set) Report(now time.Time, name string, k Kind, latency time.Duration) bool {
	t := s.get(name)
	failure := 0.0
	if k != Good {
		failure = 1
	}
	t.failureRate += (failure - t.failureRate) * sampleWeight
	t.lastLost = k == Lost
	if k == Good {
		t.sample(latency)
	}
	if t.state == Trial {
		return t.endTrial(now, k, s.slowLimit(name))
	}
	if t.state != Serving {
		return false
	}
	slow := k == Good && t.samples >= minSamples && t.latency > s.slowLimit(name)
	if !slow && t.failureRate < maxFailureRate {
		return false
	}
	if !t.lastLost && !s.canEjectMore() {
		return false
	}
	t.eject(now, eventEject)
	return true
}

// sample adds one latency to the moving average.
func (t *target) sample(latency time.Duration) {
	t.samples++
	if t.samples == 1 {
		t.latency = latency
		return
	}
	t.latency += time.Duration(float64(latency-t.latency) * sampleWeight)
}

// endTrial ends a trial and reports whether it failed.
func (t *target) endTrial(now time.Time, k Kind, limit time.Duration) bool {
	if k == Good && t.latency <= limit || k == Good && t.samples == 1 {
		t.move(eventPass)
		t.failureRate, t.samples, t.trialRunning, t.ejection = 0, 0, false, 0
		return false
	}
	t.eject(now, eventFail)
	return true
}

// eject ejects a target for firstEjection, and after a failed trial for twice as long as before, up to
// maxEjection.
func (t *target) eject(now time.Time, e chart.Event) {
	t.move(e)
	t.ejection = min(max(firstEjection, 2*t.ejection), maxEjection)
	t.ejectedUntil = now.Add(t.ejection)
	t.trialRunning, t.samples, t.latency = false, 0, 0
}

// slowLimit returns the latency above which a target counts as slow; an hour if fewer than minPeers
// others can be compared.
func (s *Set) slowLimit(name string) time.Duration {
	var others []time.Duration
	for n, t := range s.targets {
		if n != name && t.state == Serving && t.samples >= minSamples {
			others = append(others, t.latency)
		}
	}
	if len(others) < minPeers {
		return time.Hour
	}
	slices.Sort(others)
	return max(slowFloor, slowFactor*others[len(others)/2])
}

// canEjectMore reports whether one more target that still answers may be ejected: at most half of the
// targets may be ejected or on trial then.
func (s *Set) canEjectMore() bool {
	ejected := 1
	for _, t := range s.targets {
		if t.state == Ejected || t.state == Trial {
			ejected++
		}
	}
	return 2*ejected <= len(s.targets)
}
