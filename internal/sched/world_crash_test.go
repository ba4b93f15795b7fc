package sched

import (
	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
)

// crash ends an incarnation and starts a new one. If the guard lives, it reports the crash when it links.
func (w *world) crash(node string, guardLives bool) {
	if !guardLives {
		delete(w.reports, node)
	}
	for _, e := range w.execs {
		if e.node != node || !e.up {
			continue
		}
		e.up = false
		report := link.Crash{Worker: e.id}
		for _, ref := range refs(e) {
			w.crashed[ref.Task]++
			report.Runs = append(report.Runs, link.CrashedRun{RunRef: ref, AgeMS: w.now.Sub(e.running[ref].started).Milliseconds()})
		}
		if guardLives {
			w.reports[node] = append(w.reports[node], report)
		}
		clear(e.running)
	}
	if e := w.attached[node]; e != nil {
		delete(w.attached, node)
		w.core.Detach(w.now, e.id)
	}
	w.boot(node)
}

// checkFailures checks that no job has failed without a cause: a task that failed as often as it may, or under which
// two workers have crashed.
func (w *world) checkFailures() {
	for _, s := range w.specs {
		if v, _ := w.core.Job(s.ID); v.State != Failed || w.hasCause(s) {
			continue
		}
		w.t.Fatalf("%s has failed without a cause", s.ID)
	}
}

// hasCause reports whether a job may be given up.
func (w *world) hasCause(s *job.Spec) bool {
	failures := map[job.TaskID]int{}
	for _, e := range w.execs {
		for _, end := range e.ended {
			if end.Outcome == link.Failed && end.Task.Job == s.ID {
				failures[end.Task]++
			}
		}
	}
	for id, n := range failures {
		if n >= s.Policy.MaxAttempts && !w.stepOf(id).LongRunning {
			return true
		}
	}
	for id, n := range w.crashed {
		if id.Job == s.ID && n >= 2 {
			return true
		}
	}
	return false
}

// deadlyStarted crashes the worker that has started a task which crashes each one, and checks how often it is started.
func (w *world) deadlyStarted(e *executor, id job.TaskID, late bool) {
	if w.crashed[id] >= 3 && !late {
		w.startsAfter[id]++
	}
	if w.startsAfter[id] >= 3 {
		w.t.Fatalf("%s started three times more after three crashes under it", id)
	}
	w.crash(e.node, true)
}
