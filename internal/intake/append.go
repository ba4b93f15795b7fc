package intake

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/store"
)

const (
	// appendTimeout bounds one append by all ways together; a healthy store answers within milliseconds, a slow
	// one within a few hundred.
	appendTimeout = 700 * time.Millisecond
	// relayDelay is how long the store has to answer before an append is also relayed through the owner, peerDelay
	// before it is relayed through another node.
	relayDelay = 300 * time.Millisecond
	peerDelay  = 500 * time.Millisecond
	// slowPeerDelay replaces peerDelay while the store is slow; an owner that answers does so before, if only that it is
	// busy.
	slowPeerDelay = 2 * time.Second
	// onFailure is the delay of a way that is tried only if an earlier one fails: longer than any append.
	onFailure = time.Minute
	// maxPeerRelays is the most nodes besides the owner that one append is relayed through.
	maxPeerRelays = 2
	// maxWays is the most ways that one append takes: directly, through the owner and through other nodes.
	maxWays = 2 + maxPeerRelays
	// maxBatch is the most records in one append.
	maxBatch = 100
)

// pendingAppend is one record that waits for its append, and the channel for the result.
type pendingAppend struct {
	record store.Record
	done   chan error
}

// errAway means that no way to the store is known.
var errAway = errors.New("the store can't be reached")

// append stores one record, in a batch with those of concurrent calls. While no way to the store is known nothing
// is sent, so that the refusal is certain.
func (in *Intake) append(ctx context.Context, r store.Record) error {
	k := &pendingAppend{record: r, done: make(chan error, 1)}
	in.mu.Lock()
	if in.away {
		defer in.mu.Unlock()
		return in.refusal(r)
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

// refusal returns the result of a record that is not sent. An earlier append of the same record may still take
// effect. The caller holds the lock.
func (in *Intake) refusal(r store.Record) error {
	if _, ok := in.unresolved[r.Key]; ok {
		return fmt.Errorf("%w: %w", ErrUnknown, errAway)
	}
	return fmt.Errorf("%w: %w", ErrNotAccepted, errAway)
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
		if in.pace.oneAtATime(time.Now()) {
			// The owner groups them; here they would wait for each other.
			go in.write(batch)
			continue
		}
		in.write(batch)
	}
}

// write stores one batch and completes its calls. When the batch can't be stored, the calls that wait behind it
// are refused.
func (in *Intake) write(batch []*pendingAppend) {
	records := make([]store.Record, len(batch))
	for i, k := range batch {
		records[i] = k.record
	}
	began := time.Now()
	err := in.storeAnyWay(records)
	if err != nil {
		in.loseStore(records, err, in.pace.succeededSince(began) || errors.Is(err, store.ErrBusy))
	}
	for _, k := range batch {
		k.done <- in.answer(k.record, err)
	}
}

// answer returns the result for one record of an append that ended with err. A record that was certainly not stored
// now may be by an earlier append whose outcome is unknown.
func (in *Intake) answer(r store.Record, err error) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if _, ok := in.unresolved[r.Key]; ok && errors.Is(err, ErrNotAccepted) {
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return err
}

// storeAnyWay stores records by the ways of the current plan. Storing a record twice is harmless. The error is
// ErrNotAccepted when the records are certain not to be stored, otherwise ErrUnknown.
func (in *Intake) storeAnyWay(records []store.Record) error {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), in.pace.timeout(began))
	defer cancel()
	plan := in.plan(began)
	results := make(chan result, maxWays)
	open := 0
	start := func() {
		for _, w := range plan[0].ways {
			open++
			started := time.Now()
			go func() {
				err := w.store(ctx, records)
				results <- result{w.relayed, time.Since(started), err}
			}()
		}
		plan = plan[1:]
	}
	start()
	var failures []error
	for open > 0 {
		var hedge <-chan time.Time
		if len(plan) > 0 && ctx.Err() == nil {
			hedge = time.After(time.Until(began.Add(plan[0].after)))
		}
		select {
		case r := <-results:
			open--
			if r.err == nil {
				in.noteSuccess(len(records), r, failures)
				return nil
			}
			failures = append(failures, r.err)
			if errors.Is(r.err, store.ErrBusy) {
				// The owner is there and the store is slow.
				in.pace.succeeded(time.Now(), r.took)
				plan = nil
			}
			if len(plan) > 0 && ctx.Err() == nil {
				start()
			}
		case <-hedge:
			in.pace.unanswered(time.Now())
			start()
		}
	}
	err := verdict(failures)
	if errors.Is(err, ErrUnknown) {
		in.pace.unanswered(time.Now())
	}
	in.log.Warn(event.JobsNotStored, "records", len(records), "slow", in.pace.slow(began), "err", err)
	return err
}

// verdict returns the error for an append that failed by every way: ErrNotAccepted if all of them are certain not
// to have stored the records.
func verdict(failures []error) error {
	for _, err := range failures {
		if !errors.Is(err, store.ErrRefused) {
			return fmt.Errorf("%w: %w", ErrUnknown, errors.Join(failures...))
		}
	}
	return fmt.Errorf("%w: %w", ErrNotAccepted, errors.Join(failures...))
}

// noteSuccess takes from a successful append how the store answers: slowly, or quickly through another node while it
// doesn't answer this one.
func (in *Intake) noteSuccess(records int, r result, failures []error) {
	in.pace.succeeded(time.Now(), r.took)
	if !r.relayed {
		return
	}
	if r.took < slowAppend {
		in.setDirectFailed(!in.pace.slow(time.Now()))
	}
	in.log.Info(event.JobsRelayed, "records", records, "took", r.took.Round(time.Millisecond), "cause", errors.Join(failures...))
}

// way is a way to store records, directly or through another node. Its error is a store.ErrRefused if they are certain
// not to be stored.
type way struct {
	relayed bool
	store   func(ctx context.Context, records []store.Record) error
}

// result is the outcome of an append by one way.
type result struct {
	relayed bool
	took    time.Duration
	err     error
}

// stage is a set of ways that are tried at the same time, after a time without a result or when an earlier way fails.
type stage struct {
	after time.Duration
	ways  []way
}

// plan returns the ways to store records now, in order.
//   - Usually the store is called directly; the owner and then another node only if it doesn't answer soon.
//   - While the store doesn't answer this node but others, the owner is called at the same time.
//   - While it is slow or may be, the owner stores the records of all entries in common appends. Several ways would
//     only make the store's queue longer, so that another node is called only if the owner fails or doesn't answer.
func (in *Intake) plan(now time.Time) []stage {
	direct := way{store: in.appendDirect}
	in.mu.Lock()
	failed := in.directFailed
	in.mu.Unlock()
	addr := in.locator.OwnerAddr()
	switch {
	case addr == "":
		return append([]stage{{ways: []way{direct}}}, in.peerStages(relayDelay)...)
	case in.pace.slow(now):
		return append([]stage{{ways: []way{in.relayThrough(addr)}}}, in.peerStages(slowPeerDelay)...)
	case in.pace.oneAtATime(now):
		return append([]stage{{ways: []way{in.relayThrough(addr)}}}, in.peerStages(peerDelay)...)
	case failed:
		return append([]stage{{ways: []way{direct, in.relayThrough(addr)}}}, in.peerStages(relayDelay)...)
	}
	return append([]stage{{ways: []way{direct}}, {relayDelay, []way{in.relayThrough(addr)}}}, in.peerStages(peerDelay)...)
}

// peerStages returns the stages of other nodes than the owner: one after a time, the others only if it fails.
func (in *Intake) peerStages(after time.Duration) []stage {
	if in.peers == nil {
		return nil
	}
	var out []stage
	for _, addr := range in.peers.Pick(maxPeerRelays) {
		out = append(out, stage{after, []way{in.relayThrough(addr)}})
		after = onFailure
	}
	return out
}

// relayThrough returns the way through another node.
func (in *Intake) relayThrough(addr string) way {
	return way{true, func(ctx context.Context, records []store.Record) error { return in.client.Relay(ctx, addr, records) }}
}

// appendDirect stores records by a call to the store.
func (in *Intake) appendDirect(ctx context.Context, records []store.Record) error {
	_, err := in.store.Append(ctx, store.TopicJobs, store.AnyOffset, records)
	if !errors.Is(err, context.Canceled) {
		in.setDirectFailed(err != nil)
	}
	return err
}

// setDirectFailed records whether the store answers this node; while it doesn't, appends are relayed at once.
func (in *Intake) setDirectFailed(failed bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.directFailed = failed
}

// relays returns the addresses of the nodes to relay through: the owner and a few others.
func (in *Intake) relays() []string {
	var out []string
	if addr := in.locator.OwnerAddr(); addr != "" {
		out = append(out, addr)
	}
	if in.peers != nil {
		out = append(out, in.peers.Pick(maxPeerRelays)...)
	}
	return out
}
