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
	pollInterval = 200 * time.Millisecond
	pollTimeout  = time.Second
)

// listedRecord is one record as GET /v1/records lists it.
type listedRecord struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version int64  `json:"version"`
}

// poll reads the configuration in effect at every process until ctx ends.
func (c *Cluster) poll(ctx context.Context) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		for _, p := range c.Processes() {
			if p.polling.CompareAndSwap(false, true) {
				wg.Go(func() {
					defer p.polling.Store(false)
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

// pollOnce reads the configuration of one process. The reading is recorded only if the process did not
// restart meanwhile.
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
	var list []listedRecord
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

// instance returns the name of the latest start of a process.
func (c *Cluster) instance(p *Process) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return p.Instance()
}

// getJSON sends a GET request and decodes a 200 answer into out, which may be nil.
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
