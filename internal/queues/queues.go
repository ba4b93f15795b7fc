// Package queues holds the queues that operators have configured, and follows their changes.
package queues

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/pause"
	"github.com/crocusspring/crocusspring/internal/store"
)

// Queue is one configured queue: where its requests come in, and the policy of its jobs.
type Queue struct {
	Host, PathPrefix string
	Policy           job.Policy
}

// Table is one version of the configuration.
type Table struct {
	Version int64
	Queues  []Queue
	// MaxBody is the most bytes of a request's body; 0 for no limit of its own.
	MaxBody int64
}

// Match returns the queue with the longest prefix of a path among those of a host.
func (t *Table) Match(host, path string) (*Queue, bool) {
	var best *Queue
	for i := range t.Queues {
		q := &t.Queues[i]
		if q.Host != host || !strings.HasPrefix(path, q.PathPrefix) {
			continue
		}
		if best == nil || len(q.PathPrefix) > len(best.PathPrefix) {
			best = q
		}
	}
	return best, best != nil
}

const (
	// followWait bounds one wait for a change, and callTimeout a call beyond its wait. Together they bound
	// how long a connection that has gone silent hides a change, which is to be in force within 2 s.
	followWait  = 700 * time.Millisecond
	callTimeout = 500 * time.Millisecond
	// retryPause is the time after a failed call.
	retryPause = 200 * time.Millisecond
)

// Source says where the configuration stands in the store, and how it is read.
type Source struct {
	Topic, Key string
	Decode     func([]byte) (*Table, error)
}

// Follower keeps the newest table. It never goes back to a lower version. Use NewFollower.
type Follower struct {
	store  store.Store
	source Source
	log    *log.Logger
	scope  tally.Scope
	mu     sync.Mutex
	table  *Table
}

// NewFollower returns a follower.
func NewFollower(s store.Store, source Source, scope tally.Scope, l *log.Logger) *Follower {
	return &Follower{store: s, source: source, scope: scope, log: l}
}

// Table returns the newest table; nil before there is one.
func (f *Follower) Table() *Table {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table
}

// Run follows the configuration until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	next, known := store.Offset(0), false
	read := time.Now()
	for ctx.Err() == nil {
		f.scope.Gauge("configuration_age_seconds").Update(time.Since(read).Seconds())
		var err error
		if !known {
			next, err = f.newest(ctx)
		} else {
			next, err = f.changes(ctx, next)
		}
		if err != nil {
			known = known && !errors.Is(err, store.ErrExpired)
			f.log.Debug("configuration not read", "err", err)
			pause.For(ctx, retryPause)
			continue
		}
		known, read = true, time.Now()
	}
	return nil
}

// newest reads the newest record.
func (f *Follower) newest(ctx context.Context) (store.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s, err := f.store.Newest(ctx, f.source.Topic)
	if err != nil {
		return 0, err
	}
	f.take(s.Records)
	return s.End, nil
}

// changes waits for newer records.
func (f *Follower) changes(ctx context.Context, from store.Offset) (store.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, followWait+callTimeout)
	defer cancel()
	b, err := f.store.Read(ctx, f.source.Topic, from, followWait)
	if err != nil {
		return from, err
	}
	f.take(b.Records)
	return b.Next, nil
}

// take applies records that are newer than the table.
func (f *Follower) take(records []store.Record) {
	for _, r := range records {
		if r.Key != f.source.Key || len(r.Value) == 0 {
			continue
		}
		t, err := f.source.Decode(r.Value)
		if err != nil {
			f.log.Error(event.ConfigurationSkipped, "offset", r.Offset, "err", err)
			continue
		}
		f.apply(t)
	}
}

// apply takes a table over if it is newer.
func (f *Follower) apply(t *Table) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table != nil && t.Version <= f.table.Version {
		return
	}
	f.log.Info(event.ConfigurationInEffect, "version", t.Version, "queues", len(t.Queues))
	f.table = t
}
