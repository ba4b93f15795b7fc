package dev

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/crocusspring/crocusspring/internal/targetapi"
)

// Report is what crocus-dev prints as its last line.
type Report struct {
	Deployment       string `json:"deployment"`
	Seed             uint64 `json:"seed"`
	RequestsSent     int    `json:"requests_sent"`
	RequestsAnswered int    `json:"requests_answered"`
	RequestsNotRun   int    `json:"requests_not_run"`
	RequestsUnknown  int    `json:"requests_unknown"`
	JobsAccepted     int    `json:"jobs_accepted"`
	JobsFinished     int    `json:"jobs_finished"`
	RecordsApplied   int    `json:"records_applied"`
}

// waitReady waits until every entry is ready and knows all targets and workers.
func (c *Cluster) waitReady(ctx context.Context) error {
	for _, a := range c.EntryAddrs {
		for {
			var s struct {
				Targets []string `json:"targets"`
				Workers []string `json:"workers"`
			}
			ready, _ := call(ctx, http.MethodGet, "http://"+a+"/readyz", nil, nil, nil)
			status, err := call(ctx, http.MethodGet, "http://"+a+"/v1/status", nil, nil, &s)
			if err == nil && ready == http.StatusOK && status == http.StatusOK && len(s.Targets) == c.Shape.Targets && len(s.Workers) == c.Shape.Workers {
				break
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("entry %s did not become ready: %w", a, ctx.Err())
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

// Load sends a little of everything for a while and reports what came of it.
func (c *Cluster) Load(ctx context.Context, seconds int) (Report, error) {
	r := Report{Deployment: c.Shape.Name}
	ready, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	if err := c.waitReady(ready); err != nil {
		return r, err
	}
	if err := c.apply(ctx, &r); err != nil {
		return r, err
	}
	var jobs []string
	end := time.Now().Add(time.Duration(seconds) * time.Second)
	for i := 0; time.Now().Before(end) && ctx.Err() == nil; i++ {
		entry := c.EntryAddrs[i%len(c.EntryAddrs)]
		if i%10 == 0 {
			if id, ok := c.submit(ctx, entry, i); ok {
				jobs = append(jobs, id)
			}
		}
		c.request(ctx, entry, i, &r)
	}
	r.JobsAccepted = len(jobs)
	for _, id := range jobs {
		if c.waitFinished(ctx, id) {
			r.JobsFinished++
		}
	}
	return r, nil
}

// apply publishes one service record.
func (c *Cluster) apply(ctx context.Context, r *Report) error {
	body := map[string]any{
		"id": fmt.Sprintf("dev-%d", time.Now().UnixNano()), "by": "dev", "kind": "service", "name": c.Shape.Service, "schema": 1,
		"spec": map[string]any{"budget_ms": 200},
	}
	status, err := call(ctx, http.MethodPost, "http://"+c.EntryAddrs[0]+"/v1/records", nil, body, nil)
	if err != nil || status != http.StatusOK {
		return fmt.Errorf("apply: status %d: %w", status, err)
	}
	r.RecordsApplied++
	return nil
}

// submit submits one job.
func (c *Cluster) submit(ctx context.Context, entry string, i int) (string, bool) {
	body := map[string]any{
		"workspace": "centre-a", "class": "timetable-rebuild", "run_ms": 100 + i%200,
		"declare": map[string]any{"milli_cpu": 1000, "memory_mb": 500},
	}
	var out struct {
		ID string `json:"id"`
	}
	status, err := call(ctx, http.MethodPost, "http://"+entry+"/v1/jobs", nil, body, &out)
	return out.ID, err == nil && status == http.StatusCreated
}

// request sends one request and counts its outcome.
func (c *Cluster) request(ctx context.Context, entry string, i int, r *Report) {
	hdr := http.Header{targetapi.HeaderBudgetMS: {"200"}, targetapi.HeaderWorkspace: {"centre-a"}}
	url := "http://" + entry + "/v1/services/" + c.Shape.Service + "/call"
	r.RequestsSent++
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(fmt.Sprintf("seat-%d", i))))
	if err != nil {
		return
	}
	req.Header = hdr
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		r.RequestsUnknown++
		return
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	switch targetapi.Outcome(resp.Header.Get(targetapi.HeaderOutcome)) {
	case targetapi.Answered:
		r.RequestsAnswered++
	case targetapi.NotRun:
		r.RequestsNotRun++
	default:
		r.RequestsUnknown++
	}
}

// waitFinished waits until a job has finished.
func (c *Cluster) waitFinished(ctx context.Context, id string) bool {
	end := time.Now().Add(10 * time.Second)
	for time.Now().Before(end) && ctx.Err() == nil {
		var t struct {
			State string `json:"state"`
		}
		status, err := call(ctx, http.MethodGet, "http://"+c.EntryAddrs[0]+"/v1/jobs/"+id, nil, nil, &t)
		if err == nil && status == http.StatusOK && t.State == "finished" {
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return false
}

// call does one JSON call.
func call(ctx context.Context, method, url string, hdr http.Header, in, out any) (int, error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return 0, err
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return 0, err
	}
	if hdr != nil {
		req.Header = hdr
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if out == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		return resp.StatusCode, err
	}
	return resp.StatusCode, json.NewDecoder(resp.Body).Decode(out)
}
