package workload

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	probeInterval = 100 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
	// unreadyAfter is the number of consecutive failed probes after which an entry gets no more traffic.
	unreadyAfter = 1
)

// Entry is an entry that callers send to.
type Entry struct {
	// Name identifies the entry in the history.
	Name string
	Addr string
}

// Balancer distributes calls round-robin over the entries that report ready, as the platform's load balancer
// does. Use NewBalancer to create one.
type Balancer struct {
	client       *http.Client
	mu           sync.Mutex
	entries      []Entry
	failedProbes map[string]int
	cursor       int
}

// NewBalancer returns a balancer that treats every entry as ready until its first probe.
func NewBalancer(client *http.Client, entries []Entry) *Balancer {
	return &Balancer{client: client, entries: entries, failedProbes: map[string]int{}}
}

// SetEntries replaces the entries, for example after one restarted at another address.
func (b *Balancer) SetEntries(entries []Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = entries
}

// Run probes the entries until ctx ends.
func (b *Balancer) Run(ctx context.Context) {
	t := time.NewTicker(probeInterval)
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

// probeAll probes all entries concurrently.
func (b *Balancer) probeAll(ctx context.Context) {
	b.mu.Lock()
	entries := b.entries
	b.mu.Unlock()
	var wg sync.WaitGroup
	for _, e := range entries {
		wg.Go(func() {
			ok := b.probe(ctx, e)
			b.mu.Lock()
			defer b.mu.Unlock()
			if ok {
				b.failedProbes[e.Addr] = 0
				return
			}
			b.failedProbes[e.Addr]++
		})
	}
	wg.Wait()
}

// probe reports whether one entry answers that it is ready.
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

// Next returns the next ready entry in rotation whose name is not avoid. If there is none, it returns the next
// entry in rotation regardless.
func (b *Balancer) Next(avoid string) Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cursor++
	fallback := b.entries[b.cursor%len(b.entries)]
	for i := range b.entries {
		e := b.entries[(b.cursor+i)%len(b.entries)]
		if b.failedProbes[e.Addr] < unreadyAfter && e.Name != avoid {
			return e
		}
	}
	return fallback
}
