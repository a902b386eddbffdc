// Package sleep waits on the real clock and stops early when a context ends.
package sleep

import (
	"context"
	"time"
)

// For waits for d or until ctx ends. It reports whether d has passed.
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
