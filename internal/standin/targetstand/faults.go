package targetstand

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Faults say how the stand-in misbehaves; the zero value is a healthy target.
type Faults struct {
	// Slow is added to the work of every request.
	Slow time.Duration
	// Fail runs every request and answers status 500.
	Fail bool
	// Truncate runs every request, promises the whole answer and closes the connection half way.
	Truncate bool
	// LoseAnswer runs every request and closes the connection without an answer.
	LoseAnswer bool
}

// Watcher is an Observer that also sees faults and limits.
type Watcher interface {
	Observer
	// Refused says that an attempt was refused and did not run.
	Refused(target, request, attempt, reason string, at time.Time)
	// Crashed says that the target stopped at once; what it ran is over.
	Crashed(target string, at time.Time)
	// Connected gives the number of open connections after one was opened.
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

// Crash ends the target at once: what it runs stops, every connection is closed and new ones are
// closed as soon as they are accepted. It returns the number of requests that were cut.
func (t *Target) Crash() int {
	t.mu.Lock()
	cut := t.active
	if !t.crashed {
		t.crashed = true
		close(t.down)
	}
	t.mu.Unlock()
	t.conns.closeAll()
	if w, ok := t.seen.(Watcher); ok {
		w.Crashed(t.announce.Name, time.Now())
	}
	return cut
}

// Restart makes a crashed target serve again with nothing in progress and no memory of attempts.
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
	t.order = nil
}

// Silence makes every open connection silent for good: it takes what is written to it and answers
// nothing. Connections opened later work. It returns how many became silent.
func (t *Target) Silence() int { return t.conns.silence() }

// Listen wraps the listener the target is served on; Crash and Silence need it.
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
		if w, ok := l.t.seen.(Watcher); ok {
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

// remove forgets a closed connection.
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

// silence makes every connection silent and returns how many there were.
func (s *connSet) silence() int {
	all := s.all()
	for _, c := range all {
		c.silent.Store(true)
	}
	return len(all)
}

// conn is a connection that can be made silent.
type conn struct {
	net.Conn
	set    *connSet
	silent atomic.Bool
	once   sync.Once
}

// Read discards what arrives once the connection is silent.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write pretends to send once the connection is silent.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection and forgets it.
func (c *conn) Close() error {
	c.once.Do(func() { c.set.remove(c) })
	return c.Conn.Close()
}

// spoil answers in the way a fault asks for and reports whether it did.
func (f Faults) spoil(w http.ResponseWriter, body []byte) bool {
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

// truncate promises the whole body, sends half of it and cuts the connection.
func truncate(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Length", itoa(len(body)))
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
