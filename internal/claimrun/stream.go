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
func (k *KeyRunner) Run(ctx context.Context) {
	defer k.cancelRun()
	go k.expireLoop(ctx)
	go k.snapshotLoop(ctx)
	for ctx.Err() == nil {
		reading, rewind := context.WithCancel(ctx)
		k.mu.Lock()
		k.rewind = rewind
		from := k.next
		k.mu.Unlock()
		if first, ok := k.readAvailable(reading, from); ok {
			from = first
		}
		follow.Run(reading, k.log, claim.Stream, from, k, k.lg)
		rewind()
	}
}

// readAvailable reads without waiting for new entries, so that the tail of an idle stream is reached at once.
func (k *KeyRunner) readAvailable(ctx context.Context, from logsvc.Offset) (logsvc.Offset, bool) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	b, err := k.log.Read(ctx, claim.Stream, from, initialReadEntries, 0)
	if err != nil {
		return 0, false
	}
	k.Entries(b.Entries, b.Tail)
	return b.Next, true
}

// expireLoop removes expired keys until ctx ends.
func (k *KeyRunner) expireLoop(ctx context.Context) {
	t := time.NewTicker(expireInterval)
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

// snapshotLoop writes a snapshot whenever the newest one has become too old, until ctx ends. Any process
// may write it; a second one of the same entries has the same content and is harmless.
func (k *KeyRunner) snapshotLoop(ctx context.Context) {
	age := max(k.maxSnapshotAge, minSnapshotAge)
	t := time.NewTicker(age / 4)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			k.mu.Lock()
			var parts []claim.Snapshot
			if k.caughtUp && k.fold.Len() > 0 && now.Sub(k.snapshotSeenAt) > age {
				k.snapshotSeenAt = now
				parts = k.fold.Snapshot(now, k.next)
			}
			k.mu.Unlock()
			k.publishSnapshot(parts)
		}
	}
}

// Entries implements follow.Handler.
func (k *KeyRunner) Entries(entries []logsvc.Entry, tail logsvc.Offset) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	for _, e := range entries {
		if e.Offset < k.next {
			continue
		}
		if e.Offset > k.next {
			// The fold was restored from an older snapshot; the reader restarts at next.
			break
		}
		k.next = e.Offset + 1
		k.entriesSinceSnapshot++
		if err := k.foldEntry(now, e); err != nil {
			k.lg.Error("Record is bad.", "stream", claim.Stream, "err", err)
		}
	}
	k.caughtUp = k.caughtUp || k.next >= tail
	if k.caughtUp && k.entriesSinceSnapshot >= snapshotEvery {
		k.entriesSinceSnapshot = 0
		go k.publishSnapshot(k.fold.Snapshot(now, k.next))
	}
	close(k.changed)
	k.changed = make(chan struct{})
}

// foldEntry folds one entry. The caller holds the lock.
func (k *KeyRunner) foldEntry(now time.Time, e logsvc.Entry) error {
	env, err := record.Decode(e.Data)
	if err != nil {
		return fmt.Errorf("offset %d: %w", e.Offset, err)
	}
	switch env.Kind {
	case record.KindClaim:
		return foldBody(env, func(c claim.Claim) { k.fold.Claimed(now, c) })
	case record.KindRelease:
		return foldBody(env, func(r claim.Release) {
			k.fold.Released(now, r)
			delete(k.releasing, r.ID)
		})
	case record.KindOutcome:
		return foldBody(env, func(o claim.Outcome) { k.fold.Settled(o) })
	case record.KindClaims:
		return foldBody(env, func(s claim.Snapshot) { k.addPart(now, s) })
	}
	return nil
}

// foldBody decodes the body of a record and passes it to f.
func foldBody[T any](env record.Envelope, f func(T)) error {
	var body T
	if err := json.Unmarshal(env.Body, &body); err != nil {
		return fmt.Errorf("record %s: %w", env.ID, err)
	}
	f(body)
	return nil
}

// addPart collects one part of a snapshot. Once the snapshot is complete, an incomplete fold is restored
// from it, unless the snapshot ends before the first entry read here. Parts of one snapshot are appended
// together, so they are consecutive. The caller holds the lock.
func (k *KeyRunner) addPart(now time.Time, s claim.Snapshot) {
	k.entriesSinceSnapshot, k.snapshotSeenAt = 0, now
	if s.Part != len(k.snapshotParts) || s.Part > 0 && k.snapshotParts[0].Next != s.Next {
		k.snapshotParts = nil
	}
	if s.Part != len(k.snapshotParts) {
		return
	}
	k.snapshotParts = append(k.snapshotParts, s)
	if len(k.snapshotParts) < s.Parts {
		return
	}
	if !k.fold.Complete() && s.Next >= k.first {
		k.fold, k.next = k.fold.Restore(now, k.snapshotParts), s.Next
		k.rewind()
	}
	k.snapshotParts = nil
}

// Expired implements follow.Handler.
func (k *KeyRunner) Expired(first logsvc.Offset) logsvc.Offset {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lg.Warn("Entries have expired; keys without a time wait for a snapshot.", "stream", claim.Stream, "first", first)
	k.fold.RecordGap()
	k.next, k.first, k.snapshotParts = first, first, nil
	return first
}

// publishSnapshot publishes the parts of a snapshot in one append.
func (k *KeyRunner) publishSnapshot(parts []claim.Snapshot) {
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

// encode returns the encoded record of a body.
func encode(id string, kind record.Kind, by string, body any) (json.RawMessage, error) {
	env, err := record.New(id, kind, claim.Schema, by, body)
	if err != nil {
		return nil, err
	}
	return env.Encode()
}

// append appends one record.
func (k *KeyRunner) append(ctx context.Context, id string, kind record.Kind, body any) error {
	raw, err := encode(id, kind, k.self, body)
	if err != nil {
		return fmt.Errorf("%w: %w", logsvc.ErrRefused, err)
	}
	_, err = k.log.Append(logsvc.WithClass(ctx, logsvc.ClassClaim), claim.Stream, []json.RawMessage{raw})
	return err
}

// publish appends an outcome or a release in the background, together with others from the next
// publishDelay.
func (k *KeyRunner) publish(id string, kind record.Kind, body any) {
	raw, err := encode(id, kind, k.self, body)
	if err != nil {
		k.lg.Error("Outcome can't be encoded.", "record", id, "err", err)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.outbox = append(k.outbox, raw)
	if len(k.outbox) == 1 {
		k.unpublished.Add(1)
		time.AfterFunc(publishDelay, k.flush)
	}
}

// flush appends the outbox, with retries until the log accepts it, maxPublishTime has passed or Run has
// returned. Appending a record twice is harmless.
func (k *KeyRunner) flush() {
	defer k.unpublished.Done()
	k.mu.Lock()
	raws := k.outbox
	k.outbox = nil
	k.mu.Unlock()
	end := time.Now().Add(maxPublishTime)
	for time.Now().Before(end) && k.runCtx.Err() == nil {
		ctx, cancel := context.WithTimeout(logsvc.WithClass(k.runCtx, logsvc.ClassClaim), publishTimeout)
		_, err := k.log.Append(ctx, claim.Stream, raws)
		cancel()
		if err == nil {
			return
		}
		select {
		case <-k.runCtx.Done():
		case <-time.After(publishRetryInterval):
		}
	}
	k.lg.Warn("Outcomes were not published.", "records", len(raws))
}

// Drain waits until every outcome and release was published or given up, or ctx ends.
func (k *KeyRunner) Drain(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		k.unpublished.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
