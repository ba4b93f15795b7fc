package sched_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
	"github.com/crocusspring/crocusspring/internal/resource"
)

// cellStartMS is the time of day at which a run begins, in Unix milliseconds.
const cellStartMS = 1_800_000_000_000

// cellWorld is a cell in one process: machines with workers and guards, owners, and a store, on one fake clock.
type cellWorld struct {
	cellClock
	seed     uint64
	machines []*cellMachine
	// owners are all owners so far; the last one is the newest.
	owners []*cellOwner
	// records is the newest value of each key of the runs, fence the epoch of the newest fence there.
	records          map[string][]byte
	fence            int64
	storeSilentUntil int64
	jobLog           []cellJobEntry
	counter          int
	// removed means that a machine has gone for good.
	removed bool
	// The shape of this run: whether workers tell their birth, whether they refuse what doesn't fit, how many ends they list at
	// a time, the longest time a stop takes, the share of runs that fail, and the limits of the store.
	births, rejectsOverload, capsVary bool
	listedEnds                        int
	stopMS                            int64
	failureShare                      float64
	recordBytes, callBytes            int
	// touchedAt is the end of the last thing that was injected.
	touchedAt int64
	judge     *cellJudge
	findings  []cellFinding
}

// cellFinding is a broken promise.
type cellFinding struct {
	kind, text string
	at         int64
	// calmMS is for how long nothing had been injected.
	calmMS int64
}

// newCellWorld returns a world whose shape follows from its seed.
func newCellWorld(seed uint64, trace func(string)) *cellWorld {
	w := &cellWorld{seed: seed, records: map[string][]byte{}}
	w.rng, w.trace = rand.New(rand.NewPCG(seed, 40)), trace
	w.births = w.chance(0.7)
	w.rejectsOverload = w.chance(0.5)
	w.listedEnds = []int{500, 3, 3}[w.rng.IntN(3)]
	w.stopMS = []int64{60, 300, 1000}[w.rng.IntN(3)]
	w.failureShare = []float64{0, 0.02}[w.rng.IntN(2)]
	w.recordBytes = []int{0, 60_000, 1500}[w.rng.IntN(3)]
	w.callBytes = []int{0, 3000}[w.rng.IntN(2)]
	w.capsVary = w.chance(0.3)
	w.judge = newCellJudge(w)
	for n := range int(w.between(3, 7)) {
		m := &cellMachine{w: w, n: n, node: fmt.Sprintf("node-%d", n), offset: w.between(1000, 9_000_000)}
		w.machines = append(w.machines, m)
	}
	w.takeOver(0)
	for _, m := range w.machines {
		m.boot(false)
		m.bootGuard()
	}
	w.judge.tick()
	return w
}

// time returns the time of the fake clock.
func (w *cellWorld) time() time.Time { return time.UnixMilli(cellStartMS + w.now) }

// unix returns the time of day in Unix milliseconds.
func (w *cellWorld) unix() int64 { return cellStartMS + w.now }

// touch notes that something is injected from now on for some milliseconds.
func (w *cellWorld) touch(ms int64) { w.touchedAt = max(w.touchedAt, w.now+ms) }

// finding records a broken promise; one of each kind is enough.
func (w *cellWorld) finding(kind, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if strings.Contains(text, "alone=true") {
		kind += " isolated"
	}
	for _, f := range w.findings {
		if f.kind == kind {
			return
		}
	}
	f := cellFinding{kind, text, w.now, w.now - w.touchedAt}
	w.findings = append(w.findings, f)
	w.logf("FINDING %s: %s", kind, f.text)
}

// newest returns the newest owner.
func (w *cellWorld) newest() *cellOwner { return w.owners[len(w.owners)-1] }

// takeOver lets a new owner take the cell. The one before goes on for some milliseconds, if it lives.
func (w *cellWorld) takeOver(goesOnMS int64) {
	for _, o := range w.owners {
		if o.replacedAt == 0 {
			o.leaseOverAt, o.replacedAt = w.now, w.now+1+goesOnMS
		}
	}
	o := &cellOwner{w: w, epoch: int64(len(w.owners) + 1), node: w.machines[len(w.machines)-1].node, links: map[string]*cellPeer{}}
	w.owners = append(w.owners, o)
	w.logf("owner %d takes the cell", o.epoch)
	o.load()
}

// guardsFollow lets all guards follow the newest owner, each after its own delay of at most some milliseconds.
func (w *cellWorld) guardsFollow(maxMS int64) {
	o := w.newest()
	for _, m := range w.machines {
		w.after(w.between(0, maxMS), func() {
			if g := m.guard; g != nil && (g.owner == nil || g.owner.epoch < o.epoch) {
				g.owner = o
				w.signal(&g.changed)
			}
		})
	}
}

// step returns the step of a task.
func (w *cellWorld) step(id job.TaskID) *job.Step { return &w.judge.jobs[id.Job].spec.Steps[id.Step] }

// submit accepts a job.
func (w *cellWorld) submit(spec *job.Spec) {
	spec.AcceptedMS = w.unix()
	if err := spec.Check(); err != nil {
		panic(err)
	}
	w.judge.add(spec)
	w.logf("job %s accepted: %s", spec.ID, describeSteps(spec))
	w.jobLog = append(w.jobLog, cellJobEntry{spec: spec})
}

// cancel cancels a job.
func (w *cellWorld) cancel(id string) {
	j := w.judge.jobs[id]
	j.cancelled = true
	w.logf("job %s cancelled", id)
	w.jobLog = append(w.jobLog, cellJobEntry{spec: j.spec, cancel: true})
}

// describeSteps describes the steps of a job.
func describeSteps(spec *job.Spec) string {
	var out []string
	for i := range spec.Steps {
		s := &spec.Steps[i]
		out = append(out, fmt.Sprintf("%dx%dm/%dMB/%dms fill=%t lasts=%t spec=%t gang=%t after=%v", s.Count, s.Demand.MilliCPU, s.Demand.MemoryMB, s.EstimateMS,
			s.Filler, s.LongRunning, s.Speculative, s.Gang, s.DependsOn))
	}
	return strings.Join(out, "; ")
}

// drawSpec draws a job: of several steps, a wide one that fills, one that lasts, or a short one.
func (w *cellWorld) drawSpec(id string) *job.Spec {
	s := &job.Spec{
		ID: id, Payload: "p",
		Policy: job.Policy{Queue: "q", Service: "pool", Priority: w.rng.IntN(3), MaxAttempts: 4, Stretch: 2, LatencyTargetMS: 2000},
	}
	switch w.rng.IntN(6) {
	case 0:
		s.Steps = []job.Step{{
			Count: int(w.between(1, 4)), Demand: resource.Vector{MilliCPU: w.between(2, 10) * 100, MemoryMB: 500}, LongRunning: true, MayMiss: 1,
		}}
	case 1:
		s.Steps = []job.Step{{
			Count: int(w.between(10, 30)), Demand: resource.Vector{MilliCPU: w.between(5, 24) * 100, MemoryMB: w.between(2, 12) * 100},
			EstimateMS: w.between(300, 3000), Filler: true, Checkpoints: w.chance(0.5), Image: "f", MayMiss: job.NoMissLimit,
		}}
	case 2:
		s.Steps = []job.Step{{
			Count: int(w.between(1, 3)), Demand: resource.Vector{MilliCPU: w.between(1, 5) * 100, MemoryMB: 300}, EstimateMS: w.between(30, 400),
			Speculative: w.chance(0.3), MayMiss: job.NoMissLimit,
		}}
	case 3:
		s.Steps = []job.Step{{
			Count: int(w.between(2, 3)), Demand: resource.Vector{MilliCPU: w.between(2, 8) * 100, MemoryMB: 400}, EstimateMS: w.between(100, 2000), Gang: true,
			Checkpoints: true, MayMiss: job.NoMissLimit,
		}}
	case 4:
		s.Steps = []job.Step{{
			Count: int(w.between(5, 12)), Demand: resource.Vector{MilliCPU: w.between(2, 15) * 100, MemoryMB: 400}, EstimateMS: w.between(500, 6000), Checkpoints: true,
			Speculative: w.chance(0.5), AntiAffinity: int(w.between(0, 3)), MayMiss: job.NoMissLimit,
		}}
	default:
		for i := range int(w.between(2, 4)) {
			st := job.Step{
				Count: int(w.between(1, 8)), Demand: resource.Vector{MilliCPU: w.between(2, 20) * 100, MemoryMB: w.between(2, 15) * 100},
				EstimateMS: w.between(100, 2500), Speculative: w.chance(0.3), Filler: w.chance(0.3), MayMiss: job.NoMissLimit,
			}
			if i > 0 {
				st.DependsOn = []int{i - 1}
			}
			s.Steps = append(s.Steps, st)
		}
	}
	return s
}

// cellJob is what the judge knows of an accepted job.
type cellJob struct {
	spec       *job.Spec
	acceptedAt int64
	cancelled  bool
	// cancelledAt is when the cancellation of a job that is stored late was acknowledged; 0 for others.
	cancelledAt int64
	// running counts its runs on workers, idleSince is since when it stands still though it needn't; 0 while it doesn't.
	running   int
	idleSince int64
	tasks     []*cellTask
	byID      map[job.TaskID]*cellTask
	over      bool
}

// cellTask is what the judge knows of a task.
type cellTask struct {
	id        job.TaskID
	step      *job.Step
	running   int
	lastRunAt int64
	idleSince int64
	// done are the successes: the worker that listed each, and its number.
	done []cellSuccess
}

// cellSuccess is the success of a run on a worker.
type cellSuccess struct {
	e      *cellExec
	number int64
}

// succeeded reports whether a success of the task was acknowledged, or is on a worker that can list it. One on a worker that has
// stopped answering for good is lost with the worker's lease: nobody can know of it, and the task must run again.
func (t *cellTask) succeeded() bool {
	return slices.ContainsFunc(t.done, func(s cellSuccess) bool { return s.number <= s.e.acked || s.e.up && !s.e.m.silentForGood() })
}

const (
	// judgeTickMS is the time between two looks of the judge.
	judgeTickMS = 100
	// lostMS is how long a job may stand still, calmBeforeMS how long before that must be calm, and lastingMS the time after the
	// last run of a task that lasts from which on it must run.
	lostMS       = 3000
	calmBeforeMS = 4000
	lastingMS    = 6000
)

// cellJudge watches what runs on the workers.
type cellJudge struct {
	w    *cellWorld
	jobs map[string]*cellJob
	ids  []string
}

// newCellJudge returns a judge without jobs.
func newCellJudge(w *cellWorld) *cellJudge { return &cellJudge{w: w, jobs: map[string]*cellJob{}} }

// add adds a job.
func (j *cellJudge) add(spec *job.Spec) {
	n := &cellJob{spec: spec, acceptedAt: j.w.now, byID: map[job.TaskID]*cellTask{}}
	for i := range spec.Steps {
		for k := range spec.Steps[i].Count {
			t := &cellTask{id: job.TaskID{Job: spec.ID, Step: i, Index: k}, step: &spec.Steps[i], lastRunAt: j.w.now}
			n.tasks = append(n.tasks, t)
			n.byID[t.id] = t
		}
	}
	j.jobs[spec.ID] = n
	j.ids = append(j.ids, spec.ID)
}

// runBegan notes that a run has begun.
func (w *cellWorld) runBegan(_ *cellExec, ref link.RunRef) {
	n := w.judge.jobs[ref.Task.Job]
	n.running++
	t := n.byID[ref.Task]
	t.running++
	n.idleSince, t.idleSince = 0, 0
	if t.running > 1 && !t.step.Speculative {
		w.finding("twice", "task %s runs twice", ref.Task)
	}
	if n.cancelledAt > 0 && w.now > n.cancelledAt+cancelMS {
		w.finding("unasked", "task %s starts %d ms after the cancellation of its job", ref.Task, w.now-n.cancelledAt)
	}
}

// runGone notes that a run has ended.
func (w *cellWorld) runGone(_ *cellExec, ref link.RunRef) {
	n := w.judge.jobs[ref.Task.Job]
	n.running--
	t := n.byID[ref.Task]
	t.running--
	t.lastRunAt = w.now
}

// succeeded notes the success of a run.
func (w *cellWorld) succeeded(e *cellExec, ref link.RunRef, number int64) {
	t := w.judge.jobs[ref.Task.Job].byID[ref.Task]
	t.done = append(t.done, cellSuccess{e, number})
}

// cellRoom is what is free on the workers that are fine.
type cellRoom struct {
	free          []resource.Vector
	used, all     resource.Vector
	fine, workers int
}

// fine reports whether a worker and its guard are up and nothing separates them.
func (m *cellMachine) fine() bool {
	return m.exec != nil && m.guard != nil && !m.exec.draining && m.w.now >= m.exec.frozenUntil && m.w.now >= m.guard.frozenUntil && m.w.now >= m.cutUntil && m.w.now >= m.apartUntil && m.w.now >= m.callFaultsUntil
}

// room returns the room of the workers.
func (j *cellJudge) room() cellRoom {
	var r cellRoom
	for _, m := range j.w.machines {
		e := m.exec
		if e == nil {
			continue
		}
		r.workers++
		r.all = r.all.Add(e.cap)
		free := e.cap
		for _, run := range e.running {
			free = free.Sub(run.step.Demand)
			r.used = r.used.Add(run.step.Demand)
		}
		if m.fine() {
			r.fine++
			r.free = append(r.free, free)
		}
	}
	return r
}

// fitsTwice reports whether there is room for two tasks.
func (r *cellRoom) fitsTwice(need resource.Vector) bool {
	n := 0
	for _, f := range r.free {
		for ; need.Fits(f) && n < 2; n++ {
			f = f.Sub(need)
		}
	}
	return n >= 2
}

// underHalf reports whether less than half of the capacity is in use.
func (r *cellRoom) underHalf() bool {
	return 2*r.used.MilliCPU < r.all.MilliCPU && 2*r.used.MemoryMB < r.all.MemoryMB
}

// tick looks at all jobs.
func (j *cellJudge) tick() {
	w := j.w
	w.after(judgeTickMS, j.tick)
	calm := w.now-w.touchedAt >= calmBeforeMS
	core := w.newest().core
	if core != nil {
		for _, s := range core.StrayTasks() {
			w.finding("stray", "%s", s)
		}
	}
	if !calm || core == nil {
		for _, id := range j.ids {
			j.jobs[id].reset()
		}
		return
	}
	room := j.room()
	for _, id := range j.ids {
		j.judge(j.jobs[id], &room)
	}
}

// reset forgets for how long a job has stood still.
func (n *cellJob) reset() {
	n.idleSince = 0
	for _, t := range n.tasks {
		t.idleSince = 0
	}
}

// judge looks at one job.
func (j *cellJudge) judge(n *cellJob, room *cellRoom) {
	w := j.w
	if n.over || n.cancelled {
		return
	}
	core := w.newest().core
	v, _ := core.Job(n.spec.ID)
	if v.State.Terminal() {
		n.over = true
		return
	}
	idle := false
	for _, t := range n.tasks {
		if t.step.LongRunning {
			j.judgeLasting(n, t, room)
		}
		if n.running == 0 && !idle {
			idle = j.turnHasCome(n, t) && room.fitsTwice(t.step.Demand) && room.underHalf()
		}
	}
	if !idle {
		n.idleSince = 0
		return
	}
	if n.idleSince == 0 {
		n.idleSince = w.now
	}
	if w.now-n.idleSince >= lostMS {
		w.finding("lost", "job %s has nothing running since %.1f\n%s", n.spec.ID, float64(n.idleSince)/1000, w.describe(n.spec.ID))
	}
}

// judgeLasting looks at a task that lasts.
func (j *cellJudge) judgeLasting(n *cellJob, t *cellTask, room *cellRoom) {
	w := j.w
	if t.running > 0 || w.now < t.lastRunAt+lastingMS || !j.turnHasCome(n, t) || !room.fitsTwice(t.step.Demand) {
		t.idleSince = 0
		return
	}
	if t.idleSince == 0 {
		t.idleSince = w.now
	}
	if w.now-t.idleSince >= lostMS {
		w.finding("lasting", "task %s doesn't run since %.1f\n%s", t.id, float64(t.lastRunAt)/1000, w.describe(n.spec.ID))
	}
}

// turnHasCome reports whether a task needs a run and all steps that it depends on have succeeded.
func (j *cellJudge) turnHasCome(n *cellJob, t *cellTask) bool {
	core := j.w.newest().core
	if t.succeeded() || core.TaskDone(t.id) {
		return false
	}
	for _, d := range t.step.DependsOn {
		for _, o := range n.tasks {
			if o.id.Step == d && !o.succeeded() && !core.TaskDone(o.id) {
				return false
			}
		}
	}
	return true
}

// describe describes a job and all workers as the newest owner and the workers themselves see them.
func (w *cellWorld) describe(id string) string {
	core := w.newest().core
	out := []string{fmt.Sprintf("owner %d: job %s", w.newest().epoch, id), core.DescribeTasks(id), core.DescribeWorkers()}
	for _, m := range w.machines {
		line := fmt.Sprintf("  %s guard=%t fine=%t", m.node, m.guard != nil, m.fine())
		if e := m.exec; e != nil {
			line += fmt.Sprintf(" worker=%s draining=%t runs=%v ends=%d", e.incarnation(), e.draining, e.refs(), len(e.ended))
		}
		out = append(out, line)
	}
	return strings.Join(out, "\n")
}

// openJobs returns the jobs that haven't ended, in a fixed order.
func (j *cellJudge) openJobs() []*cellJob {
	var out []*cellJob
	for _, id := range slices.Sorted(maps.Keys(j.jobs)) {
		if n := j.jobs[id]; !n.over && !n.cancelled {
			out = append(out, n)
		}
	}
	return out
}
