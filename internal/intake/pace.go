package intake

import (
	"sync"
	"time"
)

const (
	// slowAppend is how long an append takes from which on the store counts as slow; a healthy one answers within
	// milliseconds. Appends of a topic are carried out one after the other, so that those of all entries by
	// themselves would wait for each other.
	slowAppend = 100 * time.Millisecond
	// slowMemory is how long the store counts as slow after a slow call; longer than an append may wait in its queue.
	slowMemory = 4 * time.Second
	// slowTimeout bounds an append by all ways together while the store is slow and answers. It is longer than the queue
	// that a store lets build up, about two seconds, and two slow appends: one that is given up before is carried out
	// all the same, and repeated it keeps the queue full.
	slowTimeout = 2800 * time.Millisecond
)

// pace tells a slow store from a fast one by the calls that succeed.
type pace struct {
	mu sync.Mutex
	// slowUntil is until when the store counts as slow, suspectUntil until when it may be slow or gone.
	slowUntil, suspectUntil time.Time
	// succeededAt is when a call succeeded last.
	succeededAt time.Time
}

// succeeded records how long a successful call took.
func (p *pace) succeeded(now time.Time, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspectUntil, p.succeededAt = time.Time{}, now
	if took >= slowAppend {
		p.slowUntil = now.Add(slowMemory)
	}
}

// succeededSince reports whether a call has succeeded since a time.
func (p *pace) succeededSince(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.succeededAt.After(at)
}

// unanswered records that an append wasn't answered soon.
func (p *pace) unanswered(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspectUntil = now.Add(slowMemory)
}

// oneAtATime reports whether the entries should append through the owner, since the store is slow or may be.
func (p *pace) oneAtATime(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.slowUntil) || now.Before(p.suspectUntil)
}

// slow reports whether the store is slow.
func (p *pace) slow(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.slowUntil)
}

// timeout bounds an append by all ways together.
func (p *pace) timeout(now time.Time) time.Duration {
	if p.slow(now) {
		return slowTimeout
	}
	return appendTimeout
}
