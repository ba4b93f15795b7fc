package workload

import (
	"context"
	"net/http"
	"time"

	"github.com/crocusspring/crocusspring/internal/history"
)

const jobPollInterval = 200 * time.Millisecond

// AwaitJobs polls the state of every job that may have been accepted and records it, until every job that ends by
// itself or was cancelled has ended, or ctx is done. An accepted job that the system does not know is polled
// until then.
func AwaitJobs(ctx context.Context, o Options) {
	c := &callers{Options: o}
	done := map[string]bool{}
	for {
		open := 0
		for _, j := range o.Recorder.Jobs() {
			if done[j.ID] || j.Outcome == history.NotRun {
				continue
			}
			s, ok := c.jobState(ctx, j)
			if ok {
				o.Recorder.JobFinal(j.ID, s)
			}
			done[j.ID] = ok && (s != history.JobOpen && s != history.JobMissing)
			if !done[j.ID] && !(ok && mayRemain(j, s)) {
				open++
			}
		}
		if open == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(jobPollInterval):
		}
	}
}

// mayRemain reports whether a job may keep a state that is not final: a watcher that was not cancelled stays
// open, and a job whose acceptance was not confirmed to the caller may be unknown to the system.
func mayRemain(j history.Job, s history.JobState) bool {
	if s == history.JobMissing {
		return j.Outcome != history.Accepted
	}
	return j.RunMS == 0 && j.Cancelled.IsZero()
}

// jobState requests the state of a job from one entry; false when the request failed.
func (c *callers) jobState(ctx context.Context, j history.Job) (history.JobState, bool) {
	e := c.Balancer.Next("")
	var body struct {
		State string `json:"state"`
	}
	status, _, err := c.call(ctx, http.MethodGet, "http://"+e.Addr+"/v1/jobs/"+j.ID, j.Workspace, nil, &body)
	switch {
	case err != nil || status != http.StatusOK && status != http.StatusNotFound:
		return "", false
	case status == http.StatusNotFound:
		return history.JobMissing, true
	}
	switch s := history.JobState(body.State); s {
	case history.JobFinished, history.JobFailed, history.JobCancelled:
		return s, true
	}
	return history.JobOpen, true
}
