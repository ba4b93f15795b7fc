package follow

import (
	"context"
	"errors"
	"fmt"

	"github.com/charmbracelet/log"
	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/pause"
)

// Folder is the fold of one stream that can start from a snapshot. Its methods are called from one
// goroutine, but the fold may also be moved on from elsewhere, for example by entries a peer passed on.
type Folder interface {
	// Next returns the offset the fold needs next; 1 for an empty fold.
	Next() logsvc.Offset
	// Fold takes entries that were read from Next on. Entries that were folded in the meantime must
	// have no effect.
	Fold(b logsvc.Batch)
	// Restore replaces the fold by a snapshot. It must refuse one that it can't read, and leave the
	// fold alone when the snapshot covers no more than the fold does.
	Restore(s Snapshot) error
}

// Pacer is a Folder that decides when the stream is read next.
type Pacer interface {
	// Pace returns when the next read is due or ctx has ended.
	Pace(ctx context.Context)
}

// ErrGap says that entries were lost to retention and no snapshot on the stream bridges the gap.
var ErrGap = errors.New("entries have expired and no snapshot covers them")

// Fold keeps a fold at the tail of a stream until ctx ends. It starts at the newest snapshot that can
// be used, and again when the entry needed next has expired, so entries are never folded across a gap:
// without such a snapshot it waits for one.
//
// To use it for a stream: let the fold implement Folder; ignore records of kind record.KindSnapshot in
// Folder.Fold, but tell them to a Schedule; and let the one process that owns the stream ask
// Schedule.Due after each batch and append NewSnapshot of its state when it is.
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

// foldFrom resumes the fold and reads on until a read fails.
func foldFrom(ctx context.Context, r logsvc.Reader, stream string, f Folder, sound func()) error {
	if err := Resume(ctx, r, stream, f); err != nil {
		return err
	}
	// The first read doesn't wait, so that a fold that is at the tail learns it at once.
	for first := true; ctx.Err() == nil; first = false {
		if p, ok := f.(Pacer); ok && !first {
			p.Pace(ctx)
		}
		b, err := next(ctx, r, stream, f.Next(), first)
		var gone *logsvc.ExpiredError
		if errors.As(err, &gone) {
			err = Resume(ctx, r, stream, f)
			if err == nil {
				continue
			}
		}
		if err != nil {
			return err
		}
		sound()
		f.Fold(b)
	}
	return ctx.Err()
}

// next does one read; the first of a fold does not wait for new entries.
func next(ctx context.Context, r logsvc.Reader, stream string, from logsvc.Offset, first bool) (logsvc.Batch, error) {
	if first {
		return peek(ctx, r, stream, from, readLimit)
	}
	return read(ctx, r, stream, from)
}

// Resume moves a fold to the newest snapshot of its stream that covers more than the fold does and
// after which every entry is still kept. It returns ErrGap when the fold can't go on from where it is
// either.
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
		if restored(b.Entries, first, f) {
			return nil
		}
		high = low
	}
	if from < first {
		return fmt.Errorf("%w: next is %d, the oldest kept is %d", ErrGap, from, first)
	}
	return nil
}

// restored gives the fold the newest snapshot of the entries that it takes.
func restored(entries []logsvc.Entry, first logsvc.Offset, f Folder) bool {
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

// bounds returns the oldest offset that is kept and the tail of a stream.
func bounds(ctx context.Context, r logsvc.Reader, stream string, from logsvc.Offset) (logsvc.Offset, logsvc.Offset, error) {
	b, err := peek(ctx, r, stream, from, 1)
	var gone *logsvc.ExpiredError
	if errors.As(err, &gone) {
		b, err = peek(ctx, r, stream, gone.First, 1)
	}
	return b.First, b.Tail, err
}

// peek reads without waiting for new entries.
func peek(ctx context.Context, r logsvc.Reader, stream string, from logsvc.Offset, limit int) (logsvc.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return r.Read(ctx, stream, from, limit, 0)
}

// Back reads a stream from its tail to its oldest entry, newest first, until visit returns false.
func Back(ctx context.Context, r logsvc.Reader, stream string, visit func(logsvc.Entry) bool) error {
	first, high, err := bounds(ctx, r, stream, 1)
	for err == nil && high > first {
		low := max(first, high-readLimit)
		var b logsvc.Batch
		b, err = peek(ctx, r, stream, low, int(high-low))
		var gone *logsvc.ExpiredError
		if errors.As(err, &gone) && gone.First < high {
			first, err = gone.First, nil
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
