package interfere

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// actual is the actual interference in the tests, by victim class and neighbour class.
var actual = map[string]map[string]float64{
	"seat-check": {"seat-check": 0.02, "timetable": 0.30, "watcher": 0.01},
	"timetable":  {"seat-check": 0.05, "timetable": 0.12, "watcher": 0.00},
	"watcher":    {"seat-check": 0.00, "timetable": 0.08, "watcher": 0.01},
}

// draw returns a noisy report of a task beside a random mix of neighbours.
func draw(rng *rand.Rand, victim string) Report {
	r := Report{Class: victim, Load: Mid, Slowdown: 1, Age: time.Duration(rng.IntN(60)) * time.Second}
	for _, c := range []string{"seat-check", "timetable", "watcher"} {
		if n := rng.IntN(4); n > 0 {
			r.Neighbours = append(r.Neighbours, Neighbour{c, n})
			r.Slowdown += actual[victim][c] * float64(n)
		}
	}
	r.Slowdown *= 1 + 0.05*rng.NormFloat64()
	return r
}

// TestLearnsPairs checks that every estimate comes near the actual interference from late and noisy reports, and
// that the worst neighbour class is clearly told apart from a harmless one.
func TestLearnsPairs(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	m := New()
	for range 3000 {
		for v := range actual {
			m.Observe(draw(rng, v))
		}
	}
	for v, row := range actual {
		for n, want := range row {
			got, _ := m.Interference(v, n, Mid)
			if math.Abs(got-want) > 0.05 {
				t.Errorf("interference of %s with %s is %.3f, want %.3f", n, v, got, want)
			}
		}
	}
	worst, _ := m.Interference("seat-check", "timetable", Mid)
	mild, _ := m.Interference("seat-check", "watcher", Mid)
	if worst < 3*mild {
		t.Errorf("timetable (%.3f) is not told apart from watcher (%.3f)", worst, mild)
	}
}

// TestShrinks checks that one extreme report changes the estimate of a new pair only a little, that unknown classes
// have no interference, and that a slowdown that is no number is ignored.
func TestShrinks(t *testing.T) {
	m := New()
	m.Observe(Report{Class: "a", Neighbours: []Neighbour{{"b", 1}}, Load: High, Slowdown: 1e9})
	got, count := m.Interference("a", "b", High)
	if full := maxSlowdown - 1; got > full/10 || count == 0 {
		t.Errorf("one report changed the interference to %.2f", got)
	}
	if v, n := m.Interference("x", "y", Low); v != 0 || n != 0 {
		t.Errorf("unknown pair has interference %.2f from %.0f reports", v, n)
	}
	m.Observe(Report{Class: "a", Neighbours: []Neighbour{{"b", 1}}, Load: High, Slowdown: math.NaN()})
	if v, _ := m.Interference("a", "b", High); math.IsNaN(v) {
		t.Error("learned from a slowdown that is no number")
	}
	if old, _ := m.Interference("z", "b", High); old <= 0 || old > got {
		t.Errorf("a new victim starts from %.3f, want the shrunk mean of its neighbour", old)
	}
}

// TestAgeCounts checks that an old report changes the model less than a fresh one.
func TestAgeCounts(t *testing.T) {
	fresh, old := New(), New()
	r := Report{Class: "a", Neighbours: []Neighbour{{"b", 1}}, Slowdown: 2}
	fresh.Observe(r)
	r.Age = 4 * halfLife
	old.Observe(r)
	f, _ := fresh.Interference("a", "b", Low)
	o, _ := old.Interference("a", "b", Low)
	if o >= f/4 {
		t.Errorf("old report changed the interference to %.4f, a fresh one to %.4f", o, f)
	}
}
