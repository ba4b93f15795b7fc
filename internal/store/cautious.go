package store

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// silenceLimit is how long after the last answer a store counts as suspect. A process that follows a topic
	// gets an answer about every 700 ms.
	silenceLimit = 1200 * time.Millisecond
	// probeTimeout bounds the read that checks a suspect store; a slow one answers within a few hundred
	// milliseconds.
	probeTimeout = 400 * time.Millisecond
)

// Cautious is a store that doesn't send an unconditional append while the store is suspect: it makes a small read
// first, and refuses the append if that fails. Such an append is certain not to take effect, whereas one that is
// sent to a store that doesn't answer may still. Conditional appends are sent as they are; their outcome can be
// found out by reading the topic. Use NewCautious to make one.
type Cautious struct {
	Store
	mu sync.Mutex
	// answered is when the last call succeeded; failed says that a call has failed since.
	answered time.Time
	failed   bool
}

// NewCautious returns a Cautious in front of a store.
func NewCautious(next Store) *Cautious { return &Cautious{Store: next, answered: time.Now()} }

// Suspect reports whether the store may be unavailable: the last call failed, or none has been answered for
// silenceLimit.
func (c *Cautious) Suspect() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed || time.Since(c.answered) > silenceLimit
}

// record updates the state with the outcome of a call that ended with err. A caller that gave up its call says
// nothing about the store.
func (c *Cautious) record(ctx context.Context, err error) {
	label := outcomeLabel(err)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case label == "ok" || label == "conflict" || label == "expired" || label == "rejected":
		c.answered, c.failed = time.Now(), false
	case ctx.Err() != context.Canceled:
		c.failed = true
	}
}

// Check makes a small read and returns its error: whether a store can be reached.
func Check(ctx context.Context, s Store) error {
	_, err := s.Newest(ctx, TopicOwner)
	return err
}

// probe checks the store within probeTimeout.
func (c *Cautious) probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return Check(ctx, c)
}

// Append implements Store.
func (c *Cautious) Append(ctx context.Context, topic string, at Offset, records []Record) (Offset, error) {
	if err := c.Limits().CheckAll(records); err != nil {
		// Nothing is sent, which says nothing about the store.
		return 0, fmt.Errorf("append to %s: %w", topic, err)
	}
	if at == AnyOffset && c.Suspect() {
		if err := c.probe(ctx); err != nil {
			return 0, fmt.Errorf("append to %s: %w: the store doesn't answer: %w", topic, ErrRefused, err)
		}
	}
	first, err := c.Store.Append(ctx, topic, at, records)
	c.record(ctx, err)
	return first, err
}

// Read implements Store.
func (c *Cautious) Read(ctx context.Context, topic string, from Offset, wait time.Duration) (Batch, error) {
	b, err := c.Store.Read(ctx, topic, from, wait)
	c.record(ctx, err)
	return b, err
}

// Newest implements Store.
func (c *Cautious) Newest(ctx context.Context, topic string) (Snapshot, error) {
	s, err := c.Store.Newest(ctx, topic)
	c.record(ctx, err)
	return s, err
}
