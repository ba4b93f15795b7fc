package slope

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
)

// strain is how far a part is from its limit.
type strain struct {
	q    Quantity
	p    Projected
	unit string
	by   string
	// factor is the two-year size over the size at which the part alone fills the limit.
	factor float64
}

// strains returns the parts that have a limit, the most strained first. Shared parts stand once.
func strains(series map[string]Series, s Size) []strain {
	var out []strain
	seen := map[string]bool{}
	for _, q := range Quantities(s) {
		parts, _ := q.Project(series)
		for _, p := range parts {
			if q.Limit == 0 || seen[q.Name+p.What] {
				continue
			}
			seen[q.Name+p.What] = true
			a := series[p.Axis].Axis
			x := strain{q: q, p: p, unit: a.Unit, by: a.Mechanism, factor: math.Inf(1)}
			if p.HoldsTo > 0 {
				x.factor = p.X / p.HoldsTo
			}
			out = append(out, x)
		}
	}
	slices.SortStableFunc(out, func(a, b strain) int { return cmp.Compare(b.factor, a.factor) })
	return out
}

// writeFirst writes what breaks first.
func writeFirst(b *strings.Builder, series map[string]Series, s Size) {
	fmt.Fprintf(b, "\n## What breaks first\n\n")
	fmt.Fprintf(b, "Each part against the whole limit of its quantity, the most strained first. Above 1 the target is missed by that part alone.\n\n")
	fmt.Fprintf(b, "| size over what holds | quantity | part | two-year size | holds to | carried by |\n|---|---|---|---|---|---|\n")
	for _, x := range strains(series, s) {
		factor := "does not hold at any size"
		if !math.IsInf(x.factor, 1) {
			factor = round(x.factor)
		}
		fmt.Fprintf(b, "| %s | %s, %s %s | %s | %s %s | %s | %s |\n", factor, x.q.Name, round(x.q.Limit), x.q.Unit,
			x.p.What, round(x.p.X), x.unit, holds(x.p, x.unit), x.by)
	}
}
