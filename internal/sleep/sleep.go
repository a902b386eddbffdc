// Package sleep waits on the real clock until a context ends.
package sleep

import (
	"context"
	"time"
)

// For waits for d and reports whether ctx is still alive.
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
