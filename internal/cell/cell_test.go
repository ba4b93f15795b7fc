package cell

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawChaos draws which faults a run has.
func drawChaos(t *rapid.T) chaos {
	on := func(name string) bool { return rapid.Bool().Draw(t, name) }
	c := chaos{
		Seed: rapid.Uint64().Draw(t, "seed"), Kill: on("kill"), Pause: on("pause"), Double: on("double"),
		LogDown: on("log down"), LogAnswers: on("log answers"), Cancel: on("cancel"), Expire: on("expire"),
		CutLog: on("cut log"),
	}
	if on("unreachable workers") {
		c.Crash, c.PauseWorker, c.Cut = on("crash"), on("pause worker"), on("cut")
		c.Lose, c.Delay = on("lose"), on("delay")
	}
	return c
}

// TestWholeCell checks under all faults that nothing runs in two places, nothing is started or resumed
// twice, no worker is overcommitted, and every accepted job ends once the faults stop.
func TestWholeCell(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawChaos(t)
		m := newModel(c, 4)
		for range int(12 * time.Second / modelTick) {
			m.tick(true)
			if len(m.hist.violations) > 0 {
				t.Fatalf("%+v: %v", c, m.hist.violations)
			}
		}
		ended := m.quiesce()
		if len(m.hist.violations) > 0 {
			t.Fatalf("%+v: %v", c, m.hist.violations)
		}
		if !ended {
			t.Fatalf("%+v: jobs have not ended: %s", c, m.open())
		}
		for _, id := range m.jobs {
			m.checkEnd(t, c, id)
		}
	})
}

// open describes the jobs that have not ended.
func (m *model) open() string {
	out := ""
	for _, mc := range m.cores {
		holder, _ := mc.core.Holder()
		out += fmt.Sprintf("\n%s ready %v, holder %q:", mc.core.opt.Self, mc.core.Ready(), holder)
		for _, id := range m.jobs {
			if t, ok := mc.core.Task(id); !ok || !t.Done() {
				out += fmt.Sprintf(" %s %s on %q (%s)", id, t.State, t.Worker, t.Reason)
			}
		}
	}
	return out
}

// checkEnd checks that all cores agree on the end of a job and that the workers observed this end. Only a
// worker that could not be reached for longer than its lease may have finished a job without the log
// recording it.
func (m *model) checkEnd(t *rapid.T, c chaos, id string) {
	want, _ := m.cores[0].core.Task(id)
	for _, mc := range m.cores[1:] {
		if got, _ := mc.core.Task(id); got.State != want.State || got.Attempt != want.Attempt {
			t.Fatalf("%+v: job %s is %s/%d on one core and %s/%d on another", c, id, want.State, want.Attempt, got.State, got.Attempt)
		}
	}
	n := m.hist.finished[id]
	hidden := c.Crash || c.Cut || c.PauseWorker || c.Delay || c.Lose
	if done := want.State == "finished"; done && n == 0 || !hidden && (n > 1 || n == 1 && !done) {
		t.Fatalf("%+v: job %s is %s and finished %d times", c, id, want.State, n)
	}
	if want.State == "cancelled" && !c.Cancel {
		t.Fatalf("%+v: job %s was never cancelled", c, id)
	}
}
