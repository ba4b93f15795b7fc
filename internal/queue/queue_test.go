package queue

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/resource"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// jain returns Jain's fairness index of the amounts in x.
func jain(x []float64) float64 {
	var sum, squares float64
	for _, v := range x {
		sum += v
		squares += v * v
	}
	return sum * sum / (float64(len(x)) * squares)
}

// TestFairWhileBacklogged runs four backlogged workspaces with different weights and task sizes on a
// small cell and checks Jain's index of service per weight.
func TestFairWhileBacklogged(t *testing.T) {
	total := resource.Vector{MilliCPU: 16000, MemoryMB: 60000}
	shares := NewShares(total)
	q := New(DefaultLimits(), shares)
	type shape struct {
		weight float64
		demand resource.Vector
		runs   time.Duration
	}
	shapes := []shape{
		{1, resource.Vector{MilliCPU: 4000, MemoryMB: 1000}, 40 * time.Second},
		{2, resource.Vector{MilliCPU: 500, MemoryMB: 6000}, 5 * time.Second},
		{1, resource.Vector{MilliCPU: 8000, MemoryMB: 8000}, 90 * time.Second},
		{4, resource.Vector{MilliCPU: 1000, MemoryMB: 1000}, 11 * time.Second},
	}
	type running struct {
		it  Item
		end time.Time
	}
	var run []running
	var held Item // the task that holds capacity
	served := make([]float64, len(shapes))
	free := total
	n := 0
	for w, s := range shapes {
		shares.SetPolicy(fmt.Sprint(w), Policy{Weight: s.weight})
	}
	for now := start; now.Before(start.Add(2 * time.Hour)); now = now.Add(time.Second) {
		keep := run[:0]
		for _, r := range run {
			if now.Before(r.end) {
				keep = append(keep, r)
				continue
			}
			free = free.Add(r.it.Demand)
			shares.Refund(now, r.it.Workspace, r.it.Lane, r.it.Demand)
			q.Wake()
		}
		run = keep
		for w, s := range shapes {
			for q.waiting[fmt.Sprint(w)] < 40 {
				n++
				q.Add(Item{ID: fmt.Sprint(n), Workspace: fmt.Sprint(w), Demand: s.demand, Order: int64(n), QueuedAt: now})
			}
		}
		for {
			it, ok := held, held.ID != ""
			if !ok {
				it, ok = q.Next(now)
			}
			if !ok || !it.Demand.Fits(free) && held.ID != "" {
				break
			}
			if !it.Demand.Fits(free) {
				if q.MayHold(now, it) {
					held = it
				} else {
					q.BackOff(now, it.ID, "full")
				}
				continue
			}
			var w int
			_, _ = fmt.Sscan(it.Workspace, &w)
			q.Placed(it.ID)
			held = Item{}
			free = free.Sub(it.Demand)
			shares.Charge(now, it.Workspace, it.Lane, it.Demand)
			run = append(run, running{it, now.Add(shapes[w].runs)})
			served[w] += shares.dominant(it.Demand) * shapes[w].runs.Seconds() / shapes[w].weight
		}
	}
	if j := jain(served); j < 0.95 {
		t.Errorf("Jain's index of service per weight is %.3f, service is %.0f", j, served)
	} else {
		t.Logf("Jain's index %.4f, service per weight %.0f", j, served)
	}
}

// TestQueueModel checks under random operations that no task is lost or returned twice, that parked tasks
// and tasks in backoff are not returned early, and that urgent ones come first.
func TestQueueModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shares := NewShares(resource.Vector{MilliCPU: 1000})
		q := New(DefaultLimits(), shares)
		now := start
		in := map[string]Item{}
		parkedIDs := map[string]bool{}
		waiting := map[string]time.Time{}
		tries := map[string]int{}
		for i := range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "op") {
			case 0, 1:
				it := Item{
					ID: fmt.Sprint(i), Workspace: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "ws"),
					Lane: Lane(rapid.IntRange(0, 1).Draw(t, "lane")), Urgent: rapid.IntRange(0, 4).Draw(t, "u") == 0,
					Order: int64(i), QueuedAt: now, Demand: resource.Vector{MilliCPU: 1},
				}
				q.Add(it)
				in[it.ID] = it
			case 2, 3:
				it, ok := q.Next(now)
				if !ok {
					break
				}
				if due, w := waiting[it.ID]; w && now.Before(due) {
					t.Fatalf("task %s was returned %v before the end of its backoff", it.ID, due.Sub(now))
				}
				if _, known := in[it.ID]; !known || parkedIDs[it.ID] {
					t.Fatalf("task %s was returned although it is removed or parked", it.ID)
				}
				for id, other := range in {
					if other.Urgent && !it.Urgent && !parkedIDs[id] && !now.Before(waiting[id]) {
						t.Fatalf("task %s was returned before urgent task %s", it.ID, id)
					}
				}
				delete(waiting, it.ID)
				switch rapid.IntRange(0, 2).Draw(t, "answer") {
				case 0:
					q.Placed(it.ID)
					delete(in, it.ID)
				case 1:
					q.BackOff(now, it.ID, "full")
					waiting[it.ID] = now.Add(min(q.limits.MaxBackoff, q.limits.FirstBackoff<<tries[it.ID]))
					tries[it.ID]++
				case 2:
					q.Park(it.ID, "too large")
					parkedIDs[it.ID] = true
				}
			case 4:
				q.Unpark()
				for id := range parkedIDs {
					tries[id] = 0
				}
				clear(parkedIDs)
			case 5:
				q.Wake()
				clear(waiting)
			}
			if q.Len() != len(in) {
				t.Fatalf("queue holds %d tasks, model %d", q.Len(), len(in))
			}
		}
		q.Unpark()
		for end := now.Add(time.Hour); len(in) > 0; {
			it, ok := q.Next(end)
			if !ok {
				t.Fatalf("tasks %v were lost", in)
			}
			q.Placed(it.ID)
			delete(in, it.ID)
		}
	})
}

// TestQuotaAndLanes checks that quotas are enforced, and that the lanes of a workspace alternate.
func TestQuotaAndLanes(t *testing.T) {
	shares := NewShares(resource.Vector{MilliCPU: 10000})
	shares.SetPolicy("a", Policy{Weight: 1, Quota: resource.Vector{MilliCPU: 4000}})
	q := New(DefaultLimits(), shares)
	for i := range 20 {
		q.Add(Item{
			ID: fmt.Sprint(i), Workspace: "a", Lane: Lane(i / 10), Order: int64(i), QueuedAt: start,
			Demand: resource.Vector{MilliCPU: 1000},
		})
	}
	var got [laneCount]int
	for {
		it, ok := q.Next(start)
		if !ok {
			break
		}
		if ok, kind := shares.Allows("a", it.Demand); !ok {
			t.Fatalf("task over the quota of %s was returned", kind)
		}
		q.Placed(it.ID)
		shares.Charge(start, "a", it.Lane, it.Demand)
		got[it.Lane]++
	}
	if got != [laneCount]int{2, 2} {
		t.Errorf("builds and watchers placed: %v, want 2 each within the quota", got)
	}
	if reason, _ := q.Reason("19"); reason == "" {
		t.Error("no reason for a task that waits for quota")
	}
}

func BenchmarkNext(b *testing.B) {
	shares := NewShares(resource.Vector{MilliCPU: 1 << 20})
	q := New(DefaultLimits(), shares)
	for i := range 1000 {
		q.Add(Item{ID: fmt.Sprint(i), Workspace: fmt.Sprint(i % 93), Order: int64(i), QueuedAt: start})
	}
	for i := 0; b.Loop(); i++ {
		it, ok := q.Next(start)
		if !ok {
			b.Fatal("queue is empty")
		}
		q.Placed(it.ID)
		q.Add(it)
	}
}
