package store_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusspring/crocusspring/internal/store"
	"github.com/crocusspring/crocusspring/internal/store/memstore"
)

// appendOne appends one record and returns the error and how long it took.
func appendOne(t *testing.T, s store.Store) (time.Duration, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	began := time.Now()
	_, err := s.Append(ctx, store.TopicJobs, store.AnyOffset, []store.Record{{Key: "j/1", Value: []byte("{}")}})
	return time.Since(began), err
}

// TestCautiousProbesFirst checks that an append to a store that was silent for a while is refused for certain and
// not sent, that one to a store that answers is sent at once, and that the store is used again when it is back.
func TestCautiousProbesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := memstore.New()
		c := store.NewCautious(mem)
		if took, err := appendOne(t, c); err != nil || took > 0 || c.Suspect() {
			t.Errorf("healthy store: %v after %s, suspect %v", err, took, c.Suspect())
		}
		time.Sleep(1300 * time.Millisecond)
		appends := 0
		mem.SetFaults(func(call, _ string) memstore.Fault {
			if call == "append" {
				appends++
			}
			return memstore.Fault{Hang: true}
		})
		took, err := appendOne(t, c)
		if !errors.Is(err, store.ErrRefused) || appends != 0 || took > 400*time.Millisecond {
			t.Errorf("silent store: %v after %s, %d appends sent", err, took, appends)
		}
		mem.SetFaults(nil)
		if took, err := appendOne(t, c); err != nil || took > 0 || c.Suspect() {
			t.Errorf("store is back: %v after %s, suspect %v", err, took, c.Suspect())
		}
	})
}

// TestCautiousIgnoresOwnCancellations checks that calls that were given up by their callers don't make the store
// suspect.
func TestCautiousIgnoresOwnCancellations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := store.NewCautious(memstore.New())
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(10*time.Millisecond, cancel)
		if _, err := c.Read(ctx, store.TopicOwner, 0, time.Second); !errors.Is(err, context.Canceled) {
			t.Fatalf("read ended with %v", err)
		}
		if c.Suspect() {
			t.Error("suspect after a call that its caller gave up")
		}
	})
}

// TestCautiousUnsentAppend guards against taking an append that was never sent for an answer of the store: one record too large
// made a silent store count as available.
func TestCautiousUnsentAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := memstore.New()
		mem.SetLimits(store.Limits{Record: 10})
		c := store.NewCautious(mem)
		time.Sleep(2 * time.Second)
		large := []store.Record{{Key: "k", Value: make([]byte, 20)}}
		if _, err := c.Append(t.Context(), store.TopicJobs, store.AnyOffset, large); !errors.Is(err, store.ErrRejected) {
			t.Errorf("record too large: %v", err)
		}
		if !c.Suspect() {
			t.Error("the store counts as available though it has answered nothing")
		}
	})
}
