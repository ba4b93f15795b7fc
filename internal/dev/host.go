package dev

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// errDead is returned by every connection of a host that was killed.
var errDead = errors.New("host is dead")

// host is where one process runs: everything it sends and receives goes through here, so that it can
// be far away, paused or killed.
type host struct {
	// latency returns the one-way latency to an address.
	latency func(addr string) time.Duration

	mu    sync.Mutex
	dead  bool
	gate  chan struct{} // closed when the host runs
	links map[*link]struct{}
	conns map[*served]struct{}
}

// newHost returns a host that runs.
func newHost(latency func(addr string) time.Duration) *host {
	open := make(chan struct{})
	close(open)
	return &host{latency: latency, gate: open, links: map[*link]struct{}{}, conns: map[*served]struct{}{}}
}

// wait returns when the host runs, or errDead.
func (h *host) wait() error {
	for {
		h.mu.Lock()
		gate, dead := h.gate, h.dead
		h.mu.Unlock()
		if dead {
			return errDead
		}
		select {
		case <-gate:
			return nil
		default:
		}
		<-gate
	}
}

// pause stops everything the host sends and receives until resume.
func (h *host) pause() {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.gate:
		h.gate = make(chan struct{})
	default:
	}
}

// resume ends a pause.
func (h *host) resume() {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.gate:
	default:
		close(h.gate)
	}
}

// kill closes every connection with all that is on its way and allows no new one.
func (h *host) kill() {
	h.mu.Lock()
	h.dead = true
	links, conns := h.links, h.conns
	h.links, h.conns = map[*link]struct{}{}, map[*served]struct{}{}
	h.mu.Unlock()
	h.resume()
	for l := range links {
		l.abort()
	}
	for c := range conns {
		_ = c.Conn.Close()
	}
}

// silence makes every connection to an address silent for good and returns how many there were.
func (h *host) silence(addr string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for l := range h.links {
		if l.addr == addr && l.silence() {
			n++
		}
	}
	return n
}

// forget drops a closed link.
func (h *host) forget(l *link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.links, l)
}

// dial opens a connection from the host. It is a netdial.Func.
func (h *host) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if err := h.wait(); err != nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: err}
	}
	delay := h.latency(addr)
	var d net.Dialer
	c, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	// Setting up a connection takes one way there and one back.
	select {
	case <-time.After(2 * delay):
	case <-ctx.Done():
		_ = c.Close()
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	}
	l := newLink(c, h, addr, delay)
	h.mu.Lock()
	dead := h.dead
	if !dead {
		h.links[l] = struct{}{}
	}
	h.mu.Unlock()
	if dead {
		l.abort()
		return nil, &net.OpError{Op: "dial", Net: network, Err: errDead}
	}
	return l, nil
}

// listen opens a listener of the host.
func (h *host) listen(addr string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return &listener{Listener: l, h: h}, nil
}

// listener wraps what it accepts.
type listener struct {
	net.Listener
	h *host
}

// Accept waits for a connection and for the host to run.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s := &served{Conn: c, h: l.h}
	l.h.mu.Lock()
	defer l.h.mu.Unlock()
	if l.h.dead {
		_ = c.Close()
		return s, nil
	}
	l.h.conns[s] = struct{}{}
	return s, nil
}

// served is a connection that the host accepted.
type served struct {
	net.Conn
	h *host
}

// Read returns what arrived once the host runs.
func (s *served) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if dead := s.h.wait(); dead != nil {
		return 0, dead
	}
	return n, err
}

// Write sends once the host runs.
func (s *served) Write(p []byte) (int, error) {
	if err := s.h.wait(); err != nil {
		return 0, err
	}
	return s.Conn.Write(p)
}

// Close closes the connection and forgets it.
func (s *served) Close() error {
	s.h.mu.Lock()
	delete(s.h.conns, s)
	s.h.mu.Unlock()
	return s.Conn.Close()
}
