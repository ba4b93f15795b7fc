package targetstand

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Faults configure how the stand-in misbehaves; the zero value is a healthy target.
type Faults struct {
	// Delay is added to the time every request takes.
	Delay time.Duration
	// Fail runs every request and answers status 500.
	Fail bool
	// Truncate runs every request, declares the length of the whole answer and closes the connection after half of it.
	Truncate bool
	// LoseAnswer runs every request and closes the connection without an answer.
	LoseAnswer bool
}

// FaultObserver is an Observer that is also notified of refusals, crashes and connections.
type FaultObserver interface {
	Observer
	// Refused reports that an attempt was refused and did not run.
	Refused(target, request, attempt, reason string, at time.Time)
	// Crashed reports that the target stopped at once and its running requests ended.
	Crashed(target string, at time.Time)
	// Connected reports the number of open connections after one was opened.
	Connected(target string, open int, at time.Time)
}

// SetFaults changes how the target misbehaves from now on.
func (t *Target) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Faults returns how the target misbehaves now.
func (t *Target) Faults() Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// Crash stops the target at once: running requests end, every connection is closed and new ones are
// closed as soon as they are accepted. It returns the number of requests that were interrupted.
func (t *Target) Crash() int {
	t.mu.Lock()
	cut := t.active
	if !t.crashed {
		t.crashed = true
		close(t.down)
	}
	t.mu.Unlock()
	t.conns.closeAll()
	if w, ok := t.observer.(FaultObserver); ok {
		w.Crashed(t.announce.Name, time.Now())
	}
	return cut
}

// Restart makes a crashed target serve again with nothing in progress and no stored attempts.
func (t *Target) Restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.crashed {
		return
	}
	t.crashed = false
	t.active = 0
	t.down = make(chan struct{})
	t.attempts = map[string]attemptState{}
	t.attemptOrder = nil
}

// Blackhole makes every open connection permanently unresponsive: it accepts data and answers nothing.
// Connections opened later work. It returns how many connections were open.
func (t *Target) Blackhole() int { return t.conns.blackhole() }

// Listen wraps the listener the target is served on; Crash and Blackhole need it.
func (t *Target) Listen(l net.Listener) net.Listener { return &listener{Listener: l, t: t} }

// listener tracks the connections it accepts.
type listener struct {
	net.Listener
	t *Target
}

// Accept accepts a connection; while the target is crashed it closes them unserved.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.t.isCrashed() {
			_ = c.Close()
			continue
		}
		tracked := &conn{Conn: c, set: &l.t.conns}
		open := l.t.conns.add(tracked)
		if w, ok := l.t.observer.(FaultObserver); ok {
			w.Connected(l.t.announce.Name, open, time.Now())
		}
		return tracked, nil
	}
}

// isCrashed reports whether the target is down.
func (t *Target) isCrashed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.crashed
}

// connSet is the set of open connections. The zero value is empty.
type connSet struct {
	mu    sync.Mutex
	conns map[*conn]struct{}
}

// add adds a connection and returns how many are open.
func (s *connSet) add(c *conn) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = map[*conn]struct{}{}
	}
	s.conns[c] = struct{}{}
	return len(s.conns)
}

// remove drops a closed connection from the set.
func (s *connSet) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// all returns the open connections.
func (s *connSet) all() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		out = append(out, c)
	}
	return out
}

// closeAll closes every connection.
func (s *connSet) closeAll() {
	for _, c := range s.all() {
		_ = c.Close()
	}
}

// blackhole makes every connection unresponsive and returns how many there were.
func (s *connSet) blackhole() int {
	all := s.all()
	for _, c := range all {
		c.blackholed.Store(true)
	}
	return len(all)
}

// conn is a connection that can be made unresponsive.
type conn struct {
	net.Conn
	set        *connSet
	blackholed atomic.Bool
	once       sync.Once
}

// Read discards received data once the connection is blackholed.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.blackholed.Load() {
			return n, err
		}
	}
}

// Write reports success without sending once the connection is blackholed.
func (c *conn) Write(p []byte) (int, error) {
	if c.blackholed.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection and drops it from the set.
func (c *conn) Close() error {
	c.once.Do(func() { c.set.remove(c) })
	return c.Conn.Close()
}

// respond answers as the faults require, if any is set, and reports whether it did.
func (f Faults) respond(w http.ResponseWriter, body []byte) bool {
	switch {
	case f.LoseAnswer:
		panic(http.ErrAbortHandler)
	case f.Truncate:
		truncate(w, body)
	case f.Fail:
		http.Error(w, "target failed", http.StatusInternalServerError)
	default:
		return false
	}
	return true
}

// truncate declares the length of the whole body, sends half of it and aborts the connection.
func truncate(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Length", itoa(len(body)))
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
