package load

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/crocusspring/crocusspring/internal/experiment"
	"github.com/crocusspring/crocusspring/internal/history"
)

// maxLatency is the largest latency the histograms tell apart.
const maxLatency = 10 * time.Minute

// Names of metrics that reports look for.
const (
	metricBatch     = "batch throughput, finished core-s/s"
	metricEvictions = "evictions"
	metricJain      = "Jain's index of finished work"
	tailUnit        = "ms"
)

// tailPoints are the quantiles of tail latency, in percent.
var tailPoints = []float64{50, 90, 99, 99.9, 99.99}

// tailMetric names a quantile of the latency of all answered requests.
func tailMetric(q float64) string { return fmt.Sprintf("p%g, %s", q, tailUnit) }

// answered reports whether any request was answered.
func answered(h *history.History) bool {
	for _, q := range h.Requests {
		if q.Outcome == history.Answered {
			return true
		}
	}
	return false
}

// newHistogram returns a histogram of microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), 3)
}

// record books the time from when a request was due, so that a late send counts against the system.
func record(h *hdrhistogram.Histogram, q *history.Request) {
	_ = h.RecordValue(min(max(1, q.End.Sub(q.Due).Microseconds()), maxLatency.Microseconds()))
}

// sumUp adds the measures of one run to a set.
func sumUp(s *experiment.Set, variant string, seed uint64, length time.Duration, h *history.History) {
	all := newHistogram()
	byClass := map[string]*hdrhistogram.Histogram{}
	var classes []string
	outcomes := map[history.Outcome]int{}
	for _, q := range h.Requests {
		outcomes[q.Outcome]++
		if q.Outcome != history.Answered {
			continue
		}
		if byClass[q.Class] == nil {
			byClass[q.Class] = newHistogram()
			classes = append(classes, q.Class)
		}
		record(all, q)
		record(byClass[q.Class], q)
	}
	add := func(metric string, v float64) { s.Add(variant, seed, metric, v) }
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	add("requests sent", float64(len(h.Requests)))
	for _, o := range []history.Outcome{history.Answered, history.NotRun, history.Unknown, history.Lost} {
		add("requests "+string(o), float64(outcomes[o]))
	}
	for _, q := range tailPoints {
		add(tailMetric(q), ms(all, q))
	}
	for _, c := range classes {
		add(fmt.Sprintf("%s p99, %s", c, tailUnit), ms(byClass[c], 99))
	}
	sumUpJobs(add, length, h.Jobs)
}

// sumUpJobs adds the measures of batch work.
func sumUpJobs(add func(string, float64), length time.Duration, jobs []*history.Job) {
	asked, done := map[string]float64{}, map[string]float64{}
	accepted, finished, work := 0, 0, 0.0
	for _, j := range jobs {
		if j.Outcome == history.Accepted {
			accepted++
		}
		w := float64(j.RunMS) / 1000 * float64(j.Declare.MilliCPU) / 1000
		asked[j.Workspace] += w
		if j.Final == history.JobFinished {
			finished++
			work += w
			done[j.Workspace] += w
		}
	}
	add("jobs accepted", float64(accepted))
	add("jobs finished", float64(finished))
	add(metricBatch, work/length.Seconds())
	add(metricJain, jain(asked, done))
}

// jain returns Jain's index of the part each workspace got of what it asked for; 1 when none asked.
func jain(asked, got map[string]float64) float64 {
	sum, squares, n := 0.0, 0.0, 0.0
	for ws, want := range asked {
		if want == 0 {
			continue
		}
		x := got[ws] / want
		sum, squares, n = sum+x, squares+x*x, n+1
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (n * squares)
}
