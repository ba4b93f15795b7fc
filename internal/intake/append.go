package intake

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/store"
)

const (
	// maxBatch is the most records in one append.
	maxBatch = 100
	// relayInterval is the least time between two batches through the owner while the store is slow, so that an entry
	// makes few calls to it.
	relayInterval = 100 * time.Millisecond
	// turnPoll is the time between two looks whether records that wait for the append before theirs go through the owner.
	turnPoll = 50 * time.Millisecond
)

// pendingAppend is one record that is being stored, for one or more callers.
type pendingAppend struct {
	record store.Record
	// doubted says that an earlier append of the same record may still take effect.
	doubted bool
	// callers is how many wait for the result.
	callers int
	// done is closed when err is the result.
	done chan struct{}
	err  error
}

// Errors of records that were not sent.
var (
	// errAway means that no way to the store is known.
	errAway = errors.New("the store can't be reached")
	// errLeft means that no caller waits any longer.
	errLeft = errors.New("the caller has left")
)

// append stores one record, in a batch with those of concurrent calls. A record waits in the entry while an append is in
// progress, where it can still be refused for certain.
func (in *Intake) append(ctx context.Context, r store.Record) error {
	k, err := in.enqueue(r)
	if err != nil {
		return err
	}
	wait := time.NewTimer(store.MaxWait)
	defer wait.Stop()
	for {
		select {
		case <-k.done:
			return k.err
		case <-wait.C:
			in.withdraw(k, store.ErrBusy)
		case <-ctx.Done():
			if in.leave(k) {
				return k.err
			}
			return fmt.Errorf("%w: %w", ErrUnknown, ctx.Err())
		}
	}
}

// enqueue adds a record to the pending ones, or joins the append of the same record. While no way to the store is known
// nothing is sent, so that the refusal is certain.
func (in *Intake) enqueue(r store.Record) (*pendingAppend, error) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if k := in.current[r.Key]; k != nil {
		k.callers++
		return k, nil
	}
	_, doubted := in.unresolved[r.Key]
	k := &pendingAppend{record: r, doubted: doubted, callers: 1, done: make(chan struct{})}
	if in.away {
		return nil, k.result(errNotSent(errAway))
	}
	in.current[r.Key] = k
	in.pending = append(in.pending, k)
	if !in.draining {
		in.draining = true
		go in.drain()
	}
	return k, nil
}

// errNotSent returns the error for a record that was not sent.
func errNotSent(cause error) error { return fmt.Errorf("%w: %w", ErrNotAccepted, cause) }

// result returns what the callers learn when an append ends with err. A record that is certainly not stored now may be
// by an earlier append.
func (k *pendingAppend) result(err error) error {
	if k.doubted && errors.Is(err, ErrNotAccepted) && !errors.Is(err, ErrUnstorable) {
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return err
}

// finish completes the calls for a record. The caller holds the lock.
func (in *Intake) finish(k *pendingAppend, err error) {
	if err == nil {
		delete(in.unresolved, k.record.Key)
	}
	delete(in.current, k.record.Key)
	k.err = k.result(err)
	close(k.done)
}

// withdraw refuses a record that wasn't sent yet, and reports false if it was.
func (in *Intake) withdraw(k *pendingAppend, cause error) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.withdrawLocked(k, cause)
}

// withdrawLocked is withdraw for a caller that holds the lock.
func (in *Intake) withdrawLocked(k *pendingAppend, cause error) bool {
	i := slices.Index(in.pending, k)
	if i < 0 {
		return false
	}
	in.pending = slices.Delete(in.pending, i, i+1)
	in.finish(k, errNotSent(cause))
	return true
}

// leave records that a caller no longer waits, and reports whether its record was withdrawn: nobody else waits for it, and
// it wasn't sent.
func (in *Intake) leave(k *pendingAppend) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	k.callers--
	return k.callers == 0 && in.withdrawLocked(k, errLeft)
}

// drain stores pending records in batches until none is left.
func (in *Intake) drain() {
	for in.hasPending() {
		direct := in.turn()
		batch := in.take()
		if len(batch) == 0 {
			// Their callers have left meanwhile.
			in.release(direct)
			continue
		}
		go in.write(batch, direct)
	}
}

// hasPending reports whether records are pending; if not, drain ends.
func (in *Intake) hasPending() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.draining = len(in.pending) > 0
	return in.draining
}

// turn waits until a batch may be sent, and reports whether directly: then the append before has ended, and the caller
// holds the turn. While the store is slow batches go through the owner, which appends for all entries together.
func (in *Intake) turn() (direct bool) {
	for {
		if in.throughOwner() {
			time.Sleep(in.untilRelay())
			return false
		}
		poll := time.NewTimer(turnPoll)
		select {
		case in.appending <- struct{}{}:
			poll.Stop()
			if !in.throughOwner() {
				return true
			}
			in.release(true)
		case <-poll.C:
		}
	}
}

// untilRelay returns the time until the next batch may go through the owner, and counts from then on to the one after it.
func (in *Intake) untilRelay() time.Duration {
	in.mu.Lock()
	defer in.mu.Unlock()
	now := time.Now()
	at := now
	if next := in.relayedAt.Add(relayInterval); next.After(now) {
		at = next
	}
	in.relayedAt = at
	return at.Sub(now)
}

// release gives a direct turn back.
func (in *Intake) release(direct bool) {
	if direct {
		<-in.appending
	}
}

// throughOwner reports whether appends go through the owner, and logs a change.
func (in *Intake) throughOwner() bool {
	slow := in.store.Slow()
	in.mu.Lock()
	changed := slow != in.slow
	in.slow = slow
	in.mu.Unlock()
	if changed && slow {
		in.log.Warn(event.StoreSlow)
	} else if changed {
		in.log.Info(event.StoreFast)
	}
	return slow && in.locator.OwnerAddr() != ""
}

// take takes the pending records that fit into one append.
func (in *Intake) take() []*pendingAppend {
	in.mu.Lock()
	defer in.mu.Unlock()
	n := in.nextBatch()
	batch := slices.Clone(in.pending[:n])
	in.pending = slices.Delete(in.pending, 0, n)
	return batch
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

// write stores one batch, completes its calls and gives a direct turn back. When the batch can't be stored, the calls that
// wait behind it are refused, unless it is for what the batch holds: then each record is stored by itself.
func (in *Intake) write(batch []*pendingAppend, direct bool) {
	began := time.Now()
	records := recordsOf(batch)
	err := in.storeAnyWay(records, direct)
	if errors.Is(err, store.ErrRejected) && len(batch) > 1 {
		in.release(direct)
		for i := range batch {
			in.write(batch[i:i+1], in.turn())
		}
		return
	}
	defer in.release(direct)
	if errors.Is(err, store.ErrRejected) {
		err = fmt.Errorf("%w: %w", ErrUnstorable, err)
	} else if err != nil {
		in.loseStore(records, err, in.store.ReachedSince(began))
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	for _, k := range batch {
		in.finish(k, err)
	}
}
