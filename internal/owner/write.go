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

// write stores records at an offset of TopicRuns, and retries until the outcome is known.
func (c *Cell) write(ctx context.Context, at store.Offset, records []store.Record) error {
	if len(records) == 0 {
		return nil
	}
	for {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := c.store.Append(call, store.TopicRuns, at, records)
		cancel()
		var conflict *store.ConflictError
		switch {
		case err == nil:
			return nil
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
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := c.store.Append(call, store.TopicJobs, store.AnyOffset, jobs); err != nil {
		c.log.Warn(event.EndedNotDropped, "topic", store.TopicJobs, "jobs", len(ids), "err", err)
		return
	}
	if err := c.write(ctx, at, runs); err != nil {
		c.log.Warn(event.EndedNotDropped, "topic", store.TopicRuns, "jobs", len(ids), "err", err)
		return
	}
	c.mu.Lock()
	c.runsEnd += store.Offset(len(runs))
	c.mu.Unlock()
}
