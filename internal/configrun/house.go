package configrun

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/crocusspring/crocusspring/internal/config"
	"github.com/crocusspring/crocusspring/internal/follow"
	"github.com/crocusspring/crocusspring/internal/logsvc"
)

// keptChanges is how many changes are reported again by a process that comes to rank 0.
const keptChanges = 64

// changes keeps the newest changes for whoever comes to rank 0, so that none is left out when the
// process that was there ended before it reported them.
type changes struct {
	newest []config.Change
	lead   bool
}

// add keeps one change.
func (c *changes) add(ch config.Change) {
	c.newest = append(c.newest, ch)
	if over := len(c.newest) - keptChanges; over > 0 {
		c.newest = append([]config.Change(nil), c.newest[over:]...)
	}
}

// tell reports a change while this process is at rank 0. The caller holds the lock.
func (d *Driver) tell(c config.Change) {
	if d.changes.lead && d.opt.Changed != nil {
		d.opt.Changed(c)
	}
}

// house writes snapshots and keeps track of the rank until ctx ends.
func (d *Driver) house(ctx context.Context) {
	t := time.NewTicker(houseEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		rank := d.opt.Rank()
		d.lead(rank == 0)
		if d.snapshotDue(time.Now(), rank) {
			d.writeSnapshot(ctx)
		}
	}
}

// lead notes whether this process is at rank 0. One that comes there reports the newest changes again.
func (d *Driver) lead(now bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now = now && d.ready
	if now && !d.changes.lead && d.opt.Changed != nil {
		for _, c := range d.changes.newest {
			d.opt.Changed(c)
		}
	}
	d.changes.lead = now
}

// snapshotDue reports whether this process is to write a snapshot now. The higher its rank, the longer
// the snapshot must have been due.
func (d *Driver) snapshotDue(now time.Time, rank int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.ready || !d.schedule.Due(now, d.first, d.state.Next()) {
		d.dueSince = time.Time{}
		return false
	}
	if d.dueSince.IsZero() {
		d.dueSince = now
	}
	if now.Sub(d.dueSince) < time.Duration(rank)*rankDelay {
		return false
	}
	d.schedule.Appending(now)
	return true
}

// writeSnapshot appends a snapshot of the state. It counts once it is read.
func (d *Driver) writeSnapshot(ctx context.Context) {
	d.mu.Lock()
	next := d.state.Next()
	state, err := d.state.Snapshot()
	d.mu.Unlock()
	if err != nil {
		d.lg.Error("Snapshot can't be made.", "err", err)
		return
	}
	s := follow.Snapshot{Next: next, Schema: config.SnapshotSchema, State: state}
	data, err := follow.NewSnapshot(fmt.Sprintf("snapshot-%s-%d", d.opt.Self, next), d.opt.Self, s)
	if err != nil {
		d.lg.Error("Snapshot can't be made.", "err", err)
		return
	}
	_, err = d.log.Append(logsvc.WithClass(ctx, logsvc.ClassConfig), config.Stream, []json.RawMessage{data})
	if err != nil {
		d.lg.Warn("Snapshot may not stand in the log.", "err", err)
		return
	}
	d.lg.Info("Snapshot is written.", "next", next, "bytes", len(data))
}
