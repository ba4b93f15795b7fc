// Package configrun drives the fold of the configuration stream: it reads entries from the log and from
// peers, writes snapshots and publishes proposals.
package configrun

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/crocusspring/crocusspring/internal/config"
	"github.com/crocusspring/crocusspring/internal/follow"
	"github.com/crocusspring/crocusspring/internal/logsvc"
)

// WaitTimeout bounds how long a proposal waits for its verdict.
const WaitTimeout = 5 * time.Second

// Options are the parameters of a driver.
type Options struct {
	// Self names the process in records.
	Self string
	// SnapshotRecords and SnapshotAge bound the records and the time between two snapshots. The age must
	// be well below the retention time of the log.
	SnapshotRecords logsvc.Offset
	SnapshotAge     time.Duration
	// Rank returns the position of this process among the ready ones, from 0; nil for always 0. Rank 0
	// writes snapshots and reports changes; a process of a higher rank writes a due snapshot after a
	// delay that increases with its rank.
	Rank func() int
	// Follows reports whether this process is to follow the log itself; nil for always. One that does
	// not gets entries from its peers and polls the log every PollInterval on average, in case no
	// peer has any.
	Follows      func() bool
	PollInterval time.Duration
	// OnChange is called with each change while this process has rank 0; nil for no calls. It must not block.
	OnChange func(config.Change)
}

const (
	snapshotRecords = 200
	snapshotAge     = time.Hour
	snapshotRetry   = 3 * time.Second
	pollInterval    = 2 * time.Second
	// rankDelay is the additional delay per rank before a due snapshot is written.
	rankDelay = 2 * time.Second
	// maintenanceInterval is the time between two checks of the rank and of whether a snapshot is due.
	maintenanceInterval = 500 * time.Millisecond
)

// Driver maintains the effective configuration. Use New to make one.
type Driver struct {
	opt       Options
	logClient logsvc.Client
	logger    *log.Logger

	view atomic.Pointer[config.View]

	mu            sync.Mutex
	state         *config.State
	recentEntries recentEntries
	schedule      follow.Schedule
	dueSince      time.Time
	first         logsvc.Offset
	ready         bool
	updated       chan struct{}
	recentChanges recentChanges
	logOK         atomic.Bool
}

// New returns a driver at the start of the stream.
func New(logClient logsvc.Client, opt Options, logger *log.Logger) *Driver {
	if opt.SnapshotRecords <= 0 {
		opt.SnapshotRecords = snapshotRecords
	}
	if opt.SnapshotAge <= 0 {
		opt.SnapshotAge = snapshotAge
	}
	if opt.Rank == nil {
		opt.Rank = func() int { return 0 }
	}
	if opt.Follows == nil {
		opt.Follows = func() bool { return true }
	}
	if opt.PollInterval <= 0 {
		opt.PollInterval = pollInterval
	}
	d := &Driver{opt: opt, logClient: logClient, logger: logger, state: config.NewState(), updated: make(chan struct{}), first: 1}
	d.schedule = follow.Schedule{Records: opt.SnapshotRecords, Age: opt.SnapshotAge, Retry: snapshotRetry}
	d.view.Store(d.state.View())
	return d
}

// Run follows the stream until ctx ends.
func (d *Driver) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.maintain(ctx)
	}()
	follow.Fold(ctx, monitoredLog{d}, config.Stream, d, d.logger)
	<-done
}

// Next implements follow.Folder.
func (d *Driver) Next() logsvc.Offset {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Next()
}

// Fold implements follow.Folder.
func (d *Driver) Fold(b logsvc.Batch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.first = b.First
	d.foldEntries(b.Entries)
	if d.state.Next() >= b.Tail {
		d.markReady("the tail of the log")
	}
}

// Restore implements follow.Folder.
func (d *Driver) Restore(s follow.Snapshot) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.restore(s)
}

// restore replaces the state by a snapshot unless the state covers as much. The caller holds the lock.
func (d *Driver) restore(s follow.Snapshot) error {
	if s.Schema != config.SnapshotSchema {
		return fmt.Errorf("snapshot has unknown version %d", s.Schema)
	}
	if err := d.state.Restore(s.Next, s.State); err != nil {
		d.logger.Error("Snapshot is bad.", "next", s.Next, "err", err)
		return err
	}
	d.publish()
	return nil
}

// foldEntries folds entries in order. It skips those that were folded before and stops at a gap. The caller
// holds the lock.
func (d *Driver) foldEntries(entries []logsvc.Entry) {
	for _, e := range entries {
		if e.Offset < d.state.Next() {
			continue
		}
		c, err := d.state.Step(e)
		var gap *config.GapError
		if errors.As(err, &gap) {
			break
		}
		if err != nil {
			d.logger.Error("Entry is bad.", "err", err)
		}
		d.recentEntries.add(e)
		if _, ok := follow.ReadSnapshot(e); ok {
			d.schedule.Seen(time.Now(), e.Offset)
		}
		if err == nil && !c.Repeated {
			d.recentChanges.add(c)
			d.reportChange(c)
		}
	}
	d.publish()
}

// publish makes the current view the effective one and wakes the waiters. The caller holds the lock.
func (d *Driver) publish() {
	d.view.Store(d.state.View())
	close(d.updated)
	d.updated = make(chan struct{})
}

// markReady marks the state as complete. This is never reverted: a process that falls behind later serves
// the configuration it has and reports its offset. The caller holds the lock.
func (d *Driver) markReady(by string) {
	if !d.ready {
		d.logger.Info("Configuration is complete.", "offset", d.state.Next()-1, "by", by)
	}
	d.ready = true
}

// Current returns the effective configuration in its internal form.
func (d *Driver) Current() *config.View { return d.view.Load() }

// View calls f with the state under the driver's lock. f must not keep it.
func (d *Driver) View(f func(*config.State)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.state)
}

// Offset returns the newest offset that the effective configuration covers; 0 for none.
func (d *Driver) Offset() logsvc.Offset { return d.view.Load().Offset }

// Ready reports whether the state has ever been complete: it reached the tail of the stream or the offset
// of a ready peer.
func (d *Driver) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ready
}

// Await waits until the state covers an offset or ctx ends.
func (d *Driver) Await(ctx context.Context, offset logsvc.Offset) {
	for {
		d.mu.Lock()
		done, updated := d.state.Next() > offset, d.updated
		d.mu.Unlock()
		if done {
			return
		}
		select {
		case <-updated:
		case <-ctx.Done():
			return
		}
	}
}
