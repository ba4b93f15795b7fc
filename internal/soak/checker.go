package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/crocusspring/crocusspring/internal/guard"
	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
	"github.com/crocusspring/crocusspring/internal/resource"
	"github.com/crocusspring/crocusspring/internal/standin/execstand"
)

// completionGrace is how long after a client was shown a job as completed a task of it may still start, on a
// command that was sent before.
const completionGrace = time.Second

// cancelGrace is how long after an acknowledged cancellation tasks of a job may start: the longest fault plus
// the lease of a run that went on through it.
const cancelGrace = 10 * time.Second

// jobState is what the checker has observed of one job.
type jobState struct {
	steps []step
	// accepted and cancelled are when a client got the acknowledgement, completed is when a client was shown the
	// job as completed; zero before that.
	accepted, cancelled, completed time.Time
	// refused says that every attempt to submit the job so far was definitely refused.
	refused bool
	done    map[job.TaskID]time.Time
	starts  []start
	// crashes counts the workers that crashed under each task, startsAfter the starts of a deadly task after the third.
	crashes      map[job.TaskID]int
	startsAfter  int
	acknowledged map[job.TaskID]time.Time
}

// crashesToFail is the number of workers that must have crashed under a task of a job for it to be given up, and
// startsAfterThird the number of starts that are allowed after three.
const (
	crashesToFail    = 2
	startsAfterThird = 2
)

// start is one observed start of a run.
type start struct {
	ref link.RunRef
	at  time.Time
}

// checker observes what clients and workers see and collects violations of the product's guarantees.
type checker struct {
	startMu sync.Mutex // serializes starts over all workers
	workers []*worker

	stateMu    sync.Mutex
	jobs       map[string]*jobState
	violations []string
	// restarts counts the starts of processes after their first: a guard that restarts forgets the crash it has seen.
	restarts int
}

// newChecker returns a checker without observations.
func newChecker() *checker { return &checker{jobs: map[string]*jobState{}} }

// violation records the violation of a guarantee.
func (c *checker) violation(format string, args ...any) {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// report returns the recorded violations.
func (c *checker) report() []string {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	return append([]string(nil), c.violations...)
}

// addJob registers a job before it is submitted for the first time.
func (c *checker) addJob(id string, steps []step) {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	c.jobs[id] = &jobState{steps: steps, refused: true, done: map[job.TaskID]time.Time{}, crashes: map[job.TaskID]int{}, acknowledged: map[job.TaskID]time.Time{}}
}

// updateJob applies f to the state of a job under the lock.
func (c *checker) updateJob(id string, f func(*jobState)) {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	f(c.jobs[id])
}

// job returns a copy of the state of a job.
func (c *checker) job(id string) jobState {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	return *c.jobs[id]
}

// crashesUnder returns the largest number of workers that have crashed under one task of a job.
func (c *checker) crashesUnder(id string) int {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	most := 0
	for _, n := range c.jobs[id].crashes {
		most = max(most, n)
	}
	return most
}

// missing returns a task of a job that has not ended as done; empty when there is none.
func (c *checker) missing(id string) string {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	k := c.jobs[id]
	for s, st := range k.steps {
		for n := range st.count {
			if t := (job.TaskID{Job: id, Step: s, Index: n}); k.done[t].IsZero() {
				return t.String()
			}
		}
	}
	return ""
}

// runEnded records the end of a run. It counts as acknowledged only if the worker may discard it and the lease
// didn't expire in between.
func (c *checker) runEnded(e execstand.End) {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	k := c.jobs[e.Task.Job]
	if k == nil || e.Outcome != link.Done {
		return
	}
	if e.Acknowledged && !e.Expired {
		k.acknowledged[e.Task] = e.At
	}
	if k.done[e.Task].IsZero() {
		k.done[e.Task] = e.At
	}
}

// runStarted checks a start on a worker after the worker has made it.
func (c *checker) runStarted(w *worker, ref link.RunRef) {
	now := time.Now()
	for _, other := range c.workers {
		for _, r := range other.Running() {
			if r.Task == ref.Task && (other != w || r.Run != ref.Run) {
				c.violation("%s runs twice: run %d on %s and run %d on %s", ref.Task, ref.Run, w.name, r.Run, other.name)
			}
		}
	}
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	k := c.jobs[ref.Task.Job]
	if k == nil || ref.Task.Step >= len(k.steps) {
		c.violations = append(c.violations, fmt.Sprintf("%s starts, but was never submitted", ref.Task))
		return
	}
	k.starts = append(k.starts, start{ref, now})
	if k.steps[ref.Task.Step].deadly && ref.Task.Index == 0 {
		c.deadlyStarted(w, k, ref)
	}
	for _, d := range k.steps[ref.Task.Step].dependsOn {
		for n := range k.steps[d].count {
			if k.done[job.TaskID{Job: ref.Task.Job, Step: d, Index: n}].IsZero() {
				c.violations = append(c.violations, fmt.Sprintf("%s starts before step %d is done", ref.Task, d))
				return
			}
		}
	}
	if !k.completed.IsZero() && now.Sub(k.completed) > completionGrace {
		c.violations = append(c.violations, fmt.Sprintf("%s starts after its job was reported as completed", ref.Task))
	}
	if !k.cancelled.IsZero() && now.Sub(k.cancelled) > cancelGrace {
		c.violations = append(c.violations, fmt.Sprintf("%s starts %s after its job was cancelled", ref.Task, now.Sub(k.cancelled)))
	}
}

// deadlyStarted checks the start of a task that crashes its workers, and crashes the worker shortly after. The caller
// holds stateMu.
func (c *checker) deadlyStarted(w *worker, k *jobState, ref link.RunRef) {
	if k.crashes[ref.Task] >= 3 {
		k.startsAfter++
	}
	if k.startsAfter > startsAfterThird+c.restarts {
		c.violations = append(c.violations, fmt.Sprintf("%s is started %d times more after three crashes under it, with %d restarts", ref.Task, k.startsAfter, c.restarts))
	}
	time.AfterFunc(deadlyDelay, w.crash)
}

// workerCrashed records a crash for the tasks that ran on a worker.
func (c *checker) workerCrashed(running []link.RunRef) {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	for _, ref := range running {
		if k := c.jobs[ref.Task.Job]; k != nil {
			k.crashes[ref.Task]++
		}
	}
}

// checkFinal checks what can only be decided at the end of the test.
func (c *checker) checkFinal() {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	for id, k := range c.jobs {
		if k.refused && len(k.starts) > 0 {
			c.violations = append(c.violations, fmt.Sprintf("job %s started, although every attempt to submit it was refused", id))
		}
		for _, s := range k.starts {
			acknowledged := k.acknowledged[s.ref.Task]
			if !k.steps[s.ref.Task.Step].longRunning && !acknowledged.IsZero() && s.at.After(acknowledged) {
				c.violations = append(c.violations, fmt.Sprintf("%s run %d starts after a run of it ended as done", s.ref.Task, s.ref.Run))
			}
		}
	}
}

// worker is an executor that the checker observes.
type worker struct {
	*execstand.Executor
	name    string
	checker *checker
	// The checker's stateMu guards the fields below. incarnation names the present incarnation, reboots counts the
	// reboots, down says that it has crashed and isn't back.
	incarnation string
	reboots     int
	down        bool
	// sizes are the capacities that the worker has had, with the times from which on.
	sizes []size
}

// size is a capacity of a worker from a time on.
type size struct {
	from     time.Time
	capacity resource.Vector
}

// capacityGrace is how long after a worker has shrunk starts may exceed its capacity: the longest fault, the time in
// which its guard and the owner learn of it, and a heartbeat.
const capacityGrace = maxFault + 3*time.Second + heartbeatInterval

// capacity returns the present capacity.
func (w *worker) capacity() resource.Vector {
	w.checker.stateMu.Lock()
	defer w.checker.stateMu.Unlock()
	return w.sizes[len(w.sizes)-1].capacity
}

// allowed returns the largest capacity that the worker has had within capacityGrace.
func (w *worker) allowed() resource.Vector {
	w.checker.stateMu.Lock()
	defer w.checker.stateMu.Unlock()
	out := w.sizes[len(w.sizes)-1].capacity
	for i := len(w.sizes) - 1; i > 0 && time.Since(w.sizes[i].from) < capacityGrace; i-- {
		out = out.Max(w.sizes[i-1].capacity)
	}
	return out
}

// resize changes the capacity, which the next heartbeat announces.
func (w *worker) resize(capacity resource.Vector) {
	w.checker.stateMu.Lock()
	defer w.checker.stateMu.Unlock()
	w.sizes = append(w.sizes, size{time.Now(), capacity})
}

// Start implements guard.Executor. Starts are checked one at a time over all workers.
func (w *worker) Start(ctx context.Context, c guard.Command) error {
	w.checker.startMu.Lock()
	defer w.checker.startMu.Unlock()
	before := len(w.Starts())
	err := w.Executor.Start(ctx, c)
	if len(w.Starts()) == before {
		return err
	}
	w.checker.runStarted(w, c.Start.RunRef)
	if exceeded := w.overCapacity(); exceeded != "" {
		w.checker.violation("%s has no free capacity for %s: %s", w.name, c.Start.Task, exceeded)
	}
	return err
}

// overCapacity names the resource that the worker's runs exceed, or returns an empty string.
func (w *worker) overCapacity() string {
	var used resource.Vector
	for _, r := range w.Running() {
		used = used.Add(w.checker.demand(r.Task))
	}
	return used.Lacking(w.allowed())
}

// demand returns the resources that a task reserves.
func (c *checker) demand(t job.TaskID) resource.Vector {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	if k := c.jobs[t.Job]; k != nil && t.Step < len(k.steps) {
		return k.steps[t.Step].demand
	}
	return resource.Vector{}
}
