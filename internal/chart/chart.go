// Package chart loads state charts from YAML and interprets them with a state machine library.
package chart

import (
	"context"
	"fmt"
	"io/fs"
	"slices"

	"github.com/crocusspring/crocusspring/internal/finding"
	"github.com/goccy/go-yaml"
	"github.com/qmuntal/stateless"
)

// State and Event name the parts of a chart.
type (
	State string
	Event string
)

// file is the shape of a chart file.
type file struct {
	Chart   string                    `yaml:"chart"`
	Initial State                     `yaml:"initial"`
	Final   []State                   `yaml:"final"`
	States  map[State]map[Event]State `yaml:"states"`
}

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

// Load reads and checks a chart file and reports all findings together.
func Load(files fs.FS, name string) (*Chart, error) {
	data, err := fs.ReadFile(files, name)
	if err != nil {
		return nil, fmt.Errorf("read chart: %w", err)
	}
	var f file
	if err := yaml.UnmarshalWithOptions(data, &f, yaml.Strict()); err != nil {
		return nil, fmt.Errorf("chart %s: %w", name, err)
	}
	if err := check(name, f); err != nil {
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

// check collects what is wrong with a chart.
func check(name string, f file) error {
	var l finding.List
	known := func(s State) bool { return f.States[s] != nil || slices.Contains(f.Final, s) }
	reached := map[State]bool{f.Initial: true}
	for s, edges := range f.States {
		for e, to := range edges {
			reached[to] = true
			if !known(to) {
				l.Add(name, string(to), "state %s, event %s: leads to a state that is not defined", s, e)
			}
		}
	}
	for s := range f.States {
		if !reached[s] {
			l.Add(name, string(s), "state can't be reached")
		}
	}
	if f.States[f.Initial] == nil {
		l.Add(name, string(f.Initial), "initial state is not defined")
	}
	return l.Err()
}

// build asks the library once for every state and event, so that Next is a look-up.
func build(f file) (*Chart, error) {
	c := &Chart{Name: f.Chart, Initial: f.Initial, final: map[State]bool{}, next: map[State]map[Event]State{}}
	for _, s := range f.Final {
		c.final[s] = true
	}
	for s, edges := range f.States {
		c.next[s] = map[Event]State{}
		for e := range edges {
			to, err := fire(f, s, e)
			if err != nil {
				return nil, fmt.Errorf("chart %s: %w", f.Chart, err)
			}
			c.next[s][e] = to
		}
	}
	return c, nil
}

// fire runs one event in the library's machine.
func fire(f file, from State, e Event) (State, error) {
	m := stateless.NewStateMachine(from)
	for s, edges := range f.States {
		conf := m.Configure(s)
		for ev, to := range edges {
			if to == s {
				conf.PermitReentry(ev)
			} else {
				conf.Permit(ev, to)
			}
		}
	}
	if err := m.Fire(e); err != nil {
		return "", err
	}
	to, err := m.State(context.Background())
	if err != nil {
		return "", err
	}
	return to.(State), nil
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
