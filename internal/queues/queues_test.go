package queues

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/logs"
	"github.com/crocusspring/crocusspring/internal/store"
	"github.com/crocusspring/crocusspring/internal/store/memstore"
	"github.com/uber-go/tally/v4"
)

// decode decodes a version from a text and fails on anything else.
func decode(data []byte) (*Table, error) {
	t := &Table{}
	if _, err := fmt.Sscanf(string(data), "v%d", &t.Version); err != nil {
		return nil, errors.New("not a version")
	}
	return t, nil
}

// source is the source of the configuration in the tests.
var source = Source{Topic: "keyed.op", Key: "config", Decode: decode}

// put stores a configuration.
func put(t *testing.T, s *memstore.Store, key, value string) {
	t.Helper()
	if _, err := s.Append(t.Context(), "keyed.op", store.AnyOffset, []store.Record{{Key: key, Value: []byte(value)}}); err != nil {
		t.Fatal(err)
	}
}

// TestFollower checks that the newest version is in effect within two waits for a change, that the version never
// decreases, that records that can't be decoded or have another key are ignored, and that the newest version is
// found after the history expired while the store was unavailable.
func TestFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := memstore.New()
		f := NewFollower(mem, source, tally.NoopScope, logs.Discard())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = f.Run(ctx)
		}()
		version := func() int64 {
			time.Sleep(2 * followWait)
			if f.Table() == nil {
				return 0
			}
			return f.Table().Version
		}
		if got := version(); got != 0 {
			t.Errorf("version %d before there is one", got)
		}
		for _, c := range []struct {
			key, value string
			want       int64
		}{{"config", "v3", 3}, {"config", "v7", 7}, {"config", "v5", 7}, {"config", "junk", 7}, {"wave/1", "v9", 7}} {
			put(t, mem, c.key, c.value)
			if got := version(); got != c.want {
				t.Errorf("version %d after %s=%s, want %d", got, c.key, c.value, c.want)
			}
		}
		mem.SetFaults(func(string, string) memstore.Fault { return memstore.Fault{Refuse: true} })
		time.Sleep(time.Minute)
		mem.SetFaults(nil)
		put(t, mem, "config", "v11")
		mem.Expire("keyed.op")
		if got := version(); got != 11 {
			t.Errorf("version %d after the history expired, want 11", got)
		}
		cancel()
		<-done
	})
}

// TestMatch checks that the longest prefix among the host's queues wins.
func TestMatch(t *testing.T) {
	q := func(host, prefix, name string) Queue {
		return Queue{Host: host, PathPrefix: prefix, Policy: job.Policy{Queue: name}}
	}
	table := &Table{Queues: []Queue{q("a", "/x/", "short"), q("a", "/x/y/", "long"), q("b", "/x/y/z/", "other")}}
	for path, want := range map[string]string{"/x/1": "short", "/x/y/1": "long", "/x/y/z/1": "long"} {
		if got, ok := table.Match("a", path); !ok || got.Policy.Queue != want {
			t.Errorf("%s matches %+v, want %s", path, got, want)
		}
	}
	if got, ok := table.Match("a", "/z"); ok {
		t.Errorf("/z matches %+v", got)
	}
}
