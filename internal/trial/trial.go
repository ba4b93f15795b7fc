// Package trial compares placement policies on one seeded workload in a small model of one cell:
// workers that each run one latency-critical replica, batch tasks that arrive at random, fixed
// interference costs between classes, and usage reports that arrive late. It isn't a full cluster
// simulator: it models no network, no processes and no failures.
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

// Options configure one run.
type Options struct {
	Policy string
	Seed   uint64
	// Length is the simulated time.
	Length time.Duration
	// Load is the arriving batch work as a fraction of the capacity that the services don't reserve.
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
	// BatchPerHour is the finished batch work in core-hours per hour.
	BatchPerHour float64 `json:"batch_core_hours_per_hour"`
	Finished     int     `json:"finished"`
	Evictions    int     `json:"evictions"`
}

const (
	tick           = time.Second
	reportInterval = 5 * time.Second
	reportDelay    = 15 * time.Second
	samplesPerTick = 20
	// evictSlowdown is the slowdown of a service from which on batch tasks are evicted.
	evictSlowdown  = 2.0
	evictAfter     = 10 * time.Second
	workerCount    = 11
	workersPerRack = 3
)

// class is a class of batch tasks.
type class struct {
	name    string
	reserve resource.Vector
	// runTime is the mean run time without interference; drawTask scales it to that of one task.
	runTime time.Duration
	// weight is the fraction of arriving tasks that belong to the class.
	weight float64
}

var classes = []class{
	{"timetable-rebuild", resource.Vector{MilliCPU: 2000, MemoryMB: 4000}, 4 * time.Minute, 0.3},
	{"itinerary-build", resource.Vector{MilliCPU: 2000, MemoryMB: 6000}, 3 * time.Minute, 0.4},
	{"waitlist-watcher", resource.Vector{MilliCPU: 500, MemoryMB: 500}, 10 * time.Minute, 0.3},
}

const (
	// sensitive and tolerant are the classes of the two services, by their sensitivity to interference.
	sensitive = "seat-check"
	tolerant  = "roster-page"
	// sensitiveHosts is the number of workers that run a replica of the sensitive service.
	sensitiveHosts = 5
	// evictBackoff is how long an evicted task waits before it may be placed again.
	evictBackoff = 30 * time.Second
)

// trueCost is the actual interference cost by the class of the victim and the class of the neighbour: the
// slowdown that one neighbour adds at full load. Placement policies don't see it.
var trueCost = map[string]map[string]float64{
	sensitive:           {"timetable-rebuild": 0.45, "itinerary-build": 0.06, "waitlist-watcher": 0.02},
	tolerant:            {"timetable-rebuild": 0.05, "itinerary-build": 0.09, "waitlist-watcher": 0.01},
	"timetable-rebuild": {sensitive: 0.1, "timetable-rebuild": 0.12, "itinerary-build": 0.05},
	"itinerary-build":   {sensitive: 0.1, "timetable-rebuild": 0.15, "itinerary-build": 0.02},
}

// task is one running or waiting batch task.
type task struct {
	place.Task
	class class
	// done is the completed work, as run time without interference.
	done time.Duration
	// notBefore is the earliest time at which the task may be placed.
	notBefore time.Duration
}

// host is one worker, its replica and its batch tasks.
type host struct {
	worker  *place.Worker
	service string
	tasks   []*task
	// slowSince is the time since which the service has been too slow; zero when it isn't.
	slowSince time.Duration
}

// report is a usage report that is delivered at the time due.
type report struct {
	due   time.Duration
	usage interfere.Report
}

// run is the state of one run.
type run struct {
	opt            Options
	rng            *rand.Rand
	model          *interfere.Model
	pipeline       *place.Pipeline
	hosts          []*host
	waiting        []*task
	pendingReports []report
	latencies      *hdrhistogram.Histogram
	finishedWork   time.Duration
	taskCount      int
	result         Result
}

// Run simulates one policy on one seed.
func Run(opt Options) (Result, error) {
	r := &run{
		opt: opt, rng: rand.New(rand.NewPCG(opt.Seed, 1)), model: interfere.New(),
		latencies: hdrhistogram.New(1, 60_000_000, 3), result: Result{Policy: opt.Policy, Seed: opt.Seed},
	}
	switch opt.Policy {
	case "first-fit":
		r.pipeline = place.FirstFit()
	case "best-fit":
		r.pipeline = place.BestFit()
	case "spread":
		r.pipeline = place.WorstFit()
	case "default":
		r.pipeline = place.Default(r.model)
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
	r.result.P50 = float64(r.latencies.ValueAtQuantile(50)) / 1000
	r.result.P99 = float64(r.latencies.ValueAtQuantile(99)) / 1000
	r.result.P999 = float64(r.latencies.ValueAtQuantile(99.9)) / 1000
	r.result.BatchPerHour = r.finishedWork.Hours() / opt.Length.Hours()
	return r.result, nil
}

// build creates the workers with one replica each.
func (r *run) build() {
	for i := range workerCount {
		w := &place.Worker{
			Name: fmt.Sprintf("worker-%02d", i+1), Rack: fmt.Sprint(i / workersPerRack),
			Capacity: resource.Vector{MilliCPU: 16000, MemoryMB: 62500},
		}
		service := tolerant
		if i%2 == 0 && i/2 < sensitiveHosts {
			service = sensitive
		}
		w.Add(&place.Task{Class: service, Reserve: resource.Vector{MilliCPU: 4000, MemoryMB: 8000}})
		w.ServiceClasses = []string{service}
		r.hosts = append(r.hosts, &host{worker: w, service: service})
	}
}

// arrive adds the batch tasks that arrive during one tick.
func (r *run) arrive() {
	const free = workerCount * 12000 // thousandths of a core that the services don't reserve
	var meanWork float64             // mean work of a task: thousandths of a core times seconds
	for _, c := range classes {
		meanWork += c.weight * float64(c.reserve.MilliCPU) * c.runTime.Seconds()
	}
	rate := r.opt.Load * free / meanWork * tick.Seconds()
	for ; rate > 0; rate-- {
		if r.rng.Float64() < rate {
			r.waiting = append(r.waiting, r.drawTask())
		}
	}
}

// drawTask returns a random task.
func (r *run) drawTask() *task {
	x := r.rng.Float64()
	c := classes[len(classes)-1]
	for _, k := range classes {
		if x < k.weight {
			c = k
			break
		}
		x -= k.weight
	}
	c.runTime = time.Duration(float64(c.runTime) * (0.5 + r.rng.Float64()))
	r.taskCount++
	return &task{Task: place.Task{ID: fmt.Sprint(r.taskCount), Class: c.name, Reserve: c.reserve}, class: c}
}

// placeAll places the waiting tasks that fit, in order of arrival.
func (r *run) placeAll(now time.Duration) {
	ws := make([]*place.Worker, len(r.hosts))
	for i, h := range r.hosts {
		ws[i] = h.worker
	}
	stillWaiting := r.waiting[:0]
	for _, t := range r.waiting {
		var w *place.Worker
		if now >= t.notBefore {
			w, _ = r.pipeline.Select(&t.Task, ws)
		}
		if w == nil {
			stillWaiting = append(stillWaiting, t)
			continue
		}
		w.Add(&t.Task)
		i := slices.Index(ws, w)
		r.hosts[i].tasks = append(r.hosts[i].tasks, t)
	}
	r.waiting = stillWaiting
}

// remove removes a task from its host and frees its resources.
func (h *host) remove(t *task) {
	h.tasks = slices.DeleteFunc(h.tasks, func(o *task) bool { return o == t })
	h.worker.Reserved = h.worker.Reserved.Sub(t.Reserve)
	for i := range h.worker.Classes {
		if h.worker.Classes[i].Class == t.Class {
			h.worker.Classes[i].Count--
		}
	}
}

// slowdown returns the actual slowdown of a task of a class on a host. The task itself isn't counted as a
// neighbour.
func (h *host) slowdown(victim string) float64 {
	sum := 1.0
	for _, n := range h.worker.Classes {
		count := n.Count
		if n.Class == victim {
			count--
		}
		sum += trueCost[victim][n.Class] * float64(count) * h.worker.ReservedCPU()
	}
	return sum
}

// advance simulates one tick on every host.
func (r *run) advance(now time.Duration) {
	for _, h := range r.hosts {
		slow := h.slowdown(h.service)
		for range samplesPerTick {
			latencyMicros := (2000 + 3000*r.rng.ExpFloat64()) * slow
			_ = r.latencies.RecordValue(int64(latencyMicros))
		}
		for _, t := range slices.Clone(h.tasks) {
			t.done += time.Duration(float64(tick) / h.slowdown(t.Class))
			if t.done >= t.class.runTime {
				r.finishedWork += time.Duration(float64(t.class.runTime) * float64(t.Reserve.MilliCPU) / 1000)
				r.result.Finished++
				h.remove(t)
			}
		}
		r.evict(now, h, slow)
		if now%reportInterval == 0 {
			r.pendingReports = append(r.pendingReports, h.reports(now+reportDelay)...)
		}
	}
}

// evict removes a task from a host whose service has been too slow for evictAfter: the one with the highest
// learned interference, and among equals the one with the least completed work. The task waits for evictBackoff
// and keeps its completed work.
func (r *run) evict(now time.Duration, h *host, slow float64) {
	if slow < evictSlowdown {
		h.slowSince = 0
		return
	}
	if h.slowSince == 0 {
		h.slowSince = now
	}
	if now-h.slowSince < evictAfter || len(h.tasks) == 0 {
		return
	}
	load := interfere.LoadOf(h.worker.ReservedCPU())
	interference := func(t *task) float64 {
		v, _ := r.model.Interference(h.service, t.Class, load)
		return v
	}
	t := slices.MaxFunc(h.tasks, func(a, b *task) int {
		return cmp.Or(cmp.Compare(interference(a), interference(b)), cmp.Compare(b.done, a.done))
	})
	h.remove(t)
	h.slowSince = 0
	t.notBefore = now + evictBackoff
	r.waiting = append(r.waiting, t)
	r.result.Evictions++
}

// reports returns one usage report for every class on a host.
func (h *host) reports(due time.Duration) []report {
	var out []report
	for _, n := range h.worker.Classes {
		if n.Count == 0 {
			continue
		}
		var neighbours []interfere.Neighbour
		for _, o := range h.worker.Classes {
			if o.Class == n.Class {
				o.Count--
			}
			if o.Count > 0 {
				neighbours = append(neighbours, o)
			}
		}
		out = append(out, report{due, interfere.Report{
			Class: n.Class, Neighbours: neighbours, Load: interfere.LoadOf(h.worker.ReservedCPU()),
			Slowdown: h.slowdown(n.Class), Age: reportDelay,
		}})
	}
	return out
}

// learn passes the usage reports that have arrived to the model.
func (r *run) learn(now time.Duration) {
	i := 0
	for ; i < len(r.pendingReports) && r.pendingReports[i].due <= now; i++ {
		r.model.Observe(r.pendingReports[i].usage)
	}
	r.pendingReports = r.pendingReports[i:]
}
