package store_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusspring/crocusspring/internal/store"
	"github.com/crocusspring/crocusspring/internal/store/memstore"
)

// slowStore takes a time for each append.
type slowStore struct {
	store.Store
	takes   time.Duration
	appends int
}

// Append implements store.Store.
func (s *slowStore) Append(ctx context.Context, topic string, at store.Offset, records []store.Record) (store.Offset, error) {
	s.appends++
	time.Sleep(s.takes)
	return s.Store.Append(ctx, topic, at, records)
}

// TestGroup checks that concurrent callers share appends, that each learns the result, and that one whose records wait
// too long is refused and its records are never stored.
func TestGroup(t *testing.T) {
	for _, c := range []struct {
		takes             time.Duration
		accepted, appends int
	}{{100 * time.Millisecond, 20, 2}, {2 * time.Second, 1, 1}} {
		t.Run(c.takes.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				mem := memstore.New()
				s := &slowStore{Store: mem, takes: c.takes}
				g := store.NewGroup(s, store.TopicJobs, time.Minute, 800*time.Millisecond)
				var wg sync.WaitGroup
				var mu sync.Mutex
				accepted := map[string]bool{}
				for i := range 20 {
					wg.Go(func() {
						key := fmt.Sprint(i)
						err := g.Append(t.Context(), []store.Record{{Key: key, Value: []byte("x")}})
						if err != nil && !errors.Is(err, store.ErrRefused) {
							t.Errorf("%s: %v", key, err)
						}
						mu.Lock()
						defer mu.Unlock()
						if err == nil {
							accepted[key] = true
						}
					})
					synctest.Wait()
				}
				wg.Wait()
				time.Sleep(time.Minute)
				snap, err := mem.Newest(t.Context(), store.TopicJobs)
				if err != nil || len(snap.Records) != len(accepted) || len(accepted) != c.accepted || s.appends != c.appends {
					t.Errorf("%d accepted, %d stored in %d appends, %v; want %d in %d", len(accepted), len(snap.Records), s.appends, err, c.accepted, c.appends)
				}
				for _, r := range snap.Records {
					if !accepted[r.Key] {
						t.Errorf("%s was refused and is stored", r.Key)
					}
				}
			})
		})
	}
}
