package owner

import (
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
		if err == nil && sameRecords(b.Records, records) {
			return nil
		}
		if err == nil || errors.Is(err, store.ErrExpired) {
			return fmt.Errorf("%w: runs go on at offset %d with other records", errReplaced, at)
		}
		if err := c.owns(); err != nil {
			return err
		}
		if !pause.For(ctx, retryPause) {
			return ctx.Err()
		}
	}
}

// sameRecords reports whether two lists of records have the same keys and values.
func sameRecords(got, want []store.Record) bool {
	if len(got) < len(want) {
		return false
	}
	for i, r := range want {
		if got[i].Key != r.Key || string(got[i].Value) != string(r.Value) {
			return false
		}
	}
	return len(got) == len(want)
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
