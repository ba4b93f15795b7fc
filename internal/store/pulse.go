package store

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/crocusspring/crocusspring/internal/pause"
)

const (
	// SilenceTimeout is how long an append waits for a store that answers nothing.
	SilenceTimeout = 700 * time.Millisecond
	// SlowTimeout bounds an append to a store that is slow and answers. It is longer than the queue that a store lets
	// build up, about two seconds, and two slow appends: one that is given up before is carried out all the same.
	SlowTimeout = 2800 * time.Millisecond
	// slowAppend is how long an append takes from which on the store counts as slow; a healthy one answers within
	// milliseconds.
	slowAppend = 100 * time.Millisecond
	// stillSlow is how long an append takes with which a slow store remains so.
	stillSlow = 50 * time.Millisecond
	// slowMemory is how long the store counts as slow after a slow append when nothing is appended, fastDelay after a fast
	// one.
	slowMemory = 10 * time.Second
	fastDelay  = time.Second
	// pulseInterval is the time between two looks at an append without an answer.
	pulseInterval = 100 * time.Millisecond
	// pulseTimeout bounds a read that is made meanwhile; the first ends before the append is given up.
	pulseTimeout = 550 * time.Millisecond
)

// ErrSilent means that an append was given up without an answer; it may still be carried out.
var ErrSilent = errors.New("the store doesn't answer the append")

// Pulse tells a store that is slow from one that is silent: while an append waits for its answer it makes small reads,
// and gives the append up only when these aren't answered either, or after SlowTimeout. Use NewPulse to make one.
type Pulse struct {
	Store
	mu sync.Mutex
	// answered is when the store answered this node last, reached when it answered any.
	answered, reached time.Time
	// slowUntil is until when the store counts as slow.
	slowUntil time.Time
	probing   bool
}

// NewPulse returns a Pulse in front of a store.
func NewPulse(next Store) *Pulse { return &Pulse{Store: next} }

// Append implements Store.
func (p *Pulse) Append(ctx context.Context, topic string, at Offset, records []Record) (Offset, error) {
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	began := time.Now()
	watch := time.AfterFunc(pulseInterval, func() { p.watch(call, cancel, began) })
	defer watch.Stop()
	first, err := p.Store.Append(call, topic, at, records)
	if err == nil {
		p.record(time.Since(began))
	}
	if err != nil && call.Err() != nil && ctx.Err() == nil {
		err = fmt.Errorf("%w within %s: %v", ErrSilent, time.Since(began).Round(time.Millisecond), err)
	}
	return first, err
}

// watch gives an append up when the store is silent, and records that it is slow when it answers reads meanwhile.
func (p *Pulse) watch(ctx context.Context, giveUp func(), began time.Time) {
	for more := ctx.Err() == nil; more; more = pause.For(ctx, pulseInterval) {
		quiet := p.look(began)
		if quiet >= SilenceTimeout || time.Since(began) >= SlowTimeout {
			giveUp()
			return
		}
		if quiet >= pulseInterval {
			p.startProbe(ctx)
		}
	}
}

// look returns for how long the store has answered this node nothing while an append waits. If it has answered, it is
// slow.
func (p *Pulse) look(began time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.answered.After(began) {
		p.note(time.Since(began))
		return time.Since(p.answered)
	}
	return time.Since(began)
}

// startProbe makes a small read in the background, one at a time.
func (p *Pulse) startProbe(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.probing {
		return
	}
	p.probing = true
	go func() {
		ctx, cancel := context.WithTimeout(ctx, pulseTimeout)
		defer cancel()
		err := Check(ctx, p.Store)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.probing = false
		if err == nil {
			p.answered = time.Now()
			p.reached = p.answered
		}
	}()
}

// record records that the store has answered an append of this node.
func (p *Pulse) record(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answered = time.Now()
	p.reached = p.answered
	p.note(took)
}

// Relayed records that an append has succeeded through another node, and how long it took.
func (p *Pulse) Relayed(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reached = time.Now()
	p.note(took)
}

// Waits records that an append through another node has waited for some time, while that node reaches the store.
func (p *Pulse) Waits(waited time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reached = time.Now()
	if waited >= slowAppend {
		p.note(waited)
	}
}

// Busy records that another node has refused an append, since the store takes long for others.
func (p *Pulse) Busy() { p.Relayed(slowAppend) }

// note takes from an append whether the store is slow. The caller holds the lock.
func (p *Pulse) note(took time.Duration) {
	now := time.Now()
	slow := now.Before(p.slowUntil)
	switch soon := now.Add(fastDelay); {
	case took >= slowAppend || slow && took >= stillSlow:
		p.slowUntil = now.Add(slowMemory)
	case slow && soon.Before(p.slowUntil):
		p.slowUntil = soon
	}
}

// Slow reports whether the store answers and takes long for appends. These are carried out one after the other, so that
// several processes that append for themselves wait for each other.
func (p *Pulse) Slow() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.slowUntil)
}

// AnsweredSince reports whether the store has answered this node since a time.
func (p *Pulse) AnsweredSince(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.answered.After(at)
}

// ReachedSince reports whether the store has answered this node or another one since a time.
func (p *Pulse) ReachedSince(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reached.After(at)
}
