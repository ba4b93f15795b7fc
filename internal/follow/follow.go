// Package follow reads a log stream in order and passes its entries to a handler or a fold.
package follow

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/charmbracelet/log"
	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/pause"
)

const (
	readLimit   = 500
	readWait    = 2 * time.Second
	readTimeout = 5 * time.Second
	maxBackoff  = time.Second
)

// Handler processes the entries of a stream. Its methods are called from one goroutine.
type Handler interface {
	// Entries processes the next entries; tail is the tail of the stream at the time of the read.
	Entries(entries []logsvc.Entry, tail logsvc.Offset)
	// Expired is called when the next entries have expired and first is the oldest offset retained;
	// reading continues at the offset it returns.
	Expired(first logsvc.Offset) logsvc.Offset
}

// Run reads a stream starting at an offset until ctx ends. A fold whose state must outlive the retention
// of its stream uses Fold instead.
func Run(ctx context.Context, r logsvc.Reader, stream string, from logsvc.Offset, h Handler, lg *log.Logger) {
	retry := newBackoff()
	for ctx.Err() == nil {
		b, err := read(ctx, r, stream, from)
		if err == nil {
			retry.Reset()
			h.Entries(b.Entries, b.Tail)
			from = b.Next
			continue
		}
		var expired *logsvc.ExpiredError
		if errors.As(err, &expired) {
			from = h.Expired(expired.First)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		lg.Debug("Read failed.", "stream", stream, "err", err)
		pause.For(ctx, retry.NextBackOff())
	}
}

// newBackoff returns the delays between failed reads: exponential with jitter.
func newBackoff() *backoff.ExponentialBackOff {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = 50 * time.Millisecond
	retry.MaxInterval = maxBackoff
	return retry
}

// read does one read under a timeout.
func read(ctx context.Context, r logsvc.Reader, stream string, from logsvc.Offset) (logsvc.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return r.Read(ctx, stream, from, readLimit, readWait)
}
