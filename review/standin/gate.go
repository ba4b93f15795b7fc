package main

import (
	"net"
	"sync"
	"time"
)

// Gate is a proxy between one process and the store. While it is shut, nothing passes either way and nothing is reset, as
// behind a partition.
type Gate struct {
	addr, to string
	mu       sync.Mutex
	open     chan struct{} // closed while the gate is open
}

// NewGate returns an open gate that listens on an address of its own.
func NewGate(ip, to string) (*Gate, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	g := &Gate{addr: l.Addr().String(), to: to, open: make(chan struct{})}
	close(g.open)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go g.carry(c)
		}
	}()
	return g, nil
}

// Shut cuts the process off for a time.
func (g *Gate) Shut(d time.Duration) {
	g.mu.Lock()
	g.open = make(chan struct{})
	shut := g.open
	g.mu.Unlock()
	time.AfterFunc(d, func() { close(shut) })
}

// pass waits until the gate is open.
func (g *Gate) pass() {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	<-open
}

// carry carries one connection.
func (g *Gate) carry(c net.Conn) {
	defer c.Close()
	g.pass()
	s, err := net.Dial("tcp", g.to)
	if err != nil {
		return
	}
	defer s.Close()
	done := make(chan struct{}, 2)
	pump := func(dst, src net.Conn) {
		buf := make([]byte, 64<<10)
		for {
			n, err := src.Read(buf)
			g.pass()
			if n > 0 {
				if _, err := dst.Write(buf[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		done <- struct{}{}
	}
	go pump(s, c)
	go pump(c, s)
	<-done
}
