package cellrun

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/crocusspring/crocusspring/internal/cell"
	"github.com/crocusspring/crocusspring/internal/follow"
	"github.com/crocusspring/crocusspring/internal/logsvc"
)

// expiryCheckInterval is the time between two checks whether anything is left of a stream that can't be
// folded.
const expiryCheckInterval = 5 * time.Second

// Next implements follow.Folder.
func (d *Driver) Next() (next logsvc.Offset) {
	d.View(func(c *cell.Core) { next = c.Next() })
	return next
}

// Fold implements follow.Folder.
func (d *Driver) Fold(b logsvc.Batch) {
	d.step(cell.Entries{Entries: b.Entries, First: b.First, Tail: b.Tail})
}

// Restore implements follow.Folder.
func (d *Driver) Restore(s follow.Snapshot) error {
	snap := cell.Snapshot{Next: s.Next, Schema: s.Schema}
	if err := json.Unmarshal(s.State, &snap.State); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	var err error
	d.View(func(c *cell.Core) { err = c.Restore(time.Now(), snap) })
	if err == nil {
		d.lg.Info("Fold starts from a snapshot.", "stream", cell.Stream(d.name), "next", s.Next)
	}
	return err
}

// restartExpired lets the cell start from an empty fold when all entries of its stream have expired, since
// then no snapshot will ever follow that the fold could start from.
func (d *Driver) restartExpired() error {
	t := time.NewTicker(expiryCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return nil
		case <-t.C:
		}
		ready := false
		d.View(func(c *cell.Core) { ready = c.Ready() })
		if tail, ok := d.allExpired(); !ready && ok {
			d.step(cell.StreamExpired{Tail: tail})
		}
	}
}

// allExpired reports whether nothing is left of the stream though it once had entries, and its tail.
func (d *Driver) allExpired() (logsvc.Offset, bool) {
	ctx, cancel := context.WithTimeout(d.ctx, appendTimeout)
	defer cancel()
	_, err := d.log.Read(ctx, cell.Stream(d.name), d.Next(), 1, 0)
	var expired *logsvc.ExpiredError
	if !errors.As(err, &expired) {
		return 0, false
	}
	b, err := d.log.Read(ctx, cell.Stream(d.name), expired.First, 1, 0)
	return b.Tail, err == nil && b.Tail == expired.First
}
