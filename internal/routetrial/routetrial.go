// Package routetrial compares routing policies on one seeded stream of requests in a small model:
// entries that choose by their own observations only, and targets with a few slots each, some of
// which are temporarily slower than the others. It models no network beyond a fixed latency, and no
// failures.
package routetrial

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/crocusspring/crocusspring/internal/route"
)

// Policies returns the policies that can be compared; the product's policy is the last one.
func Policies() []route.Policy {
	return []route.Policy{route.Random, route.RoundRobin, route.LeastLoaded, route.Default}
}

// Options configure one run.
type Options struct {
	Policy route.Policy
	Seed   uint64
	// Requests is the number of requests that arrive.
	Requests int
	// Load is the arriving work as a fraction of the capacity of all slots.
	Load float64
	// Noisy slows some targets down for a fraction of the time.
	Noisy bool
}

// Result is what one run measured.
type Result struct {
	// P50, P99 and P999 are percentiles of the latency of all requests in milliseconds, including queueing.
	P50, P99, P999 float64
	// InTime is the fraction of requests that ended within the budget.
	InTime float64
	// BusyRatio is the busy time of the least used target as a fraction of that of the most used one.
	BusyRatio float64
}

const (
	entries     = 3
	targets     = 11
	slots       = 8
	dataCentres = 3
	// crossDCLatency is the one-way network latency between two data centres.
	crossDCLatency = 1400 * time.Microsecond
	meanWork       = 5 * time.Millisecond
	budget         = 50 * time.Millisecond
	// slowTargets is how many targets are slowed down by slowFactor for slowFor out of every slowEvery.
	slowTargets = 3
	slowFactor  = 4
	slowEvery   = 5 * time.Second
	slowFor     = 2 * time.Second
	// latencyWeight is the weight of a new sample in an entry's exponential moving average of latency.
	latencyWeight = 0.2
)

// event is the arrival (target < 0) or the end of a request.
type event struct {
	at       time.Duration
	entry    int
	target   int
	arrived  time.Duration
	duration time.Duration
}

// events is a heap of events by time.
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// trial is the state of one run. inUse counts the requests in progress and latency holds the moving average of the
// observed latency without queueing, both by entry and target; busyTime is the work of each target.
type trial struct {
	opt       Options
	rng       *rand.Rand
	pickers   []*route.Picker
	inUse     [entries][targets]int
	latency   [entries][targets]time.Duration
	busyTime  [targets]time.Duration
	queue     events
	waiting   [entries][]time.Duration
	latencies *hdrhistogram.Histogram
	inTime    int
}

// Run simulates one policy on one seed.
func Run(o Options) Result {
	t := &trial{opt: o, rng: rand.New(rand.NewPCG(o.Seed, 1)), latencies: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	for i := range entries {
		t.pickers = append(t.pickers, route.New(o.Policy, o.Seed+uint64(i)))
	}
	t.arrivals()
	for t.queue.Len() > 0 {
		t.step(heap.Pop(&t.queue).(event))
	}
	return t.result()
}

// arrivals schedules the arrivals: a Poisson process, spread evenly at random over the entries.
func (t *trial) arrivals() {
	rate := t.opt.Load * targets * slots / meanWork.Seconds()
	at := time.Duration(0)
	for range t.opt.Requests {
		at += time.Duration(t.rng.ExpFloat64() / rate * float64(time.Second))
		t.queue = append(t.queue, event{at: at, entry: t.rng.IntN(entries), target: -1})
	}
	heap.Init(&t.queue)
}

// step processes one event.
func (t *trial) step(e event) {
	if e.target < 0 {
		t.waiting[e.entry] = append(t.waiting[e.entry], e.at)
	} else {
		t.end(e)
	}
	t.dispatch(e.entry, e.at)
}

// end records the end of a request.
func (t *trial) end(e event) {
	t.inUse[e.entry][e.target]--
	old := t.latency[e.entry][e.target]
	if old == 0 {
		old = e.duration
	}
	t.latency[e.entry][e.target] = old + time.Duration(latencyWeight*float64(e.duration-old))
	latency := e.at - e.arrived
	_ = t.latencies.RecordValue(max(1, latency.Microseconds()))
	if latency <= budget {
		t.inTime++
	}
}

// creditsOf returns how many slots of a target one entry may use: slots are granted in whole credits, and the
// remainder of the division goes to different entries for different targets.
func creditsOf(entry, target int) int {
	n := slots / entries
	if (entry+target)%entries < slots%entries {
		n++
	}
	return n
}

// dispatch sends the waiting requests of an entry while it has unused credits.
func (t *trial) dispatch(entry int, now time.Duration) {
	for len(t.waiting[entry]) > 0 {
		var candidates []route.Candidate
		var indexes []int
		for i := range targets {
			if t.inUse[entry][i] < creditsOf(entry, i) {
				near := i%dataCentres == entry%dataCentres
				candidates = append(candidates, route.Candidate{Near: near, InUse: t.inUse[entry][i], Slots: slots, Latency: t.latency[entry][i]})
				indexes = append(indexes, i)
			}
		}
		if len(candidates) == 0 {
			return
		}
		target := indexes[t.pickers[entry].Pick(candidates)]
		t.start(entry, target, now, t.waiting[entry][0])
		t.waiting[entry] = t.waiting[entry][1:]
	}
}

// start starts one request at a target and schedules its end.
func (t *trial) start(entry, target int, now, arrived time.Duration) {
	work := time.Duration((0.4 + 0.6*t.rng.ExpFloat64()) * float64(meanWork))
	if t.opt.Noisy && target < slowTargets && now%slowEvery < slowFor {
		work *= slowFactor
	}
	t.busyTime[target] += work
	duration := work
	if target%dataCentres != entry%dataCentres {
		duration += 2 * crossDCLatency
	}
	t.inUse[entry][target]++
	heap.Push(&t.queue, event{at: now + duration, entry: entry, target: target, arrived: arrived, duration: duration})
}

// result computes the result of the run.
func (t *trial) result() Result {
	ms := func(q float64) float64 { return float64(t.latencies.ValueAtQuantile(q)) / 1000 }
	least, most := t.busyTime[0], t.busyTime[0]
	for _, b := range t.busyTime {
		least, most = min(least, b), max(most, b)
	}
	return Result{
		P50: ms(50), P99: ms(99), P999: ms(99.9), InTime: float64(t.inTime) / float64(t.opt.Requests),
		BusyRatio: float64(least) / float64(max(1, most)),
	}
}
