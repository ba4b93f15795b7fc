package dev

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocusspring/crocusspring/internal/workload"
)

const (
	burstJobs    = 300
	burstCallers = 16
	burstRun     = 2 * time.Second
)

// burst submits many jobs, cancels all of them at once and returns how many cancellations were taken.
func (in *Injector) burst(ctx context.Context) int {
	ids := make(chan string, burstJobs)
	in.each(func(int) {
		if id, ok := workload.Submit(ctx, in.load, in.plan.Mix.Workspaces[0], in.plan.Mix.Jobs[0], burstRun); ok {
			ids <- id
		}
	})
	close(ids)
	var all []string
	for id := range ids {
		all = append(all, id)
	}
	var taken atomic.Int64
	in.each(func(i int) {
		if i < len(all) && workload.Cancel(ctx, in.load, in.plan.Mix.Workspaces[0], all[i]) {
			taken.Add(1)
		}
	})
	return int(taken.Load())
}

// each calls f for every number of the burst from a few callers at once.
func (in *Injector) each(f func(int)) {
	next := make(chan int)
	var wg sync.WaitGroup
	for range burstCallers {
		wg.Go(func() {
			for i := range next {
				f(i)
			}
		})
	}
	for i := range burstJobs {
		next <- i
	}
	close(next)
	wg.Wait()
}
