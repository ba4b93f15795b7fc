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
	readyTimeout = 30 * time.Second
	lookEvery    = 50 * time.Millisecond
	lookTimeout  = time.Second
)

// status is what GET /v1/status tells.
type status struct {
	Processes []struct {
		ID    string   `json:"id"`
		Cells []string `json:"cells"`
	} `json:"processes"`
	Targets []string `json:"targets"`
	Workers []string `json:"workers"`
}

// look asks one process for its status.
func (c *Cluster) look(ctx context.Context, p *Process) (status, bool) {
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	var s status
	code, err := getJSON(ctx, c.client, "http://"+p.Addr+"/v1/status", &s)
	return s, err == nil && code == http.StatusOK
}

// ready reports whether a process says that it may be sent requests.
func (c *Cluster) ready(ctx context.Context, p *Process) bool {
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	code, err := getJSON(ctx, c.client, "http://"+p.Addr+"/readyz", nil)
	return err == nil && code == http.StatusOK
}

// waitReady waits until every process is ready, every entry knows all targets and workers, and every
// cell is owned. A start from nothing is no part of the load.
func (c *Cluster) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, p := range c.Processes() {
		for !c.ready(ctx, p) || !c.knowsAll(ctx, p) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s did not become ready: %w", p.Name, ctx.Err())
			case <-time.After(lookEvery):
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
	s, ok := c.look(ctx, p)
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

// owner returns a process that says it owns a cell, trying the cells in turn; nil for none.
func (c *Cluster) owner(ctx context.Context, from int) *Process {
	all := c.Processes()
	for i := range c.Shape.DataCentres {
		cell := c.dataCentre(from + i)
		for _, p := range all {
			s, ok := c.look(ctx, p)
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
