package sched

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
	"github.com/crocusspring/crocusspring/internal/resource"
	"github.com/crocusspring/crocusspring/internal/store"
)

const (
	// dayStep is the step of the simulation of a day, and dayDelay the time that a message takes.
	dayStep  = 50 * time.Millisecond
	dayDelay = 50 * time.Millisecond
	// dayStop is how long a stop takes, dayRestore how long a run takes to resume from a checkpoint.
	dayStop    = 150 * time.Millisecond
	dayRestore = 600 * time.Millisecond
	// dayPaceSpan, dayPaceDelay, dayPaceFactor and dayPaceRecovery are those of a guard's control of the pace.
	dayPaceSpan     = 500 * time.Millisecond
	dayPaceDelay    = 1200 * time.Millisecond
	dayPaceFactor   = 0.3
	dayPaceRecovery = 25
	// dayTargetX is the headroom of a serving task without load.
	dayTargetX = 6
	// dayTargetMS is the target of the tail latency of serving tasks.
	dayTargetMS = 150
	// daySilentCall is how long a call to a silent policy service takes beyond its expected time.
	daySilentCall = 500 * time.Millisecond
)

// dayOptions are those of a deployment.
var dayOptions = Options{
	RunLease: 4 * time.Second, RunLeaseExtension: 6 * time.Second, HalfQuorumTime: 2 * time.Second, GuardSilence: time.Second, Margin: 200 * time.Millisecond, JobRetention: time.Hour,
}

// dayRun is a run on a worker.
type dayRun struct {
	link.Start
	spec *job.Step
	// ready is when it begins to work, stopAt when it ends after a stop, failAt when it fails; zero for never.
	began, ready, stopAt, failAt time.Time
	work, total, savedAt         float64 // core-seconds left, in all, and left at the newest checkpoint
	used                         float64 // cores in use
	tail                         float64 // milliseconds, smoothed
}

// grey is a way in which a worker goes wrong while its guard hears from it.
type grey int

const (
	sound grey = iota
	failing
	hanging
	slow
	numGreys
)

// dayHost is a node with the current incarnation of its worker and its guard.
type dayHost struct {
	node, id string
	rack     string
	cap      resource.Vector
	lives    int
	// up says that the incarnation runs, back is when the next one does; zero for never.
	up   bool
	back time.Time
	// linked says that the owner hears from the guard; cutUntil is when it can again.
	linked   bool
	cutUntil time.Time
	// muteUntil is until when the worker doesn't answer its guard.
	muteUntil  time.Time
	grey       grey
	greyUntil  time.Time
	shrunk     time.Time // until when the capacity is a part of cap
	drainUntil time.Time // when a draining worker leaves; zero while it doesn't drain
	runs       map[link.RunRef]*dayRun
	ended      []link.RunEnd
	reported   int64
	acked      int64
	next       int64
	fence      map[job.TaskID]int
	lease      time.Time
	told       link.Worker
	nextReport time.Time
	// pace is what the guard allows fillers, in percent.
	pace      float64
	changed   time.Time
	overSince time.Time
	crash     *link.Crash // seen by the guard and not reported to this owner
	crashedAt time.Time   // when it crashed last
}

// dayCall is a call to the policy service in progress.
type dayCall struct {
	req  ApprovalRequest
	ends time.Time
	err  error
}

// later is an event in transit.
type later struct {
	at time.Time
	do func()
}

// dayShape is what a seed draws for a whole day.
type dayShape struct {
	workers, images, servingImages int
	serving                        float64 // share of the capacity reserved by serving tasks
	heavy                          float64 // share of the pairs of images that disturb
	effect                         float64
	fillersPerS, shortPerS         float64
	width                          float64
	advice                         float64 // share of the queues that take advice
	length                         time.Duration
	faultEvery                     time.Duration
	calmEvery                      time.Duration // mean time between long calms
	swing                          float64
	burstAt                        time.Duration // of wide jobs; 0 for none
	vanish                         bool          // ends get lost between the worker and its guard
	poison, deadly                 float64
	noCrashes                      bool // of workers, but by deadly tasks
}

// day simulates a service with its owner, store, guards, workers and policy service.
type day struct {
	seed    uint64
	rng     *rand.Rand
	shape   dayShape
	now     time.Time
	core    *Core
	log     map[string][]byte
	specs   []*job.Spec
	byID    map[string]*job.Spec
	cancels []string
	hosts   []*dayHost
	queue   []later
	batch   *Batch
	// storeUntil is until when the store doesn't answer, ownerless until when there is no owner.
	storeUntil, ownerless time.Time
	epoch                 int // counts the owners
	lossUntil             time.Time
	silentUntil           time.Time
	call                  *dayCall // in progress, or nil
	effect                map[[2]string]float64
	phase                 map[string]float64
	works                 map[job.TaskID]float64
	saved                 map[job.TaskID]float64
	done                  map[job.TaskID]bool
	poison                map[string]bool
	deadly                map[job.TaskID]bool
	lastEnd               map[job.TaskID]time.Time // of the latest run of a lasting task
	// calmSince is when the latest disruption ended.
	calmSince time.Time
	ending    *ending // nil without a calm end
	trace     func(format string, args ...any)
}

// newDay returns a day drawn from a seed.
func newDay(seed uint64) *day {
	d := &day{
		seed: seed, rng: rand.New(rand.NewPCG(seed, 0)), now: epoch0, core: New(dayOptions), log: map[string][]byte{}, byID: map[string]*job.Spec{},
		effect: map[[2]string]float64{}, phase: map[string]float64{}, works: map[job.TaskID]float64{}, saved: map[job.TaskID]float64{},
		done: map[job.TaskID]bool{}, poison: map[string]bool{}, deadly: map[job.TaskID]bool{}, lastEnd: map[job.TaskID]time.Time{}, calmSince: epoch0,
		trace: func(string, ...any) {},
	}
	r := d.rng
	d.shape = dayShape{
		workers: 6 + r.IntN(6), images: 2 + r.IntN(8), servingImages: 1 + r.IntN(5), serving: 0.15 + 0.5*r.Float64(), heavy: 0.2 + 0.8*r.Float64(),
		effect: 0.4 + 1.2*r.Float64(), fillersPerS: 0.3 + r.Float64(), shortPerS: 1 + 2*r.Float64(), width: 4 + 12*r.Float64(),
		advice: []float64{0, 0, 0.3, 1}[r.IntN(4)], length: time.Duration(15+r.IntN(20)) * time.Second,
		faultEvery: time.Duration(500+r.IntN(5000)) * time.Millisecond, calmEvery: time.Duration(8+r.IntN(20)) * time.Second,
		swing: 0.2 + 0.6*r.Float64(), poison: []float64{0, 0.03, 0.2}[r.IntN(3)], deadly: []float64{0, 0, 0.05}[r.IntN(3)],
	}
	if r.IntN(2) == 0 {
		d.shape.burstAt = d.shape.length - time.Duration(1+r.IntN(8))*time.Second
	}
	for i := range d.shape.workers {
		h := &dayHost{node: fmt.Sprintf("n%02d", i), rack: fmt.Sprintf("r%d", i/3), cap: resource.Vector{MilliCPU: []int64{16000, 16000, 24000}[r.IntN(3)], MemoryMB: 62500}}
		h.cap.MemoryMB = h.cap.MilliCPU * 62500 / 16000
		d.hosts = append(d.hosts, h)
		d.boot(h)
	}
	d.submitServing()
	return d
}

// upset notes that a disruption lasts until a time.
func (d *day) upset(until time.Time) {
	if until.After(d.calmSince) {
		d.calmSince = until
	}
}

// after runs an event after a delay.
func (d *day) after(delay time.Duration, do func()) {
	d.queue = append(d.queue, later{d.now.Add(delay), do})
}

// between returns a random duration.
func (d *day) between(from, to time.Duration) time.Duration {
	return from + time.Duration(d.rng.Int64N(int64(to-from)))
}

// around returns a positive random number with a mean and a relative deviation.
func (d *day) around(mean, spread, most float64) float64 {
	return min(most, max(0.1*mean, mean*(1+spread*d.rng.NormFloat64())))
}

// policy returns the policy of a new job.
func (d *day) policy(queue string, priority int, stretch float64, latencyMS int64) job.Policy {
	p := job.Policy{Queue: queue, Service: "pool", Priority: priority, MaxAttempts: 4, Stretch: stretch, LatencyTargetMS: latencyMS}
	if d.ending != nil {
		p.MaxAttempts = d.ending.drawAttempts()
	}
	if d.rng.Float64() < d.shape.advice {
		p.Advice = &job.Advice{DecideMS: 20, EachMS: 5, ValidMS: 3000}
	}
	return p
}

// submit submits a job.
func (d *day) submit(s *job.Spec) {
	s.AcceptedMS = d.now.UnixMilli()
	d.specs, d.byID[s.ID] = append(d.specs, s), s
	d.phase[s.ID] = 2 * math.Pi * d.rng.Float64()
	for i := range s.Steps {
		st := &s.Steps[i]
		st.MayMiss = -1
		for k := range st.Count {
			seconds := float64(st.EstimateMS) / 1000 * (0.6 + 0.9*d.rng.Float64())
			d.works[job.TaskID{Job: s.ID, Step: i, Index: k}] = max(0.1, seconds) * float64(st.Demand.MilliCPU) / 1000
		}
	}
	if !d.ownerless.After(d.now) {
		d.core.Submit(d.now, s)
	}
}

// submitServing submits the jobs that last.
func (d *day) submitServing() {
	total := int64(0)
	for _, h := range d.hosts {
		total += h.cap.MilliCPU
	}
	for n := 0; ; n++ {
		s := &job.Spec{ID: fmt.Sprintf("serve%02d", n), Policy: d.policy("watch", 0, 2.2, 2500)}
		st := job.Step{
			Count: int(d.around(6, 0.4, 12) + 0.5), LongRunning: true, TailTargetMS: dayTargetMS, Image: fmt.Sprintf("s%d", d.rng.IntN(d.shape.servingImages)),
			Demand: resource.Vector{MilliCPU: int64(d.around(3200, 0.25, 5100)), MemoryMB: int64(d.around(6400, 0.3, 13000))}, EstimateMS: 500,
		}
		if d.rng.IntN(2) == 0 {
			st.AntiAffinity = 1 + d.rng.IntN(2)
		}
		total -= int64(float64(st.Demand.MilliCPU*int64(st.Count)) / d.shape.serving)
		if total < 0 && n > 0 {
			return
		}
		s.Steps = []job.Step{st}
		d.submit(s)
	}
}

// submitFiller submits a wide job of fillers.
func (d *day) submitFiller(n int) {
	s := &job.Spec{ID: fmt.Sprintf("fill%03d", n), Policy: d.policy("rebuild", 2, 2, 1000)}
	demand := resource.Vector{MilliCPU: int64(d.around(1800, 0.3, 3500)), MemoryMB: int64(d.around(3200, 0.3, 6400))}
	image := fmt.Sprintf("f%d", d.rng.IntN(d.shape.images))
	seconds := d.around(2.7, 0.5, 6.8)
	for i := range 1 + d.rng.IntN(3) {
		st := job.Step{
			Count: max(1, int(d.around(d.shape.width, 0.6, 32))), Demand: demand, Filler: true, Image: image, Checkpoints: d.rng.Float64() < 0.85,
			EstimateMS: int64(1000 * seconds * (0.5 + d.rng.Float64())),
		}
		if i > 0 {
			st.DependsOn = []int{i - 1}
		}
		s.Steps = append(s.Steps, st)
	}
	d.poison[s.ID] = d.rng.Float64() < d.shape.poison
	if d.rng.Float64() < d.shape.deadly {
		d.deadly[job.TaskID{Job: s.ID, Index: d.rng.IntN(s.Steps[0].Count)}] = true
	}
	d.submit(s)
}

// submitShort submits a short urgent job.
func (d *day) submitShort(n int) {
	s := &job.Spec{ID: fmt.Sprintf("short%04d", n), Policy: d.policy("check", 0, 1.5, 250)}
	for i := range 1 + d.rng.IntN(2) {
		st := job.Step{
			Count: max(1, int(d.around(6, 0.8, 36))), EstimateMS: int64(d.around(640, 0.5, 1600)), Speculative: d.rng.IntN(3) == 0,
			Demand: resource.Vector{MilliCPU: int64(d.around(240, 0.45, 720)), MemoryMB: int64(d.around(480, 0.3, 960))},
		}
		if d.rng.IntN(6) == 0 {
			st.AntiAffinity = 1
		}
		if i > 0 {
			st.DependsOn = []int{0}
		}
		s.Steps = append(s.Steps, st)
	}
	if d.rng.Float64() < d.shape.deadly {
		d.deadly[job.TaskID{Job: s.ID, Index: d.rng.IntN(s.Steps[0].Count)}] = true
	}
	d.submit(s)
}

// boot starts the next incarnation of a node's worker.
func (d *day) boot(h *dayHost) {
	h.lives++
	h.id = fmt.Sprintf("w%s-%d", h.node[1:], h.lives)
	if d.rng.IntN(4) == 0 {
		h.id = link.Incarnation{ID: "w" + h.node[1:], BornMS: d.now.UnixMilli()}.String()
	}
	h.up, h.linked, h.back, h.lease = true, false, time.Time{}, d.now
	h.runs, h.ended, h.fence = map[link.RunRef]*dayRun{}, nil, map[job.TaskID]int{}
	h.reported, h.acked, h.next = 0, 0, 0
	h.grey, h.muteUntil, h.drainUntil, h.shrunk = sound, time.Time{}, time.Time{}, time.Time{}
	h.pace, h.changed, h.overSince = 100, time.Time{}, time.Time{}
	d.trace("%s boots as %s", h.node, h.id)
}

// info describes a worker.
func (d *day) info(h *dayHost) link.Worker {
	w := link.Worker{ID: h.id, Service: "pool", Kind: "a", Rack: h.rack, DataCentre: "dc-" + h.rack, Capacity: h.cap}
	if h.shrunk.After(d.now) {
		w.Capacity.MilliCPU /= 2
	}
	if !h.drainUntil.IsZero() {
		w.Draining, w.RemainingMS = true, h.drainUntil.Sub(d.now).Milliseconds()
	}
	return w
}

// sorted returns the runs of a worker in a fixed order.
func (h *dayHost) sorted() []*dayRun {
	out := slices.Collect(maps.Values(h.runs))
	slices.SortFunc(out, func(a, b *dayRun) int {
		if c := strings.Compare(a.Task.String(), b.Task.String()); c != 0 {
			return c
		}
		return a.Run - b.Run
	})
	return out
}

// end ends a run on a worker.
func (d *day) end(h *dayHost, r *dayRun, o link.Outcome) {
	delete(h.runs, r.RunRef)
	h.next++
	h.fence[r.Task] = max(h.fence[r.Task], r.Run)
	e := link.RunEnd{Number: h.next, RunRef: r.RunRef, Outcome: o}
	if r.spec.Checkpoints && o == link.Stopped {
		d.saved[r.Task], e.Checkpoint = r.work, fmt.Sprintf("%.2f", r.work)
	}
	if r.spec.LongRunning {
		d.lastEnd[r.Task] = d.now
	}
	if o == link.Done {
		d.done[r.Task] = true
	}
	if d.shape.vanish && d.rng.IntN(40) == 0 {
		d.upset(d.now)
		d.trace("%s loses the end of %s run %d", h.id, r.Task, r.Run)
		return
	}
	h.ended = append(h.ended, e)
}

// listing returns what a worker lists; all says whether ends are included that were reported before.
func (d *day) listing(h *dayHost, all bool) link.Listing {
	var l link.Listing
	for _, r := range h.sorted() {
		row := link.RunStatus{RunRef: r.RunRef}
		switch {
		case r.spec.LongRunning:
			if !r.ready.After(d.now) && h.grey != hanging {
				row.Percent = 100
			}
			row.Measurement = r.tail
		case r.total > 0:
			row.Percent, row.Measurement = math.Floor(100*max(0, 1-r.work/r.total)), 1000*r.used
			if r.spec.Checkpoints && r.savedAt < r.total {
				row.Checkpoint = fmt.Sprintf("%.2f", r.savedAt)
				d.saved[r.Task] = r.savedAt
			}
		}
		l.Running = append(l.Running, row)
	}
	for _, e := range h.ended {
		if e.Number > h.acked && (all || e.Number > h.reported) {
			l.Ended = append(l.Ended, e)
		}
	}
	h.reported = h.next
	return l
}

// mute reports whether a worker doesn't answer its guard.
func (d *day) mute(h *dayHost) bool { return !h.up || h.muteUntil.After(d.now) }

// start carries a start command out.
func (d *day) start(h *dayHost, id string, s link.Start) {
	if !h.up || h.id != id {
		return
	}
	absent := func(why string) {
		d.after(dayDelay, func() { d.reportEnd(h, id, link.RunEnd{RunRef: s.RunRef, Outcome: link.Absent, Reason: why}) })
	}
	spec := d.byID[s.Task.Job]
	switch {
	case s.Run <= h.fence[s.Task] || h.runs[s.RunRef] != nil:
		return
	case !h.lease.After(d.now) || !h.drainUntil.IsZero():
		absent("late")
		return
	case spec.Policy.Advice != nil && !d.ticketValid(h, s):
		absent("ticket")
		return
	}
	r := &dayRun{Start: s, spec: &spec.Steps[s.Task.Step], began: d.now, ready: d.now.Add(dayDelay)}
	r.work = d.works[s.Task]
	r.total = r.work
	if left, ok := d.saved[s.Task]; ok && s.Checkpoint != "" {
		r.work, r.ready = left, d.now.Add(dayRestore)
	}
	r.savedAt = r.work
	if r.spec.LongRunning {
		r.ready = d.now.Add(d.between(300*time.Millisecond, 1500*time.Millisecond))
		if d.rng.IntN(30) == 0 {
			r.failAt = d.now.Add(d.between(time.Second, 20*time.Second))
		}
	} else if d.poison[s.Task.Job] || d.rng.IntN(20) == 0 && r.spec.Filler {
		r.failAt = d.now.Add(d.between(50*time.Millisecond, 1000*time.Millisecond))
	}
	if h.grey == failing {
		r.failAt = d.now.Add(dayDelay)
	}
	h.runs[s.RunRef] = r
	if d.deadly[s.Task] {
		d.after(dayDelay, func() {
			if h.up && h.id == id && h.runs[s.RunRef] != nil {
				d.crashHost(h, true, d.between(300*time.Millisecond, 3*time.Second))
			}
		})
	}
}

// ticketValid reports whether the ticket of a start is good.
func (d *day) ticketValid(h *dayHost, s link.Start) bool {
	var id string
	var until int64
	if _, err := fmt.Sscanf(s.Ticket, "%s %d", &id, &until); err != nil {
		return false
	}
	return id == h.id && d.now.UnixMilli() < until
}

// stop carries a stop command out.
func (d *day) stop(h *dayHost, id string, ref link.RunRef) {
	if !h.up || h.id != id {
		return
	}
	if r := h.runs[ref]; r != nil {
		if r.stopAt.IsZero() {
			r.stopAt = d.now.Add(dayStop)
		}
		return
	}
	h.fence[ref.Task] = max(h.fence[ref.Task], ref.Run)
	for _, e := range h.ended {
		if e.RunRef == ref && e.Number > h.acked {
			return
		}
	}
	d.after(dayDelay, func() { d.reportEnd(h, id, link.RunEnd{RunRef: ref, Outcome: link.Absent}) })
}

// reportEnd passes an absent run to the owner, later if there is none now.
func (d *day) reportEnd(h *dayHost, id string, e link.RunEnd) {
	if h.id != id || !h.up {
		return
	}
	if !h.linked || d.mute(h) {
		d.after(4*dayDelay, func() { d.reportEnd(h, id, e) })
		return
	}
	d.core.Ended(d.now, id, []link.RunEnd{e})
}

// deliver takes the core's commands to the guards.
func (d *day) deliver(commands Commands) {
	for _, id := range slices.Sorted(maps.Keys(commands)) {
		var h *dayHost
		for _, o := range d.hosts {
			if o.id == id && o.linked {
				h = o
			}
		}
		if h == nil {
			continue
		}
		c := commands[id]
		for _, s := range c.Start {
			d.commandStart(h, id, s)
		}
		for _, ref := range c.Stop {
			d.commandStop(h, id, ref)
		}
		if c.AckedEnd > h.acked {
			h.acked = c.AckedEnd
		}
	}
}

// commandStart sends a start to a worker. One without an answer is settled by a stop.
func (d *day) commandStart(h *dayHost, id string, s link.Start) {
	switch {
	case d.mute(h):
		d.after(dayDelay, func() {
			d.reportEnd(h, id, link.RunEnd{RunRef: s.RunRef, Outcome: link.Absent, Reason: "doesn't answer"})
		})
		h.fence[s.Task] = max(h.fence[s.Task], s.Run)
	case d.lossUntil.After(d.now) && d.rng.IntN(3) == 0:
		if d.rng.IntN(2) == 0 {
			d.after(dayDelay, func() { d.start(h, id, s) })
		}
		d.after(6*dayDelay, func() { d.stop(h, id, s.RunRef) })
	default:
		d.after(dayDelay, func() { d.start(h, id, s) })
	}
}

// commandStop sends a stop, which the guard repeats until it has an answer.
func (d *day) commandStop(h *dayHost, id string, ref link.RunRef) {
	if d.mute(h) || d.lossUntil.After(d.now) && d.rng.IntN(3) == 0 {
		d.after(6*dayDelay, func() {
			if h.id == id && h.up {
				d.commandStop(h, id, ref)
			}
		})
		return
	}
	d.after(dayDelay, func() { d.stop(h, id, ref) })
}

// load returns the part of its reservation that a serving task of a job uses now.
func (d *day) load(id string) float64 {
	return 0.48 * (1 + d.shape.swing*math.Sin(d.phase[id]+2*math.Pi*d.now.Sub(epoch0).Seconds()/20))
}

// pair returns how much headroom a core of a filler takes from a serving task.
func (d *day) pair(serving, filler string) float64 {
	key := [2]string{serving, filler}
	v, ok := d.effect[key]
	if !ok {
		v = 0.05
		if d.rng.Float64() < d.shape.heavy {
			v = d.shape.effect * (0.5 + d.rng.Float64())
		}
		d.effect[key] = v
	}
	return v
}

// work lets the runs of a worker work for a step.
func (d *day) work(h *dayHost) {
	all := h.sorted()
	room, asked := float64(h.cap.MilliCPU)/1000, 0.0
	for _, r := range all {
		demand := float64(r.spec.Demand.MilliCPU) / 1000
		switch {
		case r.ready.After(d.now):
		case r.spec.Filler:
			asked += demand * float64(int(h.pace)) / 100
		case r.spec.LongRunning:
			room -= d.load(r.Task.Job) * demand
		default:
			room -= demand
		}
	}
	share := 1.0
	if asked > 0 {
		share = min(1, max(0, room)/asked)
	}
	speed := map[grey]float64{sound: 1, failing: 1, hanging: 0, slow: 0.16}[h.grey]
	for _, r := range all {
		if r.ready.After(d.now) || r.spec.LongRunning {
			continue
		}
		r.used = float64(r.spec.Demand.MilliCPU) / 1000 * speed
		if r.spec.Filler {
			r.used *= share * float64(int(h.pace)) / 100
		}
		r.work -= r.used * dayStep.Seconds()
		if r.savedAt-r.work >= float64(r.spec.Demand.MilliCPU)/1000 {
			r.savedAt = r.work
		}
	}
	d.measure(h, all)
	for _, r := range all {
		switch {
		case !h.lease.After(d.now):
			d.end(h, r, link.Expired)
		case !r.failAt.IsZero() && !r.failAt.After(d.now):
			d.end(h, r, link.Failed)
		case !r.spec.LongRunning && r.work <= 0 && !r.ready.After(d.now):
			d.end(h, r, link.Done)
		case !r.stopAt.IsZero() && !r.stopAt.After(d.now):
			d.end(h, r, link.Stopped)
		}
	}
}

// measure sets the tails of the serving tasks on a worker, and the pace that its guard leaves to fillers.
func (d *day) measure(h *dayHost, all []*dayRun) {
	worst, fillers := 0.0, false
	for _, r := range all {
		fillers = fillers || r.spec.Filler
		if !r.spec.LongRunning || r.ready.After(d.now) {
			continue
		}
		headroom := dayTargetX * (1 - d.load(r.Task.Job)) / 2
		for _, f := range all {
			if f.spec.Filler {
				headroom -= d.pair(r.spec.Image, f.spec.Image) * f.used
			}
		}
		tail := dayTargetMS / max(0.1, headroom) * (1 + 0.05*d.rng.NormFloat64())
		if r.tail == 0 {
			r.tail = tail
		}
		r.tail += 0.2 * (tail - r.tail)
		worst = max(worst, r.tail/dayTargetMS)
	}
	switch {
	case worst < 1:
		h.overSince = time.Time{}
	case h.overSince.IsZero():
		h.overSince = d.now
	}
	if d.now.Sub(h.changed) < dayPaceSpan {
		return
	}
	before := h.pace
	switch {
	case !fillers:
		h.pace = 100
	case !h.overSince.IsZero() && d.now.Sub(h.overSince) >= dayPaceDelay:
		h.pace *= dayPaceFactor
	case worst < 1:
		h.pace = min(100, h.pace+dayPaceRecovery)
	}
	if h.pace < 10 {
		h.pace = 0
	}
	if h.pace != before {
		h.changed = d.now
	}
}

// guards lets the guards report, attach and renew leases.
func (d *day) guards() {
	owned := !d.ownerless.After(d.now)
	for _, h := range d.hosts {
		reach := owned && !h.cutUntil.After(d.now)
		if h.linked && !reach {
			h.linked = false
			if owned {
				d.core.Detach(d.now, h.id)
			}
		}
		switch {
		case !h.up && !h.back.IsZero() && !h.back.After(d.now):
			d.boot(h)
		case h.up && reach && !h.linked && !d.mute(h):
			d.attach(h)
		case h.linked:
			d.report(h)
		}
		if h.linked && !d.mute(h) {
			h.lease = d.now.Add(dayOptions.RunLease)
		}
	}
}

// attach links a guard to the owner.
func (d *day) attach(h *dayHost) {
	if h.crash != nil {
		d.reportCrash(h, *h.crash)
		h.crash = nil
	}
	for _, id := range d.core.SupersededWorkers(h.id, h.node) {
		d.core.RemoveWorker(d.now, id)
	}
	h.linked, h.told, h.lease = true, d.info(h), d.now.Add(dayOptions.RunLease)
	h.nextReport = d.now.Add(d.between(0, 400*time.Millisecond))
	d.core.Attach(d.now, h.node, h.told, d.listing(h, true))
	d.core.UpdatePressure(d.now, h.id, int(h.pace), false)
	d.trace("%s attaches", h.id)
}

// report sends the report of a linked guard.
func (d *day) report(h *dayHost) {
	if info := d.info(h); h.up && (info.Draining != h.told.Draining || info.Capacity != h.told.Capacity) {
		h.told = info
		d.core.Update(d.now, info)
	}
	mute := d.mute(h)
	switch {
	case mute:
	case !h.nextReport.After(d.now):
		h.nextReport = d.now.Add(400 * time.Millisecond)
		d.core.Report(d.now, h.id, d.listing(h, false))
	case h.next > h.reported:
		d.core.Ended(d.now, h.id, d.listing(h, false).Ended)
	}
	d.core.UpdatePressure(d.now, h.id, int(h.pace), mute)
}

// reportCrash reports a crash of a worker, and how long ago it was.
func (d *day) reportCrash(h *dayHost, report link.Crash) {
	report.AgoMS = max(1, d.now.Sub(h.crashedAt).Milliseconds())
	d.core.WorkerCrashed(d.now, report)
}

// crashHost crashes a worker; seen says whether its guard can tell.
func (d *day) crashHost(h *dayHost, seen bool, down time.Duration) {
	d.trace("%s crashes, seen=%t, back in %s", h.id, seen, down)
	report := link.Crash{Worker: h.id, Node: h.node, Service: d.info(h).Service}
	h.crashedAt = d.now
	for _, r := range h.sorted() {
		report.Runs = append(report.Runs, link.CrashedRun{RunRef: r.RunRef, AgeMS: d.now.Sub(r.began).Milliseconds()})
		if r.spec.LongRunning {
			d.lastEnd[r.Task] = d.now
		}
	}
	clear(h.runs)
	h.up, h.back = false, d.now.Add(down)
	d.upset(h.back)
	if seen {
		id := h.id
		d.after(d.between(100*time.Millisecond, 400*time.Millisecond), func() {
			if h.linked && h.id == id {
				h.linked = false
				d.reportCrash(h, report)
				d.core.RemoveWorker(d.now, id)
			} else {
				h.crash = &report
			}
		})
		return
	}
	if h.linked {
		h.linked = false
		d.core.Detach(d.now, h.id)
	}
}

// takeover starts a new owner from the stored records after a while without one.
func (d *day) takeover(gap time.Duration) {
	d.trace("takeover in %s", gap)
	d.epoch++
	epoch := d.epoch
	d.ownerless = d.now.Add(gap)
	d.upset(d.ownerless.Add(time.Second))
	if d.batch != nil {
		d.write(d.batch.Records[:d.rng.IntN(len(d.batch.Records)+1)])
	}
	d.batch, d.call = nil, nil
	for _, h := range d.hosts {
		h.linked = false
		h.cutUntil = maxTime(h.cutUntil, d.ownerless.Add(d.between(dayDelay, 900*time.Millisecond)))
	}
	d.after(gap, func() {
		if d.epoch == epoch {
			d.restore()
		}
	})
}

// maxTime returns the later of two times.
func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// restore loads the cell as a new owner.
func (d *day) restore() {
	d.core = New(dayOptions)
	for _, s := range d.specs {
		d.core.Submit(d.now, s)
	}
	var records []store.Record
	for _, key := range slices.Sorted(maps.Keys(d.log)) {
		if len(d.log[key]) > 0 {
			records = append(records, store.Record{Key: key, Value: d.log[key]})
		}
	}
	SortForRestore(records)
	for _, r := range records {
		if err := d.core.Restore(d.now, r.Key, r.Value); err != nil {
			panic(err)
		}
	}
	for _, id := range d.cancels {
		d.core.Cancel(d.now, id)
	}
}

// write stores records.
func (d *day) write(records []store.Record) {
	for _, r := range records {
		d.log[r.Key] = r.Value
	}
}

// advise lets the policy service answer, one call at a time; the next request is chosen when the service is free.
func (d *day) advise() {
	for {
		if d.call == nil && !d.beginCall() {
			return
		}
		c := d.call
		if c.ends.After(d.now) {
			return
		}
		a := Approval{Tickets: map[string]string{}, Valid: 3 * time.Second}
		for _, id := range c.req.Workers {
			if c.err == nil && d.allows(c.req.Step, id) {
				a.Tickets[id] = fmt.Sprintf("%s %d", id, d.now.Add(a.Valid).UnixMilli())
			}
		}
		d.call = nil
		d.core.HandleApproval(d.now, c.req, a, c.err)
	}
}

// beginCall sends the next request to the policy service, and reports whether there is one.
func (d *day) beginCall() bool {
	req, ok := d.core.NextApprovalRequest(d.now)
	if !ok {
		return false
	}
	d.call = &dayCall{req: req, ends: d.now.Add(req.Within)}
	if d.silentUntil.After(d.now) {
		d.call.ends, d.call.err = d.call.ends.Add(daySilentCall), errSilent
	}
	return true
}

// errSilent is the answer of a policy service that is silent.
var errSilent = errors.New("silent")

// allows reports whether the policy allows a worker to run a step; that doesn't change.
func (d *day) allows(step, id string) bool {
	sum := uint64(14695981039346656037)
	for _, b := range []byte(step + " " + id) {
		sum = (sum ^ uint64(b)) * 1099511628211
	}
	return sum>>20%10 < 7
}

// own lets the owner work for a step.
func (d *day) own() {
	if d.ownerless.After(d.now) {
		return
	}
	d.core.Schedule(d.now)
	if d.batch == nil {
		if b, ok := d.core.Flush(d.now); ok {
			d.batch = &b
			d.storeSoon(d.core, b.Seq)
		}
	}
	d.deliver(d.core.Commands())
	d.advise()
	for _, r := range d.core.Decisions() {
		d.trace("  %s %s %s", r.Decision, r.Subject, r.Reason)
	}
	d.core.Samples()
}

// storeSoon answers the append of a batch.
func (d *day) storeSoon(c *Core, seq int64) {
	d.after(max(dayDelay, d.storeUntil.Sub(d.now)), func() {
		if d.core != c || d.batch == nil || d.batch.Seq != seq || d.ownerless.After(d.now) {
			return
		}
		d.write(d.batch.Records)
		d.batch = nil
		c.Stored(d.now, seq)
		d.deliver(c.Commands())
	})
}

// step advances the day.
func (d *day) step() {
	d.now = d.now.Add(dayStep)
	queue := d.queue
	d.queue = nil
	for _, l := range queue {
		if l.at.After(d.now) {
			d.queue = append(d.queue, l)
		} else {
			l.do()
		}
	}
	for _, h := range d.hosts {
		if h.grey != sound && !h.greyUntil.After(d.now) {
			h.grey = sound
		}
		if h.up && !h.drainUntil.IsZero() && !h.drainUntil.After(d.now) {
			d.leave(h)
		}
		if h.up {
			d.work(h)
		}
	}
	d.guards()
	d.own()
}

// leave ends a drained worker; a new one comes in its place after a while.
func (d *day) leave(h *dayHost) {
	for _, r := range h.sorted() {
		if r.spec.LongRunning {
			d.lastEnd[r.Task] = d.now
		}
	}
	clear(h.runs)
	h.up, h.back = false, d.now.Add(d.between(time.Second, 8*time.Second))
	d.upset(h.back)
	if h.linked {
		h.linked = false
		d.core.RemoveWorker(d.now, h.id)
	}
}
