package process

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/crocusspring/crocusspring/internal/guard"
	"github.com/crocusspring/crocusspring/internal/intake"
	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
	"github.com/crocusspring/crocusspring/internal/logs"
	"github.com/crocusspring/crocusspring/internal/owner"
	"github.com/crocusspring/crocusspring/internal/ownership"
	"github.com/crocusspring/crocusspring/internal/resource"
	"github.com/crocusspring/crocusspring/internal/sched"
	"github.com/crocusspring/crocusspring/internal/standin/execstand"
	"github.com/crocusspring/crocusspring/internal/store/memstore"
)

// node is a guard with its worker, on loopback.
type node struct {
	name  string
	exec  *execstand.Executor
	guard *guard.Guard
	lease *ownership.Runner
	stop  context.CancelFunc
	done  sync.WaitGroup
}

// cluster is some nodes on one store.
type cluster struct {
	t     *testing.T
	store *memstore.Store
	nodes []*node
	// entry follows the lease as an entry does.
	entry  *ownership.Runner
	intake *intake.Intake
}

// work is how long a run takes.
const work = 60 * time.Millisecond

// newCluster starts nodes.
func newCluster(t *testing.T, n int) *cluster {
	c := &cluster{t: t, store: memstore.New()}
	for i := range n {
		c.nodes = append(c.nodes, &node{
			name: fmt.Sprintf("node-%d", i), exec: execstand.New(fmt.Sprintf("life-%d", i), work),
		})
		c.start(c.nodes[i])
	}
	c.entry = c.common("entry").lease(false)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := c.entry.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	c.intake = intake.New(c.store, owner.NewClient(), c.entry, tally.NoopScope, logs.Discard())
	return c
}

// common returns what a process of the cluster is made of.
func (c *cluster) common(name string) *Common {
	return &Common{Node: name, Store: c.store, Keep: time.Hour, Log: logs.Discard()}
}

// start starts a node's processes.
func (c *cluster) start(n *node) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	common := c.common(n.name)
	common.Inner = l.Addr().String()
	lease := common.lease(true)
	cell := owner.New(common.schedOptions(), c.store, lease, nil, common.scope(), logs.Discard())
	n.lease = lease
	n.guard = guard.New(guard.Options{Node: n.name, RunLease: runLease, MaxHold: runLease}, n.exec, lease, clock, logs.Discard())
	mux := http.NewServeMux()
	cell.Routes(mux)
	server := &http.Server{Handler: mux}
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	n.done.Go(func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			c.t.Error(err)
		}
	})
	n.done.Go(func() {
		<-ctx.Done()
		server.Close()
	})
	for _, run := range []func(context.Context) error{lease.Run, cell.Run, n.guard.Run} {
		n.done.Go(func() {
			if err := run(ctx); err != nil && ctx.Err() == nil {
				c.t.Error(err)
			}
		})
	}
	n.guard.Describe(link.Worker{
		ID: fmt.Sprintf("life-%s", n.name[len("node-"):]), Service: "pool",
		Capacity: resource.Vector{MilliCPU: 4000, MemoryMB: 4000},
	})
	c.t.Cleanup(func() { n.kill() })
}

// kill ends a node's processes; its worker runs on.
func (n *node) kill() {
	n.stop()
	n.done.Wait()
}

// clock is the clock of the guards.
func clock() int64 { return time.Since(began).Milliseconds() + 1 }

var began = time.Now()

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
		v, found, err := c.intake.Job(c.t.Context(), id)
		if err == nil && found && v.State == want {
			return
		}
		if c.t.Context().Err() != nil {
			c.t.Fatalf("%s is %+v, %v, %v; want %s", id, v, found, err, want)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// submit accepts a job, again while the store is away.
func (c *cluster) submit(s *job.Spec) {
	c.t.Helper()
	for {
		err := c.intake.Submit(c.t.Context(), s)
		if err == nil {
			return
		}
		if c.t.Context().Err() != nil {
			c.t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// judge checks that every task of a job ran, and that no run of a task began twice.
func (c *cluster) judge(s *job.Spec) {
	c.t.Helper()
	runs := map[link.RunRef]int{}
	tasks := map[job.TaskID]bool{}
	for _, n := range c.nodes {
		for _, ref := range n.exec.Starts() {
			if ref.Task.Job == s.ID {
				runs[ref]++
				tasks[ref.Task] = true
			}
		}
	}
	for ref, n := range runs {
		if n > 1 {
			c.t.Errorf("run %d of %s began %d times", ref.Run, ref.Task, n)
		}
	}
	if len(tasks) != 10 {
		c.t.Errorf("%d tasks of %s ran, want 10", len(tasks), s.ID)
	}
}

// TestWholePath submits jobs through the store to an owner, guards and workers.
func TestWholePath(t *testing.T) {
	c := newCluster(t, 3)
	for i := range 5 {
		c.submit(spec(fmt.Sprintf("job%d", i)))
	}
	for i := range 5 {
		c.await(fmt.Sprintf("job%d", i), sched.Completed)
		c.judge(spec(fmt.Sprintf("job%d", i)))
	}
	if _, found, err := c.intake.Job(t.Context(), "nobody"); err != nil || found {
		t.Errorf("a job that nobody submitted: found %v, %v", found, err)
	}
}

// TestOwnerKilled kills the owner with jobs in progress: another node takes over, and the jobs complete.
func TestOwnerKilled(t *testing.T) {
	c := newCluster(t, 3)
	c.submit(spec("before"))
	c.await("before", sched.Completed)
	for i := range 4 {
		c.submit(spec(fmt.Sprintf("job%d", i)))
	}
	l, ok := c.entry.Holder()
	if !ok {
		t.Fatal("no owner")
	}
	for _, n := range c.nodes {
		if n.name == l.Node {
			n.kill()
			c.start(n)
		}
	}
	for i := range 4 {
		c.await(fmt.Sprintf("job%d", i), sched.Completed)
		c.judge(spec(fmt.Sprintf("job%d", i)))
	}
	c.await("before", sched.Completed)
}

// TestStoreLosesAnswers runs jobs on a store that loses the answer to every third append and refuses
// every fifth.
func TestStoreLosesAnswers(t *testing.T) {
	c := newCluster(t, 2)
	calls := 0
	c.store.SetFate(func(call, _ string) memstore.Fate {
		if call != "append" {
			return memstore.Fate{}
		}
		calls++
		return memstore.Fate{Lose: calls%3 == 0, Refuse: calls%5 == 0}
	})
	for i := range 3 {
		c.submit(spec(fmt.Sprintf("job%d", i)))
	}
	for i := range 3 {
		c.await(fmt.Sprintf("job%d", i), sched.Completed)
		c.judge(spec(fmt.Sprintf("job%d", i)))
	}
}

// TestCancel checks that a cancelled job ends, and that cancelling a job that nobody submitted says so.
func TestCancel(t *testing.T) {
	c := newCluster(t, 2)
	s := spec("lasting")
	s.Steps = s.Steps[:1]
	s.Steps[0].LongRunning = true
	c.submit(s)
	c.await("lasting", sched.Running)
	found, err := c.intake.Cancel(t.Context(), "lasting")
	if !found || err != nil {
		t.Fatalf("cancel: %v, %v", found, err)
	}
	c.await("lasting", sched.Cancelled)
	if found, err := c.intake.Cancel(t.Context(), "nobody"); found || err != nil {
		t.Errorf("cancel of nobody's job: found %v, %v", found, err)
	}
}
