package load

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/crocusspring/crocusspring/internal/experiment"
	"github.com/crocusspring/crocusspring/internal/history"
)

// maxLatency is the largest latency that the histograms record; longer ones count as maxLatency.
const maxLatency = 10 * time.Minute

// Metric names that hasBarChart matches.
const (
	metricBatch     = "batch throughput, finished core-s/s"
	metricEvictions = "evictions"
	metricJain      = "Jain's index of finished work"
	tailUnit        = "ms"
)

// tailPercentiles are the reported percentiles of request latency.
var tailPercentiles = []float64{50, 90, 99, 99.9, 99.99}

// tailMetric returns the metric name of percentile q of the latency of all answered requests.
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

// newHistogram returns a latency histogram in microseconds with 3 significant digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), 3)
}

// recordLatency adds a request's latency, counted from when it was due, so that a late send counts against the system.
func recordLatency(h *hdrhistogram.Histogram, q *history.Request) {
	_ = h.RecordValue(min(max(1, q.End.Sub(q.Due).Microseconds()), maxLatency.Microseconds()))
}

// addRunMetrics adds the metrics of one run's history to a set.
func addRunMetrics(s *experiment.Set, variant string, seed uint64, length time.Duration, h *history.History) {
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
		recordLatency(all, q)
		recordLatency(byClass[q.Class], q)
	}
	add := func(metric string, v float64) { s.Add(variant, seed, metric, v) }
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	add("requests sent", float64(len(h.Requests)))
	for _, o := range []history.Outcome{history.Answered, history.NotRun, history.Unknown, history.Lost} {
		add("requests "+string(o), float64(outcomes[o]))
	}
	for _, q := range tailPercentiles {
		add(tailMetric(q), ms(all, q))
	}
	for _, c := range classes {
		add(fmt.Sprintf("%s p99, %s", c, tailUnit), ms(byClass[c], 99))
	}
	addJobMetrics(add, length, h.Jobs)
}

// addJobMetrics adds the metrics of the batch jobs.
func addJobMetrics(add func(string, float64), length time.Duration, jobs []*history.Job) {
	requested, finishedWork := map[string]float64{}, map[string]float64{}
	accepted, finished, work := 0, 0, 0.0
	for _, j := range jobs {
		if j.Outcome == history.Accepted {
			accepted++
		}
		w := float64(j.RunMS) / 1000 * float64(j.Declare.MilliCPU) / 1000
		requested[j.Workspace] += w
		if j.Final == history.JobFinished {
			finished++
			work += w
			finishedWork[j.Workspace] += w
		}
	}
	add("jobs accepted", float64(accepted))
	add("jobs finished", float64(finished))
	add(metricBatch, work/length.Seconds())
	add(metricJain, jainIndex(requested, finishedWork))
}

// jainIndex returns Jain's fairness index of the fraction of its requested work that each workspace got
// finished; 1 when no workspace requested or finished any.
func jainIndex(requested, finished map[string]float64) float64 {
	sum, squares, n := 0.0, 0.0, 0.0
	for ws, amount := range requested {
		if amount == 0 {
			continue
		}
		fraction := finished[ws] / amount
		sum, squares, n = sum+fraction, squares+fraction*fraction, n+1
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (n * squares)
}
