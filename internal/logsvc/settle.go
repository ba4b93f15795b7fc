package logsvc

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/crocusspring/crocusspring/internal/pause"
)

// ErrUnsettled says that a record was not found in time. It may still take effect later.
var ErrUnsettled = errors.New("record was not found in the log")

const (
	settleLimit = 500
	settleWait  = 500 * time.Millisecond
)

// Settle reads a stream forward for records by id and returns the offset of the first record with each
// id. Read from the tail as it was known before the append was made. That an id isn't found proves
// nothing, since a delayed append may still take effect: Settle waits for it until ctx ends and then
// returns ErrUnsettled with what it found. To make sure, append the same records again: only the
// first with an id counts.
func Settle(ctx context.Context, r Reader, stream string, from Offset, ids ...string) (map[string]Offset, error) {
	found := map[string]Offset{}
	open := map[string]bool{}
	for _, id := range ids {
		open[id] = true
	}
	for len(open) > 0 {
		b, err := r.Read(ctx, stream, from, settleLimit, settleWait)
		var gone *ExpiredError
		switch {
		case errors.As(err, &gone):
			return found, fmt.Errorf("%w: %w", ErrUnsettled, err)
		case ctx.Err() != nil:
			return found, fmt.Errorf("%w: %w", ErrUnsettled, ctx.Err())
		case err != nil:
			pause.For(ctx, firstPause)
			continue
		}
		for _, e := range b.Entries {
			if id := entryID(e); open[id] {
				found[id] = e.Offset
				delete(open, id)
			}
		}
		from = b.Next
	}
	return found, nil
}

// entryID returns the id in an entry's envelope; empty when it can't be read.
func entryID(e Entry) string {
	var env struct {
		ID string `json:"id"`
	}
	if json.Unmarshal(e.Data, &env) != nil {
		return ""
	}
	return env.ID
}
