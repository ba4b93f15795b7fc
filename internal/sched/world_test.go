package sched

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
	"github.com/crocusspring/crocusspring/internal/resource"
	"github.com/crocusspring/crocusspring/internal/store"
)

// options are those of the tests; the times are short so that leases expire often.
var options = Options{RunLease: time.Second, RunLeaseExtension: time.Second, Margin: 100 * time.Millisecond, JobRetention: time.Hour}

// fullCapacity is the capacity of a worker at its start; it shrinks and grows while it runs.
var fullCapacity = resource.Vector{MilliCPU: 4000, MemoryMB: 8000}

// executor models a worker: it carries out commands, keeps ends until they are acknowledged, and ends all runs
// when its lease expires.
type executor struct {
	id   string
	node string
	// cap is the capacity, told the one that the core knows.
	cap, told    resource.Vector
	running      map[link.RunRef]*modelRun
	ended        []link.RunEnd
	next         int64
	acknowledged int64
	// fence is the highest run stopped or ended of each task.
	fence map[job.TaskID]int
	// until is when the lease ends; up is true while this incarnation runs.
	until time.Time
	up    bool
	// expiries counts how often the lease has expired, and expiriesAtEnd holds that count at the time of each end.
	expiries      int
	expiriesAtEnd map[int64]int
}

// modelRun is a run of the model.
type modelRun struct {
	left    int
	started time.Time
}

// world models a cell with its store, its workers and the messages in transit between them.
type world struct {
	t    *rapid.T
	now  time.Time
	core *Core
	opt  Options
	// log holds the latest stored record by key; a takeover reads it.
	log     map[string][]byte
	specs   []*job.Spec
	cancels map[string]bool
	execs   []*executor
	// attached names the incarnation that each node's link represents.
	attached map[string]*executor
	inFlight *Batch
	// drained holds the data centres that operators have drained; each node is in one of its own.
	drained map[string]bool
	// late holds starts that will be carried out although their link is gone.
	late []lateStart
	// done marks the tasks with an acknowledged successful end, failed counts the acknowledged failures.
	done    map[job.TaskID]bool
	failed  map[job.TaskID]int
	counter int
	// deadly marks the tasks that crash each worker that starts them, crashed counts the crashes under each task, and
	// startsAfter its starts after the third.
	deadly      map[job.TaskID]bool
	crashed     map[job.TaskID]int
	startsAfter map[job.TaskID]int
	// reports are the crashes that the guard of each node has seen.
	reports map[string][]link.Crash
}

// lateStart is a start command in transit.
type lateStart struct {
	to    *executor
	start link.Start
	until time.Time
	// capacity is the one that the core knew when it sent the command.
	capacity resource.Vector
}

// newWorld returns a world with workers and no jobs.
func newWorld(t *rapid.T, workers int) *world {
	w := &world{
		t: t, now: time.Unix(1_800_000_000, 0), log: map[string][]byte{}, cancels: map[string]bool{},
		attached: map[string]*executor{}, drained: map[string]bool{}, done: map[job.TaskID]bool{}, failed: map[job.TaskID]int{},
		deadly: map[job.TaskID]bool{}, crashed: map[job.TaskID]int{}, startsAfter: map[job.TaskID]int{}, reports: map[string][]link.Crash{},
	}
	// A small limit lets the progress of jobs be stored in parts.
	w.opt = options
	w.opt.RecordBytes = rapid.SampledFrom([]int{0, 700}).Draw(t, "record limit")
	w.core = New(w.opt)
	for i := range workers {
		w.boot(fmt.Sprintf("node-%d", i))
	}
	return w
}

// boot starts a new incarnation of a node's worker.
func (w *world) boot(node string) *executor {
	w.counter++
	id := fmt.Sprintf("life-%d", w.counter)
	if w.counter%2 == 0 {
		// Every second incarnation has the ID of the one two before it.
		id = fmt.Sprintf("worker-of-%s@%d", node, w.counter)
	}
	e := &executor{
		id: id, node: node, cap: fullCapacity, told: fullCapacity,
		running: map[link.RunRef]*modelRun{}, fence: map[job.TaskID]int{}, up: true, until: w.now,
		expiriesAtEnd: map[int64]int{},
	}
	w.execs = append(w.execs, e)
	return e
}

// info describes an incarnation as its guard would.
func (e *executor) info() link.Worker {
	return link.Worker{ID: e.id, Service: "pool", Capacity: e.cap, Kind: "a", Rack: "r-" + e.node, DataCentre: "dc-" + e.node}
}

// modelListedEnds is how many ends an incarnation of the model lists at a time.
const modelListedEnds = 3

// listing returns the runs and ends that an incarnation lists.
func (e *executor) listing() link.Listing {
	var l link.Listing
	for ref, r := range e.running {
		l.Running = append(l.Running, link.RunStatus{RunRef: ref, Percent: float64(100 - r.left*25)})
	}
	slices.SortFunc(l.Running, func(a, b link.RunStatus) int { return strings.Compare(a.Task.String(), b.Task.String()) })
	for _, end := range e.ended {
		if end.Number <= e.acknowledged {
			continue
		}
		if len(l.Ended) == modelListedEnds {
			l.EndsCut = true
			break
		}
		l.Ended = append(l.Ended, end)
	}
	return l
}

// end ends a run on an incarnation.
func (e *executor) end(ref link.RunRef, o link.Outcome) {
	delete(e.running, ref)
	e.next++
	e.fence[ref.Task] = max(e.fence[ref.Task], ref.Run)
	e.expiriesAtEnd[e.next] = e.expiries
	e.ended = append(e.ended, link.RunEnd{Number: e.next, RunRef: ref, Outcome: o})
}

// start carries a start command out, unless it came too late.
func (w *world) start(e *executor, s link.Start, until time.Time, capacity resource.Vector, late bool) bool {
	if !e.up || s.Run <= e.fence[s.Task] || !w.now.Before(until) {
		return false
	}
	if until.After(e.until) {
		e.until = until
	}
	if e.running[s.RunRef] != nil {
		return true
	}
	w.checkStart(e, s, capacity, late)
	if w.drained[e.info().DataCentre] && !late {
		w.t.Fatalf("%s started on %s in a drained data centre", s.Task, e.id)
	}
	e.running[s.RunRef] = &modelRun{left: 4, started: w.now}
	if w.deadly[s.Task] {
		w.deadlyStarted(e, s.Task, late)
	}
	return true
}

// checkStart checks a start against the invariants.
func (w *world) checkStart(e *executor, s link.Start, capacity resource.Vector, late bool) {
	spec := w.spec(s.Task.Job)
	if spec == nil {
		w.t.Fatalf("%s started, but no such job was submitted", s.Task)
	}
	step := spec.Steps[s.Task.Step]
	// Copies of speculative tasks may run at the same time, and one that was commanded before the success of
	// another may start after it.
	late = late && step.Speculative
	if w.done[s.Task] && !late {
		w.t.Fatalf("%s run %d started on %s after its success was acknowledged", s.Task, s.Run, e.id)
	}
	if !step.LongRunning && !late && w.failed[s.Task] >= spec.Policy.MaxAttempts {
		w.t.Fatalf("%s run %d started after %d failures", s.Task, s.Run, w.failed[s.Task])
	}
	for _, other := range w.execs {
		for ref := range other.running {
			if other.up && ref.Task == s.Task && ref != s.RunRef && !step.Speculative {
				w.t.Fatalf("%s runs twice: run %d on %s and run %d on %s", s.Task, ref.Run, other.id, s.Run, e.id)
			}
		}
	}
	for _, d := range step.DependsOn {
		for i := range spec.Steps[d].Count {
			if id := (job.TaskID{Job: s.Task.Job, Step: d, Index: i}); !w.succeeded(id) {
				w.t.Fatalf("%s started before %s had succeeded", s.Task, id)
			}
		}
	}
	used := spec.Steps[s.Task.Step].Reserve()
	same := 1
	for ref := range e.running {
		used = used.Add(w.spec(ref.Task.Job).Steps[ref.Task.Step].Reserve())
		if ref.Task.Job == s.Task.Job && ref.Task.Step == s.Task.Step {
			same++
		}
	}
	if !used.Fits(capacity) {
		w.t.Fatalf("%s exceeds the capacity of %s: %s of %s", s.Task, e.id, used, capacity)
	}
	if step.AntiAffinity > 0 && same > step.AntiAffinity {
		w.t.Fatalf("%s is number %d of its step on %s, %d allowed", s.Task, same, e.id, step.AntiAffinity)
	}
}

// succeeded reports whether some incarnation listed a success of a task.
func (w *world) succeeded(id job.TaskID) bool {
	for _, e := range w.execs {
		for _, end := range e.ended {
			same := end.Task == id || w.stepOf(id).Gang && end.Task.Job == id.Job && end.Task.Step == id.Step
			if same && end.Outcome == link.Done {
				return true
			}
		}
	}
	return w.done[id]
}

// spec returns a submitted job.
func (w *world) spec(id string) *job.Spec {
	for _, s := range w.specs {
		if s.ID == id {
			return s
		}
	}
	return nil
}

// deliver carries commands out. Some are lost, some are delayed.
func (w *world) deliver(commands Commands, faults *rapid.Generator[int]) {
	for _, id := range slices.Sorted(maps.Keys(commands)) {
		d := commands[id]
		e := w.incarnation(id)
		if e == nil || w.attached[e.node] != e {
			continue
		}
		for _, s := range d.Start {
			w.command(e, s, faults.Draw(w.t, "fate of a start"))
		}
		for _, ref := range d.Stop {
			if faults.Draw(w.t, "fate of a stop") == 0 {
				continue
			}
			w.stop(e, ref)
		}
		if d.AckedEnd > e.acknowledged {
			w.acknowledge(e, d.AckedEnd)
		}
	}
}

// acknowledge lets an incarnation drop ends that the core has acknowledged.
func (w *world) acknowledge(e *executor, upTo int64) {
	for _, end := range e.ended {
		if end.Number <= e.acknowledged || end.Number > upTo {
			continue
		}
		switch end.Outcome {
		case link.Done:
			// A success is final unless the lease expired before it was acknowledged.
			w.done[end.Task] = w.done[end.Task] || e.expiriesAtEnd[end.Number] == e.expiries
		case link.Failed:
			w.failed[end.Task]++
		}
	}
	e.acknowledged = upTo
}

// command delivers a start command: 0 delays it without a response, 1 refuses it, and 2 delays it while the
// guard that sent it crashes, so that it is unresolved when the next guard attaches.
func (w *world) command(e *executor, s link.Start, fate int) {
	until := w.now.Add(options.RunLease)
	switch fate {
	case 0:
		// The guard resolves an unanswered start with a stop, so that it can't begin after that.
		w.late = append(w.late, lateStart{e, s, until, e.told})
		w.stop(e, s.RunRef)
	case 2:
		w.late = append(w.late, lateStart{e, s, until, e.told})
		w.detach(e.node)
	case 1:
		w.core.Ended(w.now, e.id, []link.RunEnd{{RunRef: s.RunRef, Outcome: link.Absent, Reason: "room"}})
	default:
		w.start(e, s, until, e.told, false)
	}
}

// stop stops a run on command; a run that isn't there is reported absent.
func (w *world) stop(e *executor, ref link.RunRef) {
	if e.running[ref] != nil {
		e.end(ref, link.Stopped)
		w.breakGang(ref)
		return
	}
	e.fence[ref.Task] = max(e.fence[ref.Task], ref.Run)
	for _, end := range e.ended {
		if end.RunRef == ref {
			return
		}
	}
	w.core.Ended(w.now, e.id, []link.RunEnd{{RunRef: ref, Outcome: link.Absent}})
}

// incarnation returns an incarnation by its ID.
func (w *world) incarnation(id string) *executor {
	for _, e := range w.execs {
		if e.id == id {
			return e
		}
	}
	return nil
}

// step advances the time: runs progress, leases expire, and links renew the leases of their workers.
func (w *world) step(d time.Duration) {
	w.now = w.now.Add(d)
	for _, e := range w.execs {
		if !e.up {
			continue
		}
		if !w.now.Before(e.until) {
			e.expiries++
		}
		expired := !w.now.Before(e.until)
		if w.attached[e.node] == e {
			e.until = w.now.Add(options.RunLease)
		}
		for _, ref := range refs(e) {
			r := e.running[ref]
			if r == nil {
				continue
			}
			switch r.left--; {
			case expired:
				e.end(ref, link.Expired)
				w.breakGang(ref)
			case r.left <= 0 && !w.spec(ref.Task.Job).Steps[ref.Task.Step].LongRunning:
				w.finish(e, ref)
			}
		}
	}
	w.core.Schedule(w.now)
	w.checkFailures()
}

// refs returns the runs of an incarnation in order.
func refs(e *executor) []link.RunRef {
	var out []link.RunRef
	for ref := range e.running {
		out = append(out, ref)
	}
	slices.SortFunc(out, func(a, b link.RunRef) int { return strings.Compare(a.Task.String(), b.Task.String()) })
	return out
}

// finish ends a run by itself. The members of a gang succeed together, and one failure ends them all.
func (w *world) finish(e *executor, ref link.RunRef) {
	outcome, others := link.Done, link.Done
	if rapid.IntRange(0, 5).Draw(w.t, "outcome") == 0 {
		outcome, others = link.Failed, link.GangBroken
	}
	if w.stepOf(ref.Task).Gang && !w.together(ref) {
		e.running[ref].left = 1
		return
	}
	e.end(ref, outcome)
	if w.stepOf(ref.Task).Gang {
		w.endMembers(ref, others)
	}
}

// stepOf returns the step of a task.
func (w *world) stepOf(id job.TaskID) *job.Step { return &w.spec(id.Job).Steps[id.Step] }

// attach connects a node's newest incarnation.
func (w *world) attach(node string) {
	var newest *executor
	for _, e := range w.execs {
		if e.node == node {
			newest = e
		}
	}
	if newest == nil || !newest.up || w.attached[node] == newest {
		return
	}
	for _, r := range w.reports[node] {
		w.core.WorkerCrashed(w.now, r)
	}
	for _, other := range w.core.SupersededWorkers(newest.id, node) {
		w.core.RemoveWorker(w.now, other)
	}
	w.attached[node] = newest
	newest.told = newest.cap
	newest.until = w.now.Add(options.RunLease)
	w.core.Attach(w.now, node, newest.info(), newest.listing())
}

// setDrains passes the drains to the core, which may not know them.
func (w *world) setDrains(known bool) { w.core.SetDrains(maps.Clone(w.drained), known) }

// detach cuts a node's link.
func (w *world) detach(node string) {
	if e := w.attached[node]; e != nil {
		delete(w.attached, node)
		w.core.Detach(w.now, e.id)
	}
}

// flush hands the next batch to the store, which doesn't respond yet.
func (w *world) flush() {
	if w.inFlight != nil {
		return
	}
	if b, ok := w.core.Flush(w.now); ok {
		w.inFlight = &b
	}
}

// stored confirms the batch in flight.
func (w *world) stored() {
	if w.inFlight == nil {
		return
	}
	w.write(w.inFlight.Records)
	w.core.Stored(w.now, w.inFlight.Seq)
	w.inFlight = nil
}

// write puts records into the log.
func (w *world) write(records []store.Record) {
	for _, r := range records {
		if !fits(r, w.opt.RecordBytes) {
			w.t.Fatalf("record %s has %d bytes, at most %d are stored", r.Key, r.Size(), w.opt.RecordBytes)
		}
		w.log[r.Key] = r.Value
	}
}

// takeover starts a new owner from the stored records. Of the batch in flight some records were stored, from the first on:
// it may take several appends.
func (w *world) takeover() {
	if w.inFlight != nil {
		n := rapid.IntRange(0, len(w.inFlight.Records)).Draw(w.t, "stored records")
		w.write(w.inFlight.Records[:n])
	}
	w.inFlight = nil
	for node := range w.attached {
		delete(w.attached, node)
	}
	w.core = New(w.opt)
	w.setDrains(true)
	for _, s := range w.specs {
		w.core.Submit(w.now, s)
	}
	var records []store.Record
	for _, key := range slices.Sorted(maps.Keys(w.log)) {
		if len(w.log[key]) > 0 {
			records = append(records, store.Record{Key: key, Value: w.log[key]})
		}
	}
	SortForRestore(records)
	for _, r := range records {
		if err := w.core.Restore(w.now, r.Key, r.Value); err != nil {
			w.t.Fatal(err)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(w.cancels)) {
		w.core.Cancel(w.now, id)
	}
}
