package load

import (
	"context"
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/internal/settings"
	"github.com/crocusspring/crocusspring/internal/slope"
	"github.com/peterbourgon/ff/v4"
)

// slopesCommand measures how costs grow.
func (t *tool) slopesCommand() *ff.Command {
	var axes []string
	var window time.Duration
	set := settings.New("slopes")
	set.List(&axes, "axes", "", "axes to measure, comma-separated; all when empty")
	set.Duration(&window, "window", 4*time.Second, time.Second, time.Minute, "how long each size is measured")
	return command("slopes", "[flags]", "measure how the cost of control grows with size", set,
		func(ctx context.Context, _ []string) error {
			chosen := slices.DeleteFunc(slope.Axes(), func(a slope.Axis) bool {
				return len(axes) > 0 && !slices.Contains(axes, a.ID)
			})
			_, err := slope.Measure(ctx, chosen, window, t.stderr)
			return err
		})
}
