package workload

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/google/uuid"
)

// Arrival is one request or job of a schedule.
type Arrival struct {
	// At is the time since the start of the run when the arrival is due.
	At        time.Duration
	Workspace string
	// Token identifies the arrival; it is unique within its schedule.
	Token string
	// Request is set for a request, Job for a job.
	Request *RequestClass
	Job     *JobClass
	// RunTime is the run time of a job; 0 for a watcher, which runs until it is cancelled.
	RunTime time.Duration
}

// Schedule generates the arrivals of a run in order of time. The same mix, seed and length give the same schedule.
func Schedule(m Mix, seed uint64, length time.Duration) []Arrival {
	out := poissonArrivals(m.RequestsPerSecond, seed, 1, length, func(rng *rand.Rand, i int, a *Arrival) {
		a.Request = pickWeighted(rng, m.Requests, func(r RequestClass) float64 { return r.Weight })
		a.Token = fmt.Sprintf("%s-%d-%d", a.Request.Class, seed, i)
	}, m.Workspaces)
	jobs := poissonArrivals(m.JobsPerSecond, seed, 2, length, func(rng *rand.Rand, i int, a *Arrival) {
		a.Job = pickWeighted(rng, m.Jobs, func(j JobClass) float64 { return j.Weight })
		a.Token = fmt.Sprintf("%s-%d-%d", a.Job.Class, seed, i)
		if span := a.Job.MaxRun - a.Job.MinRun; span > 0 {
			a.RunTime = a.Job.MinRun + time.Duration(rng.Int64N(int64(span)))
		} else {
			a.RunTime = a.Job.MinRun
		}
	}, m.Workspaces)
	out = append(out, jobs...)
	slices.SortStableFunc(out, func(a, b Arrival) int { return int(a.At - b.At) })
	return out
}

// poissonArrivals generates a Poisson process of rate arrivals per second; setFields sets the fields of each arrival.
func poissonArrivals(rate float64, seed, stream uint64, length time.Duration, setFields func(*rand.Rand, int, *Arrival), workspaces []string) []Arrival {
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
		setFields(rng, i, &a)
		out = append(out, a)
	}
}

// pickWeighted chooses a random item with a probability proportional to its weight.
func pickWeighted[T any](rng *rand.Rand, items []T, weight func(T) float64) *T {
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

// body returns the body of a request: its token, padding and its token again, so that a truncated body is
// never mistaken for a complete one.
func (a Arrival) body() string {
	paddingBytes := max(1, a.Request.BodyBytes-2*len(a.Token)-2)
	out := make([]byte, 0, a.Request.BodyBytes)
	out = append(out, a.Token...)
	out = append(out, ' ')
	for i := range paddingBytes {
		out = append(out, "abcdefghijklmnopqrstuvwxyz"[i%26])
	}
	out = append(out, ' ')
	return string(append(out, a.Token...))
}

// newKey returns an idempotency key that contains the current time (UUIDv7).
func newKey() string { return uuid.Must(uuid.NewV7()).String() }
