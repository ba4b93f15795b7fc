package sched

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
	"github.com/crocusspring/crocusspring/internal/resource"
	"github.com/crocusspring/crocusspring/internal/store"
)

// recordLimit is the size that the store of these tests takes.
const recordLimit = 1 << 18

// wideCore returns a core with a large worker and a job of many small tasks, all of which were started.
func wideCore(t *testing.T, now time.Time, limit int) (*Core, *job.Spec, Batch, []link.Start) {
	t.Helper()
	opt := options
	opt.RecordBytes = limit
	c := New(opt)
	c.Attach(now, "node-a", wideWorker("a"), link.Listing{})
	spec := one("job", 0, job.Step{Count: 4100, Demand: resource.Vector{MilliCPU: 1}, EstimateMS: 1000, Checkpoints: true})
	c.Submit(now, spec)
	c.Schedule(now)
	b, _ := c.Flush(now)
	c.Stored(now, b.Seq)
	return c, spec, b, started(c.Commands())["a"]
}

// wideWorker is a worker that fits all tasks of wideCore.
func wideWorker(id string) link.Worker {
	return link.Worker{ID: id, Service: "pool", Capacity: resource.Vector{MilliCPU: 16_000, MemoryMB: 64_000}}
}

// checkSizes fails unless all records of a batch keep the limit.
func checkSizes(t *testing.T, b Batch, limit int) (bytes int) {
	t.Helper()
	for _, r := range b.Records {
		if bytes += r.Size(); r.Size() > limit {
			t.Fatalf("record %s has %d bytes, at most %d are stored", r.Key, r.Size(), limit)
		}
	}
	return bytes
}

// TestWideJobKeepsRecordLimit guards against an owner that can store nothing any more: the progress of a job of many tasks was
// one record, which outgrew the store's limit when a worker crashed under them.
func TestWideJobKeepsRecordLimit(t *testing.T) {
	now := epoch0
	c, spec, b, starts := wideCore(t, now, recordLimit)
	checkSizes(t, b, recordLimit)
	log := map[string]store.Record{}
	note := func(b Batch) {
		for _, r := range b.Records {
			if log[r.Key] = r; len(r.Value) == 0 {
				delete(log, r.Key)
			}
		}
	}
	note(b)
	var rows []link.RunStatus
	report := link.Crash{Worker: "a"}
	for i, s := range starts {
		rows = append(rows, link.RunStatus{RunRef: s.RunRef, Percent: 10, Checkpoint: fmt.Sprintf("%064d", i)})
		report.Runs = append(report.Runs, link.CrashedRun{RunRef: s.RunRef, AgeMS: 400})
	}
	c.Report(now, "a", link.Listing{Running: rows})
	c.WorkerCrashed(now, report)
	c.Attach(now, "node-b", wideWorker("b"), link.Listing{})
	c.Schedule(now)
	b, ok := c.Flush(now)
	if checkSizes(t, b, recordLimit); !ok || len(b.Records) < 10 {
		t.Fatalf("%d records after the crash, want the progress in parts", len(b.Records))
	}
	note(b)
	c.Stored(now, b.Seq)
	if got := started(c.Commands())["b"]; len(got) == 0 {
		t.Error("nothing is started after the crash")
	}
	// A later owner finds the same progress.
	next := New(c.opt)
	next.Submit(now, spec)
	var records []store.Record
	for _, r := range log {
		records = append(records, r)
	}
	SortForRestore(records)
	for _, r := range records {
		if err := next.Restore(now, r.Key, r.Value); err != nil {
			t.Fatal(err)
		}
	}
	got, want := string(next.jobs["job"].inline().Value), string(c.jobs["job"].inline().Value)
	if got != want {
		t.Errorf("restored progress differs: %d bytes, want %d", len(got), len(want))
	}
	if next.jobs["job"].held != c.jobs["job"].held {
		t.Errorf("%d runs restored, want %d", next.jobs["job"].held, c.jobs["job"].held)
	}
}

// TestOnlyChangedPartsAreWritten guards against writing the whole progress of a wide job at each change, and against parts that
// stay in the store after the job has ended.
func TestOnlyChangedPartsAreWritten(t *testing.T) {
	now := epoch0
	c, _, first, starts := wideCore(t, now, recordLimit)
	c.Ended(now, "a", []link.RunEnd{{Number: 1, RunRef: starts[0].RunRef, Outcome: link.Done}})
	c.Schedule(now)
	b, _ := c.Flush(now)
	if len(b.Records) > 3 {
		t.Errorf("%d records after the end of one task, want its part, the head and the estimates at most", len(b.Records))
	}
	c.Stored(now, b.Seq)
	c.Cancel(now, "job")
	for i, s := range starts[1:] {
		c.Ended(now, "a", []link.RunEnd{{Number: int64(i) + 2, RunRef: s.RunRef, Outcome: link.Stopped}})
	}
	b, _ = c.Flush(now)
	left := map[string]bool{}
	for _, r := range slices.Concat(first.Records, b.Records) {
		if left[r.Key] = len(r.Value) > 0; !left[r.Key] {
			delete(left, r.Key)
		}
	}
	delete(left, InterferenceKey)
	delete(left, workerPrefix+"a")
	if !left["job"] || len(left) != 1 {
		t.Errorf("%d keys are left after the end of the job, want its state only", len(left))
	}
}

// TestHugeCheckpoint guards against a task whose checkpoint alone exceeds the store's limit: the task goes on without it in
// the record, and its job isn't given up.
func TestHugeCheckpoint(t *testing.T) {
	now := epoch0
	opt := options
	opt.RecordBytes = recordLimit
	c := New(opt)
	c.Attach(now, "node-a", link.Worker{ID: "a", Service: "pool", Capacity: big}, link.Listing{})
	c.Submit(now, one("job", 0, job.Step{Count: 3, Demand: cores(1), EstimateMS: 1000, Checkpoints: true}))
	starts := started(settle(now, c))["a"]
	c.Ended(now, "a", []link.RunEnd{{Number: 1, RunRef: starts[0].RunRef, Outcome: link.Stopped, Checkpoint: strings.Repeat("x", 2*recordLimit)}})
	c.Schedule(now)
	b, _ := c.Flush(now)
	checkSizes(t, b, recordLimit)
	c.Stored(now, b.Seq)
	if got := started(c.Commands())["a"]; len(got) != 1 {
		t.Errorf("started %d runs, want the one of the stopped task", len(got))
	}
}

// TestRejectedRecordEndsOnlyItsJob guards against a record that the store doesn't take keeping other jobs from being stored and
// started. The job is failed, which is told to its caller; its starts are withdrawn.
func TestRejectedRecordEndsOnlyItsJob(t *testing.T) {
	now := epoch0
	c := pool(now, "a")
	c.Submit(now, one("bad", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 1000}))
	c.Submit(now, one("good", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 1000}))
	c.Schedule(now)
	b, _ := c.Flush(now)
	c.Stored(now, b.Seq, "bad")
	if got := started(c.Commands())["a"]; len(got) != 1 || got[0].Task.Job != "good" {
		t.Errorf("started %v, want the task of the other job only", got)
	}
	if v, _ := c.Job("bad"); v.State != Queued {
		t.Errorf("job is shown as %s before that is stored", v.State)
	}
	b, ok := c.Flush(now)
	if !ok || len(b.Records) == 0 || !strings.Contains(string(b.Records[0].Value), string(Failed)) {
		t.Fatalf("records %v, want the state of the failed job", b.Records)
	}
	c.Stored(now, b.Seq)
	if v, _ := c.Job("bad"); v.State != Failed {
		t.Errorf("job is %+v, want failed", v)
	}
	// A state that is rejected too isn't written again.
	c.failUnstorable(now, c.jobs["bad"], "rejected again")
	c.Ended(now, "a", []link.RunEnd{{RunRef: link.RunRef{Task: job.TaskID{Job: "bad"}, Run: 1}, Outcome: link.Absent}})
	if b, ok := c.Flush(now); ok {
		c.Stored(now, b.Seq, "bad")
	}
	if b, ok := c.Flush(now); ok {
		t.Errorf("records %v are written again", b.Records)
	}
}
