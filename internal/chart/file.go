package chart

import (
	"fmt"

	"github.com/crocusspring/crocusspring/internal/finding"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// scalar is the text of a scalar in a chart file with its line.
type scalar struct {
	text string
	line int
}

// state returns the scalar as a state name.
func (w scalar) state() State { return State(w.text) }

// edge is one transition: an event and the state that it leads to.
type edge struct {
	scalar
	to scalar
}

// node is one state with its transitions, in the order of the file.
type node struct {
	scalar
	edges []edge
}

// file is the parsed content of a chart file.
type file struct {
	path     string
	name     string
	initial  scalar
	final    []scalar
	states   []node
	findings finding.List
}

// parse reads a chart file. It returns an error only if the file is not YAML; other faults are findings.
func parse(path string, data []byte) (*file, error) {
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, fmt.Errorf("chart %s: %w", path, err)
	}
	f := &file{path: path}
	if len(tree.Docs) != 1 {
		f.add(scalar{line: 1}, "must hold one document")
		return f, nil
	}
	for _, v := range f.mappingEntries(tree.Docs[0].Body) {
		f.readEntry(v)
	}
	return f, nil
}

// readEntry reads one top-level entry of the file.
func (f *file) readEntry(v *ast.MappingValueNode) {
	switch key := f.scalar(v.Key); key.text {
	case "chart":
		f.name = f.scalar(v.Value).text
	case "initial":
		f.initial = f.scalar(v.Value)
	case "final":
		f.readFinal(v.Value)
	case "states":
		for _, s := range f.mappingEntries(v.Value) {
			f.readState(s)
		}
	default:
		f.add(key, "is not one of chart, initial, final, states")
	}
}

// readFinal reads the list of final states.
func (f *file) readFinal(n ast.Node) {
	list, ok := n.(*ast.SequenceNode)
	if !ok {
		f.add(f.scalar(n), "final must be a list")
		return
	}
	for _, v := range list.Values {
		f.final = append(f.final, f.scalar(v))
	}
}

// readState reads one state with its transitions.
func (f *file) readState(v *ast.MappingValueNode) {
	s := node{scalar: f.scalar(v.Key)}
	for _, e := range f.mappingEntries(v.Value) {
		s.edges = append(s.edges, edge{scalar: f.scalar(e.Key), to: f.scalar(e.Value)})
	}
	f.states = append(f.states, s)
}

// mappingEntries returns the entries of a mapping; anything else is a finding.
func (f *file) mappingEntries(n ast.Node) []*ast.MappingValueNode {
	switch n := n.(type) {
	case *ast.MappingNode:
		return n.Values
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}
	}
	f.add(f.scalar(n), "must be a mapping")
	return nil
}

// scalar returns the token of a node with its line.
func (f *file) scalar(n ast.Node) scalar {
	if n == nil || n.GetToken() == nil {
		return scalar{line: 1}
	}
	return scalar{text: n.GetToken().Value, line: n.GetToken().Position.Line}
}

// add records a finding at the line of a scalar.
func (f *file) add(w scalar, format string, args ...any) {
	f.findings.Add(fmt.Sprintf("%s:%d", f.path, w.line), w.text, format, args...)
}

// check validates the chart and returns all findings as one error.
func (f *file) check() error {
	if f.name == "" {
		f.add(scalar{line: 1}, "chart must have a name")
	}
	defined := f.defined()
	if !defined[f.initial.state()] {
		f.add(f.initial, "initial state is not defined")
	}
	for _, s := range f.states {
		f.checkState(s, defined)
	}
	f.checkReachable()
	return f.findings.Err()
}

// defined returns all states of the file and records a finding for each that is defined twice.
func (f *file) defined() map[State]bool {
	out := map[State]bool{}
	define := func(w scalar) {
		if out[w.state()] {
			f.add(w, "state is defined twice")
		}
		out[w.state()] = true
	}
	for _, w := range f.final {
		define(w)
	}
	for _, s := range f.states {
		define(s.scalar)
	}
	return out
}

// checkState checks the transitions of one state.
func (f *file) checkState(s node, defined map[State]bool) {
	if len(s.edges) == 0 {
		f.add(s.scalar, "state has no transition and is not final")
	}
	seen := map[string]bool{}
	for _, e := range s.edges {
		if seen[e.text] {
			f.add(e.scalar, "state %s takes the event twice", s.text)
		}
		seen[e.text] = true
		if !defined[e.to.state()] {
			f.add(e.to, "state %s, event %s: leads to a state that is not defined", s.text, e.text)
		}
	}
}

// checkReachable records a finding for each state that no path from the initial state reaches.
func (f *file) checkReachable() {
	reached := map[State]bool{f.initial.state(): true}
	for changed := true; changed; {
		changed = false
		for _, s := range f.states {
			for _, e := range s.edges {
				if reached[s.state()] && !reached[e.to.state()] {
					reached[e.to.state()], changed = true, true
				}
			}
		}
	}
	for _, s := range f.states {
		if !reached[s.state()] {
			f.add(s.scalar, "state can't be reached")
		}
	}
	for _, w := range f.final {
		if !reached[w.state()] {
			f.add(w, "state can't be reached")
		}
	}
}
