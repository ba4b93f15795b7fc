package owner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/logs"
	"github.com/crocusspring/crocusspring/internal/ownership"
	"github.com/crocusspring/crocusspring/internal/sched"
	"github.com/crocusspring/crocusspring/internal/store"
	"github.com/crocusspring/crocusspring/internal/store/memstore"
)

// ownedCell returns a cell that this process owns, which runs for the length of the test.
func ownedCell(t *testing.T, mem *memstore.Store) *Cell {
	t.Helper()
	c, stop := runCell(t, mem, "n")
	t.Cleanup(stop)
	time.Sleep(2 * time.Second)
	return c
}

// runCell runs a cell in a process of its own until stop is called.
func runCell(t *testing.T, mem *memstore.Store, node string) (c *Cell, stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	lease := ownership.NewRunner(ownership.Options{
		Node: node, Incarnation: "1", Candidate: true, Length: 1500 * time.Millisecond, RenewEvery: 500 * time.Millisecond,
	}, mem, logs.Discard())
	opt := sched.Options{RunLease: 4 * time.Second, RunLeaseExtension: 6 * time.Second, HalfQuorumTime: 2 * time.Second, GuardSilence: time.Second, Margin: 200 * time.Millisecond, JobRetention: time.Minute}
	c = New(opt, mem, lease, nil, tally.NoopScope, logs.Discard())
	done := make(chan struct{}, 2)
	for _, run := range []func(context.Context) error{lease.Run, c.Run} {
		go func() {
			_ = run(ctx)
			done <- struct{}{}
		}()
	}
	return c, func() {
		cancel()
		<-done
		<-done
	}
}

// smallJob returns a valid job of one task, on a service without workers.
func smallJob(id string) *job.Spec {
	return &job.Spec{
		ID: id, Payload: "p", AcceptedMS: time.Now().UnixMilli(), Steps: []job.Step{{Count: 1, EstimateMS: 100, MayMiss: job.NoMissLimit}},
		Policy: job.Policy{Queue: "q", Service: "pool", MaxAttempts: 2, Stretch: 2, LatencyTargetMS: 1000},
	}
}

// TestLostAnswerWithPartialRead guards against an owner that gives up its cell since a part of its own records looks like
// another's: the answer to an append was lost, and the read that settles the outcome returns the first records only.
func TestLostAnswerWithPartialRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := memstore.New()
		c := ownedCell(t, mem)
		mem.SetMaxRead(2)
		var records []store.Record
		for i := range 5 {
			records = append(records, store.Record{Key: fmt.Sprintf("job-%d", i), Value: []byte("{}")})
		}
		end := func() store.Offset {
			s, err := mem.Newest(t.Context(), store.TopicRuns)
			if err != nil {
				t.Fatal(err)
			}
			return s.End
		}
		lose := true
		mem.SetFaults(func(call, topic string) memstore.Fault {
			f := memstore.Fault{Lose: lose && call == "append" && topic == store.TopicRuns}
			lose = lose && !f.Lose
			return f
		})
		if _, err := c.write(t.Context(), end(), records); err != nil {
			t.Errorf("own records: %v", err)
		}
		at := end()
		if _, err := mem.Append(t.Context(), store.TopicRuns, at, []store.Record{{Key: ownerKey, Value: []byte("99")}, records[0]}); err != nil {
			t.Fatal(err)
		}
		if _, err := c.write(t.Context(), at, records); !errors.Is(err, errReplaced) {
			t.Errorf("another's records: %v, want that the cell was taken", err)
		}
	})
}

// TestPartialReadIsNoCurrentView guards against an owner that denies an accepted job: more records of jobs waited to be read
// than one read returns, and each read counted as a view of them all.
func TestPartialReadIsNoCurrentView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := memstore.New()
		c := ownedCell(t, mem)
		mem.SetMaxRead(1)
		// Each read takes half a second, so that the last job is read after five.
		mem.SetFaults(func(call, topic string) memstore.Fault {
			if call == "read" && topic == store.TopicJobs {
				return memstore.Fault{Delay: 500 * time.Millisecond}
			}
			return memstore.Fault{}
		})
		var records []store.Record
		for i := range 10 {
			value := fmt.Appendf(nil, `{"id":"job-%d"}`, i)
			records = append(records, store.Record{Key: fmt.Sprintf("%sjob-%d", store.PrefixJob, i), Value: value})
		}
		last := smallJob("last")
		records = append(records, jobRecord(t, last))
		if _, err := mem.Append(t.Context(), store.TopicJobs, store.AnyOffset, records); err != nil {
			t.Fatal(err)
		}
		denied, known := false, false
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			_, found, err := c.Job("last")
			// A view may be as old as maxViewAge.
			denied = denied || err == nil && !found && time.Since(time.UnixMilli(last.AcceptedMS)) > maxViewAge+time.Second
			known = known || found
		}
		if denied || !known {
			t.Errorf("denied %v, known in the end %v", denied, known)
		}
	})
}

// jobRecord returns the record of an accepted job.
func jobRecord(t *testing.T, spec *job.Spec) store.Record {
	t.Helper()
	value, err := json.Marshal(spec)
	if err != nil {
		t.Fatal(err)
	}
	return store.Record{Key: store.PrefixJob + spec.ID, Value: value}
}

// TestRejectedRecordIsLeftOut guards against an owner that repeats an append for good which the store refuses each time: it
// stores what the store takes, in as many appends as that needs, and says which records are left.
func TestRejectedRecordIsLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := memstore.New()
		mem.SetLimits(store.Limits{Record: 100, Call: 300})
		c := ownedCell(t, mem)
		mem.SetRejects(func(r store.Record) bool { return r.Key == "job-3" })
		var records []store.Record
		for i := range 10 {
			records = append(records, store.Record{Key: fmt.Sprintf("job-%d", i), Value: make([]byte, 50)})
		}
		records[7].Value = make([]byte, 200)
		c.mu.Lock()
		at := c.runsEnd
		c.mu.Unlock()
		w, err := c.write(t.Context(), at, records)
		if err != nil || len(w.rejected) != 2 || w.rejected[0] != "job-3" || w.rejected[1] != "job-7" || w.end != at+8 {
			t.Errorf("written %+v at %d, %v, want all but two records", w, at, err)
		}
	})
}

// TestOwnerStepsOverForeignRecords guards against an owner that gives up its cell, and with it what it hasn't stored, since another
// writer has appended to its topic; and against progress that stays overwritten.
func TestOwnerStepsOverForeignRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := memstore.New()
		c := ownedCell(t, mem)
		if _, err := mem.Append(t.Context(), store.TopicJobs, store.AnyOffset, []store.Record{jobRecord(t, smallJob("job"))}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		c.mu.Lock()
		core, at := c.core, c.runsEnd
		c.mu.Unlock()
		foreign := []store.Record{{Key: "job", Value: []byte("[]")}, {Key: ownerKey, Value: []byte("?")}, {Key: "w/x", Value: []byte("y")}}
		if _, err := mem.Append(t.Context(), store.TopicRuns, store.AnyOffset, foreign); err != nil {
			t.Fatal(err)
		}
		cancel := store.Record{Key: store.PrefixCancel + "job", Value: []byte("{}")}
		if _, err := mem.Append(t.Context(), store.TopicJobs, store.AnyOffset, []store.Record{cancel}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		c.mu.Lock()
		same, end := c.core == core, c.runsEnd
		c.mu.Unlock()
		if !same || end < at+store.Offset(len(foreign))+1 {
			t.Errorf("cell loaded anew: %v, runs end at %d after %d", !same, end, at)
		}
		snap, err := mem.Newest(t.Context(), store.TopicRuns)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range snap.Records {
			if r.Key == "job" && !strings.Contains(string(r.Value), string(sched.Cancelled)) || r.Key == "w/x" {
				t.Errorf("record %s is still %q", r.Key, r.Value)
			}
		}
	})
}

// TestUnreadJobIsNotDenied guards against a cancellation that is lost: the owner was cut off from the store, a job was accepted
// meanwhile, and the owner denied it. Its caller learned that there is no such job, and the next owner ran it for good.
func TestUnreadJobIsNotDenied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := memstore.New()
		c := ownedCell(t, mem)
		if _, found, err := c.ConfirmedJob(t.Context(), "job"); found || err != nil {
			t.Errorf("job that doesn't exist: found %v, %v", found, err)
		}
		mem.SetFaults(func(call, topic string) memstore.Fault { return memstore.Fault{Hang: call == "read"} })
		if _, err := mem.Append(t.Context(), store.TopicJobs, store.AnyOffset, []store.Record{jobRecord(t, smallJob("job"))}); err != nil {
			t.Fatal(err)
		}
		for range 5 {
			if _, found, err := c.ConfirmedJob(t.Context(), "job"); !found && err == nil {
				t.Error("an accepted job is denied without a read of the store")
			}
		}
		mem.SetFaults(nil)
		time.Sleep(3 * time.Second)
		if _, found, err := c.ConfirmedJob(t.Context(), "job"); !found || err != nil {
			t.Errorf("accepted job: found %v, %v", found, err)
		}
	})
}
