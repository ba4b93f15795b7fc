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
	// relayDelay is how long the store has to answer before an append is also relayed.
	relayDelay = 300 * time.Millisecond
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
		n := in.nextBatch()
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

// nextBatch returns how many of the pending records fit into the next append. The caller holds the lock.
func (in *Intake) nextBatch() int {
	records := recordsOf(in.pending[:min(len(in.pending), maxBatch)])
	if calls := in.store.Limits().Calls(records); len(calls) > 0 {
		return len(calls[0])
	}
	return 0
}

// recordsOf returns the records of appends.
func recordsOf(batch []*pendingAppend) []store.Record {
	records := make([]store.Record, len(batch))
	for i, k := range batch {
		records[i] = k.record
	}
	return records
}

// write stores one batch and completes its calls. When the batch can't be stored, the calls that wait behind it
// are refused, unless it is for what the batch holds: then each record is stored by itself.
func (in *Intake) write(batch []*pendingAppend) {
	records := recordsOf(batch)
	err := in.storeAnyWay(records)
	if errors.Is(err, store.ErrRejected) && len(batch) > 1 {
		for i := range batch {
			in.write(batch[i : i+1])
		}
		return
	}
	if errors.Is(err, store.ErrRejected) {
		err = fmt.Errorf("%w: %w", ErrUnstorable, err)
	} else if err != nil {
		in.loseStore(records, err)
	}
	for _, k := range batch {
		k.done <- err
	}
}

// appendResult is the outcome of an append by one way.
type appendResult struct {
	relayed bool
	err     error
}

// storeAnyWay stores records directly and, when that fails or takes long, also through other nodes. Storing a record
// twice is harmless. The error is ErrNotAccepted when the records are certain not to be stored, otherwise
// ErrUnknown.
func (in *Intake) storeAnyWay(records []store.Record) error {
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	results := make(chan appendResult, maxWays)
	go func() { results <- appendResult{err: in.appendDirect(ctx, records)} }()
	hedge := time.NewTimer(in.hedgeDelay())
	defer hedge.Stop()
	var failures []error
	for open, relaying := 1, false; open > 0; {
		select {
		case r := <-results:
			open--
			if r.err == nil {
				in.noteRelay(len(records), r.relayed, failures)
				return nil
			}
			failures = append(failures, r.err)
			if errors.Is(r.err, store.ErrRejected) {
				// The store refuses the same records by every way.
				return r.err
			}
		case <-hedge.C:
		}
		if !relaying {
			relaying = true
			open += in.startRelays(ctx, records, results)
		}
	}
	err := verdict(failures)
	in.log.Warn(event.JobsNotStored, "records", len(records), "err", err)
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

// noteRelay logs that records were stored through another node.
func (in *Intake) noteRelay(records int, relayed bool, failures []error) {
	if relayed {
		in.log.Info(event.JobsRelayed, "records", records, "cause", errors.Join(failures...))
	}
}

// hedgeDelay returns how long to wait for the store before an append is relayed.
func (in *Intake) hedgeDelay() time.Duration {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.directFailed {
		return 0
	}
	return relayDelay
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

// startRelays starts to store records through the owner and other nodes, and returns how many results will come.
func (in *Intake) startRelays(ctx context.Context, records []store.Record, results chan<- appendResult) int {
	in.setDirectFailed(true)
	addrs := in.relays()
	for _, addr := range addrs {
		go func() { results <- appendResult{true, in.client.Relay(ctx, addr, records)} }()
	}
	return len(addrs)
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
