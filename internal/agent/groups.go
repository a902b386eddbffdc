package agent

import (
	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// exports reports whether an attempt is a group member that hands on its KV
// cache instead of generating.
func (a *attempt) exportsKV() bool {
	return a.dispatch.Slice != nil && a.dispatch.Slice.Index+1 < a.dispatch.Slice.Count
}

// ingestReserve grants or renews memory for a member of a group. The entry asks
// its engines in ascending order, and gives up what it has on a refusal, so that
// two groups never wait for each other.
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
	held := c.memory.hold
	keep := held.tokens
	if held.id == req.Attempt || held.until <= c.now {
		keep = 0
	}
	if c.fits(classLong, req.Tokens, keep) {
		return 0
	}
	c.holdMemoryFor(req)
	return wire.RefuseNoRoom
}

// holdFor keeps memory free for a while for a group that was refused, one group
// at a time.
func (c *Core) holdMemoryFor(req wire.Reserve) {
	if c.memory.hold.until > c.now && c.memory.hold.id.Entry != req.Attempt.Entry {
		return
	}
	c.memory.hold = memoryHold{id: req.Attempt, tokens: req.Tokens, until: addSaturating(c.now, memoryHoldTime)}
	c.setTimer(timerKey{kind: timerHold}, c.memory.hold.until)
}

// endGroup ends a group's reservation and what runs or is held under it. A
// reason other than zero is reported for the attempt that runs in it.
func (c *Core) endGroup(r *reservation, reason wire.FailReason) {
	c.releaseHandle(r)
	r.expiresAt = c.now
	c.timers.Stop(r.timer())
	user := c.attempts.Get(r.runningAttempt)
	if user == nil {
		c.addTombstone(r.id, r.everUsed)
		c.release(r.id)
		return
	}
	if reason != 0 && !user.suppressOutcome {
		c.reportFailed(user, reason, false)
	}
	c.abandon(user)
}

// leaveGroup takes the attempt that has ended out of its group reservation. The
// reservation ends with the last member, and when its lease is already over.
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

// keepHandle notes the exported KV cache of a finished group member under its
// reservation. It reports whether there is a reservation to hold it.
func (c *Core) attachHandle(a *attempt, handle string) bool {
	r := c.reservations.Get(a.reservation)
	if r == nil || r.kind != reservationGroup || r.expiresAt <= c.now {
		return false
	}
	r.handle = handle
	return true
}
