package audit

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/charmbracelet/log"
	"github.com/crocusspring/crocusspring/internal/follow"
	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/record"
)

const (
	// maxWaiting bounds the lines that wait to be written.
	maxWaiting = 4096
	// maxLines bounds the lines of one append.
	maxLines      = 200
	appendTimeout = 5 * time.Second
	firstPause    = 200 * time.Millisecond
	longestPause  = 5 * time.Second
)

// Writer is a Port that appends lines to the log in the background and in order. Lines wait out an
// outage of the log; when too many wait, the newest are dropped and counted. Use NewWriter to make one.
type Writer struct {
	log  logsvc.Appender
	self string
	lg   *log.Logger

	mu      sync.Mutex
	waiting []Record
	dropped int
	wake    chan struct{}
}

// NewWriter returns a writer; self names the process in records.
func NewWriter(lc logsvc.Appender, self string, lg *log.Logger) *Writer {
	return &Writer{log: lc, self: self, lg: lg, wake: make(chan struct{}, 1)}
}

// Note implements Port.
func (w *Writer) Note(r Record) {
	if r.ID == "" {
		r.ID = record.NewID()
	}
	if r.Time.IsZero() {
		r.Time = time.Now().UTC()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.waiting) >= maxWaiting {
		w.dropped++
		return
	}
	w.waiting = append(w.waiting, r)
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Dropped returns how many lines were dropped because too many waited.
func (w *Writer) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Waiting returns how many lines are not written yet.
func (w *Writer) Waiting() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.waiting)
}

// Run writes lines until ctx ends; then it tries once more to write what waits.
func (w *Writer) Run(ctx context.Context) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = firstPause, longestPause
	for {
		again := w.wake
		var later <-chan time.Time
		if err := w.write(ctx); err != nil {
			w.lg.Debug("Audit lines wait.", "err", err)
			again, later = nil, time.After(pause.NextBackOff())
		} else {
			pause.Reset()
		}
		select {
		case <-ctx.Done():
			if err := w.write(context.WithoutCancel(ctx)); err != nil {
				w.lg.Error("Audit lines are lost.", "lines", w.Waiting(), "err", err)
			}
			return
		case <-again:
		case <-later:
		}
	}
}

// write appends what waits. Lines that may not stand in the log stay and are appended again; readers
// take each id once.
func (w *Writer) write(ctx context.Context) error {
	for {
		w.mu.Lock()
		lines := slices.Clone(w.waiting[:min(maxLines, len(w.waiting))])
		w.mu.Unlock()
		if len(lines) == 0 {
			return nil
		}
		if err := w.append(ctx, lines); err != nil {
			return err
		}
		w.mu.Lock()
		w.waiting = slices.Delete(w.waiting, 0, len(lines))
		w.mu.Unlock()
	}
}

// append does one append.
func (w *Writer) append(ctx context.Context, lines []Record) error {
	var data []json.RawMessage
	for _, r := range lines {
		env, err := record.New(r.ID, KindAudit, Schema, w.self, r)
		if err != nil {
			w.lg.Error("Audit line can't be encoded.", "err", err)
			continue
		}
		raw, err := env.Encode()
		if err != nil {
			w.lg.Error("Audit line can't be encoded.", "err", err)
			continue
		}
		data = append(data, raw)
	}
	if len(data) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(logsvc.WithClass(ctx, logsvc.ClassAudit), appendTimeout)
	defer cancel()
	_, err := w.log.Append(ctx, Stream, data)
	return err
}

// maxScan bounds the entries that one search reads.
const maxScan = 50_000

// ErrPartial says that a search ended before it had read all that is kept.
var ErrPartial = errors.New("the search read only the newest part of the trail")

// Search returns the newest lines that a filter selects, newest first and each id once.
func Search(ctx context.Context, r logsvc.Reader, f Filter, limit int) ([]Record, error) {
	out := []Record{}
	seen := map[string]bool{}
	scanned := 0
	err := follow.ReadBackwards(ctx, r, Stream, func(e logsvc.Entry) bool {
		scanned++
		line, ok := decode(e)
		if ok && !seen[line.ID] && f.Match(line) {
			seen[line.ID] = true
			out = append(out, line)
		}
		return len(out) < limit && scanned < maxScan
	})
	if err == nil && scanned >= maxScan {
		err = ErrPartial
	}
	return out, err
}

// decode returns the line in an entry.
func decode(e logsvc.Entry) (Record, bool) {
	env, err := record.Decode(e.Data)
	if err != nil || env.Kind != KindAudit || env.Schema != Schema {
		return Record{}, false
	}
	var r Record
	return r, json.Unmarshal(env.Body, &r) == nil && r.ID != ""
}
