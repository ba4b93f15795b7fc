package workload

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/crocusspring/crocusspring/internal/history"
	"github.com/google/uuid"
)

const (
	// jobTimeout bounds one call about a job.
	jobTimeout = 8 * time.Second
	// jobResends is how often a submission whose outcome is open is sent again under the same id.
	jobResends = 3
)

// declaration is what a job says it needs.
type declaration struct {
	MilliCPU int64 `json:"milli_cpu"`
	MemoryMB int64 `json:"memory_mb"`
}

// submission is the body of POST /v1/jobs.
type submission struct {
	ID        string      `json:"id"`
	Workspace string      `json:"workspace"`
	Class     string      `json:"class"`
	Declare   declaration `json:"declare"`
	RunMS     int64       `json:"run_ms"`
}

// Submit submits one job of a class with a run time and returns its id; false when it was not accepted.
func Submit(ctx context.Context, o Options, workspace string, job Job, run time.Duration) (string, bool) {
	c := &callers{Options: o}
	j := c.job(ctx, Arrival{Workspace: workspace, Job: &job, Run: run})
	return j.ID, j.Outcome == history.Accepted
}

// Cancel asks for the cancellation of a job; false when that was not taken.
func Cancel(ctx context.Context, o Options, workspace, id string) bool {
	c := &callers{Options: o}
	o.Record.JobCancelled(id, time.Now())
	e := o.Balancer.Next("")
	status, _, err := c.call(ctx, http.MethodDelete, "http://"+e.Addr+"/v1/jobs/"+id, workspace, nil, nil)
	if err != nil || status >= http.StatusMultipleChoices {
		return false
	}
	o.Record.CancelAccepted(id, time.Now())
	return true
}

// job submits one job and returns what its caller saw; submitting it again under the same id is harmless.
func (c *callers) job(ctx context.Context, a Arrival) history.Job {
	s := submission{
		ID: uuid.Must(uuid.NewV7()).String(), Workspace: a.Workspace, Class: a.Job.Class,
		Declare: declaration{a.Job.MilliCPU, a.Job.MemoryMB}, RunMS: a.Run.Milliseconds(),
	}
	j := history.Job{
		ID: s.ID, Workspace: s.Workspace, Class: s.Class, RunMS: s.RunMS, Start: time.Now(),
		Declare: history.Amount{MilliCPU: s.Declare.MilliCPU, MemoryMB: s.Declare.MemoryMB},
	}
	open := false
	for range jobResends {
		e := c.Balancer.Next(j.Entry)
		j.Entry = e.Name
		j.Outcome = c.submit(ctx, e, s)
		if j.Outcome == history.Accepted || j.Outcome == history.NotRun || ctx.Err() != nil {
			break
		}
		open = true
	}
	if open && j.Outcome == history.NotRun {
		j.Outcome = history.Unknown
	}
	j.End = time.Now()
	c.Record.Job(j)
	return j
}

// submit does one submission.
func (c *callers) submit(ctx context.Context, e Entry, s submission) history.Outcome {
	data, err := json.Marshal(s)
	if err != nil {
		return history.NotRun
	}
	status, outcome, err := c.call(ctx, http.MethodPost, "http://"+e.Addr+"/v1/jobs", s.Workspace, data, nil)
	switch {
	case err != nil:
		return failure(err)
	case status == http.StatusCreated || status == http.StatusOK:
		return history.Accepted
	case outcome == history.NotRun:
		return history.NotRun
	}
	return history.Unknown
}

// call does one JSON call for a workspace and returns the status and outcome.
func (c *callers) call(ctx context.Context, method, url, workspace string, data []byte, out any) (int, history.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return 0, "", err
	}
	for name, values := range c.Headers {
		req.Header[name] = values
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerWorkspace, workspace)
	resp, err := c.Client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return 0, "", err
	}
	outcome := history.Outcome(strings.ReplaceAll(resp.Header.Get(headerOutcome), "-", "_"))
	if out != nil && resp.StatusCode == http.StatusOK {
		err = json.Unmarshal(body, out)
	}
	return resp.StatusCode, outcome, err
}
