package targetapi

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocusspring/crocusspring/internal/netdial"
)

const (
	dialTimeout = 500 * time.Millisecond
	// pingEvery is the time between two pings of an idle connection, pingTimeout its deadline.
	pingEvery   = 500 * time.Millisecond
	pingTimeout = 300 * time.Millisecond
	// connMaxIdle is how long a connection is kept without a request.
	connMaxIdle = 10 * time.Second
	// poolMaxIdle is how long the pool of a target without requests is kept.
	poolMaxIdle = time.Minute
	// maxPing bounds the bytes read from the answer to a ping.
	maxPing = 4 << 10
)

// clientConn is one connection to a target, dialled when it is first used. It has a transport of its own,
// so that a request and a ping can be sent on exactly this connection.
type clientConn struct {
	client  *http.Client
	written atomic.Int64
	used    time.Time
	pinged  time.Time
}

// newClientConn returns a connection that is not dialled yet.
func newClientConn(dial netdial.Func) *clientConn {
	conn := &clientConn{}
	conn.client = &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{
			MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, DisableCompression: true,
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				c, err := dial(ctx, network, addr)
				if err != nil {
					return nil, err
				}
				return &countedConn{Conn: c, written: &conn.written}, nil
			},
		},
	}
	return conn
}

// close closes the connection.
func (conn *clientConn) close() { conn.client.CloseIdleConnections() }

// countedConn counts the bytes handed to the network, so that a request is known not to have been sent
// when there were none.
type countedConn struct {
	net.Conn
	written *atomic.Int64
}

// Write counts before it writes: a failed write may still have sent a part.
func (c *countedConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// pool holds the connections to one target. A connection serves one request at a time.
type pool struct {
	addr string
	dial netdial.Func
	// free holds one item for each connection that may still be used or opened.
	free  chan struct{}
	probe chan struct{}
	clock clock
	used  time.Time

	mu   sync.Mutex
	idle []*clientConn
}

// newPool returns a pool of at most conns connections, one of them for probes when there are two.
func newPool(addr string, conns int, dial netdial.Func) *pool {
	p := &pool{addr: addr, dial: dial, free: make(chan struct{}, max(1, conns-1))}
	for range cap(p.free) {
		p.free <- struct{}{}
	}
	p.probe = p.free
	if conns > 1 {
		p.probe = make(chan struct{}, 1)
		p.probe <- struct{}{}
	}
	return p
}

// errNoConnection says that every connection is in use.
var errNoConnection = errors.New("no free connection")

// take returns the most recently used idle connection, or a new one.
func (p *pool) take(ctx context.Context) (*clientConn, error) {
	select {
	case <-p.free:
	case <-ctx.Done():
		return nil, errNoConnection
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idle); n > 0 {
		conn := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return conn, nil
	}
	return newClientConn(p.dial), nil
}

// put returns a connection to the pool. One whose request failed is closed, and the idle ones are pinged,
// since what made one connection unresponsive has likely affected the others.
func (p *pool) put(conn *clientConn, healthy bool) {
	if healthy {
		conn.used = time.Now()
		p.mu.Lock()
		p.idle = append(p.idle, conn)
		p.mu.Unlock()
	} else {
		conn.close()
		go p.pingIdle(context.Background(), time.Now())
	}
	p.free <- struct{}{}
}

// takeProbe returns a new connection for a probe.
func (p *pool) takeProbe(ctx context.Context) (*clientConn, error) {
	select {
	case <-p.probe:
		return newClientConn(p.dial), nil
	case <-ctx.Done():
		return nil, errNoConnection
	}
}

// putProbe closes the connection of a probe.
func (p *pool) putProbe(conn *clientConn) {
	conn.close()
	p.probe <- struct{}{}
}

// pingIdle pings the idle connections that were neither used nor pinged since a time, and closes
// those that don't answer.
func (p *pool) pingIdle(ctx context.Context, since time.Time) {
	var wg sync.WaitGroup
	for conn := p.unchecked(since); conn != nil; conn = p.unchecked(since) {
		wg.Go(func() { p.check(ctx, conn) })
	}
	wg.Wait()
}

// unchecked takes an idle connection that was neither used nor pinged since a time.
func (p *pool) unchecked(since time.Time) *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.IndexFunc(p.idle, func(conn *clientConn) bool { return conn.used.Before(since) && conn.pinged.Before(since) })
	if i < 0 {
		return nil
	}
	select {
	case <-p.free:
	default:
		return nil
	}
	conn := p.idle[i]
	p.idle = slices.Delete(p.idle, i, i+1)
	return conn
}

// check pings one connection and returns it to the pool when it answers in time.
func (p *pool) check(ctx context.Context, conn *clientConn) {
	defer func() { p.free <- struct{}{} }()
	if time.Since(conn.used) > connMaxIdle || !p.ping(ctx, conn) {
		conn.close()
		return
	}
	conn.pinged = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = slices.Insert(p.idle, 0, conn)
}

// ping reports whether the target answers on a connection before the deadline; any status will do.
func (p *pool) ping(ctx context.Context, conn *clientConn) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.addr+"/v1/ping", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := conn.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	p.clock.update(time.Now(), resp.Header.Get(HeaderClock))
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxPing))
	return err == nil
}

// closeIdle closes the idle connections and reports whether no connection is in use.
func (p *pool) closeIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.idle {
		conn.close()
	}
	p.idle = nil
	return len(p.free) == cap(p.free)
}
