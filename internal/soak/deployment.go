package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/crocusspring/crocusspring/internal/pause"
	"github.com/crocusspring/crocusspring/internal/resource"
	"github.com/crocusspring/crocusspring/internal/standin/execstand"
	"github.com/crocusspring/crocusspring/internal/store"
	"github.com/crocusspring/crocusspring/internal/store/memstore"
	"github.com/crocusspring/crocusspring/platform/standin"
)

const (
	// maxLease is the longest lease that executors grant, the same as on the platform.
	maxLease = 6 * time.Second
	// runDuration is how long a run takes.
	runDuration = 150 * time.Millisecond
	// heartbeatInterval is the time between two heartbeats of an executor.
	heartbeatInterval = 400 * time.Millisecond
	// internalPort is the port for traffic between processes. All use the same one, since each process has
	// its own IP address.
	internalPort = 7720
)

// capacity is the resources of each executor at its start.
var capacity = resource.Vector{MilliCPU: 4000, MemoryMB: 4000}

// host is one machine: a process and the proxies on its network paths.
type host struct {
	*process
	addr string // where clients reach an entry and heartbeats reach a guard
	// storeProxy is on the path from the process to the store, callProxy on the path from a guard to its
	// executor or from clients to an entry, heartbeatProxy on the path of heartbeats to a guard.
	storeProxy, callProxy, heartbeatProxy *proxy
	worker                                *worker
	// restartMu is held while the process is stopped and started again, and while it is paused.
	restartMu sync.Mutex
}

// deployment is everything that a soak test runs. Use deploy to create one.
type deployment struct {
	store         *memstore.Store
	checker       *checker
	client        *standin.Client
	entries       []*host
	guards        []*host
	configVersion int64
	cleanups      []func()
	heartbeating  sync.WaitGroup
}

// hosts returns all machines.
func (d *deployment) hosts() []*host {
	return append(append([]*host(nil), d.entries...), d.guards...)
}

// deploy starts a deployment; its files are in o.Dir. After an error the deployment, unless it is nil, must
// still be closed.
func deploy(ctx context.Context, o Options) (*deployment, error) {
	d := &deployment{store: memstore.New(), checker: newChecker(), client: standin.NewClient()}
	if err := d.writeConfig(ctx); err != nil {
		return nil, err
	}
	storeAddr, err := d.serve(standin.Store(d.store))
	if err != nil {
		return nil, err
	}
	for i := range o.Guards {
		if err := d.addGuard(ctx, o, i, storeAddr); err != nil {
			return d, err
		}
	}
	for i := range o.Entries {
		if err := d.addEntry(o, i, storeAddr); err != nil {
			return d, err
		}
	}
	for _, h := range d.hosts() {
		if err := h.start(); err != nil {
			return d, err
		}
	}
	return d, nil
}

// writeConfig appends the next version of the configuration to the store.
func (d *deployment) writeConfig(ctx context.Context) error {
	d.configVersion++
	topic, r, err := standin.Configuration(d.configVersion)
	if err != nil {
		return err
	}
	_, err = d.store.Append(ctx, topic, store.AnyOffset, []store.Record{r})
	return err
}

// writeDrain stores or deletes the request to drain a data centre. Like an operator, it retries while the store is
// unavailable.
func (d *deployment) writeDrain(ctx context.Context, dataCentre string, drained bool) {
	topic, r := standin.Drain(dataCentre, drained)
	for {
		if _, err := d.store.Append(ctx, topic, store.AnyOffset, []store.Record{r}); err == nil || !pause.For(ctx, retryInterval) {
			return
		}
	}
}

// serve serves a handler on loopback until the deployment is closed and returns its address.
func (d *deployment) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(l) }() // always returns an error after Close
	d.cleanups = append(d.cleanups, func() { _ = srv.Close() })
	return l.Addr().String(), nil
}

// addProxy returns a proxy that is closed with the deployment.
func (d *deployment) addProxy(target string) (*proxy, error) {
	p, err := newProxy(target)
	if err == nil {
		d.cleanups = append(d.cleanups, p.close)
	}
	return p, err
}

// loopbackAddress returns a loopback address that contains bits of the process id, so that soak tests which
// run at the same time don't share addresses.
func loopbackAddress(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&0x3f, pid&0xff, 1+i)
}

// newHost returns a machine whose process isn't started yet.
func (d *deployment) newHost(o Options, role, name string, storeAddr string) (*host, error) {
	storeProxy, err := d.addProxy(storeAddr)
	if err != nil {
		return nil, err
	}
	return &host{storeProxy: storeProxy, process: &process{
		role: role, name: name, dir: o.Dir, program: o.Program, violation: d.checker.violation,
		settings: filepath.Join(o.Dir, name+".toml"),
	}}, nil
}

// addEntry adds a machine that runs an entry.
func (d *deployment) addEntry(o Options, i int, storeAddr string) error {
	h, err := d.newHost(o, RoleEntry, fmt.Sprintf("entry-%d", i), storeAddr)
	if err != nil {
		return err
	}
	ip := loopbackAddress(o.Guards + i)
	n := standin.Node{
		Name: h.name, IP: ip, Port: internalPort, Store: h.storeProxy.addr(), MaxLease: maxLease,
		Front: net.JoinHostPort(ip, "8161"), Ready: net.JoinHostPort(ip, "8167"),
	}
	if h.callProxy, err = d.addProxy(n.Front); err != nil {
		return err
	}
	h.addr = h.callProxy.addr()
	d.entries = append(d.entries, h)
	return n.WriteSettings(h.settings)
}

// addGuard adds a machine that runs an executor and its guard.
func (d *deployment) addGuard(ctx context.Context, o Options, i int, storeAddr string) error {
	h, err := d.newHost(o, RoleGuard, fmt.Sprintf("guard-%d", i), storeAddr)
	if err != nil {
		return err
	}
	incarnation := fmt.Sprintf("%s-life-1", h.name)
	h.worker = &worker{Executor: execstand.New(incarnation, runDuration), name: h.name, checker: d.checker, incarnation: incarnation}
	h.worker.resize(capacity)
	h.worker.Observe(d.checker.runEnded)
	d.checker.workers = append(d.checker.workers, h.worker)
	executorAddr, err := d.serve(standin.Executor(h.worker))
	if err != nil {
		return err
	}
	if h.callProxy, err = d.addProxy(executorAddr); err != nil {
		return err
	}
	ip := loopbackAddress(i)
	n := standin.Node{
		Name: h.name, IP: ip, Port: internalPort, Store: h.storeProxy.addr(), MaxLease: maxLease,
		Control: net.JoinHostPort(ip, "8166"), Executor: h.callProxy.addr(),
	}
	if h.heartbeatProxy, err = d.addProxy(n.Control); err != nil {
		return err
	}
	h.addr = h.heartbeatProxy.addr()
	d.guards = append(d.guards, h)
	d.heartbeating.Go(func() { d.heartbeats(ctx, h) })
	return n.WriteSettings(h.settings)
}

// heartbeats sends the heartbeats of an executor until the context ends. Errors are ignored, since the next
// heartbeat follows after heartbeatInterval.
func (d *deployment) heartbeats(ctx context.Context, h *host) {
	for ctx.Err() == nil {
		if incarnation, up := h.worker.currentIncarnation(); up {
			call, cancel := context.WithTimeout(ctx, heartbeatInterval)
			_ = d.client.Heartbeat(call, h.addr, h.worker.name, incarnation, h.worker.capacity())
			cancel()
		}
		select {
		case <-time.After(heartbeatInterval):
		case <-ctx.Done():
		}
	}
}

// close stops everything that the deployment started.
func (d *deployment) close() {
	var all sync.WaitGroup
	for _, h := range d.hosts() {
		if h.starts > 0 {
			all.Go(h.stop)
		}
	}
	all.Wait()
	d.heartbeating.Wait()
	for _, stop := range d.cleanups {
		stop()
	}
}
