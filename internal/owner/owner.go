// Package owner drives the scheduler of a cell while this process owns it: it loads the cell from the
// store, follows new jobs, stores decisions before they take effect, and serves guards and entries.
package owner

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/metrics"
	"github.com/crocusspring/crocusspring/internal/ownership"
	"github.com/crocusspring/crocusspring/internal/pause"
	"github.com/crocusspring/crocusspring/internal/sched"
	"github.com/crocusspring/crocusspring/internal/store"
)

const (
	// callTimeout bounds one call to the store.
	callTimeout = 600 * time.Millisecond
	// loadTimeout bounds the reading of all jobs at a takeover.
	loadTimeout = 3 * time.Second
	// tailWait bounds one wait for new jobs.
	tailWait = 700 * time.Millisecond
	// currentFor is how long after a read of the jobs the view counts as current.
	currentFor = 2 * time.Second
	// retryPause is the time after a failed call.
	retryPause = 100 * time.Millisecond
	// roundEvery is the longest time between two rounds of the scheduler, roundGap the shortest: what
	// comes in within it shares one append.
	roundEvery = 100 * time.Millisecond
	roundGap   = 15 * time.Millisecond
	// maxQuestions is the most questions that wait for the policy service.
	maxQuestions = 64
	// sweepEvery is the time between two sweeps of jobs that can be forgotten.
	sweepEvery = 5 * time.Second
	// ownerKey is the key in TopicRuns under which an owner fences earlier ones.
	ownerKey = "owner"
)

// Cell is what this process does as owner. Use New to make one.
type Cell struct {
	opt    sched.Options
	store  store.Store
	lease  *ownership.Runner
	client *Client
	scope  tally.Scope
	log    *log.Logger

	mu sync.Mutex
	// core is nil while this process doesn't own the cell, or hasn't loaded it yet.
	core  *sched.Core
	epoch int64
	end   store.Offset // of TopicRuns
	read  time.Time    // when the jobs were read last
	links map[string]*peer
	kick  chan struct{}
	// questions wait for the policy service.
	questions chan sched.ApprovalRequest
	adviser   Adviser
}

// New returns a cell.
func New(opt sched.Options, s store.Store, lease *ownership.Runner, adviser Adviser, scope tally.Scope, l *log.Logger) *Cell {
	return &Cell{
		opt: opt, store: s, lease: lease, client: NewClient(), scope: scope, log: l, links: map[string]*peer{}, kick: make(chan struct{}, 1),
		questions: make(chan sched.ApprovalRequest, maxQuestions), adviser: adviser,
	}
}

// Run owns the cell whenever the lease says so, until the context ends.
func (c *Cell) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if epoch, ok := c.lease.Owner(); ok {
			c.own(ctx, epoch)
			continue
		}
		select {
		case <-c.lease.Changed():
		case <-time.After(roundEvery):
		case <-ctx.Done():
		}
	}
	return nil
}

// own serves one ownership.
func (c *Cell) own(ctx context.Context, epoch int64) {
	began := time.Now()
	core, jobs, runs, err := c.load(ctx, epoch)
	if err != nil {
		c.log.Warn(event.TakeoverFailed, "epoch", epoch, "err", err)
		pause.For(ctx, retryPause)
		return
	}
	c.mu.Lock()
	c.core, c.epoch, c.end, c.read = core, epoch, runs, time.Now()
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
	c.log.Info(event.CellGivenUp, "epoch", epoch, "reason", err)
}

// errReplaced says that another process has taken the cell.
var errReplaced = errors.New("another process has taken the cell")

// errManyQuestions says that the policy service doesn't keep up.
var errManyQuestions = errors.New("too many questions wait for the policy service")

// errLapsed says that the lease ended so long ago that guards are no longer vouched for.
var errLapsed = errors.New("lease lapsed")

// owns returns why the cell is no longer this process's, or nil. The cell is kept while the lease has
// lapsed and nobody took it, since everything that counts is stored under a condition.
func (c *Cell) owns() error {
	epoch, lapsed, ok := c.lease.Holds()
	switch {
	case !ok || epoch != c.epoch:
		return errReplaced
	case lapsed > c.opt.EchoStretch:
		return errLapsed
	}
	return nil
}

// follow reads new jobs.
func (c *Cell) follow(ctx context.Context, from store.Offset) error {
	for ctx.Err() == nil {
		records, next, err := c.tail(ctx, from)
		if err != nil {
			c.log.Debug("jobs not read", "from", from, "err", err)
			pause.For(ctx, retryPause)
			continue
		}
		from = next
		c.mu.Lock()
		c.read = time.Now()
		c.take(c.core, c.read, records)
		c.mu.Unlock()
		if len(records) > 0 {
			c.wake()
		}
	}
	return ctx.Err()
}

// tail reads jobs from an offset on; when they have expired it reads the newest of each.
func (c *Cell) tail(ctx context.Context, from store.Offset) ([]store.Record, store.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, tailWait+callTimeout)
	defer cancel()
	b, err := c.store.Read(ctx, store.TopicJobs, from, tailWait)
	if err == nil {
		return b.Records, b.Next, nil
	}
	if !errors.Is(err, store.ErrForgotten) {
		return nil, from, err
	}
	c.log.Info(event.JobsExpiredUnread, "from", from)
	s, err := c.store.Newest(ctx, store.TopicJobs)
	if err != nil {
		return nil, from, err
	}
	return s.Records, s.End, nil
}

// wake makes the next round come at once.
func (c *Cell) wake() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// rounds schedules, stores and sends until the cell is lost.
func (c *Cell) rounds(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	swept := time.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.kick:
		case <-timer.C:
		}
		if err := c.round(ctx); err != nil {
			return err
		}
		if time.Since(swept) > sweepEvery {
			swept = time.Now()
			c.sweep(ctx)
		}
		pause.For(ctx, roundGap)
		timer.Reset(roundEvery)
	}
}

// round schedules once and stores what it decided.
func (c *Cell) round(ctx context.Context) error {
	if err := c.owns(); err != nil {
		return err
	}
	began := time.Now()
	c.mu.Lock()
	c.core.Schedule(began)
	b, ok := c.core.Flush(time.Now())
	at := c.end
	c.explain()
	c.measure()
	c.ask()
	c.send()
	c.mu.Unlock()
	c.scope.Histogram("round_seconds", metrics.Seconds()).RecordValue(time.Since(began).Seconds())
	if !ok {
		return nil
	}
	if err := c.write(ctx, at, b.Records); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end += store.Offset(len(b.Records))
	c.core.Stored(b.Seq)
	c.send()
	return nil
}

// measure hands on the times that the scheduler measured. The caller holds the lock.
func (c *Cell) measure() {
	c.scope.Gauge("view_age_seconds").Update(time.Since(c.read).Seconds())
	for _, s := range c.core.Samples() {
		c.scope.Histogram(string(s.Measure)+"_seconds", metrics.Seconds()).RecordValue(s.Time.Seconds())
	}
}

// explain writes the decisions of the scheduler to the log. The caller holds the lock.
func (c *Cell) explain() {
	for _, n := range c.core.Decisions() {
		c.scope.Tagged(map[string]string{"decision": string(n.Decision)}).Counter("decisions").Inc(1)
		c.log.Info(n.Decision, "subject", n.Subject, "epoch", c.epoch, "inputs", n.Reason)
	}
}
