package sched

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
)

// FuzzRestore guards against a stored record that ends every owner in turn, since each of them reads it at its
// takeover.
func FuzzRestore(f *testing.F) {
	f.Add("job", []byte(`{"s":"running","o":[{"t":[[{"r":1,"w":"a"},{"d":true},{"r":3,"p":[{"r":2,"w":"b"}]}]]}]}`))
	f.Add("job", []byte(`{"s":"odd","n":-3,"f":-1,"o":[{"k":-1,"t":[[]]},{"k":7,"t":[[{"r":-1,"w":"x"}]]}]}`))
	f.Add("w/a", []byte("node-a"))
	f.Add("n/a", []byte("node-a"))
	f.Add(InterferenceKey, []byte(`{"pairs":null}`))
	f.Fuzz(func(_ *testing.T, key string, value []byte) {
		now := epoch0
		c := New(options)
		c.Submit(now, one("job", 0, job.Step{Count: 3, Demand: cores(1), EstimateMS: 1000, Speculative: true}))
		if err := c.Restore(now, key, value); err != nil {
			return
		}
		c.Attach(now, "node-a", link.Worker{ID: "a@5", Service: "pool", Capacity: big}, link.Listing{})
		for range 3 {
			now = now.Add(2 * time.Second)
			settle(now, c)
		}
		c.Explain("job")
	})
}

// FuzzReport guards against a message of a guard that ends the owner.
func FuzzReport(f *testing.F) {
	f.Add([]byte(`{"worker":{"id":"a@1","service":"pool","capacity":{"milli_cpu":4000,"memory_mb":8000}},"inventory":true,"running":[{"t":"job.0.0.0","r":1,"p":50}],"ended":[{"n":1,"t":"job.0.0.1","r":1,"o":"done"}]}`))
	f.Add([]byte(`{"worker":{"id":""},"running":[{"t":"job.0.0.99","r":-1,"p":1e308,"f":-1}],"ended":[{"n":-5,"t":"job.0.7.1","r":0,"o":"?"}]}`))
	f.Add([]byte(`{"worker":{"id":"a","capacity":{"milli_cpu":-1}},"pace":-100,"mute":true}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var up link.GuardMessage
		if json.Unmarshal(data, &up) != nil || up.Worker == nil {
			return
		}
		now := epoch0
		c := pool(now, "b")
		c.Submit(now, one("job", 0, job.Step{Count: 3, Demand: cores(1), EstimateMS: 1000, Speculative: true}))
		c.Submit(now, one("serve", 0, job.Step{Count: 1, Demand: cores(1), LongRunning: true, TailTargetMS: 100, Image: "s"}))
		settle(now, c)
		c.Attach(now, "node-a", *up.Worker, link.Listing{Running: up.Running, Ended: up.Ended})
		c.UpdatePressure(now, up.Worker.ID, up.Pace, up.Unresponsive)
		for range 3 {
			now = now.Add(2 * time.Second)
			settle(now, c)
			c.Report(now, up.Worker.ID, link.Listing{Running: up.Running, Ended: up.Ended})
			c.Update(now, *up.Worker)
		}
	})
}
