package logsvc

import (
	"time"
)

// promoteAfter is how long a call waits to be ranked one class higher, so that none starves.
const promoteAfter = 250 * time.Millisecond

// start makes sure that the pump runs and checks the queues again. The caller holds the lock.
func (c *Committer) start() {
	if !c.pumping && len(c.queues) > 0 {
		c.pumping = true
		go c.pump()
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// pump sends what is due, one append for each token of the budget, until nothing can be sent.
func (c *Committer) pump() {
	for {
		due, ok := c.due()
		if !ok {
			return
		}
		if d := time.Until(due); d > 0 {
			c.pause(d)
			continue
		}
		time.Sleep(c.token())
		stream, q, calls := c.take(time.Now())
		if len(calls) > 0 {
			go c.send(stream, q, calls)
		}
	}
}

// pause waits for d or until something has changed.
func (c *Committer) pause(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.wake:
	}
}

// token takes one token of the budget and returns how long to wait for it.
func (c *Committer) token() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budget.limiter.Reserve().Delay()
}

// due returns when the next append is due; when there is none it marks the pump as stopped and returns false.
func (c *Committer) due() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var first time.Time
	for _, q := range c.queues {
		if len(q.calls) == 0 || q.inFlight >= c.opt.InFlight {
			continue
		}
		if at := c.queueDue(q); first.IsZero() || at.Before(first) {
			first = at
		}
	}
	if first.IsZero() {
		c.pumping = false
	} else if first.Before(c.health.backoffUntil) {
		first = c.health.backoffUntil
	}
	return first, c.pumping
}

// queueDue returns when a queue is due: at once when its records fill an append.
func (c *Committer) queueDue(q *queue) time.Time {
	at := q.calls[0].due
	records := 0
	for _, k := range q.calls {
		if k.due.Before(at) {
			at = k.due
		}
		records += len(k.records)
	}
	if records >= c.opt.MaxRecords {
		return q.calls[0].enqueuedAt
	}
	return at
}

// take removes the calls of the next append: of the most urgent queue, as many as fit.
func (c *Committer) take(now time.Time) (string, *queue, []*call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var best string
	var rank time.Duration
	for stream, q := range c.queues {
		if len(q.calls) == 0 || q.inFlight >= c.opt.InFlight {
			continue
		}
		if r := q.rank(now); best == "" || r < rank || r == rank && stream < best {
			best, rank = stream, r
		}
	}
	q := c.queues[best]
	if q == nil {
		return "", nil, nil
	}
	n := c.fit(q.calls)
	calls := q.calls[:n:n]
	q.calls = append([]*call(nil), q.calls[n:]...)
	q.inFlight++
	for _, k := range calls {
		c.release(best, q, k)
	}
	return best, q, calls
}

// rank is lower the more urgent the queue is: a class counts as promoteAfter of waiting.
func (q *queue) rank(now time.Time) time.Duration {
	best := time.Duration(classes) * promoteAfter
	for _, k := range q.calls {
		best = min(best, time.Duration(k.class)*promoteAfter-now.Sub(k.enqueuedAt))
	}
	return best
}

// fit returns how many calls from the front fit into one append, at least one.
func (c *Committer) fit(calls []*call) int {
	records, bytes := 0, 0
	for i, k := range calls {
		records += len(k.records)
		bytes += k.bytes
		if i > 0 && (records > c.opt.MaxRecords || bytes > c.opt.MaxBytes) {
			return i
		}
	}
	return len(calls)
}
