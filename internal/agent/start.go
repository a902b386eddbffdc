package agent

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/invariant"
	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	// fallbackWindowTokens is the prefill window while the engine's rate is not
	// known.
	fallbackWindowTokens = 16_000
	// bandPriority is the engine priority that separates two classes at full
	// weight of short-request slowdown.
	bandPriority = 100
	// waitPriority is the engine priority that a second of waiting is worth at
	// full weight of time to first token.
	waitPriority = 10
	// maxWaitPriority bounds the priority gained by waiting.
	maxWaitPriority = 300
	// maxCallerPriority bounds the priority that a caller can ask for.
	maxCallerPriority = 40
)

// start hands waiting attempts to the endpoint, in the order of the queue,
// until nothing more fits. A class whose first attempt doesn't fit waits as a
// whole, so that later attempts can't starve it.
func (c *Core) start() {
	if !c.canStart() {
		return
	}
	c.measureFreeRate()
	c.startReserved()
	var blocked [classCount]bool
	for c.share.queued > 0 {
		a := c.nextWaiting(blocked)
		if a == nil {
			return
		}
		if !c.hasRoom(a) {
			blocked[a.class] = true
			continue
		}
		c.startOne(a)
	}
}

// startReserved starts the group members that wait. They have their memory
// already, and what waits before them may be waiting for just that memory.
func (c *Core) startReserved() {
	for _, id := range c.members {
		a := c.attempts.Get(id)
		if a != nil && a.state == attemptQueued && c.hasRoom(a) {
			c.startOne(a)
		}
	}
	c.members = c.members[:0]
}

func (c *Core) canStart() bool {
	if c.share.queued == 0 || !c.engine.up {
		return false
	}
	if c.leaving.on && c.now >= c.leaving.since+c.cfg.LeavingGrace && !c.cfg.lacks(withoutLeaving) {
		return false
	}
	return c.cfg.Kind == wire.KindService || (!c.engine.loading && !c.fence.draining)
}

// nextWaiting returns the next attempt over all classes that are not blocked:
// that of the account with the least virtual start time.
func (c *Core) nextWaiting(blocked [classCount]bool) *attempt {
	var best *account
	var bestClass class
	for cl := range c.share.classes {
		rows := c.share.classes[cl].rows
		if blocked[cl] || len(rows) == 0 {
			continue
		}
		acc := rows[0]
		if best == nil || c.precedes(acc, class(cl), best, bestClass) {
			best, bestClass = acc, class(cl)
		}
	}
	if best == nil {
		return nil
	}
	return best.queues[bestClass].first()
}

func (c *Core) precedes(a *account, ac class, b *account, bc class) bool {
	if a != b {
		return a.start < b.start
	}
	return a.queues[ac].first().key < b.queues[bc].first().key
}

// hasRoom reports whether the endpoint can take an attempt now.
func (c *Core) hasRoom(a *attempt) bool {
	if a.d.Kind == wire.KindService {
		return c.engine.running < c.cfg.MaxCalls
	}
	if a.d.Slice != nil {
		return c.reservations.Get(a.reservation) != nil
	}
	if c.cfg.Queue == QueueFair && !c.hasPrefillRoom(a) {
		return false
	}
	return c.fits(a.class, a.need, c.keepFree(a.class))
}

func (c *Core) hasPrefillRoom(a *attempt) bool {
	if c.yieldsToLong(a) {
		return false
	}
	running := c.engine.prefills[a.class]
	if running == 0 || c.cfg.lacks(withoutLongBound) {
		return true
	}
	switch a.class {
	case classLong:
		return running < c.cfg.MaxLongPrefills
	case classMedium:
		return running < c.cfg.MaxMediumPrefills
	}
	window := int64(c.engine.prefillRate * c.cfg.PrefillWindow.Seconds())
	if window == 0 {
		window = fallbackWindowTokens
	}
	return c.engine.prefill[classShort]+a.uncached <= window
}

// longShare is the part of the engine's prefill that an overdue long prompt is
// sure of, whatever short ones arrive.
const longShare = 0.25

// overdueFactor is how many times its undisturbed prefill a long prompt may take
// before it is overdue.
const overdueFactor = 3

// yieldsToLong reports whether a shorter prompt must wait because a long one in
// the engine is overdue and the shorter ones have used up their part.
func (c *Core) yieldsToLong(a *attempt) bool {
	e := &c.engine
	if a.class == classLong || e.prefills[classLong] == 0 || e.prefillRate <= 0 || c.cfg.lacks(withoutAgeing) {
		return false
	}
	since := e.longStarted + overdueFactor*c.prefillTime(e.prefill[classLong]) + c.cfg.AgeAfter
	if c.now < since {
		e.shortUsed = 0
		return false
	}
	seconds := e.shortUsed / ((1 - longShare) * e.prefillRate)
	resume := since + time.Duration(seconds*float64(time.Second))
	if resume <= c.now {
		return false
	}
	c.setTimer(timerKey{kind: timerYield}, resume)
	return true
}

// noteStart counts the prefill of a started prompt.
func (c *Core) noteStart(a *attempt) {
	e := &c.engine
	if a.class != classLong {
		e.shortUsed += float64(a.uncached)
	} else if e.prefills[classLong] == 0 {
		e.longStarted = c.now
		e.shortUsed = 0
	}
	e.prefills[a.class]++
	e.prefill[a.class] += a.uncached
}

// startOne hands one attempt to the endpoint. From here on its outcome is
// unknown until the endpoint reports it.
func (c *Core) startOne(a *attempt) {
	c.dequeue(a)
	if c.now > a.startBy && !c.cfg.lacks(withoutStartBy) {
		invariant.Fail("start-by", "attempt", a.id, "late", c.now-a.startBy)
	}
	a.state = attemptRunning
	a.started = c.now
	a.progressed = c.now
	c.charge(a)
	c.engine.running++
	c.logAttempt(EventStarted, a, "", a.prompt)
	c.send(a.id.Entry, wire.ToEntry{Started: &wire.Started{Attempt: a.id}})
	if a.d.Kind == wire.KindService {
		c.startCall(a)
	} else {
		c.startSequence(a)
	}
	c.setTimer(a.timer(), c.dueOf(a))
}

func (c *Core) startSequence(a *attempt) {
	c.noteStart(a)
	submit := engine.Submit{
		ID:           a.sequence,
		Model:        a.d.Model,
		Adapter:      a.d.Adapter,
		PromptTokens: a.prompt,
		MaxOutput:    a.d.MaxOutput,
		Priority:     c.enginePriority(a),
		Prefixes:     a.d.Prefixes,
		ResumeFrom:   a.d.ResumeFrom,
		Fence:        c.fence.highest,
		Incarnation:  c.cfg.Incarnation,
	}
	if a.d.Slice != nil {
		r := c.reservations.Get(a.reservation)
		r.user = a.id
		r.used = true
		submit.PromptTokens = a.d.Slice.Tokens
		submit.Imports = a.d.Slice.Imports
		submit.Export = a.exports()
		if submit.Export {
			submit.MaxOutput = 1
		}
	} else {
		c.reserve(a.id, reservationSequence, a.class, a.need)
	}
	c.command(a.id, engine.Command{Submit: &submit})
}

// enginePriority weighs the length of a prompt against its wait.
func (c *Core) enginePriority(a *attempt) int32 {
	if c.cfg.Queue == QueueFIFO {
		return 0
	}
	short := c.cfg.Weights.ShortShare()
	length := float64(classCount-1-a.class) * bandPriority * (0.5 + short)
	wait := min((c.now-a.arrived).Seconds()*waitPriority*(1-short), maxWaitPriority)
	caller := max(min(a.d.Priority, maxCallerPriority), -maxCallerPriority)
	return int32(length+wait) + caller
}

// dueOf returns when an attempt must next be looked at.
func (c *Core) dueOf(a *attempt) time.Duration {
	deadline := a.deadline
	if c.cfg.lacks(withoutDeadline) && !a.adopted {
		deadline = never
	}
	switch a.state {
	case attemptBody, attemptQueued:
		if c.cfg.lacks(withoutStartBy) {
			return deadline
		}
		return min(a.startBy, deadline)
	case attemptRunning:
		return min(deadline, c.stallAt(a))
	}
	return never
}

// prefillSlack is how much longer than predicted a prefill may take before the
// sequence counts as stalled.
const prefillSlack = 8

// stallAt returns when a running sequence counts as stalled without progress.
func (c *Core) stallAt(a *attempt) time.Duration {
	if a.d.Kind == wire.KindService || a.adopted || c.cfg.lacks(withoutStall) {
		return never
	}
	if a.first {
		return later(a.progressed, c.cfg.StallAfter)
	}
	var prefill int64
	for _, tokens := range c.engine.prefill {
		prefill += tokens
	}
	if c.engine.prefillRate <= 0 {
		return never
	}
	return later(a.progressed, c.cfg.StallAfter+prefillSlack*c.prefillTime(prefill))
}
