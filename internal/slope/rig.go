package slope

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime/pprof"
	"time"

	"github.com/crocusspring/crocusspring/internal/announce"
	"github.com/crocusspring/crocusspring/internal/logs"
	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/netcount"
	"github.com/crocusspring/crocusspring/internal/node"
	"github.com/crocusspring/crocusspring/internal/resource"
	"github.com/crocusspring/crocusspring/internal/standin"
	"github.com/crocusspring/crocusspring/internal/standin/logstand"
	"github.com/crocusspring/crocusspring/internal/standin/targetstand"
	"github.com/crocusspring/crocusspring/internal/standin/workerstand"
	"github.com/crocusspring/crocusspring/internal/targetapi"
	"github.com/crocusspring/crocusspring/internal/workerapi"
	"golang.org/x/sync/errgroup"
)

// cellName is the name of a rig's only cell.
const cellName = "dc-1"

// service is the name of the service that the targets of a rig provide.
const service = "booking"

// rigOptions describes the parts of one rig.
type rigOptions struct {
	nodes   int
	workers int
	targets int
	role    node.Role
	// taskLease is the lease of tasks; 0 for the default.
	taskLease time.Duration
}

// rig is a test rig: the real code of a few nodes among stand-ins, with counters for the bytes on the wire.
type rig struct {
	options rigOptions
	log     *logstand.Server
	// nodeAddrs are the addresses of the nodes; node 0 owns the cell.
	nodeAddrs []string
	// logWire counts the log traffic of each node, nodeWire what arrives at each node.
	logWire    []*netcount.Counter
	nodeWire   []*netcount.Counter
	workerWire *netcount.Counter
	targetWire *netcount.Counter

	// failWorker stops the worker with an index, as the failure of its host would.
	failWorker []context.CancelFunc

	group  *errgroup.Group
	ctx    context.Context
	cancel context.CancelFunc
}

// startRig starts a rig and waits until every node lists all members.
func startRig(ctx context.Context, o rigOptions) (*rig, error) {
	if o.role == "" {
		o.role = node.RoleEntry
	}
	ctx, cancel := context.WithCancel(ctx)
	g, ctx := errgroup.WithContext(ctx)
	r := &rig{
		options: o, log: logstand.New(0), workerWire: &netcount.Counter{}, targetWire: &netcount.Counter{},
		group: g, ctx: ctx, cancel: cancel,
	}
	if err := r.start(); err != nil {
		return nil, errors.Join(err, r.stop())
	}
	return r, nil
}

// start starts the nodes, workers and targets, and waits until they are ready.
func (r *rig) start() error {
	if err := r.startNodes(); err != nil {
		return err
	}
	for i := range r.options.workers {
		if err := r.startWorker(i); err != nil {
			return err
		}
	}
	for i := range r.options.targets {
		if err := r.startTarget(i); err != nil {
			return err
		}
	}
	return r.waitReady()
}

// labelled runs f and all goroutines that it starts under a profile label.
func (r *rig) labelled(part string, f func(context.Context) error) {
	r.group.Go(func() error {
		var err error
		pprof.Do(r.ctx, pprof.Labels(partLabel, part), func(ctx context.Context) { err = f(ctx) })
		return err
	})
}

// startNodes starts the nodes. Each has all others as peers and reaches the log through its own counted listener.
func (r *rig) startNodes() error {
	var ls []net.Listener
	for range r.options.nodes {
		l, c, err := listen()
		if err != nil {
			return err
		}
		ls = append(ls, l)
		r.nodeAddrs = append(r.nodeAddrs, l.Addr().String())
		r.nodeWire = append(r.nodeWire, c)
	}
	for i, l := range ls {
		logListener, c, err := listen()
		if err != nil {
			return err
		}
		r.logWire = append(r.logWire, c)
		r.serve(r.ctx, "stand-in", logListener, r.log.Handler())
		n := node.New(r.nodeOptions(i), node.Ports{
			Log: logsvc.NewHTTP(logListener.Addr().String()), Workers: workerapi.NewHTTP(), Targets: targetapi.NewHTTP(64),
		}, logs.Discard())
		r.labelled(nodePart(i), func(ctx context.Context) error { return n.Serve(ctx, l) })
		if i == 0 && r.options.workers > 0 {
			time.Sleep(ownerHeadStart)
		}
	}
	return nil
}

// ownerHeadStart lets node 0 become owner of the cell before the other nodes start.
const ownerHeadStart = 500 * time.Millisecond

// nodePart returns the name of a node, which is also its label in profiles.
func nodePart(i int) string { return fmt.Sprintf("node-%d", i) }

// nodeOptions returns the options of a node.
func (r *rig) nodeOptions(i int) node.Options {
	opt := node.Defaults()
	opt.Role, opt.ID, opt.DataCentre, opt.Share = r.options.role, nodePart(i), cellName, r.options.nodes
	for j, a := range r.nodeAddrs {
		if j != i {
			opt.Peers = append(opt.Peers, a)
		}
	}
	if r.options.workers > 0 {
		opt.Cells = []string{cellName}
	}
	if r.options.taskLease > 0 {
		opt.TaskLease = r.options.taskLease
	}
	opt.Drain = time.Second
	return opt
}

// startWorker starts the stand-in of one worker.
func (r *rig) startWorker(i int) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	a := announce.Announcement{
		Role: announce.RoleWorker, Name: fmt.Sprintf("worker-%04d", i), Address: l.Addr().String(), DataCentre: cellName,
		Rack: fmt.Sprintf("rack-%02d", i/3), Incarnation: time.Now().UnixNano(),
		Capacity: resource.Vector{MilliCPU: 16000, MemoryMB: 62500},
	}
	w := workerstand.New(a, nil)
	ctx, fail := context.WithCancel(r.ctx)
	r.failWorker = append(r.failWorker, fail)
	r.labelled("stand-in", func(context.Context) error { w.Run(ctx.Done()); return nil })
	r.serve(ctx, "stand-in", r.workerWire.Listen(l), w.Handler())
	r.announce(ctx, a)
	return nil
}

// startTarget starts the stand-in of one target.
func (r *rig) startTarget(i int) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	a := announce.Announcement{
		Role: announce.RoleTarget, Name: fmt.Sprintf("target-%04d", i), Address: l.Addr().String(), DataCentre: cellName,
		Service: service, Slots: 8, Connections: 64, Incarnation: time.Now().UnixNano(),
	}
	t := targetstand.New(a, func() time.Duration { return 2 * time.Millisecond }, nil)
	r.serve(r.ctx, "stand-in", r.targetWire.Listen(l), t.Handler())
	r.announce(r.ctx, a)
	return nil
}

// announce announces a target or worker to all nodes until ctx ends.
func (r *rig) announce(ctx context.Context, a announce.Announcement) {
	an := standin.NewAnnouncer(a, r.nodeAddrs)
	r.labelled("stand-in", func(context.Context) error { an.Run(ctx); return nil })
}

// listen opens a counted listener on a free loopback port.
func listen() (net.Listener, *netcount.Counter, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, fmt.Errorf("listen: %w", err)
	}
	c := &netcount.Counter{}
	return c.Listen(l), c, nil
}

// serve serves a handler until ctx ends; its goroutines carry the profile label of a part.
func (r *rig) serve(ctx context.Context, part string, l net.Listener, h http.Handler) {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 2 * time.Second}
	r.labelled(part, func(context.Context) error {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	r.group.Go(func() error {
		<-ctx.Done()
		return srv.Close()
	})
}

// waitReady waits until every node lists all members, at most 30 s.
func (r *rig) waitReady() error {
	ctx, cancel := context.WithTimeout(r.ctx, 30*time.Second)
	defer cancel()
	for _, a := range r.nodeAddrs {
		for !r.listsAllMembers(ctx, a) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("node %s did not become ready: %w", a, ctx.Err())
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

// listsAllMembers queries the status of a node and reports whether it lists as many targets and workers as the
// rig has.
func (r *rig) listsAllMembers(ctx context.Context, addr string) bool {
	var s node.Status
	if err := callJSON(ctx, http.MethodGet, addr, "/v1/status", nil, &s); err != nil {
		return false
	}
	return len(s.Targets) == r.options.targets && len(s.Workers) == r.options.workers
}

// stop stops everything and returns the first error.
func (r *rig) stop() error {
	r.cancel()
	return r.group.Wait()
}
