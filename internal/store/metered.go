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

// Metered returns a store that counts its calls by topic and outcome, and measures how long they take.
func Metered(next Store, scope tally.Scope) Store { return &metered{next, scope} }

// outcome names what became of a call.
func outcome(err error) string {
	var conflict *ConflictError
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.Is(err, ErrRefused):
		return "refused"
	case errors.Is(err, ErrForgotten):
		return "expired"
	}
	return "unknown"
}

// done counts one call.
func (m *metered) done(call, topic string, began time.Time, err error) {
	tags := map[string]string{"call": call, "topic": topic, "outcome": outcome(err)}
	m.scope.Tagged(tags).Counter("store_calls").Inc(1)
	if call != "read" {
		// Reads wait for records, so their duration says nothing.
		m.scope.Tagged(map[string]string{"call": call}).Histogram("store_seconds", metrics.Seconds()).RecordValue(time.Since(began).Seconds())
	}
}

// Append implements Store.
func (m *metered) Append(ctx context.Context, topic string, at Offset, records []Record) (Offset, error) {
	began := time.Now()
	first, err := m.next.Append(ctx, topic, at, records)
	m.done("append", topic, began, err)
	return first, err
}

// Read implements Store.
func (m *metered) Read(ctx context.Context, topic string, from Offset, wait time.Duration) (Batch, error) {
	began := time.Now()
	b, err := m.next.Read(ctx, topic, from, wait)
	m.done("read", topic, began, err)
	return b, err
}

// Newest implements Store.
func (m *metered) Newest(ctx context.Context, topic string) (Snapshot, error) {
	began := time.Now()
	s, err := m.next.Newest(ctx, topic)
	m.done("newest", topic, began, err)
	return s, err
}
