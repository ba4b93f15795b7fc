package load

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/crocusspring/crocusspring/internal/experiment"
	"github.com/crocusspring/crocusspring/internal/plots"
	"github.com/crocusspring/crocusspring/internal/settings"
	"github.com/peterbourgon/ff/v4"
)

// reportCommand draws pictures from CSV files.
func (t *tool) reportCommand() *ff.Command {
	var format, out string
	set := settings.New("report")
	set.Choice(&format, "format", "png", []string{"png", "svg"}, "format of the pictures")
	set.String(&out, "out", ".", true, "directory to write to")
	return command("report", "[flags] FILE.csv...", "draw what runs and comparisons measured", set,
		func(_ context.Context, files []string) error {
			if len(files) == 0 {
				return &usageError{"report: name at least one CSV file"}
			}
			for _, f := range files {
				if err := t.report(f, out, format); err != nil {
					return fmt.Errorf("%s: %w", f, err)
				}
			}
			return nil
		})
}

// report draws the pictures of one file and prints its summary.
func (t *tool) report(file, dir, format string) error {
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	defer f.Close()
	s, err := experiment.ReadCSV(f)
	if err != nil {
		return err
	}
	base := strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
	path := func(name string) string { return filepath.Join(dir, base+"-"+name+"."+format) }
	s.Summary(t.stdout)
	metrics := s.Metrics()
	quantiles := slices.DeleteFunc(slices.Clone(tailPoints), func(q float64) bool { return !slices.Contains(metrics, tailMetric(q)) })
	if len(quantiles) > 1 {
		if err := plots.Tail(s, quantiles, tailMetric, path("tail")); err != nil {
			return err
		}
		fmt.Fprintln(t.stdout, path("tail"))
	}
	for _, m := range metrics {
		// Bars compare; a single variant has nothing to be compared with.
		if len(s.Variants()) < 2 || !drawn(m) {
			continue
		}
		if err := plots.Bars(s, m, path(plots.FileName(m))); err != nil {
			return err
		}
		fmt.Fprintln(t.stdout, path(plots.FileName(m)))
	}
	return nil
}

// drawn reports whether a metric gets bars of its own.
func drawn(metric string) bool {
	for _, word := range []string{tailMetric(99), "batch throughput", metricEvictions, "Jain"} {
		if strings.HasPrefix(metric, word) || strings.Contains(metric, ": "+word) {
			return true
		}
	}
	return false
}
