// Package chart loads state charts from YAML and interprets them with a state machine library.
package chart

import (
	"context"
	"fmt"
	"io/fs"
	"slices"

	"github.com/qmuntal/stateless"
)

// State and Event name the parts of a chart.
type (
	State string
	Event string
)

// Chart is a checked chart. Use Load to make one.
type Chart struct {
	Name    string
	Initial State
	final   map[State]bool
	next    map[State]map[Event]State
}

// RefusedError says that a state takes no such event.
type RefusedError struct {
	Chart string
	State State
	Event Event
}

// Error names chart, state and event.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("chart %s: state %s takes no event %s", e.Chart, e.State, e.Event)
}

// Load reads and checks a chart file and reports all findings together, each with file and line.
func Load(files fs.FS, name string) (*Chart, error) {
	data, err := fs.ReadFile(files, name)
	if err != nil {
		return nil, fmt.Errorf("read chart: %w", err)
	}
	f, err := parse(name, data)
	if err != nil {
		return nil, err
	}
	if err := f.check(); err != nil {
		return nil, err
	}
	return build(f)
}

// MustLoad is Load for charts that are part of the program; it panics on findings.
func MustLoad(files fs.FS, name string) *Chart {
	c, err := Load(files, name)
	if err != nil {
		panic(err)
	}
	return c
}

// build asks the library once for every state and event, so that Next is a look-up.
func build(f *file) (*Chart, error) {
	c := &Chart{Name: f.name, Initial: f.initial.state(), final: map[State]bool{}, next: map[State]map[Event]State{}}
	for _, s := range f.final {
		c.final[s.state()] = true
	}
	m, current := machine(f)
	for _, s := range f.states {
		c.next[s.state()] = map[Event]State{}
		for _, e := range s.edges {
			*current = s.state()
			if err := m.Fire(Event(e.text)); err != nil {
				return nil, fmt.Errorf("chart %s: %w", f.name, err)
			}
			c.next[s.state()][Event(e.text)] = *current
		}
	}
	return c, nil
}

// machine returns the library's machine of a file and the place where it keeps its state.
func machine(f *file) (*stateless.StateMachine, *State) {
	current := f.initial.state()
	get := func(context.Context) (stateless.State, error) { return current, nil }
	set := func(_ context.Context, s stateless.State) error {
		current = s.(State)
		return nil
	}
	m := stateless.NewStateMachineWithExternalStorage(get, set, stateless.FiringQueued)
	for _, s := range f.states {
		conf := m.Configure(s.state())
		for _, e := range s.edges {
			if e.to.text == s.text {
				conf.PermitReentry(Event(e.text))
			} else {
				conf.Permit(Event(e.text), e.to.state())
			}
		}
	}
	return m, &current
}

// Next returns the state an event leads to, or a *RefusedError.
func (c *Chart) Next(s State, e Event) (State, error) {
	to, ok := c.next[s][e]
	if !ok {
		return s, &RefusedError{c.Name, s, e}
	}
	return to, nil
}

// Final reports whether nothing more can happen in a state.
func (c *Chart) Final(s State) bool { return c.final[s] }

// States returns every state the chart defines, sorted.
func (c *Chart) States() []State {
	var out []State
	for s := range c.next {
		out = append(out, s)
	}
	for s := range c.final {
		out = append(out, s)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Events returns every event the chart takes in some state, sorted.
func (c *Chart) Events() []Event {
	var out []Event
	for _, edges := range c.next {
		for e := range edges {
			out = append(out, e)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Missing compares the chart with the states and events that code names and returns what only one
// side has, sorted; empty when both agree.
func (c *Chart) Missing(states []State, events []Event) []string {
	var out []string
	out = append(out, differ("state", c.States(), states)...)
	out = append(out, differ("event", c.Events(), events)...)
	slices.Sort(out)
	return out
}

// differ lists what stands on one side only.
func differ[T ~string](what string, chart, code []T) []string {
	var out []string
	for _, x := range chart {
		if !slices.Contains(code, x) {
			out = append(out, fmt.Sprintf("%s %s is in the chart but not in the code", what, x))
		}
	}
	for _, x := range code {
		if !slices.Contains(chart, x) {
			out = append(out, fmt.Sprintf("%s %s is in the code but not in the chart", what, x))
		}
	}
	return out
}
