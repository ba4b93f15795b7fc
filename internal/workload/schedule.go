package workload

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/google/uuid"
)

// Arrival is one request or job that the schedule calls for.
type Arrival struct {
	// At counts from the start of the run.
	At        time.Duration
	Workspace string
	// Token names the arrival; it is unique in its schedule.
	Token string
	// Request is set for a request, Job for a job.
	Request *Request
	Job     *Job
	// Run is the run time of a job; 0 for a watcher.
	Run time.Duration
}

// Schedule draws the arrivals of a run. The same mix, seed and length give the same schedule.
func Schedule(m Mix, seed uint64, length time.Duration) []Arrival {
	out := arrivals(m.RequestsPerSecond, seed, 1, length, func(rng *rand.Rand, i int, a *Arrival) {
		a.Request = pick(rng, m.Requests, func(r Request) float64 { return r.Weight })
		a.Token = fmt.Sprintf("%s-%d-%d", a.Request.Class, seed, i)
	}, m.Workspaces)
	jobs := arrivals(m.JobsPerSecond, seed, 2, length, func(rng *rand.Rand, i int, a *Arrival) {
		a.Job = pick(rng, m.Jobs, func(j Job) float64 { return j.Weight })
		a.Token = fmt.Sprintf("%s-%d-%d", a.Job.Class, seed, i)
		if span := a.Job.MaxRun - a.Job.MinRun; span > 0 {
			a.Run = a.Job.MinRun + time.Duration(rng.Int64N(int64(span)))
		} else {
			a.Run = a.Job.MinRun
		}
	}, m.Workspaces)
	out = append(out, jobs...)
	slices.SortStableFunc(out, func(a, b Arrival) int { return int(a.At - b.At) })
	return out
}

// arrivals draws a Poisson process.
func arrivals(rate float64, seed, stream uint64, length time.Duration, fill func(*rand.Rand, int, *Arrival), workspaces []string) []Arrival {
	var out []Arrival
	if rate <= 0 {
		return nil
	}
	rng := rand.New(rand.NewPCG(seed, stream))
	at := time.Duration(0)
	for i := 0; ; i++ {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= length {
			return out
		}
		a := Arrival{At: at, Workspace: workspaces[rng.IntN(len(workspaces))]}
		fill(rng, i, &a)
		out = append(out, a)
	}
}

// pick draws an item by weight.
func pick[T any](rng *rand.Rand, items []T, weight func(T) float64) *T {
	total := 0.0
	for _, it := range items {
		total += weight(it)
	}
	x := rng.Float64() * total
	for i := range items {
		if x -= weight(items[i]); x < 0 {
			return &items[i]
		}
	}
	return &items[len(items)-1]
}

// body returns the body of a request: its token, a filling and its token again, so that a part of it
// is never taken for the whole.
func (a Arrival) body() string {
	fill := max(1, a.Request.BodyBytes-2*len(a.Token)-2)
	out := make([]byte, 0, a.Request.BodyBytes)
	out = append(out, a.Token...)
	out = append(out, ' ')
	for i := range fill {
		out = append(out, "abcdefghijklmnopqrstuvwxyz"[i%26])
	}
	out = append(out, ' ')
	return string(append(out, a.Token...))
}

// newKey returns an idempotency key that carries the time (UUIDv7).
func newKey() string { return uuid.Must(uuid.NewV7()).String() }
