// Package plots draws what experiments measured as pictures.
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
	// headroom is how much larger than the largest value the axis is.
	headroom = 1.08
)

// Bars draws the median of one metric for each variant with its lowest and highest value.
func Bars(s experiment.Set, metric, path string) error {
	p := plot.New()
	p.Title.Text = metric + ": median, lowest and highest"
	p.Y.Label.Text = metric
	p.Y.Min = 0
	variants := s.Variants()
	values := make(plotter.Values, len(variants))
	points := &whiskers{}
	for i, v := range variants {
		sp := s.Spread(v, metric)
		values[i] = sp.Median
		points.XYs = append(points.XYs, plotter.XY{X: float64(i), Y: sp.Median})
		points.low = append(points.low, sp.Median-sp.Low)
		points.high = append(points.high, sp.High-sp.Median)
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

// whiskers are points with the distance to the lowest and highest value.
type whiskers struct {
	plotter.XYs
	low, high []float64
}

// YError implements plotter.YErrorer.
func (w *whiskers) YError(i int) (float64, float64) { return -w.low[i], w.high[i] }

// Tail draws the median of several quantiles of latency, one line a variant. The quantiles are in
// percent and spread out so that each further nine takes the same room.
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
			if sp := s.Spread(v, metric(q)); sp.Runs > 0 {
				xys = append(xys, plotter.XY{X: float64(x), Y: sp.Median})
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

// save writes a plot; the suffix of the path chooses the format.
func save(p *plot.Plot, path string) error {
	p.Title.Padding = vg.Points(6)
	p.Y.Max *= headroom
	if err := p.Save(width, height, path); err != nil {
		return fmt.Errorf("draw %s: %w", filepath.Base(path), err)
	}
	return nil
}

// FileName returns the name of a metric's picture without its suffix.
func FileName(metric string) string {
	word := strings.Map(func(r rune) rune {
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
	for strings.Contains(word, "--") {
		word = strings.ReplaceAll(word, "--", "-")
	}
	return strings.Trim(word, "-")
}
