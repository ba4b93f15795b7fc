package sched

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
)

// outagePool is a pool whose guards report crashes late, one by one, and whose workers crash together at times. Each task of
// some jobs crashes each worker that it has run on for a while.
type outagePool struct {
	t     *testing.T
	rng   *rand.Rand
	now   time.Time
	core  *Core
	specs []*job.Spec
	log   map[string][]byte
	hosts []*outageHost
	born  int
	// deadly is how old a run of a job gets before its worker crashes.
	deadly map[string]time.Duration
	// own counts the workers that each task has crashed, after its starts after the third.
	own, after map[job.TaskID]int
}

// outageHost is the worker on one machine, with its guard.
type outageHost struct {
	node, id string
	up       bool
	// silentAt is when its guard says that it doesn't answer, backAt when it is back.
	silentAt, backAt time.Time
	running          map[link.RunRef]time.Time
	// crash is the latest crash, seenAt when the guard noticed it.
	crash  *link.Crash
	seenAt time.Time
}

// Times of an outagePool.
const (
	// outageStep is the time between two rounds, outageReports that between two listings.
	outageStep    = 10 * time.Millisecond
	outageReports = 100 * time.Millisecond
	// outageWork is how long a task that crashes its worker would work.
	outageWork = time.Minute
	// maxDown is how long a worker is away after a crash at most.
	maxDown = 2500 * time.Millisecond
)

// newOutagePool returns a pool of some workers.
func newOutagePool(t *testing.T, workers int, seed uint64) *outagePool {
	p := &outagePool{
		t: t, rng: rand.New(rand.NewPCG(seed, 5)), now: epoch0, core: New(options), log: map[string][]byte{}, deadly: map[string]time.Duration{},
		own: map[job.TaskID]int{}, after: map[job.TaskID]int{},
	}
	for i := range workers {
		h := &outageHost{node: fmt.Sprintf("node-%02d", i)}
		p.hosts = append(p.hosts, h)
		p.boot(h)
	}
	return p
}

// between draws a duration.
func (p *outagePool) between(from, to time.Duration) time.Duration {
	return from + time.Duration(p.rng.Int64N(int64(to-from)))
}

// boot starts the next incarnation of a worker; its guard reports the end of the last one.
func (p *outagePool) boot(h *outageHost) {
	p.born++
	h.id, h.up, h.running = fmt.Sprintf("w-%s@%d", h.node, p.born), true, map[link.RunRef]time.Time{}
	p.link(h)
}

// link reports the latest crash of a worker and, if it is up, the worker.
func (p *outagePool) link(h *outageHost) {
	if h.crash != nil && h.crash.Worker != h.id {
		report := *h.crash
		report.AgoMS = p.now.Sub(h.seenAt).Milliseconds()
		p.core.WorkerCrashed(p.now, report)
	}
	if h.up {
		p.core.Attach(p.now, h.node, link.Worker{ID: h.id, Service: "pool", Capacity: big}, link.Listing{Running: p.rows(h)})
	}
}

// rows lists the runs of a worker. Those that crash workers would work for outageWork.
func (p *outagePool) rows(h *outageHost) []link.RunStatus {
	var out []link.RunStatus
	for _, ref := range inTaskOrder(h.running) {
		row := link.RunStatus{RunRef: ref, Percent: 100}
		if p.deadly[ref.Task.Job] > 0 {
			row.Percent *= float64(p.now.Sub(h.running[ref])) / float64(outageWork)
		}
		out = append(out, row)
	}
	return out
}

// crash crashes a worker; cause is the task that did it, the zero value for another reason.
func (p *outagePool) crash(h *outageHost, cause job.TaskID) {
	if !h.up {
		return
	}
	noticed := p.between(time.Millisecond, 30*time.Millisecond)
	h.up, h.seenAt = false, p.now.Add(noticed)
	h.crash = &link.Crash{Worker: h.id, Node: h.node, Service: "pool"}
	for _, ref := range inTaskOrder(h.running) {
		h.crash.Runs = append(h.crash.Runs, link.CrashedRun{RunRef: ref, AgeMS: p.now.Sub(h.running[ref]).Milliseconds()})
		if ref.Task == cause {
			p.own[ref.Task]++
		}
	}
	clear(h.running)
	h.silentAt, h.backAt = p.now.Add(p.between(150*time.Millisecond, 250*time.Millisecond)), p.now.Add(p.between(100*time.Millisecond, maxDown))
}

// crashAll crashes all workers, as a loss of power does.
func (p *outagePool) crashAll() {
	for _, h := range p.hosts {
		p.crash(h, job.TaskID{})
	}
}

// submit submits a job of one step, whose tasks crash their workers after a while unless that is 0.
func (p *outagePool) submit(id string, s job.Step, deadly time.Duration) {
	spec := one(id, 0, s)
	p.specs = append(p.specs, spec)
	if deadly > 0 {
		p.deadly[id] = deadly
	}
	p.core.Submit(p.now, spec)
}

// step plays one round.
func (p *outagePool) step() {
	p.now = p.now.Add(outageStep)
	for _, h := range p.hosts {
		switch {
		case h.up:
			p.runOn(h)
		case !p.now.Before(h.backAt):
			p.boot(h)
		case !p.now.Before(h.silentAt):
			p.core.UpdatePressure(p.now, h.id, 100, true)
		}
	}
	p.core.Schedule(p.now)
	p.store()
	commands := p.core.Commands()
	for _, h := range p.hosts {
		if o := commands[h.id]; h.up && o != nil {
			p.carryOut(h, o)
		}
	}
}

// runOn lets a worker crash under a deadly task, or list its runs.
func (p *outagePool) runOn(h *outageHost) {
	for _, ref := range inTaskOrder(h.running) {
		if after, ok := p.deadly[ref.Task.Job]; ok && p.now.Sub(h.running[ref]) >= after {
			p.crash(h, ref.Task)
			return
		}
	}
	if p.now.Sub(epoch0)%outageReports == 0 {
		p.core.Report(p.now, h.id, link.Listing{Running: p.rows(h)})
		p.core.UpdatePressure(p.now, h.id, 100, false)
	}
}

// carryOut carries out the commands to a worker.
func (p *outagePool) carryOut(h *outageHost, o *link.OwnerMessage) {
	for _, s := range o.Start {
		if p.own[s.Task] >= 3 {
			p.after[s.Task]++
		}
		h.running[s.RunRef] = p.now
	}
	var ends []link.RunEnd
	for _, ref := range o.Stop {
		if _, ok := h.running[ref]; ok {
			delete(h.running, ref)
			ends = append(ends, link.RunEnd{RunRef: ref, Outcome: link.Stopped})
		}
	}
	p.core.Ended(p.now, h.id, ends)
}

// store stores what has changed.
func (p *outagePool) store() {
	if b, ok := p.core.Flush(p.now); ok {
		for _, r := range b.Records {
			p.log[r.Key] = r.Value
		}
		p.core.Stored(p.now, b.Seq)
	}
}

// takeover loads the cell into a new core, to which all guards link.
func (p *outagePool) takeover() {
	p.core = New(options)
	for _, s := range p.specs {
		p.core.Submit(p.now, s)
	}
	for _, key := range slices.Sorted(maps.Keys(p.log)) {
		if len(p.log[key]) == 0 {
			continue
		}
		if err := p.core.Restore(p.now, key, p.log[key]); err != nil {
			p.t.Fatal(err)
		}
	}
	for _, h := range p.hosts {
		p.link(h)
	}
}

// play plays some time, with takeovers at random if one is due every so often on average.
func (p *outagePool) play(d, takeovers time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); {
		p.step()
		if takeovers > 0 && p.rng.Int64N(int64(takeovers)) < int64(outageStep) {
			p.takeover()
		}
	}
}

// checkBudget fails if a task that crashes workers was started more often after the third crash than customers allow.
func (p *outagePool) checkBudget() {
	p.t.Helper()
	for id, n := range p.after {
		if p.deadly[id.Job] > 0 && n > 2 {
			p.t.Errorf("%s was started %d times after it had crashed a third worker; it has crashed %d", id, n, p.own[id])
		}
	}
}

// checkHarmless fails if a job has failed that crashes no workers.
func (p *outagePool) checkHarmless() {
	p.t.Helper()
	for _, s := range p.specs {
		if v, _ := p.core.Job(s.ID); v.State == Failed && p.deadly[s.ID] == 0 {
			p.t.Errorf("%s has failed: %s", s.ID, v.Reason)
		}
	}
}

// checkWork fails unless all tasks of a job are at work.
func (p *outagePool) checkWork(id string, want int) {
	p.t.Helper()
	n := 0
	for _, h := range p.hosts {
		for ref := range h.running {
			if ref.Task.Job == id {
				n++
			}
		}
	}
	if n != want {
		p.t.Errorf("%d of %d tasks of %s are at work", n, want, id)
	}
}

// TestOutages guards against jobs that fail since all workers crash again and again at the same time, whatever the order and
// the delay of the reports, also after takeovers.
func TestOutages(t *testing.T) {
	for _, workers := range []int{3, 4, 5, 13} {
		for seed := range uint64(8) {
			t.Run(fmt.Sprintf("%d workers, seed %d", workers, seed), func(t *testing.T) {
				p := newOutagePool(t, workers, seed)
				p.submit("lasting", job.Step{Count: 2 * workers, Demand: cores(0.5), LongRunning: true}, 0)
				takeovers := time.Duration(seed%2) * 3 * time.Second
				for range 8 {
					p.play(p.between(200*time.Millisecond, 8*time.Second), takeovers)
					p.crashAll()
					p.play(maxDown, takeovers)
				}
				p.play(20*time.Second, 0)
				p.checkHarmless()
				p.checkWork("lasting", 2*workers)
			})
		}
	}
}

// TestDeadlyTasksInOutages guards against tasks that crash workers and are started more often since all workers crash for
// another reason now and then, or since several such tasks crash most workers of a pool at the same time.
func TestDeadlyTasksInOutages(t *testing.T) {
	for _, workers := range []int{1, 3, 13} {
		for _, after := range []time.Duration{20 * time.Millisecond, 3 * time.Second, 11 * time.Second} {
			for _, gang := range []bool{false, true} {
				for seed := range uint64(4) {
					t.Run(fmt.Sprintf("%d workers, after %s, gang %t, seed %d", workers, after, gang, seed), func(t *testing.T) {
						p := newOutagePool(t, workers, seed)
						takeovers := time.Duration(seed/2) * 5 * time.Second
						p.submit("lasting", job.Step{Count: workers, Demand: cores(0.5), LongRunning: true}, 0)
						p.play(time.Second, 0)
						p.submit("many", job.Step{Count: workers, Demand: cores(2), EstimateMS: outageWork.Milliseconds(), Gang: gang}, after)
						p.submit("one", job.Step{Count: 1, Demand: cores(0.5), EstimateMS: outageWork.Milliseconds()}, after)
						for range 3 {
							p.play(p.between(time.Second, 8*time.Second), takeovers)
							if seed%2 == 1 {
								p.crashAll()
							}
						}
						p.play(10*after+20*time.Second, takeovers)
						p.checkBudget()
						for id := range p.deadly {
							if v, _ := p.core.Job(id); v.State != Failed {
								t.Errorf("%s is %+v", id, v)
							}
						}
					})
				}
			}
		}
	}
}

// TestDeadlyTaskExplainsOutage guards against tasks that wait for isolated starts since workers have crashed together, although
// the task that was starting on theirs has turned out to crash workers.
func TestDeadlyTaskExplainsOutage(t *testing.T) {
	now := epoch0
	c := pool(now, "a", "b", "c")
	crash := func(id string, runs ...link.RunRef) {
		report := link.Crash{Worker: id, Node: "node-" + id[:1], Service: "pool", AgoMS: 1}
		for _, ref := range runs {
			report.Runs = append(report.Runs, link.CrashedRun{RunRef: ref, AgeMS: 20})
		}
		c.WorkerCrashed(now, report)
		c.Attach(now, report.Node, link.Worker{ID: id + "'", Service: "pool", Capacity: big}, link.Listing{})
	}
	c.Submit(now, one("deadly", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 1000}))
	id, deadly := firstStart(t, settle(now, c))
	c.Submit(now, one("other", 0, job.Step{Count: 9, Demand: cores(1), EstimateMS: 1000}))
	var beside []link.RunRef
	for at, starts := range started(settle(now, c)) {
		for _, s := range starts {
			if at == id {
				beside = append(beside, s.RunRef)
			}
		}
	}
	if len(beside) == 0 {
		t.Fatal("nothing starts beside the deadly task")
	}
	for _, w := range []string{"a", "b", "c"} {
		if w == id {
			crash(w, append(beside, deadly)...)
		} else {
			crash(w)
		}
	}
	task := c.task(deadly.Task)
	if len(task.crashes) != 1 || !task.crashes[0].Outage {
		t.Fatalf("crashes %+v, want one in an outage", task.crashes)
	}
	running := map[string][]link.RunStatus{}
	for end := now.Add(10 * time.Second); now.Before(end); now = now.Add(outageReports) {
		for at, starts := range started(settle(now, c)) {
			for _, s := range starts {
				running[at] = append(running[at], link.RunStatus{RunRef: s.RunRef})
				if s.Task == deadly.Task {
					crash(at, s.RunRef)
				}
			}
		}
		for at, rows := range running {
			c.Report(now, at, link.Listing{Running: rows})
		}
	}
	if c.jobs["deadly"].state != Failed {
		t.Fatalf("the deadly task isn't given up: %+v", task.crashes)
	}
	for _, ref := range beside {
		if got := c.task(ref.Task).crashes; len(got) > 0 {
			t.Errorf("%s still has crashes %+v", ref.Task, got)
		}
	}
}
