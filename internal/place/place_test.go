package place

import (
	"fmt"
	"testing"

	"github.com/crocusspring/crocusspring/internal/interfere"
	"github.com/crocusspring/crocusspring/internal/resource"
	"pgregory.net/rapid"
)

// anyWorkers draws a cell.
func anyWorkers(t *rapid.T) []*Worker {
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

// TestSelectKeepsBounds checks for every pipeline that a choice never exceeds a worker, that a refused
// task has a refusal for each worker, and that the choice does not depend on the workers' order.
func TestSelectKeepsBounds(t *testing.T) {
	pipes := map[string]*Pipeline{
		"default": Default(interfere.New()), "first-fit": FirstFit(), "best-fit": BestFit(), "spread": SpreadOut(),
	}
	rapid.Check(t, func(t *rapid.T) {
		workers := anyWorkers(t)
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
			back := append([]*Worker(nil), workers...)
			for i, j := 0, len(back)-1; i < j; i, j = i+1, j-1 {
				back[i], back[j] = back[j], back[i]
			}
			if again, _ := p.Select(task, back); again != w {
				t.Fatalf("the choice depends on the order of workers: %v and %v", w, again)
			}
			if w == nil {
				if len(refusals) != len(workers) {
					t.Fatalf("%d refusals for %d workers", len(refusals), len(workers))
				}
				continue
			}
			if w.Draining || task.DataCentre != "" && task.DataCentre != w.DataCentre {
				t.Fatalf("task placed on %+v against a filter", w)
			}
			if Never(task, workers) != "" {
				t.Fatal("a placed task is said to fit nowhere ever")
			}
			w.Add(task)
			if w.Free().Negative() {
				t.Fatalf("worker %s is over its capacity: %v", w.Name, w.Free())
			}
		}
	})
}

// TestInterferenceAvoids checks that a learned harmful pair is kept apart.
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
	if w, _ := SpreadOut().Select(task, []*Worker{hot, quiet}); w != hot {
		t.Errorf("the baseline without the model chose %s", w.Name)
	}
}

// TestByStrategy checks that each strategy an operator may choose ranks workers its own way, and that
// the weight of interference counts.
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

// BenchmarkSelect measures one placement in cells of several sizes, each with 20 tasks a worker.
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
