package intake

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/resource"
	"github.com/crocusspring/crocusspring/internal/store"
	"github.com/crocusspring/crocusspring/internal/store/memstore"
)

// sized returns a job whose record has more than some bytes.
func sized(id string, bytes int) *job.Spec {
	return &job.Spec{ID: id, Steps: []job.Step{{Count: 1, Demand: resource.Vector{MilliCPU: 100}, Image: strings.Repeat("x", bytes)}}}
}

// TestUnstorableJob guards against one job that the store doesn't take keeping others from being accepted: their batch was
// refused with it, and the entry held the store for unavailable. Its caller must learn that asking again is no use.
func TestUnstorableJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		e := newEntry(ctx)
		e.mem.SetLimits(store.Limits{Record: 10_000, Call: 15_000})
		e.mem.SetRejects(func(r store.Record) bool { return r.Key == store.PrefixJob+"rejected" })
		jobs := []*job.Spec{
			sized("large-1", 6000), sized("too-large", 20_000), sized("small-1", 10), sized("rejected", 10),
			sized("large-2", 6000), sized("large-3", 6000), sized("small-2", 10),
		}
		errs := make([]error, len(jobs))
		var wg sync.WaitGroup
		for i, spec := range jobs {
			wg.Go(func() { errs[i] = e.Submit(ctx, spec) })
		}
		wg.Wait()
		for i, spec := range jobs {
			unstorable := spec.ID == "too-large" || spec.ID == "rejected"
			if errs[i] != nil != unstorable || unstorable && !errors.Is(errs[i], ErrUnstorable) {
				t.Errorf("%s: %v", spec.ID, errs[i])
			}
		}
		if !e.Available() {
			t.Error("the store counts as unavailable")
		}
	})
}

// TestUnstorableJobOfUnknownOutcome guards against an entry that accepts nothing for good: the outcome of an append was
// unknown, and the store rejects its records when they are stored again.
func TestUnstorableJobOfUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		e := newEntry(ctx)
		e.nodes.set("owner", "peer-1", "peer-2")
		e.mem.SetFaults(func(call, topic string) memstore.Fault {
			return memstore.Fault{Hang: call == "append" && topic == store.TopicJobs}
		})
		if err := e.Submit(ctx, sized("rejected", 10)); !errors.Is(err, ErrUnknown) {
			t.Errorf("%v, want an unknown outcome", err)
		}
		e.mem.SetRejects(func(r store.Record) bool { return r.Key == store.PrefixJob+"rejected" })
		e.mem.SetFaults(nil)
		time.Sleep(2 * time.Second)
		if err := e.Submit(ctx, sized("next", 10)); err != nil {
			t.Errorf("next job: %v", err)
		}
		if stored := e.stored(t); !stored["next"] || stored["rejected"] {
			t.Errorf("stored %v, want the job that the store takes", stored)
		}
	})
}
