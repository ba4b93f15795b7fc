// Package slope measures how the cost of the control plane grows with the size of an installation: the real
// code of a few nodes runs among small stand-ins at several sizes of one axis, and least-squares lines
// through the readings extrapolate the cost to sizes that don't fit on one machine.
package slope

import (
	"context"
	"fmt"
	"io"
	"sort"
	"time"
)

// Reading is the measured cost at one size of an axis, by metric.
type Reading map[Metric]float64

// Metric names a measured quantity with its unit.
type Metric string

// Metrics of the axes. Bytes are counted on the wire in both directions.
const (
	PeerBytes     Metric = "exchange between nodes, B/s a node"
	PeerMessages  Metric = "exchanges, /s a node"
	AnnounceBytes Metric = "announcements received, B/s over all nodes"
	OwnerLogBytes Metric = "log traffic of the owner, B/s"
	OtherLogBytes Metric = "log traffic of another candidate, B/s"
	Appends       Metric = "appends to the log, /s"
	LogReads      Metric = "reads of the log, /s over all nodes"
	SyncBytes     Metric = "syncs with workers, B/s"
	SyncMessages  Metric = "syncs with workers, /s"
	OwnerCPU      Metric = "processor time of the owner, % of a core"
	OtherCPU      Metric = "processor time of another node, % of a core"
	HeapBytes     Metric = "heap, B"
	StepMicros    Metric = "one decision step, us"
	FoldMicros    Metric = "one record folded, us"
	ReplayBytes   Metric = "log read at a start, B"
	SnapshotBytes Metric = "newest snapshot, B"
	ResidentBytes Metric = "resident memory of the process, B"
	RepairAppends Metric = "appends in 14 s"
	RepairBytes   Metric = "log traffic and syncs of the owner in 14 s, B"
)

// Axis describes a series of measurements at increasing sizes of one quantity.
type Axis struct {
	// ID names the axis on the command line.
	ID string
	// Unit names what the sizes count.
	Unit  string
	Sizes []float64
	// Mechanism names the code that causes the cost.
	Mechanism string
	run       func(ctx context.Context, size float64, window time.Duration) (Reading, error)
}

// Series is the readings of one axis, one for each of its sizes.
type Series struct {
	Axis     Axis
	Readings []Reading
}

// Metrics returns the metrics of the series in alphabetical order.
func (s Series) Metrics() []Metric {
	seen := map[Metric]bool{}
	for _, r := range s.Readings {
		for m := range r {
			seen[m] = true
		}
	}
	out := make([]Metric, 0, len(seen))
	for m := range seen {
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// Points returns the readings of one metric by size.
func (s Series) Points(m Metric) []Point {
	var out []Point
	for i, r := range s.Readings {
		if y, ok := r[m]; ok {
			out = append(out, Point{s.Axis.Sizes[i], y})
		}
	}
	return out
}

// Fit returns the least-squares line through the readings of one metric.
func (s Series) Fit(m Metric) Fit { return fit(s.Points(m)) }

// Measure measures the axes one after the other, each size for a window, and prints each reading to w.
func Measure(ctx context.Context, axes []Axis, window time.Duration, w io.Writer) ([]Series, error) {
	var out []Series
	for _, a := range axes {
		s := Series{Axis: a}
		for _, size := range a.Sizes {
			r, err := a.run(ctx, size, window)
			if err != nil {
				return out, fmt.Errorf("axis %s at %g %s: %w", a.ID, size, a.Unit, err)
			}
			s.Readings = append(s.Readings, r)
			fmt.Fprintf(w, "%s %g:", a.ID, size)
			for _, m := range s.Metrics() {
				fmt.Fprintf(w, " %s %.4g;", m, r[m])
			}
			fmt.Fprintln(w)
		}
		out = append(out, s)
	}
	return out, nil
}

// Axes returns every axis: first those of the decision code alone, then those of running nodes.
func Axes() []Axis { return append(coreAxes(), wireAxes()...) }
