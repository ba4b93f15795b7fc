// Package logsvc is the port to the platform's append-only log service and its HTTP adapter.
//
// The service gives one total order per stream and nothing else. Every answer to an append may be lost
// after the append took effect, so callers find out by reading forward for the record's id, see Settle.
package logsvc

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Offset is a position in a stream; the first record ever appended has offset 1.
type Offset int64

// Entry is one record with its position.
type Entry struct {
	Offset Offset          `json:"offset"`
	Data   json.RawMessage `json:"data"`
}

// Batch is the answer to one read.
type Batch struct {
	Entries []Entry `json:"entries"`
	// First is the oldest offset the service still keeps.
	First Offset `json:"first"`
	// Next is the offset to read from next.
	Next Offset `json:"next"`
	// Tail is the offset the next appended record will get.
	Tail Offset `json:"tail"`
}

// Appender adds records to a stream.
type Appender interface {
	// Append adds records in order and returns the offset of the first.
	// ErrRefused means none was added; after any other error they may have been.
	Append(ctx context.Context, stream string, records []json.RawMessage) (Offset, error)
}

// Reader reads records of a stream.
type Reader interface {
	// Read returns up to limit records from an offset on and waits up to wait for the first.
	// It returns an *ExpiredError when the offset is older than what the service keeps.
	Read(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) (Batch, error)
}

// Client is the whole port: it appends and reads.
type Client interface {
	Appender
	Reader
}

// ErrRefused says that the service refused an append before it took effect.
var ErrRefused = errors.New("log service refused the append")

// ExpiredError says that an offset is past retention.
type ExpiredError struct {
	Stream string
	From   Offset
	First  Offset
}

// Error names the stream and both offsets.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("stream %s: offset %d has expired, the oldest is %d", e.Stream, e.From, e.First)
}
