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
	// maxPending bounds the records that wait to be written.
	maxPending = 4096
	// maxBatch bounds the records of one append.
	maxBatch          = 200
	appendTimeout     = 5 * time.Second
	initialRetryDelay = 200 * time.Millisecond
	maxRetryDelay     = 5 * time.Second
)

// Writer is a Sink that appends records to the log in the background and in order. Records stay queued
// during an outage of the log; while the queue is full, new records are dropped and counted. Use NewWriter
// to create one.
type Writer struct {
	log  logsvc.Appender
	self string
	lg   *log.Logger

	mu      sync.Mutex
	pending []Record
	dropped int
	wake    chan struct{}
}

// NewWriter returns a writer; self names the process in the envelopes of its records.
func NewWriter(lc logsvc.Appender, self string, lg *log.Logger) *Writer {
	return &Writer{log: lc, self: self, lg: lg, wake: make(chan struct{}, 1)}
}

// Add implements Sink.
func (w *Writer) Add(r Record) {
	if r.ID == "" {
		r.ID = record.NewID()
	}
	if r.Time.IsZero() {
		r.Time = time.Now().UTC()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending) >= maxPending {
		w.dropped++
		return
	}
	w.pending = append(w.pending, r)
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Dropped returns the number of records that were dropped because the queue was full.
func (w *Writer) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Pending returns the number of records that are not written yet.
func (w *Writer) Pending() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.pending)
}

// Run writes records until ctx ends; then it tries once more to write the queued records.
func (w *Writer) Run(ctx context.Context) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = initialRetryDelay, maxRetryDelay
	for {
		wake := w.wake
		var retry <-chan time.Time
		if err := w.write(ctx); err != nil {
			w.lg.Debug("Audit lines wait.", "err", err)
			wake, retry = nil, time.After(pause.NextBackOff())
		} else {
			pause.Reset()
		}
		select {
		case <-ctx.Done():
			if err := w.write(context.WithoutCancel(ctx)); err != nil {
				w.lg.Error("Audit lines are lost.", "lines", w.Pending(), "err", err)
			}
			return
		case <-wake:
		case <-retry:
		}
	}
}

// write appends the queued records. Records that may not be in the log stay queued and are appended again;
// readers ignore duplicate ids.
func (w *Writer) write(ctx context.Context) error {
	for {
		w.mu.Lock()
		records := slices.Clone(w.pending[:min(maxBatch, len(w.pending))])
		w.mu.Unlock()
		if len(records) == 0 {
			return nil
		}
		if err := w.append(ctx, records); err != nil {
			return err
		}
		w.mu.Lock()
		w.pending = slices.Delete(w.pending, 0, len(records))
		w.mu.Unlock()
	}
}

// append encodes records and appends them in one call; it skips and logs those that can't be encoded.
func (w *Writer) append(ctx context.Context, records []Record) error {
	var data []json.RawMessage
	for _, r := range records {
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

// ErrPartial means that a search ended after maxScan entries, possibly before it had read the whole trail.
var ErrPartial = errors.New("the search read only the newest part of the trail")

// Search returns the newest records that a filter selects, up to limit, newest first and each id once.
func Search(ctx context.Context, r logsvc.Reader, f Filter, limit int) ([]Record, error) {
	out := []Record{}
	seen := map[string]bool{}
	scanned := 0
	err := follow.ReadBackwards(ctx, r, Stream, func(e logsvc.Entry) bool {
		scanned++
		rec, ok := decode(e)
		if ok && !seen[rec.ID] && f.Match(rec) {
			seen[rec.ID] = true
			out = append(out, rec)
		}
		return len(out) < limit && scanned < maxScan
	})
	if err == nil && scanned >= maxScan {
		err = ErrPartial
	}
	return out, err
}

// decode returns the audit record in an entry of the log, if it holds one.
func decode(e logsvc.Entry) (Record, bool) {
	env, err := record.Decode(e.Data)
	if err != nil || env.Kind != KindAudit || env.Schema != Schema {
		return Record{}, false
	}
	var r Record
	return r, json.Unmarshal(env.Body, &r) == nil && r.ID != ""
}
