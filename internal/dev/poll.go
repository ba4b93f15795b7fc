package dev

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/crocusspring/crocusspring/internal/history"
)

const (
	pollEvery   = 200 * time.Millisecond
	pollTimeout = time.Second
)

// shown is one record as GET /v1/records lists it.
type shown struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version int64  `json:"version"`
}

// poll reads the configuration every process shows until ctx ends.
func (c *Cluster) poll(ctx context.Context) {
	t := time.NewTicker(pollEvery)
	defer t.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		for _, p := range c.Processes() {
			if p.polled.CompareAndSwap(false, true) {
				wg.Go(func() {
					defer p.polled.Store(false)
					c.pollOnce(ctx, p)
				})
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// pollOnce reads what one process shows. A reading counts only when the same start of the process was
// up all the time.
func (c *Cluster) pollOnce(ctx context.Context, p *Process) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	before := c.instance(p)
	r := history.Reading{Process: before, Start: time.Now(), Versions: map[string]int64{}}
	status, err := getJSON(ctx, c.client, "http://"+p.Addr+"/readyz", nil)
	if err != nil {
		return
	}
	r.Ready = status == http.StatusOK
	var list []shown
	if status, err = getJSON(ctx, c.client, "http://"+p.Addr+"/v1/records", &list); err != nil || status != http.StatusOK {
		return
	}
	for _, s := range list {
		r.Versions[s.Kind+"/"+s.Name] = s.Version
	}
	r.End = time.Now()
	if before == c.instance(p) {
		c.Recorder.Reading(r)
	}
}

// instance returns the newest start of a process.
func (c *Cluster) instance(p *Process) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return p.Instance()
}

// getJSON does one GET; out may be nil.
func getJSON(ctx context.Context, client *http.Client, url string, out any) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if out == nil || resp.StatusCode != http.StatusOK {
		return resp.StatusCode, nil
	}
	return resp.StatusCode, json.NewDecoder(resp.Body).Decode(out)
}
