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
// id. Pass the tail known before the append was made as from. A missing id proves nothing, since a
// delayed append may still take effect: Settle waits for it until ctx ends and then returns ErrUnsettled
// with the offsets it found. To make sure, append the same records again: only the first with an id
// counts.
func Settle(ctx context.Context, r Reader, stream string, from Offset, ids ...string) (map[string]Offset, error) {
	found := map[string]Offset{}
	missing := map[string]bool{}
	for _, id := range ids {
		missing[id] = true
	}
	for len(missing) > 0 {
		b, err := r.Read(ctx, stream, from, settleLimit, settleWait)
		var expired *ExpiredError
		switch {
		case errors.As(err, &expired):
			return found, fmt.Errorf("%w: %w", ErrUnsettled, err)
		case ctx.Err() != nil:
			return found, fmt.Errorf("%w: %w", ErrUnsettled, ctx.Err())
		case err != nil:
			pause.For(ctx, initialBackoff)
			continue
		}
		for _, e := range b.Entries {
			if id := entryID(e); missing[id] {
				found[id] = e.Offset
				delete(missing, id)
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
