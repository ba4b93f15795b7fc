package history

import (
	"math"
	"slices"
	"time"
)

// measures fills in the figures that no invariant covers.
func (c *checker) measures() {
	c.r.LatencyMS = c.tail()
	c.r.LogAppendsPeak = c.appendsPeak()
	c.r.JainIndex = c.jain()
}

// tail returns the tail latency of answered requests.
func (c *checker) tail() Tail {
	var ms []float64
	for _, q := range c.h.Requests {
		if q.Outcome == Answered {
			ms = append(ms, float64(q.End.Sub(q.Due))/float64(time.Millisecond))
		}
	}
	slices.Sort(ms)
	return Tail{P50: quantile(ms, 0.5), P99: quantile(ms, 0.99), P999: quantile(ms, 0.999)}
}

// quantile returns the smallest value that a share of the sorted values does not exceed.
func quantile(sorted []float64, share float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	at := int(math.Ceil(share*float64(len(sorted)))) - 1
	return sorted[max(0, at)]
}

// appendsPeak returns the most appends that took effect within any one second.
func (c *checker) appendsPeak() int {
	var at []time.Time
	for _, a := range c.h.Appends {
		if a.Outcome != NotRun {
			at = append(at, a.At)
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	peak, from := 0, 0
	for i, t := range at {
		for t.Sub(at[from]) >= time.Second {
			from++
		}
		peak = max(peak, i-from+1)
	}
	return peak
}

// jain returns Jain's index of the processor time that finite jobs of each workspace received, as a
// share of what the workspace requested; 0 when none received any.
func (c *checker) jain() float64 {
	requested, received := map[string]float64{}, map[string]float64{}
	workspace := map[string]string{}
	for _, j := range c.h.Jobs {
		if j.RunMS == 0 || workspace[j.ID] != "" {
			continue
		}
		workspace[j.ID] = j.Workspace
		requested[j.Workspace] += float64(j.RunMS) * float64(j.Declare.MilliCPU)
	}
	for _, a := range c.h.Attempts {
		if ws := workspace[a.Task]; ws != "" {
			received[ws] += float64(c.end(a.End).Sub(a.Start).Milliseconds()) * float64(a.Reserve.MilliCPU)
		}
	}
	sum, squares := 0.0, 0.0
	for ws, want := range requested {
		x := received[ws] / want
		sum += x
		squares += x * x
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(requested)) * squares)
}
