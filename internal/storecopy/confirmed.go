package storecopy

import (
	"context"
	"time"

	"trefoilpath.org/trefoilpath/internal/sleep"
)

const (
	// maxUnconfirmed is how long a process that does not watch relies on the others to tell it
	// of changes, after the latest listing that it knows of, if listings are not rarer (see pageTime).
	// Changes must take effect within three seconds in a fleet in which not all watch.
	maxUnconfirmed = 1600 * time.Millisecond
	// confirmationCheck is how often such a process checks that.
	confirmationCheck = 200 * time.Millisecond
)

// waitForListing waits until a listing is due, which is at a time given if this process watches
// the store, or for a signal on listNow.
func (s *Syncer) waitForListing(ctx context.Context, due time.Duration) {
	unconfirmed := jitter(max(s.spared(maxUnconfirmed), 2*s.pageTime()))
	for {
		wait := confirmationCheck
		if now := s.cfg.Now(); s.watches() {
			wait = due - now
		} else if now-s.confirmedAt() > unconfirmed {
			wait = 0
		}
		if wait <= 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-s.listNow:
			sleep.For(ctx, retryMin/2)
			return
		case <-time.After(wait):
		}
	}
}

// confirmedAt returns when the copy is known to have had all changes in the store.
func (s *Syncer) confirmedAt() time.Duration {
	at := time.Duration(s.listedAt.Load())
	if s.cfg.Confirmed != nil {
		at = max(at, s.cfg.Confirmed())
	}
	return at
}
