package load

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/internal/settings"
	"github.com/crocusspring/crocusspring/internal/slope"
	"github.com/peterbourgon/ff/v4"
)

// slopes are the settings of the subcommand.
type slopes struct {
	tool   *tool
	axes   []string
	window time.Duration
	from   string
	csv    string
	page   string
}

// slopesCommand measures how costs grow.
func (t *tool) slopesCommand() *ff.Command {
	s := &slopes{tool: t}
	set := settings.New("slopes")
	set.List(&s.axes, "axes", "", "axes to measure, comma-separated; all when empty")
	set.Duration(&s.window, "window", 4*time.Second, time.Second, time.Minute, "how long each size is measured")
	set.String(&s.from, "from", "", false, "CSV file of earlier readings to use in place of measuring; with --axes these are measured anew")
	set.String(&s.csv, "csv", "", false, "CSV file to write the readings to")
	set.String(&s.page, "page", "", false, "page whose tables are written anew, such as docs/CAPACITY.md")
	return command("slopes", "[flags]", "measure how the cost of control grows with size", set, s.run)
}

// run measures or reads, then writes.
func (s *slopes) run(ctx context.Context, _ []string) error {
	all, err := s.readings(ctx)
	if err != nil {
		return err
	}
	if s.csv != "" {
		if err := s.writeCSV(all); err != nil {
			return err
		}
	}
	if s.page != "" {
		return s.writePage(all)
	}
	fmt.Fprint(s.tool.stdout, slope.Tables(all, slope.TwoYears()))
	return nil
}

// readings returns earlier readings or new ones.
func (s *slopes) readings(ctx context.Context) ([]slope.Series, error) {
	var kept []slope.Series
	if s.from != "" {
		f, err := os.Open(s.from)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		if kept, err = slope.ReadCSV(f); err != nil || len(s.axes) == 0 {
			return kept, err
		}
	}
	chosen := slices.DeleteFunc(slope.Axes(), func(a slope.Axis) bool {
		return len(s.axes) > 0 && !slices.Contains(s.axes, a.ID)
	})
	fresh, err := slope.Measure(ctx, chosen, s.window, s.tool.stderr)
	return slope.Merge(kept, fresh), err
}

// writeCSV writes the readings to a file.
func (s *slopes) writeCSV(all []slope.Series) error {
	f, err := os.Create(s.csv)
	if err != nil {
		return err
	}
	if err := slope.WriteCSV(f, all); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

// writePage writes the tables of a page anew.
func (s *slopes) writePage(all []slope.Series) error {
	old, err := os.ReadFile(s.page)
	if err != nil {
		return err
	}
	page, err := slope.UpdatePage(old, all, slope.TwoYears())
	if err != nil {
		return fmt.Errorf("%s: %w", s.page, err)
	}
	return os.WriteFile(s.page, page, 0o644)
}
