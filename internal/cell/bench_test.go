package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/announce"
	"github.com/crocusspring/crocusspring/internal/interfere"
	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/record"
	"github.com/crocusspring/crocusspring/internal/resource"
	"github.com/crocusspring/crocusspring/internal/workerapi"
)

// benchClasses is the number of classes of the tasks; the interference of all pairs of them has been
// learned.
const benchClasses = 12

// benchCell is a core that owns a cell and runs tasks on its workers.
type benchCell struct {
	core *Core
	now  time.Time
	next logsvc.Offset
	jobs int
}

// newBenchCell returns a cell whose workers hold the given number of running tasks.
func newBenchCell(workers, tasks int) *benchCell {
	b := &benchCell{now: time.Unix(1000, 0), next: 1, core: New(Options{
		Cell: "c", Self: "p", OwnerLease: 24 * time.Hour, TaskLease: 24 * time.Hour, SyncEvery: time.Second, MaxFailures: 3,
	})}
	var members []announce.Member
	for i := range workers {
		members = append(members, announce.Member{Announcement: announce.Announcement{
			Role: announce.RoleWorker, Name: fmt.Sprintf("w%03d", i), Address: "127.0.0.1:1", Rack: fmt.Sprint(i / 3),
			Capacity: resource.Vector{MilliCPU: 64000, MemoryMB: 250000},
		}})
	}
	b.runActions(b.core.Step(b.now, Workers{Members: members}))
	b.runActions(b.core.Step(b.now, Entries{Tail: 1}))
	for range tasks {
		b.place()
	}
	for i := range benchClasses * benchClasses {
		for _, l := range []interfere.Load{interfere.Low, interfere.Mid, interfere.High} {
			b.core.model.Observe(interfere.Report{
				Class: fmt.Sprint("class-", i%benchClasses), Load: l, Slowdown: 1 + float64(i)/1000,
				Neighbours: []interfere.Neighbour{{Class: fmt.Sprint("class-", i/benchClasses), Count: 1}},
			})
		}
	}
	return b
}

// runActions answers every action at once, as a log and workers without delay would.
func (b *benchCell) runActions(actions []Action) {
	for len(actions) > 0 {
		var more []Action
		for _, a := range actions {
			switch a := a.(type) {
			case Append:
				raw, _ := a.Record.Encode()
				b.next++
				more = append(more, b.core.Step(b.now, Entries{Entries: []logsvc.Entry{{Offset: b.next - 1, Data: raw}}, Tail: b.next})...)
			case Sync:
				r := workerapi.SyncResponse{Worker: a.Worker, Incarnation: 1, ClockMS: 1, Version: 1, Full: a.Req.Since == 0}
				for _, cmd := range a.Req.Commands {
					if cmd.Op == workerapi.OpStart {
						r.Attempts = append(r.Attempts, workerapi.Attempt{Task: cmd.Task, Attempt: cmd.Attempt, State: workerapi.StateRunning})
					}
				}
				more = append(more, b.core.Step(b.now, SyncDone{Sync: a, Resp: r})...)
			}
		}
		actions = more
	}
}

// submit returns the entry of a new job.
func (b *benchCell) submit() Entries {
	b.jobs++
	env, _ := record.New(fmt.Sprintf("r%d", b.jobs), record.KindJob, SchemaVersion, "caller", Job{
		ID: fmt.Sprintf("j%06d", b.jobs), Workspace: fmt.Sprint(b.jobs % 93), Class: fmt.Sprint("class-", b.jobs%benchClasses),
		Declare: resource.Vector{MilliCPU: 1000, MemoryMB: 4000}, RunMS: 1000,
	})
	raw, _ := env.Encode()
	b.next++
	return Entries{Entries: []logsvc.Entry{{Offset: b.next - 1, Data: raw}}, Tail: b.next}
}

// place submits one task and advances it until it runs.
func (b *benchCell) place() {
	b.now = b.now.Add(20 * time.Millisecond)
	b.runActions(b.core.Step(b.now, b.submit()))
}

// endOldest ends the task that was submitted n jobs before the newest one, if it is held, so that the
// number of tasks stays the same.
func (b *benchCell) endOldest(n int) {
	id := fmt.Sprintf("j%06d", b.jobs-n)
	t := b.core.state.tasks[id]
	if t == nil || !t.Held() {
		return
	}
	b.core.owner.outbox.add(Report{Task: id, Attempt: t.Attempt, Event: string(EventFinish)})
	delete(b.core.owner.worker(t.Worker).inventory, t.key())
	b.runActions(b.core.Step(b.now, Tick{}))
}

// BenchmarkPlacement measures one placement in a cell of which each worker holds about 20 tasks: the
// waiting task is taken from the queue, a worker chosen among all, and its assignment decided.
func BenchmarkPlacement(b *testing.B) {
	for _, workers := range []int{12, 24, 48, 96, 192} {
		b.Run(fmt.Sprintf("workers=%d/tasks=%d", workers, workers*1000/48), func(b *testing.B) {
			tasks := workers * 1000 / 48
			c := newBenchCell(workers, tasks)
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				c.now = c.now.Add(20 * time.Millisecond)
				c.core.fold(c.now, c.submit())
				o := c.core.owner
				o.applyChanges(c.now)
				b.StartTimer()
				o.schedule(c.now)
				b.StopTimer()
				if len(o.outbox.assigns) != 1 {
					b.Fatalf("job %d was not placed", c.jobs)
				}
				c.runActions(c.core.Step(c.now, Tick{}))
				c.endOldest(tasks)
				b.StartTimer()
			}
		})
	}
}

// BenchmarkJob measures all that an owner does about a new job up to the record of its assignment.
func BenchmarkJob(b *testing.B) {
	c := newBenchCell(48, 1000)
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		ev := c.submit()
		c.now = c.now.Add(20 * time.Millisecond)
		b.StartTimer()
		actions := c.core.Step(c.now, ev)
		b.StopTimer()
		c.runActions(actions)
		c.endOldest(1000)
		b.StartTimer()
	}
}

// BenchmarkTick measures a tick at which nothing happens.
func BenchmarkTick(b *testing.B) {
	c := newBenchCell(48, 1000)
	for b.Loop() {
		c.now = c.now.Add(time.Millisecond)
		c.core.Step(c.now, Tick{})
	}
}
