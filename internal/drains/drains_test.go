package drains

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/crocusspring/crocusspring/internal/logs"
	"github.com/crocusspring/crocusspring/internal/store"
	"github.com/crocusspring/crocusspring/internal/store/memstore"
)

// source takes keys that begin with "drain/".
var source = Source{Topic: "keyed.requests", DataCentre: func(key string) (string, bool, error) {
	name, ok := strings.CutPrefix(key, "drain/")
	if ok && name == "" {
		return "", false, errors.New("no name")
	}
	return name, ok, nil
}}

// within is the time within which a drain must be in effect.
const within = 5 * time.Second

// follow runs a follower of a store for the length of a test.
func follow(t *testing.T, s store.Store) *Follower {
	t.Helper()
	f := NewFollower(s, source, within, tally.NoopScope, logs.Discard())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return f
}

// write stores a record; an empty value deletes the key.
func write(t *testing.T, s *memstore.Store, key, value string) {
	t.Helper()
	if _, err := s.Append(t.Context(), source.Topic, store.AnyOffset, []store.Record{{Key: key, Value: []byte(value)}}); err != nil {
		t.Fatal(err)
	}
}

// TestFollow checks that requests take effect and end, that a repeated one changes nothing, that one which is
// withdrawn within a second ends, and that keys without a name or of other requests are ignored.
func TestFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := memstore.New()
		f := follow(t, mem)
		for _, c := range []struct{ key, value, want string }{
			{"config", "{}", ""},
			{"drain/a", "{}", "a"},
			{"drain/a", "{}", "a"},
			{"drain/", "{}", "a"},
			{"drain/b", "{}", "a b"},
			{"drain/b", "", "a"},
			{"drain/nowhere", "", "a"},
			{"drain/a", "", ""},
		} {
			write(t, mem, c.key, c.value)
			time.Sleep(100 * time.Millisecond)
			if got := names(f); got != c.want {
				t.Errorf("drained %q after %s=%s, want %q", got, c.key, c.value, c.want)
			}
		}
	})
}

// TestRestartAndExpiry guards against a data centre that is in use again because its request was read long ago or
// has expired from the history, and against one that stays drained because its deletion was not read.
func TestRestartAndExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := memstore.New()
		write(t, mem, "drain/a", "{}")
		mem.Expire(source.Topic)
		f := follow(t, mem)
		time.Sleep(100 * time.Millisecond)
		if !f.Drained("a") {
			t.Error("a is not drained after a restart")
		}
		mem.SetFaults(func(string, string) memstore.Fault { return memstore.Fault{Refuse: true} })
		time.Sleep(5 * time.Second)
		mem.SetFaults(nil)
		write(t, mem, "drain/a", "")
		write(t, mem, "drain/b", "{}")
		mem.Expire(source.Topic)
		time.Sleep(time.Second)
		if f.Drained("a") || !f.Drained("b") {
			t.Errorf("drained %q, want b", names(f))
		}
	})
}

// names returns the drained data centres as far as a follower knows.
func names(f *Follower) string {
	drained, _ := f.Current(time.Now())
	return strings.Join(slices.Sorted(maps.Keys(drained)), " ")
}

// known reports whether the follower's view can be decided by now.
func known(f *Follower) bool {
	_, ok := f.Current(time.Now())
	return ok
}

// TestAge checks that a view is not known before the first read, stays known without changes and through a connection
// that has gone silent once, and no longer is once a drain may have been missed for most of its time.
func TestAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := memstore.New()
		hang := func(string, string) memstore.Fault { return memstore.Fault{Hang: true} }
		mem.SetFaults(hang)
		f := follow(t, mem)
		time.Sleep(time.Second)
		if known(f) {
			t.Error("known before the first read")
		}
		mem.SetFaults(nil)
		time.Sleep(time.Second)
		for range 20 {
			time.Sleep(time.Second)
			if !known(f) {
				t.Fatal("not known, although nothing has changed")
			}
		}
		mem.SetFaults(hang)
		time.Sleep(2500 * time.Millisecond)
		if !known(f) {
			t.Error("not known after one read without an answer")
		}
		// The read that was in progress was still answered, up to 2 s after the last one.
		time.Sleep(4 * time.Second)
		if known(f) {
			t.Error("known although a drain may be in effect soon")
		}
	})
}

// TestPartialReadIsNoCurrentView guards against starts in a data centre that has been drained: more requests wait to be read
// than one read returns, and each read counted as a view of them all.
func TestPartialReadIsNoCurrentView(t *testing.T) {
	f := NewFollower(memstore.New(), source, within, tally.NoopScope, logs.Discard())
	f.apply([]store.Record{{Key: "drain/a", Value: []byte("{}")}}, store.Extent{})
	if _, known := f.Current(time.Now()); known {
		t.Error("the view counts as current while records wait to be read")
	}
	f.apply(nil, store.Extent{Current: true})
	if _, known := f.Current(time.Now()); !known {
		t.Error("the view doesn't count as current after all records were read")
	}
}
