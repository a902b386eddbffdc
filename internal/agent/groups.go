package agent

import (
	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// A group runs one long prompt in slices on several engines. Each member
// imports the KV cache of the earlier ones, prefills its slice and exports the
// result; the last generates the output.

// exportsKV reports whether an attempt is a group member that exports its KV
// cache to the next member instead of generating.
func (a *attempt) exportsKV() bool {
	return a.dispatch.Slice != nil && a.dispatch.Slice.Index+1 < a.dispatch.Slice.Count
}

// ingestReserve grants or renews memory for a member of a group. The entry
// reserves in ascending order of endpoint ID and releases its grants after a
// refusal, so that two groups never wait for each other.
func (c *Core) ingestReserve(req wire.Reserve) {
	reason := c.reserveGroup(req)
	c.send(req.Attempt.Entry, wire.ToEntry{Reserved: &wire.Reserved{
		Attempt: req.Attempt,
		Granted: reason == 0,
		Reason:  reason,
	}})
}

func (c *Core) reserveGroup(req wire.Reserve) wire.RefuseReason {
	if r := c.reservations.Get(req.Attempt); r != nil && r.kind == reservationGroup {
		c.setLease(r, req)
		return 0
	}
	if t := c.tombstones.Get(req.Attempt); t != nil {
		return wire.RefuseTombstone
	}
	if reason := c.checkReserve(req); reason != 0 {
		return reason
	}
	r := c.reserve(req.Attempt, reservationGroup, classLong, req.Tokens)
	if c.memory.hold.id == req.Attempt {
		c.memory.hold = memoryHold{}
	}
	c.setLease(r, req)
	return 0
}

func (c *Core) setLease(r *reservation, req wire.Reserve) {
	r.expiresAt = addSaturating(c.now, req.Lease)
	if !c.cfg.disabled(mechanismLease) {
		c.setTimer(r.timer(), r.expiresAt)
	}
}

func (c *Core) checkReserve(req wire.Reserve) wire.RefuseReason {
	switch {
	case c.leaving.active:
		return wire.RefuseLeaving
	case !c.engine.up || c.cfg.Kind != wire.KindEngine:
		return wire.RefuseFailing
	case req.Lease <= 0:
		return wire.RefuseLate
	case req.Tokens <= 0 || req.Tokens > c.memory.capacity:
		return wire.RefuseTooLarge
	}
	if r := c.checkModel(req.Model, ""); r.reason != 0 {
		return r.reason
	}
	hold := c.memory.hold
	keepFree := hold.tokens
	if hold.id == req.Attempt || hold.until <= c.now {
		keepFree = 0
	}
	if c.fits(classLong, req.Tokens, keepFree) {
		return 0
	}
	c.holdMemoryFor(req)
	return wire.RefuseNoCapacity
}

// holdMemoryFor keeps memory free for memoryHoldTime for a group that was
// refused. There is one hold at a time: while it is active, only a group of the
// same entry replaces it.
func (c *Core) holdMemoryFor(req wire.Reserve) {
	if c.memory.hold.until > c.now && c.memory.hold.id.Entry != req.Attempt.Entry {
		return
	}
	c.memory.hold = memoryHold{id: req.Attempt, tokens: req.Tokens, until: addSaturating(c.now, memoryHoldTime)}
	c.setTimer(timerKey{kind: timerHold}, c.memory.hold.until)
}

// endGroupReservation ends the reservation of one group member: it drops the
// exported KV cache and abandons the running attempt. A nonzero reason is
// reported as the failure of that attempt. If one runs, the memory is released
// when the engine confirms its end: detachFromGroup then finds the lease over.
func (c *Core) endGroupReservation(r *reservation, reason wire.FailReason) {
	c.releaseHandle(r)
	r.expiresAt = c.now
	c.timers.Stop(r.timer())
	running := c.attempts.Get(r.runningAttempt)
	if running == nil {
		c.addTombstone(r.id, r.everUsed)
		c.release(r.id)
		return
	}
	if reason != 0 && !running.suppressOutcome {
		c.reportFailed(running, reason, false)
	}
	c.abandon(running)
}

// detachFromGroup takes an ended attempt out of its group reservation. The
// reservation ends here if it holds no exported KV cache, as after the last
// member, or if its lease is over.
func (c *Core) detachFromGroup(r *reservation) {
	r.runningAttempt = wire.AttemptID{}
	if r.expiresAt <= c.now || r.handle == "" {
		c.addTombstone(r.id, r.everUsed)
		c.release(r.id)
	}
}

func (c *Core) releaseHandle(r *reservation) {
	if r.handle == "" {
		return
	}
	handle := r.handle
	r.handle = ""
	c.command(r.id, engine.Command{Drop: &handle})
}

// attachHandle records the exported KV cache of a finished group member in
// its reservation. It reports whether an unexpired reservation exists.
func (c *Core) attachHandle(a *attempt, handle string) bool {
	r := c.reservations.Get(a.reservation)
	if r == nil || r.kind != reservationGroup || r.expiresAt <= c.now {
		return false
	}
	r.handle = handle
	return true
}
