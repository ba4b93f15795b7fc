package slope

import (
	"bytes"
	"context"
	"math"
	"runtime/pprof"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

// TestFit checks for any line that a fit of points on it returns the line, and that one point off the line
// increases the worst residual and lowers R2.
func TestFit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := rapid.Float64Range(-100, 100).Draw(t, "intercept")
		b := rapid.Float64Range(1, 100).Draw(t, "slope")
		var on []Point
		for x := 1.0; x <= 8; x++ {
			on = append(on, Point{x, a + b*x})
		}
		f := fit(on)
		if math.Abs(f.Intercept-a) > 1e-6 || math.Abs(f.Slope-b) > 1e-6 || f.MaxResidual > 1e-6 {
			t.Fatalf("%+v, want %v + %v x", f, a, b)
		}
		on[3].Y += 4 * b
		if off := fit(on); off.MaxResidual < 1e-3 || off.R2 >= f.R2 {
			t.Fatalf("%+v doesn't show the point off the line", off)
		}
	})
}

// sampleSeries returns synthetic readings on every axis, y = 2 + 3 x for every metric that projections use.
func sampleSeries() []Series {
	wanted := map[string][]Metric{}
	for _, q := range Quantities(TwoYears()) {
		for _, p := range q.Parts {
			wanted[p.Axis] = append(wanted[p.Axis], p.Metric)
		}
	}
	var out []Series
	for _, a := range Axes() {
		s := Series{Axis: a}
		for _, x := range a.Sizes {
			r := Reading{}
			for _, m := range wanted[a.ID] {
				r[m] = 2 + 3*x
			}
			s.Readings = append(s.Readings, r)
		}
		out = append(out, s)
	}
	return out
}

// TestEveryPartHasAnAxis checks that each projected part names an axis of at least four sizes.
func TestEveryPartHasAnAxis(t *testing.T) {
	sizes := map[string]int{}
	for _, a := range Axes() {
		sizes[a.ID] = len(a.Sizes)
	}
	for _, q := range Quantities(TwoYears()) {
		for _, p := range q.Parts {
			if sizes[p.Axis] < 4 {
				t.Errorf("%s, %s: axis %s has %d sizes", q.Role, p.Name, p.Axis, sizes[p.Axis])
			}
		}
	}
}

// TestProjectionAddsUp checks the arithmetic of parts: multipliers, intercepts and the size at the limit.
func TestProjectionAddsUp(t *testing.T) {
	series := map[string]Series{}
	for _, s := range sampleSeries() {
		series[s.Axis.ID] = s
	}
	q := Quantity{Limit: 100, Parts: []Part{
		{Axis: "members", Metric: PeerBytes, X: 10, Multiplier: 2},
		{Axis: "tasks", Metric: SyncBytes, X: 10, SlopeOnly: true},
	}}
	parts, sum := q.Project(series)
	if math.Abs(sum-(2*32+30)) > 1e-6 {
		t.Errorf("sum is %v", sum)
	}
	if math.Abs(parts[0].MaxSize-16) > 1e-6 || math.Abs(parts[1].MaxSize-100.0/3) > 1e-6 {
		t.Errorf("parts reach the limit at %v and %v, want 16 and 33.3", parts[0].MaxSize, parts[1].MaxSize)
	}
}

// TestPageIsRewrittenFromCSV checks that readings survive a round trip through CSV, and that updating a page
// replaces the text between its markers and is idempotent.
func TestPageIsRewrittenFromCSV(t *testing.T) {
	all := sampleSeries()
	var b bytes.Buffer
	if err := WriteCSV(&b, all); err != nil {
		t.Fatal(err)
	}
	got, err := ReadCSV(&b)
	if err != nil {
		t.Fatal(err)
	}
	nonEmpty := all[:0]
	for _, s := range all {
		if len(s.Metrics()) > 0 {
			nonEmpty = append(nonEmpty, s)
		}
	}
	if d := cmp.Diff(nonEmpty, got, cmpopts.IgnoreUnexported(Axis{})); d != "" {
		t.Fatal(d)
	}
	if d := cmp.Diff(got, Merge(got[:3], got[2:]), cmpopts.IgnoreUnexported(Axis{})); d != "" {
		t.Error(d)
	}
	page := "# Capacity\n\n" + pageBegin + "\nold figures\n" + pageEnd + "\nend\n"
	once, err := UpdatePage([]byte(page), got, TwoYears())
	if err != nil {
		t.Fatal(err)
	}
	twice, err := UpdatePage(once, got, TwoYears())
	if err != nil || !bytes.Equal(once, twice) {
		t.Errorf("page changes when it is written again: %v", err)
	}
	if s := string(once); strings.Contains(s, "old figures") || !strings.HasPrefix(s, "# Capacity") || !strings.HasSuffix(s, "end\n") {
		t.Errorf("page is %.80q", s)
	}
	if _, err := UpdatePage([]byte("# no markers\n"), got, TwoYears()); err == nil {
		t.Error("page without markers was accepted")
	}
}

// TestCPUProfileByPart checks that a profile attributes processor time to the part of its label, and that
// unlabelled time is distributed in proportion.
func TestCPUProfileByPart(t *testing.T) {
	p, err := startCPU()
	if err != nil {
		t.Fatalf("another profile is open: %v", err)
	}
	burn := func(context.Context) {
		for end := time.Now().Add(time.Second); time.Now().Before(end); {
		}
	}
	pprof.Do(t.Context(), pprof.Labels(partLabel, "node-0"), burn)
	parts, err := p.stop()
	if err != nil || parts["node-0"] <= 0 || len(parts) != 1 {
		t.Errorf("parts are %v, %v", parts, err)
	}
	got := distributeUnlabelled(map[string]time.Duration{"": 3 * time.Second, "a": 2 * time.Second, "b": 4 * time.Second})
	want := map[string]time.Duration{"a": 3 * time.Second, "b": 6 * time.Second}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
}

// TestCoreAxesRun measures the smallest size of each core axis, so that a change of the code that breaks one is
// found.
func TestCoreAxesRun(t *testing.T) {
	for _, a := range coreAxes() {
		if r, err := a.run(t.Context(), a.Sizes[0], time.Second); err != nil || len(r) == 0 {
			t.Errorf("axis %s: %v, %v", a.ID, r, err)
		}
	}
}

// TestCountersSeeTheNodes runs a small rig and checks that every counter sees traffic.
func TestCountersSeeTheNodes(t *testing.T) {
	r, err := startRig(t.Context(), rigOptions{nodes: 2, workers: 2, targets: 1})
	if err != nil {
		t.Fatal(err)
	}
	if err := r.submit(t.Context(), 1, 1); err != nil {
		t.Error(err)
	}
	seen := func() bool {
		got := r.traffic()
		return got.peer.Bytes() > 0 && got.announce.Messages > 0 && got.sync.Messages > 0 && got.appends.Messages > 1 &&
			got.reads.Messages > 0 && got.otherLog.Bytes() > 0 && got.ownerLog.Bytes() > 0
	}
	for end := time.Now().Add(20 * time.Second); !seen(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("counters are %+v", r.traffic())
		}
	}
	if err := r.stop(); err != nil {
		t.Error(err)
	}
}
