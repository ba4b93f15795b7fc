package logsvc

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// CommitOptions bound a Committer. Use DefaultCommitOptions for the values used in production.
type CommitOptions struct {
	// Window is how long the first record of an append waits for others; leases never wait.
	Window time.Duration
	// MaxRecords and MaxBytes bound one append.
	MaxRecords int
	MaxBytes   int
	// MaxPending and MaxPendingBytes bound the records that wait in this process.
	MaxPending      int
	MaxPendingBytes int
	// InFlight is how many appends to one stream may be unanswered at once.
	InFlight int
	// Timeout bounds one append; its outcome is unknown afterwards.
	Timeout time.Duration
	// PerSecond is the budget of this process until SetRate is called.
	PerSecond float64
}

// DefaultCommitOptions returns the bounds used in production.
func DefaultCommitOptions() CommitOptions {
	return CommitOptions{
		Window: 2 * time.Millisecond, MaxRecords: 500, MaxBytes: 1 << 20, MaxPending: 8192,
		MaxPendingBytes: 8 << 20, InFlight: 4, Timeout: 2 * time.Second, PerSecond: DefaultAppends,
	}
}

// Committer is a Client that groups the records of many callers into one append per stream, limits the
// rate of appends and refuses early when the service is down, slow or the buffers are full.
//
// Records of one call stay together and in order. Two calls that are in progress at the same time may
// take either order, so a caller that needs one waits for the first answer. A refusal (ErrRefused)
// always means that nothing was sent or the service itself refused; every other error leaves open
// whether the records took effect.
type Committer struct {
	next Client
	opt  CommitOptions

	mu      sync.Mutex
	queues  map[string]*queue
	pending int
	bytes   int
	pumping bool
	wake    chan struct{}
	budget  budget
	health  health
}

// queue holds the waiting calls and counts the unanswered appends of one stream.
type queue struct {
	calls    []*call
	inFlight int
}

// call is one Append of a caller.
type call struct {
	records    []json.RawMessage
	bytes      int
	class      Class
	enqueuedAt time.Time
	due        time.Time
	dequeued   bool
	done       chan result
}

// result is the outcome of a call.
type result struct {
	first Offset
	err   error
}

// NewCommitter returns a committer in front of a client.
func NewCommitter(next Client, opt CommitOptions) *Committer {
	c := &Committer{next: next, opt: opt, queues: map[string]*queue{}, wake: make(chan struct{}, 1)}
	c.budget.limiter = rate.NewLimiter(1, 1)
	c.budget.set(opt.PerSecond)
	c.health.init()
	return c
}

// Read implements Reader.
func (c *Committer) Read(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) (Batch, error) {
	return c.next.Read(ctx, stream, from, limit, wait)
}

// SetRate changes the budget of this process, in appends a second.
func (c *Committer) SetRate(perSecond float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget.set(perSecond)
}

// Rate returns the budget in effect, in appends a second.
func (c *Committer) Rate() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(c.budget.limiter.Limit())
}

// Pending returns how many records wait in this process.
func (c *Committer) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

// Append implements Appender. The class is taken from the context, see WithClass.
func (c *Committer) Append(ctx context.Context, stream string, records []json.RawMessage) (Offset, error) {
	k := &call{records: records, class: classOf(ctx), enqueuedAt: time.Now(), done: make(chan result, 1)}
	for _, r := range records {
		k.bytes += len(r)
	}
	if err := c.enqueue(ctx, stream, k); err != nil {
		return 0, fmt.Errorf("append to %s: %w", stream, err)
	}
	select {
	case r := <-k.done:
		return r.first, r.err
	case <-ctx.Done():
	}
	if c.withdraw(stream, k) {
		return 0, fmt.Errorf("append to %s: %w before it was sent: %w", stream, ErrRefused, ctx.Err())
	}
	return 0, fmt.Errorf("append to %s: no answer: %w", stream, ctx.Err())
}

// enqueue adds a call to the queue of its stream, or refuses it.
func (c *Committer) enqueue(ctx context.Context, stream string, k *call) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.health.check(ctx, k); err != nil {
		return err
	}
	if c.full(k) {
		return &BusyError{Class: k.class, Pending: c.pending}
	}
	k.due = k.enqueuedAt
	if k.class != ClassLease {
		k.due = k.due.Add(c.opt.Window)
	}
	q := c.queues[stream]
	if q == nil {
		q = &queue{}
		c.queues[stream] = q
	}
	q.calls = append(q.calls, k)
	c.pending += len(k.records)
	c.bytes += k.bytes
	c.start()
	return nil
}

// full reports whether the buffers have no free capacity for a call. Less urgent classes reach the limit
// earlier, so that urgent calls still find free capacity.
func (c *Committer) full(k *call) bool {
	classShare := int(2*classes - k.class)
	fullShare := int(2 * classes)
	return c.pending+len(k.records) > c.opt.MaxPending*classShare/fullShare ||
		c.bytes+k.bytes > c.opt.MaxPendingBytes*classShare/fullShare
}

// withdraw removes a call from its queue; it reports false when the call was sent already.
func (c *Committer) withdraw(stream string, k *call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k.dequeued {
		return false
	}
	q := c.queues[stream]
	for i, other := range q.calls {
		if other == k {
			q.calls = append(q.calls[:i:i], q.calls[i+1:]...)
			break
		}
	}
	c.release(stream, q, k)
	return true
}

// release frees the buffer capacity of a call and removes its queue if unused. The caller holds the lock.
func (c *Committer) release(stream string, q *queue, k *call) {
	k.dequeued = true
	c.pending -= len(k.records)
	c.bytes -= k.bytes
	if len(q.calls) == 0 && q.inFlight == 0 {
		delete(c.queues, stream)
	}
}

// send makes one append and gives its calls the result.
func (c *Committer) send(stream string, q *queue, calls []*call) {
	var records []json.RawMessage
	for _, k := range calls {
		records = append(records, k.records...)
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.opt.Timeout)
	defer cancel()
	began := time.Now()
	first, err := c.next.Append(ctx, stream, records)
	c.mu.Lock()
	c.health.record(time.Now(), time.Since(began), err)
	c.budget.record(errors.Is(err, ErrOverRate))
	q.inFlight--
	if len(q.calls) == 0 && q.inFlight == 0 && c.queues[stream] == q {
		delete(c.queues, stream)
	}
	c.start()
	c.mu.Unlock()
	for _, k := range calls {
		k.done <- result{first, err}
		first += Offset(len(k.records))
	}
}
