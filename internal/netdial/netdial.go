// Package netdial opens outgoing connections. A process dials through a Func, so that a test or a
// measurement can stand between it and the network.
package netdial

import (
	"context"
	"net"
	"time"
)

// Func opens a connection, as net.Dialer.DialContext does.
type Func func(ctx context.Context, network, addr string) (net.Conn, error)

// First returns the first Func that is given, else a plain dialer, bounded by a timeout.
func First(timeout time.Duration, given ...Func) Func {
	plain := net.Dialer{Timeout: timeout}
	for _, f := range given {
		if f != nil {
			return bounded(timeout, f)
		}
	}
	return plain.DialContext
}

// bounded gives a Func a timeout.
func bounded(timeout time.Duration, f Func) Func {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return f(ctx, network, addr)
	}
}
