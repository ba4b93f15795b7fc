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
	// R2 is the coefficient of determination, the share of the variance that the line explains; 1 when all values
	// are zero.
	R2 float64
	// MaxResidual is the largest absolute residual as a share of the largest absolute value.
	MaxResidual float64
}

// At returns the value of the line at a size.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }

// fit returns the least-squares line through points.
func fit(points []Point) Fit {
	xs, ys := make([]float64, len(points)), make([]float64, len(points))
	largest := 0.0
	for i, p := range points {
		xs[i], ys[i] = p.X, p.Y
		largest = math.Max(largest, math.Abs(p.Y))
	}
	a, b := stat.LinearRegression(xs, ys, nil, false)
	f := Fit{Intercept: a, Slope: b, R2: stat.RSquared(xs, ys, nil, a, b)}
	if largest == 0 {
		f.R2 = 1
		return f
	}
	for _, p := range points {
		f.MaxResidual = math.Max(f.MaxResidual, math.Abs(p.Y-f.At(p.X))/largest)
	}
	return f
}
