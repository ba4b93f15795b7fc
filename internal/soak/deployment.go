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

	"github.com/crocusspring/crocusspring/internal/resource"
	"github.com/crocusspring/crocusspring/internal/standin/execstand"
	"github.com/crocusspring/crocusspring/internal/store"
	"github.com/crocusspring/crocusspring/internal/store/memstore"
	"github.com/crocusspring/crocusspring/platform/standin"
)

const (
	// maxHold is the longest lease that executors grant, as on the platform.
	maxHold = 6 * time.Second
	// workTime is how long a run takes.
	workTime = 150 * time.Millisecond
	// heartbeatEvery is the time between two announcements of an executor.
	heartbeatEvery = 400 * time.Millisecond
	// innerPort is for traffic between processes; each has an address of its own.
	innerPort = 7720
)

// capacity is what an executor has.
var capacity = resource.Vector{MilliCPU: 4000, MemoryMB: 4000}

// host is one machine: a process with the proxies on its ways.
type host struct {
	*proc
	addr string // of the process, for clients or for heartbeats
	// store is its way to the store, near the one to its executor or from its clients, announce that of
	// heartbeats.
	store, near, announce *proxy
	worker                *worker
	// restarting is held while the process is ended and started again.
	restarting sync.Mutex
}

// deployment is everything a soak runs. Use deploy to make one.
type deployment struct {
	store   *memstore.Store
	judge   *judge
	client  *standin.Client
	entries []*host
	guards  []*host
	version int64
	stops   []func()
	beats   sync.WaitGroup
}

// hosts returns all machines.
func (d *deployment) hosts() []*host {
	return append(append([]*host(nil), d.entries...), d.guards...)
}

// deploy starts a deployment whose files are in a directory.
func deploy(ctx context.Context, o Options) (*deployment, error) {
	d := &deployment{store: memstore.New(), judge: newJudge(), client: standin.NewClient()}
	if err := d.configure(ctx); err != nil {
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

// configure writes the next version of the configuration.
func (d *deployment) configure(ctx context.Context) error {
	d.version++
	topic, r, err := standin.Configuration(d.version)
	if err != nil {
		return err
	}
	_, err = d.store.Append(ctx, topic, store.AnyOffset, []store.Record{r})
	return err
}

// serve serves a handler on loopback until the deployment is closed.
func (d *deployment) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(l) }() // ends with an error at Close, always
	d.stops = append(d.stops, func() { _ = srv.Close() })
	return l.Addr().String(), nil
}

// proxied returns a proxy that is closed with the deployment.
func (d *deployment) proxied(target string) (*proxy, error) {
	p, err := newProxy(target)
	if err == nil {
		d.stops = append(d.stops, p.close)
	}
	return p, err
}

// address returns an address of the loopback network that no other soak uses: the process id is in it.
func address(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&0x3f, pid&0xff, 1+i)
}

// host returns a machine whose process isn't started yet.
func (d *deployment) host(o Options, role, name string, storeAddr string) (*host, error) {
	way, err := d.proxied(storeAddr)
	if err != nil {
		return nil, err
	}
	return &host{store: way, proc: &proc{
		role: role, name: name, dir: o.Dir, program: o.Program, breaks: d.judge.breaks,
		settings: filepath.Join(o.Dir, name+".toml"),
	}}, nil
}

// addEntry adds a machine with an entry.
func (d *deployment) addEntry(o Options, i int, storeAddr string) error {
	h, err := d.host(o, RoleEntry, fmt.Sprintf("entry-%d", i), storeAddr)
	if err != nil {
		return err
	}
	ip := address(o.Guards + i)
	n := standin.Node{
		Name: h.name, IP: ip, Port: innerPort, Store: h.store.addr(), MaxLease: maxHold,
		Front: net.JoinHostPort(ip, "8161"), Ready: net.JoinHostPort(ip, "8167"),
	}
	if h.near, err = d.proxied(n.Front); err != nil {
		return err
	}
	h.addr = h.near.addr()
	d.entries = append(d.entries, h)
	return n.WriteSettings(h.settings)
}

// addGuard adds a machine with an executor and its guard.
func (d *deployment) addGuard(ctx context.Context, o Options, i int, storeAddr string) error {
	h, err := d.host(o, RoleGuard, fmt.Sprintf("guard-%d", i), storeAddr)
	if err != nil {
		return err
	}
	life := fmt.Sprintf("%s-life-1", h.name)
	h.worker = &worker{Executor: execstand.New(life, workTime), name: h.name, capacity: capacity, judge: d.judge, life: life}
	h.worker.Observe(d.judge.ended)
	d.judge.workers = append(d.judge.workers, h.worker)
	at, err := d.serve(standin.Executor(h.worker))
	if err != nil {
		return err
	}
	if h.near, err = d.proxied(at); err != nil {
		return err
	}
	ip := address(i)
	n := standin.Node{
		Name: h.name, IP: ip, Port: innerPort, Store: h.store.addr(), MaxLease: maxHold,
		Control: net.JoinHostPort(ip, "8166"), Executor: h.near.addr(),
	}
	if h.announce, err = d.proxied(n.Control); err != nil {
		return err
	}
	h.addr = h.announce.addr()
	d.guards = append(d.guards, h)
	d.beats.Go(func() { d.heartbeats(ctx, h) })
	return n.WriteSettings(h.settings)
}

// heartbeats announces an executor until the context ends. One that isn't answered is sent again.
func (d *deployment) heartbeats(ctx context.Context, h *host) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, heartbeatEvery)
		_ = d.client.Heartbeat(call, h.addr, h.worker.currentLife(), capacity)
		cancel()
		select {
		case <-time.After(heartbeatEvery):
		case <-ctx.Done():
		}
	}
}

// close ends everything that the deployment started.
func (d *deployment) close() {
	var all sync.WaitGroup
	for _, h := range d.hosts() {
		if h.starts > 0 {
			all.Go(h.stop)
		}
	}
	all.Wait()
	d.beats.Wait()
	for _, stop := range d.stops {
		stop()
	}
}
