package agent

import (
	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	// maxRecent bounds the outcomes kept for an entry.
	maxRecentOutcomes = 4096
	// recentGraces is the time for which outcomes are kept, as a multiple of
	// EntryGrace.
	recentOutcomeGraces = 2
)

// send sends a message to an entry whose stream is open. Outcomes are kept, as
// the stream may be down or break before it has delivered them; anything else
// is not, as a new stream starts with the full state.
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

// forgetOutcomes drops the outcomes that a stream has surely delivered.
func (c *Core) pruneOutcomes(e *entryRow) {
	old := 0
	for old < len(e.recentOutcomes) && c.now-e.recentOutcomes[old].at > recentOutcomeGraces*c.cfg.EntryGrace {
		old++
	}
	e.recentOutcomes = e.recentOutcomes[old:]
}

// refuse tells the entry that an attempt that has no row will not run.
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

// refuseWaiting ends an attempt that has not started.
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

// giveUp breaks off a started attempt whose entry has heard the outcome, or is
// gone. Its memory stays reserved until the endpoint has confirmed.
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

// remove deletes the row of an attempt that neither waits nor runs any more,
// frees its memory and remembers that it has ended.
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
	// A service call that has ended on its own has been read whole by the shell.
	if a.state != attemptEnding {
		c.emit(Output{Drop: &Drop{Attempt: a.id}})
	}
	c.addTombstone(a.id, ran)
	c.attempts.Delete(a.id)
}

// endPrefill takes an attempt out of the count of prefills.
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

// bury remembers an attempt that has ended, so that a late or repeated Dispatch
// does not run it.
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

// forgetOldest drops the oldest tombstone. All attempts of its entry up to it
// count as ended from then on.
func (c *Core) evictOldestTombstone() {
	id := c.tombstoneOrder[0]
	c.tombstoneOrder = c.tombstoneOrder[1:]
	c.tombstones.Delete(id)
	if e := c.entries.Get(id.Entry); e != nil && e.incarnation == id.Incarnation {
		e.tombstoneFloor = max(e.tombstoneFloor, id.Sequence)
	}
}

// expireTombstones forgets the attempts that ended long ago.
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

// cancel stops an attempt at the wish of its entry, and answers honestly whether
// it has run.
func (c *Core) cancel(id wire.AttemptID) {
	if r := c.reservations.Get(id); r != nil && r.kind == reservationGroup {
		c.endGroup(r, 0)
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

// stopForCancel stops an attempt and reports whether it is proven that it has
// not run and will not run.
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
