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
	// polled says that a reading of the process is in progress.
	polled atomic.Bool
	// downNoted notes the end of the incident that took the process down.
	downNoted func(time.Time, error)
}

// Instance names the newest start of the process.
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
	if p.downNoted != nil {
		p.downNoted(time.Now(), nil)
		p.downNoted = nil
	}
	c.Recorder.Incident(history.ProcessUp, p.Name, time.Now())(time.Now(), nil)
	go func() { done <- n.Serve(ctx, l) }()
	return nil
}

// Kill ends a process abruptly: its listener and connections are closed with all that is on its way,
// and it sends nothing more. It reports false when the process was down already.
func (c *Cluster) Kill(p *Process) bool {
	if !c.takeDown(p) {
		return false
	}
	p.downNoted = c.Recorder.Incident(history.ProcessKill, p.Name, time.Now())
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

// Shutdown stops a process as a planned stop does and waits for its end.
func (c *Cluster) Shutdown(p *Process) error {
	if !c.takeDown(p) {
		return nil
	}
	ended := c.Recorder.Incident(history.ProcessStop, p.Name, time.Now())
	p.stop()
	err := <-p.done
	ended(time.Now(), err)
	p.host.kill()
	return err
}

// takeDown marks a process as down; false when it was already.
func (c *Cluster) takeDown(p *Process) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	was := p.up
	p.up = false
	return was
}

// Restart starts a process again on its old address, with nothing it knew.
func (c *Cluster) Restart(p *Process) error { return c.startProcess(p) }

// Pause stops everything a process sends and receives, and returns the function that lets it go on
// with all that was held back.
func (c *Cluster) Pause(p *Process) func() {
	ended := c.Recorder.Incident(history.ProcessPause, p.Name, time.Now())
	p.host.pause()
	return func() {
		p.host.resume()
		ended(time.Now(), nil)
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
