package claimrun

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	peerv1 "github.com/crocusspring/crocusspring/api/peer/v1"
	"github.com/crocusspring/crocusspring/internal/claim"
	"github.com/crocusspring/crocusspring/internal/dispatch"
)

// confirmTimeout bounds the questions to other processes before a request with a key is refused.
const confirmTimeout = 150 * time.Millisecond

// refuse ends a request with a key that this process does not run. The caller may have sent the key
// through another process as well, perhaps while this one was paused, so the request is told as not
// run only when every other process is sure that it has had nothing to do with the key.
func (k *Keeper) refuse(key claim.Key, reason string) dispatch.Reply {
	r := refused(reason, logRetry)
	if !k.nobodyRan(key) {
		r = unknown(reason + ", and another process may have run the request with this key")
		r.RetryAfter = logRetry
	}
	return r
}

// nobodyRan asks every other process about a key.
func (k *Keeper) nobodyRan(key claim.Key) bool {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	var unsure atomic.Bool
	var wg sync.WaitGroup
	for _, addr := range k.others {
		wg.Go(func() {
			resp, err := k.peers.CallOutcome(ctx, addr, &peerv1.OutcomeRequest{Key: string(key)})
			if err != nil || resp.Known || !resp.Sure {
				unsure.Store(true)
			}
		})
	}
	wg.Wait()
	return !unsure.Load()
}
