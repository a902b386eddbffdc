package agent

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// refusal is the reason to refuse an attempt; a zero reason means none.
type refusal struct {
	reason     wire.RefuseReason
	retryAfter time.Duration
}

const (
	modelRetryAfter   = 5 * time.Second
	memoryRetryAfter  = time.Second
	failingRetryAfter = 2 * time.Second
	// serviceRetryAfter is when a plain service with a full queue is worth
	// another try.
	serviceRetryAfter = time.Second
)

// admit takes each attempt that arrived in this tick, or refuses it as not run.
func (c *Core) admit() {
	c.arrivals.Each(func(id wire.AttemptID, in *arrival) bool {
		c.admitOne(in.dispatch, in.bodyReady)
		c.arrivals.Delete(id)
		return true
	})
}

func (c *Core) admitOne(d wire.Dispatch, bodyReady bool) {
	if r := c.checkDuplicate(d.Attempt); r.reason != 0 {
		c.refuse(d, r)
		return
	}
	a := c.newAttempt(d)
	r := c.checkAdmission(&a)
	if r.reason != 0 {
		c.refuse(d, r)
		c.addTombstone(d.Attempt, false)
		return
	}
	row := c.attempts.Put(d.Attempt, a)
	c.logAttempt(EventQueued, row, "", row.promptTokens)
	if bodyReady || d.BodyBytes == 0 {
		c.enqueue(row)
	}
	c.setTimer(row.timer(), c.nextDue(row))
}

// known refuses an attempt that this agent has seen or may have forgotten.
func (c *Core) checkDuplicate(id wire.AttemptID) refusal {
	if c.attempts.Get(id) != nil {
		return refusal{reason: wire.RefuseDuplicate}
	}
	if t := c.tombstones.Get(id); t != nil && !c.cfg.disabled(mechanismTombstones) {
		if t.ran {
			return refusal{reason: wire.RefuseDuplicate}
		}
		return refusal{reason: wire.RefuseTombstone}
	}
	e := c.entries.Get(id.Entry)
	if e == nil || c.cfg.disabled(mechanismFloor) {
		return refusal{}
	}
	earlier := id.Sequence <= e.tombstoneFloor || id.Sequence < e.firstSequence
	if id.Incarnation < e.incarnation || (id.Incarnation == e.incarnation && earlier) {
		return refusal{reason: wire.RefuseDuplicate}
	}
	return refusal{}
}

func (c *Core) newAttempt(d wire.Dispatch) attempt {
	a := attempt{
		id:        d.Attempt,
		dispatch:  d,
		state:     attemptBody,
		arrivedAt: c.now,
		deadline:  addSaturating(c.now, d.TimeLeft),
		startBy:   addSaturating(c.now, d.StartBy),
		sequence:  engine.SequenceID(d.Attempt.String()),
	}
	if d.Kind == wire.KindService {
		a.uncachedTokens = callTokens
		return a
	}
	a.promptTokens = c.correctedPromptTokens(d)
	if d.Slice != nil {
		a.promptTokens = d.Slice.Tokens
	}
	a.band = wire.BandOf(a.promptTokens)
	if c.cfg.Queue == QueueFair {
		a.class = classOf(a.band)
	}
	a.uncachedTokens = c.cache.uncachedTokens(d.Prefixes, a.promptTokens)
	a.reserveTokens = a.promptTokens + d.MaxOutput
	a.reservation = d.Attempt
	if d.Slice != nil {
		a.reserveTokens = 0
		a.reservation = d.Slice.Reservation
	}
	return a
}

// later returns now + d, bounded so that it can't overflow.
func addSaturating(now, d time.Duration) time.Duration {
	if d > never-now {
		return never
	}
	return now + d
}

// judge returns why an attempt can't be taken, if it can't.
func (c *Core) checkAdmission(a *attempt) refusal {
	switch {
	case c.leaving.active && !c.cfg.disabled(mechanismLeaving):
		return refusal{reason: wire.RefuseLeaving}
	case a.startBy <= c.now || a.deadline <= c.now:
		return refusal{reason: wire.RefuseLate}
	case a.dispatch.Kind != c.cfg.Kind:
		return refusal{reason: wire.RefuseModel}
	case !c.engine.up:
		return refusal{reason: wire.RefuseFailing, retryAfter: failingRetryAfter}
	}
	if c.cfg.Kind == wire.KindService {
		return c.checkCall(a)
	}
	if r := c.checkModel(a.dispatch.Model, a.dispatch.Adapter); r.reason != 0 {
		return r
	}
	if r := c.checkMemory(a); r.reason != 0 {
		return r
	}
	return c.checkStartTime(a)
}

func (c *Core) checkCall(a *attempt) refusal {
	if a.dispatch.Call == nil || a.dispatch.Call.Service != c.cfg.Service {
		return refusal{reason: wire.RefuseModel}
	}
	if c.queue.queued >= c.cfg.MaxQueued {
		return refusal{reason: wire.RefuseNoRoom, retryAfter: serviceRetryAfter}
	}
	return refusal{}
}

func (c *Core) checkModel(model, adapter string) refusal {
	if c.engine.loading || c.ordering.drainingForLoad || c.engine.assignment.Model != model || !hasAdapter(c.engine.assignment, adapter) {
		return refusal{reason: wire.RefuseModel, retryAfter: modelRetryAfter}
	}
	return refusal{}
}

func hasAdapter(have wire.Assignment, adapter string) bool {
	if adapter == "" {
		return true
	}
	for _, name := range have.Adapters {
		if name == adapter {
			return true
		}
	}
	return false
}

func (c *Core) checkMemory(a *attempt) refusal {
	if a.dispatch.Slice != nil {
		r := c.reservations.Get(a.reservation)
		if r == nil || r.kind != reservationGroup || !r.runningAttempt.IsZero() || a.dispatch.Slice.Tokens > r.tokens {
			return refusal{reason: wire.RefuseNoRoom, retryAfter: memoryRetryAfter}
		}
		return refusal{}
	}
	if a.reserveTokens > c.memory.capacity && !c.cfg.disabled(mechanismMemoryCheck) {
		return refusal{reason: wire.RefuseTooLarge}
	}
	return refusal{}
}

// judgeTime refuses what is predicted not to start, or not to have a first
// token, in time.
func (c *Core) checkStartTime(a *attempt) refusal {
	if c.queue.queued >= c.cfg.MaxQueued {
		return refusal{reason: wire.RefuseNoRoom, retryAfter: c.predictWait(a)}
	}
	if c.cfg.Queue == QueueFIFO {
		return refusal{}
	}
	wait := c.predictWait(a)
	if wait >= a.startBy-c.now {
		return refusal{reason: wire.RefuseNoRoom, retryAfter: wait - (a.startBy - c.now) + time.Millisecond}
	}
	finish := wait + c.prefillTime(a.uncachedTokens)
	if finish >= a.deadline-c.now {
		return refusal{reason: wire.RefuseNoRoom, retryAfter: max(wait, time.Millisecond)}
	}
	return refusal{}
}

func (c *Core) prefillTime(tokens int64) time.Duration {
	if c.engine.prefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / c.engine.prefillRate * float64(time.Second))
}

// predictWait returns the time until an attempt would start: what its class
// waits for ahead of it, at most what its account's share leaves it, and the
// memory that must come free.
func (c *Core) predictWait(a *attempt) time.Duration {
	waiting := c.waitingInClass(a.class)
	share := 1.0
	var own int64
	if acc := c.accounts.Get(a.dispatch.Account); acc != nil {
		own = acc.waitingTokens
	}
	w := a.dispatch.Weight
	if !(w > 0) {
		w = 1
	}
	others := c.queue.waitingWeight
	if own > 0 {
		others -= w
	}
	share += max(others, 0) / w
	ahead := min(float64(waiting), float64(own+a.uncachedTokens)*share)
	inEngine := c.engine.prefillTokens[a.class]
	wait := c.prefillTime(int64(ahead) + inEngine)
	if window := c.cfg.PrefillWindow; a.class == classShort {
		wait = max(wait-window, 0)
	}
	return max(wait, c.memoryWait(a))
}

// tokensAhead returns the prompt tokens waiting in a class.
func (c *Core) waitingInClass(cl class) int64 {
	var n int64
	for b := range c.queue.waitingTokens {
		if classOf(wire.Band(b)) == cl {
			n += c.queue.waitingTokens[b]
		}
	}
	return n
}

func (c *Core) memoryWait(a *attempt) time.Duration {
	short := a.reserveTokens - c.freeTokens() + c.heldBackTokens(a.class)
	if short <= 0 || c.memory.freeRate <= 0 {
		return 0
	}
	return time.Duration(float64(short) / c.memory.freeRate * float64(time.Second))
}

// correctPrompt corrects an entry's estimate by what the engine counted for
// earlier prompts of the model.
func (c *Core) correctedPromptTokens(d wire.Dispatch) int64 {
	m := c.models.Get(d.Model)
	if m == nil || m.promptRatio == 0 {
		return d.PromptTokens
	}
	return int64(float64(d.PromptTokens)*m.promptRatio) + 1
}
