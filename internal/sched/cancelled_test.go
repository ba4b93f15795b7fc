package sched

import (
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
)

// TestCancellationBeforeItsJob guards against a cancelled job that runs: its cancellation was stored before the job, whose append had an
// unknown outcome, and was ignored since the job wasn't known.
func TestCancellationBeforeItsJob(t *testing.T) {
	now := epoch0
	c := pool(now, "a")
	spec := one("job", 0, job.Step{Count: 2, Demand: cores(1), EstimateMS: 1000})
	c.Cancel(now, "job")
	now = now.Add(CancelRetention - time.Second)
	c.DropExpiredCancellations(now)
	c.Submit(now, spec)
	if got := started(settle(now, c)); len(got) > 0 {
		t.Errorf("started %v of a cancelled job", got)
	}
	if v, _ := c.Job("job"); v.State != Cancelled {
		t.Errorf("job is %+v", v)
	}
	if len(c.cancelled) > 0 {
		t.Errorf("cancellations %v are kept although their jobs are known", c.cancelled)
	}
}

// TestCancellationsOfUnknownJobsEnd guards against an owner whose memory fills with cancellations of jobs that never come. Those of jobs
// that have ended aren't kept at all.
func TestCancellationsOfUnknownJobsEnd(t *testing.T) {
	now := epoch0
	c := pool(now, "a")
	c.Cancel(now, "never")
	c.Submit(now, one("job", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 1000}))
	c.Cancel(now, "job")
	c.Cancel(now, "job")
	if got := c.DropExpiredCancellations(now.Add(CancelRetention)); len(got) > 0 {
		t.Errorf("dropped %v within %s", got, CancelRetention)
	}
	// A repeated cancellation doesn't prolong it.
	c.Cancel(now.Add(CancelRetention), "never")
	if got := c.DropExpiredCancellations(now.Add(CancelRetention + time.Second)); len(got) != 1 || got[0] != "never" || len(c.cancelled) > 0 {
		t.Errorf("dropped %v, kept %v", got, c.cancelled)
	}
}
