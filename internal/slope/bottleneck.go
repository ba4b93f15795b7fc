package slope

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
)

// bottleneck is a part of a quantity in relation to the limit of the quantity.
type bottleneck struct {
	quantity Quantity
	part     Projected
	unit     string
	// mechanism names the code that causes the cost.
	mechanism string
	// factor is the two-year size divided by the size at which the part alone reaches the limit; infinite when
	// the part exceeds it at any size.
	factor float64
}

// bottlenecks returns the parts of quantities that have a limit, the one with the largest factor first. A part
// that several roles share is listed once.
func bottlenecks(series map[string]Series, s Size) []bottleneck {
	var out []bottleneck
	seen := map[string]bool{}
	for _, q := range Quantities(s) {
		parts, _ := q.Project(series)
		for _, p := range parts {
			if q.Limit == 0 || seen[q.Name+p.Name] {
				continue
			}
			seen[q.Name+p.Name] = true
			a := series[p.Axis].Axis
			x := bottleneck{quantity: q, part: p, unit: a.Unit, mechanism: a.Mechanism, factor: math.Inf(1)}
			if p.MaxSize > 0 {
				x.factor = p.X / p.MaxSize
			}
			out = append(out, x)
		}
	}
	slices.SortStableFunc(out, func(a, b bottleneck) int { return cmp.Compare(b.factor, a.factor) })
	return out
}

// writeBottlenecks writes the table of bottlenecks.
func writeBottlenecks(b *strings.Builder, series map[string]Series, s Size) {
	fmt.Fprintf(b, "\n## What breaks first\n\n")
	fmt.Fprintf(b, "Each part against the whole limit of its quantity, the most strained first. Above 1 the target is missed by that part alone.\n\n")
	fmt.Fprintf(b, "| size over what holds | quantity | part | two-year size | holds to | carried by |\n|---|---|---|---|---|---|\n")
	for _, x := range bottlenecks(series, s) {
		factor := "does not hold at any size"
		if !math.IsInf(x.factor, 1) {
			factor = round(x.factor)
		}
		fmt.Fprintf(b, "| %s | %s, %s %s | %s | %s %s | %s | %s |\n", factor, x.quantity.Name, round(x.quantity.Limit), x.quantity.Unit,
			x.part.Name, round(x.part.X), x.unit, formatMaxSize(x.part, x.unit), x.mechanism)
	}
}
