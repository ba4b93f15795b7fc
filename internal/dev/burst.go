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
	burstRunTime = 2 * time.Second
)

// burst submits many jobs, cancels all of them at once and returns how many cancellations were accepted.
func (in *Injector) burst(ctx context.Context) int {
	ids := make(chan string, burstJobs)
	in.forEachIndex(func(int) {
		if id, ok := workload.Submit(ctx, in.load, in.plan.Mix.Workspaces[0], in.plan.Mix.Jobs[0], burstRunTime); ok {
			ids <- id
		}
	})
	close(ids)
	var all []string
	for id := range ids {
		all = append(all, id)
	}
	var accepted atomic.Int64
	in.forEachIndex(func(i int) {
		if i < len(all) && workload.Cancel(ctx, in.load, in.plan.Mix.Workspaces[0], all[i]) {
			accepted.Add(1)
		}
	})
	return int(accepted.Load())
}

// forEachIndex calls f with every index below burstJobs, from burstCallers goroutines.
func (in *Injector) forEachIndex(f func(int)) {
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
