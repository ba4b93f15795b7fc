package probation

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// TestBadWorker checks that a worker on which every task fails is put on probation after three tasks, goes
// on trial, gets a longer probation if the trial fails, and is Good again after successful trials.
func TestBadWorker(t *testing.T) {
	tr := New(DefaultLimits())
	now := start
	n := 0
	end := func(worker string, failed bool) bool {
		n++
		now = now.Add(time.Second)
		tr.Started(now, worker, fmt.Sprint(n))
		return tr.Ended(now, worker, fmt.Sprint(n), failed)
	}
	for range 10 {
		end("good", false)
		end("fine", false)
	}
	for i := range 3 {
		if got := tr.Refuse(now, "bad"); got != "" {
			t.Fatalf("start %d is refused: %s", i+1, got)
		}
		end("bad", true)
	}
	if tr.Refuse(now, "bad") == "" || tr.Refuse(now, "good") != "" {
		t.Fatal("the bad worker is not the one on probation")
	}
	now = now.Add(DefaultLimits().First)
	if tr.State(now, "bad") != Trial {
		t.Fatal("probation does not end in trial")
	}
	tr.Started(now, "bad", "try")
	if tr.Refuse(now, "bad") == "" {
		t.Error("a second task starts on a worker on trial")
	}
	tr.Ended(now, "bad", "try", true)
	if tr.State(now.Add(DefaultLimits().First+time.Second), "bad") != Probation {
		t.Error("a failed trial does not lengthen probation")
	}
	now = now.Add(2 * DefaultLimits().First)
	if tr.State(now, "bad") != Trial {
		t.Fatal("second probation does not end")
	}
	end("bad", false)
	if !end("bad", false) || tr.State(now, "bad") != Good {
		t.Error("successful trials do not restore the worker")
	}
}

// TestBadTasks checks that tasks that fail on every worker put no worker on probation, in any order.
func TestBadTasks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := New(DefaultLimits())
		now := start
		workers := []string{"a", "b", "c", "d"}
		for i := range rapid.IntRange(1, 60).Draw(t, "tasks") {
			first := rapid.IntRange(0, 3).Draw(t, "first")
			now = now.Add(time.Second)
			if rapid.Bool().Draw(t, "bad") {
				for k := range 3 {
					tr.Ended(now, workers[(first+k)%4], fmt.Sprint(i), true)
				}
			} else {
				tr.Ended(now, workers[first], fmt.Sprint(i), false)
			}
			for _, w := range workers {
				if s := tr.State(now, w); s != Good {
					t.Fatalf("worker %s is on %s because of bad tasks", w, s)
				}
			}
		}
	})
}

// TestLastingTaskPassesTrial guards against a worker that stays on trial for good: the task on trial has no end. One that
// doesn't last for Proof doesn't pass, and the end of one that has passed is no second trial.
func TestLastingTaskPassesTrial(t *testing.T) {
	l := DefaultLimits()
	tr := New(l)
	now := start
	for i := range 3 {
		tr.Ended(now, "w", fmt.Sprint(i), true)
	}
	now = now.Add(l.First)
	tr.Started(now, "w", "lasting")
	for range 2 {
		tr.Listed(now, "w", "lasting")
		if tr.Refuse(now, "w") == "" {
			t.Fatal("the trial has passed before its time")
		}
		now = now.Add(l.Proof / 2)
	}
	if tr.Listed(now, "w", "other") || tr.Refuse(now, "w") == "" {
		t.Error("another task has passed the trial")
	}
	tr.Listed(now, "w", "lasting")
	if got := tr.Refuse(now, "w"); got != "" {
		t.Errorf("refused after the trial: %s", got)
	}
	if tr.Ended(now, "w", "lasting", false); tr.State(now, "w") != Trial {
		t.Error("one task has passed two trials")
	}
	tr.Started(now, "w", "second")
	tr.Listed(now, "w", "second")
	now = now.Add(l.Proof)
	if !tr.Listed(now, "w", "second") || tr.State(now, "w") != Good {
		t.Errorf("worker is %s after two trials", tr.State(now, "w"))
	}
}

// longProbation are limits under which a probation outlasts the proof that a worker is sound.
func longProbation() Limits {
	l := DefaultLimits()
	l.First = 4 * l.Proof
	return l
}

// onProbation returns a tracker with a worker that has just been put on probation.
func onProbation(t *testing.T) *Tracker {
	t.Helper()
	tr := New(longProbation())
	for n := range DefaultLimits().Failures {
		tr.Ended(start, "w", fmt.Sprint(n), true)
	}
	if tr.State(start, "w") != Probation {
		t.Fatalf("worker is %s, want it on probation", tr.State(start, "w"))
	}
	return tr
}

// TestRunEndsProbation guards against a worker that is sound again and takes nothing until its probation is over, although a run
// that was started there meanwhile shows it.
func TestRunEndsProbation(t *testing.T) {
	tr := onProbation(t)
	tr.Started(start, "w", "bold")
	tr.Listed(start, "w", "bold")
	if tr.Listed(start.Add(DefaultLimits().Proof-1), "w", "bold") || tr.State(start, "w") != Probation {
		t.Fatal("probation is over before the run has been listed for long enough")
	}
	if !tr.Listed(start.Add(DefaultLimits().Proof), "w", "bold") || tr.State(start, "w") != Trial || tr.Refuse(start, "w") != "" {
		t.Fatalf("worker is %s and refuses with %q after the run has been listed for long enough", tr.State(start, "w"), tr.Refuse(start, "w"))
	}
	tr.Started(start, "w", "second")
	tr.Ended(start, "w", "second", false)
	if tr.State(start, "w") != Good {
		t.Errorf("worker is %s after a trial beside that", tr.State(start, "w"))
	}
}

// TestFailureOnProbationProvesNothing checks that a run which fails on probation neither ends nor lengthens it, and that success
// of one that was started before doesn't end it.
func TestFailureOnProbationProvesNothing(t *testing.T) {
	tr := onProbation(t)
	tr.Ended(start, "w", "earlier", false)
	tr.Started(start, "w", "bold")
	tr.Ended(start, "w", "bold", true)
	if tr.State(start, "w") != Probation {
		t.Fatalf("worker is %s, want it on probation", tr.State(start, "w"))
	}
	if tr.State(start.Add(longProbation().First), "w") != Trial {
		t.Error("a failure on probation has lengthened it")
	}
	tr = onProbation(t)
	tr.Started(start, "w", "bold")
	if tr.Ended(start, "w", "bold", false); tr.State(start, "w") != Trial {
		t.Errorf("worker is %s after a success, want it on trial", tr.State(start, "w"))
	}
}

// TestProving guards against a worker that proves itself before a trial has passed or after one has failed, and against a trial that
// doesn't pass while further tasks start beside it: the first one is watched.
func TestProving(t *testing.T) {
	tr := onProbation(t)
	now := start.Add(longProbation().First)
	tr.Started(now, "w", "first")
	tr.Started(now, "w", "beside")
	tr.Listed(now, "w", "first")
	if tr.Proving(now, "w") || tr.Proving(now, "unknown") {
		t.Error("a worker proves itself without a trial")
	}
	now = now.Add(DefaultLimits().Proof)
	if tr.Listed(now, "w", "first"); !tr.Proving(now, "w") {
		t.Error("the worker doesn't prove itself although the first task's trial has passed")
	}
	if tr.Ended(now, "w", "beside", true); tr.Proving(now, "w") {
		t.Error("the worker proves itself after a failed trial")
	}
}
