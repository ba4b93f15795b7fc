// Package directory keeps the addresses of all processes in the store, so that an owner can notify processes
// that can't read the lease of its takeover.
package directory

import (
	"context"
	"fmt"
	"time"

	"github.com/charmbracelet/log"

	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/pause"
	"github.com/crocusspring/crocusspring/internal/store"
)

const (
	// callTimeout bounds one call to the store.
	callTimeout = 600 * time.Millisecond
	// retryPause is the delay after a failed call.
	retryPause = 500 * time.Millisecond
)

// Register stores the address of a process and retries until it is stored or the context ends.
func Register(ctx context.Context, s store.Store, node, addr string, l *log.Logger) error {
	records := []store.Record{{Key: node, Value: []byte(addr)}}
	for {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := s.Append(call, store.TopicNodes, store.AnyOffset, records)
		cancel()
		if err == nil {
			return nil
		}
		l.Warn(event.AddressNotStored, "addr", addr, "err", err)
		if !pause.For(ctx, retryPause) {
			return nil
		}
	}
}

// Nodes returns the addresses of all processes by name. Some of the processes may no longer run.
func Nodes(ctx context.Context, s store.Store) (map[string]string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	snap, err := s.Newest(ctx, store.TopicNodes)
	if err != nil {
		return nil, fmt.Errorf("read nodes: %w", err)
	}
	out := map[string]string{}
	for _, r := range snap.Records {
		out[r.Key] = string(r.Value)
	}
	return out, nil
}
