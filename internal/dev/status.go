package dev

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/internal/node"
)

const (
	readyTimeout   = 30 * time.Second
	statusInterval = 50 * time.Millisecond
	statusTimeout  = time.Second
)

// status is the part of the answer to GET /v1/status that is used here.
type status struct {
	Processes []struct {
		ID    string   `json:"id"`
		Cells []string `json:"cells"`
	} `json:"processes"`
	Targets []string `json:"targets"`
	Workers []string `json:"workers"`
}

// getStatus queries the status of one process.
func (c *Cluster) getStatus(ctx context.Context, p *Process) (status, bool) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var s status
	code, err := getJSON(ctx, c.client, "http://"+p.Addr+"/v1/status", &s)
	return s, err == nil && code == http.StatusOK
}

// ready reports whether a process reports that it is ready for requests.
func (c *Cluster) ready(ctx context.Context, p *Process) bool {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	code, err := getJSON(ctx, c.client, "http://"+p.Addr+"/readyz", nil)
	return err == nil && code == http.StatusOK
}

// waitReady waits until every process is ready, every entry knows all targets and workers, and every
// cell is owned. A cold start is not part of the load.
func (c *Cluster) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, p := range c.Processes() {
		for !c.ready(ctx, p) || !c.knowsAll(ctx, p) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s did not become ready: %w", p.Name, ctx.Err())
			case <-time.After(statusInterval):
			}
		}
	}
	return nil
}

// knowsAll reports whether a process knows all targets and workers and an owner of every cell; guards
// need not.
func (c *Cluster) knowsAll(ctx context.Context, p *Process) bool {
	if p.opt.Role == node.RoleGuard {
		return true
	}
	s, ok := c.getStatus(ctx, p)
	return ok && len(s.Targets) == c.Shape.Targets && len(s.Workers) == c.Shape.Workers && len(s.owned()) == len(c.Shape.DataCentres)
}

// owned returns the cells that some process owns.
func (s status) owned() []string {
	var out []string
	for _, p := range s.Processes {
		for _, cell := range p.Cells {
			if !slices.Contains(out, cell) {
				out = append(out, cell)
			}
		}
	}
	return out
}

// owner returns a process that reports to own a cell, trying the cells in turn beginning with the given
// index; nil for none.
func (c *Cluster) owner(ctx context.Context, from int) *Process {
	all := c.Processes()
	for i := range c.Shape.DataCentres {
		cell := c.dataCentre(from + i)
		for _, p := range all {
			s, ok := c.getStatus(ctx, p)
			if ok && s.owns(p.Name, cell) {
				return p
			}
		}
	}
	return nil
}

// owns reports whether a process owns a cell.
func (s status) owns(process, cell string) bool {
	for _, p := range s.Processes {
		if p.ID == process && slices.Contains(p.Cells, cell) {
			return true
		}
	}
	return false
}
