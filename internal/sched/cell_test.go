package sched_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"
)

// cellSeedsInCI is the number of seeds that a plain test run plays.
const cellSeedsInCI = 40

// envNumber returns the number in an environment variable, or another one if it isn't set.
func envNumber(t *testing.T, name string, otherwise uint64) uint64 {
	text := os.Getenv(name)
	if text == "" {
		return otherwise
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}

// TestCell joins guards, an owner and simulated workers, injects faults and judges that nothing stands still afterwards.
// CELL_SEED=n replays one seed with a trace; CELL_SEEDS=n plays that many, from CELL_FROM on.
func TestCell(t *testing.T) {
	playCells(t, playCell)
}

// playCells plays the seeds that the environment asks for, or those of a plain test run.
func playCells(t *testing.T, play func(t *testing.T, seed uint64, trace func(string))) {
	t.Helper()
	if seed := envNumber(t, "CELL_SEED", 0); seed > 0 {
		play(t, seed, func(line string) { fmt.Println(line) })
		return
	}
	from, count := envNumber(t, "CELL_FROM", 1), envNumber(t, "CELL_SEEDS", cellSeedsInCI)
	for seed := from; seed < from+count; seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { play(t, seed, nil) })
	}
}

// playCell plays one seed and reports its findings.
func playCell(t *testing.T, seed uint64, trace func(string)) {
	w := newCellWorld(seed, trace)
	newCellPlan(w).run()
	reportFindings(t, w)
}

// reportFindings reports the broken promises of a seed.
func reportFindings(t *testing.T, w *cellWorld) {
	t.Helper()
	for _, f := range w.findings {
		t.Errorf("seed %d at %.1f s, %.1f s calm: %s: %s", w.seed, float64(f.at)/1000, float64(f.calmMS)/1000, f.kind, f.text)
	}
}
