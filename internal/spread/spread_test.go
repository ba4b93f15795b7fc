package spread

import (
	"testing"
	"time"
)

// TestOverloadGrows checks that each further task in one place weighs more than the one before, and the last one of a step most: a
// step that is silent with the loss of one machine is what the weight is to avoid.
func TestOverloadGrows(t *testing.T) {
	for tasks := 1; tasks <= 64; tasks++ {
		before, rise := 0.0, 0.0
		for held := range tasks {
			v := Overload(held, tasks)
			if v-before <= rise && held > 1 {
				t.Errorf("task %d of %d weighs %.3f after %.3f, a rise no larger than %.3f before", held+1, tasks, v, before, rise)
			}
			if held > 0 {
				rise = v - before
			}
			before = v
		}
		if tasks > 1 && Overload(tasks-1, tasks)-Overload(tasks-2, tasks) < silence {
			t.Errorf("the last of %d tasks weighs %.3f, the one before %.3f", tasks, Overload(tasks-1, tasks), Overload(tasks-2, tasks))
		}
	}
}

// TestOverloadOutOfRange checks that counts which can't be don't lead to infinite weights.
func TestOverloadOutOfRange(t *testing.T) {
	for _, c := range []struct {
		held, tasks int
		want        float64
	}{{0, 0, 0}, {3, 0, 0}, {-1, 4, Overload(0, 4)}, {4, 4, Overload(3, 4)}, {9, 4, Overload(3, 4)}} {
		if got := Overload(c.held, c.tasks); got != c.want {
			t.Errorf("Overload(%d, %d) = %.3f, want %.3f", c.held, c.tasks, got, c.want)
		}
	}
}

// TestCostPrefers places the tasks of steps one by one where they cost least: no place gets a second one while a place like it has none,
// and one that takes twice as long to recover gets its first after the others.
func TestCostPrefers(t *testing.T) {
	const machines = 5
	for tasks := 2; tasks <= 20; tasks++ {
		var held [machines]int
		for range tasks {
			best, least := -1, 0.0
			for m := range machines {
				recovery := 4 * time.Second
				if m == 0 {
					recovery *= 2
				}
				if cost := Cost(tasks, recovery, 1, Place{Held: held[m], Frequency: 1}); best < 0 || cost < least {
					best, least = m, cost
				}
			}
			held[best]++
		}
		for m := 2; m < machines; m++ {
			if d := held[m] - held[1]; d < -1 || d > 1 {
				t.Errorf("%d tasks are spread as %v", tasks, held)
			}
		}
		if held[0] > held[1] || tasks < machines && held[0] > 0 {
			t.Errorf("%d tasks are spread as %v, the first place recovers slowly", tasks, held)
		}
	}
}

// TestShare checks that two places with Share tasks hold a whole step, and that no step has all its tasks in one.
func TestShare(t *testing.T) {
	for tasks := 2; tasks <= 64; tasks++ {
		if s := Share(tasks); 2*s < tasks || s >= tasks {
			t.Errorf("Share(%d) = %d", tasks, s)
		}
	}
}

// TestDemandFades checks that a demand counts in full while it lasts, half after its half-life, and that a smaller one doesn't end it.
func TestDemandFades(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	var d Demand
	if got := d.Expected(now); got != 0 {
		t.Errorf("a demand of nobody counts %.2f", got)
	}
	d.Observe(now, 7)
	if got := d.Expected(now); got != 1 {
		t.Errorf("a demand over the capacity counts %.2f, want 1", got)
	}
	now = now.Add(demandHalfLife)
	d.Observe(now, 0.1)
	if got := d.Expected(now); got != 0.5 {
		t.Errorf("it counts %.3f after its half-life, want 0.5", got)
	}
	now = now.Add(4 * demandHalfLife)
	d.Observe(now, 0.1)
	if got := d.Expected(now); got != 0.1 {
		t.Errorf("a smaller one counts %.3f after the first has faded, want 0.1", got)
	}
}
