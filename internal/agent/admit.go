package agent

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// refusal is the reason to refuse an attempt and the earliest useful retry.
// A zero reason means that the attempt is accepted.
type refusal struct {
	reason     wire.RefuseReason
	retryAfter time.Duration
}

// Values of retryAfter for refusals whose wait can't be predicted.
const (
	modelRetryAfter   = 5 * time.Second // the model or adapter is not loaded
	memoryRetryAfter  = time.Second     // the group reservation is missing, in use or too small
	failingRetryAfter = 2 * time.Second // the engine does not answer
	serviceRetryAfter = time.Second     // the queue of the plain service is full
	bodyRetryAfter    = time.Second     // there is no room for the body
)

// admit accepts or refuses each attempt that arrived in this tick. A refused
// attempt has not run, unless it is refused as a duplicate.
func (c *Core) admit() {
	c.arrivals.Each(func(id wire.AttemptID, in *arrival) bool {
		c.admitOne(in)
		c.arrivals.Delete(id)
		return true
	})
}

func (c *Core) admitOne(in *arrival) {
	d := in.dispatch
	if r := c.checkDuplicate(d.Attempt); r.reason != 0 {
		c.refuse(d, r)
		return
	}
	a := c.newAttempt(d)
	r := c.checkAdmission(&a)
	if r.reason == 0 && in.noRoom {
		r = refusal{reason: wire.RefuseNoCapacity, retryAfter: bodyRetryAfter}
	}
	if r.reason != 0 {
		c.refuse(d, r)
		c.addTombstone(d.Attempt, false)
		return
	}
	row := c.attempts.Put(d.Attempt, a)
	c.logAttempt(EventQueued, row, "", row.promptTokens)
	if in.bodyReady || d.BodyBytes == 0 {
		c.enqueue(row)
	}
	c.setTimer(row.timer(), c.nextDue(row))
}

// checkDuplicate refuses an attempt that this agent has seen, or that may have
// run here without a tombstone: the tombstone was dropped, an earlier agent
// incarnation may have run it, or it is of an earlier entry incarnation.
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

// addSaturating returns now + d, or never if the sum would exceed it.
func addSaturating(now, d time.Duration) time.Duration {
	if d > never-now {
		return never
	}
	return now + d
}

// checkAdmission returns the reason why an attempt can't be accepted, or a
// zero refusal.
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
		return refusal{reason: wire.RefuseNoCapacity, retryAfter: serviceRetryAfter}
	}
	return refusal{}
}

func (c *Core) checkModel(model, adapter string) refusal {
	if c.engine.loading || c.orderTracker.drainingForLoad || c.engine.assignment.Model != model || !hasAdapter(c.engine.assignment, adapter) {
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
			return refusal{reason: wire.RefuseNoCapacity, retryAfter: memoryRetryAfter}
		}
		return refusal{}
	}
	if a.reserveTokens > c.memory.capacity && !c.cfg.disabled(mechanismMemoryCheck) {
		return refusal{reason: wire.RefuseTooLarge}
	}
	return refusal{}
}

// checkStartTime refuses an attempt if the queue is full, or if it is
// predicted not to start before its start-by time or not to finish prefill
// before its deadline. Under QueueFIFO only a full queue refuses.
func (c *Core) checkStartTime(a *attempt) refusal {
	if c.queue.queued >= c.cfg.MaxQueued {
		return refusal{reason: wire.RefuseNoCapacity, retryAfter: c.predictWait(a)}
	}
	if c.cfg.Queue == QueueFIFO {
		return refusal{}
	}
	wait := c.predictWait(a)
	if wait >= a.startBy-c.now {
		return refusal{reason: wire.RefuseNoCapacity, retryAfter: wait - (a.startBy - c.now) + time.Millisecond}
	}
	finish := wait + c.prefillTime(a.uncachedTokens)
	if finish >= a.deadline-c.now {
		return refusal{reason: wire.RefuseNoCapacity, retryAfter: max(wait, time.Millisecond)}
	}
	return refusal{}
}

func (c *Core) prefillTime(tokens int64) time.Duration {
	if c.engine.prefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / c.engine.prefillRate * float64(time.Second))
}

// predictWait returns the predicted time until an attempt starts: the
// prefill time of the tokens ahead of it or the wait for free memory,
// whichever is longer. The tokens ahead are those of its class in prefill and
// in the queue, but of the queue at most as many as fair sharing dispatches
// before its account's own are done. A short prompt starts while up to
// PrefillWindow is in prefill, and so does not wait for that part.
func (c *Core) predictWait(a *attempt) time.Duration {
	classTokens := c.waitingInClass(a.class)
	weightRatio := 1.0 // total waiting weight over the weight of the account
	var accountTokens int64
	if acc := c.accounts.Get(a.dispatch.Account); acc != nil {
		accountTokens = acc.waitingTokens
	}
	weight := a.dispatch.Weight
	if !(weight > 0) {
		weight = 1
	}
	otherWeights := c.queue.waitingWeight
	if accountTokens > 0 {
		otherWeights -= weight
	}
	weightRatio += max(otherWeights, 0) / weight
	tokensAhead := min(float64(classTokens), float64(accountTokens+a.uncachedTokens)*weightRatio)
	engineTokens := c.engine.prefillTokens[a.class]
	wait := c.prefillTime(int64(tokensAhead) + engineTokens)
	if window := c.cfg.PrefillWindow; a.class == classShort {
		wait = max(wait-window, 0)
	}
	return max(wait, c.memoryWait(a))
}

// waitingInClass returns the uncached prompt tokens waiting in a class.
func (c *Core) waitingInClass(cl class) int64 {
	var n int64
	for b := range c.queue.waitingTokens {
		if classOf(wire.Band(b)) == cl {
			n += c.queue.waitingTokens[b]
		}
	}
	return n
}

// memoryWait returns the predicted time until the memory that an attempt
// needs is free.
func (c *Core) memoryWait(a *attempt) time.Duration {
	missing := a.reserveTokens - c.freeTokens() + c.heldBackTokens(a.class)
	if missing <= 0 || c.memory.freeRate <= 0 {
		return 0
	}
	return time.Duration(float64(missing) / c.memory.freeRate * float64(time.Second))
}

// correctedPromptTokens returns the entry's estimate of the prompt tokens,
// scaled by the ratio of the engine's counts to the estimates for earlier
// prompts of the model.
func (c *Core) correctedPromptTokens(d wire.Dispatch) int64 {
	m := c.models.Get(d.Model)
	if m == nil || m.promptRatio == 0 {
		return d.PromptTokens
	}
	return int64(float64(d.PromptTokens)*m.promptRatio) + 1
}
