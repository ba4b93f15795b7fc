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

// watchPause is how long watch waits before it calls a node again that could not be reached.
const watchPause = time.Second

// watchCommand follows changes.
func (t *tool) watchCommand() *ff.Command {
	var after, count int64
	flags := settings.New("watch")
	flags.Int(&after, "after", -1, -1, 1<<60, "offset after which changes are shown; -1 for those from now on")
	flags.Int(&count, "count", 0, 0, 1<<30, "end after so many changes; 0 for never")
	return t.subcommand("watch", "watch [--after OFFSET] [--count N]", "show changes as they come into force", flags,
		func(ctx context.Context, _ []string) error { return t.watch(ctx, after, count) })
}

// watch prints changes until enough were shown.
func (t *tool) watch(ctx context.Context, after, count int64) error {
	if after < 0 {
		now, err := t.offsetNow(ctx)
		if err != nil {
			return err
		}
		after = now
	}
	for shown := int64(0); count == 0 || shown < count; {
		var w node.Watch
		if err := t.call(ctx, http.MethodGet, fmt.Sprintf("/v1/watch?after=%d", after), nil, &w); err != nil {
			if _, told := err.(*exitError); told {
				return err
			}
			fmt.Fprintln(t.stderr, err)
			time.Sleep(watchPause)
			continue
		}
		// A node that lags behind the one asked before shows nothing new until it has caught up.
		after = max(after, int64(w.Offset))
		for _, v := range w.Changed {
			if err := t.change(v); err != nil {
				return err
			}
			shown++
		}
	}
	return nil
}

// offsetNow returns the offset in force at the node.
func (t *tool) offsetNow(ctx context.Context) (int64, error) {
	ctx, cancel := t.bounded(ctx)
	defer cancel()
	var w node.Watch
	err := t.call(ctx, http.MethodGet, "/v1/watch?after=-1", nil, &w)
	return int64(w.Offset), err
}

// change prints one change.
func (t *tool) change(v config.Version) error {
	what := "in force"
	if v.Deleted {
		what = "deleted"
	}
	return t.line(v, "offset %d: %s version %d by %s is %s", v.Offset, v.Key, v.Number, v.By, what)
}
