// Package process assembles the components of an entry and of a guard for a platform whose ports the
// caller passes in, and runs them until they receive a signal to stop.
package process

import (
	"context"
	"errors"
	"hash/fnv"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/crocusspring/crocusspring/internal/directory"
	"github.com/crocusspring/crocusspring/internal/drains"
	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/guard"
	"github.com/crocusspring/crocusspring/internal/ingress"
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
	"github.com/crocusspring/crocusspring/internal/signals"
	"github.com/crocusspring/crocusspring/internal/store"
)

// Durations of leases. They must be the same at every process of an installation.
const (
	// leaseLength is how long a cell is owned without renewal; a slow store answers within a fifth of it.
	leaseLength = 1500 * time.Millisecond
	// renewInterval is the interval of renewals; it lets two renewals fail before the lease expires.
	renewInterval = 500 * time.Millisecond
	// clockRateMargin is added to the lease before a takeover, since clocks run at different rates.
	clockRateMargin = 200 * time.Millisecond
	// maxTakeStagger is the maximum extra delay of a candidate before a takeover.
	maxTakeStagger = 300 * time.Millisecond
	// runLease is how long runs continue after the last lease extension from their owner. It covers a
	// takeover.
	runLease = 4 * time.Second
	// linkTime is how long guards take at most to link to a new owner, as a rule.
	linkTime = time.Second
	// runLeaseExtension is how long an owner goes on extending the leases of runs after its own lease has
	// expired, while the store is unavailable and no other candidate can have taken over the cell.
	runLeaseExtension = 6 * time.Second
	// halfQuorumTime is how long more than half of the guards suffice for that; then it takes all of them.
	halfQuorumTime = 2 * time.Second
	// guardSilence is how long an owner goes on with that after it last heard from most guards: a few heartbeats.
	guardSilence = time.Second
	// expiryMargin is added to the expiry of run leases for the granularity of timers and clocks.
	expiryMargin = 200 * time.Millisecond
)

const (
	// readyLag is how long a stopping entry goes on serving after it reports that it is not ready: the load
	// balancer checks once per second and removes a process after two failed checks.
	readyLag = 2500 * time.Millisecond
	// leaveTimeout bounds the release of the cell during a stop.
	leaveTimeout = 500 * time.Millisecond
)

// Common are the options common to entries and guards.
type Common struct {
	// Node names this process; Inner is its address for traffic between nodes.
	Node, Inner string
	Store       store.Store
	// Machine is what the machine leaves to the process.
	Machine ingress.Machine
	// JobRetention is how long the state of an ended job can be queried.
	JobRetention time.Duration
	// Reload is called on SIGHUP and when the settings have changed. Changed reports whether they have
	// changed since its last call.
	Reload  func() error
	Changed func() bool
	Log     *log.Logger
	// Metrics are served on MetricsAddr, or not at all if it is empty.
	Metrics     *metrics.Metrics
	MetricsAddr string
}

// scope returns the metrics scope of a component; a no-op one without Metrics.
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
	c.serve(ctx, grp, mux, c.MetricsAddr, shareMetrics)
}

// schedOptions returns the parameters of the scheduler.
func (c *Common) schedOptions() sched.Options {
	return sched.Options{RunLease: runLease, RunLeaseExtension: runLeaseExtension, HalfQuorumTime: halfQuorumTime, GuardSilence: guardSilence, Margin: expiryMargin, JobRetention: c.JobRetention, LinkTime: linkTime, MaxOpenTasks: c.maxOpenTasks(), JobMemory: c.jobMemory(), Node: c.Node}
}

// lease returns the runner that follows the cell's lease for this process and, if the process is a
// candidate, takes it.
func (c *Common) lease(candidate bool) *ownership.Runner {
	return ownership.NewRunner(ownership.Options{
		Node: c.Node, Incarnation: record.NewID(), Addr: c.Inner, Candidate: candidate,
		Length: leaseLength, RenewEvery: renewInterval, Margin: clockRateMargin, Stagger: stagger(c.Node),
	}, c.Store, c.Log.WithPrefix("lease"))
}

// stagger returns the extra takeover delay of a candidate, in steps of a sixteenth of maxTakeStagger, by a
// hash of its name.
func stagger(node string) time.Duration {
	h := fnv.New32a()
	h.Write([]byte(node))
	const steps = 16
	return maxTakeStagger * time.Duration(h.Sum32()%steps) / steps
}

// EntryOptions are the options of an entry.
type EntryOptions struct {
	Common
	// Front and Ready are the addresses that serve clients and the load balancer's readiness checks.
	Front, Ready string
	Queues       queues.Source
	// Handler returns the handler of clients' requests.
	Handler func(*queues.Follower, *intake.Intake) http.Handler
}

// RunEntry runs an entry until the process receives a signal to stop or a component fails.
func RunEntry(e EntryOptions) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	e.Machine.BoundGarbage()
	lease := e.lease(false)
	tables := queues.NewFollower(e.Store, e.Queues, e.scope(), e.Log.WithPrefix("config"))
	peers := directory.NewFollower(e.Store, e.Inner)
	in := intake.New(e.Store, owner.NewClient(e.ownerConnections()), lease, peers, e.scope(), e.Log.WithPrefix("intake"))
	stopping := make(chan struct{})
	inner := http.NewServeMux()
	inner.HandleFunc("POST "+owner.TakeoverPath, owner.ServeTakeover(lease))
	jobapi.Routes(inner, in)
	e.Log.Info(event.ProcessStarted, "node", e.Node, "front", e.Front, "inner", e.Inner)
	grp, ctx := errgroup.WithContext(ctx)
	grp.Go(func() error { return lease.Run(ctx) })
	grp.Go(func() error { return directory.Register(ctx, e.Store, e.Node, e.Inner, e.Log.WithPrefix("directory")) })
	grp.Go(func() error { return tables.Run(ctx) })
	grp.Go(func() error { return peers.Run(ctx) })
	e.serveMetrics(ctx, grp)
	front := e.serve(ctx, grp, e.Handler(tables, in), e.Front, shareFront)
	e.serve(ctx, grp, readiness(tables, in, stopping), e.Ready, shareReady)
	e.serve(ctx, grp, inner, e.Inner, shareInner)
	grp.Go(func() error {
		if err := e.waitForStop(ctx); err != nil {
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
	return e.logStopped(grp.Wait())
}

// errStopped means that the process received a signal to stop.
var errStopped = errors.New("told to stop")

// logStopped logs the end of a process and returns its error; nil if it was told to stop.
func (c *Common) logStopped(err error) error {
	c.Log.Info(event.ProcessStopped, "node", c.Node, "reason", err)
	if errors.Is(err, errStopped) {
		return nil
	}
	return err
}

// readiness returns the handler of readiness checks. The process is ready from the time it has a queue
// configuration until it receives a signal to stop, except while it knows no way to the store.
func readiness(tables *queues.Follower, in *intake.Intake, stopping <-chan struct{}) http.Handler {
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
		if !in.Available() {
			http.Error(w, "the store can't be reached", http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

// settingsPollInterval is the interval at which the settings are checked for changes without a signal.
const settingsPollInterval = 2 * time.Second

// waitForStop reloads the settings on SIGHUP and when they have changed, and returns on a signal to stop.
func (c *Common) waitForStop(ctx context.Context) error {
	signals.ReceiveAll()
	watch := time.NewTicker(settingsPollInterval)
	defer watch.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-watch.C:
			if c.Changed() {
				c.reload("changed")
			}
		case s := <-signals.Stops():
			c.Log.Info(event.ProcessStopping, "signal", s.String())
			return nil
		case s := <-signals.Reloads():
			c.reload(s.String())
		}
	}
}

// reload applies new settings; if they are invalid, the old ones stay in effect.
func (c *Common) reload(cause string) {
	if err := c.Reload(); err != nil {
		c.Log.Error(event.SettingsNotReloaded, "cause", cause, "err", err)
		return
	}
	c.Log.Info(event.SettingsReloaded, "cause", cause)
}

// GuardOptions are the options of a guard.
type GuardOptions struct {
	Common
	// Control is the address that serves the worker's announcements.
	Control  string
	Executor guard.Executor
	// Adviser is queried about queues that use advice.
	Adviser owner.Adviser
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// Clock reads, in milliseconds, a clock that also advances while the machine is suspended.
	Clock func() int64
	// Drains defines the requests to drain data centres, which must be in effect within DrainWithin; 0 where they
	// can't be drained.
	Drains      drains.Source
	DrainWithin time.Duration
	// Announcements returns the handler of the worker's announcements, which passes each to take with its number within the
	// incarnation, or 0.
	Announcements func(take func(w link.Worker, seq int64)) http.Handler
}

// RunGuard runs a guard until the process receives a signal to stop or a component fails.
func RunGuard(g GuardOptions) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	g.Machine.BoundGarbage()
	lease := g.lease(true)
	cell := owner.New(g.schedOptions(), g.Store, lease, g.Adviser, g.scope(), g.Log.WithPrefix("cell"))
	cell.UseClock(g.Clock)
	opt := guard.Options{Node: g.Node, RunLease: runLease, MaxLease: g.MaxLease, StartedUnix: time.Now().Unix()}
	grp, ctx := errgroup.WithContext(ctx)
	if g.DrainWithin > 0 {
		drained := drains.NewFollower(g.Store, g.Drains, g.DrainWithin, g.scope(), g.Log.WithPrefix("drains"))
		cell.UseDrains(drained)
		opt.Drained = drained.Drained
		grp.Go(func() error { return drained.Run(ctx) })
	}
	local := guard.New(opt, g.Executor, lease, g.Clock, g.scope(), g.Log.WithPrefix("guard"))
	inner := http.NewServeMux()
	cell.Routes(inner)
	inner.HandleFunc("POST "+owner.TakeoverPath, owner.ServeTakeover(lease))
	g.Log.Info(event.ProcessStarted, "node", g.Node, "control", g.Control, "inner", g.Inner)
	g.serveMetrics(ctx, grp)
	g.serve(ctx, grp, inner, g.Inner, shareLinks)
	g.serve(ctx, grp, g.Announcements(local.Describe), g.Control, shareControl)
	grp.Go(func() error { return lease.Run(ctx) })
	grp.Go(func() error { return directory.Register(ctx, g.Store, g.Node, g.Inner, g.Log.WithPrefix("directory")) })
	grp.Go(func() error { return cell.Run(ctx) })
	grp.Go(func() error { return local.Run(ctx) })
	grp.Go(func() error {
		if err := g.waitForStop(ctx); err != nil {
			return err
		}
		leave, cancel := context.WithTimeout(ctx, leaveTimeout)
		defer cancel()
		if err := lease.Release(leave); err != nil {
			g.Log.Warn(event.CellNotReleased, "err", err)
		}
		return errStopped
	})
	return g.logStopped(grp.Wait())
}
