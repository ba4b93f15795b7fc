// Package node assembles the components that every entry and guard runs: configuration, membership,
// cells and the HTTP interfaces.
package node

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	peerv1 "github.com/crocusspring/crocusspring/api/peer/v1"
	"github.com/crocusspring/crocusspring/api/peer/v1/peerv1connect"
	"github.com/crocusspring/crocusspring/internal/audit"
	"github.com/crocusspring/crocusspring/internal/cell"
	"github.com/crocusspring/crocusspring/internal/cellrun"
	"github.com/crocusspring/crocusspring/internal/claimrun"
	"github.com/crocusspring/crocusspring/internal/config"
	"github.com/crocusspring/crocusspring/internal/configrun"
	"github.com/crocusspring/crocusspring/internal/dispatch"
	"github.com/crocusspring/crocusspring/internal/ingress"
	"github.com/crocusspring/crocusspring/internal/logs"
	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/members"
	"github.com/crocusspring/crocusspring/internal/metrics"
	"github.com/crocusspring/crocusspring/internal/netdial"
	"github.com/crocusspring/crocusspring/internal/operator"
	"github.com/crocusspring/crocusspring/internal/targetapi"
	"github.com/crocusspring/crocusspring/internal/tlsconf"
	"github.com/crocusspring/crocusspring/internal/workerapi"
	"golang.org/x/sync/errgroup"
)

// Role is the kind of a node, and names its binary.
type Role string

// Roles of a node.
const (
	RoleEntry Role = "entry"
	RoleGuard Role = "guard"
)

// Options are the settings of a node.
type Options struct {
	Role       Role
	ID         string
	DataCentre string
	// Peers are the addresses of other nodes, IP with port.
	Peers []string
	// Cells are the cells this node is a candidate for.
	Cells []string
	// Advertise is the address at which others reach this node; empty for the address it listens on.
	Advertise string
	// Entries are the addresses of all entries, the same at every node; empty for the peers and this one.
	Entries []string
	// Share is how many nodes send requests to the same targets.
	Share int
	// ReadyLag is how long a stopping node goes on serving after it reports that it is not ready.
	ReadyLag   time.Duration
	OwnerLease time.Duration
	TaskLease  time.Duration
	// OwnerStretch is the maximum time for which an owner keeps a cell while the log is unavailable, by
	// the promises of the other candidates; 0 disables this.
	OwnerStretch time.Duration
	SyncEvery    time.Duration
	// LogAppends is the log's append budget for all processes together, in appends per second.
	LogAppends int
	// SnapshotAge is the age at which a snapshot of the configuration, a cell or the claims is due to be
	// replaced; at most an eighth of the log's retention time.
	SnapshotAge time.Duration
	// Operators may administer the installation; nil allows anyone.
	Operators *operator.Source `json:"-"`
	// TLS secures the listener and the connections between nodes; nil for plain connections.
	TLS *tlsconf.Reloader `json:"-"`
	// Drain is how long a graceful stop waits for requests in progress.
	Drain time.Duration
	// Machine is what the machine leaves to the process.
	Machine ingress.Machine
}

// Ports are the clients for the external systems of a node.
type Ports struct {
	Log     logsvc.Client
	Workers workerapi.Syncer
	Targets targetapi.Caller
	// Dial opens the connections to other nodes; nil for the plain network.
	Dial netdial.Func
}

// shareAll is the share of the only listener in the machine: the other half is for calls to targets, workers, the log and
// other nodes.
var shareAll = ingress.Share{Name: "node", Sockets: 16, Memory: 12, LargestBody: maxRequestBody}

// Node is one running entry or guard. Use New to make one.
type Node struct {
	opt       Options
	ports     Ports
	lg        *log.Logger
	began     time.Time
	addr      atomic.Value
	seq       atomic.Int64
	lifecycle *lifecycle
	killed    chan struct{}
	metrics   *metrics.Metrics

	commit  *logsvc.Committer
	config  *configrun.Driver
	audit   *audit.Writer
	members *members.Members
	cells   map[string]*cellrun.Driver

	requests  *dispatch.Dispatcher
	claims    *claimrun.KeyRunner
	admission admission
	// jobClient calls the owners of cells.
	jobClient *http.Client
}

// New returns a node that Serve starts.
func New(opt Options, ports Ports, lg *log.Logger) *Node {
	if opt.TLS != nil {
		ports.Dial = opt.TLS.Dial(ports.Dial)
	}
	n := &Node{
		opt: opt, ports: ports, lg: logs.Part(lg, string(opt.Role)), began: time.Now(),
		lifecycle: newLifecycle(), killed: make(chan struct{}), metrics: metrics.New(), cells: map[string]*cellrun.Driver{},
		jobClient: jobClients(ports.Dial),
	}
	n.commit = logsvc.NewCommitter(ports.Log, logsvc.DefaultCommitOptions())
	n.ports.Log, ports.Log = n.commit, n.commit
	n.audit = audit.NewWriter(ports.Log, opt.ID, logs.Part(lg, "audit"))
	n.config = configrun.New(ports.Log, configrun.Options{
		Self: opt.ID, SnapshotAge: opt.SnapshotAge, Rank: n.rank,
		Follows: n.followsLog, PollInterval: pollInterval(opt.Role),
		OnChange: func(c config.Change) { n.audit.Add(audit.FromChange(c)) },
	}, logs.Part(lg, "config"))
	n.members = members.New(n, opt.Peers, logs.Part(lg, "peer"), ports.Dial)
	n.members.SetConfigRelay(configRelay{n.config})
	for _, c := range opt.Cells {
		n.cells[c] = n.newCell(c, lg)
	}
	return n
}

// newCell returns the driver of a cell for which this node is a candidate.
func (n *Node) newCell(name string, lg *log.Logger) *cellrun.Driver {
	o := cell.Options{
		Cell:              name,
		Self:              fmt.Sprintf("%s@%d", n.opt.ID, n.began.UnixNano()),
		OwnerLease:        n.opt.OwnerLease,
		TaskLease:         n.opt.TaskLease,
		SyncEvery:         n.opt.SyncEvery,
		MaxFailures:       maxFailures,
		TakeDelay:         takeDelay(n.opt, name),
		MaxLeaseExtension: n.opt.OwnerStretch,
		SnapshotAge:       n.opt.SnapshotAge,
	}
	d := cellrun.New(o, n.ports.Log, n.ports.Workers, n.members, logs.Part(lg, "cell "+name))
	d.OnDecision(n.auditDecision)
	d.Peers = n
	return d
}

// remoteTakeDelay is the minimum takeover delay of a candidate outside a cell's data centre.
const remoteTakeDelay = 500 * time.Millisecond

// takeDelay returns how long a node waits before it takes over a cell. Candidates in the cell's data
// centre don't wait. The others wait for a time that depends on a hash of node and cell, so that their
// order differs from cell to cell.
func takeDelay(opt Options, cellName string) time.Duration {
	if opt.DataCentre == cellName {
		return 0
	}
	return remoteTakeDelay + time.Duration(xxhash.Sum64String(opt.ID+cellName)%uint64(remoteTakeDelay))
}

const (
	// headerTimeout bounds how long a client may take to send a request's headers. It runs from the start
	// of a connection, so clients must close a connection that they opened and never used before it ends.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a connection without a request stays open after its last response.
	idleTimeout = time.Minute
)

// maxFailures is the number of failures after which a task fails permanently.
const maxFailures = 3

// Process implements members.Self.
func (n *Node) Process() *peerv1.Process {
	addr, _ := n.addr.Load().(string)
	return &peerv1.Process{
		Id: n.opt.ID, Role: string(n.opt.Role), DataCentre: n.opt.DataCentre, Address: addr,
		ConfigOffset: int64(n.config.Offset()), Incarnation: n.began.UnixNano(), Seq: n.seq.Add(1),
		Ready: n.Ready(), Cells: n.owned(), LogOk: n.config.LogOK(),
	}
}

// owned returns the cells that this node owns now, in no particular order.
func (n *Node) owned() []string {
	var out []string
	for name, d := range n.cells {
		d.View(func(c *cell.Core) {
			if _, ok := c.Owner(time.Now()); ok {
				out = append(out, name)
			}
		})
	}
	return out
}

// Ready reports whether the node may receive requests. The first call after the node has caught up moves
// its lifecycle state to ready.
func (n *Node) Ready() bool {
	if n.config.Ready() && n.requests.Ready() {
		n.lifecycle.fire(eventCaughtUp)
	}
	return n.lifecycle.State() == stateReady
}

// Handler returns all HTTP interfaces of the node.
func (n *Node) Handler() http.Handler {
	mux := http.NewServeMux()
	path, peers := peerv1connect.NewPeerServiceHandler(n.members)
	mux.Handle(path, n.verifiedPeers(peers))
	path, jobs := peerv1connect.NewJobServiceHandler(jobService{n})
	mux.Handle(path, n.verifiedPeers(jobs))
	path, cells := peerv1connect.NewCellServiceHandler(cellService{n})
	mux.Handle(path, n.verifiedPeers(cells))
	mux.Handle("GET /metrics", n.metrics.Handler())
	mux.HandleFunc("GET /debug/explain", n.explain)
	n.routes(mux)
	return instrument(n.metrics, mux)
}

// Serve runs the node on a listener until ctx ends, then stops it gracefully. It also returns after Kill
// and when a component fails.
func (n *Node) Serve(ctx context.Context, l net.Listener) error {
	n.newRequests(l.Addr())
	gate := n.opt.Machine.Gate(shareAll, n.metrics, logs.Part(n.lg, "ingress"))
	l = gate.Listen(l)
	if n.opt.TLS != nil {
		l = tls.NewListener(l, n.opt.TLS.Server())
	}
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, run := errgroup.WithContext(run)
	srv := gate.Server(n.Handler())
	srv.ReadHeaderTimeout, srv.IdleTimeout = headerTimeout, idleTimeout
	g.Go(func() error { n.config.Run(run); return nil })
	g.Go(func() error { n.audit.Run(run); return nil })
	g.Go(func() error { n.members.Run(run); return nil })
	g.Go(func() error { n.runRequests(run); return nil })
	g.Go(func() error { n.runGauges(run); return nil })
	g.Go(func() error { return n.runLogShare(run) })
	g.Go(func() error { return n.runPolicies(run) })
	for _, d := range n.cells {
		g.Go(func() error { return d.Run(run) })
	}
	g.Go(func() error {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve: %w", err)
		}
		return nil
	})
	g.Go(func() error {
		select {
		case <-ctx.Done():
			n.shutdown(srv)
		case <-n.killed:
			_ = srv.Close()
		case <-run.Done():
		}
		stop()
		return nil
	})
	n.lg.Info("Node is up.", "id", n.opt.ID, "addr", l.Addr())
	err := errors.Join(g.Wait(), n.metrics.Close())
	n.lg.Info("Node is down.", "id", n.opt.ID)
	return err
}

// shutdown releases the node's cells and waits until the requests in progress have ended, at most for
// Options.Drain.
func (n *Node) shutdown(srv *http.Server) {
	n.lifecycle.fire(eventStop)
	n.lg.Info("Node is leaving.")
	for _, d := range n.cells {
		d.View((*cell.Core).Leave)
	}
	ctx, cancel := context.WithTimeout(context.Background(), n.opt.Drain)
	defer cancel()
	n.waitReadyLag(ctx)
	n.waitReleased(ctx)
	if err := srv.Shutdown(ctx); err != nil {
		n.lg.Error("Requests were cut off.", "err", err)
		n.lifecycle.fire(eventDrainTimeout)
	}
	n.requests.Drain(ctx)
	n.claims.Drain(ctx)
	n.lifecycle.fire(eventDrained)
}

// waitReleased waits until this node owns no cell or ctx ends.
func (n *Node) waitReleased(ctx context.Context) {
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for len(n.owned()) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
