package soak

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// forwarding says what a proxy does with the bytes of one direction.
type forwarding int

// What a proxy does with the bytes of one direction.
const (
	passed forwarding = iota
	delayed
	discarded
)

// netCondition is the network condition that a proxy simulates: what it does with bytes to the target and back
// from it. delay is how long delayed bytes are held.
type netCondition struct {
	toTarget, fromTarget forwarding
	delay                time.Duration
	// closed resets existing connections and closes new ones.
	closed bool
}

// proxy is a TCP proxy on loopback between two processes. Use newProxy to create one.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cond  netCondition
	conns map[*net.TCPConn]bool
	done  sync.WaitGroup
}

// newProxy starts a proxy that listens on loopback and forwards to a target.
func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	p := &proxy{listener: l, target: target, conns: map[*net.TCPConn]bool{}}
	p.done.Go(p.accept)
	return p, nil
}

// addr returns the address on which the proxy listens.
func (p *proxy) addr() string { return p.listener.Addr().String() }

// set changes the network condition. A closed one resets the existing connections.
func (p *proxy) set(c netCondition) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cond = c
	if c.closed {
		p.reset()
	}
}

// reset resets all connections. The caller holds the lock.
func (p *proxy) reset() {
	for c := range p.conns {
		abort(c)
	}
}

// abort closes a connection with a TCP reset. It may be closed already.
func abort(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// condition returns the present network condition.
func (p *proxy) condition() netCondition {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cond
}

// close closes the proxy and resets its connections.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	p.reset()
	p.mu.Unlock()
	p.done.Wait()
}

// accept accepts connections until the proxy is closed.
func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		in, ok := c.(*net.TCPConn)
		if !ok || p.condition().closed {
			_ = c.Close()
			continue
		}
		p.done.Go(func() { p.relay(in) })
	}
}

// relay dials the target and forwards bytes between it and a connection until both directions have ended.
func (p *proxy) relay(in *net.TCPConn) {
	c, err := net.Dial("tcp", p.target)
	if err != nil {
		abort(in)
		return
	}
	out, ok := c.(*net.TCPConn)
	if !ok || !p.track(in, out) {
		abort(in)
		return
	}
	defer p.release(in, out)
	var both sync.WaitGroup
	both.Go(func() { p.forward(out, in, func(c netCondition) forwarding { return c.toTarget }) })
	both.Go(func() { p.forward(in, out, func(c netCondition) forwarding { return c.fromTarget }) })
	both.Wait()
}

// track registers connections, so that reset finds them; false when the network condition is closed.
func (p *proxy) track(cs ...*net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range cs {
		p.conns[c] = true
	}
	return !p.cond.closed
}

// release resets connections and removes them from the proxy.
func (p *proxy) release(cs ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range cs {
		abort(c)
		delete(p.conns, c)
	}
}

// forward copies one direction until it ends. At the end of the stream it closes the write side of the
// destination, so that the other direction may go on; any other error resets both connections.
func (p *proxy) forward(to, from *net.TCPConn, direction func(netCondition) forwarding) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		cond := p.condition()
		action := direction(cond)
		if action == delayed {
			time.Sleep(cond.delay)
		}
		if n > 0 && action != discarded {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if errors.Is(err, io.EOF) {
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			abort(to)
			abort(from)
			return
		}
	}
}
