package place

import (
	"fmt"
	"testing"

	"github.com/crocusspring/crocusspring/internal/interfere"
	"github.com/crocusspring/crocusspring/internal/resource"
	"pgregory.net/rapid"
)

// genWorkers draws the workers of a cell.
func genWorkers(t *rapid.T) []*Worker {
	var out []*Worker
	for i := range rapid.IntRange(0, 12).Draw(t, "workers") {
		out = append(out, &Worker{
			Name: fmt.Sprintf("w%02d", i), DataCentre: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "dc"),
			Rack: fmt.Sprint(i / 3), Draining: rapid.IntRange(0, 5).Draw(t, "drain") == 0,
			Capacity: resource.Vector{
				MilliCPU: int64(rapid.IntRange(1, 16).Draw(t, "cpu")) * 1000, MemoryMB: 4000,
				Accelerators: int64(rapid.IntRange(0, 4).Draw(t, "acc")),
			},
		})
	}
	return out
}

// TestSelectKeepsBounds checks for every pipeline that a selection never exceeds a worker's capacity, that
// an unplaced task has a refusal for each worker, and that the selection does not depend on the order of
// workers.
func TestSelectKeepsBounds(t *testing.T) {
	pipes := map[string]*Pipeline{
		"default": Default(interfere.New()), "first-fit": FirstFit(), "best-fit": BestFit(), "spread": WorstFit(),
	}
	rapid.Check(t, func(t *rapid.T) {
		workers := genWorkers(t)
		p := pipes[rapid.SampledFrom([]string{"default", "first-fit", "best-fit", "spread"}).Draw(t, "pipe")]
		for i := range rapid.IntRange(1, 40).Draw(t, "tasks") {
			task := &Task{
				ID: fmt.Sprint(i), Class: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "class"),
				DataCentre: rapid.SampledFrom([]string{"", "", "a"}).Draw(t, "bound"),
				Reserve: resource.Vector{
					MilliCPU: int64(rapid.IntRange(1, 20000).Draw(t, "want")), MemoryMB: int64(rapid.IntRange(0, 3000).Draw(t, "mem")),
					Accelerators: int64(rapid.IntRange(0, 1).Draw(t, "wantacc")),
				},
			}
			w, refusals := p.Select(task, workers)
			reversed := append([]*Worker(nil), workers...)
			for i, j := 0, len(reversed)-1; i < j; i, j = i+1, j-1 {
				reversed[i], reversed[j] = reversed[j], reversed[i]
			}
			if other, _ := p.Select(task, reversed); other != w {
				t.Fatalf("the selection depends on the order of workers: %v and %v", w, other)
			}
			if w == nil {
				if len(refusals) != len(workers) {
					t.Fatalf("%d refusals for %d workers", len(refusals), len(workers))
				}
				continue
			}
			if w.Draining || task.DataCentre != "" && task.DataCentre != w.DataCentre {
				t.Fatalf("task placed on %+v although a filter refuses it", w)
			}
			if NeverFits(task, workers) != "" {
				t.Fatal("a placed task is reported as too large for every worker")
			}
			w.Add(task)
			if w.Free().Negative() {
				t.Fatalf("worker %s is over its capacity: %v", w.Name, w.Free())
			}
		}
	})
}

// TestInterferenceAvoids checks that two classes with learned interference are not placed together.
func TestInterferenceAvoids(t *testing.T) {
	m := interfere.New()
	for range 50 {
		m.Observe(interfere.Report{Class: "seat-check", Neighbours: []interfere.Neighbour{{Class: "timetable", Count: 1}}, Slowdown: 2})
	}
	quiet := &Worker{Name: "quiet", Capacity: resource.Vector{MilliCPU: 16000}, Classes: []interfere.Neighbour{{Class: "watcher", Count: 2}}}
	quiet.Reserved.MilliCPU = 4000
	hot := &Worker{Name: "hot", Capacity: resource.Vector{MilliCPU: 16000}, Classes: []interfere.Neighbour{{Class: "seat-check", Count: 2}}}
	task := &Task{ID: "t", Class: "timetable", Reserve: resource.Vector{MilliCPU: 1000}}
	if w, _ := Default(m).Select(task, []*Worker{hot, quiet}); w != quiet {
		t.Errorf("timetable rebuild placed on %s", w.Name)
	}
	if w, _ := WorstFit().Select(task, []*Worker{hot, quiet}); w != hot {
		t.Errorf("the baseline without the model chose %s", w.Name)
	}
}

// TestByStrategy checks the worker that each strategy selects, and that the weight of interference is
// applied.
func TestByStrategy(t *testing.T) {
	m := interfere.New()
	for range 50 {
		m.Observe(interfere.Report{Class: "seat-check", Neighbours: []interfere.Neighbour{{Class: "timetable", Count: 1}}, Slowdown: 1.2})
	}
	big := resource.Vector{MilliCPU: 16000}
	empty := &Worker{Name: "empty", Capacity: big, Classes: []interfere.Neighbour{{Class: "seat-check", Count: 2}}}
	half := &Worker{Name: "half", Capacity: big, Reserved: resource.Vector{MilliCPU: 6000}}
	full := &Worker{Name: "full", Capacity: big, Reserved: resource.Vector{MilliCPU: 13000}, Classes: empty.Classes}
	task := &Task{ID: "t", Class: "timetable", Reserve: resource.Vector{MilliCPU: 1000}}
	for _, c := range []struct {
		strategy Strategy
		weight   float64
		want     *Worker
	}{
		{StrategySpread, 1, empty},
		{StrategyPack, 1, full},
		{StrategyInterference, 1, half},
		{StrategyInterference, 0, empty},
		{"", 1, half},
	} {
		if w, _ := ByStrategy(c.strategy, m, c.weight).Select(task, []*Worker{empty, half, full}); w != c.want {
			t.Errorf("strategy %q with weight %v chose %s, not %s", c.strategy, c.weight, w.Name, c.want.Name)
		}
	}
}

// BenchmarkSelect measures one placement in cells of several sizes with 20 tasks per worker.
func BenchmarkSelect(b *testing.B) {
	for _, size := range []int{12, 24, 48, 96} {
		b.Run(fmt.Sprint("workers=", size), func(b *testing.B) {
			m := interfere.New()
			classes := []string{"seat-check", "timetable", "watcher", "itinerary"}
			for i, v := range classes {
				for k, n := range classes {
					m.Observe(interfere.Report{Class: v, Neighbours: []interfere.Neighbour{{Class: n, Count: 1}}, Slowdown: 1 + float64(i+k)/10})
				}
			}
			p := Default(m)
			var workers []*Worker
			for i := range size {
				w := &Worker{Name: fmt.Sprint("w", i), Capacity: resource.Vector{MilliCPU: 64000, MemoryMB: 256000}}
				for k := range 20 {
					w.Add(&Task{Class: classes[k%4], Reserve: resource.Vector{MilliCPU: 1000, MemoryMB: 1000}})
				}
				workers = append(workers, w)
			}
			task := &Task{ID: "t", Class: "timetable", Reserve: resource.Vector{MilliCPU: 1000, MemoryMB: 1000}}
			for b.Loop() {
				if w, _ := p.Select(task, workers); w == nil {
					b.Fatal("not placed")
				}
			}
		})
	}
}
