// Package trial compares placement policies on one seeded workload in a small model of one cell:
// workers that hold a latency-critical replica each, batch tasks that arrive at random, a ground
// truth of who slows whom, and usage reports that arrive late. It is no cluster simulator: it knows
// no network, no processes and no failures.
package trial

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/crocusspring/crocusspring/internal/interfere"
	"github.com/crocusspring/crocusspring/internal/place"
	"github.com/crocusspring/crocusspring/internal/resource"
)

// Policies returns the names of the policies that can be compared.
func Policies() []string { return []string{"first-fit", "best-fit", "spread", "default"} }

// Options choose one run.
type Options struct {
	Policy string
	Seed   uint64
	// Length is the simulated time.
	Length time.Duration
	// Load is the arriving batch work as a part of the capacity that services leave over.
	Load float64
}

// Result is what one run measured.
type Result struct {
	Policy string `json:"policy"`
	Seed   uint64 `json:"seed"`
	// P50, P99 and P999 are service latencies in milliseconds.
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	// BatchPerHour is finished batch work in core-hours per hour.
	BatchPerHour float64 `json:"batch_core_hours_per_hour"`
	Finished     int     `json:"finished"`
	Evictions    int     `json:"evictions"`
}

const (
	tick           = time.Second
	reportEvery    = 5 * time.Second
	reportLag      = 15 * time.Second
	samplesPerTick = 20
	// evictAbove is the slowdown of a service at which a batch task is evicted.
	evictAbove = 2.0
	evictAfter = 10 * time.Second
	workers    = 11
	perRack    = 3
)

// class is a kind of batch work.
type class struct {
	name    string
	reserve resource.Vector
	runs    time.Duration
	// weight is the part of arrivals.
	weight float64
}

var classes = []class{
	{"timetable-rebuild", resource.Vector{MilliCPU: 2000, MemoryMB: 4000}, 4 * time.Minute, 0.3},
	{"itinerary-build", resource.Vector{MilliCPU: 2000, MemoryMB: 6000}, 3 * time.Minute, 0.4},
	{"waitlist-watcher", resource.Vector{MilliCPU: 500, MemoryMB: 500}, 10 * time.Minute, 0.3},
}

const (
	// sensitive and tolerant are the classes of the two services.
	sensitive = "seat-check"
	tolerant  = "roster-page"
	// sensitiveHosts is how many workers hold a replica of the sensitive service.
	sensitiveHosts = 5
	// evictPause is how long an evicted task waits.
	evictPause = 30 * time.Second
)

// truth is how much one neighbour slows down a victim at full load.
var truth = map[string]map[string]float64{
	sensitive:           {"timetable-rebuild": 0.45, "itinerary-build": 0.06, "waitlist-watcher": 0.02},
	tolerant:            {"timetable-rebuild": 0.05, "itinerary-build": 0.09, "waitlist-watcher": 0.01},
	"timetable-rebuild": {sensitive: 0.1, "timetable-rebuild": 0.12, "itinerary-build": 0.05},
	"itinerary-build":   {sensitive: 0.1, "timetable-rebuild": 0.15, "itinerary-build": 0.02},
}

// task is one running or waiting batch task.
type task struct {
	place.Task
	class class
	done  time.Duration
	// after is when the task may be placed.
	after time.Duration
}

// host is one worker with its replica.
type host struct {
	w       *place.Worker
	service string
	tasks   []*task
	// slow is since when the service has been too slow; zero when it is not.
	slow time.Duration
}

// report is a usage reading on its way.
type report struct {
	due time.Duration
	r   interfere.Report
}

// run is the state of one trial.
type run struct {
	opt     Options
	rng     *rand.Rand
	model   *interfere.Model
	pipe    *place.Pipeline
	hosts   []*host
	waiting []*task
	late    []report
	hist    *hdrhistogram.Histogram
	work    time.Duration
	count   int
	out     Result
}

// Run measures one policy on one seed.
func Run(opt Options) (Result, error) {
	r := &run{
		opt: opt, rng: rand.New(rand.NewPCG(opt.Seed, 1)), model: interfere.New(),
		hist: hdrhistogram.New(1, 60_000_000, 3), out: Result{Policy: opt.Policy, Seed: opt.Seed},
	}
	switch opt.Policy {
	case "first-fit":
		r.pipe = place.FirstFit()
	case "best-fit":
		r.pipe = place.BestFit()
	case "spread":
		r.pipe = place.WorstFit()
	case "default":
		r.pipe = place.Default(r.model)
	default:
		return Result{}, fmt.Errorf("policy %q is not known", opt.Policy)
	}
	r.build()
	for now := time.Duration(0); now < opt.Length; now += tick {
		r.arrive()
		r.placeAll(now)
		r.advance(now)
		r.learn(now)
	}
	r.out.P50 = float64(r.hist.ValueAtQuantile(50)) / 1000
	r.out.P99 = float64(r.hist.ValueAtQuantile(99)) / 1000
	r.out.P999 = float64(r.hist.ValueAtQuantile(99.9)) / 1000
	r.out.BatchPerHour = r.work.Hours() / opt.Length.Hours()
	return r.out, nil
}

// build makes the workers with one replica each.
func (r *run) build() {
	for i := range workers {
		w := &place.Worker{
			Name: fmt.Sprintf("worker-%02d", i+1), Rack: fmt.Sprint(i / perRack),
			Capacity: resource.Vector{MilliCPU: 16000, MemoryMB: 62500},
		}
		service := tolerant
		if i%2 == 0 && i/2 < sensitiveHosts {
			service = sensitive
		}
		w.Add(&place.Task{Class: service, Reserve: resource.Vector{MilliCPU: 4000, MemoryMB: 8000}})
		w.Critical = []string{service}
		r.hosts = append(r.hosts, &host{w: w, service: service})
	}
}

// arrive draws new batch tasks for one tick.
func (r *run) arrive() {
	const left = workers * 12000 // thousandths of a core that services leave over
	var each float64             // mean thousandths of a core times seconds of a task
	for _, c := range classes {
		each += c.weight * float64(c.reserve.MilliCPU) * c.runs.Seconds()
	}
	rate := r.opt.Load * left / each * tick.Seconds()
	for ; rate > 0; rate-- {
		if r.rng.Float64() < rate {
			r.waiting = append(r.waiting, r.draw())
		}
	}
}

// draw makes one task.
func (r *run) draw() *task {
	x := r.rng.Float64()
	c := classes[len(classes)-1]
	for _, k := range classes {
		if x < k.weight {
			c = k
			break
		}
		x -= k.weight
	}
	c.runs = time.Duration(float64(c.runs) * (0.5 + r.rng.Float64()))
	r.count++
	return &task{Task: place.Task{ID: fmt.Sprint(r.count), Class: c.name, Reserve: c.reserve}, class: c}
}

// placeAll places what fits, in order of arrival.
func (r *run) placeAll(now time.Duration) {
	ws := make([]*place.Worker, len(r.hosts))
	for i, h := range r.hosts {
		ws[i] = h.w
	}
	left := r.waiting[:0]
	for _, t := range r.waiting {
		var w *place.Worker
		if now >= t.after {
			w, _ = r.pipe.Select(&t.Task, ws)
		}
		if w == nil {
			left = append(left, t)
			continue
		}
		w.Add(&t.Task)
		i := slices.Index(ws, w)
		r.hosts[i].tasks = append(r.hosts[i].tasks, t)
	}
	r.waiting = left
}

// remove takes a task off its host.
func (h *host) remove(t *task) {
	h.tasks = slices.DeleteFunc(h.tasks, func(o *task) bool { return o == t })
	h.w.Reserved = h.w.Reserved.Sub(t.Reserve)
	for i := range h.w.Classes {
		if h.w.Classes[i].Class == t.Class {
			h.w.Classes[i].Count--
		}
	}
}

// slowdown returns the true slowdown of a class on a host, itself not counted.
func (h *host) slowdown(victim string) float64 {
	sum := 1.0
	for _, n := range h.w.Classes {
		count := n.Count
		if n.Class == victim {
			count--
		}
		sum += truth[victim][n.Class] * float64(count) * h.w.ReservedCPU()
	}
	return sum
}

// advance lets one tick pass on every host.
func (r *run) advance(now time.Duration) {
	for _, h := range r.hosts {
		slow := h.slowdown(h.service)
		for range samplesPerTick {
			us := (2000 + 3000*r.rng.ExpFloat64()) * slow
			_ = r.hist.RecordValue(int64(us))
		}
		for _, t := range slices.Clone(h.tasks) {
			t.done += time.Duration(float64(tick) / h.slowdown(t.Class))
			if t.done >= t.class.runs {
				r.work += time.Duration(float64(t.class.runs) * float64(t.Reserve.MilliCPU) / 1000)
				r.out.Finished++
				h.remove(t)
			}
		}
		r.evict(now, h, slow)
		if now%reportEvery == 0 {
			r.late = append(r.late, h.reports(now+reportLag)...)
		}
	}
}

// evict takes the most harmful task with the least lost work off a host whose service is too slow.
func (r *run) evict(now time.Duration, h *host, slow float64) {
	if slow < evictAbove {
		h.slow = 0
		return
	}
	if h.slow == 0 {
		h.slow = now
	}
	if now-h.slow < evictAfter || len(h.tasks) == 0 {
		return
	}
	load := interfere.LoadOf(h.w.ReservedCPU())
	harm := func(t *task) float64 {
		v, _ := r.model.Effect(h.service, t.Class, load)
		return v
	}
	t := slices.MaxFunc(h.tasks, func(a, b *task) int {
		return cmp.Or(cmp.Compare(harm(a), harm(b)), cmp.Compare(b.done, a.done))
	})
	h.remove(t)
	h.slow = 0
	t.after = now + evictPause
	r.waiting = append(r.waiting, t)
	r.out.Evictions++
}

// reports returns the readings of every class on a host.
func (h *host) reports(due time.Duration) []report {
	var out []report
	for _, n := range h.w.Classes {
		if n.Count == 0 {
			continue
		}
		var others []interfere.Neighbour
		for _, o := range h.w.Classes {
			if o.Class == n.Class {
				o.Count--
			}
			if o.Count > 0 {
				others = append(others, o)
			}
		}
		out = append(out, report{due, interfere.Report{
			Class: n.Class, Neighbours: others, Load: interfere.LoadOf(h.w.ReservedCPU()),
			Slowdown: h.slowdown(n.Class), Age: reportLag,
		}})
	}
	return out
}

// learn folds the readings that have arrived.
func (r *run) learn(now time.Duration) {
	i := 0
	for ; i < len(r.late) && r.late[i].due <= now; i++ {
		r.model.Observe(r.late[i].r)
	}
	r.late = r.late[i:]
}
