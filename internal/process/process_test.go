package process

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/jobapi"
	"github.com/crocusspring/crocusspring/internal/link"
	"github.com/crocusspring/crocusspring/internal/logs"
	"github.com/crocusspring/crocusspring/internal/resource"
	"github.com/crocusspring/crocusspring/internal/sched"
	"github.com/crocusspring/crocusspring/internal/store/memstore"
)

// cluster is a cell under test.
type cluster struct {
	*LocalCell
	t     *testing.T
	store *memstore.Store
}

// work is how long a run takes.
const work = 60 * time.Millisecond

// newCluster starts a cell of n nodes.
func newCluster(t *testing.T, n int) *cluster {
	t.Helper()
	return newClusterWith(t, n, work)
}

// newClusterWith starts a cell of n nodes on which a run takes the time work.
func newClusterWith(t *testing.T, n int, work time.Duration) *cluster {
	t.Helper()
	mem := memstore.New()
	local, err := NewLocalCell(n, mem, work, logs.Discard())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(local.Close)
	return &cluster{local, t, mem}
}

// spec returns a job of two steps.
func spec(id string) *job.Spec {
	demand := resource.Vector{MilliCPU: 500, MemoryMB: 100}
	return &job.Spec{
		ID: id, AcceptedMS: time.Now().UnixMilli(),
		Policy: job.Policy{Queue: "q", Service: "pool", MaxAttempts: 3, Stretch: 2, LatencyTargetMS: 1000},
		Steps: []job.Step{
			{Count: 4, Demand: demand, EstimateMS: 60, MayMiss: -1},
			{Count: 6, Demand: demand, EstimateMS: 60, MayMiss: -1, DependsOn: []int{0}},
		},
	}
}

// await waits until a job is in a state.
func (c *cluster) await(id string, want sched.State) {
	c.t.Helper()
	for {
		v, found, err := c.Intake.Job(c.t.Context(), id)
		if err == nil && found && v.State == want {
			return
		}
		if c.t.Context().Err() != nil {
			c.t.Fatalf("%s is %+v, %v, %v; want %s", id, v, found, err, want)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// submit submits a job and retries until it is accepted, since the store may be unavailable.
func (c *cluster) submit(s *job.Spec) {
	c.t.Helper()
	for {
		err := c.Intake.Submit(c.t.Context(), s)
		if err == nil {
			return
		}
		if c.t.Context().Err() != nil {
			c.t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// checkRuns checks that every task of a job ran, and that no run of a task started twice.
func (c *cluster) checkRuns(s *job.Spec) {
	c.t.Helper()
	runs := map[link.RunRef]int{}
	tasks := map[job.TaskID]bool{}
	for _, n := range c.Nodes {
		for _, ref := range n.Executor.Starts() {
			if ref.Task.Job == s.ID {
				runs[ref]++
				tasks[ref.Task] = true
			}
		}
	}
	for ref, n := range runs {
		if n > 1 {
			c.t.Errorf("run %d of %s started %d times", ref.Run, ref.Task, n)
		}
	}
	if len(tasks) != 10 {
		c.t.Errorf("%d tasks of %s ran, want 10", len(tasks), s.ID)
	}
}

// TestWholePath checks that jobs complete on the path from the entry through the store to an owner, guards
// and workers.
func TestWholePath(t *testing.T) {
	c := newCluster(t, 3)
	for i := range 5 {
		c.submit(spec(fmt.Sprintf("job%d", i)))
	}
	for i := range 5 {
		c.await(fmt.Sprintf("job%d", i), sched.Completed)
		c.checkRuns(spec(fmt.Sprintf("job%d", i)))
	}
	if _, found, err := c.Intake.Job(t.Context(), "nobody"); err != nil || found {
		t.Errorf("an unknown job: found %v, %v", found, err)
	}
}

// TestOwnerKilled checks that a node takes over the cell and the jobs complete when the owner is killed, and
// then restarted, while they are in progress.
func TestOwnerKilled(t *testing.T) {
	c := newCluster(t, 3)
	c.submit(spec("before"))
	c.await("before", sched.Completed)
	for i := range 4 {
		c.submit(spec(fmt.Sprintf("job%d", i)))
	}
	n := c.Owner()
	if n == nil {
		t.Fatal("no owner")
	}
	n.Kill()
	if err := c.Start(n); err != nil {
		t.Fatal(err)
	}
	for i := range 4 {
		c.await(fmt.Sprintf("job%d", i), sched.Completed)
		c.checkRuns(spec(fmt.Sprintf("job%d", i)))
	}
	c.await("before", sched.Completed)
}

// TestStoreLosesAnswers checks that jobs complete on a store that loses the answer to every third append
// and refuses every fifth.
func TestStoreLosesAnswers(t *testing.T) {
	c := newCluster(t, 2)
	calls := 0
	c.store.SetFaults(func(call, _ string) memstore.Fault {
		if call != "append" {
			return memstore.Fault{}
		}
		calls++
		return memstore.Fault{Lose: calls%3 == 0, Refuse: calls%5 == 0}
	})
	for i := range 3 {
		c.submit(spec(fmt.Sprintf("job%d", i)))
	}
	for i := range 3 {
		c.await(fmt.Sprintf("job%d", i), sched.Completed)
		c.checkRuns(spec(fmt.Sprintf("job%d", i)))
	}
}

// TestRunsOutlastStore checks that runs go on while the store is away for everybody for as long as the owner extends their leases
// without one of its own: it learns from the guards that no other process has taken the cell.
func TestRunsOutlastStore(t *testing.T) {
	c := busyCluster(t)
	c.outlast(leaseLength+halfQuorumTime+runLease+time.Second, c.Nodes)
}

// TestRunsOutlastStoreWithoutOneGuard guards against an outage of the store for six seconds that ends all runs, since one guard is away
// as well: the owner extends their leases for a shorter time then.
func TestRunsOutlastStoreWithoutOneGuard(t *testing.T) {
	c := busyCluster(t)
	time.Sleep(recordTime)
	owner := c.Owner()
	if owner == nil {
		t.Fatal("no owner is known although tasks run")
	}
	others := slices.DeleteFunc(slices.Clone(c.Nodes), func(n *LocalNode) bool { return n == owner })
	away := slices.MinFunc(others, func(a, b *LocalNode) int { return len(a.Executor.Running()) - len(b.Executor.Running()) })
	away.Kill()
	c.outlast(6*time.Second, slices.DeleteFunc(slices.Clone(c.Nodes), func(n *LocalNode) bool { return n == away }))
}

// recordTime is enough for an owner to store the nodes of the workers that have attached.
const recordTime = 2 * time.Second

// busyCluster starts a cell of three nodes that run the tasks of a job for a minute.
func busyCluster(t *testing.T) *cluster {
	t.Helper()
	c := newClusterWith(t, 3, time.Minute)
	s := spec("job")
	s.Steps = s.Steps[:1]
	c.submit(s)
	for runsOn(c.Nodes) < s.Steps[0].Count {
		if t.Context().Err() != nil {
			t.Fatalf("%d tasks run", runsOn(c.Nodes))
		}
		time.Sleep(10 * time.Millisecond)
	}
	return c
}

// runsOn returns the number of runs on some nodes.
func runsOn(nodes []*LocalNode) int {
	n := 0
	for _, node := range nodes {
		n += len(node.Executor.Running())
	}
	return n
}

// outlast checks that the runs on some nodes go on while the store is away for some time.
func (c *cluster) outlast(away time.Duration, nodes []*LocalNode) {
	c.t.Helper()
	before := runsOn(nodes)
	c.store.SetFaults(func(string, string) memstore.Fault { return memstore.Fault{Refuse: true} })
	time.Sleep(away)
	if n := runsOn(nodes); n != before || n == 0 {
		c.t.Errorf("%d of %d runs are left after %s without the store", n, before, away)
	}
	c.store.SetFaults(nil)
}

// TestCancel checks that a cancelled job ends, and that cancelling an unknown job reports that it was not
// found.
func TestCancel(t *testing.T) {
	c := newCluster(t, 2)
	s := spec("lasting")
	s.Steps = s.Steps[:1]
	s.Steps[0].LongRunning = true
	c.submit(s)
	c.await("lasting", sched.Running)
	found, err := c.Intake.Cancel(t.Context(), "lasting")
	if !found || err != nil {
		t.Fatalf("cancel: %v, %v", found, err)
	}
	c.await("lasting", sched.Cancelled)
	if found, err := c.Intake.Cancel(t.Context(), "nobody"); found || err != nil {
		t.Errorf("cancel of an unknown job: found %v, %v", found, err)
	}
}

// TestJobAPI checks the job interface: it submits, queries and cancels a job, and submits an invalid one.
func TestJobAPI(t *testing.T) {
	c := newCluster(t, 1)
	call := func(method, path string, body any) (int, string) {
		data, err := json.Marshal(body)
		if err != nil {
			t.Fatal(err)
		}
		w := httptest.NewRecorder()
		c.Handler().ServeHTTP(w, httptest.NewRequest(method, path, bytes.NewReader(data)))
		return w.Code, w.Body.String()
	}
	if code, body := call(http.MethodPost, jobapi.Path, spec("api")); code != http.StatusCreated {
		t.Fatalf("submit: %d %s", code, body)
	}
	c.await("api", sched.Completed)
	if code, body := call(http.MethodGet, jobapi.Path+"/api", nil); code != http.StatusOK {
		t.Errorf("state: %d %s", code, body)
	}
	if code, _ := call(http.MethodGet, jobapi.Path+"/nobody", nil); code != http.StatusNotFound {
		t.Errorf("state of an unknown job: %d", code)
	}
	if code, _ := call(http.MethodPost, jobapi.Path+"/api/cancel", nil); code != http.StatusOK {
		t.Errorf("cancel of an ended job: %d", code)
	}
	bad := spec("bad")
	bad.Steps[1].DependsOn = []int{5}
	bad.Steps[0].Count = 0
	code, body := call(http.MethodPost, jobapi.Path, bad)
	if code != http.StatusBadRequest || !bytes.Contains([]byte(body), []byte("/steps/1/depends_on")) || !bytes.Contains([]byte(body), []byte("/steps/0/count")) {
		t.Errorf("bad job: %d %s; want both findings", code, body)
	}
}

// TestRebornWorkers restarts workers under the ID that they had while jobs are in progress: the jobs complete, and no
// run of a task starts twice.
func TestRebornWorkers(t *testing.T) {
	c := newCluster(t, 3)
	c.submit(spec("before"))
	c.await("before", sched.Completed)
	for i := range 6 {
		c.submit(spec(fmt.Sprintf("job%d", i)))
		n := c.Nodes[i%len(c.Nodes)]
		n.Reboot(fmt.Sprintf("%s@%d", n.Name, 100+i))
	}
	for i := range 6 {
		c.await(fmt.Sprintf("job%d", i), sched.Completed)
		c.checkRuns(spec(fmt.Sprintf("job%d", i)))
	}
}

// TestRebornBeforeAnnouncement guards against losing the ends of runs on a worker that has crashed and started again under
// its ID: a poll for the earlier incarnation reaches the next one before that has announced itself. If it acknowledges
// ends by their numbers in the earlier one, the next drops its own ends of these numbers, and tasks that have succeeded
// are started again.
func TestRebornBeforeAnnouncement(t *testing.T) {
	// Runs last long enough to be reported before they end.
	c := newClusterWith(t, 1, 700*time.Millisecond)
	n := c.Nodes[0]
	n.Reboot("w@10")
	c.submit(spec("before"))
	c.await("before", sched.Completed)
	n.Executor.Crash()
	// At least one poll fails meanwhile.
	time.Sleep(400 * time.Millisecond)
	n.RebootSilently("w@20")
	for !n.Executor.Listed() {
		time.Sleep(time.Millisecond)
	}
	n.Announce()
	c.submit(spec("after"))
	for done := false; !done; time.Sleep(10 * time.Millisecond) {
		v, _, err := c.Intake.Job(t.Context(), "after")
		done = err == nil && v.State == sched.Completed
		for _, ref := range n.Executor.Starts() {
			if ref.Run > 1 {
				t.Fatalf("run %d of %s started after run 1 had succeeded", ref.Run, ref.Task)
			}
		}
	}
	c.checkRuns(spec("after"))
}

// TestOwnersMachineIsLeftToOthers guards against services that go down together with the owner: tasks that last ran on its machine, where
// they wait longest after a loss, while other machines were idle.
func TestOwnersMachineIsLeftToOthers(t *testing.T) {
	c := newClusterWith(t, 5, time.Minute)
	time.Sleep(recordTime)
	s := spec("lasting")
	s.Steps = []job.Step{{Count: 4, Demand: resource.Vector{MilliCPU: 200, MemoryMB: 100}, LongRunning: true, TailTargetMS: 100, Image: "serve"}}
	c.submit(s)
	for runsOn(c.Nodes) < 4 {
		if t.Context().Err() != nil {
			t.Fatalf("%d tasks run", runsOn(c.Nodes))
		}
		time.Sleep(10 * time.Millisecond)
	}
	owner := c.Owner()
	if owner == nil {
		t.Fatal("no owner is known although tasks run")
	}
	for _, n := range c.Nodes {
		want := 1
		if n == owner {
			want = 0
		}
		if got := len(n.Executor.Running()); got != want {
			t.Errorf("%d tasks run on %s, want %d; the owner is %s", got, n.Name, want, owner.Name)
		}
	}
}
