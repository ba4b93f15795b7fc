package interfere

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// truth is the effect of a neighbour class on a victim class in the tests.
var truth = map[string]map[string]float64{
	"seat-check": {"seat-check": 0.02, "timetable": 0.30, "watcher": 0.01},
	"timetable":  {"seat-check": 0.05, "timetable": 0.12, "watcher": 0.00},
	"watcher":    {"seat-check": 0.00, "timetable": 0.08, "watcher": 0.01},
}

// draw returns a noisy report about a random mix.
func draw(rng *rand.Rand, victim string) Report {
	r := Report{Class: victim, Load: Mid, Slowdown: 1, Age: time.Duration(rng.IntN(60)) * time.Second}
	for _, c := range []string{"seat-check", "timetable", "watcher"} {
		if n := rng.IntN(4); n > 0 {
			r.Neighbours = append(r.Neighbours, Neighbour{c, n})
			r.Slowdown += truth[victim][c] * float64(n)
		}
	}
	r.Slowdown *= 1 + 0.05*rng.NormFloat64()
	return r
}

// TestLearnsPairs checks that late and noisy reports bring every effect near the truth, and that the
// order of the pairs by harm is right.
func TestLearnsPairs(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	m := New()
	for range 3000 {
		for v := range truth {
			m.Step(draw(rng, v))
		}
	}
	for v, row := range truth {
		for n, want := range row {
			got, _ := m.Effect(v, n, Mid)
			if math.Abs(got-want) > 0.05 {
				t.Errorf("effect of %s on %s is %.3f, truth %.3f", n, v, got, want)
			}
		}
	}
	worst, _ := m.Effect("seat-check", "timetable", Mid)
	mild, _ := m.Effect("seat-check", "watcher", Mid)
	if worst < 3*mild {
		t.Errorf("timetable (%.3f) is not told from watcher (%.3f)", worst, mild)
	}
}

// TestShrinks checks that one wild report moves an unseen pair little, and that unknown classes and
// absurd readings stay bounded.
func TestShrinks(t *testing.T) {
	m := New()
	m.Step(Report{Class: "a", Neighbours: []Neighbour{{"b", 1}}, Load: High, Slowdown: 1e9})
	got, count := m.Effect("a", "b", High)
	if full := maxSlowdown - 1; got > full/10 || count == 0 {
		t.Errorf("one report moved the effect to %.2f", got)
	}
	if v, n := m.Effect("x", "y", Low); v != 0 || n != 0 {
		t.Errorf("unknown pair has effect %.2f from %.0f reports", v, n)
	}
	m.Step(Report{Class: "a", Neighbours: []Neighbour{{"b", 1}}, Load: High, Slowdown: math.NaN()})
	if v, _ := m.Effect("a", "b", High); math.IsNaN(v) {
		t.Error("a reading that is no number was learned")
	}
	if old, _ := m.Effect("z", "b", High); old <= 0 || old > got {
		t.Errorf("a new victim starts from %.3f, want the shrunk mean of its neighbour", old)
	}
}

// TestAgeCounts checks that an old reading moves the model less than a fresh one.
func TestAgeCounts(t *testing.T) {
	fresh, old := New(), New()
	r := Report{Class: "a", Neighbours: []Neighbour{{"b", 1}}, Slowdown: 2}
	fresh.Step(r)
	r.Age = 4 * halfLife
	old.Step(r)
	f, _ := fresh.Effect("a", "b", Low)
	o, _ := old.Effect("a", "b", Low)
	if o >= f/4 {
		t.Errorf("old reading moved the effect to %.4f, a fresh one to %.4f", o, f)
	}
}
