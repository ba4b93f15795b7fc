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

// confirmTimeout bounds the queries to other processes before a request with a key is refused.
const confirmTimeout = 150 * time.Millisecond

// refuse returns the reply to a request with a key that this process does not run. The caller may have sent
// the key through another process as well, perhaps while this one was paused, so the request is reported as
// not run only if every other process confirms that it has no claim of the key.
func (k *KeyRunner) refuse(key claim.Key, reason string) dispatch.Reply {
	r := refused(reason, logRetryAfter)
	if !k.noPeerRan(key) {
		r = unknown(reason + ", and another process may have run the request with this key")
		r.RetryAfter = logRetryAfter
	}
	return r
}

// noPeerRan queries every other process for a key, and reports whether each confirmed that it has no claim
// of it and that its fold has no gap. A process that does not answer counts as one that may have run the
// request.
func (k *KeyRunner) noPeerRan(key claim.Key) bool {
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
