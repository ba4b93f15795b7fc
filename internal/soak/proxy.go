package soak

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// way says what a proxy does with the bytes of one direction.
type way int

// Ways of a direction.
const (
	pass way = iota
	delayed
	silent
)

// condition is the state of a proxy.
type condition struct {
	there, back way
	delay       time.Duration
	// closed resets connections, those that come too.
	closed bool
}

// proxy is a hop on loopback between two processes. Use newProxy to make one.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cond  condition
	conns map[*net.TCPConn]bool
	done  sync.WaitGroup
}

// newProxy listens on loopback and forwards to a target.
func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	p := &proxy{listener: l, target: target, conns: map[*net.TCPConn]bool{}}
	p.done.Go(p.accept)
	return p, nil
}

// addr returns where the proxy listens.
func (p *proxy) addr() string { return p.listener.Addr().String() }

// set changes what happens to bytes; connections that are there are reset when it is closed.
func (p *proxy) set(c condition) {
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

// abort closes a connection with a reset. It may be closed already.
func abort(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// condition returns the present state.
func (p *proxy) condition() condition {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cond
}

// close ends the proxy and its connections.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	p.reset()
	p.mu.Unlock()
	p.done.Wait()
}

// accept takes connections until the proxy is closed.
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
		p.done.Go(func() { p.join(in) })
	}
}

// join connects a connection with the target.
func (p *proxy) join(in *net.TCPConn) {
	c, err := net.Dial("tcp", p.target)
	if err != nil {
		abort(in)
		return
	}
	out, ok := c.(*net.TCPConn)
	if !ok || !p.keep(in, out) {
		abort(in)
		return
	}
	defer p.drop(in, out)
	var both sync.WaitGroup
	both.Go(func() { p.forward(out, in, func(c condition) way { return c.there }) })
	both.Go(func() { p.forward(in, out, func(c condition) way { return c.back }) })
	both.Wait()
}

// keep notes two connections; false when the proxy has been closed.
func (p *proxy) keep(cs ...*net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range cs {
		p.conns[c] = true
	}
	return !p.cond.closed
}

// drop closes and forgets connections.
func (p *proxy) drop(cs ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range cs {
		abort(c)
		delete(p.conns, c)
	}
}

// forward copies one direction until it ends, and then ends the other one.
func (p *proxy) forward(to, from *net.TCPConn, which func(condition) way) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		cond := p.condition()
		w := which(cond)
		if w == delayed {
			time.Sleep(cond.delay)
		}
		if n > 0 && w != silent {
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
