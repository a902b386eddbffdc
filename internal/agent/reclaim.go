package agent

import "trefoilpath.org/trefoilpath/internal/wire"

// reclaim gives up what entries have left behind: those whose stream has not
// come back in time, and earlier lives of entries that have restarted.
func (c *Core) reclaim() {
	if c.cfg.lacks(withoutOrphans) {
		return
	}
	for _, id := range c.orphaned {
		c.reclaimFrom(c.entry(id))
	}
}

func (c *Core) reclaimFrom(e *entryRow) {
	c.reservations.Each(func(_ wire.AttemptID, r *reservation) bool {
		if r.kind == reservationGroup && orphan(e, r.id) {
			c.endGroup(r, 0)
		}
		return true
	})
	c.attempts.Each(func(_ wire.AttemptID, a *attempt) bool {
		if orphan(e, a.id) {
			c.reclaimAttempt(a)
		}
		return true
	})
	if !e.confirmed {
		e.starved = nil
		e.storeDown = false
	}
}

// orphan reports whether nobody waits for an attempt any more.
func orphan(e *entryRow, id wire.AttemptID) bool {
	return id.Entry == e.id && (!e.confirmed || id.Incarnation < e.incarnation)
}

func (c *Core) reclaimAttempt(a *attempt) {
	switch a.state {
	case attemptBody, attemptQueued:
		c.logAttempt(EventReclaimed, a, "entry-lost", 0)
		c.remove(a)
	case attemptRunning:
		a.silent = true
		if mayStop(a) {
			c.logAttempt(EventReclaimed, a, "entry-lost", a.need)
			c.giveUp(a)
		}
	}
}
