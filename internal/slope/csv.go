package slope

import (
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strconv"
)

var csvHeader = []string{"axis", "size", "metric", "value"}

// WriteCSV writes every value of every reading on a line of its own.
func WriteCSV(w io.Writer, all []Series) error {
	c := csv.NewWriter(w)
	_ = c.Write(csvHeader)
	for _, s := range all {
		for _, m := range s.Metrics() {
			for _, p := range s.Points(m) {
				_ = c.Write([]string{s.Axis.ID, formatSize(p.X), string(m), strconv.FormatFloat(p.Y, 'g', 6, 64)})
			}
		}
	}
	c.Flush()
	return c.Error()
}

// ReadCSV reads what WriteCSV wrote and returns the series in the order of Axes. Lines of unknown axes and
// sizes are ignored.
func ReadCSV(r io.Reader) ([]Series, error) {
	rows, err := csv.NewReader(r).ReadAll()
	if err != nil {
		return nil, fmt.Errorf("read measurements: %w", err)
	}
	byID := map[string]map[float64]Reading{}
	for i, row := range rows[min(1, len(rows)):] {
		x, err := strconv.ParseFloat(row[1], 64)
		if err != nil {
			return nil, fmt.Errorf("line %d: size: %w", i+2, err)
		}
		y, err := strconv.ParseFloat(row[3], 64)
		if err != nil {
			return nil, fmt.Errorf("line %d: value: %w", i+2, err)
		}
		if byID[row[0]] == nil {
			byID[row[0]] = map[float64]Reading{}
		}
		if byID[row[0]][x] == nil {
			byID[row[0]][x] = Reading{}
		}
		byID[row[0]][x][Metric(row[2])] = y
	}
	var out []Series
	for _, a := range Axes() {
		s := Series{Axis: a}
		s.Axis.Sizes = nil
		for _, x := range a.Sizes {
			if r, ok := byID[a.ID][x]; ok {
				s.Axis.Sizes = append(s.Axis.Sizes, x)
				s.Readings = append(s.Readings, r)
			}
		}
		if len(s.Readings) > 0 {
			out = append(out, s)
		}
	}
	return out, nil
}

// Merge returns the old series, with those of axes that were measured again replaced by the updated ones, in the
// order of Axes.
func Merge(old, updated []Series) []Series {
	byID := map[string]Series{}
	for _, s := range append(slices.Clone(old), updated...) {
		byID[s.Axis.ID] = s
	}
	var out []Series
	for _, a := range Axes() {
		if s, ok := byID[a.ID]; ok {
			out = append(out, s)
		}
	}
	return out
}

// formatSize formats a size of an axis with as many digits as it needs.
func formatSize(x float64) string { return strconv.FormatFloat(x, 'g', -1, 64) }
