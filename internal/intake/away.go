package intake

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/store"
)

const (
	// findDelay is the time between two searches for a way to the store while none is known.
	findDelay = 150 * time.Millisecond
	// findTimeout bounds one search.
	findTimeout = 400 * time.Millisecond
)

// loseStore records that a batch couldn't be stored by any way. Unless the store answers meanwhile, pending and further
// records are refused at once until a way is found, since none of them was sent. Records with an unknown outcome are
// stored as soon as a way is found, so that a caller who asks again learns one answer.
func (in *Intake) loseStore(records []store.Record, cause error, answers bool) {
	in.mu.Lock()
	if errors.Is(cause, ErrUnknown) {
		for _, r := range records {
			in.unresolved[r.Key] = unresolvedRecord{r, time.Now()}
		}
	}
	unknown := len(in.unresolved)
	lost := !answers && !in.away
	if lost {
		in.away, in.awaySince = true, time.Now()
		for _, k := range in.pending {
			in.finish(k, errNotSent(errAway))
		}
		in.pending = nil
	}
	if find := !in.finding && (in.away || unknown > 0); find {
		in.finding = true
		go in.findStore()
	}
	in.mu.Unlock()
	if lost {
		in.log.Warn(event.StoreLost, "unknown", unknown, "err", cause)
	}
}

// findStore searches for a way to the store if none is known, stores what is unresolved, and then lets jobs be accepted
// again.
func (in *Intake) findStore() {
	for {
		time.Sleep(findDelay)
		lost := !in.Available()
		if (!lost || in.findOnce()) && in.resolve() {
			if lost {
				in.log.Info(event.StoreRegained)
			}
			return
		}
	}
}

// findOnce reports whether this node or another one that it can reach has a way to the store.
func (in *Intake) findOnce() bool {
	ctx, cancel := context.WithTimeout(context.Background(), findTimeout)
	defer cancel()
	addrs := in.relays()
	found := make(chan bool, 1+len(addrs))
	go func() {
		found <- store.Check(ctx, in.store) == nil
	}()
	for _, addr := range addrs {
		go func() { found <- in.client.CheckStore(ctx, addr) == nil }()
	}
	for range 1 + len(addrs) {
		if <-found {
			return true
		}
	}
	return false
}

// resolve stores the records whose outcome is unknown, but for those older than maxUnresolvedAge. It reports whether none is left; then jobs are accepted
// again.
func (in *Intake) resolve() bool {
	for {
		in.mu.Lock()
		records := in.unresolvedRecords(time.Now())
		if len(records) == 0 {
			in.away, in.finding = false, false
			in.mu.Unlock()
			return true
		}
		in.mu.Unlock()
		for batch := range slices.Chunk(records, maxBatch) {
			for _, call := range in.store.Limits().Calls(batch) {
				if !in.resolveCall(call) {
					return false
				}
			}
		}
	}
}

// resolveCall stores the unresolved records of one append. Records that the store rejects are resolved as well: they are
// certain not to be stored.
func (in *Intake) resolveCall(records []store.Record) bool {
	direct := in.turn()
	err := in.storeAnyWay(records, direct)
	in.release(direct)
	switch rejected := errors.Is(err, store.ErrRejected); {
	case rejected && len(records) > 1:
		for i := range records {
			if !in.resolveCall(records[i : i+1]) {
				return false
			}
		}
		return true
	case err != nil && !rejected:
		return false
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	for _, r := range records {
		delete(in.unresolved, r.Key)
	}
	return true
}

// Available reports whether a way to the store is known, so that jobs are accepted.
func (in *Intake) Available() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return !in.away
}

const (
	// minRetryAfter is the shortest Retry-After: callers learn it in whole seconds.
	minRetryAfter = time.Second
	// longAway is how long the store must be away before callers are spread over two seconds, so that they don't
	// all return at the same time.
	longAway = 2 * time.Second
)

// RetryAfter returns when a refused caller should return, in whole seconds.
func (in *Intake) RetryAfter() time.Duration {
	in.mu.Lock()
	defer in.mu.Unlock()
	if !in.away || time.Since(in.awaySince) < longAway {
		return minRetryAfter
	}
	return minRetryAfter * time.Duration(1+rand.IntN(2))
}
