package sched

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
)

// standstillLines returns the inputs of the lines about what stands still since the last call.
func standstillLines(c *Core) []string {
	var out []string
	for _, d := range c.Decisions() {
		if d.Decision == event.Standstill {
			out = append(out, d.Reason)
		}
	}
	return out
}

// TestStandstillIsLogged guards against a job that waits beside free workers without a trace: the log must say since when,
// and what each worker refuses it for, and the metrics must count it.
func TestStandstillIsLogged(t *testing.T) {
	now := epoch0
	c := pool(now, "a")
	c.health.block(now, now.Add(8*time.Second), "a", "runs stand still")
	// No starved task starts on a worker without the label either.
	spec := one("job", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 1000, Requires: "large"})
	spec.Policy.MaxAttempts = 1
	c.Submit(now, spec)
	var lines []string
	for now.Before(epoch0.Add(7500 * time.Millisecond)) {
		now = now.Add(100 * time.Millisecond)
		settle(now, c)
		lines = append(lines, standstillLines(c)...)
	}
	if len(lines) != 2 || !strings.Contains(lines[0], "health: runs stand still x1") || !strings.Contains(lines[0], "idle=3") {
		t.Errorf("lines %q, want two with the reason, the first after three seconds", lines)
	}
	for _, want := range []string{"attempts=0/1", `doubtful="a over_in=`} {
		if len(lines) > 0 && !strings.Contains(lines[0], want) {
			t.Errorf("line %q, want %q in it", lines[0], want)
		}
	}
	if c.Standing() != 1 {
		t.Errorf("%d jobs stand still, want one", c.Standing())
	}
	now = now.Add(time.Second)
	attach(now, c, "b", "pool", "large")
	id, ref := firstStart(t, settle(now, c))
	c.Report(now, id, link.Listing{Running: []link.RunStatus{{RunRef: ref}}})
	settle(now.Add(standstillInterval), c)
	long := func(s Sample) bool { return s.Measure == MeasureStandstill && s.Time > 8*time.Second }
	if c.Standing() != 0 || !slices.ContainsFunc(c.Samples(), long) {
		t.Errorf("%d jobs stand still after the start; the time of more than 8 s isn't sampled", c.Standing())
	}
}

// TestFullPoolIsNoStandstill checks that a job which waits since the pool is full isn't reported.
func TestFullPoolIsNoStandstill(t *testing.T) {
	now := epoch0
	c := pool(now, "a")
	c.Submit(now, one("first", 0, job.Step{Count: 3, Demand: cores(1), EstimateMS: 60_000}))
	c.Submit(now, one("second", 0, job.Step{Count: 1, Demand: cores(2), EstimateMS: 1000}))
	percent := 0.0
	for now.Before(epoch0.Add(6 * time.Second)) {
		now = now.Add(100 * time.Millisecond)
		settle(now, c)
		percent++
		var rows []link.RunStatus
		for _, task := range c.workers["a"].tasks {
			rows = append(rows, link.RunStatus{RunRef: task.ref(), Percent: percent})
		}
		c.Report(now, "a", link.Listing{Running: rows})
	}
	if lines := standstillLines(c); len(lines) > 0 || c.Standing() > 0 {
		t.Errorf("reported in a full pool: %q", lines)
	}
}
