// Package soak runs the product's programs as separate processes against stand-ins of the platform, disturbs
// them from outside with signals, proxies and a store that misbehaves, and judges what clients and workers
// see. The same seed draws the same load and the same faults; how they meet depends on the machine.
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

// Options choose a run.
type Options struct {
	Seed uint64
	// Length is how long load is sent and faults begin.
	Length time.Duration
	// Entries and Guards are how many machines there are of each kind, Faults how many faults are drawn.
	Entries, Guards, Faults int
	// Dir takes settings and logs, Program starts the programs.
	Dir     string
	Program Program
}

// Report is what a run has shown.
type Report struct {
	// Faults are the names of those drawn, with their times.
	Faults []string
	Jobs   int
	Starts int
	// Broken are the promises that were broken, in the order in which they were seen.
	Broken []string
}

const (
	// leastFault and mostFault bound how long a fault lasts.
	leastFault = 200 * time.Millisecond
	mostFault  = 4 * time.Second
	// jobEvery is the mean time between two jobs.
	jobEvery = 60 * time.Millisecond
	// answerWithin is how long a client waits for an answer.
	answerWithin = 3 * time.Second
	// askEvery is the time between two questions about a job, and between two attempts.
	askEvery = 200 * time.Millisecond
	// completeWithin bounds the time after the last fault within which every accepted job is completed.
	completeWithin = 45 * time.Second
	// visibleWithin is how long after its acceptance a job may be unknown to those who ask, as on the platform.
	visibleWithin = 3 * time.Second
	// readyWithin bounds the start of a deployment.
	readyWithin = 20 * time.Second
)

// step is one step of a job of the load.
type step struct {
	count     int
	demand    resource.Vector
	dependsOn []int
	lasts     bool
}

// Run runs one deployment through its faults.
func Run(ctx context.Context, o Options) (Report, error) {
	beats, stop := context.WithCancel(ctx)
	d, err := deploy(beats, o)
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
	if err := d.ready(ctx); err != nil {
		return Report{}, err
	}
	rng := rand.New(rand.NewPCG(o.Seed, 0))
	var rep Report
	var faulty, load sync.WaitGroup
	d.disturbances(ctx, o, rng, &rep, &faulty)
	rep.Jobs = d.send(ctx, o, rand.New(rand.NewPCG(o.Seed, 1)), &load, &faulty)
	faulty.Wait()
	load.Wait()
	d.judge.close()
	for _, w := range d.judge.workers {
		rep.Starts += len(w.Starts())
	}
	rep.Broken = d.judge.report()
	return rep, ctx.Err()
}

// ready waits until a first job is completed.
func (d *deployment) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	id := fmt.Sprintf("%016x", 0)
	d.judge.offer(id, []step{{count: 1, demand: resource.Vector{MilliCPU: 100, MemoryMB: 10}}})
	d.follow(ctx, id, d.entries[0], rand.New(rand.NewPCG(0, 0)), 0)
	if d.judge.look(id).completed.IsZero() {
		return errors.New("no job is completed after the start")
	}
	return nil
}

// disturbances draws the faults of a run and starts each at its time.
func (d *deployment) disturbances(ctx context.Context, o Options, rng *rand.Rand, rep *Report, all *sync.WaitGroup) {
	for range o.Faults {
		f := pick(rng, faults)
		at := time.Duration(rng.Int64N(int64(o.Length)))
		last := leastFault + time.Duration(rng.Int64N(int64(mostFault-leastFault)))
		own := rand.New(rand.NewPCG(rng.Uint64(), 0))
		rep.Faults = append(rep.Faults, fmt.Sprintf("%s at %s for %s", f.name, at.Round(time.Millisecond), last.Round(time.Millisecond)))
		all.Go(func() {
			pause.For(ctx, at)
			f.begin(ctx, d, own, last)
		})
	}
}

// send sends jobs for the length of a run and returns their number. Clients follow their jobs until those
// are completed, which must be some time after the last fault.
func (d *deployment) send(ctx context.Context, o Options, rng *rand.Rand, load, faulty *sync.WaitGroup) int {
	ctx, cancel := context.WithCancel(ctx)
	calm := make(chan struct{})
	go func() {
		faulty.Wait()
		close(calm)
	}()
	load.Go(func() {
		<-calm
		pause.For(ctx, completeWithin)
		cancel()
	})
	var clients sync.WaitGroup
	end := time.Now().Add(o.Length)
	n := 0
	for time.Now().Before(end) {
		n++
		id := fmt.Sprintf("%016x", rng.Uint64())
		steps, cancelAfter := drawJob(rng)
		d.judge.offer(id, steps)
		h, own := pick(rng, d.entries), rand.New(rand.NewPCG(rng.Uint64(), 0))
		clients.Go(func() { d.follow(ctx, id, h, own, cancelAfter) })
		pause.For(ctx, time.Duration(rng.ExpFloat64()*float64(jobEvery)))
	}
	load.Go(func() {
		clients.Wait()
		<-calm
		cancel()
	})
	return n
}

// drawJob returns a job, and after what time it is cancelled; 0 for one that is to complete.
func drawJob(rng *rand.Rand) ([]step, time.Duration) {
	demand := resource.Vector{MilliCPU: 200 + 100*rng.Int64N(8), MemoryMB: 100}
	cancelAfter := time.Duration(0)
	if rng.IntN(6) == 0 {
		cancelAfter = time.Duration(rng.Int64N(int64(4 * time.Second)))
	}
	if cancelAfter > 0 && rng.IntN(2) == 0 {
		return []step{{count: 1 + rng.IntN(3), demand: demand, lasts: true}}, cancelAfter
	}
	steps := []step{{count: 1 + rng.IntN(3), demand: demand}}
	if rng.IntN(2) == 0 {
		steps = append(steps, step{count: 1 + rng.IntN(4), demand: demand, dependsOn: []int{0}})
	}
	return steps, cancelAfter
}

// wire returns steps as clients send them.
func wire(steps []step) []standin.Step {
	var out []standin.Step
	for _, s := range steps {
		out = append(out, standin.Step{
			Count: s.count, CPU: s.demand.MilliCPU, MemMB: s.demand.MemoryMB, Estimate: workTime.Milliseconds(),
			DependsOn: s.dependsOn, LongRunning: s.lasts,
		})
	}
	return out
}

// follow hands a job in, cancels it after a time other than 0, and asks for it until it is over.
func (d *deployment) follow(ctx context.Context, id string, h *host, rng *rand.Rand, cancelAfter time.Duration) {
	if !d.submit(ctx, id, h, rng) {
		return
	}
	if cancelAfter > 0 {
		pause.For(ctx, cancelAfter)
		d.cancel(ctx, id, rng)
	}
	for ctx.Err() == nil {
		if d.over(ctx, id, pick(rng, d.entries)) {
			return
		}
		pause.For(ctx, askEvery)
	}
	if k := d.judge.look(id); k.cancelled.IsZero() {
		d.judge.breaks("job %s was accepted and isn't completed %s after the last fault", id, completeWithin)
	}
}

// submit hands a job in until it is known what became of it; true when it was accepted. Clients give up
// jobs that were refused, and come again with the same id after no answer.
func (d *deployment) submit(ctx context.Context, id string, h *host, rng *rand.Rand) bool {
	steps := wire(d.judge.look(id).steps)
	unknown := false
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, answerWithin)
		status, err := d.client.Submit(call, h.addr, id, steps)
		cancel()
		refused := err == nil && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests)
		switch {
		case err == nil && status == http.StatusOK:
			d.judge.change(id, func(k *known) { k.accepted, k.refused = time.Now(), false })
			return true
		case refused && !unknown && rng.IntN(4) == 0:
			return false
		case !refused:
			unknown = true
			d.judge.change(id, func(k *known) { k.refused = false })
			if err == nil && status != http.StatusGatewayTimeout && status != http.StatusBadGateway {
				d.judge.breaks("submission of %s is answered %d", id, status)
				return false
			}
		}
		pause.For(ctx, askEvery)
		h = pick(rng, d.entries)
	}
	return false
}

// cancel cancels a job until that is acknowledged.
func (d *deployment) cancel(ctx context.Context, id string, rng *rand.Rand) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, answerWithin)
		status, err := d.client.Cancel(call, pick(rng, d.entries).addr, id)
		cancel()
		if err == nil && status == http.StatusOK {
			d.judge.change(id, func(k *known) { k.cancelled = time.Now() })
			return
		}
		if err == nil && status == http.StatusGone && d.judge.unknown(id, "cancel") {
			return
		}
		pause.For(ctx, askEvery)
	}
}

// over asks for a job and reports whether it has ended.
func (d *deployment) over(ctx context.Context, id string, h *host) bool {
	call, cancel := context.WithTimeout(ctx, answerWithin)
	defer cancel()
	status, state, err := d.client.State(call, h.addr, id)
	if err != nil || status == http.StatusServiceUnavailable {
		return false
	}
	k := d.judge.look(id)
	switch {
	case status == http.StatusGone:
		return d.judge.unknown(id, "question")
	case state == "completed":
		d.judge.shown(id)
		return true
	case state == "cancelled" && k.cancelled.IsZero(), state == "failed":
		d.judge.breaks("job %s is shown as %s without a cause", id, state)
		return true
	}
	return state == "cancelled"
}

// unknown takes that a job is answered 410; true when that is too late after its acceptance.
func (j *judge) unknown(id, asked string) bool {
	since := time.Since(j.look(id).accepted)
	if since <= visibleWithin {
		return false
	}
	j.breaks("%s of job %s is answered 410 %s after its acceptance", asked, id, since.Round(time.Millisecond))
	return true
}

// shown takes that a job was shown as completed.
func (j *judge) shown(id string) {
	j.change(id, func(k *known) { k.completed = time.Now() })
	k := j.look(id)
	for s, st := range k.steps {
		if st.lasts {
			j.breaks("job %s is shown as completed, and step %d lasts", id, s)
		}
	}
	if missing := j.missing(id); missing != "" {
		j.breaks("job %s is shown as completed, and %s is not done", id, missing)
	}
}
