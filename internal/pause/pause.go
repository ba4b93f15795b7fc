// Package pause waits for a duration or the end of a context.
package pause

import (
	"context"
	"time"
)

// For waits for d and returns true, or returns false as soon as ctx ends.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
