// Package process puts the parts of an entry and of a guard together for a platform whose ports are
// given, and runs them until they are told to stop.
package process

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/crocusspring/crocusspring/internal/directory"
	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/guard"
	"github.com/crocusspring/crocusspring/internal/intake"
	"github.com/crocusspring/crocusspring/internal/jobapi"
	"github.com/crocusspring/crocusspring/internal/link"
	"github.com/crocusspring/crocusspring/internal/metrics"
	"github.com/crocusspring/crocusspring/internal/owner"
	"github.com/crocusspring/crocusspring/internal/ownership"
	"github.com/crocusspring/crocusspring/internal/pause"
	"github.com/crocusspring/crocusspring/internal/queues"
	"github.com/crocusspring/crocusspring/internal/record"
	"github.com/crocusspring/crocusspring/internal/sched"
	"github.com/crocusspring/crocusspring/internal/store"
)

// Times of the cell. They are the same at every process of an installation.
const (
	// leaseLength is how long a cell is owned without renewal; a slow store answers within a fifth of it.
	leaseLength = 1500 * time.Millisecond
	// renewEvery leaves room for two failed renewals.
	renewEvery = 500 * time.Millisecond
	// takeMargin covers clocks that run at different rates.
	takeMargin = 200 * time.Millisecond
	// takeStagger is the most that a candidate waits longer than the first.
	takeStagger = 300 * time.Millisecond
	// runLease is how long runs outlive the last word of their owner. It covers a takeover.
	runLease = 4 * time.Second
	// echoStretch is how long an owner vouches for runs after its lease has lapsed, while the store is
	// away and nobody else can have taken the cell.
	echoStretch = 6 * time.Second
	// lapseMargin covers timers and the granularity of clocks.
	lapseMargin = 200 * time.Millisecond
)

const (
	// readyLag is how long a stopping entry serves on after readiness went down: the balancer asks once a
	// second and takes a process out after two misses.
	readyLag = 2500 * time.Millisecond
	// headerTimeout bounds the reading of a request's head, idleTimeout an unused connection.
	headerTimeout = 3 * time.Second
	idleTimeout   = 30 * time.Second
	// leaveTimeout bounds the giving back of the cell at a stop.
	leaveTimeout = 500 * time.Millisecond
)

// Common is what entries and guards have in common.
type Common struct {
	// Node names this process; Inner is its address for traffic between nodes.
	Node, Inner string
	Store       store.Store
	// Keep is how long the state of an ended job can be asked for.
	Keep time.Duration
	// Reload is called at SIGHUP and when the settings have changed; Changed tells whether they have since
	// it was asked last.
	Reload  func() error
	Changed func() bool
	Log     *log.Logger
	// Metrics are served on MetricsAddr; an empty address serves them nowhere.
	Metrics     *metrics.Metrics
	MetricsAddr string
}

// scope returns where a part counts.
func (c *Common) scope() tally.Scope {
	if c.Metrics == nil {
		return tally.NoopScope
	}
	return c.Metrics
}

// serveMetrics serves the metrics until the context ends.
func (c *Common) serveMetrics(ctx context.Context, grp *errgroup.Group) {
	if c.Metrics == nil || c.MetricsAddr == "" {
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", c.Metrics.Handler())
	serve(ctx, grp, newServer(mux), c.MetricsAddr)
}

// schedOptions returns the parameters of the scheduler.
func (c *Common) schedOptions() sched.Options {
	return sched.Options{RunLease: runLease, EchoStretch: echoStretch, Margin: lapseMargin, Keep: c.Keep}
}

// lease returns the lease as this process sees it.
func (c *Common) lease(candidate bool) *ownership.Runner {
	return ownership.NewRunner(ownership.Options{
		Node: c.Node, Life: record.NewID(), Addr: c.Inner, Candidate: candidate,
		Length: leaseLength, RenewEvery: renewEvery, Margin: takeMargin, Stagger: stagger(c.Node),
	}, c.Store, c.Log.WithPrefix("lease"))
}

// stagger spreads candidates by their names.
func stagger(node string) time.Duration {
	h := fnv.New32a()
	h.Write([]byte(node))
	const steps = 16
	return takeStagger * time.Duration(h.Sum32()%steps) / steps
}

// Entry is what an entry needs beside.
type Entry struct {
	Common
	// Front and Ready are the addresses to serve clients and the balancer on.
	Front, Ready string
	Queues       queues.Source
	// Handler makes the handler of clients' requests.
	Handler func(*queues.Follower, *intake.Intake) http.Handler
}

// RunEntry serves as an entry until the process is told to stop.
func RunEntry(e Entry) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	lease := e.lease(false)
	tables := queues.NewFollower(e.Store, e.Queues, e.scope(), e.Log.WithPrefix("config"))
	in := intake.New(e.Store, owner.NewClient(), lease, e.scope(), e.Log.WithPrefix("intake"))
	front := newServer(e.Handler(tables, in))
	stopping := make(chan struct{})
	ready := newServer(readiness(tables, stopping))
	inner := http.NewServeMux()
	inner.HandleFunc("POST "+owner.TakeoverPath, owner.ServeTakeover(lease))
	jobapi.Routes(inner, in)
	e.Log.Info(event.ProcessStarted, "node", e.Node, "front", e.Front, "inner", e.Inner)
	grp, ctx := errgroup.WithContext(ctx)
	grp.Go(func() error { return lease.Run(ctx) })
	grp.Go(func() error { return directory.Register(ctx, e.Store, e.Node, e.Inner, e.Log.WithPrefix("directory")) })
	grp.Go(func() error { return tables.Run(ctx) })
	e.serveMetrics(ctx, grp)
	serve(ctx, grp, front, e.Front)
	serve(ctx, grp, ready, e.Ready)
	serve(ctx, grp, newServer(inner), e.Inner)
	signals := e.signals()
	grp.Go(func() error {
		if err := e.await(ctx, signals); err != nil {
			return err
		}
		close(stopping)
		front.SetKeepAlivesEnabled(false)
		pause.For(ctx, readyLag)
		if err := front.Shutdown(ctx); err != nil {
			e.Log.Warn(event.ConnectionsCut, "err", err)
		}
		return errStopped
	})
	return e.ended(grp.Wait())
}

// errStopped says that the process was told to stop.
var errStopped = errors.New("told to stop")

// ended logs the end of a process.
func (c *Common) ended(err error) error {
	c.Log.Info(event.ProcessStopped, "node", c.Node, "reason", err)
	if errors.Is(err, errStopped) {
		return nil
	}
	return err
}

// newServer returns a server with bounds on what a peer may hold up.
func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

// serve serves on an address until the context ends or the server is shut down.
func serve(ctx context.Context, grp *errgroup.Group, s *http.Server, addr string) {
	grp.Go(func() error {
		<-ctx.Done()
		return s.Close()
	})
	grp.Go(func() error {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve on %s: %w", addr, err)
		}
		return nil
	})
}

// readiness answers the balancer: ready once queues are known, until the process is told to stop.
func readiness(tables *queues.Follower, stopping <-chan struct{}) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		select {
		case <-stopping:
			http.Error(w, "stopping", http.StatusServiceUnavailable)
			return
		default:
		}
		if tables.Table() == nil {
			http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

// signals begins to take the signals of the platform.
func (c *Common) signals() <-chan os.Signal {
	ch := make(chan os.Signal, 8)
	signal.Notify(ch, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	return ch
}

// watchEvery is the time between two looks at the settings for a change without a signal.
const watchEvery = 2 * time.Second

// await reloads at SIGHUP and when the settings have changed, and returns at the signal to stop.
func (c *Common) await(ctx context.Context, signals <-chan os.Signal) error {
	watch := time.NewTicker(watchEvery)
	defer watch.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-watch.C:
			if c.Changed() {
				c.reload("changed")
			}
		case s := <-signals:
			if s != syscall.SIGHUP {
				c.Log.Info(event.ProcessStopping, "signal", s.String())
				return nil
			}
			c.reload(s.String())
		}
	}
}

// reload takes new settings over; bad ones leave the old in force.
func (c *Common) reload(cause string) {
	if err := c.Reload(); err != nil {
		c.Log.Error(event.SettingsNotReloaded, "cause", cause, "err", err)
		return
	}
	c.Log.Info(event.SettingsReloaded, "cause", cause)
}

// Guard is what a guard needs beside.
type Guard struct {
	Common
	// Control is the address to serve the worker's announcements on.
	Control  string
	Executor guard.Executor
	// Adviser is asked about queues that take advice.
	Adviser owner.Adviser
	// MaxHold is the longest lease that a worker grants.
	MaxHold time.Duration
	// Clock reads milliseconds of a clock that counts while the machine is suspended.
	Clock func() int64
	// Announcements makes the handler of the worker's announcements.
	Announcements func(take func(link.Worker)) http.Handler
}

// RunGuard serves as a guard until the process is told to stop.
func RunGuard(g Guard) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	lease := g.lease(true)
	cell := owner.New(g.schedOptions(), g.Store, lease, g.Adviser, g.scope(), g.Log.WithPrefix("cell"))
	local := guard.New(guard.Options{Node: g.Node, RunLease: runLease, MaxHold: g.MaxHold},
		g.Executor, lease, g.Clock, g.scope(), g.Log.WithPrefix("guard"))
	inner := http.NewServeMux()
	cell.Routes(inner)
	inner.HandleFunc("POST "+owner.TakeoverPath, owner.ServeTakeover(lease))
	g.Log.Info(event.ProcessStarted, "node", g.Node, "control", g.Control, "inner", g.Inner)
	grp, ctx := errgroup.WithContext(ctx)
	g.serveMetrics(ctx, grp)
	serve(ctx, grp, newServer(inner), g.Inner)
	serve(ctx, grp, newServer(g.Announcements(local.Describe)), g.Control)
	grp.Go(func() error { return lease.Run(ctx) })
	grp.Go(func() error { return directory.Register(ctx, g.Store, g.Node, g.Inner, g.Log.WithPrefix("directory")) })
	grp.Go(func() error { return cell.Run(ctx) })
	grp.Go(func() error { return local.Run(ctx) })
	signals := g.signals()
	grp.Go(func() error {
		if err := g.await(ctx, signals); err != nil {
			return err
		}
		leave, cancel := context.WithTimeout(ctx, leaveTimeout)
		defer cancel()
		if err := lease.Release(leave); err != nil {
			g.Log.Warn(event.CellNotReleased, "err", err)
		}
		return errStopped
	})
	return g.ended(grp.Wait())
}
