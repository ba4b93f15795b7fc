// Package store is the interface to the platform's metadata store: compacted topics of keyed records,
// which keep the newest value of each key for good, with conditional appends.
package store

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Offset is a position in a topic, starting at 0 and without gaps.
type Offset int64

// AnyOffset makes an append unconditional.
const AnyOffset Offset = -1

// Record is a key with its value; a record without a value deletes the key.
type Record struct {
	Key    string
	Value  []byte
	Offset Offset
}

// Batch is the result of a read.
type Batch struct {
	Records []Record
	// Next is the offset for the next read; End is the end of the topic.
	Next, End Offset
}

// Current reports whether the batch reaches the end of the topic. A store answers with a part of the records that are
// there, so that a batch which doesn't says nothing about those that follow it.
func (b *Batch) Current() bool { return b.Next >= b.End }

// Snapshot holds the newest record of each key. Records appended while it was taken may be missing; a
// read from End returns them.
type Snapshot struct {
	Records []Record
	End     Offset
}

// ErrRefused means that the store answered and is known to have done nothing. After any other error except
// a *ConflictError, an append may have taken effect or may still do so.
var ErrRefused = errors.New("refused by the store")

// ErrBusy means that records were not sent, since the store takes too long for the appends before them; another way to it
// would take as long. It is an ErrRefused.
var ErrBusy = fmt.Errorf("%w: busy with other appends", ErrRefused)

// ErrExpired means that the records at the requested offset are no longer kept; take a snapshot with
// Newest instead.
var ErrExpired = errors.New("records expired")

// ConflictError means that the topic didn't end at the offset that an append required; nothing was
// appended. End is the actual end.
type ConflictError struct{ End Offset }

// Error returns a message with the actual end of the topic.
func (e *ConflictError) Error() string { return fmt.Sprintf("topic ends at %d", e.End) }

// Store is the interface to the store. Every call ends with its context at the latest.
type Store interface {
	// Limits returns the sizes that the store takes.
	Limits() Limits
	// Append appends records atomically and returns the offset of the first. Unless at is AnyOffset, it
	// fails with a *ConflictError if the topic doesn't end at that offset. It fails with an ErrRejected if the store
	// doesn't take such records, for instance beyond its Limits.
	Append(ctx context.Context, topic string, at Offset, records []Record) (Offset, error)
	// Read returns records from an offset on, not necessarily all. If there are none yet, it waits for at most wait.
	Read(ctx context.Context, topic string, from Offset, wait time.Duration) (Batch, error)
	// Newest returns the newest record of each key.
	Newest(ctx context.Context, topic string) (Snapshot, error)
}

// Topics of the product.
const (
	// TopicJobs holds accepted jobs and cancellations, written by entries.
	TopicJobs = "keyed.jobs"
	// TopicRuns holds the progress of jobs, written only by the owner.
	TopicRuns = "keyed.runs"
	// TopicOwner holds the owner's lease of the cell.
	TopicOwner = "keyed.owner"
	// TopicNodes holds the addresses of all processes.
	TopicNodes = "keyed.nodes"
)

// Keys in TopicJobs begin with one of these, followed by the id of the job.
const (
	PrefixJob    = "j/"
	PrefixCancel = "c/"
)
