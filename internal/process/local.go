package process

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/guard"
	"github.com/crocusspring/crocusspring/internal/intake"
	"github.com/crocusspring/crocusspring/internal/jobapi"
	"github.com/crocusspring/crocusspring/internal/link"
	"github.com/crocusspring/crocusspring/internal/owner"
	"github.com/crocusspring/crocusspring/internal/ownership"
	"github.com/crocusspring/crocusspring/internal/resource"
	"github.com/crocusspring/crocusspring/internal/standin/execstand"
	"github.com/crocusspring/crocusspring/internal/store"
)

// LocalCell is a complete cell on loopback for tests and demonstrations: an entry, and nodes that each run
// a guard and a stand-in worker.
type LocalCell struct {
	Nodes []*LocalNode
	// Entry follows the lease of the cell, Intake accepts jobs.
	Entry  *ownership.Runner
	Intake *intake.Intake
	store  store.Store
	log    *log.Logger
	stop   context.CancelFunc
	done   sync.WaitGroup
	began  time.Time
}

// LocalNode is one node of a LocalCell.
type LocalNode struct {
	Name        string
	Executor    *execstand.Executor
	incarnation string
	guard       *guard.Guard
	stop        context.CancelFunc
	done        sync.WaitGroup
}

// Reboot begins another incarnation of the worker, which announces itself to the node's guard.
func (n *LocalNode) Reboot(incarnation string) {
	n.RebootSilently(incarnation)
	n.Announce()
}

// RebootSilently begins another incarnation of the worker, which doesn't announce itself yet.
func (n *LocalNode) RebootSilently(incarnation string) {
	n.Executor.Reboot(incarnation)
	n.incarnation = incarnation
}

// Announce has the worker announce itself to the node's guard.
func (n *LocalNode) Announce() { n.guard.Describe(n.worker(), 0) }

// worker returns the announcement of the worker.
func (n *LocalNode) worker() link.Worker {
	return link.Worker{ID: n.incarnation, Service: "pool", Capacity: localCapacity}
}

// localCapacity is the resources of each stand-in worker.
var localCapacity = resource.Vector{MilliCPU: 4000, MemoryMB: 4000}

// NewLocalCell starts a cell of n nodes in which each run takes the time work.
func NewLocalCell(n int, s store.Store, work time.Duration, l *log.Logger) (*LocalCell, error) {
	c := &LocalCell{store: s, log: l, began: time.Now()}
	for i := range n {
		incarnation := fmt.Sprintf("life-%d", i)
		node := &LocalNode{Name: fmt.Sprintf("node-%d", i), Executor: execstand.New(incarnation, work), incarnation: incarnation}
		c.Nodes = append(c.Nodes, node)
		if err := c.Start(node); err != nil {
			c.Close()
			return nil, err
		}
	}
	common := c.common("entry")
	c.Entry = common.lease(false)
	ctx, cancel := context.WithCancel(context.Background())
	c.stop = cancel
	c.runPart(ctx, &c.done, c.Entry.Run)
	c.Intake = intake.New(s, owner.NewClient(0), c.Entry, nil, common.scope(), l)
	return c, nil
}

// localRetention is how long the state of an ended job can be queried.
const localRetention = time.Hour

// common returns the common options of a process of the cell.
func (c *LocalCell) common(name string) *Common {
	return &Common{Node: name, Store: c.store, JobRetention: localRetention, Log: c.log}
}

// runPart runs a component in the background until its context ends, and logs its error.
func (c *LocalCell) runPart(ctx context.Context, done *sync.WaitGroup, part func(context.Context) error) {
	done.Go(func() {
		if err := part(ctx); err != nil && ctx.Err() == nil {
			c.log.Error(event.PartEnded, "err", err)
		}
	})
}

// Start starts the processes of a node.
func (c *LocalCell) Start(n *LocalNode) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	common := c.common(n.Name)
	common.Inner = l.Addr().String()
	lease := common.lease(true)
	clock := func() int64 { return time.Since(c.began).Milliseconds() + 1 }
	cell := owner.New(common.schedOptions(), c.store, lease, nil, common.scope(), c.log)
	cell.UseClock(clock)
	opt := guard.Options{Node: n.Name, RunLease: runLease, MaxLease: runLease, StartedUnix: time.Now().Unix()}
	g := guard.New(opt, n.Executor, lease, clock, common.scope(), c.log)
	mux := http.NewServeMux()
	cell.Routes(mux)
	mux.HandleFunc("POST "+owner.TakeoverPath, owner.ServeTakeover(lease))
	gate := common.gate(shareLinks)
	server := gate.Server(mux)
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	c.runPart(ctx, &n.done, func(context.Context) error {
		if err := server.Serve(gate.Listen(l)); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	c.runPart(ctx, &n.done, func(ctx context.Context) error {
		<-ctx.Done()
		return server.Close()
	})
	for _, part := range []func(context.Context) error{lease.Run, cell.Run, g.Run} {
		c.runPart(ctx, &n.done, part)
	}
	n.guard = g
	g.Describe(n.worker(), 0)
	return nil
}

// Kill stops the processes of a node at once; its worker goes on running.
func (n *LocalNode) Kill() {
	n.stop()
	n.done.Wait()
}

// Owner returns the node that owns the cell; nil while no owner is known.
func (c *LocalCell) Owner() *LocalNode {
	l, ok := c.Entry.Holder()
	for _, n := range c.Nodes {
		if ok && n.Name == l.Node {
			return n
		}
	}
	return nil
}

// Handler returns the HTTP interface for jobs of steps.
func (c *LocalCell) Handler() http.Handler {
	mux := http.NewServeMux()
	jobapi.Routes(mux, c.Intake)
	return mux
}

// Close stops all processes of the cell.
func (c *LocalCell) Close() {
	for _, n := range c.Nodes {
		if n.stop != nil {
			n.Kill()
		}
	}
	if c.stop != nil {
		c.stop()
		c.done.Wait()
	}
}
