package load

import (
	"bytes"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/app"
	"github.com/crocusspring/crocusspring/internal/experiment"
	"github.com/crocusspring/crocusspring/internal/history"
	"pgregory.net/rapid"
)

// TestRoundsAreDeterministic checks that a seed and a round number always generate the same round, and that
// its command names every fault once.
func TestRoundsAreDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed, n := rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 1000).Draw(t, "round")
		r := newRound(seed, n)
		if again := newRound(seed, n); again.command() != r.command() {
			t.Fatalf("%s, then %s", r.command(), again.command())
		}
		if len(r.faults) == 0 || len(r.faults) > maxFaults {
			t.Fatalf("%d faults", len(r.faults))
		}
		for _, f := range r.faults {
			if strings.Count(r.command()+" ", "--fault "+f.Name+" ") != 1 {
				t.Fatalf("fault %s is not once in %s", f.Name, r.command())
			}
		}
	})
}

// TestLatencyCountsFromDueTime checks that latency counts from when a request was due, not from when it was
// sent, and that only answered requests count.
func TestLatencyCountsFromDueTime(t *testing.T) {
	due := time.Unix(100, 0)
	h := &history.History{Requests: []*history.Request{
		{Class: "seat-check", Due: due, Start: due.Add(90 * time.Millisecond), End: due.Add(100 * time.Millisecond), Outcome: history.Answered},
		{Class: "seat-check", Due: due, Start: due, End: due.Add(time.Minute), Outcome: history.NotRun},
	}}
	var s experiment.Set
	addRunMetrics(&s, "v", 1, time.Second, h)
	if got := s.Spread("v", tailMetric(50)).Median; math.Abs(got-100) > 0.2 {
		t.Errorf("p50 is %v ms, want 100", got)
	}
	if got := s.Spread("v", "requests not_run").Median; got != 1 {
		t.Errorf("%v requests not run, want 1", got)
	}
}

// TestJainIndex checks both extremes of the index: equal fractions give 1, and one of n workspaces served gives 1/n.
func TestJainIndex(t *testing.T) {
	requested := map[string]float64{"a": 10, "b": 20, "c": 40, "d": 40}
	if got := jainIndex(requested, map[string]float64{"a": 5, "b": 10, "c": 20, "d": 20}); math.Abs(got-1) > 1e-9 {
		t.Errorf("equal parts: %v", got)
	}
	if got := jainIndex(requested, map[string]float64{"a": 5}); math.Abs(got-0.25) > 1e-9 {
		t.Errorf("one of four: %v", got)
	}
}

// TestCompareThenReport runs compare and report and checks their output, their files and the exit code of
// usage errors.
func TestCompareThenReport(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "placement.csv")
	run := func(args ...string) (int, string) {
		var out, errs bytes.Buffer
		code := Main(args, &out, &errs)
		return code, out.String() + errs.String()
	}
	if code, out := run("compare", "--of", "placement", "--policies", "spread,default", "--seeds", "1,2", "--simulated", "10m", "--csv", file); code != app.ExitOK {
		t.Fatalf("exit %d: %s", code, out)
	}
	code, out := run("report", "--out", dir, file)
	if code != app.ExitOK || !strings.Contains(out, "spread") || !strings.Contains(out, "default") {
		t.Fatalf("exit %d: %s", code, out)
	}
	for _, name := range []string{"tail", "p99-ms", "evictions"} {
		if st, err := os.Stat(filepath.Join(dir, "placement-"+name+".png")); err != nil || st.Size() == 0 {
			t.Errorf("plot %s: %v", name, err)
		}
	}
	for _, args := range [][]string{{"report"}, {"compare", "--seeds", "x"}, {"compare", "--of", "entries"}, {"run", "--entries", "host:1"}} {
		if code, out := run(args...); code != app.ExitUsage {
			t.Errorf("%v: exit %d: %s", args, code, out)
		}
	}
}
