// Package pause waits for a time or the end of a context.
package pause

import (
	"context"
	"time"
)

// For waits for d and reports whether ctx was still alive at the end.
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
