package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/announce"
	"github.com/crocusspring/crocusspring/internal/queue"
	"github.com/crocusspring/crocusspring/internal/record"
	"github.com/crocusspring/crocusspring/internal/resource"
	"github.com/crocusspring/crocusspring/internal/standin/workerstand"
	"github.com/crocusspring/crocusspring/internal/workerapi"
)

// eachSeed runs a scenario with several draws of delays.
func eachSeed(t *testing.T, f func(t *testing.T, seed uint64)) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) { f(t, seed) })
	}
}

// waitFor advances the time without faults until a condition holds, and returns how long that took.
func (m *model) waitFor(t *testing.T, what string, within time.Duration, ok func() bool) time.Duration {
	t.Helper()
	began := m.now
	for !ok() {
		if m.now.Sub(began) > within {
			t.Fatalf("not within %v: %s%s", within, what, m.open())
		}
		m.tick(false)
	}
	if len(m.hist.violations) > 0 {
		t.Fatal(m.hist.violations)
	}
	return m.now.Sub(began)
}

// job submits one job.
func (m *model) job(j Job) string {
	j.ID = fmt.Sprintf("j%d", len(m.jobs))
	if j.Workspace == "" {
		j.Workspace = "centre"
	}
	m.publish(record.KindJob, j)
	m.jobs = append(m.jobs, j.ID)
	return j.ID
}

// owner returns the core that owns the cell, or nil.
func (m *model) owner() *modelCore {
	for _, mc := range m.cores {
		if _, ok := mc.core.Owner(m.now); ok {
			return mc
		}
	}
	return nil
}

// task returns a task as the owner knows it.
func (m *model) task(id string) Task {
	if mc := m.owner(); mc != nil {
		t, _ := mc.core.Task(id)
		return t
	}
	return Task{}
}

// isRunning reports whether a worker runs a task.
func (m *model) isRunning(id string) func() bool {
	return func() bool { return m.hist.runningOn[id] != "" }
}

// newFaultless returns a model without faults and interference whose cell is owned, with workers as large
// as the history allows.
func newFaultless(t *testing.T, seed uint64, workers int) *model {
	t.Helper()
	m := newModel(chaos{Seed: seed}, workers)
	for _, w := range m.workers {
		w.w.SetTruth(workerstand.Truth{})
	}
	m.waitFor(t, "cell is owned", 2*time.Second, func() bool { return m.owner() != nil })
	return m
}

// unitSize is the size of most jobs.
var unitSize = resource.Vector{MilliCPU: 1000, MemoryMB: 100}

// TestUrgent checks that an urgent job starts in time in a full cell, evicting the attempts that lose the
// least work, and that the evicted tasks resume from their checkpoints.
func TestUrgent(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		m := newFaultless(t, seed, 2)
		for range 8 {
			id := m.job(Job{Class: "build", Declare: unitSize, RunMS: 30_000})
			m.waitFor(t, "build starts", 5*time.Second, m.isRunning(id))
		}
		id := m.job(Job{Class: "seat", Urgent: true, Declare: resource.Vector{MilliCPU: 1500, MemoryMB: 100}, RunMS: 1000})
		m.waitFor(t, "urgent job starts", 2600*time.Millisecond, m.isRunning(id))
		evicted := 0
		for _, b := range m.jobs[:8] {
			evicted += m.task(b).Evictions
		}
		if evicted != 2 {
			t.Fatalf("%d builds were evicted for a job of the size of two", evicted)
		}
		m.waitFor(t, "all end", 90*time.Second, m.allDone)
		if len(m.hist.resumed) != evicted {
			t.Fatalf("%d evictions, %d resumes", evicted, len(m.hist.resumed))
		}
	})
}

// TestChangeOfOwner checks that running tasks continue through a kill and a graceful stop of the owner, and
// that new jobs start in time.
func TestChangeOfOwner(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		m := newFaultless(t, seed, 2)
		running := m.job(Job{Class: "build", Declare: unitSize, RunMS: 25_000})
		m.waitFor(t, "build starts", 5*time.Second, m.isRunning(running))
		within := 10 * time.Second
		if seed%2 == 0 {
			m.owner().core.Leave()
			within = 2 * time.Second
		} else {
			*m.owner() = *m.newCore()
		}
		m.tick(false)
		id := m.job(Job{Class: "build", Declare: unitSize, RunMS: 1000})
		m.waitFor(t, "job starts under the new owner", within, m.isRunning(id))
		m.waitFor(t, "all end", 40*time.Second, m.allDone)
		if n := m.task(running).Attempt; n != 1 {
			t.Fatalf("running build needed %d attempts", n)
		}
	})
}

// TestTwoKills checks that a candidate which was too busy to answer the owner takes the cell within 10 s
// when the owner and the other candidate are killed together.
func TestTwoKills(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		m := newFaultless(t, seed, 2)
		owner := m.owner()
		others := slices.DeleteFunc(slices.Clone(m.cores), func(c *modelCore) bool { return c == owner })
		others[1].unresponsive = true
		began := m.now
		m.waitFor(t, "the lease is renewed", 5*time.Second, func() bool { return m.now.Sub(began) > 2*time.Second })
		*owner, *others[0] = *m.newCore(), *m.newCore()
		id := m.job(Job{Class: "build", Declare: unitSize, RunMS: 1000})
		m.waitFor(t, "job starts under a new owner", 10*time.Second, m.isRunning(id))
	})
}

// TestAllKilled checks that the cell is taken within 10 s when all its candidates are killed one after the
// other, so that no voter of the last holder remains.
func TestAllKilled(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		m := newFaultless(t, seed, 2)
		began := m.now
		m.waitFor(t, "voters are named", 10*time.Second, func() bool { return m.now.Sub(began) > 8*time.Second })
		for _, mc := range m.cores {
			at := m.now
			*mc = *m.newCore()
			m.waitFor(t, "a second passes", 2*time.Second, func() bool { return m.now.Sub(at) > time.Second })
		}
		id := m.job(Job{Class: "build", Declare: unitSize, RunMS: 1000})
		m.waitFor(t, "job starts under a new owner", 10*time.Second, m.isRunning(id))
	})
}

// TestExtendedLeaseOverlap checks that nothing runs twice when the owner and all its voters are cut off
// from the log together with a worker, and a candidate that is no voter takes the cell: the attempts on
// that worker are left alone for as long as the old owner may renew their lease, and are restarted
// elsewhere after that.
func TestExtendedLeaseOverlap(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		m := newFaultless(t, seed, 2)
		for range 4 {
			m.job(Job{Class: "build", Declare: unitSize, RunMS: 300_000})
		}
		m.waitFor(t, "builds start", 10*time.Second, func() bool { return len(m.hist.runningOn) == 4 })
		began := m.now
		m.waitFor(t, "voters are named", 10*time.Second, func() bool { return m.now.Sub(began) > 8*time.Second })
		old := m.owner()
		for _, mc := range m.cores {
			mc.logCutUntil = m.now.Add(2 * time.Minute)
		}
		fresh := m.newCore()
		fresh.cutWorker = "w0"
		m.cores = append(m.cores, fresh)
		cutAt, taken := m.now, time.Time{}
		overlapped := false
		m.waitFor(t, "builds of the cut worker go on elsewhere", time.Minute, func() bool {
			_, owns := fresh.core.Owner(m.now)
			if owns && taken.IsZero() {
				taken = m.now
			}
			_, still := old.core.Owner(m.now)
			overlapped = overlapped || owns && still
			moved := 0
			for _, id := range m.jobs {
				if t, _ := fresh.core.Task(id); t.Attempt > 1 && m.hist.runningOn[id] == "w1" {
					moved++
				}
			}
			return owns && moved == 2
		})
		if len(m.hist.violations) > 0 {
			t.Fatal(m.hist.violations)
		}
		if !overlapped || taken.Sub(cutAt) > 10*time.Second {
			t.Fatalf("taken after %v, beside the old owner: %v", taken.Sub(cutAt), overlapped)
		}
	})
}

// TestSnapshotAge checks that a cell with few entries writes snapshots as often as its setting requires, so
// that a log with a short retention time never drops the last one.
func TestSnapshotAge(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		m := newModel(chaos{Seed: seed}, 1)
		m.snapshotAge = 4 * time.Second
		for _, mc := range m.cores {
			*mc = *m.newCore()
		}
		m.waitFor(t, "cell is owned", 2*time.Second, func() bool { return m.owner() != nil })
		began := m.now
		m.waitFor(t, "time passes", 30*time.Second, func() bool { return m.now.Sub(began) > 25*time.Second })
		snapshots := 0
		for _, raw := range m.log {
			if env, err := record.Decode(raw); err == nil && env.Kind == record.KindSnapshot {
				snapshots++
			}
		}
		if snapshots < 4 {
			t.Fatalf("%d snapshots in 25 s", snapshots)
		}
	})
}

// TestLogDown checks that an owner continues while the log is unavailable for longer than any lease:
// running tasks continue and end, and nothing is run twice.
func TestLogDown(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		m := newFaultless(t, seed, 2)
		for range 4 {
			m.job(Job{Class: "build", Declare: unitSize, RunMS: 14_000})
		}
		m.waitFor(t, "builds start", 5*time.Second, func() bool { return len(m.hist.runningOn) == 4 })
		m.waitFor(t, "voters are named", 10*time.Second, func() bool { return m.now.Sub(time.Unix(1000, 0)) > 8*time.Second })
		m.logDownUntil = m.now.Add(15 * time.Second)
		m.waitFor(t, "builds end while the log is down", 12*time.Second, func() bool { return len(m.hist.runningOn) == 0 })
		m.waitFor(t, "the log contains all ends", 10*time.Second, m.allDone)
		if len(m.hist.started) != 4 {
			t.Fatalf("4 builds were started %d times", len(m.hist.started))
		}
	})
}

// TestServiceProtected checks that the neighbours of a slowed service are throttled and then evicted until
// its slowdown is below the limit, and that the service itself is neither throttled nor evicted.
func TestServiceProtected(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		m := newFaultless(t, seed, 1)
		w := m.workers[0].w
		// A neighbour that filled the worker would slow the service by this much; for odd seeds throttling is
		// not enough.
		interference := 4 + 16*float64(seed%2)
		truth := workerstand.Truth{Seed: seed, Strength: 1}
		truth.Strength = interference / truth.Pair("seat-check", "rebuild", 1)
		w.SetTruth(truth)
		w.SetResidents([]workerapi.Resident{{Name: "enrolment", Class: "seat-check", Reserve: unitSize}})
		for range 3 {
			m.job(Job{Class: "rebuild", Declare: unitSize, RunMS: 600_000})
		}
		began := false
		m.waitFor(t, "neighbours run", 10*time.Second, func() bool { began = began || len(m.hist.runningOn) == 3; return began })
		m.waitFor(t, "service slowdown is below the limit", 90*time.Second, func() bool {
			resp, err := w.Sync(m.now, workerapi.SyncRequest{Cell: "probe", Epoch: 1, Seq: m.now.UnixNano()})
			return err == nil && resp.Residents[0].Slowdown < defaultSlowdownLimit
		})
		m.waitFor(t, "a minute passes", 2*time.Minute, func() bool { return m.now.Sub(time.Unix(1000, 0)) > time.Minute })
		evicted := 0
		for _, id := range m.jobs {
			evicted += m.task(id).Evictions
		}
		if (evicted > 0) != (seed%2 == 1) || evicted > 3 {
			t.Fatalf("%d evictions where neighbours cause interference of %v", evicted, interference)
		}
	})
}

// TestBadWorker checks that a worker which fails every task fails no job for good, and that it gets tasks
// again once it has recovered. A job that fails everywhere is failed and does not count against workers.
func TestBadWorker(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		m := newFaultless(t, seed, 3)
		for _, w := range m.workers {
			w.w.SetTruth(workerstand.Truth{FailClass: "broken"})
		}
		m.workers[0].w.SetFailAll(true)
		broken := m.job(Job{Class: "broken", Declare: unitSize, RunMS: 1000})
		for range 40 {
			m.job(Job{Class: "build", Declare: unitSize, RunMS: 1000})
			m.tick(false)
		}
		m.waitFor(t, "all end", 60*time.Second, m.allDone)
		for _, id := range m.jobs {
			if s := m.task(id).State; (s == "failed") != (id == broken) {
				t.Fatalf("job %s is %s", id, s)
			}
		}
		if n := m.task(broken).Failures; n < 3 {
			t.Fatalf("broken job was given up after %d failures", n)
		}
		m.workers[0].w.SetFailAll(false)
		again := false
		m.waitFor(t, "worker gets work again", 2*time.Minute, func() bool {
			if len(m.hist.runningOn) < 3 {
				m.job(Job{Class: "build", Declare: unitSize, RunMS: 1000})
			}
			again = again || len(m.hist.running["w0"]) > 0
			return again
		})
	})
}

// TestUnschedulable checks that a job which no worker could hold is reported as unschedulable, blocks no
// other job, and runs when a large enough worker has joined.
func TestUnschedulable(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		m := newFaultless(t, seed, 1)
		big := m.job(Job{Class: "build", Declare: resource.Vector{MilliCPU: 5000, MemoryMB: 100}, RunMS: 1000})
		small := m.job(Job{Class: "build", Declare: unitSize, RunMS: 1000})
		m.waitFor(t, "small job starts", 5*time.Second, m.isRunning(small))
		m.waitFor(t, "big job is reported as unschedulable", 20*time.Second, func() bool { return m.task(big).State == StateUnschedulable })
		e, _ := m.owner().core.Explain(m.now, big)
		if e.Reason == "" || len(e.Filters) == 0 || e.Filters[0].Workers != 1 {
			t.Fatalf("explained by %+v", e)
		}
		m.workers[0].member.Capacity.MilliCPU, m.hist.capacity.MilliCPU = 6000, 6000
		m.waitFor(t, "big job starts", 10*time.Second, m.isRunning(big))
	})
}

// TestCutOwner checks that an owner which is cut off from the log stops in time, also when it is the only
// one that still reaches a worker, so that the next owner can't fence that worker.
func TestCutOwner(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		m := newModel(chaos{Seed: seed, Long: true}, 3)
		for range int(4 * time.Second / modelTick) {
			m.tick(true)
		}
		for _, mc := range m.cores {
			if _, ok := mc.core.Owner(m.now); ok {
				mc.logCutUntil = m.now.Add(time.Minute)
			} else {
				mc.cutWorker = "w0"
			}
		}
		for range int(12 * time.Second / modelTick) {
			m.tick(true)
		}
		if len(m.hist.violations) > 0 {
			t.Fatal(m.hist.violations)
		}
		if mc := m.owner(); mc == nil || m.now.Before(mc.logCutUntil) {
			t.Fatal("cell was not taken from an owner that is cut from the log")
		}
	})
}

// TestPolicies checks that quotas bound what runs at once, that tasks move off a drained worker and resume
// elsewhere, and that fixed classes are not evicted for an urgent job.
func TestPolicies(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		m := newFaultless(t, seed, 2)
		drained := ""
		p := Policies{
			Workspaces: map[string]queue.Policy{"small": {Weight: 1, Quota: resource.Vector{MilliCPU: 2000, MemoryMB: 1 << 40}}},
			Classes:    map[string]ClassPolicy{"roster": {Fixed: true}},
			Drained:    func(w announce.Member) (time.Duration, bool) { return time.Second, w.Name == drained },
		}
		for _, mc := range m.cores {
			m.step(mc, p)
		}
		for range 4 {
			m.job(Job{Workspace: "small", Class: "build", Declare: unitSize, RunMS: 2000})
		}
		never := m.job(Job{Workspace: "small", Class: "build", Declare: resource.Vector{MilliCPU: 1000, Accelerators: 1}, RunMS: 1})
		most := 0
		m.waitFor(t, "jobs of the small workspace end", 30*time.Second, func() bool {
			most = max(most, len(m.hist.runningOn))
			return m.task(m.jobs[3]).State == "finished" && m.task(never).State == StateUnschedulable
		})
		if most != 2 {
			t.Fatalf("%d jobs of a workspace with a quota for 2 ran at once", most)
		}
		id := m.job(Job{Class: "build", Declare: unitSize, RunMS: 20_000})
		m.waitFor(t, "build starts", 5*time.Second, m.isRunning(id))
		drained = m.hist.runningOn[id]
		for _, mc := range m.cores {
			m.step(mc, p)
		}
		m.waitFor(t, "build moves", 6*time.Second, func() bool { return m.hist.runningOn[id] != "" && m.hist.runningOn[id] != drained })
		if len(m.hist.resumed) != 1 {
			t.Fatalf("%d resumes", len(m.hist.resumed))
		}
		drained = ""
		for _, mc := range m.cores {
			m.step(mc, p)
		}
		for range 7 {
			m.job(Job{Class: "roster", Declare: unitSize})
		}
		m.waitFor(t, "cell is full", 10*time.Second, func() bool { return len(m.hist.runningOn) == 8 })
		urgent := m.job(Job{Class: "seat", Urgent: true, Declare: unitSize, RunMS: 100})
		m.waitFor(t, "urgent job starts", 2600*time.Millisecond, m.isRunning(urgent))
		for _, r := range m.jobs[len(m.jobs)-8 : len(m.jobs)-1] {
			if n := m.task(r).Evictions; n != 0 {
				t.Fatalf("fixed task %s was evicted", r)
			}
		}
	})
}
