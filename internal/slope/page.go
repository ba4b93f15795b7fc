package slope

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"runtime"
	"strings"
)

// Markers around the part of a page that is written from measurements.
const (
	pageBegin = "<!-- slopes: begin -->"
	pageEnd   = "<!-- slopes: end -->"
)

// errNoMarkers says that a page has no place for the tables.
var errNoMarkers = errors.New("page has no lines " + pageBegin + " and " + pageEnd)

// UpdatePage replaces what stands between the markers of a page.
func UpdatePage(page []byte, all []Series, s Size) ([]byte, error) {
	head, rest, ok := bytes.Cut(page, []byte(pageBegin+"\n"))
	_, tail, found := bytes.Cut(rest, []byte(pageEnd+"\n"))
	if !ok || !found {
		return nil, errNoMarkers
	}
	var b bytes.Buffer
	b.Write(head)
	fmt.Fprintln(&b, pageBegin)
	b.WriteString(Tables(all, s))
	fmt.Fprintln(&b, pageEnd)
	b.Write(tail)
	return b.Bytes(), nil
}

// Tables returns the tables of a page: what breaks first, projections, failure days, and the readings.
func Tables(all []Series, s Size) string {
	var b strings.Builder
	series := map[string]Series{}
	for _, x := range all {
		series[x.Axis.ID] = x
	}
	writeFirst(&b, series, s)
	writeProjection(&b, series, s)
	writeDays(&b, series, s)
	writeReadings(&b, all)
	return b.String()
}

// writeProjection writes one table a quantity.
func writeProjection(b *strings.Builder, series map[string]Series, s Size) {
	fmt.Fprintf(b, "\n## What each role spends at the two-year size\n\n")
	fmt.Fprintf(b, "%g cells of %g workers, %.0f running batch tasks and %.2f starts a second a cell, %g nodes, %g members, %g peers a node.\n",
		s.Cells(), s.WorkersPerCell, s.TasksPerCell(), s.StartsPerCell(), s.Nodes(), s.Members(), s.Peers)
	fmt.Fprintf(b, "\"Holds to\" is the size at which the part alone fills the limit.\n")
	for _, q := range Quantities(s) {
		parts, sum := q.Project(series)
		fmt.Fprintf(b, "\n### %s: %s%s\n\n", q.Role, q.Name, verdict(q, sum))
		fmt.Fprintf(b, "| part | size | value, %s | holds to |\n|---|---|---|---|\n", q.Unit)
		for _, p := range parts {
			a := series[p.Axis].Axis
			fmt.Fprintf(b, "| %s | %s %s | %s | %s |\n", p.What, round(p.X), a.Unit, round(p.Value), holds(p, a.Unit))
		}
		fmt.Fprintf(b, "| **together** | | **%s** | |\n", round(sum))
	}
}

// verdict says how a sum stands to its limit.
func verdict(q Quantity, sum float64) string {
	switch {
	case q.Limit == 0:
		return ""
	case sum <= q.Limit:
		return fmt.Sprintf(" (holds: %.0f%% of %s %s)", 100*sum/q.Limit, round(q.Limit), q.Unit)
	}
	return fmt.Sprintf(" (**missed**: %s times %s %s)", round(sum/q.Limit), round(q.Limit), q.Unit)
}

// holds formats the size at which a part fills the limit.
func holds(p Projected, unit string) string {
	if math.IsInf(p.HoldsTo, 1) {
		return "any"
	}
	return round(p.HoldsTo) + " " + unit
}

// round formats a number with three digits and no exponent.
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
			fmt.Fprintf(b, " %s |", number(x))
		}
		fmt.Fprintf(b, " intercept | slope | R2 | worst residual |\n|---|%s---|---|---|---|\n", strings.Repeat("---|", len(s.Axis.Sizes)))
		for _, m := range s.Metrics() {
			fmt.Fprintf(b, "| %s |", m)
			for _, p := range s.Points(m) {
				fmt.Fprintf(b, " %s |", round(p.Y))
			}
			f := s.Fit(m)
			fmt.Fprintf(b, " %s | %s | %.3f | %.1f%% |\n", round(f.Intercept), round(f.Slope), f.R2, 100*f.Worst)
		}
	}
}
