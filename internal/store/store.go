// Package store is the port to the platform's metadata store: topics of keyed records whose newest
// value per key is kept for good, with appends under a condition.
package store

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Offset is a position in a topic, counted from 0 without gaps.
type Offset int64

// Anywhere is the condition of an append that has none.
const Anywhere Offset = -1

// Record is a key with its value; a record without a value drops the key.
type Record struct {
	Key    string
	Value  []byte
	Offset Offset
}

// Batch is what a read returned.
type Batch struct {
	Records []Record
	// Next is the offset to read from next, End the end of the topic.
	Next, End Offset
}

// Snapshot is the newest record of each key. Records appended while it was read may be missing; a read
// from End finds them.
type Snapshot struct {
	Records []Record
	End     Offset
}

// ErrRefused says that the store answered and surely did nothing. Other errors, conflicts aside, leave
// open whether an append took effect, or still will.
var ErrRefused = errors.New("refused by the store")

// ErrForgotten says that records at the wanted offset are no longer kept; read the newest of each key.
var ErrForgotten = errors.New("records expired")

// ConflictError says that the topic didn't end where an append demanded; nothing was appended.
type ConflictError struct{ End Offset }

// Error names the end of the topic.
func (e *ConflictError) Error() string { return fmt.Sprintf("topic ends at %d", e.End) }

// Store is the port. Every call is bounded by its context.
type Store interface {
	// Append adds records, all or none, and returns the offset of the first. With at other than
	// Anywhere, it fails with a *ConflictError unless the topic ends there.
	Append(ctx context.Context, topic string, at Offset, records []Record) (Offset, error)
	// Read returns records from an offset on, waiting for the first at most wait.
	Read(ctx context.Context, topic string, from Offset, wait time.Duration) (Batch, error)
	// Newest returns the newest record of each key.
	Newest(ctx context.Context, topic string) (Snapshot, error)
}

// Topics of the product.
const (
	// TopicJobs holds accepted jobs and cancellations, written by entries.
	TopicJobs = "keyed.jobs"
	// TopicRuns holds the progress of jobs, written by the owner alone.
	TopicRuns = "keyed.runs"
	// TopicOwner holds the lease of the cell.
	TopicOwner = "keyed.owner"
	// TopicNodes holds the addresses of all processes.
	TopicNodes = "keyed.nodes"
)

// Keys in TopicJobs begin with one of these, followed by the id of the job.
const (
	PrefixJob    = "j/"
	PrefixCancel = "c/"
)
