package workload

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	probeEvery   = 100 * time.Millisecond
	probeTimeout = 500 * time.Millisecond
	// drainedAfter is how many failed probes in a row take an entry out.
	drainedAfter = 1
)

// Entry is one entry as callers reach it.
type Entry struct {
	// Name is written to the history.
	Name string
	Addr string
}

// Balancer spreads callers over the entries that report ready, as the platform's balancer does. Use
// NewBalancer to make one.
type Balancer struct {
	client *http.Client
	mu     sync.Mutex
	all    []Entry
	failed map[string]int
	turn   int
}

// NewBalancer returns a balancer that takes every entry for ready until its first probe.
func NewBalancer(client *http.Client, entries []Entry) *Balancer {
	return &Balancer{client: client, all: entries, failed: map[string]int{}}
}

// SetEntries replaces the entries, as when one was restarted elsewhere.
func (b *Balancer) SetEntries(entries []Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.all = entries
}

// Run probes the entries until ctx ends.
func (b *Balancer) Run(ctx context.Context) {
	t := time.NewTicker(probeEvery)
	defer t.Stop()
	for {
		b.probeAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// probeAll probes every entry at once.
func (b *Balancer) probeAll(ctx context.Context) {
	b.mu.Lock()
	all := b.all
	b.mu.Unlock()
	var wg sync.WaitGroup
	for _, e := range all {
		wg.Go(func() {
			ok := b.probe(ctx, e)
			b.mu.Lock()
			defer b.mu.Unlock()
			if ok {
				b.failed[e.Addr] = 0
				return
			}
			b.failed[e.Addr]++
		})
	}
	wg.Wait()
}

// probe asks one entry whether it is ready.
func (b *Balancer) probe(ctx context.Context, e Entry) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Addr+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Next returns the next ready entry in turn, other than the one to avoid where possible.
func (b *Balancer) Next(avoid string) Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turn++
	pick := b.all[b.turn%len(b.all)]
	for i := range b.all {
		e := b.all[(b.turn+i)%len(b.all)]
		if b.failed[e.Addr] < drainedAfter && e.Name != avoid {
			return e
		}
	}
	return pick
}
