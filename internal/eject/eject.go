// Package eject keeps targets that err or are slow out of use and lets them back in by trial.
//
// Failures are a moving share over the newest reports, so a run of them ejects a target and a single
// one does not. Slowness is judged against the other targets of the service. An ejected target gets
// one request at a time once its time is over; the first good one lets it back in, a bad one keeps
// it out for twice as long.
package eject

import (
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/charts"
	"github.com/crocusspring/crocusspring/internal/chart"
)

// Targets is the chart of a target.
var Targets = chart.MustLoad(charts.Files, "target.yaml")

// Events of the chart.
const (
	eventEject  chart.Event = "eject"
	eventCool   chart.Event = "cool"
	eventPass   chart.Event = "pass"
	eventFail   chart.Event = "fail"
	eventLeave  chart.Event = "leave"
	eventRenew  chart.Event = "renew"
	eventExpire chart.Event = "expire"
)

// States of the chart.
const (
	Serving chart.State = "serving"
	Ejected chart.State = "ejected"
	Trial   chart.State = "trial"
	Leaving chart.State = "leaving"
)

const (
	// failWeight is the weight of the newest report in the share of failures, and failLimit the share
	// that ejects: five failures in a row reach it.
	failWeight = 0.2
	failLimit  = 0.6
	// slowFactor is how many times slower than the median of the others a target may be.
	slowFactor = 5
	// slowFloor is a latency that is never called slow.
	slowFloor = 20 * time.Millisecond
	// minSamples is how many latencies are needed before a target is called slow.
	minSamples = 10
	// minPeers is how many other targets with enough samples are needed to call one slow.
	minPeers = 2
	// firstOut and longestOut bound the time a target is kept out.
	firstOut   = 500 * time.Millisecond
	longestOut = 10 * time.Second
)

// Kind says how an attempt ended.
type Kind int

// Kinds of reports.
const (
	// Good is a whole answer.
	Good Kind = iota
	// Refused is an answer that is no success: a status of 500 or more, or a refusal.
	Refused
	// Lost is no answer at all.
	Lost
)

// target is what is known of one target.
type target struct {
	state   chart.State
	fails   float64
	hard    bool
	latency time.Duration
	samples int
	until   time.Time
	out     time.Duration
	trying  bool
}

// Set is the targets of one service. Use New to make one.
type Set struct{ targets map[string]*target }

// New returns an empty set.
func New() *Set { return &Set{targets: map[string]*target{}} }

// get returns a target and makes it when it is new.
func (s *Set) get(name string) *target {
	t := s.targets[name]
	if t == nil {
		t = &target{state: Targets.Initial}
		s.targets[name] = t
	}
	return t
}

// move applies an event; one the state does not take changes nothing.
func (t *target) move(e chart.Event) bool {
	to, err := Targets.Next(t.state, e)
	if err != nil {
		return false
	}
	t.state = to
	return true
}

// Present says that a target is announced, and whether it is leaving.
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

// Absent says that a target's lease has ended.
func (s *Set) Absent(name string) {
	if t := s.targets[name]; t != nil && t.move(eventExpire) {
		delete(s.targets, name)
	}
}

// Names returns the targets of the set.
func (s *Set) Names() []string {
	var out []string
	for name := range s.targets {
		out = append(out, name)
	}
	return out
}

// State returns the state of a target.
func (s *Set) State(name string) chart.State { return s.get(name).state }

// Usable reports whether a target may get a request now.
func (s *Set) Usable(now time.Time, name string) bool {
	t := s.get(name)
	if t.state == Ejected && !now.Before(t.until) {
		t.move(eventCool)
		t.trying = false
	}
	return t.state == Serving || t.state == Trial && !t.trying
}

// Begin notes that a target got a request; a target on trial gets no other until it ended.
func (s *Set) Begin(name string) {
	if t := s.get(name); t.state == Trial {
		t.trying = true
	}
}

// NextTrial returns the time until the first ejected target is tried; 0 when there is none.
func (s *Set) NextTrial(now time.Time) time.Duration {
	var wait time.Duration
	for _, t := range s.targets {
		if t.state != Ejected {
			continue
		}
		if d := max(time.Millisecond, t.until.Sub(now)); wait == 0 || d < wait {
			wait = d
		}
	}
	return wait
}

// Report takes the end of an attempt and reports whether it ejected the target.
func (s *Set) Report(now time.Time, name string, k Kind, latency time.Duration) bool {
	t := s.get(name)
	bad := 0.0
	if k != Good {
		bad = 1
	}
	t.fails += (bad - t.fails) * failWeight
	t.hard = k == Lost
	if k == Good {
		t.sample(latency)
	}
	if t.state == Trial {
		return t.judge(now, k, s.limit(name))
	}
	if t.state != Serving {
		return false
	}
	slow := k == Good && t.samples >= minSamples && t.latency > s.limit(name)
	if !slow && t.fails < failLimit {
		return false
	}
	if !t.hard && !s.spare() {
		return false
	}
	t.eject(now, eventEject)
	return true
}

// sample folds one latency.
func (t *target) sample(latency time.Duration) {
	t.samples++
	if t.samples == 1 {
		t.latency = latency
		return
	}
	t.latency += time.Duration(float64(latency-t.latency) * failWeight)
}

// judge ends a trial and reports whether it failed.
func (t *target) judge(now time.Time, k Kind, limit time.Duration) bool {
	if k == Good && t.latency <= limit || k == Good && t.samples == 1 {
		t.move(eventPass)
		t.fails, t.samples, t.trying, t.out = 0, 0, false, 0
		return false
	}
	t.eject(now, eventFail)
	return true
}

// eject keeps a target out, each time for twice as long.
func (t *target) eject(now time.Time, e chart.Event) {
	t.move(e)
	t.out = min(max(firstOut, 2*t.out), longestOut)
	t.until = now.Add(t.out)
	t.trying, t.samples, t.latency = false, 0, 0
}

// limit returns the latency above which a target is slow; very long when there is nothing to compare.
func (s *Set) limit(name string) time.Duration {
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

// spare reports whether one more target may be kept out that still answers: at most half are.
func (s *Set) spare() bool {
	out := 1
	for _, t := range s.targets {
		if t.state == Ejected || t.state == Trial {
			out++
		}
	}
	return 2*out <= len(s.targets)
}
