// Package soak runs the product's programs as separate processes against stand-ins of the platform, injects
// faults from outside with signals, network proxies and a store that fails, and checks what clients and workers
// see. The same seed draws the same load and the same faults; how they interleave depends on the machine.
package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/crocusspring/crocusspring/internal/pause"
	"github.com/crocusspring/crocusspring/internal/resource"
	"github.com/crocusspring/crocusspring/platform/standin"
)

// Options configure one soak test.
type Options struct {
	Seed uint64
	// Length is how long jobs are submitted; every fault begins within it.
	Length time.Duration
	// Entries and Guards are the numbers of machines of each kind, Faults is the number of injected faults.
	Entries, Guards, Faults int
	// Dir is the directory for settings and logs, Program runs the programs.
	Dir     string
	Program Program
}

// Report is the result of one soak test.
type Report struct {
	// Faults describes the injected faults, each with its start time and duration.
	Faults []string
	Jobs   int
	Starts int
	// Violations are the violated guarantees in the order in which they were observed.
	Violations []string
}

const (
	// minFault and maxFault bound the duration of a fault.
	minFault = 200 * time.Millisecond
	maxFault = 4 * time.Second
	// deadlyJobs is the number of jobs of which one, on average, has a task that crashes its workers.
	deadlyJobs = 40
	// jobInterval is the mean time between two jobs.
	jobInterval = 60 * time.Millisecond
	// responseTimeout is how long a client waits for a response.
	responseTimeout = 3 * time.Second
	// retryInterval is the time between two queries of a job, and between two attempts of any other request.
	retryInterval = 200 * time.Millisecond
	// completionTimeout is the time after the end of the last fault within which every accepted job must be
	// completed.
	completionTimeout = 45 * time.Second
	// visibilityDelay is how long after its acceptance a job may still be unknown to queries, as on the platform.
	visibilityDelay = 3 * time.Second
	// readyTimeout bounds the start of a deployment.
	readyTimeout = 20 * time.Second
)

// step is one step of a generated job.
type step struct {
	count       int
	demand      resource.Vector
	dependsOn   []int
	longRunning bool
	// deadly says that the first task of the step crashes each worker that starts it.
	deadly bool
}

// Run starts a deployment, submits jobs to it while faults are injected, and returns what was observed.
func Run(ctx context.Context, o Options) (Report, error) {
	heartbeatCtx, stop := context.WithCancel(ctx)
	d, err := deploy(heartbeatCtx, o)
	if d != nil {
		defer func() {
			stop()
			d.close()
		}()
	} else {
		defer stop()
	}
	if err != nil {
		return Report{}, err
	}
	if err := d.waitReady(ctx); err != nil {
		return Report{}, err
	}
	rng := rand.New(rand.NewPCG(o.Seed, 0))
	var rep Report
	var injected, load sync.WaitGroup
	d.injectFaults(ctx, o, rng, &rep, &injected)
	rep.Jobs = d.submitJobs(ctx, o, rand.New(rand.NewPCG(o.Seed, 1)), &load, &injected)
	injected.Wait()
	load.Wait()
	d.checker.checkFinal()
	for _, w := range d.checker.workers {
		rep.Starts += len(w.Starts())
	}
	rep.Violations = d.checker.report()
	return rep, ctx.Err()
}

// waitReady waits until a first job is completed.
func (d *deployment) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	id := fmt.Sprintf("%016x", 0)
	d.checker.addJob(id, []step{{count: 1, demand: resource.Vector{MilliCPU: 100, MemoryMB: 10}}})
	d.runJob(ctx, id, d.entries[0], rand.New(rand.NewPCG(0, 0)), 0)
	if d.checker.job(id).completed.IsZero() {
		return errors.New("no job was completed after the deployment started")
	}
	return nil
}

// injectFaults draws the faults of a run and starts each at its time.
func (d *deployment) injectFaults(ctx context.Context, o Options, rng *rand.Rand, rep *Report, all *sync.WaitGroup) {
	for range o.Faults {
		f := pick(rng, faults)
		at := time.Duration(rng.Int64N(int64(o.Length)))
		duration := minFault + time.Duration(rng.Int64N(int64(maxFault-minFault)))
		faultRNG := rand.New(rand.NewPCG(rng.Uint64(), 0))
		rep.Faults = append(rep.Faults, fmt.Sprintf("%s at %s for %s", f.name, at.Round(time.Millisecond), duration.Round(time.Millisecond)))
		all.Go(func() {
			pause.For(ctx, at)
			f.inject(ctx, d, faultRNG, duration)
		})
	}
}

// submitJobs submits jobs for o.Length and returns their number. Clients follow their jobs until those are
// completed, at most until completionTimeout after the end of the last fault.
func (d *deployment) submitJobs(ctx context.Context, o Options, rng *rand.Rand, load, injected *sync.WaitGroup) int {
	ctx, cancel := context.WithCancel(ctx)
	faultsEnded := make(chan struct{})
	go func() {
		injected.Wait()
		close(faultsEnded)
	}()
	load.Go(func() {
		<-faultsEnded
		pause.For(ctx, completionTimeout)
		cancel()
	})
	var clients sync.WaitGroup
	end := time.Now().Add(o.Length)
	n := 0
	for time.Now().Before(end) {
		n++
		id := fmt.Sprintf("%016x", rng.Uint64())
		steps, cancelAfter := drawJob(rng)
		d.checker.addJob(id, steps)
		h, jobRNG := pick(rng, d.entries), rand.New(rand.NewPCG(rng.Uint64(), 0))
		clients.Go(func() { d.runJob(ctx, id, h, jobRNG, cancelAfter) })
		pause.For(ctx, time.Duration(rng.ExpFloat64()*float64(jobInterval)))
	}
	load.Go(func() {
		clients.Wait()
		<-faultsEnded
		cancel()
	})
	return n
}

// drawJob returns the steps of a random job and the delay after which it is cancelled; 0 for one that must
// complete.
func drawJob(rng *rand.Rand) ([]step, time.Duration) {
	demand := resource.Vector{MilliCPU: 200 + 100*rng.Int64N(8), MemoryMB: 100}
	cancelAfter := time.Duration(0)
	if rng.IntN(6) == 0 {
		cancelAfter = time.Duration(rng.Int64N(int64(4 * time.Second)))
	}
	if cancelAfter > 0 && rng.IntN(2) == 0 {
		return []step{{count: 1 + rng.IntN(3), demand: demand, longRunning: true}}, cancelAfter
	}
	steps := []step{{count: 1 + rng.IntN(3), demand: demand, deadly: rng.IntN(deadlyJobs) == 0}}
	if rng.IntN(2) == 0 {
		steps = append(steps, step{count: 1 + rng.IntN(4), demand: demand, dependsOn: []int{0}})
	}
	return steps, cancelAfter
}

// wireSteps converts steps to the form in which clients send them.
func wireSteps(steps []step) []standin.Step {
	var out []standin.Step
	for _, s := range steps {
		out = append(out, standin.Step{
			Count: s.count, CPU: s.demand.MilliCPU, MemMB: s.demand.MemoryMB, Estimate: runDuration.Milliseconds(),
			DependsOn: s.dependsOn, LongRunning: s.longRunning,
		})
	}
	return out
}

// runJob submits a job, cancels it after cancelAfter unless that is 0, and polls it until it has ended.
func (d *deployment) runJob(ctx context.Context, id string, h *host, rng *rand.Rand, cancelAfter time.Duration) {
	if !d.submit(ctx, id, h, rng) {
		return
	}
	if cancelAfter > 0 {
		pause.For(ctx, cancelAfter)
		d.cancel(ctx, id, rng)
	}
	for ctx.Err() == nil {
		if d.jobEnded(ctx, id, pick(rng, d.entries)) {
			return
		}
		pause.For(ctx, retryInterval)
	}
	if k := d.checker.job(id); k.cancelled.IsZero() {
		d.checker.violation("job %s was accepted but isn't completed %s after the last fault", id, completionTimeout)
	}
}

// submit submits a job until its outcome is known; true when it was accepted. Clients may give up a job only
// while every attempt was refused; after an attempt without a definite response they retry with the same id.
func (d *deployment) submit(ctx context.Context, id string, h *host, rng *rand.Rand) bool {
	steps := wireSteps(d.checker.job(id).steps)
	undecided := false
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, responseTimeout)
		status, err := d.client.Submit(call, h.addr, id, steps)
		cancel()
		refused := err == nil && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests)
		switch {
		case err == nil && status == http.StatusOK:
			d.checker.updateJob(id, func(k *jobState) { k.accepted, k.refused = time.Now(), false })
			return true
		case refused && !undecided && rng.IntN(4) == 0:
			return false
		case !refused:
			undecided = true
			d.checker.updateJob(id, func(k *jobState) { k.refused = false })
			if err == nil && status != http.StatusGatewayTimeout && status != http.StatusBadGateway {
				d.checker.violation("submission of %s was answered with status %d", id, status)
				return false
			}
		}
		pause.For(ctx, retryInterval)
		h = pick(rng, d.entries)
	}
	return false
}

// cancel sends the cancellation of a job until it is acknowledged, or until the job is reported as unknown too
// late after its acceptance.
func (d *deployment) cancel(ctx context.Context, id string, rng *rand.Rand) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, responseTimeout)
		status, err := d.client.Cancel(call, pick(rng, d.entries).addr, id)
		cancel()
		if err == nil && status == http.StatusOK {
			d.checker.updateJob(id, func(k *jobState) { k.cancelled = time.Now() })
			return
		}
		if err == nil && status == http.StatusGone && d.checker.jobGone(id, "cancel") {
			return
		}
		pause.For(ctx, retryInterval)
	}
}

// jobEnded queries a job and reports whether it has ended or no longer needs to be followed.
func (d *deployment) jobEnded(ctx context.Context, id string, h *host) bool {
	call, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	status, state, err := d.client.State(call, h.addr, id)
	if err != nil || status == http.StatusServiceUnavailable {
		return false
	}
	k := d.checker.job(id)
	switch {
	case status == http.StatusGone:
		return d.checker.jobGone(id, "question")
	case state == "completed":
		d.checker.jobCompleted(id)
		return true
	case state == "failed" && d.checker.crashesUnder(id) >= crashesToFail:
		return true
	case state == "cancelled" && k.cancelled.IsZero(), state == "failed":
		d.checker.violation("job %s is reported as %s without a cause", id, state)
		return true
	}
	return state == "cancelled"
}

// jobGone checks a response with status 410 about a job; true when it violates the guarantee that a job is
// known from visibilityDelay after its acceptance on.
func (c *checker) jobGone(id, operation string) bool {
	since := time.Since(c.job(id).accepted)
	if since <= visibilityDelay {
		return false
	}
	c.violation("%s of job %s was answered with status 410 %s after its acceptance", operation, id, since.Round(time.Millisecond))
	return true
}

// jobCompleted records that a client was shown a job as completed, and checks that it may be.
func (c *checker) jobCompleted(id string) {
	c.updateJob(id, func(k *jobState) { k.completed = time.Now() })
	k := c.job(id)
	for s, st := range k.steps {
		if st.longRunning {
			c.violation("job %s is reported as completed, but step %d is long-running", id, s)
		}
	}
	if missing := c.missing(id); missing != "" {
		c.violation("job %s is reported as completed, but %s is not done", id, missing)
	}
}
