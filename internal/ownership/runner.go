package ownership

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/pause"
	"github.com/crocusspring/crocusspring/internal/store"
)

const (
	// followWait is how long one read waits for a new record of the lease; renewals come more often.
	followWait = 700 * time.Millisecond
	// callTimeout bounds one call to the store; a healthy store answers within milliseconds, a slow one within
	// a few hundred.
	callTimeout = 600 * time.Millisecond
	// retryPause is the delay after a failed call.
	retryPause = 200 * time.Millisecond
	// tickInterval is how often the core is polled for a record to append.
	tickInterval = 50 * time.Millisecond
)

// Runner follows the lease, and takes and renews it when the process is a candidate. Use NewRunner to make one.
type Runner struct {
	store store.Store
	log   *log.Logger
	mu    sync.Mutex
	core  *Core
	// announced is the newest lease that another process has announced; nil before the first.
	announced *Lease
	changed   chan struct{}
	// failures counts the appends that have failed since the store last answered one or the lease was read.
	failures int
}

// NewRunner returns a runner that hasn't read the lease yet.
func NewRunner(opt Options, s store.Store, l *log.Logger) *Runner {
	return &Runner{store: s, log: l, core: New(opt), changed: make(chan struct{}, 1)}
}

// Run follows, takes and renews the lease until the context ends.
func (r *Runner) Run(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.renewLoop(ctx)
	}()
	r.follow(ctx)
	<-done
	return nil
}

// follow reads the lease and its changes until the context ends.
func (r *Runner) follow(ctx context.Context) {
	next, synced := store.Offset(0), false
	for ctx.Err() == nil {
		var records []store.Record
		var err error
		if !synced {
			next, records, err = r.newest(ctx)
		} else {
			next, records, err = r.read(ctx, next)
		}
		if err != nil {
			synced = synced && !errors.Is(err, store.ErrExpired)
			pause.For(ctx, retryPause)
			continue
		}
		synced = true
		r.observe(records, next)
	}
}

// newest reads the newest record of the lease and the end of the topic.
func (r *Runner) newest(ctx context.Context) (store.Offset, []store.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s, err := r.store.Newest(ctx, store.TopicOwner)
	return s.End, s.Records, err
}

// read waits for records from an offset on.
func (r *Runner) read(ctx context.Context, from store.Offset) (store.Offset, []store.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, followWait+callTimeout)
	defer cancel()
	b, err := r.store.Read(ctx, store.TopicOwner, from, followWait)
	if err != nil {
		return from, nil, err
	}
	return b.Next, b.Records, nil
}

// observe passes records to the core and logs a change of owner.
func (r *Runner) observe(records []store.Record, end store.Offset) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before, _ := r.core.Holder()
	if err := r.core.Observe(time.Now(), records, end); err != nil {
		r.log.Error(event.LeaseUnreadable, "err", err)
	}
	if len(records) > 0 {
		r.noteAnswer()
	}
	after, ok := r.core.Holder()
	if before.Epoch != after.Epoch {
		r.log.Info(event.OwnerChanged, "owner", after.Node, "addr", after.Addr, "epoch", after.Epoch, "held", ok)
	}
	r.signal()
}

// signal wakes the receiver of Changed without blocking.
func (r *Runner) signal() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// renewLoop takes and renews the lease until the context ends.
func (r *Runner) renewLoop(ctx context.Context) {
	for pause.For(ctx, tickInterval) {
		r.mu.Lock()
		rec, at, ok := r.core.Next(time.Now())
		r.mu.Unlock()
		if ok {
			r.append(ctx, rec, at)
		}
	}
}

// append appends one record of the lease. When no answer comes, follow reads the outcome from the topic.
func (r *Runner) append(ctx context.Context, rec store.Record, at store.Offset) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	first, err := r.store.Append(call, store.TopicOwner, at, []store.Record{rec})
	var conflict *store.ConflictError
	switch {
	case err == nil:
		r.mu.Lock()
		r.noteAnswer()
		if err := r.core.Appended(time.Now(), rec, first); err != nil {
			r.log.Error(event.LeaseUnreadable, "err", err)
		}
		r.signal()
		r.mu.Unlock()
	case errors.As(err, &conflict):
		r.mu.Lock()
		r.noteAnswer()
		r.mu.Unlock()
		r.log.Debug("lease was renewed or taken by another", "end", conflict.End)
	default:
		r.noteFailure(err)
	}
}

// noteFailure counts an append that failed, and logs the first of a row.
func (r *Runner) noteFailure(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failures == 0 {
		r.log.Warn(event.LeaseNotRenewed, "err", err)
	}
	r.failures++
}

// noteAnswer logs the end of a row of failed appends. The caller holds the lock.
func (r *Runner) noteAnswer() {
	if r.failures > 0 {
		r.log.Info(event.LeaseStoreAnswers, "failures", r.failures)
	}
	r.failures = 0
}

// Owner reports whether this process owns the cell now with an unexpired lease, and its epoch.
func (r *Runner) Owner() (int64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	epoch, ok := r.core.Owner(time.Now())
	return epoch, ok && (r.announced == nil || r.announced.Epoch <= epoch)
}

// Holds reports whether this process took the cell and no other one is known to have taken it since. It returns
// the epoch and how long ago the lease expired, which is negative before that.
func (r *Runner) Holds() (epoch int64, sinceExpiry time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	epoch, ok = r.core.Holds()
	ok = ok && (r.announced == nil || r.announced.Epoch <= epoch)
	return epoch, r.core.SinceExpiry(time.Now()), ok
}

// ObserveAnnounced records a lease that another process announced. It gives the address of the owner and ends an
// ownership of this process under a lower epoch, but never makes this process the owner.
func (r *Runner) ObserveAnnounced(l Lease) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.announced == nil || l.Epoch > r.announced.Epoch {
		r.announced = &l
		r.signal()
	}
}

// Holder returns the newest lease that was read or announced.
func (r *Runner) Holder() (Lease, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l, ok := r.core.Holder()
	if r.announced != nil && r.announced.Epoch > l.Epoch {
		return *r.announced, true
	}
	return l, ok
}

// OwnerAddr returns the address of the owner; empty while it isn't known.
func (r *Runner) OwnerAddr() string {
	l, ok := r.Holder()
	if !ok {
		return ""
	}
	return l.Addr
}

// Changed returns a channel that receives a signal when the lease may have changed.
func (r *Runner) Changed() <-chan struct{} { return r.changed }

// Release releases the cell, if this process owns it.
func (r *Runner) Release(ctx context.Context) error {
	r.mu.Lock()
	rec, at, ok := r.core.Release(time.Now())
	r.mu.Unlock()
	if !ok {
		return nil
	}
	if _, err := r.store.Append(ctx, store.TopicOwner, at, []store.Record{rec}); err != nil {
		return fmt.Errorf("release the cell: %w", err)
	}
	return nil
}
