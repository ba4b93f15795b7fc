// Package follow reads a log stream in order and hands its entries to a handler.
package follow

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/charmbracelet/log"
	"github.com/crocusspring/crocusspring/internal/logsvc"
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
	pause := newPause()
	for ctx.Err() == nil {
		b, err := read(ctx, r, stream, from)
		if err == nil {
			pause.Reset()
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
		sleep(ctx, pause.NextBackOff())
	}
}

// newPause returns the pauses between failed reads: doubling with jitter.
func newPause() *backoff.ExponentialBackOff {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = 50 * time.Millisecond
	pause.MaxInterval = maxBackoff
	return pause
}

// read does one read under a timeout.
func read(ctx context.Context, r logsvc.Reader, stream string, from logsvc.Offset) (logsvc.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return r.Read(ctx, stream, from, readLimit, readWait)
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
