package backfill

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/crocusspring/crocusspring/internal/resource"
)

// cores returns an amount of processors.
func cores(n int64) resource.Vector { return resource.Vector{MilliCPU: n * 1000} }

// TestFreeIn checks when room is free on a worker with two runs.
func TestFreeIn(t *testing.T) {
	w := Worker{Free: cores(1), Runs: []Run{{2 * time.Second, cores(2)}, {time.Second, cores(1)}}}
	for _, c := range []struct {
		need int64
		in   time.Duration
		ok   bool
	}{{1, 0, true}, {2, time.Second, true}, {3, 2 * time.Second, true}, {4, 2 * time.Second, true}, {5, 0, false}} {
		if in, ok := w.FreeIn(cores(c.need)); in != c.in || ok != c.ok {
			t.Errorf("%d cores are free in %s, %v; want %s, %v", c.need, in, ok, c.in, c.ok)
		}
	}
}

// TestDelays checks which tasks may run in front of a reservation of three cores in a second: those that end before,
// and those that leave the room.
func TestDelays(t *testing.T) {
	w := Worker{Free: cores(2), Runs: []Run{{time.Second, cores(2)}}}
	r := Reservation{Need: cores(3), In: time.Second}
	for _, c := range []struct {
		name  string
		holds int64
		lasts time.Duration
		want  bool
	}{
		{"ends before", 2, time.Second, false},
		{"leaves the room", 1, time.Minute, false},
		{"takes the room", 2, 2 * time.Second, true},
	} {
		if got := r.Delays(w, cores(c.holds), c.lasts); got != c.want {
			t.Errorf("%s: delays %v, want %v", c.name, got, c.want)
		}
	}
}

// TestFirst checks the choice of a worker: the one that is free first, of equal ones the one with the least room, none
// beyond the horizon.
func TestFirst(t *testing.T) {
	workers := []Worker{
		{Free: cores(9)},
		{Free: cores(0), Runs: []Run{{time.Second, cores(20)}}},
		{Free: cores(5)},
		{Free: cores(0), Runs: []Run{{time.Minute, cores(40)}}},
	}
	for _, c := range []struct {
		need int64
		want int
	}{{4, 2}, {6, 0}, {12, 1}, {30, -1}} {
		if i, _, ok := First(workers, cores(c.need), 5*time.Second); i != c.want || ok != (c.want >= 0) {
			t.Errorf("%d cores on worker %d, %v; want %d", c.need, i, ok, c.want)
		}
	}
}

// TestNeverDelayed checks on random workers that tasks which are let in front of a reservation leave its room free
// when it is due, as long as runs end when they are expected to.
func TestNeverDelayed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := Worker{Free: cores(rapid.Int64Range(0, 8).Draw(t, "free"))}
		for range rapid.IntRange(0, 6).Draw(t, "runs") {
			w.Runs = append(w.Runs, Run{
				time.Duration(rapid.IntRange(0, 8).Draw(t, "ends")) * time.Second, cores(rapid.Int64Range(1, 4).Draw(t, "holds")),
			})
		}
		need := cores(rapid.Int64Range(1, 12).Draw(t, "need"))
		in, ok := w.FreeIn(need)
		if !ok {
			return
		}
		r := Reservation{Need: need, In: in}
		for range rapid.IntRange(0, 10).Draw(t, "later") {
			task := Run{time.Duration(rapid.IntRange(0, 8).Draw(t, "lasts")) * time.Second, cores(rapid.Int64Range(1, 4).Draw(t, "takes"))}
			if task.Holds.Fits(w.Free) && !r.Delays(w, task.Holds, task.EndsIn) {
				w.Free = w.Free.Sub(task.Holds)
				w.Runs = append(w.Runs, task)
			}
		}
		if got, ok := w.FreeIn(need); !ok || got > in {
			t.Errorf("room for %s is free in %s, %v; was reserved in %s", need, got, ok, in)
		}
	})
}
