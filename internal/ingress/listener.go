package ingress

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/crocusspring/crocusspring/internal/event"
)

// ErrNoRoom means that there is no memory for the rest of a request. The request was not handled.
var ErrNoRoom = errors.New("too many requests are held at once")

// Limits bound what the clients of one listener take of the process.
type Limits struct {
	// Connections is the number of connections.
	Connections int
	// Memory is what their requests are counted with, in bytes.
	Memory int64
	// Body is the time in which a client must have sent the body of a request, Answer that in which it must have read
	// what is written to it at once.
	Body, Answer time.Duration
}

// Gate bounds the connections and the requests of one listener. Use New to make one.
type Gate struct {
	limits Limits
	log    *log.Logger
	name   string

	closed, refused     tally.Counter
	connections, memory tally.Gauge

	mu    sync.Mutex
	table *table
	conns map[*entry]*conn
	// reported is the time of the latest log line, turnedAway what has happened since.
	reported   time.Time
	turnedAway struct{ closed, refused int }
}

// New returns a gate; name is that of its listener in metrics and log lines.
func New(name string, l Limits, scope tally.Scope, lg *log.Logger) *Gate {
	s := scope.Tagged(map[string]string{"listener": name}).SubScope("ingress")
	return &Gate{
		limits: l, log: lg, name: name, table: newTable(l.Connections, l.Memory), conns: map[*entry]*conn{},
		closed: s.Counter("closed"), refused: s.Counter("refused"),
		connections: s.Gauge("connections"), memory: s.Gauge("memory_bytes"),
	}
}

// Listen returns a listener whose connections are bounded.
func (g *Gate) Listen(l net.Listener) net.Listener { return &listener{l, g} }

// listener wraps the connections that it accepts.
type listener struct {
	net.Listener
	gate *Gate
}

// Accept implements net.Listener. A connection for which there is no room is closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.gate.open(raw); c != nil {
			return c, nil
		}
		_ = raw.Close()
	}
}

// open adds a connection; it returns nil if there is no room for it.
func (g *Gate) open(raw net.Conn) *conn {
	var c *conn
	g.change(func(now time.Time) (closed []*entry, ok bool) {
		e, closed := g.table.open(now)
		if e == nil {
			return closed, false
		}
		c = &conn{Conn: raw, gate: g, entry: e}
		g.conns[e] = c
		return closed, true
	})
	return c
}

// change changes the table, and closes the connections that the change returns. A change that isn't ok counts as a refusal.
func (g *Gate) change(do func(now time.Time) (closed []*entry, ok bool)) {
	now := time.Now()
	g.mu.Lock()
	entries, ok := do(now)
	victims := make([]*conn, 0, len(entries))
	for _, e := range entries {
		victims = append(victims, g.conns[e])
		delete(g.conns, e)
	}
	g.connections.Update(float64(len(g.table.entries)))
	g.memory.Update(float64(g.table.memory))
	g.count(len(victims), ok, now)
	g.mu.Unlock()
	for _, c := range victims {
		_ = c.Conn.Close()
	}
}

// reportInterval is the least time between two log lines of a gate.
const reportInterval = time.Second

// count counts closed connections and a refusal, and logs them together with those before. The caller holds the lock.
func (g *Gate) count(closed int, ok bool, now time.Time) {
	t := &g.turnedAway
	t.closed += closed
	g.closed.Inc(int64(closed))
	if !ok {
		t.refused++
		g.refused.Inc(1)
	}
	if t.closed+t.refused == 0 || now.Sub(g.reported) < reportInterval {
		return
	}
	g.log.Warn(event.ClientsTurnedAway, "listener", g.name, "closed", t.closed, "refused", t.refused,
		"connections", len(g.table.entries), "memory_bytes", g.table.memory)
	g.reported, t.closed, t.refused = now, 0, 0
}

// conn is a connection that counts what its client sends.
type conn struct {
	net.Conn
	gate  *Gate
	entry *entry
	// late says that the server may have timed out while it read ahead, so that further requests would be cancelled.
	late atomic.Bool
	// cut says that received bytes were dropped for want of room, so that what follows has no known place in a request.
	cut atomic.Bool
}

// Read implements net.Conn. Without room for what it has read it fails with ErrNoRoom.
func (c *conn) Read(p []byte) (int, error) {
	if c.cut.Load() {
		return 0, c.noRoom()
	}
	n, err := c.Conn.Read(p)
	if n <= 0 {
		return n, err
	}
	received := true
	c.gate.change(func(now time.Time) (closed []*entry, ok bool) {
		closed, received = c.gate.table.receive(c.entry, int64(n), now)
		// A connection that was closed for others has been counted.
		return closed, received || c.entry.gone
	})
	if !received {
		c.cut.Store(true)
		return 0, c.noRoom()
	}
	return n, err
}

// noRoom returns the error of a read without room. The server takes an error of this type for one of the network, and doesn't
// answer it while it reads headers.
func (c *conn) noRoom() error {
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: ErrNoRoom}
}

// Write implements net.Conn. The client must read what is written in time, unless a handler has taken the connection over.
func (c *conn) Write(p []byte) (int, error) {
	var detachedConn bool
	c.update(func(t *table, now time.Time) {
		detachedConn = c.entry.phase == detached
		t.block(c.entry, true, now)
	})
	defer c.update(func(t *table, now time.Time) { t.block(c.entry, false, now) })
	if !detachedConn {
		if err := c.SetWriteDeadline(time.Now().Add(c.gate.limits.Answer)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.update(func(t *table, _ time.Time) {
		t.remove(c.entry)
		delete(c.gate.conns, c.entry)
	})
	return c.Conn.Close()
}

// CloseWrite ends the stream to the client, so that it can read the answer before the connection is closed.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// EndMessage gives back what the messages received so far were counted with, for a handler that has taken the connection over
// and has handled them.
func (c *conn) EndMessage() {
	c.update(func(t *table, _ time.Time) { t.release(c.entry) })
}

// enter begins a phase of the connection.
func (c *conn) enter(p phase) {
	c.update(func(t *table, now time.Time) { t.enter(c.entry, p, now) })
}

// update makes a change of the table that closes no connection.
func (c *conn) update(do func(t *table, now time.Time)) {
	c.gate.change(func(now time.Time) ([]*entry, bool) {
		do(c.gate.table, now)
		return nil, true
	})
}
