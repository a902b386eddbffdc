package agent

import "trefoilpath.org/trefoilpath/internal/wire"

// reclaim ends the orphaned attempts and group reservations of entries whose
// stream has not come back within EntryGrace, and of earlier incarnations of
// entries.
func (c *Core) reclaim() {
	if c.cfg.disabled(mechanismOrphans) {
		return
	}
	for _, id := range c.orphanedEntries {
		c.reclaimFrom(c.ensureEntry(id))
	}
}

func (c *Core) reclaimFrom(e *entryRow) {
	c.reservations.Each(func(_ wire.AttemptID, r *reservation) bool {
		if r.kind == reservationGroup && isOrphaned(e, r.id) {
			c.endGroupReservation(r, 0)
		}
		return true
	})
	c.attempts.Each(func(_ wire.AttemptID, a *attempt) bool {
		if isOrphaned(e, a.id) {
			c.reclaimAttempt(a)
		}
		return true
	})
	if !e.confirmed {
		e.starvedModels = nil
		e.storeDown = false
	}
}

// isOrphaned reports whether the entry that owns an attempt is lost, or its
// incarnation has ended.
func isOrphaned(e *entryRow, id wire.AttemptID) bool {
	return id.Entry == e.id && (!e.confirmed || id.Incarnation < e.incarnation)
}

func (c *Core) reclaimAttempt(a *attempt) {
	switch a.state {
	case attemptBody, attemptQueued:
		c.logAttempt(EventReclaimed, a, "entry-lost", 0)
		c.remove(a)
	case attemptRunning:
		a.suppressOutcome = true
		if mayInterrupt(a) {
			c.logAttempt(EventReclaimed, a, "entry-lost", a.reserveTokens)
			c.abandon(a)
		}
	}
}
