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

// reportCommand returns the subcommand that plots measurements from CSV files.
func (t *tool) reportCommand() *ff.Command {
	var format, out string
	set := settings.New("report")
	set.Choice(&format, "format", "png", []string{"png", "svg"}, "image format of the plots")
	set.String(&out, "out", ".", true, "directory to write to")
	return command("report", "[flags] FILE.csv...", "plot the measurements of runs and comparisons", set,
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

// report plots one CSV file into dir and prints its summary.
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
	quantiles := slices.DeleteFunc(slices.Clone(tailPercentiles), func(q float64) bool { return !slices.Contains(metrics, tailMetric(q)) })
	if len(quantiles) > 1 {
		if err := plots.Tail(s, quantiles, tailMetric, path("tail")); err != nil {
			return err
		}
		fmt.Fprintln(t.stdout, path("tail"))
	}
	for _, m := range metrics {
		// Bar charts compare variants, so a single variant gets none.
		if len(s.Variants()) < 2 || !hasBarChart(m) {
			continue
		}
		if err := plots.Bars(s, m, path(plots.FileName(m))); err != nil {
			return err
		}
		fmt.Fprintln(t.stdout, path(plots.FileName(m)))
	}
	return nil
}

// hasBarChart reports whether a metric gets its own bar chart.
func hasBarChart(metric string) bool {
	for _, prefix := range []string{tailMetric(99), "batch throughput", metricEvictions, "Jain"} {
		if strings.HasPrefix(metric, prefix) || strings.Contains(metric, ": "+prefix) {
			return true
		}
	}
	return false
}
