package owner

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/pause"
	"github.com/crocusspring/crocusspring/internal/store"
)

// written is the outcome of a write.
type written struct {
	// end is the offset of the next record.
	end store.Offset
	// rejected are the keys of records that the store doesn't take.
	rejected []string
}

// write stores records at an offset of TopicRuns, in order and in as many appends as they need, and retries until the
// outcome is known. Records that the store rejects are left out.
func (c *Cell) write(ctx context.Context, at store.Offset, records []store.Record) (written, error) {
	w := written{end: at}
	for _, call := range c.store.Limits().Calls(records) {
		if err := c.writeCall(ctx, &w, call); err != nil {
			return w, err
		}
	}
	return w, nil
}

// writeCall stores the records of one append. If the store rejects them it stores each by itself: one that can't be stored
// must not keep the others from it.
func (c *Cell) writeCall(ctx context.Context, w *written, records []store.Record) error {
	err := c.append(ctx, w.end, records)
	switch {
	case err == nil:
		w.end += store.Offset(len(records))
		return nil
	case !errors.Is(err, store.ErrRejected):
		return err
	case len(records) == 1:
		c.log.Error(event.RecordRejected, "topic", store.TopicRuns, "key", records[0].Key, "bytes", records[0].Size(), "err", err)
		c.scope.Counter("records_rejected").Inc(1)
		w.rejected = append(w.rejected, records[0].Key)
		return nil
	}
	for i := range records {
		if err := c.writeCall(ctx, w, records[i:i+1]); err != nil {
			return err
		}
	}
	return nil
}

// append stores records at an offset of TopicRuns in one append, and retries until the outcome is known.
func (c *Cell) append(ctx context.Context, at store.Offset, records []store.Record) error {
	for {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := c.store.Append(call, store.TopicRuns, at, records)
		cancel()
		var conflict *store.ConflictError
		switch {
		case err == nil || errors.Is(err, store.ErrRejected):
			return err
		case errors.As(err, &conflict):
			return c.resolveConflict(ctx, at, records)
		}
		c.log.Warn(event.DecisionsNotStored, "records", len(records), "at", at, "err", err)
		if err := c.owns(); err != nil {
			return err
		}
		if !pause.For(ctx, retryPause) {
			return ctx.Err()
		}
	}
}

// resolveConflict determines after a conflict whether the records at an offset are these ones, stored by an earlier
// attempt whose answer was lost.
func (c *Cell) resolveConflict(ctx context.Context, at store.Offset, records []store.Record) error {
	for {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		b, err := c.store.Read(call, store.TopicRuns, at, 0)
		cancel()
		if err == nil && (!startsWith(records, b.Records) || len(b.Records) == 0) || errors.Is(err, store.ErrExpired) {
			return fmt.Errorf("%w: runs go on at offset %d with other records", errReplaced, at)
		}
		if err == nil {
			// A read may return a part of the records.
			at, records = b.Next, records[len(b.Records):]
			if len(records) == 0 {
				return nil
			}
			continue
		}
		if err := c.owns(); err != nil {
			return err
		}
		if !pause.For(ctx, retryPause) {
			return ctx.Err()
		}
	}
}

// startsWith reports whether a list of records starts with others, by their keys and values.
func startsWith(records, first []store.Record) bool {
	if len(first) > len(records) {
		return false
	}
	for i, r := range first {
		if records[i].Key != r.Key || !bytes.Equal(records[i].Value, r.Value) {
			return false
		}
	}
	return true
}

// sweep drops the stored records of ended jobs whose state can no longer be queried.
func (c *Cell) sweep(ctx context.Context) {
	if c.owns() != nil {
		// The records of jobs are deleted without a condition.
		return
	}
	c.mu.Lock()
	ids := c.core.DropExpiredJobs(time.Now())
	at := c.runsEnd
	c.mu.Unlock()
	if len(ids) == 0 {
		return
	}
	var runs, jobs []store.Record
	for _, id := range ids {
		runs = append(runs, store.Record{Key: id})
		jobs = append(jobs, store.Record{Key: store.PrefixJob + id}, store.Record{Key: store.PrefixCancel + id})
	}
	for _, records := range c.store.Limits().Calls(jobs) {
		if err := c.appendJobs(ctx, records); err != nil {
			c.log.Warn(event.EndedNotDropped, "topic", store.TopicJobs, "jobs", len(ids), "err", err)
			return
		}
	}
	w, err := c.write(ctx, at, runs)
	if err != nil {
		c.log.Warn(event.EndedNotDropped, "topic", store.TopicRuns, "jobs", len(ids), "err", err)
	}
	c.mu.Lock()
	c.runsEnd = w.end
	c.mu.Unlock()
}

// appendJobs appends records to TopicJobs.
func (c *Cell) appendJobs(ctx context.Context, records []store.Record) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := c.store.Append(call, store.TopicJobs, store.AnyOffset, records)
	return err
}
