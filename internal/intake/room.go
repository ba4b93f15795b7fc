package intake

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/sched"
)

const (
	// roomSlack is the memory of jobs, in bytes, that an entry accepts before it asks the owner how much more it has room for.
	roomSlack = 256 << 10
	// blindSlack is what it accepts while the owner doesn't answer.
	blindSlack = 4 << 20
	// roomTTL is how long the owner isn't asked again after it had too little.
	roomTTL = 250 * time.Millisecond
)

// errNoRoom is the reason of a job for which the owner has no memory.
var errNoRoom = errors.New("the owner has no memory for more jobs")

// room is what is known of the owner's memory for further jobs.
type room struct {
	// allowance is what may be accepted without asking.
	allowance int64
	// blind is what was allowed since the owner last answered.
	blind int64
	// fullUntil is when the owner may be asked again, after it had too little.
	fullUntil time.Time
}

// take takes n bytes of the allowance, and reports false if it has fewer.
func (r *room) take(n int64) bool {
	if n > r.allowance {
		return false
	}
	r.allowance -= n
	return true
}

// answered sets the allowance after the owner has been asked for n bytes.
func (r *room) answered(left, n int64, err error) {
	switch {
	case errors.Is(err, sched.ErrNoLimit):
		r.allowance, r.blind = max(roomSlack, n), 0
	case err == nil:
		r.allowance, r.blind = min(left, max(roomSlack, n)), 0
	case r.blind < blindSlack:
		r.allowance = max(roomSlack, n)
		r.blind += r.allowance
	}
}

// reserveRoom reports, before a job is sent to the store, an error if the owner has no memory for it: each next owner would load
// it as well. A job that may be stored already is let through, so that its caller learns whether it is.
func (in *Intake) reserveRoom(ctx context.Context, key string, spec *job.Spec) error {
	n := spec.Memory()
	for ctx.Err() == nil {
		in.mu.Lock()
		_, doubted := in.unresolved[key]
		known := doubted || in.current[key] != nil
		took := known || in.room.take(n)
		full := time.Now().Before(in.room.fullUntil)
		in.mu.Unlock()
		if took {
			return nil
		}
		if full {
			return fmt.Errorf("%w: %w", ErrNotAccepted, errNoRoom)
		}
		in.askRoom(ctx, n)
	}
	return fmt.Errorf("%w: %w", ErrNotAccepted, ctx.Err())
}

// askRoom asks the owner how much memory it has for jobs; callers that come meanwhile wait for the same answer.
func (in *Intake) askRoom(ctx context.Context, n int64) {
	_, _, _ = in.asking.Do("room", func() (any, error) {
		call, cancel := context.WithTimeout(ctx, queryTimeout)
		defer cancel()
		left, err := int64(0), error(ErrNoView)
		if addr := in.locator.OwnerAddr(); addr != "" {
			left, err = in.client.Room(call, addr)
		}
		if err == nil {
			in.scope.Gauge("owner_room_bytes").Update(float64(left))
		}
		in.mu.Lock()
		defer in.mu.Unlock()
		in.room.answered(left, n, err)
		if in.room.allowance < n {
			in.room.fullUntil = time.Now().Add(roomTTL)
		}
		return nil, nil
	})
}
