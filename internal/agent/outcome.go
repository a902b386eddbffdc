package agent

import (
	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	// maxRecentOutcomes bounds the outcomes kept for an entry.
	maxRecentOutcomes = 4096
	// recentOutcomeGraces is how long outcomes are kept, in multiples of
	// EntryGrace.
	recentOutcomeGraces = 2
)

// send sends a message to an entry whose stream is open. Outcomes are also
// kept, as the stream may be down or break before it delivers them. Other
// messages are not: a new stream starts with the full state.
func (c *Core) send(entry wire.NodeID, msg wire.ToEntry) {
	e := c.entries.Get(entry)
	if e == nil {
		return
	}
	if isOutcome(msg) {
		c.keepOutcome(e, msg)
	}
	if e.up {
		c.emit(Output{ToEntry: &ToEntry{Entry: entry, Msg: msg}})
	}
}

func isOutcome(msg wire.ToEntry) bool {
	if msg.Refused != nil {
		// A duplicate has the outcome of the first Dispatch.
		return msg.Refused.Reason != wire.RefuseDuplicate
	}
	return msg.Finished != nil || msg.Failed != nil || msg.Cancelled != nil
}

func (c *Core) keepOutcome(e *entryRow, msg wire.ToEntry) {
	c.pruneOutcomes(e)
	if len(e.recentOutcomes) >= maxRecentOutcomes {
		e.recentOutcomes = e.recentOutcomes[1:]
	}
	e.recentOutcomes = append(e.recentOutcomes, keptOutcome{at: c.now, msg: msg})
}

// pruneOutcomes drops the outcomes that are old enough to have been
// delivered.
func (c *Core) pruneOutcomes(e *entryRow) {
	old := 0
	for old < len(e.recentOutcomes) && c.now-e.recentOutcomes[old].at > recentOutcomeGraces*c.cfg.EntryGrace {
		old++
	}
	e.recentOutcomes = e.recentOutcomes[old:]
}

// refuse sends a refusal for a Dispatch that gets no row. Unless the reason is
// RefuseDuplicate, the attempt has not run and will not run.
func (c *Core) refuse(d wire.Dispatch, r refusal) {
	c.log(Event{Kind: EventRefused, Attempt: d.Attempt, Request: d.RequestID, Account: d.Account, Reason: r.reason.String()})
	c.send(d.Attempt.Entry, refusedMessage(d.Attempt, r))
	if r.reason != wire.RefuseDuplicate {
		c.emit(Output{Drop: &Drop{Attempt: d.Attempt}})
	}
}

func refusedMessage(id wire.AttemptID, r refusal) wire.ToEntry {
	return wire.ToEntry{Refused: &wire.Refused{Attempt: id, Reason: r.reason, RetryAfter: r.retryAfter}}
}

// refuseWaiting refuses an attempt that has not started and removes its row.
func (c *Core) refuseWaiting(a *attempt, r refusal) {
	c.logAttempt(EventRefused, a, r.reason.String(), 0)
	c.send(a.id.Entry, refusedMessage(a.id, r))
	c.remove(a)
}

func (c *Core) reportFinished(a *attempt, f wire.Finished) {
	a.suppressOutcome = true
	c.logAttempt(EventFinished, a, "", f.OutputTokens)
	c.send(a.id.Entry, wire.ToEntry{Finished: &f})
}

func (c *Core) reportFailed(a *attempt, reason wire.FailReason, rejected bool) {
	a.suppressOutcome = true
	c.logAttempt(EventFailed, a, reason.String(), a.outputTokens)
	c.send(a.id.Entry, wire.ToEntry{Failed: &wire.Failed{Attempt: a.id, Reason: reason, Rejected: rejected}})
}

// abandon stops a started attempt whose outcome has been sent or whose entry
// is gone. Its memory stays reserved until the endpoint confirms the end.
func (c *Core) abandon(a *attempt) {
	a.suppressOutcome = true
	if a.state == attemptEnding {
		return
	}
	a.state = attemptEnding
	c.timers.Stop(a.timer())
	if a.dispatch.Kind == wire.KindEngine {
		c.cancelSequence(a)
	}
	c.emit(Output{Drop: &Drop{Attempt: a.id}})
}

func (c *Core) cancelSequence(a *attempt) {
	id := a.sequence
	c.command(a.id, engine.Command{Cancel: &id})
}

// remove deletes the row of an attempt that is refused, cancelled or has ended.
// It takes the attempt out of its queue or the running counts, frees its memory
// and adds its tombstone.
func (c *Core) remove(a *attempt) {
	ran := a.state == attemptRunning || a.state == attemptEnding
	if a.state == attemptQueued {
		c.dequeue(a)
	}
	c.timers.Stop(a.timer())
	if ran {
		c.engine.running--
		c.endPrefill(a)
		c.freeMemory(a)
		if !a.adopted {
			c.correctCharge(a)
		}
	}
	// abandon has already sent Drop for an ending attempt. A service call that
	// ended by itself loses nothing to Drop: the shell has finished with it.
	if a.state != attemptEnding {
		c.emit(Output{Drop: &Drop{Attempt: a.id}})
	}
	c.addTombstone(a.id, ran)
	c.attempts.Delete(a.id)
}

// endPrefill takes an attempt out of the prefill counts if it is still in
// prefill.
func (c *Core) endPrefill(a *attempt) {
	if a.hasFirstToken || a.adopted || a.dispatch.Kind != wire.KindEngine {
		return
	}
	c.engine.prefillCount[a.class]--
	c.engine.prefillTokens[a.class] -= a.uncachedTokens
}

func (c *Core) freeMemory(a *attempt) {
	r := c.reservations.Get(a.reservation)
	if r == nil {
		return
	}
	if r.kind == reservationSequence {
		c.release(a.reservation)
		return
	}
	if r.runningAttempt == a.id {
		c.detachFromGroup(r)
	}
}

// addTombstone records that an attempt has ended, so that a late or repeated
// Dispatch does not run it.
func (c *Core) addTombstone(id wire.AttemptID, ran bool) {
	if t := c.tombstones.Get(id); t != nil {
		t.ran = t.ran || ran
		return
	}
	c.tombstones.Put(id, tombstone{ran: ran, expiresAt: c.now + c.cfg.TombstoneTTL})
	c.tombstoneOrder = append(c.tombstoneOrder, id)
	if c.tombstones.Len() > c.cfg.MaxTombstones {
		c.evictOldestTombstone()
	}
	if len(c.tombstoneOrder) == 1 {
		c.setTimer(timerKey{kind: timerTombstones}, c.now+c.cfg.TombstoneTTL)
	}
}

// evictOldestTombstone drops the oldest tombstone. From then on all attempts
// of the same entry incarnation up to its sequence count as ended.
func (c *Core) evictOldestTombstone() {
	id := c.tombstoneOrder[0]
	c.tombstoneOrder = c.tombstoneOrder[1:]
	c.tombstones.Delete(id)
	if e := c.entries.Get(id.Entry); e != nil && e.incarnation == id.Incarnation {
		e.tombstoneFloor = max(e.tombstoneFloor, id.Sequence)
	}
}

// expireTombstones drops the expired tombstones.
func (c *Core) expireTombstones() {
	for len(c.tombstoneOrder) > 0 && c.tombstones.Get(c.tombstoneOrder[0]).expiresAt <= c.now {
		c.evictOldestTombstone()
	}
	next := never
	if len(c.tombstoneOrder) > 0 {
		next = c.tombstones.Get(c.tombstoneOrder[0]).expiresAt
	}
	c.setTimer(timerKey{kind: timerTombstones}, next)
}

// cancel stops an attempt at the request of its entry, and answers whether
// it is proven not to have run.
func (c *Core) cancel(id wire.AttemptID) {
	if r := c.reservations.Get(id); r != nil && r.kind == reservationGroup {
		c.endGroupReservation(r, 0)
	}
	notRun := c.stopForCancel(id)
	c.log(Event{Kind: EventCancelled, Attempt: id, Reason: outcomeName(notRun)})
	c.send(id.Entry, wire.ToEntry{Cancelled: &wire.Cancelled{Attempt: id, NotRun: notRun}})
}

func outcomeName(notRun bool) string {
	if notRun {
		return wire.OutcomeNotRun.String()
	}
	return wire.OutcomeUnknown.String()
}

// stopForCancel stops an attempt and reports whether it is proven that it
// has not run and will not run.
func (c *Core) stopForCancel(id wire.AttemptID) bool {
	c.withdrawArrival(id)
	a := c.attempts.Get(id)
	if a == nil {
		notRun := c.provenNotRun(id)
		c.addTombstone(id, !notRun)
		return notRun
	}
	if a.state == attemptBody || a.state == attemptQueued {
		c.remove(a)
		return true
	}
	if mayInterrupt(a) {
		c.abandon(a)
	}
	a.suppressOutcome = true
	return false
}

// withdrawArrival drops a Dispatch of this tick that a Cancel follows.
func (c *Core) withdrawArrival(id wire.AttemptID) {
	if c.arrivals.Delete(id) {
		c.emit(Output{Drop: &Drop{Attempt: id}})
	}
}

// provenNotRun reports whether an attempt without a row is known not to have
// run at this endpoint.
func (c *Core) provenNotRun(id wire.AttemptID) bool {
	if t := c.tombstones.Get(id); t != nil {
		return !t.ran
	}
	e := c.entries.Get(id.Entry)
	if e == nil || e.incarnation != id.Incarnation {
		return false
	}
	return id.Sequence > e.tombstoneFloor && id.Sequence >= e.firstSequence
}
