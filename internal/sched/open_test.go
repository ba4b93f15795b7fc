package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
)

// limitedPool returns a pool whose core holds at most limit open tasks.
func limitedPool(now time.Time, limit int) *Core {
	c := pool(now, "a", "b")
	c.opt.MaxOpenTasks = limit
	return c
}

// wideJob returns a job of n tasks of a core.
func wideJob(id string, n int) *job.Spec {
	return one(id, 0, job.Step{Count: n, Demand: cores(1), EstimateMS: 100})
}

// endRuns plays rounds in which all started runs succeed at once, until nothing starts any more, and checks that the core
// never holds more than most tasks.
func endRuns(t *testing.T, c *Core, now time.Time, most int) time.Time {
	t.Helper()
	ends := map[string]int64{}
	for idle := 0; idle < 100; idle++ {
		now = now.Add(10 * time.Millisecond)
		for w, starts := range started(settle(now, c)) {
			idle = 0
			var out []link.RunEnd
			for _, s := range starts {
				ends[w]++
				out = append(out, link.RunEnd{Number: ends[w], RunRef: s.RunRef, Outcome: link.Done})
			}
			c.Ended(now, w, out)
		}
		if held, _ := c.OpenTasks(); held > most {
			t.Fatalf("%d tasks are held, at most %d are allowed", held, most)
		}
	}
	return now
}

// TestOpenTasksAreBounded checks that jobs beyond the limit wait as they were accepted, that callers see them as queued, and
// that all are completed in the end.
func TestOpenTasksAreBounded(t *testing.T) {
	const limit, jobs, tasks = 2000, 20, 900
	now := epoch0
	c := limitedPool(now, limit)
	for i := range jobs {
		c.Submit(now, wideJob(fmt.Sprintf("job%02d", i), tasks))
	}
	if held, deferred := c.OpenTasks(); held != 2*tasks || deferred != jobs-2 {
		t.Errorf("%d tasks are held and %d jobs wait", held, deferred)
	}
	if v, ok := c.Explain("job19"); !ok || v.State != Queued || len(v.Waits) != 1 {
		t.Errorf("a job that waits is shown as %+v, %t", v, ok)
	}
	if n := c.Waiting()["q"]; n < jobs-2 {
		t.Errorf("%d jobs are counted as waiting", n)
	}
	c.Submit(now, wideJob("small", 1))
	if held, _ := c.OpenTasks(); held != 2*tasks+1 {
		t.Error("a small job waits behind large ones")
	}
	endRuns(t, c, now, limit+limit/2)
	for i := range jobs {
		if v, _ := c.Job(fmt.Sprintf("job%02d", i)); v.State != Completed {
			t.Errorf("job %d is %s", i, v.State)
		}
	}
	if held, deferred := c.OpenTasks(); held != 0 || deferred != 0 {
		t.Errorf("%d tasks are held and %d jobs wait after the end", held, deferred)
	}
	if v, _ := c.Explain("job19"); len(v.Waits) != 0 {
		t.Errorf("a job that was opened is said to wait: %v", v.Waits)
	}
}

// TestJobBeyondTheLimit checks that a job with more tasks than the limit isn't kept out for ever, and that of a scheduled job
// as many occurrences are open as there is room for.
func TestJobBeyondTheLimit(t *testing.T) {
	const limit, occurrences, tasks = 1000, 5, 700
	now := epoch0
	c := limitedPool(now, limit)
	c.Submit(now, wideJob("large", 3*limit))
	now = endRuns(t, c, now, 3*limit)
	if v, _ := c.Job("large"); v.State != Completed {
		t.Errorf("the large job is %s", v.State)
	}
	s := wideJob("repeated", tasks)
	s.Schedule = job.Schedule{FirstMS: now.UnixMilli() - 1000, IntervalMS: 1, Count: occurrences}
	c.Submit(now, s)
	if held, _ := c.OpenTasks(); held != tasks {
		t.Errorf("%d tasks of the repeated job are held", held)
	}
	endRuns(t, c, now, limit)
	if v, _ := c.Job("repeated"); v.State != Completed {
		t.Errorf("the repeated job is %s", v.State)
	}
}

// TestCancelledTasksAreDropped checks that of jobs that are cancelled, before or after they were opened, only the steps that
// had a run leave tasks behind while their state can still be asked for.
func TestCancelledTasksAreDropped(t *testing.T) {
	const limit, jobs, first, tasks = 1000, 10, 8, 900
	now := epoch0
	c := limitedPool(now, limit)
	ends := map[string]int64{}
	for i := range jobs {
		id := fmt.Sprintf("job%d", i)
		s := wideJob(id, first)
		s.Steps = append(s.Steps, wideJob(id, tasks).Steps[0])
		s.Steps[1].DependsOn = []int{0}
		c.Submit(now, s)
		runs := started(settle(now, c))
		c.Cancel(now, id)
		settle(now, c)
		for w, starts := range runs {
			for _, s := range starts {
				ends[w]++
				c.Ended(now, w, []link.RunEnd{{Number: ends[w], RunRef: s.RunRef, Outcome: link.Stopped}})
			}
		}
		settle(now, c)
		c.DropExpiredJobs(now)
		if held, _ := c.OpenTasks(); held != (i+1)*first {
			t.Errorf("%d tasks are held after job %d was cancelled", held, i)
		}
		if v, ok := c.Job(id); !ok || v.State != Cancelled {
			t.Errorf("job %d is shown as %+v, %t", i, v, ok)
		}
	}
}

// TestTakeoverWithDeferredJobs checks that a new owner opens the jobs in progress, and the others as there is room.
func TestTakeoverWithDeferredJobs(t *testing.T) {
	const limit, jobs, tasks = 1000, 6, 600
	now := epoch0
	c := limitedPool(now, limit)
	for i := range jobs {
		c.Submit(now, wideJob(fmt.Sprintf("job%d", i), tasks))
	}
	c.Schedule(now)
	b, ok := c.Flush(now)
	if !ok {
		t.Fatal("nothing is stored")
	}
	next := limitedPool(now, limit)
	// The last job was the first of the predecessor.
	for i := range jobs {
		next.Submit(now, wideJob(fmt.Sprintf("job%d", jobs-1-i), tasks))
	}
	SortForRestore(b.Records)
	for _, r := range b.Records {
		if err := next.Restore(now, r.Key, r.Value); err != nil {
			t.Fatal(err)
		}
	}
	held, _ := next.OpenTasks()
	sum := 0
	for _, j := range next.jobs {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				sum += len(s.tasks)
			}
		}
	}
	if held != sum || held > 2*tasks {
		t.Errorf("%d tasks are held, counted as %d", sum, held)
	}
}
