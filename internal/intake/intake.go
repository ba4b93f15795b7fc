// Package intake accepts jobs for an entry. It accepts a job by one append to the store, relays the append
// through other nodes when the entry can't reach the store, and queries the owner for the state of jobs.
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
	"golang.org/x/sync/singleflight"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/metrics"
	"github.com/crocusspring/crocusspring/internal/pause"
	"github.com/crocusspring/crocusspring/internal/sched"
	"github.com/crocusspring/crocusspring/internal/store"
)

const (
	// queryTimeout bounds one query of the owner.
	queryTimeout = 500 * time.Millisecond
	// queryRetryTime is how long a query is retried, to outlast a change of the cell's owner.
	queryRetryTime = 1200 * time.Millisecond
	// queryRetryDelay is the delay before a failed query is retried.
	queryRetryDelay = 100 * time.Millisecond
	// waitingCacheTTL is how long the counts of waiting jobs are cached.
	waitingCacheTTL = 400 * time.Millisecond
)

// Errors of an intake.
var (
	// ErrNotAccepted means that a job is certain not to be accepted and never runs.
	ErrNotAccepted = errors.New("not accepted")
	// ErrUnstorable means that the store doesn't take a job, now or later. It is an ErrNotAccepted.
	ErrUnstorable = fmt.Errorf("%w: it can't be stored", ErrNotAccepted)
	// ErrUnknown means that it is not known whether a job was accepted; the same job may be submitted again.
	ErrUnknown = errors.New("not known whether it was accepted")
	// ErrNoView means that no owner with a current view of the jobs answered.
	ErrNoView = errors.New("no current view")
)

// Locator returns the address of the owner; empty while it isn't known.
type Locator interface{ OwnerAddr() string }

// Peers returns the addresses of up to n nodes that may reach the store, in an order that varies.
type Peers interface{ Pick(n int) []string }

// Client calls other nodes. Relay returns a store.ErrRefused when the records are certain not to be stored, a store.ErrBusy
// among these when the store is slow, and CheckStore whether a node can reach the store.
type Client interface {
	Job(ctx context.Context, addr, id string) (v sched.View, found bool, err error)
	// ConfirmedJob is Job, with a false confirmed by the store.
	ConfirmedJob(ctx context.Context, addr, id string) (v sched.View, found bool, err error)
	Explain(ctx context.Context, addr, id string) (v sched.View, found bool, err error)
	Waiting(ctx context.Context, addr string) (map[string]int, error)
	// Room returns the memory that the owner has for further jobs, in bytes; sched.ErrNoLimit from one that tells no limit.
	Room(ctx context.Context, addr string) (int64, error)
	Relay(ctx context.Context, addr string, records []store.Record) error
	CheckStore(ctx context.Context, addr string) error
}

// Intake accepts, cancels and queries jobs. Use New to make one.
type Intake struct {
	store   *store.Pulse
	client  Client
	locator Locator
	peers   Peers
	scope   tally.Scope
	log     *log.Logger

	// appending holds one element while an append is sent to the store directly.
	appending chan struct{}

	mu      sync.Mutex
	pending []*pendingAppend // not sent yet
	// current holds the records that are pending or being stored, by key.
	current  map[string]*pendingAppend
	draining bool // drain is running
	// directFailed says that the store didn't answer the last append that was sent to it directly, or not soon.
	directFailed bool
	// slow says that the store was slow when it was last looked at.
	slow bool
	// relayedAt is when the last batch went through the owner of a slow store.
	relayedAt time.Time
	// away says that no way to the store is known since awaySince; jobs are refused without an append until one
	// is found.
	away      bool
	awaySince time.Time
	finding   bool // findStore is running
	// unresolved holds the records whose outcome is unknown, by key.
	unresolved map[string]unresolvedRecord
	// unknownCancels bounds the cancellations of jobs that don't exist.
	unknownCancels cancelLimit
	// room is what is known of the owner's memory for jobs; asking lets one caller at a time ask for it.
	room   room
	asking singleflight.Group
	// counts is the cached number of waiting jobs by queue, queried at countsAt.
	counts   map[string]int
	countsAt time.Time
}

// New returns an intake.
func New(s store.Store, client Client, locator Locator, peers Peers, scope tally.Scope, l *log.Logger) *Intake {
	return &Intake{
		store: store.NewPulse(s), client: client, locator: locator, peers: peers, scope: scope, log: l,
		appending: make(chan struct{}, 1), room: room{allowance: roomSlack}, current: map[string]*pendingAppend{}, unresolved: map[string]unresolvedRecord{},
	}
}

// Submit accepts a job. It is idempotent.
func (in *Intake) Submit(ctx context.Context, spec *job.Spec) error {
	value, err := json.Marshal(spec)
	if err != nil {
		return fmt.Errorf("%w: encode job: %w", ErrNotAccepted, err)
	}
	began := time.Now()
	r := store.Record{Key: store.PrefixJob + spec.ID, Value: value}
	if err = in.store.Limits().Check(r); err != nil {
		err = fmt.Errorf("%w: %w", ErrUnstorable, err)
	} else if err = in.reserveRoom(ctx, r.Key, spec); err == nil {
		err = in.append(ctx, r)
	}
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

// Cancel stores the cancellation of a job. It reports false only when the store didn't hold the job before. The cancellation is
// stored even so: an entry may hold the job in an append of unknown outcome, and store it later.
func (in *Intake) Cancel(ctx context.Context, id string) (bool, error) {
	_, found, err := in.queryOwner(ctx, id, queryTimeout, in.client.ConfirmedJob)
	found = found || err != nil
	r := store.Record{Key: store.PrefixCancel + id, Value: cancelValue}
	switch {
	case found:
	case in.store.Limits().Check(r) != nil:
		// The store can't hold the job either.
		return false, nil
	case !in.admitUnknownCancel(time.Now()):
		return false, errNotSent(errManyUnknown)
	}
	return found, in.append(ctx, r)
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
