package agent

import (
	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// expire handles every timer that is due.
func (c *Core) expire() {
	for {
		key, ok := c.timers.Pop(c.now)
		if !ok {
			return
		}
		c.fire(key)
	}
}

func (c *Core) fire(key timerKey) {
	switch key.kind {
	case timerAttempt:
		c.expireAttempt(c.attempts.Get(key.attempt))
	case timerReservation:
		c.expireReservation(c.reservations.Get(key.attempt))
	case timerTombstones:
		c.expireTombstones()
	case timerOrphans:
		c.orphanedEntries = append(c.orphanedEntries, key.entry)
	case timerReport:
		c.reportDue(c.entries.Get(key.entry))
	case timerQuery:
		c.query()
	case timerOrder, timerLeaving, timerHold, timerYield:
		// These timers only make Tick run: its later steps compare the time.
	}
}

// expireAttempt ends an attempt that has reached its start-by time, its
// deadline or the stall limit.
func (c *Core) expireAttempt(a *attempt) {
	if a == nil {
		return
	}
	if due := c.nextDue(a); due > c.now {
		c.setTimer(a.timer(), due)
		return
	}
	switch {
	case a.state == attemptBody || a.state == attemptQueued:
		c.refuseWaiting(a, refusal{reason: wire.RefuseLate})
	case a.adopted:
		c.logAttempt(EventReclaimed, a, "unclaimed", a.reserveTokens)
		c.abandon(a)
	default:
		c.expireRunning(a)
	}
}

func (c *Core) expireRunning(a *attempt) {
	reason := wire.FailStalled
	if a.deadline <= c.now {
		reason = wire.FailDeadline
	}
	if !a.suppressOutcome {
		c.reportFailed(a, reason, false)
	}
	c.abandon(a)
}

func (c *Core) expireReservation(r *reservation) {
	if r == nil || r.kind != reservationGroup {
		return
	}
	c.log(Event{Kind: EventReclaimed, Attempt: r.id, Reason: "lease", Tokens: r.tokens})
	c.endGroupReservation(r, wire.FailLease)
}

// query requests the state of the engine.
func (c *Core) query() {
	c.setTimer(timerKey{kind: timerQuery}, c.now+c.cfg.QueryInterval)
	c.command(wire.AttemptID{}, engine.Command{Query: true})
}
