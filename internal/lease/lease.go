// Package lease decides who owns a cell by records on the cell's log stream.
//
// A record names the offset of the lease record it replaces; the first in log order that names the
// newest one wins. The epoch is the offset of the take that began the ownership, so it only grows.
//
// The plain leases of two holders never overlap: the owner counts its lease from before it appended the
// record, a taker counts the same time from when it saw that record, which is later, and adds Margin for
// clocks that run at different rates. While the log is down a holder may go on by the word of voters; a
// taker that is no voter may meet such a holder, and Ghost tells it until when.
package lease

import (
	"time"

	"github.com/crocusspring/crocusspring/internal/chart"
	"github.com/crocusspring/crocusspring/internal/logsvc"
)

// Margin is added by a taker to the lease it waits out.
const Margin = 500 * time.Millisecond

const (
	// renewPart is the part of the lease after which it is renewed.
	renewPart = 3
	// retryPart is the part of the lease after which an unsettled append is made anew.
	retryPart = 6
)

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
	// TaskLeaseMS is how long the holder lets tasks run without it, in milliseconds.
	TaskLeaseMS int64 `json:"task_lease_ms,omitempty"`
	// Seq tells the appends of one holder apart, so that a lease is counted from its own append.
	Seq int64 `json:"seq"`
	// Voters are the candidates by whose word the holder may stretch its lease, up to StretchMS after
	// the record was appended.
	Voters    []string `json:"voters,omitempty"`
	StretchMS int64    `json:"stretch_ms,omitempty"`
	// GhostMS is for how long after the record an earlier holder may still drive workers; see Ghost.
	GhostMS int64 `json:"ghost_ms,omitempty"`
}

// Options are the fixed parameters of a lease.
type Options struct {
	// Self is unique to this start of the process.
	Self   string
	Length time.Duration
	// TaskLength is put into records for the next owner to wait out.
	TaskLength time.Duration
	// Delay is waited before a take on top of the old lease, so that a preferred candidate comes first.
	Delay time.Duration
	// Stretch bounds how long a holder goes on by the word of voters while the log is down; 0 for not.
	Stretch time.Duration
}

// Core is the lease of one cell as one process sees it. Use New to make one.
type Core struct {
	opt Options

	holder string
	epoch  logsvc.Offset
	last   logsvc.Offset // offset of the newest accepted lease record
	held   time.Duration // how long last holds
	tasks  time.Duration // longest task lease any record has named
	seen   time.Time     // when last was seen here; zero when nothing was seen

	voters  []string      // of the newest accepted record
	stretch time.Duration // likewise
	peers   []string      // candidates that the next record names as voters

	words map[string]time.Time // when each voter was asked that gave its word under the newest record
	base  time.Time            // when the append of the newest record began, if it was this process's

	ghostMS  int64     // of the newest accepted record
	ghostTil time.Time // until when an earlier holder may still drive workers

	bound    Ask       // whom this process has promised not to take the cell
	boundTil time.Time // until when

	sent     map[int64]sending // unsettled appends by sequence number
	sentAt   time.Time         // when the newest of them began; zero when none
	seq      int64
	validTil time.Time // until when this process may act as the owner
	leaving  bool
	restored bool // what this process did under the present epoch is not known
}

// New returns the lease of a cell that no one holds yet.
func New(opt Options) *Core {
	return &Core{opt: opt, sent: map[int64]sending{}, words: map[string]time.Time{}}
}

// sending is an append whose outcome is not known.
type sending struct {
	began    time.Time
	replaces logsvc.Offset
}

// Seen folds one lease record of the stream at an offset and reports whether it was accepted.
func (c *Core) Seen(now time.Time, at logsvc.Offset, b Body) bool {
	if b.Holder == c.opt.Self {
		defer c.settle(b.Seq)
	}
	if at <= c.last || b.Replaces != c.last {
		return false
	}
	if b.Op != OpTake && b.Holder != c.holder {
		return false
	}
	to, ok := c.next(b.Op)
	if !ok {
		return false
	}
	c.apply(now, at, b, to)
	return true
}

// apply makes an accepted record, which leads to a state of the chart, the newest.
func (c *Core) apply(now time.Time, at logsvc.Offset, b Body, to chart.State) {
	c.last, c.seen = at, now
	c.held = time.Duration(b.LeaseMS) * time.Millisecond
	c.tasks = max(c.tasks, time.Duration(b.TaskLeaseMS)*time.Millisecond)
	c.voters, c.stretch = b.Voters, time.Duration(b.StretchMS)*time.Millisecond
	c.words, c.base = map[string]time.Time{}, time.Time{}
	c.ghostMS, c.ghostTil = b.GhostMS, time.Time{}
	if b.GhostMS > 0 {
		c.ghostTil = now.Add(time.Duration(b.GhostMS) * time.Millisecond)
	}
	if b.Op == OpTake {
		c.holder, c.epoch, c.restored = b.Holder, at, false
	}
	if to == stateFree {
		c.holder, c.held = "", 0
	}
	if c.holder != c.opt.Self {
		c.validTil = time.Time{}
		return
	}
	// The lease runs from before this very append was made; an append nobody remembers gives nothing.
	if s, ok := c.sent[b.Seq]; ok {
		c.base, c.validTil = s.began, s.began.Add(c.held)
		if b.GhostMS > 0 {
			c.ghostTil = s.began.Add(time.Duration(b.GhostMS) * time.Millisecond)
		}
	}
}

// settle forgets appends up to a sequence number: each names the record that it replaces, so once one
// stands in the log the older ones can no longer be accepted.
func (c *Core) settle(seq int64) {
	for s := range c.sent {
		if s <= seq {
			delete(c.sent, s)
		}
	}
	if len(c.sent) == 0 {
		c.sentAt = time.Time{}
	}
}

// Tick returns the lease record to append now, if any. The caller appends it at once and must
// read forward to learn the verdict; the append's own answer carries no meaning.
func (c *Core) Tick(now time.Time) (Body, bool) {
	if !c.sentAt.IsZero() && now.Sub(c.sentAt) < c.opt.Length/retryPart {
		return Body{}, false
	}
	op, ok := c.want(now)
	if !ok {
		return Body{}, false
	}
	c.seq++
	c.sentAt, c.sent[c.seq] = now, sending{now, c.last}
	b := Body{
		Op: op, Holder: c.opt.Self, Replaces: c.last, LeaseMS: c.opt.Length.Milliseconds(),
		TaskLeaseMS: c.opt.TaskLength.Milliseconds(), Seq: c.seq,
	}
	if ghost := c.ghost(op).Sub(now); ghost > 0 {
		b.GhostMS = (ghost + time.Millisecond - 1).Milliseconds()
	}
	if op != OpRelease && len(c.peers) > 0 && c.opt.Stretch > 0 {
		b.Voters, b.StretchMS = c.peers, c.opt.Stretch.Milliseconds()
	}
	return b, true
}

// want says which record the state calls for.
func (c *Core) want(now time.Time) (Op, bool) {
	if c.holder == c.opt.Self {
		if c.leaving {
			return OpRelease, true
		}
		if c.restored {
			return OpTake, true
		}
		return OpRenew, now.After(c.validTil.Add(c.opt.Length/renewPart - c.opt.Length))
	}
	if c.leaving {
		return "", false
	}
	if c.seen.IsZero() {
		c.seen = now
	}
	wait := c.standing()
	if c.holder == "" {
		return OpTake, now.Sub(c.seen) >= wait
	}
	return OpTake, now.Sub(c.seen) > wait && c.free(now)
}

// Leave makes the core give the lease back and never take it again.
func (c *Core) Leave() { c.leaving = true }

// Owner reports whether this process may act as the owner now, and under which epoch.
func (c *Core) Owner(now time.Time) (logsvc.Offset, bool) {
	if c.holder != c.opt.Self || c.base.IsZero() {
		return c.epoch, false
	}
	return c.epoch, now.Before(c.validTil) || now.Before(c.stretched())
}

// Holder returns the holder in log order and its epoch; empty when released.
func (c *Core) Holder() (string, logsvc.Offset) { return c.holder, c.epoch }

// TaskLease returns the longest task lease that any holder has named.
func (c *Core) TaskLease() time.Duration { return max(c.tasks, c.opt.TaskLength) }
