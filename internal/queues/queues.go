// Package queues holds the queues that operators have configured, and follows changes of the configuration.
package queues

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/safe"
	"github.com/crocusspring/crocusspring/internal/store"
)

// Queue is one configured queue: the host and path prefix of its requests, and the policy of its jobs.
type Queue struct {
	Host, PathPrefix string
	Policy           job.Policy
}

// Table is one version of the configuration.
type Table struct {
	Version int64
	Queues  []Queue
	// MaxBody is the largest body of a request in bytes, MaxHeader the largest size of its headers; 0 when the configuration sets
	// no limit.
	MaxBody, MaxHeader int64
}

// Match returns the queue of a host that has the longest matching path prefix.
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
	// followWait is how long one read waits for a change, and callTimeout bounds a call beyond its wait. Together
	// they bound how long an unresponsive connection hides a change, which must be in effect within 2 s.
	followWait  = 700 * time.Millisecond
	callTimeout = 500 * time.Millisecond
	// retryPause is the delay after a failed call.
	retryPause = 200 * time.Millisecond
)

// Source defines the topic and key of the configuration in the store, and how it is decoded.
type Source struct {
	Topic, Key string
	// Decode returns the table of a record. With an error it returns nil, or a table without the queues that can't be read.
	Decode func([]byte) (*Table, error)
}

// Follower keeps the newest table. It never returns to a lower version. Use NewFollower to make one.
type Follower struct {
	store  store.Store
	source Source
	log    *log.Logger
	scope  tally.Scope
	mu     sync.Mutex
	table  *Table
}

// NewFollower returns a follower without a table.
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
	age := f.scope.Gauge("configuration_age_seconds")
	lastRead := time.Now()
	store.Follow{
		Store: f.store, Topic: f.source.Topic, Wait: followWait, CallTimeout: callTimeout, RetryPause: retryPause,
		Apply: func(records []store.Record, e store.Extent) {
			if e.Current {
				lastRead = time.Now()
			}
			age.Update(time.Since(lastRead).Seconds())
			f.applyRecords(records)
		},
		Failed: func(err error) {
			age.Update(time.Since(lastRead).Seconds())
			f.log.Debug("configuration not read", "err", err)
		},
	}.Run(ctx)
	return nil
}

// applyRecords decodes and applies records of the configuration; other keys and records that can't be decoded are
// skipped.
func (f *Follower) applyRecords(records []store.Record) {
	for _, r := range records {
		if r.Key != f.source.Key || len(r.Value) == 0 {
			continue
		}
		var t *Table
		err := safe.Call("decode configuration", func() (err error) {
			t, err = f.source.Decode(r.Value)
			return err
		})
		if err != nil {
			f.log.Error(event.ConfigurationSkipped, "offset", r.Offset, "all", t == nil, "err", err)
		}
		if t != nil {
			f.apply(t)
		}
	}
}

// apply makes a table current if its version is higher.
func (f *Follower) apply(t *Table) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table != nil && t.Version <= f.table.Version {
		return
	}
	f.log.Info(event.ConfigurationInEffect, "version", t.Version, "queues", len(t.Queues))
	f.table = t
}
