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
	// coreTick is the time between two ticks of a core, as its driver has it.
	coreTick = 50 * time.Millisecond
	// coreSpan is the core's time over which steps are timed.
	coreSpan = 10 * time.Second
	// maxRounds bounds how long a state of the core is waited for.
	maxRounds = 2000
)

// coreRig steps one cell core by hand: the stream is a slice and the workers are stand-ins.
type coreRig struct {
	core    *cell.Core
	now     time.Time
	entries []logsvc.Entry
	sent    int
	// due are answers that the core gets in the next round.
	due     []cell.Event
	members []announce.Member
	workers map[string]*workerstand.Worker
	// polls are the syncs that wait at a worker, by its name; a newer sync takes the place of an older.
	polls map[string]poll
	// busy is the time spent in steps.
	busy time.Duration
	// steps counts them.
	steps int
}

// poll is a sync that its worker answers when its time is up.
type poll struct {
	sync cell.Sync
	due  time.Time
}

// withCore runs f on a core whose workers are stand-ins.
func withCore(ctx context.Context, f func(context.Context, *coreRig) error) error {
	r := &coreRig{core: newCore(), now: time.Now(), workers: map[string]*workerstand.Worker{}, polls: map[string]poll{}}
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

// startWorkers makes the stand-ins; they run on the core's clock.
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

// step gives the core one event, books its time and does what it asks for.
func (r *coreRig) step(ev cell.Event) error {
	began := time.Now()
	actions := r.core.Step(r.now, ev)
	r.busy += time.Since(began)
	r.steps++
	for _, a := range actions {
		if err := r.do(a); err != nil {
			return err
		}
	}
	return nil
}

// do does one action; its answer comes in a later round.
func (r *coreRig) do(a cell.Action) error {
	switch a := a.(type) {
	case cell.Append:
		if err := r.append(a.Record); err != nil {
			return err
		}
		r.due = append(r.due, cell.AppendDone{Append: a})
	case cell.Sync:
		wait := time.Duration(a.Req.WaitMS) * time.Millisecond
		r.polls[a.Worker] = poll{a, r.now.Add(wait)}
	}
	return nil
}

// answer lets every worker answer the sync whose time is up.
func (r *coreRig) answer() {
	for _, m := range r.members {
		p, ok := r.polls[m.Name]
		if !ok || r.now.Before(p.due) {
			continue
		}
		delete(r.polls, m.Name)
		resp, err := r.workers[m.Name].Sync(r.now, p.sync.Req)
		r.due = append(r.due, cell.SyncDone{Sync: p.sync, Resp: resp, Err: err})
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

// round lets one tick pass and hands over what was answered and appended.
func (r *coreRig) round(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	r.now = r.now.Add(coreTick)
	r.answer()
	due := r.due
	r.due = nil
	for _, ev := range due {
		if err := r.step(ev); err != nil {
			return err
		}
	}
	fresh := r.entries[r.sent:]
	r.sent = len(r.entries)
	if err := r.step(cell.Entries{Entries: fresh, Tail: logsvc.Offset(r.sent + 1)}); err != nil {
		return err
	}
	return r.step(cell.Workers{Members: r.members})
}

// until runs rounds until a condition holds.
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

// jobs submits n jobs.
func (r *coreRig) jobs(first, n int, runMS int64) error {
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

// count counts the tasks for which f holds.
func (r *coreRig) count(f func(*cell.Task) bool) int {
	n := 0
	for _, t := range r.allTasks() {
		if f(&t) {
			n++
		}
	}
	return n
}

// span times the steps of coreSpan and returns their share of it in percent of a core.
func (r *coreRig) span(ctx context.Context) (share, micros float64, err error) {
	r.busy, r.steps = 0, 0
	for end := r.now.Add(coreSpan); r.now.Before(end); {
		if err := r.round(ctx); err != nil {
			return 0, 0, err
		}
	}
	return 100 * r.busy.Seconds() / coreSpan.Seconds(), r.busy.Seconds() * 1e6 / float64(r.steps), nil
}

// drop returns the heap that the core alone kept alive.
func (r *coreRig) drop() float64 {
	before := heap()
	r.core = nil
	return before - heap()
}

// allTasks returns every task the core knows.
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

// runCellTasks steps a cell with tasks that run on.
func runCellTasks(ctx context.Context, size float64, _ time.Duration) (Reading, error) {
	var out Reading
	err := withCore(ctx, func(ctx context.Context, r *coreRig) error {
		if err := r.jobs(0, int(size), 0); err != nil {
			return err
		}
		held := func() bool { return r.count((*cell.Task).Held) == int(size) }
		if err := r.until(ctx, "all tasks run", held); err != nil {
			return err
		}
		share, micros, err := r.span(ctx)
		if err != nil {
			return err
		}
		out = Reading{OwnerCPU: share, StepMicros: micros, SnapshotBytes: r.snapshotBytes(), HeapBytes: r.drop()}
		return nil
	})
	return out, err
}

// runCellDone steps a cell whose tasks have ended and lets a new owner fold its stream.
func runCellDone(ctx context.Context, size float64, _ time.Duration) (Reading, error) {
	var out Reading
	err := withCore(ctx, func(ctx context.Context, r *coreRig) error {
		if err := r.jobs(0, int(size), 1); err != nil {
			return err
		}
		open := func() int { return r.count(func(t *cell.Task) bool { return !t.Done() }) }
		began := func() bool { return r.sent > 0 && open() == 0 }
		if err := r.until(ctx, "all tasks ended", began); err != nil {
			return err
		}
		share, _, err := r.span(ctx)
		if err != nil {
			return err
		}
		fold, bytes := r.replay()
		out = Reading{OwnerCPU: share, HeapBytes: r.drop(), FoldMicros: fold, ReplayBytes: bytes}
		return nil
	})
	return out, err
}

// replay folds the whole stream into a fresh core and returns the time a record and the bytes.
func (r *coreRig) replay() (micros, bytes float64) {
	fresh := newCore()
	began := time.Now()
	fresh.Step(r.now, cell.Entries{Entries: r.entries, Tail: logsvc.Offset(len(r.entries) + 1)})
	took := time.Since(began)
	for _, e := range r.entries {
		bytes += float64(len(e.Data))
	}
	runtime.KeepAlive(fresh)
	return took.Seconds() * 1e6 / float64(len(r.entries)), bytes
}
