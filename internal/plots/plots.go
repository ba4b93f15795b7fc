// Package plots draws the measured values of experiments as charts.
package plots

import (
	"fmt"
	"image/color"
	"path/filepath"
	"strings"

	"github.com/crocusspring/crocusspring/internal/experiment"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	width    = 18 * vg.Centimeter
	height   = 10 * vg.Centimeter
	barWidth = 1.2 * vg.Centimeter
	// axisMargin is the length of the value axis as a multiple of the largest value.
	axisMargin = 1.08
)

// Bars draws a bar chart of the median of one metric for each variant, with error bars from the lowest to the
// highest value.
func Bars(s experiment.Set, metric, path string) error {
	p := plot.New()
	p.Title.Text = metric + ": median, lowest and highest"
	p.Y.Label.Text = metric
	p.Y.Min = 0
	variants := s.Variants()
	values := make(plotter.Values, len(variants))
	points := &whiskers{}
	for i, v := range variants {
		spread := s.Spread(v, metric)
		values[i] = spread.Median
		points.XYs = append(points.XYs, plotter.XY{X: float64(i), Y: spread.Median})
		points.low = append(points.low, spread.Median-spread.Low)
		points.high = append(points.high, spread.High-spread.Median)
	}
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return fmt.Errorf("bars of %s: %w", metric, err)
	}
	bars.Color = plotutil.Color(2)
	bars.LineStyle.Width = 0
	errs, err := plotter.NewYErrorBars(points)
	if err != nil {
		return fmt.Errorf("spread of %s: %w", metric, err)
	}
	errs.LineStyle.Color = color.Black
	errs.LineStyle.Width = vg.Points(1.2)
	p.Add(plotter.NewGrid(), bars, errs)
	p.NominalX(variants...)
	p.X.Min, p.X.Max = -0.5, float64(len(variants))-0.5
	return save(p, path)
}

// whiskers are the medians with their distances to the lowest and highest value.
type whiskers struct {
	plotter.XYs
	low, high []float64
}

// YError implements plotter.YErrorer.
func (w *whiskers) YError(i int) (float64, float64) { return -w.low[i], w.high[i] }

// Tail draws the medians of several latency quantiles, one line for each variant. The quantiles are in percent
// and evenly spaced, so that each additional nine takes the same width.
func Tail(s experiment.Set, quantiles []float64, metric func(float64) string, path string) error {
	p := plot.New()
	p.Title.Text = "Tail latency: median over the runs"
	p.X.Label.Text = "quantile, %"
	p.Y.Label.Text = "latency, ms"
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.Left = true
	var names []string
	for _, q := range quantiles {
		names = append(names, fmt.Sprintf("%g", q))
	}
	for i, v := range s.Variants() {
		var xys plotter.XYs
		for x, q := range quantiles {
			if spread := s.Spread(v, metric(q)); spread.Runs > 0 {
				xys = append(xys, plotter.XY{X: float64(x), Y: spread.Median})
			}
		}
		line, dots, err := plotter.NewLinePoints(xys)
		if err != nil {
			return fmt.Errorf("tail of %s: %w", v, err)
		}
		line.Color, dots.Color = plotutil.Color(i), plotutil.Color(i)
		line.Width = vg.Points(1.5)
		dots.Shape = plotutil.Shape(i)
		p.Add(line, dots)
		p.Legend.Add(v, line, dots)
	}
	p.Add(plotter.NewGrid())
	p.NominalX(names...)
	return save(p, path)
}

// save writes a plot to a file, in the format of the suffix of its path.
func save(p *plot.Plot, path string) error {
	p.Title.Padding = vg.Points(6)
	p.Y.Max *= axisMargin
	if err := p.Save(width, height, path); err != nil {
		return fmt.Errorf("draw %s: %w", filepath.Base(path), err)
	}
	return nil
}

// FileName returns the file name for the chart of a metric, without a suffix.
func FileName(metric string) string {
	name := strings.Map(func(r rune) rune {
		switch {
		case r >= 'a' && r <= 'z', r >= '0' && r <= '9', r == '.':
			return r
		case r >= 'A' && r <= 'Z':
			return r + 'a' - 'A'
		case r == '\'':
			return -1
		}
		return '-'
	}, metric)
	for strings.Contains(name, "--") {
		name = strings.ReplaceAll(name, "--", "-")
	}
	return strings.Trim(name, "-")
}
