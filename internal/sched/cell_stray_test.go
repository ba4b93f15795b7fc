package sched_test

import (
	"strings"
	"testing"

	"github.com/crocusspring/crocusspring/internal/guard"
	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
	"github.com/crocusspring/crocusspring/internal/resource"
)

// TestLateStartBeforeNewGuard guards against two runs of a task at a time: worker and guard of a machine start again, and a start that
// was held up reaches the new birth before the new guard has called it. The run is listed with the first inventory, which also
// says that the earlier birth is over.
func TestLateStartBeforeNewGuard(t *testing.T) {
	w := sceneWorld(3, nil)
	w.runUntil(1000)
	s := w.drawSpec("late")
	s.Steps = []job.Step{{Count: 1, Demand: resource.Vector{MilliCPU: 700, MemoryMB: 500}, EstimateMS: 10_000, MayMiss: job.NoMissLimit}}
	w.submit(s)
	w.runUntil(1500)
	var m *cellMachine
	var ref link.RunRef
	for _, other := range w.machines {
		if refs := other.exec.refs(); len(refs) == 1 {
			m, ref = other, refs[0]
		}
	}
	if m == nil {
		t.Fatal("the task doesn't run")
	}
	token := m.exec.token
	w.touch(2000)
	m.guard.kill()
	m.crash()
	w.runUntil(1700)
	m.boot(true)
	late := guard.Command{Token: token, UntilMS: m.exec.clock() + cellRunLeaseMS, Start: link.Start{Traits: link.Traits{RunRef: ref}}}
	if err := m.exec.start(late); err != nil {
		t.Fatal(err)
	}
	m.bootGuard()
	w.runUntil(30_000)
	w.reportAll(t)
	if v, _ := w.newest().core.Job("late"); v.State != "completed" {
		t.Errorf("job is %+v", v)
	}
}

// TestSuccessThatNobodyLists guards against a job that waits for a success which no listing can show: the worker has answered nothing
// since before the task succeeded there. Such a success counts for nothing, and the task runs again.
func TestSuccessThatNobodyLists(t *testing.T) {
	for _, fate := range []cellFate{fateLost, fateUnanswered, fateRefused} {
		w := sceneWorld(3, nil)
		w.runUntil(1000)
		s := w.drawSpec("unseen")
		s.Steps = []job.Step{{Count: 1, Demand: resource.Vector{MilliCPU: 700, MemoryMB: 500}, EstimateMS: 2000, MayMiss: job.NoMissLimit}}
		w.submit(s)
		w.runUntil(1500)
		n := w.judge.jobs["unseen"]
		for _, m := range w.machines {
			if len(m.exec.running) == 1 {
				m.spoil(fate)
			}
		}
		w.runUntil(1000 + 200 + 2000*14/10 + 100)
		if len(n.tasks[0].done) != 1 || n.allDone() {
			t.Errorf("fate %d: %d successes, all done is %t", fate, len(n.tasks[0].done), n.allDone())
		}
		w.runUntil(20_000)
		w.reportAll(t)
		if v, _ := w.newest().core.Job("unseen"); v.State != "completed" {
			t.Errorf("fate %d: job is %+v", fate, v)
		}
	}
}

// heldUpStart returns a world in which the start of the only task is held up at the first machine, whose worker and guard then die;
// it comes to whichever worker answers there 6.5 s after it was sent.
func heldUpStart(t *testing.T) (*cellWorld, *cellMachine) {
	t.Helper()
	w := sceneWorld(3, nil)
	w.runUntil(1000)
	for _, other := range w.machines[1:] {
		other.restartGuard(300)
	}
	w.runUntil(1050)
	s := w.drawSpec("late")
	s.Steps = []job.Step{{Count: 1, Demand: resource.Vector{MilliCPU: 700, MemoryMB: 500}, EstimateMS: 10_000, MayMiss: job.NoMissLimit}}
	w.submit(s)
	m := w.machines[0]
	m.exec.frozenUntil = w.now + 6500
	w.runUntil(2500)
	if n := w.judge.jobs["late"].running; n != 0 || !strings.Contains(w.newest().core.DescribeTasks("late"), "worker="+m.exec.id) {
		t.Fatalf("%d runs, want a start on its way to %s", n, m.exec.id)
	}
	w.touch(0)
	m.guard.kill()
	m.crash()
	return w, m
}

// TestLateStartAfterLapse guards against two runs of a task at a time: a start that was held up comes to a later birth of its worker
// after the lease of the earlier one has lapsed, while the guard is still away.
func TestLateStartAfterLapse(t *testing.T) {
	w, m := heldUpStart(t)
	w.after(1500, func() { m.boot(true) })
	w.after(5300, m.bootGuard)
	w.touch(5300)
	w.runUntil(40_000)
	w.reportAll(t)
	if v, _ := w.newest().core.Job("late"); v.State != "completed" {
		t.Errorf("job is %+v", v)
	}
}

// TestUnconfirmedStartOnLostMachine guards against a task that waits for too long for a machine that doesn't come back.
func TestUnconfirmedStartOnLostMachine(t *testing.T) {
	w, _ := heldUpStart(t)
	w.runUntil(w.now + calmBeforeMS + lostMS - 500)
	if n := w.judge.jobs["late"].running; n != 1 {
		t.Errorf("%d runs", n)
	}
	w.runUntil(40_000)
	w.reportAll(t)
}

// settledStart returns a world in which one start of a job with as many tasks as machines gets no answer and is held up: its guard lets
// the worker refuse it, which is settled, and the machine loses power 800 ms later. The start comes to the next birth of the worker
// 5.5 s after it was sent. It returns the machine as well.
func settledStart(t *testing.T, change func(s *job.Step)) (*cellWorld, *cellMachine) {
	t.Helper()
	w := sceneWorld(3, nil)
	w.runUntil(1000)
	m := w.machines[1]
	m.holdUpStart(5500)
	s := w.drawSpec("late")
	s.Steps = []job.Step{{Count: 3, Demand: resource.Vector{MilliCPU: 700, MemoryMB: 500}, EstimateMS: 15_000, AntiAffinity: 2, MayMiss: job.NoMissLimit}}
	if change != nil {
		change(&s.Steps[0])
	}
	w.submit(s)
	w.runUntil(2000)
	if m.heldUp.Task.Job != "late" {
		t.Fatal("no start was held up")
	}
	if !m.exec.refuses(m.heldUp) {
		t.Fatalf("the worker doesn't refuse %v", m.heldUp)
	}
	w.touch(0)
	m.guard.kill()
	m.crash()
	return w, m
}

// TestSettledStartInNextBirth guards against two runs of a task at a time: a start without an answer was settled by a stop, its task got
// the next run elsewhere, and the machine was lost with its guard. The next birth of the worker carried the start out.
func TestSettledStartInNextBirth(t *testing.T) {
	steps := map[string]func(s *job.Step){
		"finite":  nil,
		"filler":  func(s *job.Step) { s.Filler, s.Image = true, "f" },
		"lasting": func(s *job.Step) { s.LongRunning, s.MayMiss = true, 1 },
		"gang":    func(s *job.Step) { s.Gang = true },
	}
	for name, change := range steps {
		t.Run(name, func(t *testing.T) {
			w, m := settledStart(t, change)
			w.after(3500, func() { m.boot(true) })
			w.after(5000, m.bootGuard)
			w.touch(5000)
			w.runUntil(40_000)
			w.reportAll(t)
			if v, _ := w.newest().core.Job("late"); v.State != "completed" && name != "lasting" {
				t.Errorf("job is %+v", v)
			}
		})
	}
}

// TestSettledStartAfterTakeover is TestSettledStartInNextBirth with another owner, which knows of the start from the store only.
func TestSettledStartAfterTakeover(t *testing.T) {
	w, m := settledStart(t, nil)
	w.after(100, func() { w.newest().kill() })
	w.after(2100, func() {
		w.takeOver(0)
		w.guardsFollow(300)
	})
	w.after(3500, func() { m.boot(true) })
	w.after(5000, m.bootGuard)
	w.touch(5000)
	w.runUntil(40_000)
	w.reportAll(t)
}

// TestSettledStartOnLostMachine guards against a task that waits for too long for a machine that doesn't come back.
func TestSettledStartOnLostMachine(t *testing.T) {
	w, m := settledStart(t, func(s *job.Step) { s.LongRunning, s.MayMiss = true, 1 })
	m.gone = true
	w.runUntil(40_000)
	w.reportAll(t)
	if n := w.judge.jobs["late"].running; n != 3 {
		t.Errorf("%d runs, want three", n)
	}
}
