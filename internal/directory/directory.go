// Package directory keeps the addresses of all processes in the store, so that an owner can notify processes
// that can't read the lease of its takeover, and a process that can't reach the store finds one that can.
package directory

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
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
	// refreshInterval is the time between two reads of the addresses by a Follower.
	refreshInterval = 30 * time.Second
)

// Register stores the address of a process and retries until it is stored, the store rejects it or the context ends.
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
		if errors.Is(err, store.ErrRejected) {
			return nil
		}
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
		// Other writers may have left records that are no addresses.
		if addr := string(r.Value); validAddr(addr) {
			out[r.Key] = addr
		}
	}
	return out, nil
}

// validAddr reports whether a text is an address that can be called.
func validAddr(addr string) bool {
	host, port, err := net.SplitHostPort(addr)
	n, portErr := strconv.ParseUint(port, 10, 16)
	return err == nil && portErr == nil && n > 0 && net.ParseIP(host) != nil
}

// Follower keeps the addresses of the other processes for when the store can't be reached. Use NewFollower to make
// one.
type Follower struct {
	store store.Store
	self  string
	mu    sync.Mutex
	addrs []string
}

// NewFollower returns a follower for the process at the address self.
func NewFollower(s store.Store, self string) *Follower { return &Follower{store: s, self: self} }

// Run reads the addresses at intervals until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	for {
		wait := refreshInterval
		if nodes, err := Nodes(ctx, f.store); err != nil {
			wait = retryPause
		} else {
			f.set(nodes)
		}
		if !pause.For(ctx, wait) {
			return nil
		}
	}
}

// set replaces the addresses.
func (f *Follower) set(nodes map[string]string) {
	var addrs []string
	for _, addr := range nodes {
		if addr != f.self {
			addrs = append(addrs, addr)
		}
	}
	slices.Sort(addrs)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addrs = addrs
}

// Pick returns up to n different addresses, chosen at random. Some of the processes may no longer run.
func (f *Follower) Pick(n int) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]string, 0, n)
	for _, i := range rand.Perm(len(f.addrs))[:min(n, len(f.addrs))] {
		out = append(out, f.addrs[i])
	}
	return out
}
