package chart

import (
	"errors"
	"io/fs"
	"testing"
	"testing/fstest"

	"github.com/crocusspring/crocusspring/charts"
	"github.com/crocusspring/crocusspring/internal/finding"
	"github.com/google/go-cmp/cmp"
)

// TestFindings checks that Load reports all faults of a chart together, each with its line.
func TestFindings(t *testing.T) {
	bad := `chart: bad
initial: a
final: [z, lost]
colour: red
states:
  a:
    go: b
    fly: nowhere
  b:
    end: z
  c:
    go: a
  d: {}
`
	_, err := Load(fstest.MapFS{"bad.yaml": {Data: []byte(bad)}}, "bad.yaml")
	var fe *finding.Error
	if !errors.As(err, &fe) {
		t.Fatalf("error is %v", err)
	}
	var got []string
	for _, f := range fe.Findings {
		got = append(got, f.String())
	}
	want := []string{
		`bad.yaml:4: "colour": is not one of chart, initial, final, states`,
		`bad.yaml:8: "nowhere": state a, event fly: leads to a state that is not defined`,
		`bad.yaml:13: "d": state has no transition and is not final`,
		`bad.yaml:11: "c": state can't be reached`,
		`bad.yaml:13: "d": state can't be reached`,
		`bad.yaml:3: "lost": state can't be reached`,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// TestNext checks the transitions of a chart, including self transitions.
func TestNext(t *testing.T) {
	good := "chart: good\ninitial: a\nfinal: [z]\nstates:\n  a:\n    stay: a\n    end: z\n"
	c, err := Load(fstest.MapFS{"good.yaml": {Data: []byte(good)}}, "good.yaml")
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		event Event
		want  State
	}{{"stay", "a"}, {"end", "z"}} {
		if to, err := c.Next("a", tc.event); err != nil || to != tc.want {
			t.Errorf("event %s leads to %s, %v", tc.event, to, err)
		}
	}
	var refused *RefusedError
	if to, err := c.Next("z", "end"); !errors.As(err, &refused) || to != "z" || !c.Final("z") {
		t.Errorf("final state takes an event: %s, %v", to, err)
	}
	if got := c.Differences([]State{"a", "z", "y"}, []Event{"stay"}); len(got) != 2 {
		t.Errorf("missing: %q", got)
	}
}

// TestCharts checks that every chart of the product loads without findings.
func TestCharts(t *testing.T) {
	names, err := fs.Glob(charts.Files, "*.yaml")
	if err != nil || len(names) == 0 {
		t.Fatalf("charts: %v, %v", names, err)
	}
	for _, n := range names {
		if _, err := Load(charts.Files, n); err != nil {
			t.Error(err)
		}
	}
}
