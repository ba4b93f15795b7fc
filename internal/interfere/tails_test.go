package interfere

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// waveWorld is a pool in which the load of the serving tasks of each job swings in a phase of its own, and fillers take
// headroom by pairs of images: most little, some much.
type waveWorld struct {
	rng     *rand.Rand
	images  int
	fillers int
	truth   map[tailPair]float64
	phase   []float64
}

// newWaveWorld returns a world of jobs that run images in turn.
func newWaveWorld(seed uint64, images, fillers, jobs int) *waveWorld {
	w := &waveWorld{rng: rand.New(rand.NewPCG(seed, 1)), images: images, fillers: fillers, truth: map[tailPair]float64{}}
	for s := range images {
		for f := range fillers {
			v := 0.05
			if w.rng.Float64() < 0.4 {
				v = 0.4 + 0.5*w.rng.Float64()
			}
			w.truth[tailPair{w.serving(s), w.filler(f)}] = v
		}
	}
	for range jobs {
		w.phase = append(w.phase, 2*math.Pi*w.rng.Float64())
	}
	return w
}

func (w *waveWorld) serving(i int) string { return fmt.Sprintf("s%d", i%w.images) }
func (w *waveWorld) filler(i int) string  { return fmt.Sprintf("f%d", i%w.fillers) }

// alone returns the headroom that tasks of a job would have without fillers: from 1.7 to 4.5 in a period of 20 s.
func (w *waveWorld) alone(job int, at time.Duration) float64 {
	return 3.1 + 1.4*math.Sin(w.phase[job]+2*math.Pi*at.Seconds()/20)
}

// reading returns one reading of a task of a job beside fillers, with an error of 5%.
func (w *waveWorld) reading(job int, at time.Duration, cores map[string]float64) Reading {
	r := Reading{Group: fmt.Sprint("job", job), Image: w.serving(job), Headroom: w.alone(job, at), Fillers: cores}
	for f, c := range cores {
		r.Headroom -= w.truth[tailPair{r.Image, f}] * c
	}
	r.Headroom = max(0.1, r.Headroom) * (1 + 0.05*w.rng.NormFloat64())
	return r
}

// TestEffectsBesideWaves answers for the pattern "the load of all tasks of a job rises and falls together beside fillers
// that come and go": effects are told from the wave, so that after ten seconds heavy pairs are known from light ones,
// and the headroom without fillers is known a second ahead.
func TestEffectsBesideWaves(t *testing.T) {
	const (
		jobs  = 8
		tasks = 12
	)
	for seed := range uint64(5) {
		w := newWaveWorld(seed, 4, 6, jobs)
		m := NewTails()
		began := time.Unix(1_800_000_000, 0)
		beside := map[[2]int]map[string]float64{}
		ahead := 0.0
		n := 0
		for at := time.Duration(0); at < 12*time.Second; at += 500 * time.Millisecond {
			for j := range jobs {
				for k := range tasks {
					key := [2]int{j, k}
					switch w.rng.IntN(8) {
					case 0:
						beside[key] = nil
					case 1:
						beside[key] = map[string]float64{w.filler(w.rng.IntN(6)): 1 + 2*w.rng.Float64()}
					case 2:
						beside[key] = map[string]float64{w.filler(w.rng.IntN(6)): 1.5, w.filler(w.rng.IntN(6)): 1.5}
					}
					m.Observe(began.Add(at), w.reading(j, at, beside[key]))
				}
				level, slope, ok := m.Alone(began.Add(at), fmt.Sprint("job", j))
				if at >= 3*time.Second {
					if !ok {
						t.Fatalf("seed %d: headroom of job %d isn't known after %s", seed, j, at)
					}
					n++
					ahead += math.Abs(level + slope - w.alone(j, at+time.Second))
				}
			}
		}
		if mean := ahead / float64(n); mean > 0.25 {
			t.Errorf("seed %d: headroom a second ahead is off by %.2f on average", seed, mean)
		}
		wrong := 0
		for pair, want := range w.truth {
			if got, _ := m.Interference(pair.serving, pair.filler); math.Abs(got-want) > 0.2 {
				wrong++
				t.Logf("seed %d: %v is %.2f, estimated %.2f", seed, pair, want, got)
			}
		}
		if wrong > 0 {
			t.Errorf("seed %d: %d of %d effects are off by more than 0.2", seed, wrong, len(w.truth))
		}
	}
}

// TestOverloadedReading checks that a task that is overloaded beside a filler raises its effect, although the reading
// tells no more than that.
func TestOverloadedReading(t *testing.T) {
	m := NewTails()
	now := time.Unix(1_800_000_000, 0)
	for range 20 {
		now = now.Add(500 * time.Millisecond)
		m.Observe(now, Reading{Group: "g", Image: "s", Headroom: 3})
	}
	m.Observe(now, Reading{Group: "g", Image: "s", Headroom: 0.1, Fillers: map[string]float64{"f": 2}})
	if mean, _ := m.Interference("s", "f"); mean < 0.7 {
		t.Errorf("effect is %.2f per core after two cores took 2.9", mean)
	}
	if level, _, ok := m.Alone(now, "g"); !ok || math.Abs(level-3) > 0.2 {
		t.Errorf("headroom alone is %.2f, known %v; want 3", level, ok)
	}
}
