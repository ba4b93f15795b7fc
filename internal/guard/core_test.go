package guard

import (
	"errors"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
	"github.com/crocusspring/crocusspring/internal/resource"
)

// newTestCore returns a core that knows its worker and is vouched for at time 1000.
func newTestCore(t *testing.T) *Core {
	t.Helper()
	c := NewCore(Options{Node: "n", RunLease: 4 * time.Second, MaxHold: 6 * time.Second})
	c.Describe(worker("life-1"))
	if !c.Vouch(link.Down{Epoch: 1, EchoMS: 1000}) {
		t.Fatal("first owner is refused")
	}
	c.Listed(1000, nil, Listing{Life: "life-1", ClockMS: 50_000})
	return c
}

// worker describes a life.
func worker(id string) link.Worker {
	return link.Worker{ID: id, Service: "pool", Capacity: resource.Vector{MilliCPU: 16000, MemoryMB: 64000}}
}

// ref names a run.
func ref(index, run int) link.RunRef {
	return link.RunRef{Task: job.TaskID{Job: "job", Index: index}, Run: run}
}

// start orders a run.
func start(index, run int) link.Start {
	return link.Start{Traits: link.Traits{RunRef: ref(index, run)}}
}

// TestLease checks that runs are kept alive exactly as long as the owner vouches for them, on the
// worker's clock, and never beyond the longest lease.
func TestLease(t *testing.T) {
	c := newTestCore(t)
	if got, want := c.Until(1000), int64(54_000); got != want {
		t.Errorf("lease ends at %d, want %d", got, want)
	}
	if got := c.Until(5000); got != 0 {
		t.Errorf("lease of %d without authority", got)
	}
	c.Vouch(link.Down{Epoch: 1, EchoMS: 9000})
	if got, want := c.Until(1000), int64(56_000); got != want {
		t.Errorf("lease ends at %d, want at most %d", got, want)
	}
	c.Silent()
	if got := c.Until(1000); got != 0 {
		t.Errorf("lease of %d for a worker that doesn't answer", got)
	}
}

// TestReplacedOwner checks that an owner that was replaced is not obeyed.
func TestReplacedOwner(t *testing.T) {
	c := newTestCore(t)
	if !c.Vouch(link.Down{Epoch: 2, EchoMS: 1100}) {
		t.Error("newer owner is refused")
	}
	if c.Vouch(link.Down{Epoch: 1, EchoMS: 9000}) {
		t.Error("older owner is obeyed")
	}
	if c.deadline != 5100 {
		t.Errorf("an older owner moved the deadline to %d", c.deadline)
	}
}

// TestUnansweredStart checks that a start without an answer, which the next look doesn't show, is settled
// by a stop, and reported absent only by a look that began after the stop was answered.
func TestUnansweredStart(t *testing.T) {
	c := newTestCore(t)
	if _, ok := c.Begin(1000, start(0, 1)); !ok {
		t.Fatal("start refused")
	}
	early := c.Settled()
	c.Began(ref(0, 1), errors.New("no answer"), false, "")
	c.Listed(1050, early, Listing{Life: "life-1", ClockMS: 50_050})
	if got := c.Stops(); len(got) != 0 || !c.InDoubt() {
		t.Fatalf("stops %v after a look that began before the order was given up", got)
	}
	c.Listed(1060, c.Settled(), Listing{Life: "life-1", ClockMS: 50_060})
	if got := c.Stops(); len(got) != 1 || got[0].Start.RunRef != ref(0, 1) {
		t.Fatalf("stops %v, want one of the run", got)
	}
	before := c.Settled()
	c.Halted(ref(0, 1), nil)
	c.Listed(1100, before, Listing{Life: "life-1", ClockMS: 50_100})
	if up := c.Report(1100, nil, false); len(up.Ended) != 0 {
		t.Fatalf("reported %v by a look that began before the stop was answered", up.Ended)
	}
	c.Listed(1200, c.Settled(), Listing{Life: "life-1", ClockMS: 50_200})
	up := c.Report(1200, nil, false)
	if len(up.Ended) != 1 || up.Ended[0].Outcome != link.Absent || up.Ended[0].RunRef != ref(0, 1) {
		t.Errorf("reported %v, want the run as absent", up.Ended)
	}
}

// TestLostAnswer checks that a run that is listed after its start got no answer goes on.
func TestLostAnswer(t *testing.T) {
	c := newTestCore(t)
	c.Begin(1000, start(0, 1))
	c.Began(ref(0, 1), errors.New("no answer"), false, "")
	running := []link.RunStatus{{RunRef: ref(0, 1), Percent: 3}}
	c.Listed(1050, c.Settled(), Listing{Life: "life-1", ClockMS: 50_050, Running: running})
	if got := c.Stops(); len(got) != 0 || c.InDoubt() {
		t.Errorf("stops %v for a run that is there, in doubt %v", got, c.InDoubt())
	}
}

// TestUnansweredStop checks that a stop is ordered again until it is answered.
func TestUnansweredStop(t *testing.T) {
	c := newTestCore(t)
	c.Halt(ref(0, 1))
	for range 3 {
		if got := c.Stops(); len(got) != 1 {
			t.Fatalf("stops %v, want one", got)
		}
		if got := c.Stops(); len(got) != 0 {
			t.Fatalf("stops %v while one is under way", got)
		}
		c.Halted(ref(0, 1), errors.New("no answer"))
	}
}

// TestDraining checks that a draining worker gets no new run, and that the owner is told so.
func TestDraining(t *testing.T) {
	c := newTestCore(t)
	w := worker("life-1")
	w.Draining = true
	c.Describe(w)
	if _, ok := c.Begin(1000, start(0, 1)); ok {
		t.Error("a run was started on a draining worker")
	}
	up := c.Report(1000, nil, false)
	if len(up.Ended) != 1 || up.Ended[0].Outcome != link.Absent {
		t.Errorf("reported %v, want the run as absent", up.Ended)
	}
	if up.Worker == nil || !up.Worker.Draining {
		t.Errorf("described as %v, want draining", up.Worker)
	}
}

// TestNewLife checks that a new life is believed only when the old one no longer answers, and that the
// end of the old one is reported.
func TestNewLife(t *testing.T) {
	c := newTestCore(t)
	c.Begin(1000, start(0, 1))
	c.Describe(worker("life-2"))
	if q, _ := c.Looking(1000, 0); q.Life != "life-1" {
		t.Fatalf("asks %s, want the life that answers", q.Life)
	}
	c.OtherLife("life-1")
	up := c.Report(1100, nil, false)
	if len(up.Over) != 1 || up.Over[0] != "life-1" {
		t.Errorf("over %v, want life-1", up.Over)
	}
	if q, ok := c.Looking(1100, 0); !ok || q.Life != "life-2" || q.UntilMS != 0 {
		t.Errorf("asks %+v, %v; want life-2 without a lease", q, ok)
	}
	c.Listed(1200, c.Settled(), Listing{Life: "life-2", ClockMS: 7})
	if len(c.runs) != 0 {
		t.Errorf("runs %v of the old life are still known", c.runs)
	}
}

// TestOrdersForOldLife checks that orders which the owner gave before it knew of a new life of the worker
// change nothing in the new one: a start would run beside the one that replaces it, and ends would be
// forgotten that nobody has seen.
func TestOrdersForOldLife(t *testing.T) {
	c := newTestCore(t)
	c.OtherLife("life-1")
	c.Describe(worker("life-2"))
	c.Listed(1200, nil, Listing{Life: "life-2", ClockMS: 7})
	d := link.Down{Epoch: 1, EchoMS: 1300, Worker: "life-1", Start: []link.Start{start(0, 1)}, Forget: 5}
	if !c.Vouch(d) {
		t.Fatal("owner is refused")
	}
	if c.Meant(d) {
		t.Error("a start for the old life is taken for the new one")
	}
	if q, _ := c.Looking(1300, 0); q.LastSeen != 0 {
		t.Errorf("ends up to %d are forgotten in the new life", q.LastSeen)
	}
	d.Worker = "life-2"
	c.Vouch(d)
	if q, _ := c.Looking(1300, 0); !c.Meant(d) || q.LastSeen != 5 {
		t.Errorf("orders for the new life are left, forgets up to %d", q.LastSeen)
	}
}

// TestDelayedAnnouncement checks that a late word of an old life changes nothing.
func TestDelayedAnnouncement(t *testing.T) {
	c := newTestCore(t)
	c.Describe(worker("life-0"))
	c.Listed(1100, nil, Listing{Life: "life-1", ClockMS: 50_100})
	c.OtherLife("life-0")
	if c.info.ID != "life-1" || c.other != nil {
		t.Errorf("known as %v, other %v", c.info, c.other)
	}
}

// TestPacer checks the last resort: a serving task that stays over its target gets fillers slowed after
// the owner had its time, and they get their pace back when the tail has fallen.
func TestPacer(t *testing.T) {
	p := newPacer()
	runs := map[link.RunRef]*run{
		ref(0, 1): {Traits: link.Traits{TailTargetMS: 100}, phase: listed, figure: 150},
		ref(1, 1): {Traits: link.Traits{Filler: true}, phase: listed},
	}
	now := int64(10_000)
	for p.percent == fullPace && now < 20_000 {
		p.observe(now, runs)
		now += 100
	}
	if waited := now - 10_000; waited < patienceMS || waited > patienceMS+200 {
		t.Errorf("slowed after %d ms, want about %d", waited, patienceMS)
	}
	for range 30 {
		p.observe(now, runs)
		now += 100
	}
	if p.percent != 0 {
		t.Errorf("fillers at %v percent beside a task that stays over its target", p.percent)
	}
	runs[ref(0, 1)].figure = 95
	for range 30 {
		p.observe(now, runs)
		now += 100
	}
	if p.percent != fullPace {
		t.Errorf("fillers at %v percent after the tail has fallen below its target", p.percent)
	}
}
