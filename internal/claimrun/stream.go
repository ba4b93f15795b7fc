package claimrun

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/crocusspring/crocusspring/internal/claim"
	"github.com/crocusspring/crocusspring/internal/follow"
	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/record"
)

// Run follows the claims on the log until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	defer k.finish()
	go k.expire(ctx)
	go k.keepSnapshot(ctx)
	for ctx.Err() == nil {
		reading, rewind := context.WithCancel(ctx)
		k.mu.Lock()
		k.rewind = rewind
		from := k.next
		k.mu.Unlock()
		if first, ok := k.atOnce(reading, from); ok {
			from = first
		}
		follow.Run(reading, k.log, claim.Stream, from, k, k.lg)
		rewind()
	}
}

// atOnce reads without waiting for new entries, so that the tail of a quiet stream is known at once.
func (k *Keeper) atOnce(ctx context.Context, from logsvc.Offset) (logsvc.Offset, bool) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	b, err := k.log.Read(ctx, claim.Stream, from, firstRead, 0)
	if err != nil {
		return 0, false
	}
	k.Entries(b.Entries, b.Tail)
	return b.Next, true
}

// expire forgets old keys until ctx ends.
func (k *Keeper) expire(ctx context.Context) {
	t := time.NewTicker(expireEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			k.mu.Lock()
			k.fold.Expire(time.Now())
			k.mu.Unlock()
		}
	}
}

// keepSnapshot writes a snapshot whenever the newest one has become too old, until ctx ends. Any process
// may write it; another one just says the same.
func (k *Keeper) keepSnapshot(ctx context.Context) {
	age := max(k.snapshots, leastSnapshotAge)
	t := time.NewTicker(age / 4)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			k.mu.Lock()
			var parts []claim.Snapshot
			if k.tail && k.fold.Len() > 0 && now.Sub(k.seen) > age {
				k.seen = now
				parts = k.fold.Snapshot(now, k.next)
			}
			k.mu.Unlock()
			k.snapshot(parts)
		}
	}
}

// Entries implements follow.Handler.
func (k *Keeper) Entries(entries []logsvc.Entry, tail logsvc.Offset) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	for _, e := range entries {
		if e.Offset < k.next {
			continue
		}
		if e.Offset > k.next {
			// The reader was rewound and starts again at next.
			break
		}
		k.next = e.Offset + 1
		k.since++
		if err := k.step(now, e); err != nil {
			k.lg.Error("Record is bad.", "stream", claim.Stream, "err", err)
		}
	}
	k.tail = k.tail || k.next >= tail
	if k.tail && k.since >= snapshotEvery {
		k.since = 0
		go k.snapshot(k.fold.Snapshot(now, k.next))
	}
	close(k.grown)
	k.grown = make(chan struct{})
}

// step folds one entry. The caller holds the lock.
func (k *Keeper) step(now time.Time, e logsvc.Entry) error {
	env, err := record.Decode(e.Data)
	if err != nil {
		return fmt.Errorf("offset %d: %w", e.Offset, err)
	}
	switch env.Kind {
	case record.KindClaim:
		return fold(env, func(c claim.Claim) { k.fold.Claimed(now, c) })
	case record.KindRelease:
		return fold(env, func(r claim.Release) {
			k.fold.Released(now, r)
			delete(k.given, r.ID)
		})
	case record.KindOutcome:
		return fold(env, func(o claim.Outcome) { k.fold.Settled(o) })
	case record.KindClaims:
		return fold(env, func(s claim.Snapshot) { k.part(now, s) })
	}
	return nil
}

// fold decodes the body of a record for a function.
func fold[T any](env record.Envelope, f func(T)) error {
	var body T
	if err := json.Unmarshal(env.Body, &body); err != nil {
		return fmt.Errorf("record %s: %w", env.ID, err)
	}
	f(body)
	return nil
}

// part collects one part of a snapshot and restores from it when it is whole. Parts of one snapshot
// are appended together, so they follow each other. The caller holds the lock.
func (k *Keeper) part(now time.Time, s claim.Snapshot) {
	k.since, k.seen = 0, now
	if s.Part != len(k.parts) || s.Part > 0 && k.parts[0].Next != s.Next {
		k.parts = nil
	}
	if s.Part != len(k.parts) {
		return
	}
	k.parts = append(k.parts, s)
	if len(k.parts) < s.Parts {
		return
	}
	if !k.fold.Whole() && s.Next >= k.first {
		k.fold, k.next = k.fold.Restore(now, k.parts), s.Next
		k.rewind()
	}
	k.parts = nil
}

// Expired implements follow.Handler.
func (k *Keeper) Expired(first logsvc.Offset) logsvc.Offset {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lg.Warn("Entries have expired; keys without a time wait for a snapshot.", "stream", claim.Stream, "first", first)
	k.fold.Gap()
	k.next, k.first, k.parts = first, first, nil
	return first
}

// snapshot appends a snapshot.
func (k *Keeper) snapshot(parts []claim.Snapshot) {
	var raws []json.RawMessage
	id := record.NewID()
	for _, p := range parts {
		raw, err := encode(fmt.Sprintf("%s-%d", id, p.Part), record.KindClaims, k.self, p)
		if err != nil {
			k.lg.Error("Snapshot can't be encoded.", "err", err)
			return
		}
		raws = append(raws, raw)
	}
	if len(raws) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(logsvc.WithClass(context.Background(), logsvc.ClassAudit), publishTimeout)
	defer cancel()
	if _, err := k.log.Append(ctx, claim.Stream, raws); err != nil {
		k.lg.Debug("Snapshot was not published.", "err", err)
	}
}

// encode returns the data of one record.
func encode(id string, kind record.Kind, by string, body any) (json.RawMessage, error) {
	env, err := record.New(id, kind, claim.Schema, by, body)
	if err != nil {
		return nil, err
	}
	return env.Encode()
}

// append appends one record.
func (k *Keeper) append(ctx context.Context, id string, kind record.Kind, body any) error {
	raw, err := encode(id, kind, k.self, body)
	if err != nil {
		return fmt.Errorf("%w: %w", logsvc.ErrRefused, err)
	}
	_, err = k.log.Append(logsvc.WithClass(ctx, logsvc.ClassClaim), claim.Stream, []json.RawMessage{raw})
	return err
}

// publish appends an outcome or a release in the background, together with others that end soon after.
func (k *Keeper) publish(id string, kind record.Kind, body any) {
	raw, err := encode(id, kind, k.self, body)
	if err != nil {
		k.lg.Error("Outcome can't be encoded.", "record", id, "err", err)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.outbox = append(k.outbox, raw)
	if len(k.outbox) == 1 {
		k.publishing.Add(1)
		time.AfterFunc(publishEvery, k.flush)
	}
}

// flush publishes what waits, until the log has taken it. Appending a record again is harmless.
func (k *Keeper) flush() {
	defer k.publishing.Done()
	k.mu.Lock()
	raws := k.outbox
	k.outbox = nil
	k.mu.Unlock()
	end := time.Now().Add(publishFor)
	for time.Now().Before(end) && k.life.Err() == nil {
		ctx, cancel := context.WithTimeout(logsvc.WithClass(k.life, logsvc.ClassClaim), publishTimeout)
		_, err := k.log.Append(ctx, claim.Stream, raws)
		cancel()
		if err == nil {
			return
		}
		select {
		case <-k.life.Done():
		case <-time.After(publishPause):
		}
	}
	k.lg.Warn("Outcomes were not published.", "records", len(raws))
}

// Drain waits until every outcome is on the log, or ctx ends.
func (k *Keeper) Drain(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		k.publishing.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
