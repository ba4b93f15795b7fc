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
	// followWait is how long one read waits for a change and callTimeout bounds a call beyond its wait: an
	// unresponsive connection hides a change for their sum, which leaves a margin to the 5 s within which a drain
	// must be in effect.
	followWait  = 2 * time.Second
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

// View is what a process knows of the drains.
type View struct {
	// Drained holds the names of the drained data centres; it is never modified.
	Drained map[string]bool
	// ReadAt is when the store last confirmed the view; zero before the first time.
	ReadAt time.Time
}

// Age returns how old the view is at a time; false before the first read.
func (v View) Age(now time.Time) (time.Duration, bool) { return now.Sub(v.ReadAt), !v.ReadAt.IsZero() }

// Follower keeps a View up to date. Use NewFollower to make one.
type Follower struct {
	store  store.Store
	source Source
	scope  tally.Scope
	log    *log.Logger
	// changed receives a signal when the set of drained data centres has changed.
	changed chan struct{}
	mu      sync.Mutex
	view    View
}

// NewFollower returns a follower that has read nothing yet.
func NewFollower(s store.Store, source Source, scope tally.Scope, l *log.Logger) *Follower {
	return &Follower{store: s, source: source, scope: scope, log: l, changed: make(chan struct{}, 1)}
}

// View returns the current view.
func (f *Follower) View() View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

// Drained reports whether a data centre is known to be drained.
func (f *Follower) Drained(dataCentre string) bool { return f.View().Drained[dataCentre] }

// Changed returns a channel that receives a signal when the set of drained data centres has changed.
func (f *Follower) Changed() <-chan struct{} { return f.changed }

// Run follows the drains until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	store.Follow{
		Store: f.store, Topic: f.source.Topic, Wait: followWait, CallTimeout: callTimeout, RetryPause: retryPause,
		Apply:  f.apply,
		Failed: func(err error) { f.log.Debug("drains not read", "err", err) },
	}.Run(ctx)
	return nil
}

// apply updates the view with what was read.
func (f *Follower) apply(records []store.Record, complete bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	drained := map[string]bool{}
	if !complete {
		maps.Copy(drained, f.view.Drained)
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
	f.view = View{Drained: drained, ReadAt: time.Now()}
}

// logChanges logs and counts the differences between the current view and a new one. The caller holds the lock.
func (f *Follower) logChanges(drained map[string]bool) {
	if maps.Equal(f.view.Drained, drained) {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(drained)) {
		if !f.view.Drained[name] {
			f.log.Info(event.DrainInEffect, "data_centre", name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(f.view.Drained)) {
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
