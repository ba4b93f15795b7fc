package store

import (
	"context"
	"errors"
	"time"

	"github.com/crocusspring/crocusspring/internal/pause"
	"github.com/crocusspring/crocusspring/internal/safe"
)

// Follow describes how a process follows a topic; see Run.
type Follow struct {
	Store Store
	Topic string
	// Wait is how long one read waits for a change, and CallTimeout bounds a call beyond its wait. Together they
	// bound how long an unresponsive connection hides a change.
	Wait, CallTimeout time.Duration
	// RetryPause is the delay after a failed call.
	RetryPause time.Duration
	// Apply takes what one call has read, in order. It is called without records when a read brought no change.
	Apply func(records []Record, e Extent)
	// Failed takes the error of a failed call.
	Failed func(error)
}

// Extent says how much of a topic the records that were applied cover.
type Extent struct {
	// Complete means that the records are the newest of every key, so that keys that are missing have been deleted.
	Complete bool
	// Current means that the records reach the end of the topic; otherwise more wait to be read.
	Current bool
}

// Run reads the newest record of each key and then every change, until the context ends. It starts over when
// changes have expired before they were read.
func (f Follow) Run(ctx context.Context) {
	next, synced := Offset(0), false
	for ctx.Err() == nil {
		var err error
		if synced {
			next, err = f.readChanges(ctx, next)
		} else {
			next, err = f.readNewest(ctx)
		}
		if err != nil {
			synced = synced && !errors.Is(err, ErrExpired)
			f.Failed(err)
			pause.For(ctx, f.RetryPause)
			continue
		}
		synced = true
	}
}

// readNewest reads the newest record of each key and returns the end of the topic.
func (f Follow) readNewest(ctx context.Context) (Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, f.CallTimeout)
	defer cancel()
	s, err := f.Store.Newest(ctx, f.Topic)
	if err != nil {
		return 0, err
	}
	f.apply(s.Records, Extent{Complete: true, Current: true})
	return s.End, nil
}

// readChanges waits for records from an offset on and returns the next offset.
func (f Follow) readChanges(ctx context.Context, from Offset) (Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, f.Wait+f.CallTimeout)
	defer cancel()
	b, err := f.Store.Read(ctx, f.Topic, from, f.Wait)
	if err != nil {
		return from, err
	}
	f.apply(b.Records, Extent{Current: b.Current()})
	return b.Next, nil
}

// apply passes records to Apply. A panic there is a failure of that call only: the records that follow are read all the same.
func (f Follow) apply(records []Record, e Extent) {
	err := safe.Call("apply records of "+f.Topic, func() error {
		f.Apply(records, e)
		return nil
	})
	if err != nil {
		f.Failed(err)
	}
}
