package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
	"github.com/crocusspring/crocusspring/internal/resource"
)

// BenchmarkRound measures one round of an owner: 11 to 288 workers with five serving tasks each, filler steps
// that don't fit, and one new step of 20 short tasks per round.
func BenchmarkRound(b *testing.B) {
	for _, workers := range []int{11, 72, 288} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) { benchRound(b, workers) })
	}
}

// benchRound fills a pool and measures its rounds.
func benchRound(b *testing.B, workers int) {
	now := epoch0
	c := New(options)
	for i := range workers {
		id := fmt.Sprintf("w%03d", i)
		c.Attach(now, id, link.Worker{ID: id, Service: "pool", Capacity: resource.Vector{MilliCPU: 24000, MemoryMB: 64000}}, link.Listing{})
	}
	for i := range workers {
		c.Submit(now, one(fmt.Sprintf("serve%d", i), 0, job.Step{
			Count: 5, Demand: cores(3), LongRunning: true, TailTargetMS: 100, Image: fmt.Sprintf("s%d", i%5),
		}))
		c.Submit(now, one(fmt.Sprintf("fill%d", i), 2, job.Step{
			Count: 20, Demand: cores(2), EstimateMS: 3000, Filler: true, Image: fmt.Sprintf("f%d", i%9),
		}))
	}
	ends := map[string]int64{}
	tick := func(n int) {
		now = now.Add(15 * time.Millisecond)
		c.Submit(now, one(fmt.Sprintf("short%d", n), 0, job.Step{Count: 20, Demand: cores(0.4), EstimateMS: 600}))
		for id, starts := range started(settle(now, c)) {
			for _, s := range starts {
				if s.Filler || s.TailTargetMS > 0 {
					continue
				}
				ends[id]++
				c.Ended(now, id, []link.RunEnd{{Number: ends[id], RunRef: s.RunRef, Outcome: link.Done}})
			}
		}
		c.Decisions()
	}
	tick(0)
	for _, w := range c.sortedWorkers {
		var rows []link.RunStatus
		for _, t := range w.tasks {
			rows = append(rows, link.RunStatus{RunRef: t.ref(), Percent: 100, Measurement: 60})
		}
		c.Report(now, w.id, link.Listing{Running: rows})
	}
	b.ResetTimer()
	for n := range b.N {
		tick(n + 1)
	}
}
