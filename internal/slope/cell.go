package slope

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/internal/announce"
	"github.com/crocusspring/crocusspring/internal/cell"
	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/node"
	"github.com/crocusspring/crocusspring/internal/record"
	"github.com/crocusspring/crocusspring/internal/resource"
	"github.com/crocusspring/crocusspring/internal/standin/workerstand"
)

const (
	// coreTick is the time between two ticks of a core, the same as in its driver.
	coreTick = 50 * time.Millisecond
	// coreWindow is the simulated time over which steps are timed.
	coreWindow = 10 * time.Second
	// maxRounds bounds the wait for a state of the core.
	maxRounds = 2000
)

// coreRig drives one cell core without a network: the stream is a slice and the workers are stand-ins.
type coreRig struct {
	core    *cell.Core
	now     time.Time
	entries []logsvc.Entry
	// sent is how many entries the core has been given.
	sent int
	// results are the results of actions that the core gets in the next round.
	results []cell.Event
	members []announce.Member
	workers map[string]*workerstand.Worker
	// pendingSyncs are the pending syncs by worker name; a newer sync replaces an older one.
	pendingSyncs map[string]pendingSync
	// stepTime is the time spent in steps.
	stepTime time.Duration
	// steps is the number of steps.
	steps int
}

// pendingSync is a sync that its worker answers when the time to wait is over.
type pendingSync struct {
	sync cell.Sync
	due  time.Time
}

// withCore runs f on a new core whose workers are stand-ins.
func withCore(ctx context.Context, f func(context.Context, *coreRig) error) error {
	r := &coreRig{core: newCore(), now: time.Now(), workers: map[string]*workerstand.Worker{}, pendingSyncs: map[string]pendingSync{}}
	r.startWorkers()
	return f(ctx, r)
}

// newCore returns a core with the settings a node gives it.
func newCore() *cell.Core {
	d := node.Defaults()
	return cell.New(cell.Options{
		Cell: cellName, Self: "owner@1", OwnerLease: d.OwnerLease, TaskLease: d.TaskLease,
		SyncEvery: d.SyncEvery, MaxFailures: 3,
	})
}

// startWorkers creates the stand-ins of the workers; they use the core's simulated clock.
func (r *coreRig) startWorkers() {
	for i := range cellWorkers {
		a := announce.Announcement{
			Role: announce.RoleWorker, Name: fmt.Sprintf("worker-%04d", i), Address: fmt.Sprintf("10.0.0.%d:8600", i+1), DataCentre: cellName,
			Rack: fmt.Sprintf("rack-%02d", i/3), Incarnation: 1, Capacity: resource.Vector{MilliCPU: 64000, MemoryMB: 250000},
		}
		r.workers[a.Name] = workerstand.New(a, nil)
		r.members = append(r.members, announce.Member{Announcement: a, Expires: r.now.Add(time.Hour)})
	}
}

// step gives the core one event, adds the time it takes to stepTime, and executes the resulting actions.
func (r *coreRig) step(ev cell.Event) error {
	began := time.Now()
	actions := r.core.Step(r.now, ev)
	r.stepTime += time.Since(began)
	r.steps++
	for _, a := range actions {
		if err := r.execute(a); err != nil {
			return err
		}
	}
	return nil
}

// execute executes one action; its result reaches the core in a later round.
func (r *coreRig) execute(a cell.Action) error {
	switch a := a.(type) {
	case cell.Append:
		if err := r.append(a.Record); err != nil {
			return err
		}
		r.results = append(r.results, cell.AppendDone{Append: a})
	case cell.Sync:
		wait := time.Duration(a.Req.WaitMS) * time.Millisecond
		r.pendingSyncs[a.Worker] = pendingSync{a, r.now.Add(wait)}
	}
	return nil
}

// answerSyncs lets every worker answer the sync whose time to wait is over.
func (r *coreRig) answerSyncs() {
	for _, m := range r.members {
		p, ok := r.pendingSyncs[m.Name]
		if !ok || r.now.Before(p.due) {
			continue
		}
		delete(r.pendingSyncs, m.Name)
		resp, err := r.workers[m.Name].Sync(r.now, p.sync.Req)
		r.results = append(r.results, cell.SyncDone{Sync: p.sync, Resp: resp, Err: err})
	}
}

// append adds a record to the stream.
func (r *coreRig) append(env record.Envelope) error {
	raw, err := env.Encode()
	if err != nil {
		return err
	}
	r.entries = append(r.entries, logsvc.Entry{Offset: logsvc.Offset(len(r.entries) + 1), Data: raw})
	return nil
}

// round advances the clock by one tick and gives the core the results, new entries and members.
func (r *coreRig) round(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	r.now = r.now.Add(coreTick)
	r.answerSyncs()
	results := r.results
	r.results = nil
	for _, ev := range results {
		if err := r.step(ev); err != nil {
			return err
		}
	}
	newEntries := r.entries[r.sent:]
	r.sent = len(r.entries)
	if err := r.step(cell.Entries{Entries: newEntries, Tail: logsvc.Offset(r.sent + 1)}); err != nil {
		return err
	}
	return r.step(cell.Workers{Members: r.members})
}

// until runs rounds until a condition holds, at most maxRounds.
func (r *coreRig) until(ctx context.Context, what string, done func() bool) error {
	for range maxRounds {
		if done() {
			return nil
		}
		if err := r.round(ctx); err != nil {
			return err
		}
	}
	return fmt.Errorf("%s: not reached in %d rounds", what, maxRounds)
}

// submitJobs appends n jobs to the stream; runMS 0 makes tasks without an end.
func (r *coreRig) submitJobs(first, n int, runMS int64) error {
	for i := range n {
		j := cell.Job{
			ID: fmt.Sprintf("job-%06d", first+i), Workspace: "centre-a", Class: "timetable-rebuild", RunMS: runMS,
			Declare: resource.Vector{MilliCPU: 500, MemoryMB: 1000},
		}
		env, err := record.New("job-"+j.ID, record.KindJob, cell.SchemaVersion, "load", j)
		if err != nil {
			return err
		}
		if err := r.append(env); err != nil {
			return err
		}
	}
	return nil
}

// countTasks returns the number of tasks for which f holds.
func (r *coreRig) countTasks(f func(*cell.Task) bool) int {
	n := 0
	for _, t := range r.allTasks() {
		if f(&t) {
			n++
		}
	}
	return n
}

// timeSteps times the steps over coreWindow and returns their share of it in percent of a processor core, and
// the mean microseconds of a step.
func (r *coreRig) timeSteps(ctx context.Context) (share, micros float64, err error) {
	r.stepTime, r.steps = 0, 0
	for end := r.now.Add(coreWindow); r.now.Before(end); {
		if err := r.round(ctx); err != nil {
			return 0, 0, err
		}
	}
	return 100 * r.stepTime.Seconds() / coreWindow.Seconds(), r.stepTime.Seconds() * 1e6 / float64(r.steps), nil
}

// releaseCore drops the core and returns the heap that only the core kept alive, in bytes.
func (r *coreRig) releaseCore() float64 {
	before := liveHeap()
	r.core = nil
	return before - liveHeap()
}

// allTasks returns every task of the core.
func (r *coreRig) allTasks() []cell.Task { return r.core.Tasks(cell.Query{}) }

// snapshotBytes returns the size of the newest snapshot in the stream; 0 when there is none.
func (r *coreRig) snapshotBytes() float64 {
	for _, e := range slices.Backward(r.entries) {
		if env, err := record.Decode(e.Data); err == nil && env.Kind == record.KindSnapshot {
			return float64(len(e.Data))
		}
	}
	return 0
}

// runCellTasks measures a cell with tasks that have no end.
func runCellTasks(ctx context.Context, size float64, _ time.Duration) (Reading, error) {
	var out Reading
	err := withCore(ctx, func(ctx context.Context, r *coreRig) error {
		if err := r.submitJobs(0, int(size), 0); err != nil {
			return err
		}
		allHeld := func() bool { return r.countTasks((*cell.Task).Held) == int(size) }
		if err := r.until(ctx, "all tasks run", allHeld); err != nil {
			return err
		}
		share, micros, err := r.timeSteps(ctx)
		if err != nil {
			return err
		}
		out = Reading{OwnerCPU: share, StepMicros: micros, SnapshotBytes: r.snapshotBytes(), HeapBytes: r.releaseCore()}
		return nil
	})
	return out, err
}

// runCellDone measures a cell whose tasks have ended, and the replay of its stream by a new owner.
func runCellDone(ctx context.Context, size float64, _ time.Duration) (Reading, error) {
	var out Reading
	err := withCore(ctx, func(ctx context.Context, r *coreRig) error {
		if err := r.submitJobs(0, int(size), 1); err != nil {
			return err
		}
		open := func() int { return r.countTasks(func(t *cell.Task) bool { return !t.Done() }) }
		allEnded := func() bool { return r.sent > 0 && open() == 0 }
		if err := r.until(ctx, "all tasks ended", allEnded); err != nil {
			return err
		}
		share, _, err := r.timeSteps(ctx)
		if err != nil {
			return err
		}
		fold, bytes := r.replay()
		out = Reading{OwnerCPU: share, HeapBytes: r.releaseCore(), FoldMicros: fold, ReplayBytes: bytes}
		return nil
	})
	return out, err
}

// replay folds the whole stream into a new core and returns the microseconds a record and the bytes of the stream.
func (r *coreRig) replay() (micros, bytes float64) {
	restored := newCore()
	began := time.Now()
	restored.Step(r.now, cell.Entries{Entries: r.entries, Tail: logsvc.Offset(len(r.entries) + 1)})
	elapsed := time.Since(began)
	for _, e := range r.entries {
		bytes += float64(len(e.Data))
	}
	runtime.KeepAlive(restored)
	return elapsed.Seconds() * 1e6 / float64(len(r.entries)), bytes
}
