// Package lease decides who owns a cell by records on the cell's log stream.
//
// A record names the offset of the lease record it replaces; the first in log order that names the
// newest one wins. The epoch is the offset of the take that began the ownership, so it only grows.
//
// No two holders overlap: the owner counts its lease from before it appended the record, a taker
// counts the same time from when it saw that record, which is later, and adds Margin for clocks that
// run at different rates.
package lease

import (
	"time"

	"github.com/crocusspring/crocusspring/internal/logsvc"
)

// Margin is added by a taker to the lease it waits out.
const Margin = 500 * time.Millisecond

// Op says what a lease record asks for.
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
	// Replaces is the offset of the newest lease record the writer had seen; 0 for none.
	Replaces logsvc.Offset `json:"replaces"`
	// LeaseMS is how long the record holds, in milliseconds.
	LeaseMS int64 `json:"lease_ms"`
	// Seq tells the appends of one holder apart, so that a lease is counted from its own append.
	Seq int64 `json:"seq"`
}

// Core is the lease of one cell as one process sees it. Use New to make one.
type Core struct {
	self   string
	length time.Duration

	holder string
	epoch  logsvc.Offset
	last   logsvc.Offset // offset of the newest accepted lease record
	seen   time.Time     // when last was seen here
	held   time.Duration // how long last holds

	sentAt   time.Time // when the pending append began; zero when none
	sentBody Body
	seq      int64
	validTil time.Time // until when this process may act as the owner
	leaving  bool
}

// New returns the lease of a cell that no one holds yet. Self is unique to this process start.
func New(self string, length time.Duration) *Core {
	return &Core{self: self, length: length}
}

// Seen folds one lease record of the stream at an offset and reports whether it was accepted.
func (c *Core) Seen(now time.Time, at logsvc.Offset, b Body) bool {
	if b.Holder == c.self && b == c.sentBody {
		defer c.settle()
	}
	if at <= c.last || b.Replaces != c.last {
		return false
	}
	if b.Op != OpTake && b.Holder != c.holder {
		return false
	}
	c.apply(now, at, b)
	return true
}

// apply makes an accepted record the newest.
func (c *Core) apply(now time.Time, at logsvc.Offset, b Body) {
	c.last = at
	c.seen = now
	c.held = time.Duration(b.LeaseMS) * time.Millisecond
	switch b.Op {
	case OpTake:
		c.holder, c.epoch = b.Holder, at
	case OpRelease:
		c.holder, c.held = "", 0
	}
	if c.holder != c.self {
		c.validTil = time.Time{}
		return
	}
	if b == c.sentBody && !c.sentAt.IsZero() {
		c.validTil = c.sentAt.Add(c.held)
	}
}

// settle forgets the pending append.
func (c *Core) settle() {
	c.sentAt, c.sentBody = time.Time{}, Body{}
}

// Tick returns the lease record to append now, if any. The caller appends it at once and must
// read forward to learn the verdict; the append's own answer carries no meaning.
func (c *Core) Tick(now time.Time) (Body, bool) {
	if !c.sentAt.IsZero() && now.Sub(c.sentAt) < c.length {
		return Body{}, false
	}
	op, ok := c.want(now)
	if !ok {
		return Body{}, false
	}
	c.sentAt = now
	c.seq++
	c.sentBody = Body{Op: op, Holder: c.self, Replaces: c.last, LeaseMS: c.length.Milliseconds(), Seq: c.seq}
	return c.sentBody, true
}

// want says which record the state calls for.
func (c *Core) want(now time.Time) (Op, bool) {
	if c.holder == c.self {
		if c.leaving {
			return OpRelease, true
		}
		return OpRenew, now.After(c.validTil.Add(-2 * c.length / 3))
	}
	if c.leaving {
		return "", false
	}
	if c.holder == "" {
		return OpTake, true
	}
	return OpTake, now.Sub(c.seen) > c.held+Margin
}

// Leave makes the core give the lease back and never take it again.
func (c *Core) Leave() { c.leaving = true }

// Owner reports whether this process may act as the owner now, and under which epoch.
func (c *Core) Owner(now time.Time) (logsvc.Offset, bool) {
	return c.epoch, c.holder == c.self && now.Before(c.validTil)
}

// Holder returns the holder in log order and its epoch; empty when released.
func (c *Core) Holder() (string, logsvc.Offset) { return c.holder, c.epoch }
