package store

import (
	"context"
	"errors"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/crocusspring/crocusspring/internal/metrics"
)

// metered counts the calls to a store.
type metered struct {
	next  Store
	scope tally.Scope
}

// Metered returns a store that counts calls by topic and outcome and measures the duration of appends and
// snapshots.
func Metered(next Store, scope tally.Scope) Store { return &metered{next, scope} }

// Limits implements Store.
func (m *metered) Limits() Limits { return m.next.Limits() }

// outcomeLabel returns the metric label for the result of a call.
func outcomeLabel(err error) string {
	var conflict *ConflictError
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.Is(err, ErrRejected):
		return "rejected"
	case errors.Is(err, ErrRefused):
		return "refused"
	case errors.Is(err, ErrExpired):
		return "expired"
	}
	return "unknown"
}

// record updates the metrics with one call.
func (m *metered) record(call, topic string, began time.Time, err error) {
	tags := map[string]string{"call": call, "topic": topic, "outcome": outcomeLabel(err)}
	m.scope.Tagged(tags).Counter("store_calls").Inc(1)
	if call != "read" {
		// Reads wait for new records, so their duration is not a measure of the store's latency.
		m.scope.Tagged(map[string]string{"call": call}).Histogram("store_seconds", metrics.Seconds()).RecordValue(time.Since(began).Seconds())
	}
}

// Append implements Store.
func (m *metered) Append(ctx context.Context, topic string, at Offset, records []Record) (Offset, error) {
	began := time.Now()
	first, err := m.next.Append(ctx, topic, at, records)
	m.record("append", topic, began, err)
	return first, err
}

// Read implements Store.
func (m *metered) Read(ctx context.Context, topic string, from Offset, wait time.Duration) (Batch, error) {
	began := time.Now()
	b, err := m.next.Read(ctx, topic, from, wait)
	m.record("read", topic, began, err)
	return b, err
}

// Newest implements Store.
func (m *metered) Newest(ctx context.Context, topic string) (Snapshot, error) {
	began := time.Now()
	s, err := m.next.Newest(ctx, topic)
	m.record("newest", topic, began, err)
	return s, err
}
