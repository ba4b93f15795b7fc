// Package configrun drives the fold of the configuration stream: it reads the log, takes what peers
// pass on, writes snapshots and publishes proposals.
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
	// SnapshotRecords and SnapshotAge bound what stands between two snapshots. The age must be well
	// inside the retention time of the log.
	SnapshotRecords logsvc.Offset
	SnapshotAge     time.Duration
	// Rank returns the place of this process among those that are ready, from 0. The one at 0 writes
	// snapshots and reports changes; others stand in the later the higher their rank.
	Rank func() int
	// Follows reports whether this process is to follow the log itself; nil for always. One that does
	// not gets entries from its peers and looks at the log every Look, in case none of them has any.
	Follows func() bool
	Look    time.Duration
	// Changed is told of each change while this process is at rank 0; nil for nobody. It must not block.
	Changed func(config.Change)
}

const (
	snapshotRecords = 200
	snapshotAge     = time.Hour
	snapshotRetry   = 3 * time.Second
	look            = 2 * time.Second
	// rankDelay is how much longer each rank waits before it writes a snapshot that is due.
	rankDelay = 2 * time.Second
	// houseEvery is how often the driver looks whether a snapshot is due.
	houseEvery = 500 * time.Millisecond
)

// Driver keeps the configuration in force. Use New to make one.
type Driver struct {
	opt Options
	log logsvc.Client
	lg  *log.Logger

	view atomic.Pointer[config.View]

	mu       sync.Mutex
	state    *config.State
	passed   passed
	schedule follow.Schedule
	dueSince time.Time
	first    logsvc.Offset
	ready    bool
	grown    chan struct{}
	changes  changes
	logOK    atomic.Bool
}

// New returns a driver that has folded nothing yet.
func New(lc logsvc.Client, opt Options, lg *log.Logger) *Driver {
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
	if opt.Look <= 0 {
		opt.Look = look
	}
	d := &Driver{opt: opt, log: lc, lg: lg, state: config.NewState(), grown: make(chan struct{}), first: 1}
	d.schedule = follow.Schedule{Records: opt.SnapshotRecords, Age: opt.SnapshotAge, Retry: snapshotRetry}
	d.view.Store(d.state.View())
	return d
}

// Run follows the stream until ctx ends.
func (d *Driver) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.house(ctx)
	}()
	follow.Fold(ctx, watched{d}, config.Stream, d, d.lg)
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
	d.take(b.Entries)
	if d.state.Next() >= b.Tail {
		d.becomeReady("the tail of the log")
	}
}

// Restore implements follow.Folder.
func (d *Driver) Restore(s follow.Snapshot) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.restore(s)
}

// restore replaces the state by a snapshot that covers more. The caller holds the lock.
func (d *Driver) restore(s follow.Snapshot) error {
	if s.Schema != config.SnapshotSchema {
		return fmt.Errorf("snapshot has unknown version %d", s.Schema)
	}
	if err := d.state.Restore(s.Next, s.State); err != nil {
		d.lg.Error("Snapshot is bad.", "next", s.Next, "err", err)
		return err
	}
	d.publish()
	return nil
}

// take folds entries in order and skips those that were folded. The caller holds the lock.
func (d *Driver) take(entries []logsvc.Entry) {
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
			d.lg.Error("Entry is bad.", "err", err)
		}
		d.passed.add(e)
		if _, ok := follow.ReadSnapshot(e); ok {
			d.schedule.Seen(time.Now(), e.Offset)
		}
		if err == nil && !c.Repeated {
			d.changes.add(c)
			d.tell(c)
		}
	}
	d.publish()
}

// publish puts the view in force and wakes those who wait. The caller holds the lock.
func (d *Driver) publish() {
	d.view.Store(d.state.View())
	close(d.grown)
	d.grown = make(chan struct{})
}

// becomeReady notes that the state is complete. It stays so: a process that falls behind later serves
// what it has and reports its offset. The caller holds the lock.
func (d *Driver) becomeReady(by string) {
	if !d.ready {
		d.lg.Info("Configuration is complete.", "offset", d.state.Next()-1, "by", by)
	}
	d.ready = true
}

// Current returns the configuration in force in its internal form.
func (d *Driver) Current() *config.View { return d.view.Load() }

// View calls f with the state under the driver's lock. f must not keep it.
func (d *Driver) View(f func(*config.State)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.state)
}

// Offset returns the newest offset in force; 0 for none.
func (d *Driver) Offset() logsvc.Offset { return d.view.Load().Offset }

// Ready reports whether the tail of the stream has been reached once, here or by a ready peer that
// passed on all it has.
func (d *Driver) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ready
}

// Await waits until an offset is in force or ctx ends.
func (d *Driver) Await(ctx context.Context, offset logsvc.Offset) {
	for {
		d.mu.Lock()
		done, grown := d.state.Next() > offset, d.grown
		d.mu.Unlock()
		if done {
			return
		}
		select {
		case <-grown:
		case <-ctx.Done():
			return
		}
	}
}
