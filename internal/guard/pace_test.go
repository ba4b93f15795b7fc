package guard

import (
	"math"
	"testing"

	"github.com/crocusspring/crocusspring/internal/link"
)

// paceWorld is a worker with one serving task and fillers. The tail latency of the serving task follows from its load,
// which swings, and from the true effects of the fillers at their paces, averaged over the last half second.
type paceWorld struct {
	target  float64
	alone   func(ms int64) float64 // headroom without fillers
	effects []float64              // of each filler, as they really are
	fillers []*run
	history []float64 // headroom in steps of stepMS
}

// stepMS is the step of the simulation, in milliseconds.
const stepMS = 50

// headroom returns the headroom now.
func (w *paceWorld) headroom(ms int64) float64 {
	h := w.alone(ms)
	for i, f := range w.fillers {
		h -= w.effects[i] * float64(f.pacePercent) / fullPace
	}
	return max(h, 0.1)
}

// play runs the pacer for a time and returns the parts of it in which the task was over its target, and the mean pace
// of each filler, in percent. With fixed set the pace isn't controlled.
func (w *paceWorld) play(lengthMS int64, fixed bool) (over float64, pace []float64) {
	serving := &run{Traits: link.Traits{TailTargetMS: int64(w.target), Image: "serves"}, phase: listed}
	all := map[link.RunRef]*run{ref(0, 1): serving}
	for i, f := range w.fillers {
		f.RunRef = ref(i+1, 1)
		all[f.RunRef] = f
	}
	pace = make([]float64, len(w.fillers))
	var p pacer
	n := 0.0
	for ms := int64(stepMS); ms < lengthMS; ms += stepMS {
		w.history = append(w.history, w.headroom(ms))
		if ms > 1000 {
			n++
			if w.history[len(w.history)-1] < 1 {
				over++
			}
			for i, f := range w.fillers {
				pace[i] += float64(f.pacePercent)
			}
		}
		if ms%250 != 0 || fixed {
			continue
		}
		const window = 500 / stepMS
		sum := 0.0
		for _, h := range w.history[max(0, len(w.history)-window):] {
			sum += 1 / h
		}
		rough := 1 + 0.05*math.Sin(float64(ms)*1.7)
		serving.measurement = rough * w.target * sum / float64(min(window, len(w.history)))
		p.observe(ms, all)
		for _, f := range w.fillers {
			f.pacePercent = int(f.wantPace)
		}
	}
	for i := range pace {
		pace[i] /= n
	}
	return over / n, pace
}

// newFiller returns a filler with the effect that the guard was told.
func newFiller(effect float64) *run {
	return &run{
		Traits: link.Traits{Filler: true, Image: "fills", Effects: map[string]float64{"serves": effect}},
		phase:  listed, pacePercent: fullPace, wantPace: fullPace,
	}
}

// wave returns a headroom that swings around a mean in a period of 20 s.
func wave(mean, swing float64) func(int64) float64 {
	return func(ms int64) float64 { return mean + swing*math.Sin(2*math.Pi*float64(ms)/20_000) }
}

// TestPaceHoldsTarget answers for the pattern "a serving task's load swings beside fillers that each take part of its
// headroom": the task stays under its target nearly all the time, the filler that disturbs most is slowed first, and
// no more than needed, also when its effect is known only roughly.
func TestPaceHoldsTarget(t *testing.T) {
	for name, known := range map[string]float64{"known": 1, "too low": 0.7, "too high": 1.4} {
		t.Run(name, func(t *testing.T) {
			world := func() *paceWorld {
				return &paceWorld{
					target: 150, alone: wave(1.8, 0.5), effects: []float64{0.6, 0.15, 0},
					fillers: []*run{newFiller(0.6 * known), newFiller(0.15 * known), newFiller(0)},
				}
			}
			free, _ := world().play(60_000, true)
			over, pace := world().play(60_000, false)
			if free < 0.3 {
				t.Fatalf("uncontrolled over its target %.2f of the time; the case is too easy", free)
			}
			if over > 0.05 {
				t.Errorf("over its target %.3f of the time, %.3f without control", over, free)
			}
			if pace[0] > pace[1] || pace[1] < 80 || pace[2] < fullPace {
				t.Errorf("mean paces %.0f: the filler that disturbs most must give way first", pace)
			}
			if pace[0] < 30 {
				t.Errorf("mean pace %.0f of the filler that disturbs most; there was room for more", pace[0])
			}
		})
	}
}

// TestPaceSparesFillersOfHopelessTask checks that fillers aren't slowed for a task that is over its target by its own
// load, until the task has been so for a while.
func TestPaceSparesFillersOfHopelessTask(t *testing.T) {
	var p pacer
	f := newFiller(0.2)
	all := map[link.RunRef]*run{
		ref(0, 1): {Traits: link.Traits{TailTargetMS: 100, Image: "serves"}, phase: listed, measurement: 160},
		ref(1, 1): f,
	}
	p.observe(10_000, all)
	if f.wantPace != fullPace {
		t.Errorf("pace %v beside a task that would be over its target alone", f.wantPace)
	}
}
