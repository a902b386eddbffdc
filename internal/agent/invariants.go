package agent

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/invariant"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// checkInvariants checks after each tick the conditions that must hold for
// any inputs. Apart from the audit its cost does not depend on the number of
// rows.
func (c *Core) checkInvariants() {
	if c.memory.reserved > c.memory.capacity && !c.cfg.disabled(mechanismMemoryCheck) {
		invariant.Fail("memory-reserved", "reserved", c.memory.reserved, "capacity", c.memory.capacity)
	}
	if c.memory.reserved < 0 || (c.reservations.Len() == 0 && c.memory.reserved != 0) {
		invariant.Fail("memory-leak", "reserved", c.memory.reserved)
	}
	if c.engine.running < 0 || c.queue.queued < 0 {
		invariant.Fail("counters", "running", c.engine.running, "queued", c.queue.queued)
	}
	if next := c.timers.Next(); next <= c.now {
		invariant.Fail("timers", "next", next, "now", c.now)
	}
	if c.cfg.Kind == wire.KindService && c.engine.running > c.cfg.MaxCalls {
		invariant.Fail("calls", "running", c.engine.running, "max", c.cfg.MaxCalls)
	}
	if c.now-c.lastAuditAt >= auditInterval {
		c.lastAuditAt = c.now
		c.audit()
	}
}

// auditInterval is the least time between two audits in checkInvariants.
const auditInterval = time.Second

// audit checks the rows of the tables against each other and against the
// totals.
func (c *Core) audit() {
	var counts [attemptEnding + 1]int
	c.attempts.Each(func(id wire.AttemptID, a *attempt) bool {
		counts[a.state]++
		c.auditAttempt(id, a)
		return true
	})
	running := counts[attemptRunning] + counts[attemptEnding]
	invariant.Check(running == c.engine.running, "running", "rows", running, "count", c.engine.running)
	invariant.Check(counts[attemptQueued] == c.queue.queued, "queued", "rows", counts[attemptQueued], "count", c.queue.queued)
	var reserved int64
	c.reservations.Each(func(id wire.AttemptID, r *reservation) bool {
		reserved += r.tokens
		if r.kind == reservationSequence && c.attempts.Get(id) == nil {
			invariant.Fail("reservation-owner", "reservation", id)
		}
		return true
	})
	invariant.Check(reserved == c.memory.reserved, "reserved", "rows", reserved, "sum", c.memory.reserved)
}

func (c *Core) auditAttempt(id wire.AttemptID, a *attempt) {
	if (a.queuePos > 0) != (a.state == attemptQueued) {
		invariant.Fail("attempt-state", "attempt", id, "state", a.state)
	}
	if a.deadline <= c.now && a.state != attemptEnding && !c.cfg.disabled(mechanismDeadline) {
		invariant.Fail("deadline", "attempt", id, "past", c.now-a.deadline)
	}
	started := a.state == attemptRunning || a.state == attemptEnding
	if a.dispatch.Kind == wire.KindEngine && started && c.reservations.Get(a.reservation) == nil {
		invariant.Fail("attempt-memory", "attempt", id)
	}
	arrivedLeaving := c.leaving.active && c.cfg.LeavingGrace > 0 && a.arrivedAt > c.leaving.startedAt
	if arrivedLeaving && started && !a.adopted && !c.cfg.disabled(mechanismLeaving) {
		invariant.Fail("leaving", "attempt", id, "arrived", a.arrivedAt, "leaving", c.leaving.startedAt)
	}
}
