package logsvc

import (
	"encoding/json"
	"sync/atomic"
	"testing"
	"time"
)

// BenchmarkAppend measures calls of 256 callers on a log whose append takes 2 ms, directly and through
// a committer with a budget of 300 appends a second. It reports calls per append.
func BenchmarkAppend(b *testing.B) {
	for _, grouped := range []bool{false, true} {
		name := "direct"
		if grouped {
			name = "grouped"
		}
		b.Run(name, func(b *testing.B) {
			f := &fakeLog{streams: map[string][]json.RawMessage{}, next: func() behaviour { return behaviour{delay: 2 * time.Millisecond} }}
			var c Client = f
			if grouped {
				c = NewCommitter(f, DefaultCommitOptions())
			}
			var n atomic.Int64
			b.SetParallelism(256)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if _, err := c.Append(b.Context(), "claims", pair(int(n.Add(1)))); err != nil {
						b.Error(err)
					}
				}
			})
			b.ReportMetric(float64(b.N)/float64(len(f.times)), "calls/append")
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
			b.ReportMetric(float64(len(f.times))/b.Elapsed().Seconds(), "appends/s")
		})
	}
}
