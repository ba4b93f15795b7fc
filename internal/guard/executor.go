// Package guard runs beside a worker. It is the only caller of the worker: it keeps the worker's runs
// alive while the owner of the cell vouches for them, carries out the owner's orders, reports what the
// worker lists, and slows fillers down before they hurt the tasks that serve.
package guard

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/crocusspring/crocusspring/internal/link"
)

// Look asks a worker what it runs.
type Look struct {
	// Life names the life of the worker that is meant; empty for any.
	Life string
	// Token is the fencing token of the owner.
	Token int64
	// UntilMS renews the lease of all runs to a time on the worker's clock; 0 leaves it as it is.
	UntilMS int64
	// LastSeen is the number of the newest end that the worker may forget.
	LastSeen int64
	// Wait is how long the worker may wait for a run to end before it answers.
	Wait time.Duration
}

// Listing is the answer to a Look.
type Listing struct {
	Life    string
	ClockMS int64
	Running []link.RunStatus
	Ended   []link.RunEnd
}

// Order is a start, stop or change of pace.
type Order struct {
	Life    string
	Token   int64
	UntilMS int64
	Start   link.Start
}

// Executor is the port to the worker. Calls are bounded by their context.
type Executor interface {
	Look(ctx context.Context, q Look) (Listing, error)
	Start(ctx context.Context, o Order) error
	Stop(ctx context.Context, o Order) error
	Pace(ctx context.Context, o Order, percent int) error
}

// ErrOtherLife says that another life of the worker answered.
var ErrOtherLife = errors.New("another life of the worker answered")

// RefusedError says that the worker has done nothing and will not.
type RefusedError struct{ Reason string }

// Error names the reason.
func (e *RefusedError) Error() string { return fmt.Sprintf("worker refused: %s", e.Reason) }

// ReasonFence is the reason of a refusal because a higher fencing token has been seen.
const ReasonFence = "fence"
