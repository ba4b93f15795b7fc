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

// maxRecentChanges is how many changes a process reports again when it gets rank 0.
const maxRecentChanges = 64

// recentChanges keeps the newest changes. A process that gets rank 0 reports them again, so that none is
// missing when its predecessor ended before it reported them.
type recentChanges struct {
	newest  []config.Change
	leading bool
}

// add adds one change and drops the oldest ones beyond maxRecentChanges.
func (c *recentChanges) add(ch config.Change) {
	c.newest = append(c.newest, ch)
	if over := len(c.newest) - maxRecentChanges; over > 0 {
		c.newest = append([]config.Change(nil), c.newest[over:]...)
	}
}

// reportChange reports a change if this process has rank 0. The caller holds the lock.
func (d *Driver) reportChange(c config.Change) {
	if d.recentChanges.leading && d.opt.OnChange != nil {
		d.opt.OnChange(c)
	}
}

// maintain updates the rank and writes due snapshots until ctx ends.
func (d *Driver) maintain(ctx context.Context) {
	t := time.NewTicker(maintenanceInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		rank := d.opt.Rank()
		d.setLeading(rank == 0)
		if d.snapshotDue(time.Now(), rank) {
			d.writeSnapshot(ctx)
		}
	}
}

// setLeading records whether this process has rank 0 and is ready. When that becomes true, it reports the
// newest changes again.
func (d *Driver) setLeading(leading bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	leading = leading && d.ready
	if leading && !d.recentChanges.leading && d.opt.OnChange != nil {
		for _, c := range d.recentChanges.newest {
			d.opt.OnChange(c)
		}
	}
	d.recentChanges.leading = leading
}

// snapshotDue reports whether this process is to write a snapshot now: it is ready and a snapshot has been
// due for at least rank times rankDelay. Reporting true starts the wait before the next try.
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

// writeSnapshot appends a snapshot of the state. The snapshot takes effect when it is read from the log.
func (d *Driver) writeSnapshot(ctx context.Context) {
	d.mu.Lock()
	next := d.state.Next()
	state, err := d.state.Snapshot()
	d.mu.Unlock()
	if err != nil {
		d.logger.Error("Snapshot can't be made.", "err", err)
		return
	}
	s := follow.Snapshot{Next: next, Schema: config.SnapshotSchema, State: state}
	data, err := follow.NewSnapshot(fmt.Sprintf("snapshot-%s-%d", d.opt.Self, next), d.opt.Self, s)
	if err != nil {
		d.logger.Error("Snapshot can't be made.", "err", err)
		return
	}
	_, err = d.logClient.Append(logsvc.WithClass(ctx, logsvc.ClassConfig), config.Stream, []json.RawMessage{data})
	if err != nil {
		d.logger.Warn("Snapshot may not stand in the log.", "err", err)
		return
	}
	d.logger.Info("Snapshot is written.", "next", next, "bytes", len(data))
}
