// Package drains follows which data centres operators have taken out of use. The requests are records of the store:
// a data centre is drained from the time that its record is stored until the record is deleted.
package drains

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/store"
)

const (
	// callTimeout bounds a call to the store beyond its wait for a change.
	callTimeout = 500 * time.Millisecond
	// retryPause is the delay after a failed call.
	retryPause = 200 * time.Millisecond
)

// Source defines the topic of the operators' requests and which data centre a key is about.
type Source struct {
	Topic string
	// DataCentre returns the data centre that a key drains; false for keys of other requests, and an error for one
	// that names no data centre.
	DataCentre func(key string) (name string, ok bool, err error)
}

// Follower keeps the set of drained data centres up to date. Use NewFollower to make one.
type Follower struct {
	store  store.Store
	source Source
	within time.Duration
	scope  tally.Scope
	log    *log.Logger
	// changed receives a signal when the set of drained data centres has changed.
	changed chan struct{}

	mu sync.Mutex
	// drained holds the names of the drained data centres; the map is replaced, never modified.
	drained map[string]bool
	// readAt is when the store last confirmed drained; zero before the first time.
	readAt time.Time
}

// NewFollower returns a follower that has read nothing yet; a drain must be in effect within a time of its storage.
func NewFollower(s store.Store, source Source, within time.Duration, scope tally.Scope, l *log.Logger) *Follower {
	return &Follower{store: s, source: source, within: within, scope: scope, log: l, changed: make(chan struct{}, 1)}
}

// followWait returns how long one read waits for a change. An unresponsive connection hides a change for that time
// and callTimeout.
func (f *Follower) followWait() time.Duration { return f.within * 2 / 5 }

// maxAge returns how old the view may be for a decision to rest on it. The rest of the time within which a drain must
// be in effect is for the decision to be stored and carried out.
func (f *Follower) maxAge() time.Duration { return f.within * 4 / 5 }

// Current returns the names of the drained data centres, and whether the view is recent enough to decide by. The map
// must not be modified.
func (f *Follower) Current(now time.Time) (drained map[string]bool, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.drained, !f.readAt.IsZero() && now.Sub(f.readAt) <= f.maxAge()
}

// Drained reports whether a data centre is drained as far as this process knows.
func (f *Follower) Drained(dataCentre string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.drained[dataCentre]
}

// Changed returns a channel that receives a signal when the set of drained data centres has changed.
func (f *Follower) Changed() <-chan struct{} { return f.changed }

// Run follows the drains until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	store.Follow{
		Store: f.store, Topic: f.source.Topic, Wait: f.followWait(), CallTimeout: callTimeout, RetryPause: retryPause,
		Apply:  f.apply,
		Failed: func(err error) { f.log.Debug("drains not read", "err", err) },
	}.Run(ctx)
	return nil
}

// apply updates the view with what was read.
func (f *Follower) apply(records []store.Record, e store.Extent) {
	f.mu.Lock()
	defer f.mu.Unlock()
	drained := map[string]bool{}
	if !e.Complete {
		maps.Copy(drained, f.drained)
	}
	for _, r := range records {
		name, ok, err := f.source.DataCentre(r.Key)
		switch {
		case err != nil:
			f.log.Error(event.DrainSkipped, "key", r.Key, "offset", r.Offset, "err", err)
		case ok && len(r.Value) > 0:
			drained[name] = true
		case ok:
			delete(drained, name)
		}
	}
	f.logChanges(drained)
	f.drained = drained
	if e.Current {
		f.readAt = time.Now()
	}
}

// logChanges logs and counts the differences to a new set. The caller holds the lock.
func (f *Follower) logChanges(drained map[string]bool) {
	if maps.Equal(f.drained, drained) {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(drained)) {
		if !f.drained[name] {
			f.log.Info(event.DrainInEffect, "data_centre", name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(f.drained)) {
		if !drained[name] {
			f.log.Info(event.DrainEnded, "data_centre", name)
		}
	}
	f.scope.Gauge("drained_data_centres").Update(float64(len(drained)))
	select {
	case f.changed <- struct{}{}:
	default:
	}
}
