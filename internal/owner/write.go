package owner

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strconv"
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
	at, err := c.append(ctx, w.end, records)
	w.end = at
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

// append stores records at an offset of TopicRuns in one append, and retries until the outcome is known. It returns the
// offset of the first: records of other writers may have come in between.
func (c *Cell) append(ctx context.Context, at store.Offset, records []store.Record) (store.Offset, error) {
	for {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := c.store.Append(call, store.TopicRuns, at, records)
		cancel()
		var conflict *store.ConflictError
		if err == nil || errors.Is(err, store.ErrRejected) {
			return at, err
		}
		if errors.As(err, &conflict) {
			next, stored, err := c.resolveConflict(ctx, at, records)
			if err != nil || stored {
				return at, err
			}
			at = next
			continue
		}
		c.log.Warn(event.DecisionsNotStored, "records", len(records), "at", at, "err", err)
		if err := c.owns(); err != nil {
			return at, err
		}
		if !pause.For(ctx, retryPause) {
			return at, ctx.Err()
		}
	}
}

// resolveConflict determines after a conflict whether the records at an offset are these ones, stored by an earlier
// attempt whose answer was lost. Otherwise, unless another process has taken the cell, other writers have appended records;
// it returns where they end.
func (c *Cell) resolveConflict(ctx context.Context, at store.Offset, records []store.Record) (end store.Offset, stored bool, err error) {
	var found []store.Record
	for {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		b, err := c.store.Read(call, store.TopicRuns, at+store.Offset(len(found)), 0)
		cancel()
		switch {
		case errors.Is(err, store.ErrExpired):
			return 0, false, fmt.Errorf("%w: runs have expired from offset %d on", errReplaced, at)
		case err == nil:
			found = append(found, b.Records...)
			if startsWith(found, records) {
				return 0, true, nil
			}
			if b.Current() && len(found) == 0 {
				return 0, false, fmt.Errorf("%w: runs end at offset %d, before %d", errReplaced, b.End, at)
			}
			if b.Current() {
				return b.End, false, c.stepOver(at, found)
			}
			continue
		}
		if err := c.owns(); err != nil {
			return 0, false, err
		}
		if !pause.For(ctx, retryPause) {
			return 0, false, ctx.Err()
		}
	}
}

// stepOver handles records that the owner didn't append. A successor's first record is a fence with a higher epoch. Without
// one they are of other writers, and what they have overwritten is stored again.
func (c *Cell) stepOver(at store.Offset, found []store.Record) error {
	keys := make([]string, len(found))
	for i, r := range found {
		keys[i] = r.Key
		if epoch, err := strconv.ParseInt(string(r.Value), 10, 64); r.Key == ownerKey && err == nil && epoch > c.epoch {
			return fmt.Errorf("%w: its fence is at offset %d", errReplaced, at+store.Offset(i))
		}
	}
	c.log.Error(event.ForeignRecords, "topic", store.TopicRuns, "at", at, "records", len(found), "keys", fmt.Sprintf("%.200q", keys))
	c.scope.Counter("foreign_records").Inc(int64(len(found)))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.Overwritten(keys)
	return nil
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

// sweep drops the stored records of ended jobs whose state can no longer be queried, and cancellations of jobs that never came.
func (c *Cell) sweep(ctx context.Context) {
	if c.owns() != nil {
		// The records of jobs are deleted without a condition.
		return
	}
	c.mu.Lock()
	ids := c.core.DropExpiredJobs(time.Now())
	cancelled := c.core.DropExpiredCancellations(time.Now())
	at := c.runsEnd
	c.mu.Unlock()
	var runs, jobs []store.Record
	for _, id := range cancelled {
		jobs = append(jobs, store.Record{Key: store.PrefixCancel + id})
	}
	for _, id := range ids {
		runs = append(runs, store.Record{Key: id})
		jobs = append(jobs, store.Record{Key: store.PrefixJob + id}, store.Record{Key: store.PrefixCancel + id})
	}
	for _, records := range c.store.Limits().Calls(jobs) {
		if err := c.appendJobs(ctx, records); err != nil {
			c.log.Warn(event.EndedNotDropped, "topic", store.TopicJobs, "jobs", len(ids)+len(cancelled), "err", err)
			return
		}
	}
	if len(runs) == 0 {
		return
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
