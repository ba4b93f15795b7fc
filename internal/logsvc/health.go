package logsvc

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/time/rate"
)

const (
	// failuresToPause is how many appends in a row must fail before others are refused early.
	failuresToPause = 2
	firstPause      = 50 * time.Millisecond
	longestPause    = time.Second
	// sampleAge is how long a measured append time says something about the next.
	sampleAge = 2 * time.Second
)

// ErrOverRate says that the service refused because of too many appends. It is an ErrRefused.
var ErrOverRate = fmt.Errorf("%w: too many appends", ErrRefused)

// BusyError says that the buffers of this process are full. It is an ErrRefused.
type BusyError struct {
	Class   Class
	Pending int
}

// Error names the class and what waits.
func (e *BusyError) Error() string {
	return fmt.Sprintf("%d records wait, no room for class %s", e.Pending, e.Class)
}

// Is makes the error an ErrRefused.
func (*BusyError) Is(target error) bool { return target == ErrRefused }

// DownError says that the service is down or too slow for the caller's deadline. It is an ErrRefused.
type DownError struct {
	// Retry is when the next append will be tried, or how long one takes now.
	Retry  time.Duration
	Reason string
}

// Error says why and for how long.
func (e *DownError) Error() string { return fmt.Sprintf("log service is %s (%v)", e.Reason, e.Retry) }

// Is makes the error an ErrRefused.
func (*DownError) Is(target error) bool { return target == ErrRefused }

// health is what a committer knows of the service.
type health struct {
	pause    *backoff.ExponentialBackOff
	failures int
	until    time.Time
	took     time.Duration
	sampled  time.Time
}

// init sets the pauses: doubling with jitter.
func (h *health) init() {
	h.pause = backoff.NewExponentialBackOff()
	h.pause.InitialInterval = firstPause
	h.pause.MaxInterval = longestPause
}

// note takes the outcome of one append.
func (h *health) note(now time.Time, took time.Duration, err error) {
	if !errors.Is(err, ErrRefused) {
		h.took, h.sampled = (h.took+took)/2, now
	}
	if err == nil {
		h.failures, h.until = 0, time.Time{}
		h.pause.Reset()
		return
	}
	h.failures++
	if h.failures >= failuresToPause {
		h.until = now.Add(h.pause.NextBackOff())
	}
}

// check refuses a call that can't succeed in time. Leases wait out a pause: an owner whose renewal is
// late loses less than one whose renewal was refused.
func (h *health) check(ctx context.Context, k *call) error {
	if wait := h.until.Sub(k.since); wait > 0 && k.class != ClassLease {
		return &DownError{Retry: wait, Reason: "down"}
	}
	deadline, ok := ctx.Deadline()
	if ok && k.since.Sub(h.sampled) < sampleAge && deadline.Sub(k.since) < h.took {
		return &DownError{Retry: h.took, Reason: "slow"}
	}
	return nil
}

const (
	// burstPart is how much of a second's budget may be spent at once.
	burstPart = 0.2
	// leastPart bounds how far refusals of the service lower the budget.
	leastPart = 1.0 / 16
	// regain is how much of the budget comes back with each append that is taken.
	regain = 0.02
)

// budget is the rate of appends: the share of this process, lowered while the service refuses.
type budget struct {
	limiter *rate.Limiter
	share   float64
	part    float64
}

// set changes the share.
func (b *budget) set(perSecond float64) {
	if b.part == 0 {
		b.part = 1
	}
	if perSecond == b.share {
		return
	}
	b.share = perSecond
	b.adjust()
}

// note halves the budget when the service refused for its rate, and regains it slowly.
func (b *budget) note(overRate bool) {
	before := b.part
	if overRate {
		b.part = max(leastPart, b.part/2)
	} else {
		b.part = min(1, b.part+regain)
	}
	if b.part != before {
		b.adjust()
	}
}

// adjust gives the limiter its new rate.
func (b *budget) adjust() {
	perSecond := b.share * b.part
	b.limiter.SetLimit(rate.Limit(perSecond))
	b.limiter.SetBurst(max(1, int(perSecond*burstPart)))
}
