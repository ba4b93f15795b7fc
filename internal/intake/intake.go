// Package intake is what an entry does with jobs: it accepts them by one append to the store, relays
// the append through the owner when its own way to the store is gone, and asks the owner how jobs stand.
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
	// appendTimeout bounds one append; a sound store answers in some milliseconds and a slow one in some
	// hundred.
	appendTimeout = 600 * time.Millisecond
	// probePause is the time between two tries to reach a store that didn't answer.
	probePause = 150 * time.Millisecond
	// askTimeout bounds one question to the owner.
	askTimeout = 500 * time.Millisecond
	// askWithin is how long an entry goes on asking while the cell changes hands.
	askWithin = 1200 * time.Millisecond
	// askPause is the time between two questions.
	askPause = 100 * time.Millisecond
	// waitingFor is how long the counts of waiting jobs are kept.
	waitingFor = 400 * time.Millisecond
	// maxGroup is the most records of one append.
	maxGroup = 100
)

// Errors of an intake.
var (
	// ErrNotAccepted says that a job surely was not accepted and never runs.
	ErrNotAccepted = errors.New("not accepted")
	// ErrUnknown says that it is not known whether a job was accepted; the same job may be sent again.
	ErrUnknown = errors.New("not known whether it was accepted")
	// ErrNoView says that nobody with a current view could be asked.
	ErrNoView = errors.New("no current view")
)

// Locator tells where the owner serves; empty while it isn't known.
type Locator interface{ OwnerAddr() string }

// Intake accepts jobs. Use New to make one.
type Intake struct {
	store  store.Store
	client *owner.Client
	where  Locator
	scope  tally.Scope
	log    *log.Logger

	mu      sync.Mutex
	pending []*call
	flying  bool
	// away says that the store didn't answer last; jobs are refused without asking it until it does.
	away bool
	// counts are the newest counts of waiting jobs, asked at countsAt.
	counts   map[string]int
	countsAt time.Time
}

// call is one record that waits for its append.
type call struct {
	record store.Record
	done   chan error
}

// New returns an intake.
func New(s store.Store, client *owner.Client, where Locator, scope tally.Scope, l *log.Logger) *Intake {
	return &Intake{store: s, client: client, where: where, scope: scope, log: l}
}

// Submit accepts a job. Submitting the same job again is harmless.
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

// outcome names what became of a submission.
func outcome(err error) string {
	switch {
	case err == nil:
		return "accepted"
	case errors.Is(err, ErrNotAccepted):
		return "refused"
	}
	return "unknown"
}

// cancelValue is the value of a cancellation, which has nothing to say but its key.
var cancelValue = []byte("{}")

// Cancel stores the cancellation of a job. It reports false when there surely is no such job.
func (in *Intake) Cancel(ctx context.Context, id string) (bool, error) {
	_, found, err := in.ask(ctx, id, askTimeout, in.client.Job)
	if err == nil && !found {
		return false, nil
	}
	return true, in.append(ctx, store.Record{Key: store.PrefixCancel + id, Value: cancelValue})
}

// Job asks how a job stands. It reports false when there surely is no such job.
func (in *Intake) Job(ctx context.Context, id string) (sched.View, bool, error) {
	return in.ask(ctx, id, askWithin, in.client.Job)
}

// Explain asks how a job stands and why its tasks wait.
func (in *Intake) Explain(ctx context.Context, id string) (sched.View, bool, error) {
	return in.ask(ctx, id, askWithin, in.client.Explain)
}

// question asks the owner at an address about a job.
type question func(ctx context.Context, addr, id string) (sched.View, bool, error)

// ask asks the owner, again while the cell changes hands.
func (in *Intake) ask(ctx context.Context, id string, within time.Duration, q question) (sched.View, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	var last error
	for {
		if addr := in.where.OwnerAddr(); addr != "" {
			call, cancel := context.WithTimeout(ctx, askTimeout)
			v, found, err := q(call, addr, id)
			cancel()
			if err == nil {
				return v, found, nil
			}
			last = err
		}
		if !pause.For(ctx, askPause) {
			return sched.View{}, false, fmt.Errorf("%w: %w", ErrNoView, errors.Join(last, ctx.Err()))
		}
	}
}

// Waiting returns how many jobs of a queue wait, at most some hundred milliseconds old.
func (in *Intake) Waiting(ctx context.Context, queue string) (int, error) {
	in.mu.Lock()
	counts, age := in.counts, time.Since(in.countsAt)
	in.mu.Unlock()
	if counts != nil && age < waitingFor {
		return counts[queue], nil
	}
	addr := in.where.OwnerAddr()
	if addr == "" {
		return 0, ErrNoView
	}
	call, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	asked := time.Now()
	counts, err := in.client.Waiting(call, addr)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrNoView, err)
	}
	in.mu.Lock()
	in.counts, in.countsAt = counts, asked
	in.mu.Unlock()
	return counts[queue], nil
}

// append stores one record, together with those of other calls. While the store is away nothing is sent,
// so that the refusal is certain.
func (in *Intake) append(ctx context.Context, r store.Record) error {
	k := &call{record: r, done: make(chan error, 1)}
	in.mu.Lock()
	if in.away {
		in.mu.Unlock()
		return fmt.Errorf("%w: the store doesn't answer", ErrNotAccepted)
	}
	in.pending = append(in.pending, k)
	if !in.flying {
		in.flying = true
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

// drain stores what is pending until nothing is left.
func (in *Intake) drain() {
	for {
		in.mu.Lock()
		n := min(len(in.pending), maxGroup)
		group := in.pending[:n:n]
		in.pending = in.pending[n:]
		in.flying = n > 0
		in.mu.Unlock()
		if n == 0 {
			return
		}
		in.write(group)
	}
}

// write stores one group and answers its calls.
func (in *Intake) write(group []*call) {
	records := make([]store.Record, len(group))
	for i, k := range group {
		records[i] = k.record
	}
	err := in.try(records)
	if errors.Is(err, ErrUnknown) {
		in.lost(group, records)
		return
	}
	answer(group, err)
}

// answer answers the calls of a group.
func answer(group []*call, err error) {
	for _, k := range group {
		k.done <- err
	}
}

// lost goes on storing a group whose outcome isn't known, beside the others: its callers can only be
// told the truth once it is stored. Until the store answers, further jobs are refused.
func (in *Intake) lost(group []*call, records []store.Record) {
	in.mu.Lock()
	first := !in.away
	in.away = true
	waiting := in.pending
	in.pending = nil
	in.mu.Unlock()
	answer(waiting, fmt.Errorf("%w: the store doesn't answer", ErrNotAccepted))
	if first {
		in.log.Warn(event.StoreLost, "unknown", len(records))
	}
	go func() {
		for {
			time.Sleep(probePause)
			err := in.try(records)
			if err == nil {
				in.back()
				answer(group, nil)
				return
			}
		}
	}()
}

// back notes that the store answers again.
func (in *Intake) back() {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.away {
		in.log.Info(event.StoreRegained)
	}
	in.away = false
}

// try stores records directly, and through the owner when that fails. Records are the same however
// often they are stored, so a second way after an unknown outcome is harmless.
func (in *Intake) try(records []store.Record) error {
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
	addr := in.where.OwnerAddr()
	if addr == "" {
		return fmt.Errorf("owner not known: %w", store.ErrRefused)
	}
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	return in.client.Relay(ctx, addr, records)
}
