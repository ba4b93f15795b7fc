// Package intake accepts jobs for an entry. It accepts a job by one append to the store, relays the append
// through the owner when the entry can't reach the store, and queries the owner for the state of jobs.
package intake

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/metrics"
	"github.com/crocusspring/crocusspring/internal/owner"
	"github.com/crocusspring/crocusspring/internal/pause"
	"github.com/crocusspring/crocusspring/internal/sched"
	"github.com/crocusspring/crocusspring/internal/store"
)

const (
	// appendTimeout bounds one append; a healthy store answers within milliseconds, a slow one within a few
	// hundred.
	appendTimeout = 600 * time.Millisecond
	// unknownRetryDelay is the delay before an append whose outcome is unknown is retried.
	unknownRetryDelay = 150 * time.Millisecond
	// queryTimeout bounds one query of the owner.
	queryTimeout = 500 * time.Millisecond
	// queryRetryTime is how long a query is retried, to outlast a change of the cell's owner.
	queryRetryTime = 1200 * time.Millisecond
	// queryRetryDelay is the delay before a failed query is retried.
	queryRetryDelay = 100 * time.Millisecond
	// waitingCacheTTL is how long the counts of waiting jobs are cached.
	waitingCacheTTL = 400 * time.Millisecond
	// maxBatch is the most records in one append.
	maxBatch = 100
)

// Errors of an intake.
var (
	// ErrNotAccepted means that a job is certain not to be accepted and never runs.
	ErrNotAccepted = errors.New("not accepted")
	// ErrUnknown means that it is not known whether a job was accepted; the same job may be submitted again.
	ErrUnknown = errors.New("not known whether it was accepted")
	// ErrNoView means that no owner with a current view of the jobs answered.
	ErrNoView = errors.New("no current view")
)

// Locator returns the address of the owner; empty while it isn't known.
type Locator interface{ OwnerAddr() string }

// Intake accepts, cancels and queries jobs. Use New to make one.
type Intake struct {
	store   store.Store
	client  *owner.Client
	locator Locator
	scope   tally.Scope
	log     *log.Logger

	mu       sync.Mutex
	pending  []*pendingAppend
	draining bool // drain is running
	// storeUnavailable means that the outcome of an append is unknown; jobs are refused without an append until a
	// retry succeeds.
	storeUnavailable bool
	// counts is the cached number of waiting jobs by queue, queried at countsAt.
	counts   map[string]int
	countsAt time.Time
}

// pendingAppend is one record that waits for its append, and the channel for the result.
type pendingAppend struct {
	record store.Record
	done   chan error
}

// New returns an intake.
func New(s store.Store, client *owner.Client, locator Locator, scope tally.Scope, l *log.Logger) *Intake {
	return &Intake{store: s, client: client, locator: locator, scope: scope, log: l}
}

// Submit accepts a job. It is idempotent.
func (in *Intake) Submit(ctx context.Context, spec *job.Spec) error {
	value, err := json.Marshal(spec)
	if err != nil {
		return fmt.Errorf("%w: encode job: %w", ErrNotAccepted, err)
	}
	began := time.Now()
	err = in.append(ctx, store.Record{Key: store.PrefixJob + spec.ID, Value: value})
	in.scope.Tagged(map[string]string{"outcome": outcome(err)}).Counter("jobs_submitted").Inc(1)
	in.scope.Histogram("accept_seconds", metrics.Seconds()).RecordValue(time.Since(began).Seconds())
	return err
}

// outcome returns the metric label for the outcome of a submission.
func outcome(err error) string {
	switch {
	case err == nil:
		return "accepted"
	case errors.Is(err, ErrNotAccepted):
		return "refused"
	}
	return "unknown"
}

// cancelValue is the value of the record of a cancellation, whose key holds all information.
var cancelValue = []byte("{}")

// Cancel stores the cancellation of a job. It reports false only when the job is certain not to exist.
func (in *Intake) Cancel(ctx context.Context, id string) (bool, error) {
	_, found, err := in.queryOwner(ctx, id, queryTimeout, in.client.Job)
	if err == nil && !found {
		return false, nil
	}
	return true, in.append(ctx, store.Record{Key: store.PrefixCancel + id, Value: cancelValue})
}

// Job returns the state of a job. It reports false only when the job is certain not to exist.
func (in *Intake) Job(ctx context.Context, id string) (sched.View, bool, error) {
	return in.queryOwner(ctx, id, queryRetryTime, in.client.Job)
}

// Explain returns the state of a job and why its tasks wait. It reports false as Job does.
func (in *Intake) Explain(ctx context.Context, id string) (sched.View, bool, error) {
	return in.queryOwner(ctx, id, queryRetryTime, in.client.Explain)
}

// ownerQuery queries the owner at an address for a job.
type ownerQuery func(ctx context.Context, addr, id string) (sched.View, bool, error)

// queryOwner queries the owner, and retries failed queries at the current address of the owner until within has
// passed.
func (in *Intake) queryOwner(ctx context.Context, id string, within time.Duration, q ownerQuery) (sched.View, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	var lastErr error
	for {
		if addr := in.locator.OwnerAddr(); addr != "" {
			call, cancel := context.WithTimeout(ctx, queryTimeout)
			v, found, err := q(call, addr, id)
			cancel()
			if err == nil {
				return v, found, nil
			}
			lastErr = err
		}
		if !pause.For(ctx, queryRetryDelay) {
			return sched.View{}, false, fmt.Errorf("%w: %w", ErrNoView, errors.Join(lastErr, ctx.Err()))
		}
	}
}

// Waiting returns the number of waiting jobs of a queue, at most waitingCacheTTL old.
func (in *Intake) Waiting(ctx context.Context, queue string) (int, error) {
	in.mu.Lock()
	counts, age := in.counts, time.Since(in.countsAt)
	in.mu.Unlock()
	if counts != nil && age < waitingCacheTTL {
		return counts[queue], nil
	}
	addr := in.locator.OwnerAddr()
	if addr == "" {
		return 0, ErrNoView
	}
	call, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	queriedAt := time.Now()
	counts, err := in.client.Waiting(call, addr)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrNoView, err)
	}
	in.mu.Lock()
	in.counts, in.countsAt = counts, queriedAt
	in.mu.Unlock()
	return counts[queue], nil
}

// append stores one record, in a batch with those of concurrent calls. While the store is unavailable nothing is
// sent, so that the refusal is certain.
func (in *Intake) append(ctx context.Context, r store.Record) error {
	k := &pendingAppend{record: r, done: make(chan error, 1)}
	in.mu.Lock()
	if in.storeUnavailable {
		in.mu.Unlock()
		return fmt.Errorf("%w: the store doesn't answer", ErrNotAccepted)
	}
	in.pending = append(in.pending, k)
	if !in.draining {
		in.draining = true
		go in.drain()
	}
	in.mu.Unlock()
	select {
	case err := <-k.done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrUnknown, ctx.Err())
	}
}

// drain stores pending records in batches until none is left.
func (in *Intake) drain() {
	for {
		in.mu.Lock()
		n := min(len(in.pending), maxBatch)
		batch := in.pending[:n:n]
		in.pending = in.pending[n:]
		in.draining = n > 0
		in.mu.Unlock()
		if n == 0 {
			return
		}
		in.write(batch)
	}
}

// write stores one batch and completes its calls.
func (in *Intake) write(batch []*pendingAppend) {
	records := make([]store.Record, len(batch))
	for i, k := range batch {
		records[i] = k.record
	}
	err := in.appendOrRelay(records)
	if errors.Is(err, ErrUnknown) {
		in.retryUnknown(batch, records)
		return
	}
	complete(batch, err)
}

// complete completes the calls of a batch with a result.
func complete(batch []*pendingAppend, err error) {
	for _, k := range batch {
		k.done <- err
	}
}

// retryUnknown retries a batch whose outcome is unknown, concurrently with others, until it is stored: only then
// can its callers get a definite result. Until a retry succeeds, pending and further records are refused.
func (in *Intake) retryUnknown(batch []*pendingAppend, records []store.Record) {
	in.mu.Lock()
	first := !in.storeUnavailable
	in.storeUnavailable = true
	pending := in.pending
	in.pending = nil
	in.mu.Unlock()
	complete(pending, fmt.Errorf("%w: the store doesn't answer", ErrNotAccepted))
	if first {
		in.log.Warn(event.StoreLost, "unknown", len(records))
	}
	go func() {
		for {
			time.Sleep(unknownRetryDelay)
			err := in.appendOrRelay(records)
			if err == nil {
				in.markAvailable()
				complete(batch, nil)
				return
			}
		}
	}()
}

// markAvailable marks the store as available again.
func (in *Intake) markAvailable() {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.storeUnavailable {
		in.log.Info(event.StoreRegained)
	}
	in.storeUnavailable = false
}

// appendOrRelay stores records directly, and through the owner when that fails. Storing a record again is
// idempotent, so the relay is safe after an unknown outcome.
func (in *Intake) appendOrRelay(records []store.Record) error {
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	_, direct := in.store.Append(ctx, store.TopicJobs, store.AnyOffset, records)
	cancel()
	if direct == nil {
		return nil
	}
	relayed := in.relay(records)
	if relayed == nil {
		in.log.Info(event.JobsRelayed, "records", len(records), "cause", direct)
		return nil
	}
	in.log.Warn(event.JobsNotStored, "records", len(records), "direct", direct, "relayed", relayed)
	if errors.Is(direct, store.ErrRefused) && errors.Is(relayed, store.ErrRefused) {
		return fmt.Errorf("%w: %w", ErrNotAccepted, direct)
	}
	return fmt.Errorf("%w: %w", ErrUnknown, errors.Join(direct, relayed))
}

// relay stores records through the owner.
func (in *Intake) relay(records []store.Record) error {
	addr := in.locator.OwnerAddr()
	if addr == "" {
		return fmt.Errorf("owner not known: %w", store.ErrRefused)
	}
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	return in.client.Relay(ctx, addr, records)
}
