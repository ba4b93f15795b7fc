package lease

import (
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/internal/logsvc"
)

// While the log is down nobody can renew, and nobody can take. An owner can't tell that from being cut
// off alone, so it goes on past its lease only by the word of others: its newest record names voters,
// and each of them promises not to take the cell for a lease length.

// Ask is a holder's request for a promise.
type Ask struct {
	Holder string        `json:"holder"`
	Epoch  logsvc.Offset `json:"epoch"`
	// Last is the offset of the holder's newest accepted record.
	Last logsvc.Offset `json:"last"`
}

// Ask returns the request for promises, if this process holds the lease by a record of its own.
func (c *Core) Ask() (Ask, bool) {
	return Ask{c.opt.Self, c.epoch, c.last}, c.holder == c.opt.Self && !c.leaving && !c.restored
}

// Newest returns when the newest accepted record was seen.
func (c *Core) Newest() time.Time { return c.seen }

// Late reports whether the newest renewal is overdue, so that promises are needed soon.
func (c *Core) Late(now time.Time) bool {
	return c.holder == c.opt.Self && now.After(c.validTil.Add(-c.opt.Length/2))
}

// SetVoters names the candidates that the next record is to list.
func (c *Core) SetVoters(voters []string) { c.peers = voters }

// Promise answers a request: true binds this process not to take the cell for a lease length. It gives
// no word when it knows of a newer record, or when a take of its own may still be accepted.
func (c *Core) Promise(now time.Time, a Ask) bool {
	if c.leaving || a.Holder == c.opt.Self || c.last > a.Last {
		return false
	}
	for _, s := range c.sent {
		if s.replaces >= a.Last {
			return false
		}
	}
	c.bound = a
	c.boundTil = now.Add(c.opt.Length + Margin)
	return true
}

// Promised takes the word of a voter that was asked at a time.
func (c *Core) Promised(voter string, a Ask, asked time.Time) {
	if a.Epoch != c.epoch || a.Last != c.last || c.holder != c.opt.Self {
		return
	}
	if asked.After(c.words[voter]) {
		c.words[voter] = asked
	}
}

// stretched returns until when the words of all voters let this process go on.
func (c *Core) stretched() time.Time {
	if c.stretch == 0 || len(c.voters) == 0 {
		return time.Time{}
	}
	til := c.base.Add(c.stretch)
	for _, v := range c.voters {
		word, ok := c.words[v]
		if !ok {
			return time.Time{}
		}
		if t := word.Add(c.opt.Length); t.Before(til) {
			til = t
		}
	}
	return til
}

// free reports whether no promise keeps this process from taking the cell.
func (c *Core) free(now time.Time) bool {
	same := c.bound.Holder == c.holder && c.bound.Epoch == c.epoch
	return !same || !now.Before(c.boundTil)
}

// standing returns how long after the newest record was seen this process may take the cell.
func (c *Core) standing() time.Duration {
	if c.holder == "" {
		return c.opt.Delay
	}
	return c.opt.Delay + c.held + Margin
}

// Ghost returns until when an earlier holder may still drive workers that do not answer this one. The
// voters of a holder keep their word, so they never take the cell beside it. A candidate that is no
// voter takes it after the plain lease all the same, or nobody could when all voters have died; the log
// and every worker it reaches refuse the earlier epoch from then on, and what other workers run is not
// given up before Ghost has passed and their lease with it.
func (c *Core) Ghost() time.Time { return c.ghostTil }

// ghost returns until when an earlier holder may still act once a record of this process is accepted.
func (c *Core) ghost(op Op) time.Time {
	til := c.ghostTil
	if op != OpTake || c.holder == "" || c.holder == c.opt.Self || c.stretch == 0 || slices.Contains(c.voters, c.opt.Self) {
		return til
	}
	if t := c.seen.Add(c.stretch + Margin); t.After(til) {
		return t
	}
	return til
}
