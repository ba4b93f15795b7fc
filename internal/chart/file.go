package chart

import (
	"fmt"

	"github.com/crocusspring/crocusspring/internal/finding"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// word is a name in a chart file with its line.
type word struct {
	text string
	line int
}

// state returns the word as a state.
func (w word) state() State { return State(w.text) }

// edge is one transition.
type edge struct {
	word
	to word
}

// node is one state with its transitions, in the order of the file.
type node struct {
	word
	edges []edge
}

// file is a chart as it stands in its file.
type file struct {
	path     string
	name     string
	initial  word
	final    []word
	states   []node
	findings finding.List
}

// parse reads a chart file; errors of the YAML itself are returned as they are.
func parse(path string, data []byte) (*file, error) {
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, fmt.Errorf("chart %s: %w", path, err)
	}
	f := &file{path: path}
	if len(tree.Docs) != 1 {
		f.add(word{line: 1}, "must hold one document")
		return f, nil
	}
	for _, v := range f.pairs(tree.Docs[0].Body) {
		f.top(v)
	}
	return f, nil
}

// top reads one entry of the top level.
func (f *file) top(v *ast.MappingValueNode) {
	switch key := f.word(v.Key); key.text {
	case "chart":
		f.name = f.word(v.Value).text
	case "initial":
		f.initial = f.word(v.Value)
	case "final":
		f.readFinal(v.Value)
	case "states":
		for _, s := range f.pairs(v.Value) {
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
		f.add(f.word(n), "final must be a list")
		return
	}
	for _, v := range list.Values {
		f.final = append(f.final, f.word(v))
	}
}

// readState reads one state with its transitions.
func (f *file) readState(v *ast.MappingValueNode) {
	s := node{word: f.word(v.Key)}
	for _, e := range f.pairs(v.Value) {
		s.edges = append(s.edges, edge{word: f.word(e.Key), to: f.word(e.Value)})
	}
	f.states = append(f.states, s)
}

// pairs returns the entries of a mapping; anything else is a finding.
func (f *file) pairs(n ast.Node) []*ast.MappingValueNode {
	switch n := n.(type) {
	case *ast.MappingNode:
		return n.Values
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}
	}
	f.add(f.word(n), "must be a mapping")
	return nil
}

// word returns a scalar with its line.
func (f *file) word(n ast.Node) word {
	if n == nil || n.GetToken() == nil {
		return word{line: 1}
	}
	return word{text: n.GetToken().Value, line: n.GetToken().Position.Line}
}

// add notes a finding at a word.
func (f *file) add(w word, format string, args ...any) {
	f.findings.Add(fmt.Sprintf("%s:%d", f.path, w.line), w.text, format, args...)
}

// check returns everything that is wrong with the chart.
func (f *file) check() error {
	if f.name == "" {
		f.add(word{line: 1}, "chart must have a name")
	}
	defined := f.defined()
	if !defined[f.initial.state()] {
		f.add(f.initial, "initial state is not defined")
	}
	for _, s := range f.states {
		f.checkState(s, defined)
	}
	f.checkReached()
	return f.findings.Err()
}

// defined returns all states of the file and notes those that are defined twice.
func (f *file) defined() map[State]bool {
	out := map[State]bool{}
	note := func(w word) {
		if out[w.state()] {
			f.add(w, "state is defined twice")
		}
		out[w.state()] = true
	}
	for _, w := range f.final {
		note(w)
	}
	for _, s := range f.states {
		note(s.word)
	}
	return out
}

// checkState checks the transitions of one state.
func (f *file) checkState(s node, defined map[State]bool) {
	if len(s.edges) == 0 {
		f.add(s.word, "state has no transition and is not final")
	}
	seen := map[string]bool{}
	for _, e := range s.edges {
		if seen[e.text] {
			f.add(e.word, "state %s takes the event twice", s.text)
		}
		seen[e.text] = true
		if !defined[e.to.state()] {
			f.add(e.to, "state %s, event %s: leads to a state that is not defined", s.text, e.text)
		}
	}
}

// checkReached notes states that no path from the initial state reaches.
func (f *file) checkReached() {
	reached := map[State]bool{f.initial.state(): true}
	for grown := true; grown; {
		grown = false
		for _, s := range f.states {
			for _, e := range s.edges {
				if reached[s.state()] && !reached[e.to.state()] {
					reached[e.to.state()], grown = true, true
				}
			}
		}
	}
	for _, s := range f.states {
		if !reached[s.state()] {
			f.add(s.word, "state can't be reached")
		}
	}
	for _, w := range f.final {
		if !reached[w.state()] {
			f.add(w, "state can't be reached")
		}
	}
}
