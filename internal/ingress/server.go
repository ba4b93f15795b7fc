// Package ingress bounds what clients take of a process: connections, memory for requests, and time. It expects nothing
// of clients but that those which behave send a request in one go and read the answer.
package ingress

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// headerTimeout bounds the reading of a request's headers, idleTimeout the time a connection stays open without a
	// request.
	headerTimeout = 3 * time.Second
	idleTimeout   = 30 * time.Second
	// maxHeaderBytes bounds the headers of a request.
	maxHeaderBytes = 64 << 10
	// bodyTimeout and answerTimeout are the times of Limits; a request may have an earlier deadline.
	bodyTimeout   = 30 * time.Second
	answerTimeout = 10 * time.Second
)

// connKey is the context key of a request's connection.
type connKey struct{}

// Server returns a server for connections of the gate.
func (g *Gate) Server(h http.Handler) *http.Server {
	return &http.Server{
		Handler: g.bounded(h), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, unwrap(nc))
		},
		ConnState: func(nc net.Conn, s http.ConnState) {
			c := unwrap(nc)
			switch {
			case c == nil:
			case s == http.StateIdle && c.late.Load():
				_ = nc.Close()
			case s == http.StateIdle:
				c.enter(idle)
			case s == http.StateHijacked:
				c.enter(detached)
			}
		},
	}
}

// unwrap returns the connection of the gate under a connection, such as one with TLS; nil if there is none.
func unwrap(nc net.Conn) *conn {
	for {
		switch c := nc.(type) {
		case *conn:
			return c
		case interface{ NetConn() net.Conn }:
			nc = c.NetConn()
		default:
			return nil
		}
	}
}

// bounded returns a handler that bounds the time of a request's body. A rest that the handler leaves is read only as far as
// it has arrived; if there is more the connection is closed after the answer.
func (g *Gate) bounded(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*conn)
		if c == nil {
			h.ServeHTTP(w, r)
			return
		}
		if r.Body == nil || r.Body == http.NoBody {
			c.enter(serving)
			h.ServeHTTP(w, r)
			return
		}
		c.enter(readingBody)
		b := &body{ReadCloser: r.Body, conn: c, control: http.NewResponseController(w)}
		b.setDeadline(time.Now().Add(g.limits.Body))
		// The server looks at the body of its own request to decide what it does with a rest.
		inner := r.WithContext(r.Context())
		inner.Body = b
		if err := b.skip(w, r.Method); err != nil {
			http.Error(w, err.Error(), Status(err))
		} else {
			h.ServeHTTP(w, inner)
		}
		b.drain()
	})
}
