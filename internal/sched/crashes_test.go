package sched

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
)

// crashPool is a pool of workers with one task that crashes every worker that starts it, among short tasks that do no
// harm. A worker is back as its next incarnation after downtime.
type crashPool struct {
	t     *testing.T
	now   time.Time
	core  *Core
	specs []*job.Spec
	log   map[string][]byte
	// deadly is the job whose task with index 0 crashes its worker, starts the incarnations that it was started on.
	deadly string
	starts []string
	// running are the runs on each incarnation that is up, with the time of their start; down says when the worker of
	// a node is back, crashed is the crash that its guard has seen last.
	running map[string]map[link.RunRef]time.Time
	down    map[string]time.Time
	crashed map[string]link.Crash
	born    int
	ends    int64
}

// Times of a crashPool.
const (
	// crashPoolTask is how long a harmless task runs, and downtime how long a worker is away after a crash.
	crashPoolTask = 600 * time.Millisecond
	downtime      = 3 * time.Second
	// crashPoolStep is the time between two rounds.
	crashPoolStep = 50 * time.Millisecond
)

// newCrashPool returns a pool with as many workers.
func newCrashPool(t *testing.T, workers int) *crashPool {
	p := &crashPool{t: t, now: epoch0, core: New(options), log: map[string][]byte{}, running: map[string]map[link.RunRef]time.Time{}, down: map[string]time.Time{}, crashed: map[string]link.Crash{}}
	for i := range workers {
		p.boot(fmt.Sprintf("node-%d", i))
	}
	return p
}

// boot attaches a new incarnation of the worker beside a node. Every second one keeps its ID.
func (p *crashPool) boot(node string) {
	p.born++
	id := fmt.Sprintf("w-%s-%d@%d", node, p.born/2, p.born)
	p.running[id] = map[link.RunRef]time.Time{}
	delete(p.down, node)
	p.core.Attach(p.now, node, link.Worker{ID: id, Service: "pool", Capacity: big}, link.Listing{})
}

// crash ends an incarnation with all its runs; its guard sees it.
func (p *crashPool) crash(id string) {
	node := p.core.workers[id].node
	report := link.Crash{Worker: id}
	for _, ref := range inTaskOrder(p.running[id]) {
		report.Runs = append(report.Runs, link.CrashedRun{RunRef: ref, AgeMS: p.now.Sub(p.running[id][ref]).Milliseconds()})
	}
	delete(p.running, id)
	p.down[node], p.crashed[node] = p.now.Add(downtime), report
	p.core.WorkerCrashed(p.now, report)
}

// submit submits a job of some short tasks.
func (p *crashPool) submit(id string, s job.Step) {
	spec := one(id, 0, s)
	p.specs = append(p.specs, spec)
	p.core.Submit(p.now, spec)
}

// step runs one round and carries its commands out.
func (p *crashPool) step() {
	p.now = p.now.Add(crashPoolStep)
	for _, node := range slices.Sorted(maps.Keys(p.down)) {
		if !p.now.Before(p.down[node]) {
			p.boot(node)
		}
	}
	p.core.Schedule(p.now)
	p.store()
	commands := p.core.Commands()
	for _, id := range slices.Sorted(maps.Keys(commands)) {
		for _, s := range commands[id].Start {
			p.start(id, s)
		}
		for _, ref := range commands[id].Stop {
			p.stop(id, ref)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(p.running)) {
		p.report(id, p.running[id])
	}
}

// store stores what has changed.
func (p *crashPool) store() {
	if b, ok := p.core.Flush(p.now); ok {
		for _, r := range b.Records {
			p.log[r.Key] = r.Value
		}
		p.core.Stored(p.now, b.Seq)
	}
}

// start starts a run.
func (p *crashPool) start(id string, s link.Start) {
	if s.Task.Job == p.deadly && s.Task.Index == 0 {
		p.starts = append(p.starts, id)
	}
	if p.running[id] != nil {
		p.running[id][s.RunRef] = p.now
	}
}

// stop ends a run on command, if it is there.
func (p *crashPool) stop(id string, ref link.RunRef) {
	if _, ok := p.running[id][ref]; ok {
		p.ends++
		delete(p.running[id], ref)
		p.core.Ended(p.now, id, []link.RunEnd{{Number: p.ends, RunRef: ref, Outcome: link.Stopped}})
	}
}

// report crashes a worker that has the deadly task; another lists its runs and ends.
func (p *crashPool) report(id string, runs map[link.RunRef]time.Time) {
	var rows []link.RunStatus
	var ends []link.RunEnd
	for _, ref := range inTaskOrder(runs) {
		at := runs[ref]
		if ref.Task.Job == p.deadly && ref.Task.Index == 0 {
			p.crash(id)
			return
		}
		if step := p.core.task(ref.Task); step != nil && !step.step.spec.LongRunning && p.now.Sub(at) >= crashPoolTask {
			p.ends++
			ends = append(ends, link.RunEnd{Number: p.ends, RunRef: ref, Outcome: link.Done})
			delete(runs, ref)
			continue
		}
		rows = append(rows, link.RunStatus{RunRef: ref, Percent: min(100, 100*float64(p.now.Sub(at))/float64(crashPoolTask))})
	}
	p.core.Report(p.now, id, link.Listing{Running: rows, Ended: ends})
}

// takeover loads the cell into a new core, to which all guards link. They report the crashes that they have seen again.
func (p *crashPool) takeover() {
	p.store()
	next := New(options)
	for _, s := range p.specs {
		next.Submit(p.now, s)
	}
	for key, value := range p.log {
		if len(value) == 0 {
			continue
		}
		if err := next.Restore(p.now, key, value); err != nil {
			p.t.Fatal(err)
		}
	}
	nodes := map[string]string{}
	for id := range p.running {
		nodes[id] = p.core.workers[id].node
	}
	p.core = next
	for _, node := range slices.Sorted(maps.Keys(p.crashed)) {
		p.core.WorkerCrashed(p.now, p.crashed[node])
	}
	for _, id := range slices.Sorted(maps.Keys(p.running)) {
		var rows []link.RunStatus
		for _, ref := range inTaskOrder(p.running[id]) {
			rows = append(rows, link.RunStatus{RunRef: ref, Percent: 50})
		}
		next.Attach(p.now, nodes[id], link.Worker{ID: id, Service: "pool", Capacity: big}, link.Listing{Running: rows})
	}
}

// maxDeadlyStarts is how often a task that crashes every worker may be started: a task may be given up after two
// crashes, and the start that reveals it may follow one whose crash isn't known yet.
const maxDeadlyStarts = 3

// check fails unless the deadly job has failed after few starts, and no other job has.
func (p *crashPool) check() {
	p.t.Helper()
	if v, _ := p.core.Job(p.deadly); v.State != Failed {
		p.t.Errorf("the job that crashes workers is %+v, want failed", v)
	}
	if len(p.starts) > maxDeadlyStarts {
		p.t.Errorf("the task that crashes workers was started %d times: %v", len(p.starts), p.starts)
	}
	for _, s := range p.specs {
		if v, _ := p.core.Job(s.ID); s.ID != p.deadly && v.State == Failed {
			p.t.Errorf("%s has failed beside it: %s", s.ID, v.Reason)
		}
	}
}

// TestTaskThatCrashesWorkers guards against a task that takes down worker after worker: it crashes each one within
// milliseconds of its start, together with all tasks that have just been started there and those that have run for
// long. Its job must fail after few crashes, and no other job may. The count survives takeovers at any time, and speculative
// tasks, which get copies, are no exception.
func TestTaskThatCrashesWorkers(t *testing.T) {
	for _, kind := range []struct {
		name      string
		step      job.Step
		takeovers int
	}{
		{"short", job.Step{Count: 3, Demand: cores(0.3), EstimateMS: 600}, 0},
		{"speculative", job.Step{Count: 3, Demand: cores(0.3), EstimateMS: 600, Speculative: true}, 0},
		{"long-running", job.Step{Count: 3, Demand: cores(0.3), LongRunning: true}, 0},
		{"filler", job.Step{Count: 3, Demand: cores(0.3), EstimateMS: 600, Filler: true}, 0},
		{"takeovers", job.Step{Count: 3, Demand: cores(0.3), EstimateMS: 600}, 7},
	} {
		t.Run(kind.name, func(t *testing.T) {
			p := newCrashPool(t, 6)
			p.submit("lasting", job.Step{Count: 6, Demand: cores(0.5), LongRunning: true})
			p.deadly = "deadly"
			for n := range 400 {
				if n%4 == 0 && n < 200 {
					p.submit(fmt.Sprintf("job%d", n), job.Step{Count: 3, Demand: cores(0.3), EstimateMS: 600, Speculative: n%8 == 0})
				}
				if n == 40 {
					p.submit(p.deadly, kind.step)
				}
				p.step()
				if kind.takeovers > 0 && n%kind.takeovers == 0 {
					p.takeover()
				}
			}
			p.check()
			for _, s := range p.specs {
				if v, _ := p.core.Job(s.ID); !s.HasLongRunning() && s.ID != p.deadly && v.State != Completed {
					t.Errorf("%s is %+v at the end", s.ID, v)
				}
			}
			if held := len(p.held("lasting")); held != 6 {
				t.Errorf("%d of 6 long-running tasks are at work at the end", held)
			}
		})
	}
}

// held returns the runs of a job that are up.
func (p *crashPool) held(id string) []link.RunRef {
	var out []link.RunRef
	for _, runs := range p.running {
		for ref := range runs {
			if ref.Task.Job == id {
				out = append(out, ref)
			}
		}
	}
	return out
}

// inTaskOrder returns runs ordered by task.
func inTaskOrder(runs map[link.RunRef]time.Time) []link.RunRef {
	return slices.SortedFunc(maps.Keys(runs), func(a, b link.RunRef) int { return strings.Compare(a.Task.String(), b.Task.String()) })
}

// TestUnstableWorker guards against giving up jobs that had bad luck: the worker beside one node crashes again and again
// for reasons of its own, with other tasks each time. No job may fail, and all complete.
func TestUnstableWorker(t *testing.T) {
	p := newCrashPool(t, 5)
	for n := range 400 {
		if n%4 == 0 && n < 300 {
			p.submit(fmt.Sprintf("job%d", n), job.Step{Count: 4, Demand: cores(0.3), EstimateMS: 600, Speculative: n%8 == 0})
		}
		p.step()
		if n%30 != 0 {
			continue
		}
		for _, id := range slices.Sorted(maps.Keys(p.running)) {
			if p.core.workers[id].node == "node-0" {
				p.crash(id)
				p.down["node-0"] = p.now.Add(crashPoolStep)
			}
		}
	}
	for _, s := range p.specs {
		if v, _ := p.core.Job(s.ID); v.State != Completed {
			t.Errorf("%s is %+v at the end", s.ID, v)
		}
	}
}

// crashed returns a report of a crash under one run of a certain age.
func crashed(worker string, ref link.RunRef, ageMS int64) link.Crash {
	return link.Crash{Worker: worker, Runs: []link.CrashedRun{{RunRef: ref, AgeMS: ageMS}}}
}

// firstStart returns where the only task of a job was started.
func firstStart(t *testing.T, commands Commands) (string, link.RunRef) {
	t.Helper()
	for id, s := range started(commands) {
		return id, s[0].RunRef
	}
	t.Fatal("nothing was started")
	return "", link.RunRef{}
}

// TestCrashKnownAfterLease guards against a crash that isn't counted since the lease of the run had expired before the
// worker was back: its task had been given another run by then, which crashes the next worker.
func TestCrashKnownAfterLease(t *testing.T) {
	now := epoch0
	c := pool(now, "a", "b", "c")
	c.Submit(now, one("job", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 1000}))
	var workers []string
	var runs []link.RunRef
	for range 2 {
		id, ref := firstStart(t, settle(now, c))
		workers, runs = append(workers, id), append(runs, ref)
		c.UpdatePressure(now, id, 100, true)
		now = now.Add(options.expiryDelay() + 2*sweepInterval)
		c.expireLeases(now)
	}
	for i, id := range workers {
		if v, _ := c.Job("job"); v.State == Failed {
			t.Fatalf("failed before the second crash is known: %s", v.Reason)
		}
		c.WorkerCrashed(now, crashed(id, runs[i], 10))
		c.WorkerCrashed(now, crashed(id, runs[i], 10))
	}
	settle(now, c)
	if v, _ := c.Job("job"); v.State != Failed {
		t.Errorf("job is %+v after two crashes under its only task, want failed", v)
	}
}

// TestCrashBeforeStart guards against counting crashes under a task that wasn't there: its start had not reached the
// worker, it ended before, or the worker has only been cut off.
func TestCrashBeforeStart(t *testing.T) {
	now := epoch0
	c := pool(now, "a", "b", "c")
	c.Submit(now, one("job", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 1000}))
	for range 3 {
		id, _ := firstStart(t, settle(now, c))
		c.WorkerCrashed(now, link.Crash{Worker: id})
		now = now.Add(sweepInterval)
		c.Attach(now, "node-"+id, link.Worker{ID: id + "'", Service: "pool", Capacity: big}, link.Listing{})
	}
	id, ref := firstStart(t, settle(now, c))
	c.UpdatePressure(now, id, 100, true)
	now = now.Add(options.expiryDelay() + 2*sweepInterval)
	c.expireLeases(now)
	c.Attach(now, "node-"+id, link.Worker{ID: id, Service: "pool", Capacity: big}, link.Listing{Ended: []link.RunEnd{{Number: 1, RunRef: ref, Outcome: link.Expired}}})
	if v, _ := c.Job("job"); v.State == Failed || len(c.crashed.tasks) != 0 {
		t.Errorf("job is %+v with crashes under %d tasks, want none", v, len(c.crashed.tasks))
	}
}

// TestUnansweredStartsDontCount guards against giving up a task since workers crashed that hadn't carried its start out yet:
// on a day on which answers to starts are held back, one was the only task starting on a worker that crashed for another
// reason. Five such crashes are too many for chance.
func TestUnansweredStartsDontCount(t *testing.T) {
	now := epoch0
	c := pool(now, "a", "b", "c")
	c.Submit(now, one("job", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 1000}))
	for n := range maxCrashes {
		if v, _ := c.Job("job"); v.State == Failed {
			t.Fatalf("failed after %d crashes under unanswered starts", n)
		}
		id, ref := firstStart(t, settle(now, c))
		report := crashed(id, ref, 10)
		report.Runs[0].Unsure = true
		c.WorkerCrashed(now, report)
		now = now.Add(sweepInterval)
		c.Attach(now, "node-"+id, link.Worker{ID: id + "'", Service: "pool", Capacity: big}, link.Listing{})
	}
	settle(now, c)
	if v, _ := c.Job("job"); v.State != Failed {
		t.Errorf("job is %+v after %d crashes, want failed", v, maxCrashes)
	}
}

// TestGangThatCrashesWorkers checks that a gang fails after three crashes under its members: they start together, so that
// none can be told to be the cause.
func TestGangThatCrashesWorkers(t *testing.T) {
	now := epoch0
	c := pool(now, "a@0")
	c.Submit(now, one("gang", 0, job.Step{Count: 3, Demand: cores(1), EstimateMS: 1000, Gang: true}))
	for n := range 3 {
		if v, _ := c.Job("gang"); v.State == Failed {
			t.Fatalf("failed after %d crashes", n)
		}
		id := fmt.Sprintf("a@%d", n)
		report := link.Crash{Worker: id}
		for _, s := range started(settle(now, c))[id] {
			report.Runs = append(report.Runs, link.CrashedRun{RunRef: s.RunRef, AgeMS: 10})
		}
		if len(report.Runs) != 3 {
			t.Fatalf("started %+v, want all members on the only worker", report.Runs)
		}
		c.WorkerCrashed(now, report)
		c.Attach(now, "node-a", link.Worker{ID: fmt.Sprintf("a@%d", n+1), Service: "pool", Capacity: big}, link.Listing{})
		now = now.Add(time.Second)
	}
	settle(now, c)
	if v, _ := c.Job("gang"); v.State != Failed {
		t.Errorf("gang is %+v after three crashes, want failed", v)
	}
}

// TestTaskThatCrashesWorkersAfterWork guards against a task that is started again and again although each worker crashes under
// it: it does so after more work than was taken for a proof that it does no harm, and each run forgot the crashes before.
func TestTaskThatCrashesWorkersAfterWork(t *testing.T) {
	now := epoch0
	c := pool(now, "a", "b", "c")
	c.Submit(now, one("job", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 60_000}))
	starts := 0
	for ; starts < 8; starts++ {
		o := started(settle(now, c))
		if len(o) == 0 {
			break
		}
		for id, s := range o {
			ref := s[0].RunRef
			for i := range 220 {
				c.Report(now, id, link.Listing{Running: []link.RunStatus{{RunRef: ref, Percent: float64(i) / 10}}})
				now = now.Add(50 * time.Millisecond)
			}
			c.WorkerCrashed(now, crashed(id, ref, 11_000))
			c.Attach(now, "node-"+id, link.Worker{ID: id + "'", Service: "pool", Capacity: big}, link.Listing{})
		}
	}
	if v, _ := c.Job("job"); starts > 5 || c.jobs["job"].state != Failed {
		t.Errorf("%d starts, job is %+v", starts, v)
	}
}

// TestSettledRunKeepsAgesOfCrashes guards against a task that crashes workers after some work, and whose crashes are forgotten
// sooner than that since one worker crashed when it started: once a run had settled, all its crashes counted as those of runs
// that had just settled.
func TestSettledRunKeepsAgesOfCrashes(t *testing.T) {
	now := epoch0
	c := pool(now, "a", "b", "c")
	c.Submit(now, one("job", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 60_000}))
	starts := 0
	for ; starts < 8; starts++ {
		o := started(settle(now, c))
		if len(o) == 0 {
			break
		}
		for id, s := range o {
			work := 11 * time.Second
			if starts == 1 {
				work = 100 * time.Millisecond
			}
			for at := time.Duration(0); at < work; at += crashPoolStep {
				c.Report(now, id, link.Listing{Running: []link.RunStatus{{RunRef: s[0].RunRef, Percent: at.Seconds()}}})
				now = now.Add(crashPoolStep)
			}
			c.WorkerCrashed(now, crashed(id, s[0].RunRef, work.Milliseconds()))
			c.Attach(now, "node-"+id, link.Worker{ID: id + "'", Service: "pool", Capacity: big}, link.Listing{})
		}
	}
	if v, _ := c.Job("job"); starts > maxCrashes || c.jobs["job"].state != Failed {
		t.Errorf("%d starts, job is %+v", starts, v)
	}
}

// TestNoStartBeforeCrashIsKnown guards against a task that is started once more than allowed: the lease of its run expires before
// the guard reports the crash that fails its job, or it gets a copy.
func TestNoStartBeforeCrashIsKnown(t *testing.T) {
	for _, speculative := range []bool{false, true} {
		t.Run(fmt.Sprintf("speculative %t", speculative), func(t *testing.T) { noStartBeforeCrashIsKnown(t, speculative) })
	}
}

// noStartBeforeCrashIsKnown plays TestNoStartBeforeCrashIsKnown.
func noStartBeforeCrashIsKnown(t *testing.T, speculative bool) {
	now := epoch0
	c := pool(now, "a", "b", "c")
	c.Submit(now, one("job", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 60_000, Speculative: speculative}))
	var id string
	var ref link.RunRef
	for n := range maxCrashes {
		id, ref = firstStart(t, settle(now, c))
		for range 20 {
			c.Report(now, id, link.Listing{Running: []link.RunStatus{{RunRef: ref}}})
			now = now.Add(crashPoolStep)
		}
		if n < maxCrashes-1 {
			c.WorkerCrashed(now, crashed(id, ref, 3000))
			c.Attach(now, "node-"+id, link.Worker{ID: id + "'", Service: "pool", Capacity: big}, link.Listing{})
		}
	}
	c.UpdatePressure(now, id, 100, true)
	for end := now.Add(3 * options.expiryDelay()); now.Before(end); now = now.Add(sweepInterval) {
		if got := started(settle(now, c)); len(got) > 0 {
			t.Fatalf("started on %v before it is known whether a fifth worker has crashed", got)
		}
	}
	c.WorkerCrashed(now, crashed(id, ref, 3000))
	if c.jobs["job"].state != Failed {
		t.Error("the job hasn't failed after five crashes")
	}
}

// TestStartAfterVanishedWorker guards against a task that is never started again since it isn't known what became of its
// worker.
func TestStartAfterVanishedWorker(t *testing.T) {
	now := epoch0
	c := pool(now, "a", "b", "c")
	c.Submit(now, one("job", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 60_000}))
	var id string
	for n := range maxCrashes {
		var ref link.RunRef
		id, ref = firstStart(t, settle(now, c))
		if n < maxCrashes-1 {
			c.WorkerCrashed(now, crashed(id, ref, 3000))
			c.Attach(now, "node-"+id, link.Worker{ID: id + "'", Service: "pool", Capacity: big}, link.Listing{})
		}
	}
	c.Detach(now, id)
	for end := now.Add(2 * maxPendingWait); now.Before(end); now = now.Add(sweepInterval) {
		if len(started(settle(now, c))) > 0 {
			return
		}
	}
	t.Error("the task isn't started again")
}
