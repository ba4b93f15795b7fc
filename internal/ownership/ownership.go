// Package ownership decides which process owns the cell: the one that holds a lease, which is taken and renewed
// by conditional appends to a topic of the store. An append fails if another record came in between.
//
// The owner counts its lease from before it sent the record that granted it. Another candidate counts the
// same time from when it read that record, which is later, and its append fails if the lease was renewed.
// So two ownerships never overlap as long as clocks run at nearly the same rate.
//
// The epoch of an ownership follows from the offset at which it was taken, so that it exceeds all earlier ones, whatever the
// newest record says: other writers may have left one that is no lease.
package ownership

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/crocusspring/crocusspring/internal/store"
)

// Key is the key of the lease in its topic.
const Key = "cell"

// Lease is the record that grants ownership.
type Lease struct {
	// Node names the process, and Incarnation differs for each of its starts.
	Node        string `json:"node"`
	Incarnation string `json:"life"`
	// Addr is where the owner serves guards and entries.
	Addr string `json:"addr"`
	// Epoch increases with each takeover; it fences earlier owners. It is the offset of the first record of the ownership
	// plus one, or less.
	Epoch int64 `json:"epoch"`
	// Seq increases with each record that an incarnation appends.
	Seq int64 `json:"seq"`
	// Released means that the owner has released the cell.
	Released bool `json:"released,omitempty"`
}

// Options are the fixed parameters of a core.
type Options struct {
	Node, Incarnation, Addr string
	// Candidate says whether this process may take the cell.
	Candidate bool
	// Length is how long a lease lasts without renewal, RenewEvery the time between renewals.
	Length, RenewEvery time.Duration
	// Margin is added to Length before another process's lease counts as expired, for clocks that run at
	// different rates.
	Margin time.Duration
	// Stagger is added to that, different for each candidate, so that they don't all try at once.
	Stagger time.Duration
}

// Core is the state of the lease as one process knows it. Use New to make one.
type Core struct {
	opt Options
	// end is the known end of the topic, and lease its newest record, first read at readAt.
	end    store.Offset
	lease  *Lease
	readAt time.Time
	synced bool // the topic has been read
	// obscuredAt is when the first record since lease was read that is no lease, zero for none: an owner's lease may be
	// hidden behind it.
	obscuredAt time.Time
	// ownEpoch is the epoch of this process's lease, 0 for none, and ownUntil the end of that lease.
	ownEpoch int64
	ownUntil time.Time
	// appendStarted holds when the append of each unconfirmed record started, by epoch and sequence number.
	appendStarted map[[2]int64]time.Time
	seq           int64     // of the last record
	triedAt       time.Time // start of the last append
	releasing     bool      // the lease is not taken or renewed any more
}

// New returns a core that hasn't read the topic yet.
func New(opt Options) *Core { return &Core{opt: opt, appendStarted: map[[2]int64]time.Time{}} }

// Observe processes what was read from the topic: its records in order and its end. Records that are no leases are
// reported together and otherwise ignored.
func (c *Core) Observe(now time.Time, records []store.Record, end store.Offset) error {
	c.synced = true
	c.end = max(c.end, end)
	var errs []error
	for _, r := range records {
		if r.Key != Key {
			continue
		}
		l, err := decodeLease(r)
		if err != nil {
			errs = append(errs, fmt.Errorf("lease at offset %d: %w", r.Offset, err))
			if c.obscuredAt.IsZero() {
				c.obscuredAt = now
			}
			continue
		}
		c.observeLease(now, l)
	}
	if c.lease == nil && c.end > 0 && c.obscuredAt.IsZero() {
		// Another writer has deleted the newest lease.
		c.obscuredAt = now
	}
	return errors.Join(errs...)
}

// errNoLease means that a record has the form of a lease but can't be one.
var errNoLease = errors.New("no owner writes such a lease")

// decodeLease decodes a record of the lease.
func decodeLease(r store.Record) (Lease, error) {
	var l Lease
	if err := json.Unmarshal(r.Value, &l); err != nil {
		return l, err
	}
	if l.Epoch < 1 || l.Epoch > int64(r.Offset)+1 || l.Seq < 1 || l.Node == "" {
		return l, fmt.Errorf("%w: node %q, epoch %d, seq %d", errNoLease, l.Node, l.Epoch, l.Seq)
	}
	return l, nil
}

// observeLease processes one record of the lease; older ones than the newest known are ignored.
func (c *Core) observeLease(now time.Time, l Lease) {
	if c.lease != nil && (l.Epoch < c.lease.Epoch || l.Epoch == c.lease.Epoch && l.Seq <= c.lease.Seq) {
		return
	}
	c.lease, c.readAt, c.obscuredAt = &l, now, time.Time{}
	if !c.isOwn() {
		c.ownEpoch = 0
		return
	}
	c.ownEpoch = l.Epoch
	began, ok := c.appendStarted[[2]int64{l.Epoch, l.Seq}]
	if ok && !l.Released {
		c.ownUntil = later(c.ownUntil, began.Add(c.opt.Length))
	}
	for k := range c.appendStarted {
		if k[0] < l.Epoch || k[0] == l.Epoch && k[1] <= l.Seq {
			delete(c.appendStarted, k)
		}
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// isOwn reports whether this incarnation of this process wrote the newest lease.
func (c *Core) isOwn() bool {
	return c.lease != nil && c.lease.Node == c.opt.Node && c.lease.Incarnation == c.opt.Incarnation
}

// Owner reports whether this process owns the cell now with an unexpired lease, and its epoch.
func (c *Core) Owner(now time.Time) (int64, bool) {
	if c.ownEpoch == 0 || !now.Before(c.ownUntil) {
		return 0, false
	}
	return c.ownEpoch, true
}

// Holds reports whether the newest known lease is this process's, expired or not, and its epoch.
func (c *Core) Holds() (int64, bool) { return c.ownEpoch, c.ownEpoch != 0 }

// SinceExpiry returns how long ago this process's lease expired; negative before that.
func (c *Core) SinceExpiry(now time.Time) time.Duration { return now.Sub(c.ownUntil) }

// Holder returns the newest known lease unless it was released.
func (c *Core) Holder() (Lease, bool) {
	if c.lease == nil || c.lease.Released {
		return Lease{}, false
	}
	return *c.lease, true
}

// Next returns the record to append now, to take or renew the lease, and the offset it must go to; false when
// nothing is due.
func (c *Core) Next(now time.Time) (store.Record, store.Offset, bool) {
	if !c.opt.Candidate || !c.synced || c.releasing || now.Sub(c.triedAt) < c.opt.RenewEvery/4 {
		return store.Record{}, 0, false
	}
	l := Lease{Node: c.opt.Node, Incarnation: c.opt.Incarnation, Addr: c.opt.Addr}
	switch {
	case c.ownEpoch != 0:
		if now.Before(c.ownUntil.Add(-c.opt.Length + c.opt.RenewEvery)) {
			return store.Record{}, 0, false
		}
		l.Epoch = c.ownEpoch
	case c.takeable(now):
		l.Epoch = int64(c.end) + 1
	default:
		return store.Record{}, 0, false
	}
	return c.record(now, l)
}

// takeable reports whether no other process can own the cell now. A lease of an earlier incarnation on the same
// node is void at once.
func (c *Core) takeable(now time.Time) bool {
	wait := c.opt.Length + c.opt.Margin + c.opt.Stagger
	if !c.obscuredAt.IsZero() && now.Sub(c.obscuredAt) <= wait {
		return false
	}
	if c.lease == nil || c.lease.Released || c.lease.Node == c.opt.Node {
		return true
	}
	return now.Sub(c.readAt) > wait
}

// record returns the record of a lease with the next sequence number, and the offset for it. It records when
// the append starts.
func (c *Core) record(now time.Time, l Lease) (store.Record, store.Offset, bool) {
	c.seq++
	l.Seq = c.seq
	c.triedAt = now
	c.appendStarted[[2]int64{l.Epoch, l.Seq}] = now
	value, err := json.Marshal(l)
	if err != nil {
		return store.Record{}, 0, false
	}
	return store.Record{Key: Key, Value: value}, c.end, true
}

// Appended records the success of an append that Next asked for. An unknown outcome is resolved by reading the
// topic.
func (c *Core) Appended(now time.Time, r store.Record, at store.Offset) error {
	return c.Observe(now, []store.Record{{Key: r.Key, Value: r.Value, Offset: at}}, at+1)
}

// Release returns the record that releases the cell, and its offset; false when this process doesn't hold the
// lease. From then on the lease is not taken or renewed.
func (c *Core) Release(now time.Time) (store.Record, store.Offset, bool) {
	c.releasing = true
	if c.ownEpoch == 0 {
		return store.Record{}, 0, false
	}
	l := Lease{Node: c.opt.Node, Incarnation: c.opt.Incarnation, Addr: c.opt.Addr, Epoch: c.ownEpoch, Released: true}
	c.ownUntil = now
	return c.record(now, l)
}
