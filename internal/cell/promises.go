package cell

import (
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/internal/lease"
)

const (
	// promiseInterval is the time between two rounds of promise requests to the other candidates, and
	// latePromiseInterval that while a lease renewal is late.
	promiseInterval     = 3 * time.Second
	latePromiseInterval = 500 * time.Millisecond
	// candidateTimeout is how long a candidate counts as reachable after its last answer.
	candidateTimeout = 10 * time.Second
	// maxReadAge is how long after a read the log counts as available. It is longer than a read waits for new
	// entries, so that an idle log counts as available.
	maxReadAge = 2500 * time.Millisecond
	// maxVoters bounds the candidates whose promise is needed to extend the lease.
	maxVoters = 4
)

// RequestPromises asks the driver to request a promise not to take the cell from each other candidate.
type RequestPromises struct{ Request lease.PromiseRequest }

// PromiseResults are the results of a RequestPromises action: the candidates that answered, and those that
// promised not to take the cell.
type PromiseResults struct {
	Request     lease.PromiseRequest
	RequestedAt time.Time
	Answered    []string
	Promised    []string
}

func (RequestPromises) action() {}
func (PromiseResults) event()   {}

// promiseState holds the time of the newest round of promise requests and of the last answer of each
// candidate.
type promiseState struct {
	requestedAt time.Time
	lastAnswers map[string]time.Time
}

// requestPromises starts a round of promise requests when one is due.
func (c *Core) requestPromises(now time.Time, out []Action) []Action {
	request, ok := c.lease.PromiseRequest()
	interval := promiseInterval
	if c.lease.RenewalLate(now) {
		interval = latePromiseInterval
	}
	if !ok || c.opt.MaxLeaseExtension == 0 || now.Sub(c.promises.requestedAt) < interval {
		return out
	}
	c.promises.requestedAt = now
	return append(out, RequestPromises{request})
}

// applyPromises applies the answers of other candidates. Those that answered within candidateTimeout become
// the voters that the next lease record names, at most maxVoters of them.
func (c *Core) applyPromises(now time.Time, ev PromiseResults) {
	for _, v := range ev.Promised {
		c.lease.RecordPromise(v, ev.Request, ev.RequestedAt)
	}
	for _, v := range ev.Answered {
		c.promises.lastAnswers[v] = now
	}
	var voters []string
	for v, at := range c.promises.lastAnswers {
		if now.Sub(at) > candidateTimeout {
			delete(c.promises.lastAnswers, v)
			continue
		}
		voters = append(voters, v)
	}
	slices.Sort(voters)
	c.lease.SetVoters(voters[:min(len(voters), maxVoters)])
}

// Promise answers the promise request of another candidate and returns the name of this one. The promise is
// refused when the holder has not renewed for longer than its lease although this process reads the log:
// then only the holder is cut off, and it is better to take the cell from it.
func (c *Core) Promise(now time.Time, a lease.PromiseRequest) (candidate string, promised bool) {
	overdue := now.Sub(c.lease.NewestReadAt()) > c.opt.OwnerLease+c.opt.OwnerLease/4
	if c.ready && overdue && now.Sub(c.lastRead) < maxReadAge {
		return c.opt.Self, false
	}
	return c.opt.Self, c.lease.Promise(now, a)
}
