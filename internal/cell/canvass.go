package cell

import (
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/internal/lease"
)

const (
	// canvassEvery is the time between two rounds of asking other candidates for their word, and
	// hurryCanvass that while a renewal is late.
	canvassEvery = 3 * time.Second
	hurryCanvass = 500 * time.Millisecond
	// heardFor is how long a candidate that has answered counts as there.
	heardFor = 10 * time.Second
	// logFresh is how long after a read the log counts as working; a read waits for less.
	logFresh = 2500 * time.Millisecond
	// maxVoters bounds the candidates whose word is needed.
	maxVoters = 4
)

// Canvass asks the other candidates for their word not to take the cell.
type Canvass struct{ Ask lease.PromiseRequest }

// Words are the answers to a Canvass: the candidates that were there, and those that gave their word.
type Words struct {
	Ask   lease.PromiseRequest
	Asked time.Time
	Heard []string
	Given []string
}

func (Canvass) action() {}
func (Words) event()    {}

// canvass keeps the round of asking.
type canvass struct {
	at    time.Time
	heard map[string]time.Time
}

// poll asks for words when that is due.
func (c *Core) poll(now time.Time, out []Action) []Action {
	ask, ok := c.lease.PromiseRequest()
	every := canvassEvery
	if c.lease.RenewalLate(now) {
		every = hurryCanvass
	}
	if !ok || c.opt.Stretch == 0 || now.Sub(c.canvass.at) < every {
		return out
	}
	c.canvass.at = now
	return append(out, Canvass{ask})
}

// words takes the answers of other candidates. Those that were there lately are the voters which the
// next lease record names.
func (c *Core) words(now time.Time, ev Words) {
	for _, v := range ev.Given {
		c.lease.RecordPromise(v, ev.Ask, ev.Asked)
	}
	for _, v := range ev.Heard {
		c.canvass.heard[v] = now
	}
	var voters []string
	for v, at := range c.canvass.heard {
		if now.Sub(at) > heardFor {
			delete(c.canvass.heard, v)
			continue
		}
		voters = append(voters, v)
	}
	slices.Sort(voters)
	c.lease.SetVoters(voters[:min(len(voters), maxVoters)])
}

// Promise answers another candidate's request for this one's word, and names this candidate. When the
// holder has not renewed for longer than its lease although this process reads the log, only the holder
// is cut off, and the cell is better taken from it.
func (c *Core) Promise(now time.Time, a lease.PromiseRequest) (candidate string, given bool) {
	overdue := now.Sub(c.lease.NewestReadAt()) > c.opt.OwnerLease+c.opt.OwnerLease/4
	if c.ready && overdue && now.Sub(c.read) < logFresh {
		return c.opt.Self, false
	}
	return c.opt.Self, c.lease.Promise(now, a)
}
