package lease

import (
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/internal/logsvc"
)

// While the log is unavailable nobody can renew and nobody can take. An owner can't distinguish that from
// being partitioned from the log on its own, so it extends its lease only by the promises of others: its
// newest record names voters, and each of them promises not to take the cell for a lease length.

// PromiseRequest is a holder's request to a voter not to take the cell for a lease length.
type PromiseRequest struct {
	Holder string        `json:"holder"`
	Epoch  logsvc.Offset `json:"epoch"`
	// Last is the offset of the holder's newest accepted record.
	Last logsvc.Offset `json:"last"`
}

// PromiseRequest returns the request for promises, and whether this process holds the lease under an epoch
// that it took since its last restore and is not leaving.
func (c *Core) PromiseRequest() (PromiseRequest, bool) {
	return PromiseRequest{c.opt.Self, c.epoch, c.newestOffset}, c.holder == c.opt.Self && !c.leaving && !c.restored
}

// NewestReadAt returns when this process read the newest accepted record.
func (c *Core) NewestReadAt() time.Time { return c.newestReadAt }

// RenewalLate reports whether this process holds the lease with less than half of its length left, so that
// promises may be needed before the next renewal.
func (c *Core) RenewalLate(now time.Time) bool {
	return c.holder == c.opt.Self && now.After(c.validUntil.Add(-c.opt.Length/2))
}

// SetVoters names the candidates that the next record is to list.
func (c *Core) SetVoters(voters []string) { c.nextVoters = voters }

// Promise answers a request: true binds this process not to take the cell for a lease length. It returns
// false when this process is leaving, is the holder itself, has read a newer record, or has a pending
// append that may still be accepted.
func (c *Core) Promise(now time.Time, r PromiseRequest) bool {
	if c.leaving || r.Holder == c.opt.Self || c.newestOffset > r.Last {
		return false
	}
	for _, s := range c.pending {
		if s.replaces >= r.Last {
			return false
		}
	}
	c.promisedRequest = r
	c.promisedUntil = now.Add(c.opt.Length + Margin)
	return true
}

// RecordPromise records a voter's promise, counted from when it was requested. A promise for an earlier record
// is ignored.
func (c *Core) RecordPromise(voter string, r PromiseRequest, requestedAt time.Time) {
	if r.Epoch != c.epoch || r.Last != c.newestOffset || c.holder != c.opt.Self {
		return
	}
	if requestedAt.After(c.promiseRequestedAt[voter]) {
		c.promiseRequestedAt[voter] = requestedAt
	}
}

// extendedUntil returns until when the promises of all voters extend the lease; zero if one is missing.
func (c *Core) extendedUntil() time.Time {
	if c.maxExtension == 0 || len(c.voters) == 0 {
		return time.Time{}
	}
	until := c.appendBegan.Add(c.maxExtension)
	for _, v := range c.voters {
		requestedAt, ok := c.promiseRequestedAt[v]
		if !ok {
			return time.Time{}
		}
		if t := requestedAt.Add(c.opt.Length); t.Before(until) {
			until = t
		}
	}
	return until
}

// takeAllowed reports whether no promise to the current holder keeps this process from taking the cell.
func (c *Core) takeAllowed(now time.Time) bool {
	toHolder := c.promisedRequest.Holder == c.holder && c.promisedRequest.Epoch == c.epoch
	return !toHolder || !now.Before(c.promisedUntil)
}

// takeDelay returns how long after it read the newest record this process may take the cell.
func (c *Core) takeDelay() time.Duration {
	if c.holder == "" {
		return c.opt.Delay
	}
	return c.opt.Delay + c.leaseLength + Margin
}

// PriorHolderUntil returns until when an earlier holder may still command workers that do not answer this
// one. The voters of a holder keep their promises, so they never take the cell while its lease is extended.
// A candidate that is not a voter still takes it after the lease without extension, since otherwise nobody
// could after all voters have died. From then on the log and every worker that the new holder reaches
// refuse the earlier epoch, and tasks on other workers are not declared lost before PriorHolderUntil and
// then their lease have passed.
func (c *Core) PriorHolderUntil() time.Time { return c.priorHolderUntil }

// nextPriorHolderUntil returns until when an earlier holder may still act once this process's record with
// the operation is accepted.
func (c *Core) nextPriorHolderUntil(op Op) time.Time {
	until := c.priorHolderUntil
	if op != OpTake || c.holder == "" || c.holder == c.opt.Self || c.maxExtension == 0 || slices.Contains(c.voters, c.opt.Self) {
		return until
	}
	if t := c.newestReadAt.Add(c.maxExtension + Margin); t.After(until) {
		return t
	}
	return until
}
