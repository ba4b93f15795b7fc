package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
)

// shortLoad keeps a pool busy with short tasks of one core: every 100 ms one arrives that takes 900 ms.
type shortLoad struct {
	c    *Core
	now  time.Time
	ends map[string][]shortRun
	last map[string]int64
	n    int
	// waited counts the short tasks that didn't start in the round in which they arrived.
	waited int
}

// shortRun is a run with the time of its end.
type shortRun struct {
	ref link.RunRef
	end time.Time
}

// step advances the load by 100 ms and returns the other starts.
func (l *shortLoad) step() []link.Start {
	const duration = 900 * time.Millisecond
	l.now = l.now.Add(100 * time.Millisecond)
	for id, runs := range l.ends {
		var left []shortRun
		var rows []link.RunStatus
		for _, r := range runs {
			if l.now.Before(r.end) {
				left = append(left, r)
				rows = append(rows, link.RunStatus{RunRef: r.ref, Percent: 100 - 100*float64(r.end.Sub(l.now))/float64(duration)})
				continue
			}
			l.last[id]++
			l.c.Ended(l.now, id, []link.RunEnd{{Number: l.last[id], RunRef: r.ref, Outcome: link.Done}})
		}
		l.ends[id] = left
		l.c.Report(l.now, id, link.Listing{Running: rows})
	}
	l.n++
	l.c.Submit(l.now, one(fmt.Sprintf("short%04d", l.n), 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: duration.Milliseconds()}))
	var others []link.Start
	seen := false
	for id, starts := range started(settle(l.now, l.c)) {
		for _, s := range starts {
			if s.Task.Job == "large" {
				others = append(others, s)
				continue
			}
			seen = seen || s.Task.Job == fmt.Sprintf("short%04d", l.n)
			l.ends[id] = append(l.ends[id], shortRun{s.RunRef, l.now.Add(duration)})
		}
	}
	if !seen {
		l.waited++
	}
	return others
}

// TestLargeAmongSmall runs a stream of short tasks that leaves a gap of about a core on each of three workers: a task
// that needs three cores must start within about two short ones' time, and no short task may wait for it. Without
// reservations it never starts while the stream lasts.
func TestLargeAmongSmall(t *testing.T) {
	l := &shortLoad{c: pool(epoch0, "a", "b", "c"), now: epoch0, ends: map[string][]shortRun{}, last: map[string]int64{}}
	for range 20 {
		l.step()
	}
	l.c.Submit(l.now, one("large", 0, job.Step{Count: 1, Demand: cores(3), EstimateMS: 5000}))
	for n := range 30 {
		if got := l.step(); len(got) == 1 {
			if l.waited > 0 {
				t.Errorf("%d short tasks have waited", l.waited)
			}
			t.Logf("started after %d ms", 100*(n+1))
			return
		}
	}
	t.Error("the large task hasn't started within 3 s")
}

// TestReservationIsAPlan checks that a reservation isn't kept against an urgent task that no other worker takes, and
// that it ends with its job.
func TestReservationIsAPlan(t *testing.T) {
	now := epoch0
	c := pool(now, "a", "b", "c", "d", "e")
	c.Submit(now, one("busy", 0, job.Step{Count: 5, Demand: cores(2), EstimateMS: 3000, AntiAffinity: 1}))
	settle(now, c)
	c.Submit(now, one("large", 0, job.Step{Count: 1, Demand: cores(4), EstimateMS: 3000}))
	settle(now, c)
	now = now.Add(reserveDelay)
	settle(now, c)
	reserved := func() (n int) {
		for _, w := range c.sortedWorkers {
			if w.reserved != nil {
				n++
			}
		}
		return n
	}
	if n := reserved(); n != 1 {
		t.Fatalf("%d reservations, want 1", n)
	}
	c.Submit(now, one("urgent", 0, job.Step{Count: 5, Demand: cores(2), EstimateMS: 9000}))
	if got := started(settle(now, c)); len(got) != 5 {
		t.Errorf("urgent tasks started on %d workers, want all", len(got))
	}
	c.Cancel(now, "large")
	settle(now.Add(time.Second), c)
	if n := reserved(); n != 0 {
		t.Errorf("%d reservations after the cancellation", n)
	}
}
