package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
)

// crowdedPool is a pool whose first worker has all tasks of a step that lasts, when a second one attaches.
type crowdedPool struct {
	t   *testing.T
	now time.Time
	c   *Core
	// at is the worker of each run, ends the number of the newest end of each worker.
	at   map[link.RunRef]string
	ends map[string]int64
	// moves are the runs that were stopped, movedAt when; back counts starts on a worker that a task had left.
	moves   []link.RunRef
	movedAt []time.Duration
	most    int
}

// newCrowdedPool returns a pool in which four tasks run on the first worker and the second one has just attached.
func newCrowdedPool(t *testing.T, change func(*job.Spec)) *crowdedPool {
	t.Helper()
	p := &crowdedPool{t: t, now: epoch0, c: pool(epoch0, "a"), at: map[link.RunRef]string{}, ends: map[string]int64{}}
	spec := one("serve", 0, job.Step{Count: 4, Demand: cores(0.5), LongRunning: true, TailTargetMS: 100, Image: "s"})
	change(spec)
	p.c.Submit(p.now, spec)
	for range 3 {
		p.step()
	}
	if len(p.at) != 4 {
		t.Fatalf("%d tasks run, want 4", len(p.at))
	}
	p.c.Attach(p.now, "node-b", link.Worker{ID: "b", Service: "pool", Kind: "a", Rack: "r-b", Capacity: big}, link.Listing{})
	return p
}

// step plays a tenth of a second.
func (p *crowdedPool) step() {
	p.now = p.now.Add(100 * time.Millisecond)
	rows := map[string][]link.RunStatus{}
	for r, id := range p.at {
		rows[id] = append(rows[id], link.RunStatus{RunRef: r, Percent: 100, Measurement: 20})
	}
	for _, w := range p.c.sortedWorkers {
		p.c.Report(p.now, w.id, link.Listing{Running: rows[w.id]})
	}
	commands := settle(p.now, p.c)
	for id, d := range commands {
		p.most = max(p.most, len(d.Stop))
		for _, r := range d.Stop {
			delete(p.at, r)
			p.moves, p.movedAt = append(p.moves, r), append(p.movedAt, p.now.Sub(epoch0))
			p.ends[id]++
			p.c.Ended(p.now, id, []link.RunEnd{{Number: p.ends[id], RunRef: r, Outcome: link.Stopped}})
		}
		for _, s := range d.Start {
			p.at[s.RunRef] = id
		}
	}
	for {
		req, ok := p.c.NextApprovalRequest(p.now)
		if !ok {
			return
		}
		tickets := map[string]string{}
		for _, id := range req.Workers {
			tickets[id] = "t"
		}
		p.c.HandleApproval(p.now, req, Approval{Tickets: tickets, Valid: 3 * time.Second}, nil)
	}
}

// play plays some seconds.
func (p *crowdedPool) play(seconds int) {
	for range 10 * seconds {
		p.step()
	}
}

// on returns how many tasks run on a worker.
func (p *crowdedPool) on(id string) int {
	n := 0
	for _, at := range p.at {
		n += toInt(at == id)
	}
	return n
}

// TestReturnedWorkerGetsItsPart guards against services that stay on one machine for good, since it was the only one when they were
// placed: tasks are moved one at a time until the other worker has half of them, and no further.
func TestReturnedWorkerGetsItsPart(t *testing.T) {
	for name, change := range map[string]func(*job.Spec){
		"plain":  func(*job.Spec) {},
		"advice": func(s *job.Spec) { s.Policy.Advice = &job.Advice{DecideMS: 20, EachMS: 5, ValidMS: 3000} },
		"misses": func(s *job.Spec) { s.Steps[0].MayMiss = 3 },
	} {
		t.Run(name, func(t *testing.T) {
			p := newCrowdedPool(t, change)
			p.play(5)
			if p.c.CrowdedSteps() != 1 {
				t.Errorf("%d steps are crowded, want 1", p.c.CrowdedSteps())
			}
			p.play(60)
			if p.on("a") != 2 || p.on("b") != 2 || len(p.moves) != 2 || p.most > 1 {
				t.Errorf("%d tasks run on a, %d on b after moves at %v", p.on("a"), p.on("b"), p.movedAt)
			}
			if len(p.movedAt) > 0 && p.movedAt[0] < crowdedPatience {
				t.Errorf("the first task was moved after %s", p.movedAt[0])
			}
			if p.c.CrowdedSteps() != 0 {
				t.Errorf("%d steps are crowded, want 0", p.c.CrowdedSteps())
			}
		})
	}
}

// TestCrowdedTasksStay checks that tasks aren't moved where the step allows none to be away, for the sake of a gang, off a worker that
// holds half of them, or while the other worker takes none.
func TestCrowdedTasksStay(t *testing.T) {
	for name, change := range map[string]func(*job.Spec){
		"no misses": func(s *job.Spec) { s.Steps[0].MayMiss = 0 },
		"gang":      func(s *job.Spec) { s.Steps[0].Gang = true },
		"one task":  func(s *job.Spec) { s.Steps[0].Count, s.Steps[0].Demand = 1, cores(2) },
		"label":     func(s *job.Spec) { s.Steps[0].Requires = "r-a" },
	} {
		t.Run(name, func(t *testing.T) {
			p := &crowdedPool{t: t, now: epoch0, c: pool(epoch0, "a"), at: map[link.RunRef]string{}, ends: map[string]int64{}}
			spec := one("serve", 0, job.Step{Count: 4, Demand: cores(0.5), LongRunning: true, TailTargetMS: 100, Image: "s"})
			change(spec)
			p.c.Submit(p.now, spec)
			p.play(1)
			p.c.Attach(p.now, "node-b", link.Worker{ID: "b", Service: "pool", Kind: "a", Rack: "r-b", Capacity: big}, link.Listing{})
			p.play(60)
			if n := spec.Steps[0].Count; p.on("a") != n || len(p.moves) > 0 {
				t.Errorf("%d of %d tasks run on a after %d moves", p.on("a"), n, len(p.moves))
			}
		})
	}
}

// TestPackingYieldsToLosses checks the two ends of the score: in an idle service the tasks of a step are spread over at least three
// workers, with a demand of fillers for all that is left they share workers, and no worker has more than half of them.
func TestPackingYieldsToLosses(t *testing.T) {
	for _, fillers := range []bool{false, true} {
		t.Run(fmt.Sprint(fillers), func(t *testing.T) {
			now := epoch0
			c := New(Options{RunLease: 4 * time.Second, HalfQuorumTime: 2 * time.Second, Margin: 200 * time.Millisecond, JobRetention: time.Hour})
			for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
				c.Attach(now, "node-"+id, link.Worker{ID: id, Service: "pool", Rack: "r-" + id, Capacity: big}, link.Listing{})
			}
			if fillers {
				c.Submit(now, one("fill", 2, job.Step{Count: 60, Demand: cores(1), EstimateMS: 5000, Filler: true, Image: "f"}))
				settle(now, c)
				now = now.Add(demandInterval)
			}
			c.Submit(now, one("serve", 0, job.Step{Count: 6, Demand: cores(0.2), LongRunning: true, TailTargetMS: 100, Image: "s"}))
			settle(now, c)
			used, most := 0, 0
			for _, w := range c.sortedWorkers {
				n := c.jobs["serve"].occurrences[0].steps[0].countOn(w)
				used, most = used+min(n, 1), max(most, n)
			}
			if !fillers && (used < 3 || most > 2) {
				t.Errorf("6 tasks are on %d workers, up to %d on one, without fillers", used, most)
			}
			if fillers && (used > 3 || most > 3) {
				t.Errorf("6 tasks are on %d workers, up to %d on one, beside fillers", used, most)
			}
		})
	}
}

// domainPool is a pool of workers with the leases of a deployment, each in the rack and the data centre that its name begins with.
func domainPool(now time.Time, ids ...string) *Core {
	c := New(Options{RunLease: 4 * time.Second, HalfQuorumTime: 2 * time.Second, Margin: 200 * time.Millisecond, JobRetention: time.Hour})
	for _, id := range ids {
		c.Attach(now, "node-"+id, link.Worker{ID: id, Service: "pool", Rack: "r-" + id[:2], DataCentre: "dc-" + id[:1], Capacity: big}, link.Listing{})
	}
	return c
}

// TestSpreadsOverDomains guards against services that go down with one data centre or one rack, while machines elsewhere are idle.
func TestSpreadsOverDomains(t *testing.T) {
	for name, tt := range map[string]struct {
		workers []string
		domain  func(w *worker) string
	}{
		"data centres": {[]string{"a1x", "a2x", "a3x", "b1x", "b2x", "b3x"}, func(w *worker) string { return w.info.DataCentre }},
		"racks":        {[]string{"a1x", "a1y", "a1z", "a2x", "a2y", "a2z"}, func(w *worker) string { return w.info.Rack }},
	} {
		t.Run(name, func(t *testing.T) {
			c := domainPool(epoch0, tt.workers...)
			c.Submit(epoch0, one("serve", 0, job.Step{Count: 4, Demand: cores(0.1), LongRunning: true, TailTargetMS: 100, Image: "s"}))
			settle(epoch0, c)
			in := map[string]int{}
			for _, w := range c.sortedWorkers {
				if n := len(w.tasks); n > 1 {
					t.Errorf("%d tasks of 4 are on %s", n, w.id)
				}
				in[tt.domain(w)] += len(w.tasks)
			}
			if len(in) != 2 || in[tt.domain(c.sortedWorkers[0])] != 2 {
				t.Errorf("the tasks are spread as %v", in)
			}
		})
	}
}

// TestRackLocalityStaysInRack checks that a step whose tasks belong into one rack is spread over its machines only.
func TestRackLocalityStaysInRack(t *testing.T) {
	c := domainPool(epoch0, "a1x", "a1y", "a2x", "a2y")
	c.Submit(epoch0, one("serve", 0, job.Step{Count: 2, Demand: cores(0.1), LongRunning: true, TailTargetMS: 100, Image: "s", RackLocality: true}))
	settle(epoch0, c)
	for _, w := range c.sortedWorkers {
		if n, want := len(w.tasks), toInt(w.info.Rack == "r-a1"); n != want {
			t.Errorf("%d tasks are on %s, want %d", n, w.id, want)
		}
	}
}

// TestAsksAboutTwoParts guards against a service on one machine for want of approvals: the policy service was asked about no more
// workers than have room for the step twice over, as if each could hold all of it.
func TestAsksAboutTwoParts(t *testing.T) {
	now := epoch0
	c := pool(now, "a", "b", "c", "d", "e", "f")
	spec := one("serve", 0, job.Step{Count: 12, Demand: cores(0.1), LongRunning: true, TailTargetMS: 100, Image: "s"})
	spec.Policy.Advice = &job.Advice{DecideMS: 20, EachMS: 5, ValidMS: 3000}
	c.Submit(now, spec)
	settle(now, c)
	req, ok := c.NextApprovalRequest(now)
	if !ok || len(req.Workers) < 4 {
		t.Errorf("asks about %v for 12 tasks of which a worker should hold 6", req.Workers)
	}
}
