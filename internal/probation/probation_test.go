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
