package slope

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is one measured value at one size.
type Point struct{ X, Y float64 }

// Fit is a least-squares line through points.
type Fit struct {
	Intercept float64
	Slope     float64
	// R2 is the share of the spread the line explains; 1 when the points do not vary.
	R2 float64
	// Worst is the largest residual as a share of the largest value.
	Worst float64
}

// At returns the line's value at a size.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }

// fit returns the least-squares line through points.
func fit(points []Point) Fit {
	xs, ys := make([]float64, len(points)), make([]float64, len(points))
	top := 0.0
	for i, p := range points {
		xs[i], ys[i] = p.X, p.Y
		top = math.Max(top, math.Abs(p.Y))
	}
	a, b := stat.LinearRegression(xs, ys, nil, false)
	f := Fit{Intercept: a, Slope: b, R2: stat.RSquared(xs, ys, nil, a, b)}
	if top == 0 {
		f.R2 = 1
		return f
	}
	for _, p := range points {
		f.Worst = math.Max(f.Worst, math.Abs(p.Y-f.At(p.X))/top)
	}
	return f
}
