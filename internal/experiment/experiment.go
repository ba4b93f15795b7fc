// Package experiment holds the values measured in runs of several variants, one value for each variant, seed
// and metric. It reads and writes them as CSV and summarizes them by median and range.
package experiment

import (
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strconv"
	"text/tabwriter"
)

// Value is one measured value.
type Value struct {
	Variant string
	Seed    uint64
	Metric  string
	Value   float64
}

// Set is the values of one experiment in the order in which they were measured.
type Set []Value

// Add appends a value.
func (s *Set) Add(variant string, seed uint64, metric string, value float64) {
	*s = append(*s, Value{variant, seed, metric, value})
}

// Variants returns the variants in order of appearance.
func (s Set) Variants() []string { return distinct(s, func(v Value) string { return v.Variant }) }

// Metrics returns the metrics in order of appearance.
func (s Set) Metrics() []string { return distinct(s, func(v Value) string { return v.Metric }) }

// distinct returns the distinct keys of the values in order of appearance.
func distinct(s Set, key func(Value) string) []string {
	var out []string
	for _, v := range s {
		if k := key(v); !slices.Contains(out, k) {
			out = append(out, k)
		}
	}
	return out
}

// Spread summarizes the values of one variant and metric over the seeds.
type Spread struct {
	Low, Median, High float64
	Runs              int
}

// String formats the median, followed by the lowest and highest value.
func (s Spread) String() string { return fmt.Sprintf("%.4g (%.4g to %.4g)", s.Median, s.Low, s.High) }

// Spread summarizes the values of a variant and metric.
func (s Set) Spread(variant, metric string) Spread {
	var values []float64
	for _, v := range s {
		if v.Variant == variant && v.Metric == metric {
			values = append(values, v.Value)
		}
	}
	if len(values) == 0 {
		return Spread{}
	}
	slices.Sort(values)
	n := len(values)
	return Spread{Low: values[0], Median: (values[(n-1)/2] + values[n/2]) / 2, High: values[n-1], Runs: n}
}

// Summary writes a table of the medians with their range, one line for each metric and one column for each
// variant.
func (s Set) Summary(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(t, "median (lowest to highest)")
	variants := s.Variants()
	for _, v := range variants {
		fmt.Fprint(t, "\t", v)
	}
	fmt.Fprintln(t)
	for _, m := range s.Metrics() {
		fmt.Fprint(t, m)
		for _, v := range variants {
			fmt.Fprint(t, "\t", s.Spread(v, m))
		}
		fmt.Fprintln(t)
	}
	_ = t.Flush()
}

var header = []string{"variant", "seed", "metric", "value"}

// WriteCSV writes one value per line.
func (s Set) WriteCSV(w io.Writer) error {
	c := csv.NewWriter(w)
	_ = c.Write(header)
	for _, v := range s {
		_ = c.Write([]string{v.Variant, strconv.FormatUint(v.Seed, 10), v.Metric, strconv.FormatFloat(v.Value, 'g', 6, 64)})
	}
	c.Flush()
	return c.Error()
}

// ReadCSV reads what WriteCSV wrote; the header may be missing.
func ReadCSV(r io.Reader) (Set, error) {
	c := csv.NewReader(r)
	c.FieldsPerRecord = len(header)
	rows, err := c.ReadAll()
	if err != nil {
		return nil, fmt.Errorf("read values: %w", err)
	}
	var out Set
	for i, row := range rows {
		if i == 0 && slices.Equal(row, header) {
			continue
		}
		seed, err := strconv.ParseUint(row[1], 10, 64)
		if err != nil {
			return nil, fmt.Errorf("line %d: seed: %w", i+1, err)
		}
		value, err := strconv.ParseFloat(row[3], 64)
		if err != nil {
			return nil, fmt.Errorf("line %d: value: %w", i+1, err)
		}
		out.Add(row[0], seed, row[2], value)
	}
	return out, nil
}
