// Package owner drives the scheduler of a cell while this process owns it: it loads the cell from the
// store, follows new jobs, stores decisions before they take effect, and serves guards and entries.
package owner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/crocusspring/crocusspring/internal/directory"
	"github.com/crocusspring/crocusspring/internal/job"
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
	// roundShare is how many times its own duration a round is followed by a pause, so that links and
	// entries are served on a small machine.
	roundShare = 1
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
	questions chan sched.Question
	adviser   Adviser
}

// New returns a cell.
func New(opt sched.Options, s store.Store, lease *ownership.Runner, adviser Adviser, scope tally.Scope, l *log.Logger) *Cell {
	return &Cell{
		opt: opt, store: s, lease: lease, client: NewClient(), scope: scope, log: l, links: map[string]*peer{}, kick: make(chan struct{}, 1),
		questions: make(chan sched.Question, maxQuestions), adviser: adviser,
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
		c.log.Warn("takeover failed", "epoch", epoch, "err", err)
		pause.For(ctx, retryPause)
		return
	}
	c.mu.Lock()
	c.core, c.epoch, c.end, c.read = core, epoch, runs, time.Now()
	c.mu.Unlock()
	c.scope.Counter("takeovers").Inc(1)
	c.log.Info("cell taken over", "epoch", epoch, "took", time.Since(began), "jobs", core.Jobs())
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
	c.log.Info("cell given up", "epoch", epoch, "reason", err)
}

// announceWidth is how many nodes are told of a takeover at the same time.
const announceWidth = 16

// announce tells all nodes of the takeover, since some may not be able to read the lease.
func (c *Cell) announce(ctx context.Context) error {
	nodes, err := directory.Nodes(ctx, c.store)
	if err != nil {
		c.log.Warn("takeover not announced", "err", err)
		return nil
	}
	lease, ok := c.lease.Holder()
	if !ok {
		return nil
	}
	grp := errgroup.Group{}
	grp.SetLimit(announceWidth)
	for node, addr := range nodes {
		grp.Go(func() error {
			call, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			if err := c.client.Hint(call, addr, lease); err != nil {
				c.log.Debug("takeover not announced", "node", node, "err", err)
			}
			return nil
		})
	}
	return grp.Wait()
}

// load fences earlier owners and reads the cell. It returns the offsets from which jobs and runs go on.
func (c *Cell) load(ctx context.Context, epoch int64) (*sched.Core, store.Offset, store.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	runs, err := c.store.Newest(ctx, store.TopicRuns)
	if err != nil {
		return nil, 0, 0, fmt.Errorf("read runs: %w", err)
	}
	fence := store.Record{Key: ownerKey, Value: fmt.Appendf(nil, "%d", epoch)}
	at, err := c.store.Append(ctx, store.TopicRuns, runs.End, []store.Record{fence})
	if err != nil {
		return nil, 0, 0, fmt.Errorf("fence earlier owners: %w", err)
	}
	jobs, err := c.store.Newest(ctx, store.TopicJobs)
	if err != nil {
		return nil, 0, 0, fmt.Errorf("read jobs: %w", err)
	}
	now := time.Now()
	core := sched.New(now, c.opt)
	c.take(core, now, jobs.Records)
	for _, r := range runs.Records {
		if r.Key == ownerKey {
			continue
		}
		if err := core.Restore(now, r.Key, r.Value); err != nil {
			c.log.Error("record left out", "topic", store.TopicRuns, "offset", r.Offset, "err", err)
		}
	}
	// Cancellations count after progress was restored too.
	c.take(core, now, jobs.Records)
	return core, jobs.End, at + 1, nil
}

// take hands records of TopicJobs to a core, jobs before cancellations.
func (c *Cell) take(core *sched.Core, now time.Time, records []store.Record) {
	for _, r := range records {
		if id, ok := strings.CutPrefix(r.Key, store.PrefixJob); ok && len(r.Value) > 0 {
			c.submit(core, now, id, r)
		}
	}
	for _, r := range records {
		if id, ok := strings.CutPrefix(r.Key, store.PrefixCancel); ok && len(r.Value) > 0 {
			core.Cancel(now, id)
		}
	}
}

// submit hands one accepted job to a core.
func (c *Cell) submit(core *sched.Core, now time.Time, id string, r store.Record) {
	spec := &job.Spec{}
	if err := json.Unmarshal(r.Value, spec); err != nil {
		c.log.Error("record left out", "topic", store.TopicJobs, "offset", r.Offset, "job", id, "err", err)
		return
	}
	if err := spec.Check(); err != nil {
		c.log.Error("record left out", "topic", store.TopicJobs, "offset", r.Offset, "job", id, "err", err)
		return
	}
	core.Submit(now, spec)
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
	c.log.Info("jobs expired unread, reading the newest of each", "from", from)
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
		began := time.Now()
		if err := c.round(ctx); err != nil {
			return err
		}
		took := time.Since(began)
		if time.Since(swept) > sweepEvery {
			swept = time.Now()
			c.sweep(ctx)
		}
		pause.For(ctx, max(roundGap, took*roundShare))
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

// write stores records at an offset, again until it is known what became of them.
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
			return c.settle(ctx, at, records)
		}
		c.log.Warn("decisions not stored", "records", len(records), "at", at, "err", err)
		if err := c.owns(); err != nil {
			return err
		}
		if !pause.For(ctx, retryPause) {
			return ctx.Err()
		}
	}
}

// settle finds out whether what stands at an offset is an earlier try of the same records.
func (c *Cell) settle(ctx context.Context, at store.Offset, records []store.Record) error {
	for {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		b, err := c.store.Read(call, store.TopicRuns, at, 0)
		cancel()
		if err == nil && same(b.Records, records) {
			return nil
		}
		if err == nil || errors.Is(err, store.ErrForgotten) {
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

// same reports whether a topic goes on with exactly these records.
func same(got, want []store.Record) bool {
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

// explain writes the decisions of the scheduler to the log. The caller holds the lock.
func (c *Cell) explain() {
	for _, n := range c.core.Notes() {
		c.scope.Tagged(map[string]string{"decision": n.Decision}).Counter("decisions").Inc(1)
		c.log.Info(n.Decision, "subject", n.Subject, "epoch", c.epoch, "inputs", n.Reason)
	}
}

// sweep drops jobs that can no longer be asked for.
func (c *Cell) sweep(ctx context.Context) {
	c.mu.Lock()
	ids := c.core.Forgettable(time.Now())
	at := c.end
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
	if _, err := c.store.Append(call, store.TopicJobs, store.Anywhere, jobs); err != nil {
		c.log.Warn("ended jobs not dropped", "jobs", len(ids), "err", err)
		return
	}
	if err := c.write(ctx, at, runs); err != nil {
		c.log.Warn("progress of ended jobs not dropped", "jobs", len(ids), "err", err)
		return
	}
	c.mu.Lock()
	c.end += store.Offset(len(runs))
	c.mu.Unlock()
}
