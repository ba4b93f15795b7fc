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
	"github.com/crocusspring/crocusspring/internal/announce"
	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/node"
	"github.com/crocusspring/crocusspring/internal/standin"
	"github.com/crocusspring/crocusspring/internal/standin/logstand"
	"github.com/crocusspring/crocusspring/internal/standin/targetstand"
	"github.com/crocusspring/crocusspring/internal/standin/workerstand"
	"github.com/crocusspring/crocusspring/internal/targetapi"
	"github.com/crocusspring/crocusspring/internal/workerapi"
	"golang.org/x/sync/errgroup"
)

// Observers see what the stand-ins see; either may be nil.
type Observers struct {
	Target targetstand.Observer
	Worker workerstand.Observer
}

// Cluster is a running deployment. Use Start to make one.
type Cluster struct {
	Shape   Deployment
	Log     *logstand.Server
	LogAddr string
	// EntryAddrs are the addresses of the entries.
	EntryAddrs []string

	lg     *log.Logger
	group  *errgroup.Group
	ctx    context.Context
	cancel context.CancelFunc
	seen   Observers
	mu     sync.Mutex
	rng    *rand.Rand
}

// Start runs a deployment on loopback until Stop.
func Start(ctx context.Context, shape Deployment, seed uint64, seen Observers, lg *log.Logger) (*Cluster, error) {
	ctx, cancel := context.WithCancel(ctx)
	g, ctx := errgroup.WithContext(ctx)
	c := &Cluster{
		Shape: shape, Log: logstand.New(0), lg: lg, group: g, ctx: ctx, cancel: cancel, seen: seen,
		rng: rand.New(rand.NewPCG(seed, seed)),
	}
	if err := c.start(); err != nil {
		cancel()
		return nil, errors.Join(err, g.Wait())
	}
	return c, nil
}

// start brings up the log, the entries, the targets and the workers.
func (c *Cluster) start() error {
	addr, err := c.serve(c.Log.Handler())
	if err != nil {
		return err
	}
	c.LogAddr = addr
	if err := c.startEntries(); err != nil {
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
	return nil
}

// startEntries runs the entries, each knowing the others.
func (c *Cluster) startEntries() error {
	var ls []net.Listener
	for range c.Shape.Entries {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		ls = append(ls, l)
		c.EntryAddrs = append(c.EntryAddrs, l.Addr().String())
	}
	for i, l := range ls {
		n := node.New(c.entryOptions(i), c.ports(), c.lg)
		c.group.Go(func() error { return n.Serve(c.ctx, l) })
	}
	return nil
}

// entryOptions returns the settings of an entry.
func (c *Cluster) entryOptions(i int) node.Options {
	var peers []string
	for j, a := range c.EntryAddrs {
		if j != i {
			peers = append(peers, a)
		}
	}
	opt := node.Defaults()
	opt.Role, opt.ID, opt.DataCentre = node.RoleEntry, fmt.Sprintf("entry-%d", i+1), c.dataCentre(i)
	opt.Peers, opt.Cells, opt.Share = peers, c.Shape.DataCentres, c.Shape.Entries
	return opt
}

// ports returns adapters to the stand-ins.
func (c *Cluster) ports() node.Ports {
	return node.Ports{
		Log:     logsvc.NewHTTP(c.LogAddr),
		Workers: workerapi.NewHTTP(),
		Targets: targetapi.NewHTTP(c.Shape.Conns / c.Shape.Entries),
	}
}

// dataCentre spreads things over the data centres by number.
func (c *Cluster) dataCentre(i int) string { return c.Shape.DataCentres[i%len(c.Shape.DataCentres)] }

// startTarget runs one target.
func (c *Cluster) startTarget(i int) error {
	a := announce.Announcement{
		Role: announce.RoleTarget, Name: fmt.Sprintf("target-%02d", i+1), DataCentre: c.dataCentre(i),
		Service: c.Shape.Service, Slots: c.Shape.Slots, Connections: c.Shape.Conns, Incarnation: time.Now().UnixNano(),
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	a.Address = l.Addr().String()
	t := targetstand.New(a, c.work, c.seen.Target)
	c.serveOn(l, t.Handler())
	c.announce(a)
	return nil
}

// work draws the time one request takes at a target.
func (c *Cluster) work() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return 2*time.Millisecond + time.Duration(c.rng.ExpFloat64()*float64(3*time.Millisecond))
}

// startWorker runs one worker.
func (c *Cluster) startWorker(i int) error {
	a := announce.Announcement{
		Role: announce.RoleWorker, Name: fmt.Sprintf("worker-%02d", i+1), DataCentre: c.dataCentre(i),
		Rack: fmt.Sprintf("rack-%d", i/c.Shape.PerRack+1), Capacity: c.Shape.Worker, Incarnation: time.Now().UnixNano(),
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	a.Address = l.Addr().String()
	w := workerstand.New(a, c.seen.Worker)
	c.serveOn(l, w.Handler())
	c.group.Go(func() error { w.Run(c.ctx.Done()); return nil })
	c.announce(a)
	return nil
}

// announce announces a target or worker until the cluster stops.
func (c *Cluster) announce(a announce.Announcement) {
	an := standin.NewAnnouncer(a, c.EntryAddrs)
	c.group.Go(func() error { an.Run(c.ctx); return nil })
}

// serve serves a handler on a free port and returns its address.
func (c *Cluster) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	c.serveOn(l, h)
	return l.Addr().String(), nil
}

// serveOn serves a handler until the cluster stops.
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

// Stop ends everything and returns the first error.
func (c *Cluster) Stop() error {
	c.cancel()
	return c.group.Wait()
}
