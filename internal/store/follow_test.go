package store_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusspring/crocusspring/internal/store"
	"github.com/crocusspring/crocusspring/internal/store/memstore"
)

// TestFollowOutlivesPanic guards against one record that ends the process, or the following of its topic.
func TestFollowOutlivesPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := memstore.New()
		ctx, cancel := context.WithCancel(t.Context())
		var seen []string
		failures := 0
		done := make(chan struct{})
		go func() {
			defer close(done)
			store.Follow{
				Store: mem, Topic: "t", Wait: time.Second, CallTimeout: time.Second, RetryPause: time.Second,
				Apply: func(records []store.Record, _ store.Extent) {
					for _, r := range records {
						if r.Key == "odd" {
							panic("a record that isn't handled")
						}
						seen = append(seen, r.Key)
					}
				},
				Failed: func(error) { failures++ },
			}.Run(ctx)
		}()
		for _, key := range []string{"a", "odd", "b"} {
			time.Sleep(time.Second)
			if _, err := mem.Append(ctx, "t", store.AnyOffset, []store.Record{{Key: key, Value: []byte("{}")}}); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(3 * time.Second)
		cancel()
		<-done
		// The last failure is that of the read that the end of the test interrupts.
		if len(seen) != 2 || seen[1] != "b" || failures < 1 {
			t.Errorf("applied %v with %d failures, want a and b", seen, failures)
		}
	})
}
