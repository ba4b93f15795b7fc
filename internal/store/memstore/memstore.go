// Package memstore is an in-memory store with fault injection, for tests and demonstrations.
package memstore

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/crocusspring/crocusspring/internal/store"
)

// errHangs means that a read must not be answered.
var errHangs = errors.New("read hangs")

// ErrLost is returned for a call whose answer was lost.
var ErrLost = errors.New("no answer")

// Store is an in-memory store. Use New to create one.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	// inject returns the fault of a call; nil if no faults are injected.
	inject func(call, topic string) Fault
	limits store.Limits
	// rejects reports which records the store doesn't take besides those beyond its limits; nil for none.
	rejects func(store.Record) bool
	// maxRead is the most records that a read returns; 0 for no limit.
	maxRead int
}

// SetLimits sets the sizes that the store takes.
func (s *Store) SetLimits(l store.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = l
}

// SetRejects sets which records the store doesn't take for a reason that its limits don't tell.
func (s *Store) SetRejects(rejects func(store.Record) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejects = rejects
}

// Limits implements store.Store.
func (s *Store) Limits() store.Limits {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limits
}

// checkLimits returns an error if records exceed a limit. The caller holds the lock.
func (s *Store) checkLimits(records []store.Record) error {
	if err := s.limits.CheckAll(records); err != nil {
		return err
	}
	if s.rejects != nil && slices.ContainsFunc(records, s.rejects) {
		return store.ErrRejected
	}
	if len(s.limits.Calls(records)) > 1 {
		return store.ErrRejected
	}
	return nil
}

// SetMaxRead bounds the records that a read returns; 0 removes the bound.
func (s *Store) SetMaxRead(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxRead = n
}

// SetFaults sets the function that returns the fault of each call, or removes it if nil. The function is
// called with the store's lock held.
func (s *Store) SetFaults(inject func(call, topic string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inject = inject
}

// Fault is the fault to inject into one call.
type Fault struct {
	// Refuse fails the call with store.ErrRefused, without an effect. Lose carries out an append but fails
	// it with ErrLost. Hang leaves the call without an effect and an answer until its context ends.
	Refuse, Lose, Hang bool
	// Delay is how long a read takes.
	Delay time.Duration
}

// topic holds the records of one topic. The channel grown is closed and replaced at each append.
type topic struct {
	first   store.Offset
	records []store.Record
	newest  map[string]store.Record
	grown   chan struct{}
}

// New returns an empty store.
func New() *Store { return &Store{topics: map[string]*topic{}} }

// topic returns a topic, creating it if needed. The caller holds the lock.
func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]store.Record{}, grown: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// end returns the offset of the next record.
func (t *topic) end() store.Offset { return t.first + store.Offset(len(t.records)) }

// fault returns the fault of a call. The caller holds the lock.
func (s *Store) fault(call, topic string) Fault {
	if s.inject == nil {
		return Fault{}
	}
	return s.inject(call, topic)
}

// Append implements store.Store.
func (s *Store) Append(ctx context.Context, name string, at store.Offset, records []store.Record) (store.Offset, error) {
	s.mu.Lock()
	f := s.fault("append", name)
	if f.Hang {
		s.mu.Unlock()
		return 0, hang(ctx)
	}
	defer s.mu.Unlock()
	if f.Refuse {
		return 0, store.ErrRefused
	}
	if err := s.checkLimits(records); err != nil {
		return 0, err
	}
	t := s.topic(name)
	first := t.end()
	if at != store.AnyOffset && at != first {
		return 0, &store.ConflictError{End: first}
	}
	for _, r := range records {
		t.add(r)
	}
	close(t.grown)
	t.grown = make(chan struct{})
	if f.Lose {
		return 0, ErrLost
	}
	return first, nil
}

// hang waits until the context ends and returns its error.
func hang(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// add appends one record.
func (t *topic) add(r store.Record) {
	r.Offset = t.end()
	t.records = append(t.records, r)
	if len(r.Value) == 0 {
		delete(t.newest, r.Key)
		return
	}
	t.newest[r.Key] = r
}

// Read implements store.Store.
func (s *Store) Read(ctx context.Context, name string, from store.Offset, wait time.Duration) (store.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		b, grown, err := s.batch(name, from)
		if errors.Is(err, errHangs) {
			return b, hang(ctx)
		}
		if err != nil || len(b.Records) > 0 {
			return b, err
		}
		select {
		case <-grown:
		case <-timer.C:
			return b, nil
		case <-ctx.Done():
			return b, ctx.Err()
		}
	}
}

// batch returns the records from an offset on without waiting, and a channel that is closed at the next
// append to the topic.
func (s *Store) batch(name string, from store.Offset) (store.Batch, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch f := s.fault("read", name); {
	case f.Refuse:
		return store.Batch{}, nil, store.ErrRefused
	case f.Hang:
		return store.Batch{}, nil, errHangs
	case f.Delay > 0:
		s.mu.Unlock()
		time.Sleep(f.Delay)
		s.mu.Lock()
	}
	t := s.topic(name)
	if from < t.first {
		return store.Batch{}, nil, store.ErrExpired
	}
	b := store.Batch{Next: from, End: t.end()}
	if from < b.End {
		b.Records = append(b.Records, t.records[from-t.first:]...)
		if s.maxRead > 0 {
			b.Records = b.Records[:min(len(b.Records), s.maxRead)]
		}
		b.Next = from + store.Offset(len(b.Records))
	}
	return b, t.grown, nil
}

// Newest implements store.Store.
func (s *Store) Newest(ctx context.Context, name string) (store.Snapshot, error) {
	s.mu.Lock()
	f := s.fault("newest", name)
	if f.Hang {
		s.mu.Unlock()
		return store.Snapshot{}, hang(ctx)
	}
	defer s.mu.Unlock()
	if f.Refuse {
		return store.Snapshot{}, store.ErrRefused
	}
	t := s.topic(name)
	out := store.Snapshot{End: t.end()}
	for _, r := range t.newest {
		out.Records = append(out.Records, r)
	}
	return out, nil
}

// Expire drops the history of a topic; Newest still returns the newest record of each key.
func (s *Store) Expire(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first, t.records = t.end(), nil
}
