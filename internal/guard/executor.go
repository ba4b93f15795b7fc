// Package guard runs beside a worker and is its only caller. It renews the lease of the worker's runs as long
// as the owner of the cell grants it, executes the owner's commands, reports what the worker lists, and slows
// fillers down when serving tasks miss their latency target.
package guard

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/crocusspring/crocusspring/internal/link"
)

// Poll asks a worker for its runs.
type Poll struct {
	// Incarnation identifies the incarnation of the worker that is addressed; empty for any.
	Incarnation string
	// Token is the fencing token; see births.
	Token int64
	// UntilMS renews the lease of all runs to a time on the worker's clock; 0 leaves it unchanged.
	UntilMS int64
	// AckedEnd is the number of the newest run end that is acknowledged; the worker may drop ends up to it.
	AckedEnd int64
	// Wait is how long the worker may wait for a run to end before it answers.
	Wait time.Duration
}

// Listing is the answer to a Poll.
type Listing struct {
	Incarnation string
	ClockMS     int64
	Running     []link.RunStatus
	Ended       []link.RunEnd
	// EndsCut means that Ended may lack some; see link.Listing.
	EndsCut bool
	// Token is the fencing token of the poll.
	Token int64
}

// Command is a start, a stop or a change of pace; Start names the run.
type Command struct {
	Incarnation string
	Token       int64
	UntilMS     int64
	Start       link.Start
	// Slow says that the command got no answer in time before, so that it has slowCallTimeout.
	Slow bool
}

// Executor is the interface to the worker. Each call is bounded by its context.
type Executor interface {
	Poll(ctx context.Context, q Poll) (Listing, error)
	Start(ctx context.Context, o Command) error
	Stop(ctx context.Context, o Command) error
	Pace(ctx context.Context, o Command, percent int) error
}

// ErrOtherIncarnation means that another incarnation of the worker answered than the one addressed.
var ErrOtherIncarnation = errors.New("another incarnation of the worker answered")

// RefusedError means that the worker has not executed the command and never will.
type RefusedError struct{ Reason string }

// Error implements error and includes the reason.
func (e *RefusedError) Error() string { return fmt.Sprintf("worker refused: %s", e.Reason) }

// ReasonFence is the reason of a refusal because the worker has seen a higher fencing token.
const ReasonFence = "fence"
