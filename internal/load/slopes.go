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

// slopesFlags holds the flags of the slopes subcommand.
type slopesFlags struct {
	tool   *tool
	axes   []string
	window time.Duration
	from   string
	csv    string
	page   string
}

// slopesCommand returns the subcommand that measures how the cost of control grows with size.
func (t *tool) slopesCommand() *ff.Command {
	s := &slopesFlags{tool: t}
	set := settings.New("slopes")
	set.List(&s.axes, "axes", "", "axes to measure, comma-separated; all when empty")
	set.Duration(&s.window, "window", 4*time.Second, time.Second, time.Minute, "how long each size is measured")
	set.String(&s.from, "from", "", false, "CSV file of earlier readings to use instead of measuring; axes named by --axes are measured again")
	set.String(&s.csv, "csv", "", false, "CSV file to write the readings to")
	set.String(&s.page, "page", "", false, "page whose tables are replaced, such as docs/CAPACITY.md")
	return command("slopes", "[flags]", "measure how the cost of control grows with size", set, s.run)
}

// run collects the readings and writes them to the CSV file and the page; without a page it prints the tables.
func (s *slopesFlags) run(ctx context.Context, _ []string) error {
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

// readings returns the readings of --from, with the axes named by --axes measured again. Without --from it
// measures the named axes, or all axes when none is named.
func (s *slopesFlags) readings(ctx context.Context) ([]slope.Series, error) {
	var earlier []slope.Series
	if s.from != "" {
		f, err := os.Open(s.from)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		if earlier, err = slope.ReadCSV(f); err != nil || len(s.axes) == 0 {
			return earlier, err
		}
	}
	selected := slices.DeleteFunc(slope.Axes(), func(a slope.Axis) bool {
		return len(s.axes) > 0 && !slices.Contains(s.axes, a.ID)
	})
	measured, err := slope.Measure(ctx, selected, s.window, s.tool.stderr)
	return slope.Merge(earlier, measured), err
}

// writeCSV writes the readings to the CSV file.
func (s *slopesFlags) writeCSV(all []slope.Series) error {
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

// writePage replaces the tables of the page.
func (s *slopesFlags) writePage(all []slope.Series) error {
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
