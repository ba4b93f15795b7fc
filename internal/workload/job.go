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
	// jobTimeout bounds one call to the jobs API.
	jobTimeout = 8 * time.Second
	// maxSubmits is the maximum number of times that a job whose outcome is unknown is submitted under one id,
	// the first time included.
	maxSubmits = 3
)

// declaration holds the resources that a job declares.
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

// Submit submits one job of a class with a run time and returns its id and whether it was accepted.
func Submit(ctx context.Context, o Options, workspace string, job JobClass, run time.Duration) (string, bool) {
	c := &callers{Options: o}
	j := c.submitJob(ctx, Arrival{Workspace: workspace, Job: &job, RunTime: run})
	return j.ID, j.Outcome == history.Accepted
}

// Cancel requests the cancellation of a job and reports whether the request was accepted.
func Cancel(ctx context.Context, o Options, workspace, id string) bool {
	c := &callers{Options: o}
	o.Recorder.JobCancelled(id, time.Now())
	e := o.Balancer.Next("")
	status, _, err := c.call(ctx, http.MethodDelete, "http://"+e.Addr+"/v1/jobs/"+id, workspace, nil, nil)
	if err != nil || status >= http.StatusMultipleChoices {
		return false
	}
	o.Recorder.CancelAccepted(id, time.Now())
	return true
}

// submitJob submits one job and returns the outcome that its caller saw. The id makes a repeated submission
// idempotent.
func (c *callers) submitJob(ctx context.Context, a Arrival) history.Job {
	s := submission{
		ID: uuid.Must(uuid.NewV7()).String(), Workspace: a.Workspace, Class: a.Job.Class,
		Declare: declaration{a.Job.MilliCPU, a.Job.MemoryMB}, RunMS: a.RunTime.Milliseconds(),
	}
	j := history.Job{
		ID: s.ID, Workspace: s.Workspace, Class: s.Class, RunMS: s.RunMS, Start: time.Now(),
		Declare: history.Amount{MilliCPU: s.Declare.MilliCPU, MemoryMB: s.Declare.MemoryMB},
	}
	ambiguous := false
	for range maxSubmits {
		e := c.Balancer.Next(j.Entry)
		j.Entry = e.Name
		j.Outcome = c.submit(ctx, e, s)
		if j.Outcome == history.Accepted || j.Outcome == history.NotRun || ctx.Err() != nil {
			break
		}
		ambiguous = true
	}
	if ambiguous && j.Outcome == history.NotRun {
		j.Outcome = history.Unknown
	}
	j.End = time.Now()
	c.Recorder.Job(j)
	return j
}

// submit sends one submission.
func (c *callers) submit(ctx context.Context, e Entry, s submission) history.Outcome {
	data, err := json.Marshal(s)
	if err != nil {
		return history.NotRun
	}
	status, outcome, err := c.call(ctx, http.MethodPost, "http://"+e.Addr+"/v1/jobs", s.Workspace, data, nil)
	switch {
	case err != nil:
		return errorOutcome(err)
	case status == http.StatusCreated || status == http.StatusOK:
		return history.Accepted
	case outcome == history.NotRun:
		return history.NotRun
	}
	return history.Unknown
}

// call sends one JSON request for a workspace and returns the status and outcome; it decodes a 200 response
// into out unless out is nil.
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return 0, "", err
	}
	outcome := history.Outcome(strings.ReplaceAll(resp.Header.Get(headerOutcome), "-", "_"))
	if out != nil && resp.StatusCode == http.StatusOK {
		err = json.Unmarshal(body, out)
	}
	return resp.StatusCode, outcome, err
}
