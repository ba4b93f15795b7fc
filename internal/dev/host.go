package dev

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// errKilled is returned by every connection of a host that was killed.
var errKilled = errors.New("host was killed")

// host simulates the machine of one process: everything the process sends and receives passes through
// it, so that latency can be added and the process can be paused or killed.
type host struct {
	// latency returns the one-way latency to an address.
	latency func(addr string) time.Duration

	mu       sync.Mutex
	killed   bool
	resumed  chan struct{} // closed while the host runs
	dialled  map[*link]struct{}
	accepted map[*acceptedConn]struct{}
}

// newHost returns a running host.
func newHost(latency func(addr string) time.Duration) *host {
	open := make(chan struct{})
	close(open)
	return &host{latency: latency, resumed: open, dialled: map[*link]struct{}{}, accepted: map[*acceptedConn]struct{}{}}
}

// wait returns once the host runs, or errKilled.
func (h *host) wait() error {
	for {
		h.mu.Lock()
		resumed, killed := h.resumed, h.killed
		h.mu.Unlock()
		if killed {
			return errKilled
		}
		select {
		case <-resumed:
			return nil
		default:
		}
		<-resumed
	}
}

// pause stops everything the host sends and receives until resume.
func (h *host) pause() {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.resumed:
		h.resumed = make(chan struct{})
	default:
	}
}

// resume ends a pause.
func (h *host) resume() {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.resumed:
	default:
		close(h.resumed)
	}
}

// kill closes every connection, drops the data in transit and refuses new connections.
func (h *host) kill() {
	h.mu.Lock()
	h.killed = true
	dialled, accepted := h.dialled, h.accepted
	h.dialled, h.accepted = map[*link]struct{}{}, map[*acceptedConn]struct{}{}
	h.mu.Unlock()
	h.resume()
	for l := range dialled {
		l.abort()
	}
	for c := range accepted {
		_ = c.Conn.Close()
	}
}

// blackhole makes every dialled connection to an address discard all data from now on and returns how many it changed.
func (h *host) blackhole(addr string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for l := range h.dialled {
		if l.addr == addr && l.blackhole() {
			n++
		}
	}
	return n
}

// remove stops tracking a closed link.
func (h *host) remove(l *link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.dialled, l)
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
	// Setting up a connection takes one round trip.
	select {
	case <-time.After(2 * delay):
	case <-ctx.Done():
		_ = c.Close()
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	}
	l := newLink(c, h, addr, delay)
	h.mu.Lock()
	killed := h.killed
	if !killed {
		h.dialled[l] = struct{}{}
	}
	h.mu.Unlock()
	if killed {
		l.abort()
		return nil, &net.OpError{Op: "dial", Net: network, Err: errKilled}
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

// listener wraps the connections it accepts.
type listener struct {
	net.Listener
	h *host
}

// Accept waits for a connection; at a killed host it closes the connection at once.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s := &acceptedConn{Conn: c, h: l.h}
	l.h.mu.Lock()
	defer l.h.mu.Unlock()
	if l.h.killed {
		_ = c.Close()
		return s, nil
	}
	l.h.accepted[s] = struct{}{}
	return s, nil
}

// acceptedConn is a connection that the host accepted.
type acceptedConn struct {
	net.Conn
	h *host
}

// Read returns received data once the host runs.
func (s *acceptedConn) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if killErr := s.h.wait(); killErr != nil {
		return 0, killErr
	}
	return n, err
}

// Write sends data once the host runs.
func (s *acceptedConn) Write(p []byte) (int, error) {
	if err := s.h.wait(); err != nil {
		return 0, err
	}
	return s.Conn.Write(p)
}

// Close closes the connection and stops tracking it.
func (s *acceptedConn) Close() error {
	s.h.mu.Lock()
	delete(s.h.accepted, s)
	s.h.mu.Unlock()
	return s.Conn.Close()
}
