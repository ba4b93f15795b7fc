// Package routetrial compares routing policies on one seeded stream of requests in a small model:
// entries that choose by what they see themselves, and targets with a few slots of which some are
// slower than the rest for a while. It knows no network beyond a fixed latency, and no failures.
package routetrial

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/crocusspring/crocusspring/internal/route"
)

// Policies returns the policies that can be compared, the product's last.
func Policies() []route.Policy {
	return []route.Policy{route.Random, route.RoundRobin, route.LeastLoaded, route.Default}
}

// Options choose one run.
type Options struct {
	Policy route.Policy
	Seed   uint64
	// Requests is how many requests arrive.
	Requests int
	// Load is the arriving work as a part of what all slots can do.
	Load float64
	// Noisy slows some targets down for a part of the time.
	Noisy bool
}

// Result is what one run measured.
type Result struct {
	// P50, P99 and P999 are latencies of all requests in milliseconds, waiting included.
	P50, P99, P999 float64
	// InTime is the part of requests that were done within the budget.
	InTime float64
	// Idle is the part of the least used target's time in comparison with the most used one's.
	Idle float64
}

const (
	entries     = 3
	targets     = 11
	slots       = 8
	dataCentres = 3
	between     = 1400 * time.Microsecond
	meanWork    = 5 * time.Millisecond
	budget      = 50 * time.Millisecond
	// slowTargets are slowed by slowFactor for slowFor out of every slowEvery.
	slowTargets = 3
	slowFactor  = 4
	slowEvery   = 5 * time.Second
	slowFor     = 2 * time.Second
	// latencyWeight is the weight of a new sample in an entry's moving average.
	latencyWeight = 0.2
)

// event is an arrival (target < 0) or an end.
type event struct {
	at     time.Duration
	entry  int
	target int
	began  time.Duration
	took   time.Duration
}

// events is a heap by time.
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

// trial is the state of one run.
type trial struct {
	opt     Options
	rng     *rand.Rand
	pickers []*route.Picker
	inUse   [entries][targets]int
	seen    [entries][targets]time.Duration
	busy    [targets]time.Duration
	queue   events
	waiting [entries][]time.Duration
	hist    *hdrhistogram.Histogram
	inTime  int
}

// Run measures one policy on one seed.
func Run(o Options) Result {
	t := &trial{opt: o, rng: rand.New(rand.NewPCG(o.Seed, 1)), hist: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	for i := range entries {
		t.pickers = append(t.pickers, route.New(o.Policy, o.Seed+uint64(i)))
	}
	t.arrivals()
	for t.queue.Len() > 0 {
		t.step(heap.Pop(&t.queue).(event))
	}
	return t.result()
}

// arrivals draws a Poisson process over the entries.
func (t *trial) arrivals() {
	rate := t.opt.Load * targets * slots / meanWork.Seconds()
	at := time.Duration(0)
	for range t.opt.Requests {
		at += time.Duration(t.rng.ExpFloat64() / rate * float64(time.Second))
		t.queue = append(t.queue, event{at: at, entry: t.rng.IntN(entries), target: -1})
	}
	heap.Init(&t.queue)
}

// step lets one event happen.
func (t *trial) step(e event) {
	if e.target < 0 {
		t.waiting[e.entry] = append(t.waiting[e.entry], e.at)
	} else {
		t.end(e)
	}
	t.dispatch(e.entry, e.at)
}

// end books the end of a request.
func (t *trial) end(e event) {
	t.inUse[e.entry][e.target]--
	old := t.seen[e.entry][e.target]
	if old == 0 {
		old = e.took
	}
	t.seen[e.entry][e.target] = old + time.Duration(latencyWeight*float64(e.took-old))
	whole := e.at - e.began
	_ = t.hist.RecordValue(max(1, whole.Microseconds()))
	if whole <= budget {
		t.inTime++
	}
}

// share is how many slots of a target one entry may use: slots are granted in whole credits.
func share(entry, target int) int {
	n := slots / entries
	if (entry+target)%entries < slots%entries {
		n++
	}
	return n
}

// dispatch sends the waiting requests of an entry while it has free credits.
func (t *trial) dispatch(entry int, now time.Duration) {
	for len(t.waiting[entry]) > 0 {
		var cs []route.Candidate
		var at []int
		for i := range targets {
			if t.inUse[entry][i] < share(entry, i) {
				near := i%dataCentres == entry%dataCentres
				cs = append(cs, route.Candidate{Near: near, InUse: t.inUse[entry][i], Slots: slots, Latency: t.seen[entry][i]})
				at = append(at, i)
			}
		}
		if len(cs) == 0 {
			return
		}
		target := at[t.pickers[entry].Pick(cs)]
		t.start(entry, target, now, t.waiting[entry][0])
		t.waiting[entry] = t.waiting[entry][1:]
	}
}

// start runs one request at a target.
func (t *trial) start(entry, target int, now, began time.Duration) {
	work := time.Duration((0.4 + 0.6*t.rng.ExpFloat64()) * float64(meanWork))
	if t.opt.Noisy && target < slowTargets && now%slowEvery < slowFor {
		work *= slowFactor
	}
	t.busy[target] += work
	took := work
	if target%dataCentres != entry%dataCentres {
		took += 2 * between
	}
	t.inUse[entry][target]++
	heap.Push(&t.queue, event{at: now + took, entry: entry, target: target, began: began, took: took})
}

// result sums the run up.
func (t *trial) result() Result {
	ms := func(q float64) float64 { return float64(t.hist.ValueAtQuantile(q)) / 1000 }
	least, most := t.busy[0], t.busy[0]
	for _, b := range t.busy {
		least, most = min(least, b), max(most, b)
	}
	return Result{
		P50: ms(50), P99: ms(99), P999: ms(99.9), InTime: float64(t.inTime) / float64(t.opt.Requests),
		Idle: float64(least) / float64(max(1, most)),
	}
}
