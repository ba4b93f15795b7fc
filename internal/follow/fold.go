package follow

import (
	"context"
	"errors"
	"fmt"

	"github.com/charmbracelet/log"
	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/pause"
)

// Folder is a fold of one stream that can start from a snapshot. Its methods are called from one
// goroutine, but other goroutines may also advance the fold, for example with entries from a peer.
type Folder interface {
	// Next returns the offset of the next entry to fold; 1 for an empty fold.
	Next() logsvc.Offset
	// Fold folds entries that were read starting at Next. Entries that have been folded since the read
	// began must have no effect.
	Fold(b logsvc.Batch)
	// Restore replaces the state of the fold by a snapshot. It must return an error for a snapshot that
	// it can't read, and leave the fold unchanged when the snapshot covers no more than the fold does.
	Restore(s Snapshot) error
}

// Pacer is implemented by a Folder that decides when the stream is read next.
type Pacer interface {
	// Pace blocks until the next read is due or ctx has ended.
	Pace(ctx context.Context)
}

// ErrGap means that entries have expired by retention and no snapshot on the stream covers them.
var ErrGap = errors.New("entries have expired and no snapshot covers them")

// Fold keeps a fold at the tail of a stream until ctx ends. It starts from the newest usable snapshot,
// and does so again when the next entry has expired, so that entries are never folded across a gap: it
// waits while there is no snapshot that covers the gap.
//
// To use it for a stream: implement Folder; ignore records of kind record.KindSnapshot in Folder.Fold, but
// pass them to Schedule.Seen; and let the one process that owns the stream call Schedule.Due after each
// batch and append NewSnapshot of its state when a snapshot is due.
func Fold(ctx context.Context, r logsvc.Reader, stream string, f Folder, lg *log.Logger) {
	retry := newBackoff()
	for ctx.Err() == nil {
		err := foldFrom(ctx, r, stream, f, retry.Reset)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, ErrGap) {
			lg.Error("Stream can't be folded.", "stream", stream, "next", f.Next(), "err", err)
		} else {
			lg.Debug("Read failed.", "stream", stream, "err", err)
		}
		pause.For(ctx, retry.NextBackOff())
	}
}

// foldFrom resumes the fold and reads until a read fails. It calls onRead after each successful read.
func foldFrom(ctx context.Context, r logsvc.Reader, stream string, f Folder, onRead func()) error {
	if err := Resume(ctx, r, stream, f); err != nil {
		return err
	}
	// The first read doesn't wait for new entries, so that a fold at the tail detects at once that it is.
	for first := true; ctx.Err() == nil; first = false {
		if p, ok := f.(Pacer); ok && !first {
			p.Pace(ctx)
		}
		b, err := next(ctx, r, stream, f.Next(), first)
		var expired *logsvc.ExpiredError
		if errors.As(err, &expired) {
			err = Resume(ctx, r, stream, f)
			if err == nil {
				continue
			}
		}
		if err != nil {
			return err
		}
		onRead()
		f.Fold(b)
	}
	return ctx.Err()
}

// next does one read; if it is the first of a fold, it does not wait for new entries.
func next(ctx context.Context, r logsvc.Reader, stream string, from logsvc.Offset, first bool) (logsvc.Batch, error) {
	if first {
		return peek(ctx, r, stream, from, readLimit)
	}
	return read(ctx, r, stream, from)
}

// Resume restores a fold from the newest snapshot of its stream that covers more than the fold does and
// after which no entry has expired. It does nothing when no entry after the fold has expired and the fold
// is at most readLimit entries behind the tail. It returns ErrGap when there is no such snapshot and the
// next entry of the fold has expired.
func Resume(ctx context.Context, r logsvc.Reader, stream string, f Folder) error {
	first, tail, err := bounds(ctx, r, stream, f.Next())
	if err != nil {
		return err
	}
	from := f.Next()
	if from >= first && tail-from <= readLimit {
		return nil
	}
	for high := tail; high > max(first, from); {
		low := max(first, high-readLimit)
		b, err := peek(ctx, r, stream, low, int(high-low))
		if err != nil {
			return err
		}
		if restoreNewest(b.Entries, first, f) {
			return nil
		}
		high = low
	}
	if from < first {
		return fmt.Errorf("%w: next is %d, the oldest kept is %d", ErrGap, from, first)
	}
	return nil
}

// restoreNewest restores the fold from the newest snapshot among the entries that the fold accepts, and
// reports whether there is one.
func restoreNewest(entries []logsvc.Entry, first logsvc.Offset, f Folder) bool {
	for i := len(entries) - 1; i >= 0; i-- {
		s, ok := ReadSnapshot(entries[i])
		if !ok || s.Next < first || s.Next > entries[i].Offset {
			continue
		}
		if f.Restore(s) == nil {
			return true
		}
	}
	return false
}

// bounds returns the oldest offset that a stream retains and its tail.
func bounds(ctx context.Context, r logsvc.Reader, stream string, from logsvc.Offset) (logsvc.Offset, logsvc.Offset, error) {
	b, err := peek(ctx, r, stream, from, 1)
	var expired *logsvc.ExpiredError
	if errors.As(err, &expired) {
		b, err = peek(ctx, r, stream, expired.First, 1)
	}
	return b.First, b.Tail, err
}

// peek reads without waiting for new entries.
func peek(ctx context.Context, r logsvc.Reader, stream string, from logsvc.Offset, limit int) (logsvc.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return r.Read(ctx, stream, from, limit, 0)
}

// ReadBackwards reads a stream from its tail to its oldest entry, newest first, until visit returns false.
func ReadBackwards(ctx context.Context, r logsvc.Reader, stream string, visit func(logsvc.Entry) bool) error {
	first, high, err := bounds(ctx, r, stream, 1)
	for err == nil && high > first {
		low := max(first, high-readLimit)
		var b logsvc.Batch
		b, err = peek(ctx, r, stream, low, int(high-low))
		var expired *logsvc.ExpiredError
		if errors.As(err, &expired) && expired.First < high {
			first, err = expired.First, nil
			continue
		}
		for i := len(b.Entries) - 1; i >= 0; i-- {
			if !visit(b.Entries[i]) {
				return nil
			}
		}
		high = low
	}
	if err != nil {
		return fmt.Errorf("read %s backwards: %w", stream, err)
	}
	return nil
}
