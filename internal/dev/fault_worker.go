package dev

import (
	"context"
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/internal/pause"
	"github.com/crocusspring/crocusspring/internal/standin/workerstand"
	"github.com/crocusspring/crocusspring/internal/workload"
)

const (
	workerHold     = 4 * time.Second
	badHold        = 4 * time.Second
	noisyHold      = 3 * time.Second
	submitTimeout  = 10 * time.Second
	submitInterval = 100 * time.Millisecond
	// noisyWorkers is how many workers a wave affects, noiseFactor by how much it multiplies the interference on them.
	noisyWorkers = 3
	noiseFactor  = 3
)

// workerCrash crashes workers. One event is one crash.
func workerCrash() Fault {
	return Fault{
		Name: "worker-crash", About: "a worker ends abruptly and comes back with nothing; counts crashes",
		Run: func(ctx context.Context, in *Injector) error {
			return in.cycle(ctx, workerHold, func() (func() error, error) {
				back := in.CrashWorker(pick(in, in.Workers))
				in.addEvents(1)
				return func() error { back(); return nil }, nil
			})
		},
	}
}

// badWorker makes a worker fail every attempt it starts. One event is one failed attempt.
func badWorker() Fault {
	return Fault{
		Name: "bad-worker", About: "the busiest worker fails all it starts for a while; counts attempts that failed",
		Run: func(ctx context.Context, in *Injector) error {
			before := in.Recorder.FailedAttempts()
			err := in.cycle(ctx, badHold, func() (func() error, error) {
				w := in.busiest()
				w.SetFailAll(true)
				in.submitUntilFailed(before)
				return func() error { w.SetFailAll(false); return nil }, nil
			})
			in.addEvents(in.Recorder.FailedAttempts() - before)
			return err
		},
	}
}

// submitUntilFailed submits jobs until more attempts have failed than the given number, at most for
// submitTimeout, so that the worker gets work even under a light load.
func (in *Injector) submitUntilFailed(failed int) {
	m := in.plan.Mix
	for end := time.Now().Add(submitTimeout); time.Now().Before(end) && in.Recorder.FailedAttempts() <= failed; {
		workload.Submit(in.ctx, in.load, m.Workspaces[0], m.Jobs[0], m.Jobs[0].MinRun)
		pause.For(in.ctx, submitInterval)
	}
}

// busiest returns the worker that has started the most attempts.
func (in *Injector) busiest() *Worker {
	started := in.Recorder.StartedAttempts()
	return slices.MaxFunc(in.Workers, func(a, b *Worker) int { return started[a.Name] - started[b.Name] })
}

// noisyWave raises the interference between tasks on some workers. One event is one worker in a wave.
func noisyWave() Fault {
	return Fault{
		Name: "noisy-wave", About: "tasks on three workers disturb their neighbours far more for a while; counts workers",
		Run: func(ctx context.Context, in *Injector) error {
			return in.cycle(ctx, noisyHold, func() (func() error, error) {
				from := in.rng.IntN(len(in.Workers))
				var hit []*Worker
				for i := range min(noisyWorkers, len(in.Workers)) {
					hit = append(hit, in.Workers[(from+i)%len(in.Workers)])
				}
				for _, w := range hit {
					w.SetFaults(workerstand.Faults{Noise: noiseFactor})
				}
				in.addEvents(len(hit))
				return func() error {
					for _, w := range hit {
						w.SetFaults(workerstand.Faults{})
					}
					return nil
				}, nil
			})
		},
	}
}

// cancelBurst cancels many jobs at once. One event is one accepted cancellation.
func cancelBurst() Fault {
	return Fault{
		Name: "cancel-burst", About: "hundreds of jobs are submitted and cancelled at once; counts cancellations",
		Run: func(ctx context.Context, in *Injector) error {
			return in.cycle(ctx, 0, func() (func() error, error) {
				in.addEvents(in.burst(ctx))
				return func() error { return nil }, nil
			})
		},
	}
}
