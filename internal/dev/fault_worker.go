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
	workerHold = 4 * time.Second
	badHold    = 4 * time.Second
	noisyHold  = 3 * time.Second
	feedFor    = 10 * time.Second
	feedEvery  = 100 * time.Millisecond
	// noisyHosts and noise are how many workers a wave meets and how loud it is.
	noisyHosts = 3
	noise      = 3
)

// workerCrash ends workers abruptly. One event is one crash.
func workerCrash() Fault {
	return Fault{
		Name: "worker-crash", About: "a worker ends abruptly and comes back with nothing; counts crashes",
		Run: func(ctx context.Context, in *Injector) error {
			return in.cycle(ctx, workerHold, func() (func() error, error) {
				back := in.CrashWorker(pick(in, in.Workers))
				in.happened(1)
				return func() error { back(); return nil }, nil
			})
		},
	}
}

// badWorker makes a worker fail all it starts. One event is one failed attempt.
func badWorker() Fault {
	return Fault{
		Name: "bad-worker", About: "the busiest worker fails all it starts for a while; counts attempts that failed",
		Run: func(ctx context.Context, in *Injector) error {
			before := in.Recorder.FailedAttempts()
			err := in.cycle(ctx, badHold, func() (func() error, error) {
				w := in.busiest()
				w.SetFailAll(true)
				in.feed(before)
				return func() error { w.SetFailAll(false); return nil }, nil
			})
			in.happened(in.Recorder.FailedAttempts() - before)
			return err
		},
	}
}

// feed submits jobs until one more attempt than before has failed, so that the worker meets work even
// under a light load.
func (in *Injector) feed(failed int) {
	m := in.plan.Mix
	for end := time.Now().Add(feedFor); time.Now().Before(end) && in.Recorder.FailedAttempts() <= failed; {
		workload.Submit(in.ctx, in.load, m.Workspaces[0], m.Jobs[0], m.Jobs[0].MinRun)
		pause.For(in.ctx, feedEvery)
	}
}

// busiest returns the worker that has begun the most attempts.
func (in *Injector) busiest() *Worker {
	begun := in.Recorder.StartedAttempts()
	return slices.MaxFunc(in.Workers, func(a, b *Worker) int { return begun[a.Name] - begun[b.Name] })
}

// noisyWave makes neighbours on some workers disturb each other. One event is one worker in a wave.
func noisyWave() Fault {
	return Fault{
		Name: "noisy-wave", About: "tasks on three workers disturb their neighbours far more for a while; counts workers",
		Run: func(ctx context.Context, in *Injector) error {
			return in.cycle(ctx, noisyHold, func() (func() error, error) {
				from := in.rng.IntN(len(in.Workers))
				var hit []*Worker
				for i := range min(noisyHosts, len(in.Workers)) {
					hit = append(hit, in.Workers[(from+i)%len(in.Workers)])
				}
				for _, w := range hit {
					w.SetFaults(workerstand.Faults{Noise: noise})
				}
				in.happened(len(hit))
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

// cancelBurst cancels many jobs at once. One event is one cancellation that was asked for.
func cancelBurst() Fault {
	return Fault{
		Name: "cancel-burst", About: "hundreds of jobs are submitted and cancelled at once; counts cancellations",
		Run: func(ctx context.Context, in *Injector) error {
			return in.cycle(ctx, 0, func() (func() error, error) {
				in.happened(in.burst(ctx))
				return func() error { return nil }, nil
			})
		},
	}
}
