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

// TestRoundsAreDrawnFromTheirSeed holds for any seed and round: the same round again, and a command
// that names all of it.
func TestRoundsAreDrawnFromTheirSeed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed, n := rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 1000).Draw(t, "round")
		r := draw(seed, n)
		if again := draw(seed, n); again.command() != r.command() {
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

// TestSumUpCountsFromDue checks that latency counts from when a request was due, not from when it was
// sent, and that only answers count.
func TestSumUpCountsFromDue(t *testing.T) {
	due := time.Unix(100, 0)
	h := &history.History{Requests: []*history.Request{
		{Class: "seat-check", Due: due, Start: due.Add(90 * time.Millisecond), End: due.Add(100 * time.Millisecond), Outcome: history.Answered},
		{Class: "seat-check", Due: due, Start: due, End: due.Add(time.Minute), Outcome: history.NotRun},
	}}
	var s experiment.Set
	sumUp(&s, "v", 1, time.Second, h)
	if got := s.Spread("v", tailMetric(50)).Median; math.Abs(got-100) > 0.2 {
		t.Errorf("p50 is %v ms, want 100", got)
	}
	if got := s.Spread("v", "requests not_run").Median; got != 1 {
		t.Errorf("%v requests not run, want 1", got)
	}
}

// TestJain checks the index at its ends: equal parts give 1, one of n gives 1/n.
func TestJain(t *testing.T) {
	asked := map[string]float64{"a": 10, "b": 20, "c": 40, "d": 40}
	if got := jain(asked, map[string]float64{"a": 5, "b": 10, "c": 20, "d": 20}); math.Abs(got-1) > 1e-9 {
		t.Errorf("equal parts: %v", got)
	}
	if got := jain(asked, map[string]float64{"a": 5}); math.Abs(got-0.25) > 1e-9 {
		t.Errorf("one of four: %v", got)
	}
}

// TestCompareThenReport runs the commands as an operator does and checks what they write.
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
			t.Errorf("picture %s: %v", name, err)
		}
	}
	for _, args := range [][]string{{"report"}, {"compare", "--seeds", "x"}, {"compare", "--of", "entries"}, {"run", "--entries", "host:1"}} {
		if code, out := run(args...); code != app.ExitUsage {
			t.Errorf("%v: exit %d: %s", args, code, out)
		}
	}
}
