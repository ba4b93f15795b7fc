package slope

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"runtime"
	"strings"
)

// Markers around the part of a page that is generated from measurements.
const (
	pageBegin = "<!-- slopes: begin -->"
	pageEnd   = "<!-- slopes: end -->"
)

// errNoMarkers is returned for a page without the markers between which the tables are written.
var errNoMarkers = errors.New("page has no lines " + pageBegin + " and " + pageEnd)

// UpdatePage returns the page with the text between its markers replaced by the tables.
func UpdatePage(page []byte, all []Series, s Size) ([]byte, error) {
	before, remainder, beginFound := bytes.Cut(page, []byte(pageBegin+"\n"))
	_, after, endFound := bytes.Cut(remainder, []byte(pageEnd+"\n"))
	if !beginFound || !endFound {
		return nil, errNoMarkers
	}
	var b bytes.Buffer
	b.Write(before)
	fmt.Fprintln(&b, pageBegin)
	b.WriteString(Tables(all, s))
	fmt.Fprintln(&b, pageEnd)
	b.Write(after)
	return b.Bytes(), nil
}

// Tables returns the tables of a page: bottlenecks, projections, failures and readings.
func Tables(all []Series, s Size) string {
	var b strings.Builder
	series := map[string]Series{}
	for _, x := range all {
		series[x.Axis.ID] = x
	}
	writeBottlenecks(&b, series, s)
	writeProjection(&b, series, s)
	writeFailures(&b, series, s)
	writeReadings(&b, all)
	return b.String()
}

// writeProjection writes one table for each quantity.
func writeProjection(b *strings.Builder, series map[string]Series, s Size) {
	fmt.Fprintf(b, "\n## What each role spends at the two-year size\n\n")
	fmt.Fprintf(b, "%g cells of %g workers, %.0f running batch tasks and %.2f starts a second a cell, %g nodes, %g members, %g peers a node.\n",
		s.Cells(), s.WorkersPerCell, s.TasksPerCell(), s.StartsPerCell(), s.Nodes(), s.Members(), s.Peers)
	fmt.Fprintf(b, "\"Holds to\" is the size at which the part alone fills the limit.\n")
	for _, q := range Quantities(s) {
		parts, sum := q.Project(series)
		fmt.Fprintf(b, "\n### %s: %s%s\n\n", q.Role, q.Name, limitStatus(q, sum))
		fmt.Fprintf(b, "| part | size | value, %s | holds to |\n|---|---|---|---|\n", q.Unit)
		for _, p := range parts {
			a := series[p.Axis].Axis
			fmt.Fprintf(b, "| %s | %s %s | %s | %s |\n", p.Name, round(p.X), a.Unit, round(p.Value), formatMaxSize(p, a.Unit))
		}
		fmt.Fprintf(b, "| **together** | | **%s** | |\n", round(sum))
	}
}

// limitStatus says whether the sum of a quantity stays within its limit; empty for a quantity without one.
func limitStatus(q Quantity, sum float64) string {
	switch {
	case q.Limit == 0:
		return ""
	case sum <= q.Limit:
		return fmt.Sprintf(" (holds: %.0f%% of %s %s)", 100*sum/q.Limit, round(q.Limit), q.Unit)
	}
	return fmt.Sprintf(" (**missed**: %s times %s %s)", round(sum/q.Limit), round(q.Limit), q.Unit)
}

// formatMaxSize formats the size at which a part alone reaches the limit.
func formatMaxSize(p Projected, unit string) string {
	if math.IsInf(p.MaxSize, 1) {
		return "any"
	}
	return round(p.MaxSize) + " " + unit
}

// round formats a number with three significant digits, without an exponent unless it is very small.
func round(x float64) string {
	switch ax := math.Abs(x); {
	case ax >= 1000:
		digits := math.Pow(10, math.Floor(math.Log10(ax))-2)
		return fmt.Sprintf("%.0f", math.Round(x/digits)*digits)
	case ax >= 100 || x == math.Trunc(x):
		return fmt.Sprintf("%.0f", x)
	case ax >= 10:
		return fmt.Sprintf("%.1f", x)
	case ax >= 1:
		return fmt.Sprintf("%.2f", x)
	}
	return fmt.Sprintf("%.3g", x)
}

// writeReadings writes the readings and fits of every axis.
func writeReadings(b *strings.Builder, all []Series) {
	fmt.Fprintf(b, "\n## Readings and fits\n\nMeasured with %s on %d processors that other work shares.\n", runtime.Version(), runtime.NumCPU())
	for _, s := range all {
		fmt.Fprintf(b, "\n### %s\n\nSizes count %s. Carried by: %s.\n\n| metric |", s.Axis.ID, s.Axis.Unit, s.Axis.Mechanism)
		for _, x := range s.Axis.Sizes {
			fmt.Fprintf(b, " %s |", formatSize(x))
		}
		fmt.Fprintf(b, " intercept | slope | R2 | worst residual |\n|---|%s---|---|---|---|\n", strings.Repeat("---|", len(s.Axis.Sizes)))
		for _, m := range s.Metrics() {
			fmt.Fprintf(b, "| %s |", m)
			for _, p := range s.Points(m) {
				fmt.Fprintf(b, " %s |", round(p.Y))
			}
			f := s.Fit(m)
			fmt.Fprintf(b, " %s | %s | %.3f | %.1f%% |\n", round(f.Intercept), round(f.Slope), f.R2, 100*f.MaxResidual)
		}
	}
}
