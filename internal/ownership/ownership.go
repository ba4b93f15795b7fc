// Package ownership decides which process owns the cell: a lease that is taken and renewed by appends
// under the condition that nothing came in between.
//
// The owner counts its lease from before it sent the record that granted it. A taker counts the same
// time from when it saw that record, which is later, and its append fails if the record was renewed.
// So two owners never overlap as long as clocks run at nearly the same rate.
package ownership

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/crocusspring/crocusspring/internal/store"
)

// Key is the key of the lease in its topic.
const Key = "cell"

// Lease is the record that grants ownership.
type Lease struct {
	// Node and Life name the process; Life differs for each of its starts.
	Node string `json:"node"`
	Life string `json:"life"`
	// Addr is where the owner serves guards and entries.
	Addr string `json:"addr"`
	// Epoch rises with each take; it fences earlier owners.
	Epoch int64 `json:"epoch"`
	// Seq numbers the records of an epoch.
	Seq int64 `json:"seq"`
	// Released says that the owner has given the cell back.
	Released bool `json:"released,omitempty"`
}

// Options are the fixed parameters of a core.
type Options struct {
	Node, Life, Addr string
	// Candidate says whether this process may take the cell.
	Candidate bool
	// Length is how long a lease holds without renewal, RenewEvery the time between renewals.
	Length, RenewEvery time.Duration
	// Margin is added before a lease of another process is taken, for clocks that run at different rates.
	Margin time.Duration
	// Stagger is added on top, different for each candidate, so that they don't all try at once.
	Stagger time.Duration
}

// Core is the lease as one process sees it. Use New to make one.
type Core struct {
	opt Options
	// end is the end of the topic as far as it is known, and lease its newest record, seen at heard.
	end   store.Offset
	lease *Lease
	heard time.Time
	read  bool
	// until is the end of the own lease, under epoch own; 0 for none.
	own   int64
	until time.Time
	// sent is when the append of each unanswered record began, by epoch and sequence number.
	sent    map[[2]int64]time.Time
	seq     int64
	tried   time.Time
	leaving bool
}

// New returns a core that has read nothing yet.
func New(opt Options) *Core { return &Core{opt: opt, sent: map[[2]int64]time.Time{}} }

// Seen takes what was read from the topic: its records in order and its end.
func (c *Core) Seen(now time.Time, records []store.Record, end store.Offset) error {
	c.read = true
	c.end = max(c.end, end)
	for _, r := range records {
		if r.Key != Key {
			continue
		}
		var l Lease
		if err := json.Unmarshal(r.Value, &l); err != nil {
			return fmt.Errorf("lease at offset %d: %w", r.Offset, err)
		}
		c.seen(now, l)
	}
	return nil
}

// seen takes one record of the lease.
func (c *Core) seen(now time.Time, l Lease) {
	if c.lease != nil && (l.Epoch < c.lease.Epoch || l.Epoch == c.lease.Epoch && l.Seq <= c.lease.Seq) {
		return
	}
	c.lease, c.heard = &l, now
	if !c.mine() {
		c.own = 0
		return
	}
	c.own = l.Epoch
	began, ok := c.sent[[2]int64{l.Epoch, l.Seq}]
	if ok && !l.Released {
		c.until = later(c.until, began.Add(c.opt.Length))
	}
	for k := range c.sent {
		if k[0] < l.Epoch || k[0] == l.Epoch && k[1] <= l.Seq {
			delete(c.sent, k)
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

// mine reports whether the newest lease is of this life of this process.
func (c *Core) mine() bool {
	return c.lease != nil && c.lease.Node == c.opt.Node && c.lease.Life == c.opt.Life
}

// Owner reports whether this process owns the cell now, and under which epoch.
func (c *Core) Owner(now time.Time) (int64, bool) {
	if c.own == 0 || !now.Before(c.until) {
		return 0, false
	}
	return c.own, true
}

// Holds reports whether the newest lease known is this process's, lapsed or not, and its epoch.
func (c *Core) Holds() (int64, bool) { return c.own, c.own != 0 }

// Lapsed returns how long ago the own lease ended; negative while it holds.
func (c *Core) Lapsed(now time.Time) time.Duration { return now.Sub(c.until) }

// Holder returns the newest lease known.
func (c *Core) Holder() (Lease, bool) {
	if c.lease == nil || c.lease.Released {
		return Lease{}, false
	}
	return *c.lease, true
}

// Next returns the record to append now and the offset it must go to; false for none.
func (c *Core) Next(now time.Time) (store.Record, store.Offset, bool) {
	if !c.opt.Candidate || !c.read || c.leaving || now.Sub(c.tried) < c.opt.RenewEvery/4 {
		return store.Record{}, 0, false
	}
	l := Lease{Node: c.opt.Node, Life: c.opt.Life, Addr: c.opt.Addr}
	switch {
	case c.own != 0:
		if now.Before(c.until.Add(-c.opt.Length + c.opt.RenewEvery)) {
			return store.Record{}, 0, false
		}
		l.Epoch = c.own
	case c.takeable(now):
		l.Epoch = 1
		if c.lease != nil {
			l.Epoch = c.lease.Epoch + 1
		}
	default:
		return store.Record{}, 0, false
	}
	return c.record(now, l)
}

// takeable reports whether nobody else can own the cell now.
func (c *Core) takeable(now time.Time) bool {
	if c.lease == nil || c.lease.Released || c.lease.Node == c.opt.Node {
		return true
	}
	return now.Sub(c.heard) > c.opt.Length+c.opt.Margin+c.opt.Stagger
}

// record numbers a lease and notes when its append begins.
func (c *Core) record(now time.Time, l Lease) (store.Record, store.Offset, bool) {
	c.seq++
	l.Seq = c.seq
	c.tried = now
	c.sent[[2]int64{l.Epoch, l.Seq}] = now
	value, err := json.Marshal(l)
	if err != nil {
		return store.Record{}, 0, false
	}
	return store.Record{Key: Key, Value: value}, c.end, true
}

// Appended takes the answer to an append that Next asked for. An unknown outcome is settled by reading.
func (c *Core) Appended(now time.Time, r store.Record, at store.Offset) error {
	return c.Seen(now, []store.Record{{Key: r.Key, Value: r.Value, Offset: at}}, at+1)
}

// Leave returns the record that gives the cell back; false when this process doesn't own it.
func (c *Core) Leave(now time.Time) (store.Record, store.Offset, bool) {
	c.leaving = true
	if c.own == 0 {
		return store.Record{}, 0, false
	}
	l := Lease{Node: c.opt.Node, Life: c.opt.Life, Addr: c.opt.Addr, Epoch: c.own, Released: true}
	c.until = now
	return c.record(now, l)
}
