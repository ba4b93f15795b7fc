package store_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusspring/crocusspring/internal/store"
	"github.com/crocusspring/crocusspring/internal/store/memstore"
)

// slowStore takes a time for each append and each read.
type slowStore struct {
	store.Store
	mu                   sync.Mutex
	appendTime, readTime time.Duration
	appends, reads       int
}

// Append implements store.Store.
func (s *slowStore) Append(ctx context.Context, topic string, at store.Offset, records []store.Record) (store.Offset, error) {
	s.mu.Lock()
	s.appends++
	takes := s.appendTime
	s.mu.Unlock()
	select {
	case <-time.After(takes):
		return s.Store.Append(ctx, topic, at, records)
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// Newest implements store.Store.
func (s *slowStore) Newest(ctx context.Context, topic string) (store.Snapshot, error) {
	s.mu.Lock()
	s.reads++
	takes := s.readTime
	s.mu.Unlock()
	select {
	case <-time.After(takes):
		return s.Store.Newest(ctx, topic)
	case <-ctx.Done():
		return store.Snapshot{}, ctx.Err()
	}
}

// counts returns how many appends and reads there were.
func (s *slowStore) counts() (appends, reads int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends, s.reads
}

// setTime sets how long appends and reads take from now on.
func (s *slowStore) setTime(takes time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendTime, s.readTime = takes, takes
}

// TestPulseSlowStore guards against giving up an append that a slow store carries out: it was repeated, and kept the store's
// queue full.
func TestPulseSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowStore{Store: memstore.New(), appendTime: 2500 * time.Millisecond, readTime: 256 * time.Millisecond}
		p := store.NewPulse(s)
		began := time.Now()
		_, err := p.Append(t.Context(), store.TopicJobs, store.AnyOffset, []store.Record{{Key: "j/1", Value: []byte("{}")}})
		if err != nil || !p.Slow() || !p.AnsweredSince(began) {
			t.Errorf("%v, slow %v, answered %v; want an append of a slow store", err, p.Slow(), p.AnsweredSince(began))
		}
		if appends, reads := s.counts(); appends != 1 || reads > 10 {
			t.Errorf("%d appends and %d reads, want one append and at most a read each quarter of a second", appends, reads)
		}
	})
}

// TestPulseSilentStore guards against holding callers while the store is silent: nothing tells then whether it is slow.
func TestPulseSilentStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := memstore.New()
		mem.SetFaults(func(string, string) memstore.Fault { return memstore.Fault{Hang: true} })
		p := store.NewPulse(mem)
		began := time.Now()
		_, err := p.Append(t.Context(), store.TopicJobs, store.AnyOffset, []store.Record{{Key: "j/1", Value: []byte("{}")}})
		if took := time.Since(began); !errors.Is(err, store.ErrSilent) || errors.Is(err, store.ErrRefused) || took != store.SilenceTimeout || p.Slow() {
			t.Errorf("%v after %s, slow %v; want an unknown outcome after %s", err, took, p.Slow(), store.SilenceTimeout)
		}
	})
}

// TestPulseFastAgain guards against taking a store for slow long after it is fast again, or for fast because nothing was
// appended for some seconds.
func TestPulseFastAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowStore{Store: memstore.New(), appendTime: 256 * time.Millisecond, readTime: 256 * time.Millisecond}
		p := store.NewPulse(s)
		add := func() {
			if _, err := p.Append(t.Context(), store.TopicJobs, store.AnyOffset, []store.Record{{Key: "j/1", Value: []byte("{}")}}); err != nil {
				t.Fatal(err)
			}
		}
		add()
		time.Sleep(5 * time.Second)
		if !p.Slow() {
			t.Error("the store counts as fast without an append that was")
		}
		s.setTime(4 * time.Millisecond)
		add()
		time.Sleep(time.Second)
		if p.Slow() {
			t.Error("the store counts as slow a second after a fast append")
		}
	})
}
