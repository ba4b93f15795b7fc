package workload

import (
	"context"
	"net/http"
	"time"

	"github.com/crocusspring/crocusspring/internal/history"
)

const settleEvery = 200 * time.Millisecond

// Settle asks what became of every job and notes it, until all that end by themselves have ended or
// ctx is over. A job the system does not know is asked for again until then.
func Settle(ctx context.Context, o Options) {
	c := &callers{Options: o}
	done := map[string]bool{}
	for {
		open := 0
		for _, j := range o.Record.Jobs() {
			if done[j.ID] || j.Outcome == history.NotRun {
				continue
			}
			s, ok := c.jobState(ctx, j)
			if ok {
				o.Record.JobFinal(j.ID, s)
			}
			done[j.ID] = ok && (s != history.JobOpen && s != history.JobMissing)
			if !done[j.ID] && !(ok && mayStay(j, s)) {
				open++
			}
		}
		if open == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(settleEvery):
		}
	}
}

// mayStay reports whether a job may be in a state for good: a watcher that nobody cancelled stays
// open, and a job whose acceptance was never told may be unknown to the system.
func mayStay(j history.Job, s history.JobState) bool {
	if s == history.JobMissing {
		return j.Outcome != history.Accepted
	}
	return j.RunMS == 0 && j.Cancelled.IsZero()
}

// jobState asks an entry for the state of a job; false when none answered.
func (c *callers) jobState(ctx context.Context, j history.Job) (history.JobState, bool) {
	e := c.Balancer.Next("")
	var t struct {
		State string `json:"state"`
	}
	status, _, err := c.call(ctx, http.MethodGet, "http://"+e.Addr+"/v1/jobs/"+j.ID, j.Workspace, nil, &t)
	switch {
	case err != nil || status != http.StatusOK && status != http.StatusNotFound:
		return "", false
	case status == http.StatusNotFound:
		return history.JobMissing, true
	}
	switch s := history.JobState(t.State); s {
	case history.JobFinished, history.JobFailed, history.JobCancelled:
		return s, true
	}
	return history.JobOpen, true
}
