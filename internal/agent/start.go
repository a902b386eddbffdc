package agent

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/invariant"
	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	// fallbackWindowTokens is the prefill window while the engine's prefill
	// rate is unknown.
	fallbackWindowTokens = 16_000
	// classPriority is the difference in engine priority between adjacent
	// classes at equal weights. The weights scale it by 0.5 to 1.5.
	classPriority = 100
	// waitPriority is the engine priority that a second of waiting adds at
	// full weight of time to first token.
	waitPriority = 10
	// maxWaitPriority bounds the priority added by waiting.
	maxWaitPriority = 300
	// maxCallerPriority bounds the caller's part of the priority in both
	// directions.
	maxCallerPriority = 40
)

// start sends waiting attempts to the endpoint in dispatch order until no
// more fit. If the first attempt of a class doesn't fit, the whole class
// waits, so that later attempts can't starve it.
func (c *Core) start() {
	if !c.canStart() {
		return
	}
	c.updateMemoryAverages()
	c.startReservedMembers()
	var blocked [classCount]bool
	for c.queue.queued > 0 {
		a := c.nextWaiting(blocked)
		if a == nil {
			return
		}
		if !c.hasCapacity(a) {
			blocked[a.class] = true
			continue
		}
		c.startOne(a)
	}
}

// startReservedMembers starts the waiting group members. Their memory is
// already reserved, and attempts ahead of them may be waiting for that
// memory.
func (c *Core) startReservedMembers() {
	for _, id := range c.waitingMembers {
		a := c.attempts.Get(id)
		if a != nil && a.state == attemptQueued && c.hasCapacity(a) {
			c.startOne(a)
		}
	}
	c.waitingMembers = c.waitingMembers[:0]
}

func (c *Core) canStart() bool {
	if c.queue.queued == 0 || !c.engine.up {
		return false
	}
	if c.leaving.active && c.now >= c.leaving.startedAt+c.cfg.LeavingGrace && !c.cfg.disabled(mechanismLeaving) {
		return false
	}
	return c.cfg.Kind == wire.KindService || (!c.engine.loading && !c.orderTracker.drainingForLoad)
}

// nextWaiting returns the next attempt over all classes that are not
// blocked: that of the account with the least virtual start time.
func (c *Core) nextWaiting(blocked [classCount]bool) *attempt {
	var best *account
	var bestClass class
	for cl := range c.queue.heaps {
		rows := c.queue.heaps[cl].rows
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
		return a.virtualStart < b.virtualStart
	}
	return a.queues[ac].first().queueKey < b.queues[bc].first().queueKey
}

// hasCapacity reports whether the endpoint can take an attempt now.
func (c *Core) hasCapacity(a *attempt) bool {
	if a.dispatch.Kind == wire.KindService {
		return c.engine.running < c.cfg.MaxCalls
	}
	if a.dispatch.Slice != nil {
		return c.reservations.Get(a.reservation) != nil
	}
	if c.cfg.Queue == QueueFair && !c.hasPrefillCapacity(a) {
		return false
	}
	return c.fits(a.class, a.reserveTokens, c.heldBackTokens(a.class))
}

func (c *Core) hasPrefillCapacity(a *attempt) bool {
	if c.yieldsToLong(a) {
		return false
	}
	running := c.engine.prefillCount[a.class]
	if running == 0 || c.cfg.disabled(mechanismLongBound) {
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
	return c.engine.prefillTokens[classShort]+a.uncachedTokens <= window
}

// overdueLongShare is the fraction of the engine's prefill rate that shorter
// prompts leave to an overdue long prompt.
const overdueLongShare = 0.25

// overdueFactor is how many times its undisturbed prefill time a long prompt
// may take, in addition to AgeAfter, before it is overdue.
const overdueFactor = 3

// yieldsToLong reports whether a shorter prompt must wait because a long
// prompt in prefill is overdue and shorter ones have used up their share of
// the prefill rate. It sets a timer for the end of the wait.
func (c *Core) yieldsToLong(a *attempt) bool {
	e := &c.engine
	if a.class == classLong || e.prefillCount[classLong] == 0 || e.prefillRate <= 0 || c.cfg.disabled(mechanismAgeing) {
		return false
	}
	overdueAt := e.longPrefillStart + overdueFactor*c.prefillTime(e.prefillTokens[classLong]) + c.cfg.AgeAfter
	if c.now < overdueAt {
		e.shorterTokens = 0
		return false
	}
	seconds := e.shorterTokens / ((1 - overdueLongShare) * e.prefillRate)
	resume := overdueAt + time.Duration(seconds*float64(time.Second))
	if resume <= c.now {
		return false
	}
	c.setTimer(timerKey{kind: timerYield}, resume)
	return true
}

// recordPrefillStart adds a started prompt to the prefill counts.
func (c *Core) recordPrefillStart(a *attempt) {
	e := &c.engine
	if a.class != classLong {
		e.shorterTokens += float64(a.uncachedTokens)
	} else if e.prefillCount[classLong] == 0 {
		e.longPrefillStart = c.now
		e.shorterTokens = 0
	}
	e.prefillCount[a.class]++
	e.prefillTokens[a.class] += a.uncachedTokens
}

// startOne sends one attempt to the endpoint. From here on its outcome is
// unknown until the endpoint reports it.
func (c *Core) startOne(a *attempt) {
	c.dequeue(a)
	if c.now > a.startBy && !c.cfg.disabled(mechanismStartBy) {
		invariant.Fail("start-by", "attempt", a.id, "late", c.now-a.startBy)
	}
	a.state = attemptRunning
	a.startedAt = c.now
	a.progressedAt = c.now
	c.charge(a)
	c.engine.running++
	c.logAttempt(EventStarted, a, "", a.promptTokens)
	c.send(a.id.Entry, wire.ToEntry{Started: &wire.Started{Attempt: a.id}})
	if a.dispatch.Kind == wire.KindService {
		c.startCall(a)
	} else {
		c.startSequence(a)
	}
	c.setTimer(a.timer(), c.nextDue(a))
}

func (c *Core) startSequence(a *attempt) {
	c.recordPrefillStart(a)
	submit := engine.Submit{
		ID:           a.sequence,
		Model:        a.dispatch.Model,
		Adapter:      a.dispatch.Adapter,
		PromptTokens: a.promptTokens,
		MaxOutput:    a.dispatch.MaxOutput,
		Priority:     c.enginePriority(a),
		Prefixes:     a.dispatch.Prefixes,
		ResumeFrom:   a.dispatch.ResumeFrom,
		Fence:        c.orderTracker.highestFence,
		Incarnation:  c.cfg.Incarnation,
	}
	if a.dispatch.Slice != nil {
		r := c.reservations.Get(a.reservation)
		r.runningAttempt = a.id
		r.everUsed = true
		submit.PromptTokens = a.dispatch.Slice.Tokens
		submit.Imports = a.dispatch.Slice.Imports
		submit.Export = a.exportsKV()
		if submit.Export {
			submit.MaxOutput = 1
		}
	} else {
		c.reserve(a.id, reservationSequence, a.class, a.reserveTokens)
	}
	c.command(a.id, engine.Command{Submit: &submit})
}

// enginePriority combines the length of a prompt, its wait and the caller's
// priority.
func (c *Core) enginePriority(a *attempt) int32 {
	if c.cfg.Queue == QueueFIFO {
		return 0
	}
	short := c.cfg.Weights.ShortShare()
	length := float64(classCount-1-a.class) * classPriority * (0.5 + short)
	wait := min((c.now-a.arrivedAt).Seconds()*waitPriority*(1-short), maxWaitPriority)
	caller := max(min(a.dispatch.Priority, maxCallerPriority), -maxCallerPriority)
	return int32(length+wait) + caller
}

// nextDue returns when an attempt must next be checked: its start-by time,
// its deadline or its stall limit.
func (c *Core) nextDue(a *attempt) time.Duration {
	deadline := a.deadline
	if c.cfg.disabled(mechanismDeadline) && !a.adopted {
		deadline = never
	}
	switch a.state {
	case attemptBody, attemptQueued:
		if c.cfg.disabled(mechanismStartBy) {
			return deadline
		}
		return min(a.startBy, deadline)
	case attemptRunning:
		return min(deadline, c.stallAt(a))
	}
	return never
}

// stallPrefillFactor extends the stall limit before the first token: it is
// StallAfter plus this many times the predicted time to prefill all prompts
// now in prefill.
const stallPrefillFactor = 8

// stallAt returns when a running sequence counts as stalled if it makes no
// progress.
func (c *Core) stallAt(a *attempt) time.Duration {
	if a.dispatch.Kind == wire.KindService || a.adopted || c.cfg.disabled(mechanismStall) {
		return never
	}
	if a.hasFirstToken {
		return addSaturating(a.progressedAt, c.cfg.StallAfter)
	}
	var prefill int64
	for _, tokens := range c.engine.prefillTokens {
		prefill += tokens
	}
	if c.engine.prefillRate <= 0 {
		return never
	}
	return addSaturating(a.progressedAt, c.cfg.StallAfter+stallPrefillFactor*c.prefillTime(prefill))
}
