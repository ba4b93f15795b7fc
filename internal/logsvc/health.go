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
	// failuresToBackoff is how many appends in a row must fail before others are refused early.
	failuresToBackoff = 2
	initialBackoff    = 50 * time.Millisecond
	maxBackoff        = time.Second
	// maxSampleAge is how long the measured append time is used to predict that of the next append.
	maxSampleAge = 2 * time.Second
)

// ErrOverRate says that the service refused because of too many appends. It is an ErrRefused.
var ErrOverRate = fmt.Errorf("%w: too many appends", ErrRefused)

// BusyError says that the buffers of this process are full. It is an ErrRefused.
type BusyError struct {
	Class   Class
	Pending int
}

// Error names the class and the number of waiting records.
func (e *BusyError) Error() string {
	return fmt.Sprintf("%d records are waiting, no free capacity for class %s", e.Pending, e.Class)
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

// health tracks the failures and the latency of the service.
type health struct {
	backoff      *backoff.ExponentialBackOff
	failures     int
	backoffUntil time.Time
	latency      time.Duration
	sampledAt    time.Time
}

// init sets the backoff: exponential with jitter.
func (h *health) init() {
	h.backoff = backoff.NewExponentialBackOff()
	h.backoff.InitialInterval = initialBackoff
	h.backoff.MaxInterval = maxBackoff
}

// record adds the outcome of one append.
func (h *health) record(now time.Time, took time.Duration, err error) {
	if !errors.Is(err, ErrRefused) {
		h.latency, h.sampledAt = (h.latency+took)/2, now
	}
	if err == nil {
		h.failures, h.backoffUntil = 0, time.Time{}
		h.backoff.Reset()
		return
	}
	h.failures++
	if h.failures >= failuresToBackoff {
		h.backoffUntil = now.Add(h.backoff.NextBackOff())
	}
}

// check refuses a call during a backoff or when its deadline can't be met. Leases wait until the backoff
// ends: an owner whose renewal is late loses less than one whose renewal was refused.
func (h *health) check(ctx context.Context, k *call) error {
	if wait := h.backoffUntil.Sub(k.enqueuedAt); wait > 0 && k.class != ClassLease {
		return &DownError{Retry: wait, Reason: "down"}
	}
	deadline, ok := ctx.Deadline()
	if ok && k.enqueuedAt.Sub(h.sampledAt) < maxSampleAge && deadline.Sub(k.enqueuedAt) < h.latency {
		return &DownError{Retry: h.latency, Reason: "slow"}
	}
	return nil
}

const (
	// burstFraction is how much of a second's budget may be spent at once.
	burstFraction = 0.2
	// minFraction bounds how far refusals of the service lower the budget.
	minFraction = 1.0 / 16
	// recoveryStep is how much of the budget is restored with each append that is not refused for its rate.
	recoveryStep = 0.02
)

// budget is the rate of appends: the share of this process, lowered while the service refuses for the rate.
type budget struct {
	limiter  *rate.Limiter
	share    float64
	fraction float64
}

// set changes the share.
func (b *budget) set(perSecond float64) {
	if b.fraction == 0 {
		b.fraction = 1
	}
	if perSecond == b.share {
		return
	}
	b.share = perSecond
	b.adjust()
}

// record halves the budget when the service refused for the rate, and else restores a step of it.
func (b *budget) record(overRate bool) {
	before := b.fraction
	if overRate {
		b.fraction = max(minFraction, b.fraction/2)
	} else {
		b.fraction = min(1, b.fraction+recoveryStep)
	}
	if b.fraction != before {
		b.adjust()
	}
}

// adjust sets the rate and burst of the limiter.
func (b *budget) adjust() {
	perSecond := b.share * b.fraction
	b.limiter.SetLimit(rate.Limit(perSecond))
	b.limiter.SetBurst(max(1, int(perSecond*burstFraction)))
}
