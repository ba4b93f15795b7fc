package ctl

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/crocusspring/crocusspring/internal/config"
	"github.com/crocusspring/crocusspring/internal/node"
	"github.com/crocusspring/crocusspring/internal/settings"
	"github.com/peterbourgon/ff/v4"
)

// watchRetryDelay is the delay before watch retries a node that could not be reached.
const watchRetryDelay = time.Second

// watchCommand returns the command that shows changes as they take effect.
func (t *tool) watchCommand() *ff.Command {
	var after, count int64
	flags := settings.New("watch")
	flags.Int(&after, "after", -1, -1, 1<<60, "offset after which changes are shown; -1 for the current offset")
	flags.Int(&count, "count", 0, 0, 1<<30, "exit after this many changes; 0 for never")
	return t.subcommand("watch", "watch [--after OFFSET] [--count N]", "show changes as they come into force", flags,
		func(ctx context.Context, _ []string) error { return t.watch(ctx, after, count) })
}

// watch prints changes until count of them were shown; 0 for no limit.
func (t *tool) watch(ctx context.Context, after, count int64) error {
	if after < 0 {
		now, err := t.currentOffset(ctx)
		if err != nil {
			return err
		}
		after = now
	}
	for shown := int64(0); count == 0 || shown < count; {
		var w node.Watch
		if err := t.call(ctx, http.MethodGet, fmt.Sprintf("/v1/watch?after=%d", after), nil, &w); err != nil {
			if _, permanent := err.(*exitError); permanent {
				return err
			}
			fmt.Fprintln(t.stderr, err)
			time.Sleep(watchRetryDelay)
			continue
		}
		// A node that lags behind the one polled before returns nothing new until it has caught up.
		after = max(after, int64(w.Offset))
		for _, v := range w.Changed {
			if err := t.printChange(v); err != nil {
				return err
			}
			shown++
		}
	}
	return nil
}

// currentOffset returns the configuration offset in effect at the node.
func (t *tool) currentOffset(ctx context.Context) (int64, error) {
	ctx, cancel := t.withTimeout(ctx)
	defer cancel()
	var w node.Watch
	err := t.call(ctx, http.MethodGet, "/v1/watch?after=-1", nil, &w)
	return int64(w.Offset), err
}

// printChange prints one configuration change.
func (t *tool) printChange(v config.Version) error {
	effect := "in force"
	if v.Deleted {
		effect = "deleted"
	}
	return t.line(v, "offset %d: %s version %d by %s is %s", v.Offset, v.Key, v.Number, v.By, effect)
}
