// Package lease decides who owns a cell by records on the cell's log stream.
//
// A record names the offset of the lease record it replaces; the first in log order that names the
// newest accepted one wins. The epoch is the offset of the take that began the ownership, so it only grows.
//
// Unextended leases of two holders never overlap: the owner counts its lease from before it appended the
// record, a taker counts the same duration from when it read that record, which is later, and adds Margin
// for clocks that run at different rates. While the log is unavailable a holder may extend its lease by the
// promises of voters. A taker that is not one of these voters may overlap with such a holder;
// PriorHolderUntil returns until when.
package lease

import (
	"time"

	"github.com/crocusspring/crocusspring/internal/chart"
	"github.com/crocusspring/crocusspring/internal/logsvc"
)

// Margin is added by a taker to the lease it waits out, for clocks that run at different rates.
const Margin = 500 * time.Millisecond

const (
	// renewDivisor sets when a lease is renewed: after its length divided by renewDivisor.
	renewDivisor = 3
	// retryDivisor sets when an append without a known outcome is retried: after the lease length divided
	// by retryDivisor.
	retryDivisor = 6
)

// Op is the operation of a lease record.
type Op string

// Operations of a lease record.
const (
	OpTake    Op = "take"
	OpRenew   Op = "renew"
	OpRelease Op = "release"
)

// Body is the body of a lease record.
type Body struct {
	Op     Op     `json:"op"`
	Holder string `json:"holder"`
	// Replaces is the offset of the newest accepted lease record that the writer had read; 0 for none.
	Replaces logsvc.Offset `json:"replaces"`
	// LeaseMS is the lease length that the record grants, in milliseconds.
	LeaseMS int64 `json:"lease_ms"`
	// TaskLeaseMS is how long tasks may run without contact to the holder, in milliseconds.
	TaskLeaseMS int64 `json:"task_lease_ms,omitempty"`
	// Seq numbers the appends of one holder, so that a lease is counted from the start of its own append.
	Seq int64 `json:"seq"`
	// Voters are the candidates whose promises let the holder extend its lease, up to MaxExtensionMS
	// milliseconds after it began to append the record.
	Voters         []string `json:"voters,omitempty"`
	MaxExtensionMS int64    `json:"stretch_ms,omitempty"`
	// PriorHolderMS is for how many milliseconds after the record an earlier holder may still command
	// workers; see PriorHolderUntil.
	PriorHolderMS int64 `json:"ghost_ms,omitempty"`
}

// Options are the fixed parameters of a lease.
type Options struct {
	// Self is unique to this incarnation of the process.
	Self   string
	Length time.Duration
	// TaskLease is the task lease written into records; the next owner waits it out.
	TaskLease time.Duration
	// Delay is waited before a take in addition to the old lease, so that a preferred candidate takes first.
	Delay time.Duration
	// MaxExtension bounds how long voters' promises may extend a lease while the log is unavailable, counted from
	// the append of its newest record; 0 disables extension.
	MaxExtension time.Duration
}

// Core is one process's view of the lease of a cell, without I/O. Use New to make one.
type Core struct {
	opt Options

	holder       string
	epoch        logsvc.Offset
	newestOffset logsvc.Offset // offset of the newest accepted lease record
	leaseLength  time.Duration // lease length of the newest accepted record
	maxTaskLease time.Duration // longest task lease in any accepted record
	newestReadAt time.Time     // when that record was read, or else the first Tick; zero before

	voters       []string      // of the newest accepted record
	maxExtension time.Duration // extension bound of the newest accepted record
	nextVoters   []string      // candidates that the next record names as voters

	promiseRequestedAt map[string]time.Time // by voter, for the newest record: when its newest promise was requested
	appendBegan        time.Time            // when the append of the newest record began; zero if not its writer

	priorHolderMS    int64     // of the newest accepted record
	priorHolderUntil time.Time // until when an earlier holder may still command workers

	promisedRequest PromiseRequest // the request for which this process has promised not to take the cell
	promisedUntil   time.Time      // when that promise ends

	pending        map[int64]pendingAppend // appends without a known outcome, by sequence number
	newestAppendAt time.Time               // when the newest of them began; zero if there are none
	seq            int64
	validUntil     time.Time // until when this process may act as the owner
	leaving        bool
	restored       bool // restored from a snapshot; what this process did under the present epoch is unknown
}

// New returns the lease of a cell before any record is read: without a holder.
func New(opt Options) *Core {
	return &Core{opt: opt, pending: map[int64]pendingAppend{}, promiseRequestedAt: map[string]time.Time{}}
}

// pendingAppend is an append whose outcome is not known.
type pendingAppend struct {
	began    time.Time
	replaces logsvc.Offset
}

// Fold applies the lease record at an offset of the stream and reports whether it was accepted.
func (c *Core) Fold(now time.Time, at logsvc.Offset, b Body) bool {
	if b.Holder == c.opt.Self {
		defer c.dropPending(b.Seq)
	}
	if at <= c.newestOffset || b.Replaces != c.newestOffset {
		return false
	}
	if b.Op != OpTake && b.Holder != c.holder {
		return false
	}
	to, ok := c.nextState(b.Op)
	if !ok {
		return false
	}
	c.apply(now, at, b, to)
	return true
}

// apply makes an accepted record the newest one; to is the chart state after it.
func (c *Core) apply(now time.Time, at logsvc.Offset, b Body, to chart.State) {
	c.newestOffset, c.newestReadAt = at, now
	c.leaseLength = time.Duration(b.LeaseMS) * time.Millisecond
	c.maxTaskLease = max(c.maxTaskLease, time.Duration(b.TaskLeaseMS)*time.Millisecond)
	c.voters, c.maxExtension = b.Voters, time.Duration(b.MaxExtensionMS)*time.Millisecond
	c.promiseRequestedAt, c.appendBegan = map[string]time.Time{}, time.Time{}
	c.priorHolderMS, c.priorHolderUntil = b.PriorHolderMS, time.Time{}
	if b.PriorHolderMS > 0 {
		c.priorHolderUntil = now.Add(time.Duration(b.PriorHolderMS) * time.Millisecond)
	}
	if b.Op == OpTake {
		c.holder, c.epoch, c.restored = b.Holder, at, false
	}
	if to == stateFree {
		c.holder, c.leaseLength = "", 0
	}
	if c.holder != c.opt.Self {
		c.validUntil = time.Time{}
		return
	}
	// The lease is counted from before this append began; an append that is no longer pending grants nothing.
	if s, ok := c.pending[b.Seq]; ok {
		c.appendBegan, c.validUntil = s.began, s.began.Add(c.leaseLength)
		if b.PriorHolderMS > 0 {
			c.priorHolderUntil = s.began.Add(time.Duration(b.PriorHolderMS) * time.Millisecond)
		}
	}
}

// dropPending drops pending appends up to a sequence number: each names the record that it replaces, so
// once one is in the log the older ones can no longer be accepted.
func (c *Core) dropPending(seq int64) {
	for s := range c.pending {
		if s <= seq {
			delete(c.pending, s)
		}
	}
	if len(c.pending) == 0 {
		c.newestAppendAt = time.Time{}
	}
}

// Tick returns the lease record to append now, if any. The caller appends it at once and must read the
// stream to learn whether it was accepted; the result of the append itself does not say so.
func (c *Core) Tick(now time.Time) (Body, bool) {
	if !c.newestAppendAt.IsZero() && now.Sub(c.newestAppendAt) < c.opt.Length/retryDivisor {
		return Body{}, false
	}
	op, ok := c.nextOp(now)
	if !ok {
		return Body{}, false
	}
	c.seq++
	c.newestAppendAt, c.pending[c.seq] = now, pendingAppend{now, c.newestOffset}
	b := Body{
		Op: op, Holder: c.opt.Self, Replaces: c.newestOffset, LeaseMS: c.opt.Length.Milliseconds(),
		TaskLeaseMS: c.opt.TaskLease.Milliseconds(), Seq: c.seq,
	}
	if remaining := c.nextPriorHolderUntil(op).Sub(now); remaining > 0 {
		b.PriorHolderMS = (remaining + time.Millisecond - 1).Milliseconds()
	}
	if op != OpRelease && len(c.nextVoters) > 0 && c.opt.MaxExtension > 0 {
		b.Voters, b.MaxExtensionMS = c.nextVoters, c.opt.MaxExtension.Milliseconds()
	}
	return b, true
}

// nextOp returns the operation of the record to append in the current state, and whether to append it now.
func (c *Core) nextOp(now time.Time) (Op, bool) {
	if c.holder == c.opt.Self {
		if c.leaving {
			return OpRelease, true
		}
		if c.restored {
			return OpTake, true
		}
		return OpRenew, now.After(c.validUntil.Add(c.opt.Length/renewDivisor - c.opt.Length))
	}
	if c.leaving {
		return "", false
	}
	if c.newestReadAt.IsZero() {
		c.newestReadAt = now
	}
	wait := c.takeDelay()
	if c.holder == "" {
		return OpTake, now.Sub(c.newestReadAt) >= wait
	}
	return OpTake, now.Sub(c.newestReadAt) > wait && c.takeAllowed(now)
}

// Leave makes the core release the lease and never take it again.
func (c *Core) Leave() { c.leaving = true }

// Owner returns the current epoch and reports whether this process may act as the owner now.
func (c *Core) Owner(now time.Time) (logsvc.Offset, bool) {
	if c.holder != c.opt.Self || c.appendBegan.IsZero() {
		return c.epoch, false
	}
	return c.epoch, now.Before(c.validUntil) || now.Before(c.extendedUntil())
}

// Holder returns the holder by the newest accepted record, empty after a release, and the newest epoch.
func (c *Core) Holder() (string, logsvc.Offset) { return c.holder, c.epoch }

// TaskLease returns the longest task lease of any holder so far, this process's own setting included.
func (c *Core) TaskLease() time.Duration { return max(c.maxTaskLease, c.opt.TaskLease) }
