package dev

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/crocusspring/crocusspring/internal/history"
	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/node"
	"github.com/crocusspring/crocusspring/internal/targetapi"
	"github.com/crocusspring/crocusspring/internal/workerapi"
)

// Process is one entry or guard of the cluster; it keeps its name and address over restarts.
type Process struct {
	Name string
	Addr string

	opt    node.Options
	conns  int
	starts int
	host   *host
	node   *node.Node
	stop   context.CancelFunc
	done   chan error
	up     bool
	// polling is true while a reading of the process is in progress.
	polling atomic.Bool
	// endIncident records the end of the kill that took the process down; nil when none is open.
	endIncident func(time.Time, error)
}

// Instance returns the name of the latest start of the process.
func (p *Process) Instance() string { return fmt.Sprintf("%s#%d", p.Name, p.starts) }

// startProcess runs a process on its address.
func (c *Cluster) startProcess(p *Process) error {
	p.host = newHost(c.latencyFrom(p.opt.DataCentre))
	l, err := p.host.listen(p.Addr)
	if err != nil {
		return fmt.Errorf("%s: %w", p.Name, err)
	}
	ports := node.Ports{
		Log:     logsvc.NewHTTP(c.LogAddr, p.host.dial),
		Workers: workerapi.NewHTTP(p.host.dial),
		Targets: targetapi.NewHTTP(p.conns, p.host.dial),
		Dial:    p.host.dial,
	}
	n := node.New(p.opt, ports, c.lg)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	p.starts++
	p.node, p.stop, p.done, p.up = n, stop, done, true
	if p.endIncident != nil {
		p.endIncident(time.Now(), nil)
		p.endIncident = nil
	}
	c.Recorder.Incident(history.ProcessUp, p.Name, time.Now())(time.Now(), nil)
	go func() { done <- n.Serve(ctx, l) }()
	return nil
}

// Kill ends a process abruptly: its listener and connections are closed, data in transit is lost, and it
// sends nothing more. It reports false when the process was down already.
func (c *Cluster) Kill(p *Process) bool {
	if !c.markDown(p) {
		return false
	}
	p.endIncident = c.Recorder.Incident(history.ProcessKill, p.Name, time.Now())
	p.host.kill()
	p.node.Kill()
	<-p.done
	p.stop()
	return true
}

// isUp reports whether a process is up.
func (c *Cluster) isUp(p *Process) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return p.up
}

// Shutdown stops a process gracefully and waits for its end.
func (c *Cluster) Shutdown(p *Process) error {
	if !c.markDown(p) {
		return nil
	}
	endIncident := c.Recorder.Incident(history.ProcessStop, p.Name, time.Now())
	p.stop()
	err := <-p.done
	endIncident(time.Now(), err)
	p.host.kill()
	return err
}

// markDown marks a process as down; it reports false when it was down already.
func (c *Cluster) markDown(p *Process) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	was := p.up
	p.up = false
	return was
}

// Restart starts a process again on its old address, without its earlier state.
func (c *Cluster) Restart(p *Process) error { return c.startProcess(p) }

// Pause holds back everything a process sends and receives, and returns the function that resumes the
// process and delivers what was held back.
func (c *Cluster) Pause(p *Process) func() {
	endIncident := c.Recorder.Incident(history.ProcessPause, p.Name, time.Now())
	p.host.pause()
	return func() {
		p.host.resume()
		endIncident(time.Now(), nil)
	}
}

// Processes returns the entries and guards that are up.
func (c *Cluster) Processes() []*Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*Process
	for _, p := range append(append([]*Process(nil), c.Entries...), c.Guards...) {
		if p.up {
			out = append(out, p)
		}
	}
	return out
}
