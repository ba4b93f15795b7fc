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
	// followWait bounds one wait for a new record of the lease; a renewal is due in less.
	followWait = 700 * time.Millisecond
	// callTimeout bounds one call to the store; a sound one answers in some milliseconds and a slow one
	// in some hundred.
	callTimeout = 600 * time.Millisecond
	// retryPause is the time after a failed call.
	retryPause = 200 * time.Millisecond
	// tickEvery is how often the core is asked for its next record.
	tickEvery = 50 * time.Millisecond
)

// Runner follows the lease, and takes and renews it when the process is a candidate. Use NewRunner.
type Runner struct {
	store store.Store
	log   *log.Logger
	mu    sync.Mutex
	core  *Core
	// hint is a lease that another process told of, newer than what was read.
	hint  *Lease
	moved chan struct{}
}

// NewRunner returns a runner.
func NewRunner(opt Options, s store.Store, l *log.Logger) *Runner {
	return &Runner{store: s, log: l, core: New(opt), moved: make(chan struct{}, 1)}
}

// Run follows the lease until the context ends.
func (r *Runner) Run(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.keep(ctx)
	}()
	r.follow(ctx)
	<-done
	return nil
}

// follow reads the lease and waits for changes.
func (r *Runner) follow(ctx context.Context) {
	next, known := store.Offset(0), false
	for ctx.Err() == nil {
		var records []store.Record
		var err error
		if !known {
			next, records, err = r.newest(ctx)
		} else {
			next, records, err = r.read(ctx, next)
		}
		if err != nil {
			known = known && !errors.Is(err, store.ErrExpired)
			pause.For(ctx, retryPause)
			continue
		}
		known = true
		r.seen(records, next)
	}
}

// newest reads the newest record.
func (r *Runner) newest(ctx context.Context) (store.Offset, []store.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s, err := r.store.Newest(ctx, store.TopicOwner)
	return s.End, s.Records, err
}

// read waits for records after an offset.
func (r *Runner) read(ctx context.Context, from store.Offset) (store.Offset, []store.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, followWait+callTimeout)
	defer cancel()
	b, err := r.store.Read(ctx, store.TopicOwner, from, followWait)
	if err != nil {
		return from, nil, err
	}
	return b.Next, b.Records, nil
}

// seen hands records to the core.
func (r *Runner) seen(records []store.Record, end store.Offset) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before, _ := r.core.Holder()
	if err := r.core.Seen(time.Now(), records, end); err != nil {
		r.log.Error(event.LeaseUnreadable, "err", err)
	}
	after, ok := r.core.Holder()
	if before.Epoch != after.Epoch {
		r.log.Info(event.OwnerChanged, "owner", after.Node, "addr", after.Addr, "epoch", after.Epoch, "held", ok)
	}
	r.signal()
}

// signal wakes who waits for a change.
func (r *Runner) signal() {
	select {
	case r.moved <- struct{}{}:
	default:
	}
}

// keep takes and renews the lease.
func (r *Runner) keep(ctx context.Context) {
	for pause.For(ctx, tickEvery) {
		r.mu.Lock()
		rec, at, ok := r.core.Next(time.Now())
		r.mu.Unlock()
		if ok {
			r.append(ctx, rec, at)
		}
	}
}

// append sends one record of the lease. What became of it is read from the topic when no answer comes.
func (r *Runner) append(ctx context.Context, rec store.Record, at store.Offset) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	first, err := r.store.Append(call, store.TopicOwner, at, []store.Record{rec})
	var conflict *store.ConflictError
	switch {
	case err == nil:
		r.mu.Lock()
		if err := r.core.Appended(time.Now(), rec, first); err != nil {
			r.log.Error(event.LeaseUnreadable, "err", err)
		}
		r.signal()
		r.mu.Unlock()
	case errors.As(err, &conflict):
		r.log.Debug("lease was renewed or taken by another", "end", conflict.End)
	default:
		r.log.Warn(event.LeaseNotRenewed, "err", err)
	}
}

// Owner reports whether this process owns the cell now, and under which epoch.
func (r *Runner) Owner() (int64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	epoch, ok := r.core.Owner(time.Now())
	return epoch, ok && (r.hint == nil || r.hint.Epoch <= epoch)
}

// Holds reports whether no other process is known to have taken the cell since this one did, the epoch,
// and how long ago the lease ended.
func (r *Runner) Holds() (epoch int64, lapsed time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	epoch, ok = r.core.Holds()
	ok = ok && (r.hint == nil || r.hint.Epoch <= epoch)
	return epoch, r.core.Lapsed(time.Now()), ok
}

// Hint takes a lease that another process told of. It tells where the owner is, ends an ownership of this
// process under a lower epoch, and grants nothing.
func (r *Runner) Hint(l Lease) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hint == nil || l.Epoch > r.hint.Epoch {
		r.hint = &l
		r.signal()
	}
}

// Holder returns the newest lease that is known or was told of.
func (r *Runner) Holder() (Lease, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l, ok := r.core.Holder()
	if r.hint != nil && r.hint.Epoch > l.Epoch {
		return *r.hint, true
	}
	return l, ok
}

// OwnerAddr returns where the owner serves; empty while it isn't known.
func (r *Runner) OwnerAddr() string {
	l, ok := r.Holder()
	if !ok {
		return ""
	}
	return l.Addr
}

// Changed is signalled when the lease may have changed.
func (r *Runner) Changed() <-chan struct{} { return r.moved }

// Leave gives the cell back.
func (r *Runner) Leave(ctx context.Context) error {
	r.mu.Lock()
	rec, at, ok := r.core.Leave(time.Now())
	r.mu.Unlock()
	if !ok {
		return nil
	}
	if _, err := r.store.Append(ctx, store.TopicOwner, at, []store.Record{rec}); err != nil {
		return fmt.Errorf("give the cell back: %w", err)
	}
	return nil
}
