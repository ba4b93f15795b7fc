// Package chart loads state charts from YAML and interprets them with a state machine library.
package chart

import (
	"context"
	"fmt"
	"io/fs"
	"slices"

	"github.com/qmuntal/stateless"
)

// State and Event are the names of the states and events of a chart.
type (
	State string
	Event string
)

// Chart is a validated state chart, created by Load.
type Chart struct {
	Name        string
	Initial     State
	final       map[State]bool
	transitions map[State]map[Event]State
}

// RefusedError means that a state has no transition for an event.
type RefusedError struct {
	Chart string
	State State
	Event Event
}

// Error implements error.
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

// build runs every transition of the library's state machine once, so that Next is a table lookup.
func build(f *file) (*Chart, error) {
	c := &Chart{Name: f.name, Initial: f.initial.state(), final: map[State]bool{}, transitions: map[State]map[Event]State{}}
	for _, s := range f.final {
		c.final[s.state()] = true
	}
	m, current := stateMachine(f)
	for _, s := range f.states {
		c.transitions[s.state()] = map[Event]State{}
		for _, e := range s.edges {
			*current = s.state()
			if err := m.Fire(Event(e.text)); err != nil {
				return nil, fmt.Errorf("chart %s: %w", f.name, err)
			}
			c.transitions[s.state()][Event(e.text)] = *current
		}
	}
	return c, nil
}

// stateMachine returns the library's state machine of a file and a pointer to its current state.
func stateMachine(f *file) (*stateless.StateMachine, *State) {
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

// Next returns the state that an event leads to, or a *RefusedError.
func (c *Chart) Next(s State, e Event) (State, error) {
	to, ok := c.transitions[s][e]
	if !ok {
		return s, &RefusedError{c.Name, s, e}
	}
	return to, nil
}

// Final reports whether a state is final: it takes no event.
func (c *Chart) Final(s State) bool { return c.final[s] }

// States returns all states of the chart, sorted.
func (c *Chart) States() []State {
	var out []State
	for s := range c.transitions {
		out = append(out, s)
	}
	for s := range c.final {
		out = append(out, s)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Events returns all events that some state of the chart takes, sorted.
func (c *Chart) Events() []Event {
	var out []Event
	for _, edges := range c.transitions {
		for e := range edges {
			out = append(out, e)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Differences compares the chart with the states and events that the code names and describes those that
// only one side has, sorted; empty when both sides agree.
func (c *Chart) Differences(states []State, events []Event) []string {
	var out []string
	out = append(out, differences("state", c.States(), states)...)
	out = append(out, differences("event", c.Events(), events)...)
	slices.Sort(out)
	return out
}

// differences describes the names that only the chart or only the code has.
func differences[T ~string](what string, chart, code []T) []string {
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
