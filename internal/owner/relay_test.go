package owner

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/crocusspring/crocusspring/internal/logs"
	"github.com/crocusspring/crocusspring/internal/sched"
	"github.com/crocusspring/crocusspring/internal/store"
	"github.com/crocusspring/crocusspring/internal/store/memstore"
)

// gatedStore answers reads at once, and appends when the gate is open.
type gatedStore struct {
	store.Store
	gate    chan struct{}
	appends atomic.Int32
}

// Append implements store.Store.
func (s *gatedStore) Append(ctx context.Context, topic string, at store.Offset, records []store.Record) (store.Offset, error) {
	s.appends.Add(1)
	select {
	case <-s.gate:
		return s.Store.Append(ctx, topic, at, records)
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// TestRelaysShareAppends guards against relayed jobs that wait for each other in the queue of a slow store: while an append is
// in progress those of all entries wait for the next one, and their callers learn that the store is slow when it takes long.
func TestRelaysShareAppends(t *testing.T) {
	s := &gatedStore{Store: memstore.New(), gate: make(chan struct{})}
	c := New(sched.Options{}, s, nil, nil, tally.NoopScope, logs.Discard())
	mux := http.NewServeMux()
	c.Routes(mux)
	server := httptest.NewServer(mux)
	defer server.Close()
	addr := strings.TrimPrefix(server.URL, "http://")
	relay := func(i int) error {
		return NewClient(0).Relay(t.Context(), addr, []store.Record{{Key: fmt.Sprint("j/", i), Value: []byte("{}")}})
	}
	var wg sync.WaitGroup
	errs := make([]error, 4)
	wg.Go(func() { errs[0] = relay(0) })
	for s.appends.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	// The first append is in progress, so that the others can't be part of it.
	var refused atomic.Int32
	for i := 1; i < len(errs); i++ {
		wg.Go(func() {
			if errs[i] = relay(i); errs[i] != nil && refused.Add(1) == int32(len(errs)-1) {
				close(s.gate)
			}
		})
	}
	wg.Wait()
	stored, busy := 0, 0
	for _, err := range errs {
		switch {
		case err == nil:
			stored++
		case errors.Is(err, store.ErrBusy) && errors.Is(err, store.ErrRefused):
			busy++
		}
	}
	snap, err := s.Newest(t.Context(), store.TopicJobs)
	if err != nil || stored != 1 || busy != len(errs)-1 || len(snap.Records) != stored || s.appends.Load() != 1 {
		t.Errorf("%d stored of %d, %d busy, %d appends, %v: %v", len(snap.Records), stored, busy, s.appends.Load(), err, errs)
	}
}
