// Package follow reads a log stream in order and hands its entries to a handler.
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

// Handler takes what is read from a stream. Calls come from one goroutine.
type Handler interface {
	// Entries takes the next entries and the tail of the stream at the time they were read.
	Entries(entries []logsvc.Entry, tail logsvc.Offset)
	// Expired says that entries were lost to retention; reading goes on at the returned offset.
	Expired(first logsvc.Offset) logsvc.Offset
}

// Run reads the stream from an offset on until ctx ends. A fold that must outlive the retention of its
// stream uses Fold in place of Run.
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
		var gone *logsvc.ExpiredError
		if errors.As(err, &gone) {
			from = h.Expired(gone.First)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		lg.Debug("Read failed.", "stream", stream, "err", err)
		pause.For(ctx, retry.NextBackOff())
	}
}

// newBackoff returns the pauses between failed reads: doubling with jitter.
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
