// Package netdial opens outgoing connections. A process dials through a Func, so that a test or a measurement
// can intercept its connections.
package netdial

import (
	"context"
	"net"
	"time"
)

// Func opens a connection, as net.Dialer.DialContext does.
type Func func(ctx context.Context, network, addr string) (net.Conn, error)

// FirstNonNil returns the first Func that is not nil, else that of a net.Dialer; either is bounded by the timeout.
func FirstNonNil(timeout time.Duration, dials ...Func) Func {
	defaultDialer := net.Dialer{Timeout: timeout}
	for _, f := range dials {
		if f != nil {
			return withTimeout(timeout, f)
		}
	}
	return defaultDialer.DialContext
}

// withTimeout returns a Func that calls f with a timeout.
func withTimeout(timeout time.Duration, f Func) Func {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return f(ctx, network, addr)
	}
}
