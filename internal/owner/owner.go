// Package owner drives the scheduler of a cell while this process owns it: it loads the cell from the
// store, follows new jobs, stores decisions before they take effect, and serves guards and entries.
package owner

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/crocusspring/crocusspring/internal/drains"
	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/metrics"
	"github.com/crocusspring/crocusspring/internal/ownership"
	"github.com/crocusspring/crocusspring/internal/pause"
	"github.com/crocusspring/crocusspring/internal/safe"
	"github.com/crocusspring/crocusspring/internal/sched"
	"github.com/crocusspring/crocusspring/internal/store"
	"github.com/crocusspring/crocusspring/internal/wallclock"
)

const (
	// callTimeout bounds one call to the store or to another node.
	callTimeout = 600 * time.Millisecond
	// loadTimeout bounds the loading of the cell at a takeover.
	loadTimeout = 3 * time.Second
	// jobsReadWait is how long one read of the store waits for new jobs.
	jobsReadWait = 700 * time.Millisecond
	// maxViewAge is how long after a read of TopicJobs the owner's view of the jobs counts as current.
	maxViewAge = 2 * time.Second
	// maxAppendDelay bounds the time from the acceptance of a job at an entry until its record can be read.
	maxAppendDelay = time.Second
	// retryPause is the delay after a failed call.
	retryPause = 100 * time.Millisecond
	// maxRoundInterval is the longest time between two scheduling rounds, and minRoundInterval the shortest: what
	// arrives within it shares one append.
	maxRoundInterval = 100 * time.Millisecond
	minRoundInterval = 15 * time.Millisecond
	// sweepInterval is the time between two sweeps of ended jobs.
	sweepInterval = 5 * time.Second
	// ownerKey is the key in TopicRuns under which an owner fences earlier ones.
	ownerKey = "owner"
)

// Cell runs the cell while this process owns it. Use New to make one.
type Cell struct {
	opt    sched.Options
	store  store.Store
	lease  *ownership.Runner
	client *Client
	scope  tally.Scope
	log    *log.Logger

	mu sync.Mutex
	// core is nil while this process doesn't own the cell, or hasn't loaded it yet.
	core       *sched.Core
	epoch      int64
	runsEnd    store.Offset     // where the next record of TopicRuns goes
	jobsReadAt time.Time        // of the last successful read of TopicJobs
	jobsNext   store.Offset     // of the first record of TopicJobs that hasn't been applied
	links      map[string]*peer // by worker ID
	clock      *wallclock.Estimate
	roundDue   chan struct{} // starts the next round at once
	// approvalsDue lets advise look for requests to the policy service.
	approvalsDue chan struct{}
	adviser      Adviser
	// relayed appends the jobs that entries relay through this node.
	relayed *store.Group
	// extendCheckedAt is when mayExtend was called last, stalledAt when it found that the process had stood still.
	extendCheckedAt, stalledAt time.Time
	// clockMS reads a clock in milliseconds that also advances while the machine is suspended; it is never 0.
	clockMS func() int64
	// broken is the panic after which the state of core may be inconsistent, or nil; the cell is then loaded anew.
	broken error
	// drains is nil where data centres can't be drained.
	drains *drains.Follower
}

// New returns a cell that this process doesn't own yet.
func New(opt sched.Options, s store.Store, lease *ownership.Runner, adviser Adviser, scope tally.Scope, l *log.Logger) *Cell {
	opt.RecordBytes = s.Limits().Record
	began := time.Now()
	return &Cell{
		clockMS: func() int64 { return time.Since(began).Milliseconds() + 1 },
		opt:     opt, store: s, lease: lease, client: NewClient(0), scope: scope, log: l, links: map[string]*peer{}, clock: wallclock.New(time.Now()), roundDue: make(chan struct{}, 1),
		approvalsDue: make(chan struct{}, 1), adviser: adviser,
		relayed: store.NewGroup(s, store.TopicJobs, scope),
	}
}

// UseDrains makes the cell observe drains of data centres. It must be called before Run.
func (c *Cell) UseDrains(f *drains.Follower) { c.drains = f }

// UseClock makes the cell read a clock that also advances while the machine is suspended, in milliseconds above 0. It must be
// called before Run.
func (c *Cell) UseClock(clockMS func() int64) { c.clockMS = clockMS }

// applyDrains passes the current view of the drains to the scheduler. The caller holds the lock.
func (c *Cell) applyDrains(now time.Time) {
	if c.drains != nil {
		c.core.SetDrains(c.drains.Current(now))
	}
}

// drainsChanged returns a channel that receives a signal when drains have changed; nil without drains.
func (c *Cell) drainsChanged() <-chan struct{} {
	if c.drains == nil {
		return nil
	}
	return c.drains.Changed()
}

// Run runs the cell whenever this process holds the lease, until the context ends.
func (c *Cell) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if epoch, ok := c.lease.Owner(); ok {
			c.runOwnership(ctx, epoch)
			continue
		}
		select {
		case <-c.lease.Changed():
		case <-time.After(maxRoundInterval):
		case <-ctx.Done():
		}
	}
	return nil
}

// runOwnership loads the cell and runs it until the ownership under an epoch ends.
func (c *Cell) runOwnership(ctx context.Context, epoch int64) {
	began := time.Now()
	core, jobs, runs, err := c.load(ctx, epoch)
	if err != nil {
		c.log.Warn(event.TakeoverFailed, "epoch", epoch, "err", err)
		pause.For(ctx, retryPause)
		return
	}
	c.mu.Lock()
	c.core, c.epoch, c.runsEnd, c.jobsReadAt, c.jobsNext, c.broken = core, epoch, runs, time.Now(), jobs, nil
	c.mu.Unlock()
	c.scope.Counter("takeovers").Inc(1)
	c.log.Info(event.CellTakenOver, "epoch", epoch, "took", time.Since(began), "jobs", core.Jobs())
	grp, ctx := errgroup.WithContext(ctx)
	grp.Go(func() error { return c.follow(ctx, jobs) })
	grp.Go(func() error { return c.rounds(ctx) })
	grp.Go(func() error { return c.announce(ctx) })
	grp.Go(func() error { return c.advise(ctx) })
	err = grp.Wait()
	c.mu.Lock()
	c.core = nil
	peers := c.links
	c.links = map[string]*peer{}
	c.mu.Unlock()
	for _, p := range peers {
		p.conn.Close()
	}
	c.log.Info(event.CellReleased, "epoch", epoch, "reason", err)
}

// errReplaced means that another process has taken the cell.
var errReplaced = errors.New("another process has taken the cell")

// errExpired means that the lease expired so long ago that this process may no longer extend leases of runs.
var errExpired = errors.New("lease expired")

// owns returns why this process no longer owns the cell, or nil. For RunLeaseExtension after the lease has expired
// the cell is kept unless another process has taken it; this is safe since decisions are stored by conditional
// appends.
func (c *Cell) owns() error {
	epoch, sinceExpiry, ok := c.lease.Holds()
	switch {
	case !ok || epoch != c.epoch:
		return errReplaced
	case sinceExpiry > c.opt.RunLeaseExtension:
		return errExpired
	}
	return nil
}

// follow reads new jobs and cancellations until the context ends.
func (c *Cell) follow(ctx context.Context, from store.Offset) error {
	for ctx.Err() == nil {
		b, err := c.readJobs(ctx, from)
		if err != nil {
			c.log.Debug("jobs not read", "from", from, "err", err)
			pause.For(ctx, retryPause)
			continue
		}
		from = b.Next
		err = c.protect("apply records of jobs", func() error {
			c.observeJobs(time.Now(), b)
			return nil
		})
		if err != nil {
			return err
		}
		if len(b.Records) > 0 {
			c.repair(ctx, b.Records)
			c.wake()
		}
	}
	return ctx.Err()
}

// repair stores the records of accepted jobs again that other writers have overwritten or deleted.
func (c *Cell) repair(ctx context.Context, records []store.Record) {
	var out []store.Record
	for _, r := range records {
		id, ok := strings.CutPrefix(r.Key, store.PrefixJob)
		if _, err := decodeJob(id, r.Value); !ok || err == nil {
			continue
		}
		c.mu.Lock()
		spec := c.core.OpenJob(id)
		c.mu.Unlock()
		if spec == nil {
			continue
		}
		value, err := json.Marshal(spec)
		if err == nil {
			out = append(out, store.Record{Key: r.Key, Value: value})
		}
		c.log.Error(event.RecordRepaired, "job", id, "offset", r.Offset, "err", err)
	}
	for _, call := range c.store.Limits().Calls(out) {
		if err := c.appendJobs(ctx, call); err != nil {
			c.log.Error(event.RecordSkipped, "topic", store.TopicJobs, "err", err)
		}
	}
}

// observeJobs applies what a read of TopicJobs has returned.
func (c *Cell) observeJobs(now time.Time, b store.Batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.SetTimeOfDay(now, c.clock.UnixMS(now))
	c.core.SetMaxAge(now.Sub(c.jobsReadAt) + maxAppendDelay)
	if b.Current() {
		c.jobsReadAt = now
	}
	c.applyRecords(c.core, now, b.Records)
	c.jobsNext = b.Next
}

// readJobs reads records of TopicJobs from an offset on; when they have expired it reads the newest record of each
// key instead.
func (c *Cell) readJobs(ctx context.Context, from store.Offset) (store.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, jobsReadWait+callTimeout)
	defer cancel()
	b, err := c.store.Read(ctx, store.TopicJobs, from, jobsReadWait)
	if !errors.Is(err, store.ErrExpired) {
		return b, err
	}
	c.log.Info(event.JobsExpiredUnread, "from", from)
	s, err := c.store.Newest(ctx, store.TopicJobs)
	return store.Batch{Records: s.Records, Next: s.End, End: s.End}, err
}

// wake starts the next round without waiting for the timer.
func (c *Cell) wake() {
	select {
	case c.roundDue <- struct{}{}:
	default:
	}
}

// rounds runs scheduling rounds and sweeps until the cell is no longer owned.
func (c *Cell) rounds(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	swept := time.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.roundDue:
		case <-c.drainsChanged():
		case <-timer.C:
		}
		if err := c.round(ctx); err != nil {
			return err
		}
		if time.Since(swept) > sweepInterval {
			swept = time.Now()
			c.sweep(ctx)
		}
		pause.For(ctx, minRoundInterval)
		timer.Reset(maxRoundInterval)
	}
}

// protect calls f, which uses the scheduler's state. After a panic that state may be inconsistent: the next round
// fails, and the cell is loaded anew from the store.
func (c *Cell) protect(task string, f func() error) error {
	err := safe.Call(task, f)
	var panicked *safe.PanicError
	if !errors.As(err, &panicked) {
		return err
	}
	c.log.Error(event.Panic, "task", task, "err", err)
	c.scope.Counter("panics").Inc(1)
	c.mu.Lock()
	c.broken = err
	c.mu.Unlock()
	c.wake()
	return err
}

// round schedules once, stores the decisions, and sends the commands that depend on them.
func (c *Cell) round(ctx context.Context) error {
	if err := c.owns(); err != nil {
		return err
	}
	var b sched.Batch
	var at store.Offset
	err := c.protect("schedule", func() (err error) {
		b, at, err = c.schedule()
		return err
	})
	if err != nil || b.Seq == 0 {
		return err
	}
	w, err := c.write(ctx, at, b.Records)
	if err != nil {
		return err
	}
	return c.protect("release commands", func() error {
		c.release(b, w)
		return nil
	})
}

// schedule runs the scheduler once. It returns the batch to store, whose Seq is 0 if there is none, and its offset.
func (c *Cell) schedule() (sched.Batch, store.Offset, error) {
	began := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken != nil {
		return sched.Batch{}, 0, c.broken
	}
	c.core.SetTimeOfDay(began, c.clock.UnixMS(began))
	c.applyDrains(began)
	c.core.Schedule(began)
	b, _ := c.core.Flush(time.Now())
	c.logDecisions()
	c.recordMetrics()
	c.announceApprovals()
	c.queueCommands()
	c.scope.Histogram("round_seconds", metrics.Seconds()).RecordValue(time.Since(began).Seconds())
	return b, c.runsEnd, nil
}

// release lets the decisions of a batch that was written take effect.
func (c *Cell) release(b sched.Batch, w written) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runsEnd = w.end
	stored := time.Now()
	c.applyDrains(stored)
	c.core.Stored(stored, b.Seq, w.rejected...)
	c.queueCommands()
}

// recordMetrics exports the age of the view and the scheduler's time samples as metrics. The caller holds the lock.
func (c *Cell) recordMetrics() {
	c.scope.Gauge("view_age_seconds").Update(time.Since(c.jobsReadAt).Seconds())
	tasks, deferred := c.core.OpenTasks()
	if left, limited := c.core.Room(); limited {
		c.scope.Gauge("room_bytes").Update(float64(left))
	}
	c.scope.Gauge("open_tasks").Update(float64(tasks))
	c.scope.Gauge("deferred_jobs").Update(float64(deferred))
	c.scope.Gauge("standing_still").Update(float64(c.core.Standing()))
	c.scope.Gauge("crowded_steps").Update(float64(c.core.CrowdedSteps()))
	for _, s := range c.core.Samples() {
		c.scope.Histogram(string(s.Measure)+"_seconds", metrics.Seconds()).RecordValue(s.Time.Seconds())
	}
}
