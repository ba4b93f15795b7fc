package dev

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/crocusspring/crocusspring/internal/history"
	"github.com/crocusspring/crocusspring/internal/node"
	"github.com/crocusspring/crocusspring/internal/standin/logstand"
	"golang.org/x/sync/errgroup"
)

// Options configure a cluster beyond the shape of its deployment.
type Options struct {
	Seed uint64
	// Guards starts one guard beside each target.
	Guards bool
	// Retention is how long the log service keeps a record; 0 keeps all.
	Retention time.Duration
}

// snapshotsPerRetention is the ratio of the log's retention to the age at which a snapshot is replaced.
const snapshotsPerRetention = 8

// Cluster is a running deployment. Use Start to make one.
type Cluster struct {
	Shape    Deployment
	Recorder *history.Recorder
	Log      *logstand.Server
	LogAddr  string
	Entries  []*Process
	Guards   []*Process
	Targets  []*Target
	Workers  []*Worker

	opt Options
	lg  *log.Logger
	// client polls the processes without simulated latency.
	client *http.Client
	group  *errgroup.Group
	ctx    context.Context
	cancel context.CancelFunc

	mu  sync.Mutex
	rng *rand.Rand
	// dataCentres is the data centre of every address.
	dataCentres map[string]string
	// ports are the ports of all processes.
	ports []*port
}

// Start runs a deployment on loopback until Stop.
func Start(ctx context.Context, shape Deployment, opt Options, lg *log.Logger) (*Cluster, error) {
	ctx, cancel := context.WithCancel(ctx)
	g, ctx := errgroup.WithContext(ctx)
	c := &Cluster{
		Shape: shape, Recorder: history.NewRecorder(), Log: logstand.NewWith(logstand.Options{KeepFor: opt.Retention}), opt: opt, lg: lg, group: g, ctx: ctx, cancel: cancel,
		rng: rand.New(rand.NewPCG(opt.Seed, 3)), dataCentres: map[string]string{},
		client: &http.Client{Transport: &http.Transport{}},
	}
	if err := c.start(); err != nil {
		return nil, errors.Join(err, c.Stop())
	}
	return c, nil
}

// start brings up the log, the targets, the workers and then the processes.
func (c *Cluster) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	c.LogAddr = l.Addr().String()
	c.setDataCentre(c.LogAddr, c.Shape.DataCentres[0])
	c.serveOn(l, c.Log.Handler())
	if err := c.reserve(); err != nil {
		return err
	}
	for i := range c.Shape.Targets {
		if err := c.startTarget(i); err != nil {
			return err
		}
	}
	for i := range c.Shape.Workers {
		if err := c.startWorker(i); err != nil {
			return err
		}
	}
	for _, p := range append(append([]*Process(nil), c.Entries...), c.Guards...) {
		if err := c.startProcess(p); err != nil {
			return err
		}
	}
	return nil
}

// reserve assigns every process its name and address before any starts, so that each is configured with its peers.
func (c *Cluster) reserve() error {
	for i := range c.Shape.Entries {
		p, err := c.newProcess(node.RoleEntry, fmt.Sprintf("entry-%d", i+1), c.dataCentre(i))
		if err != nil {
			return err
		}
		c.Entries = append(c.Entries, p)
	}
	if c.opt.Guards {
		for i := range c.Shape.Targets {
			p, err := c.newProcess(node.RoleGuard, fmt.Sprintf("guard-%02d", i+1), c.dataCentre(i))
			if err != nil {
				return err
			}
			c.Guards = append(c.Guards, p)
		}
	}
	for _, p := range append(append([]*Process(nil), c.Entries...), c.Guards...) {
		for _, e := range c.Entries {
			p.opt.Entries = append(p.opt.Entries, e.Addr)
			if e != p {
				p.opt.Peers = append(p.opt.Peers, e.Addr)
			}
		}
	}
	return nil
}

// newProcess returns a process that is not started, with a reserved port.
func (c *Cluster) newProcess(role node.Role, name, dc string) (*Process, error) {
	reserved, err := reservePort()
	if err != nil {
		return nil, err
	}
	c.ports = append(c.ports, reserved)
	c.setDataCentre(reserved.addr, dc)
	opt := node.Defaults()
	opt.Role, opt.ID, opt.DataCentre = role, name, dc
	opt.Share, opt.Cells = c.Shape.Entries, c.Shape.DataCentres
	if c.opt.Retention > 0 {
		opt.SnapshotAge = c.opt.Retention / snapshotsPerRetention
	}
	return &Process{Name: name, Addr: reserved.addr, opt: opt, conns: c.Shape.Conns / c.Shape.Entries}, nil
}

// dataCentre returns the data centre of the i-th process or stand-in, assigned round robin.
func (c *Cluster) dataCentre(i int) string { return c.Shape.DataCentres[i%len(c.Shape.DataCentres)] }

// setDataCentre records the data centre of an address.
func (c *Cluster) setDataCentre(addr, dc string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dataCentres[addr] = dc
}

// latencyFrom returns the one-way latencies from a data centre.
func (c *Cluster) latencyFrom(dc string) func(addr string) time.Duration {
	return func(addr string) time.Duration {
		c.mu.Lock()
		defer c.mu.Unlock()
		if to, ok := c.dataCentres[addr]; ok && to != dc {
			return c.Shape.InterDCLatency
		}
		return 0
	}
}

// announceTo returns the addresses a stand-in announces to: the guard beside it, if any, and all entries.
func (c *Cluster) announceTo(guard string) []string {
	var out []string
	if guard != "" {
		out = append(out, guard)
	}
	for _, p := range c.Entries {
		out = append(out, p.Addr)
	}
	return out
}

// serveOn serves the handler of a stand-in on a listener until the cluster stops.
func (c *Cluster) serveOn(l net.Listener, h http.Handler) {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 2 * time.Second}
	c.group.Go(func() error {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("stand-in: %w", err)
		}
		return nil
	})
	c.group.Go(func() error {
		<-c.ctx.Done()
		return srv.Close()
	})
}

// Stop stops every process gracefully, then the stand-ins, and returns their errors joined; of the
// processes only the first one.
func (c *Cluster) Stop() error {
	var g errgroup.Group
	for _, p := range c.Processes() {
		g.Go(func() error { return c.Shutdown(p) })
	}
	err := g.Wait()
	c.client.CloseIdleConnections()
	c.cancel()
	err = errors.Join(err, c.group.Wait())
	for _, p := range c.ports {
		err = errors.Join(err, p.release())
	}
	return err
}
