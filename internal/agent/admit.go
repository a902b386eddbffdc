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
		c.admitOne(in.d, in.bodyReady)
		c.arrivals.Delete(id)
		return true
	})
}

func (c *Core) admitOne(d wire.Dispatch, bodyReady bool) {
	if r := c.known(d.Attempt); r.reason != 0 {
		c.refuse(d, r)
		return
	}
	a := c.newAttempt(d)
	r := c.judge(&a)
	if r.reason != 0 {
		c.refuse(d, r)
		c.bury(d.Attempt, false)
		return
	}
	row := c.attempts.Put(d.Attempt, a)
	c.logAttempt(EventQueued, row, "", row.prompt)
	if bodyReady || d.BodyBytes == 0 {
		c.enqueue(row)
	}
	c.setTimer(row.timer(), c.dueOf(row))
}

// known refuses an attempt that this agent has seen or may have forgotten.
func (c *Core) known(id wire.AttemptID) refusal {
	if c.attempts.Get(id) != nil {
		return refusal{reason: wire.RefuseDuplicate}
	}
	if t := c.tombstones.Get(id); t != nil && !c.cfg.lacks(withoutTombstones) {
		if t.ran {
			return refusal{reason: wire.RefuseDuplicate}
		}
		return refusal{reason: wire.RefuseTombstone}
	}
	e := c.entries.Get(id.Entry)
	if e == nil || c.cfg.lacks(withoutFloor) {
		return refusal{}
	}
	earlier := id.Sequence <= e.floor || id.Sequence < e.first
	if id.Incarnation < e.incarnation || (id.Incarnation == e.incarnation && earlier) {
		return refusal{reason: wire.RefuseDuplicate}
	}
	return refusal{}
}

func (c *Core) newAttempt(d wire.Dispatch) attempt {
	a := attempt{
		id:       d.Attempt,
		d:        d,
		state:    attemptBody,
		arrived:  c.now,
		deadline: later(c.now, d.TimeLeft),
		startBy:  later(c.now, d.StartBy),
		sequence: engine.SequenceID(d.Attempt.String()),
	}
	if d.Kind == wire.KindService {
		a.uncached = callTokens
		return a
	}
	a.prompt = c.correctPrompt(d)
	if d.Slice != nil {
		a.prompt = d.Slice.Tokens
	}
	a.band = wire.BandOf(a.prompt)
	if c.cfg.Queue == QueueFair {
		a.class = classOf(a.band)
	}
	a.uncached = c.cache.uncached(d.Prefixes, a.prompt)
	a.need = a.prompt + d.MaxOutput
	a.reservation = d.Attempt
	if d.Slice != nil {
		a.need = 0
		a.reservation = d.Slice.Reservation
	}
	return a
}

// later returns now + d, bounded so that it can't overflow.
func later(now, d time.Duration) time.Duration {
	if d > never-now {
		return never
	}
	return now + d
}

// judge returns why an attempt can't be taken, if it can't.
func (c *Core) judge(a *attempt) refusal {
	switch {
	case c.leaving.on && !c.cfg.lacks(withoutLeaving):
		return refusal{reason: wire.RefuseLeaving}
	case a.startBy <= c.now || a.deadline <= c.now:
		return refusal{reason: wire.RefuseLate}
	case a.d.Kind != c.cfg.Kind:
		return refusal{reason: wire.RefuseModel}
	case !c.engine.up:
		return refusal{reason: wire.RefuseFailing, retryAfter: failingRetryAfter}
	}
	if c.cfg.Kind == wire.KindService {
		return c.judgeCall(a)
	}
	if r := c.judgeModel(a.d.Model, a.d.Adapter); r.reason != 0 {
		return r
	}
	if r := c.judgeMemory(a); r.reason != 0 {
		return r
	}
	return c.judgeTime(a)
}

func (c *Core) judgeCall(a *attempt) refusal {
	if a.d.Call == nil || a.d.Call.Service != c.cfg.Service {
		return refusal{reason: wire.RefuseModel}
	}
	if c.share.queued >= c.cfg.MaxQueued {
		return refusal{reason: wire.RefuseNoRoom, retryAfter: serviceRetryAfter}
	}
	return refusal{}
}

func (c *Core) judgeModel(model, adapter string) refusal {
	if c.engine.loading || c.fence.draining || c.engine.have.Model != model || !hasAdapter(c.engine.have, adapter) {
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

func (c *Core) judgeMemory(a *attempt) refusal {
	if a.d.Slice != nil {
		r := c.reservations.Get(a.reservation)
		if r == nil || r.kind != reservationGroup || !r.user.IsZero() || a.d.Slice.Tokens > r.tokens {
			return refusal{reason: wire.RefuseNoRoom, retryAfter: memoryRetryAfter}
		}
		return refusal{}
	}
	if a.need > c.memory.capacity && !c.cfg.lacks(withoutMemoryCheck) {
		return refusal{reason: wire.RefuseTooLarge}
	}
	return refusal{}
}

// judgeTime refuses what is predicted not to start, or not to have a first
// token, in time.
func (c *Core) judgeTime(a *attempt) refusal {
	if c.share.queued >= c.cfg.MaxQueued {
		return refusal{reason: wire.RefuseNoRoom, retryAfter: c.predictWait(a)}
	}
	if c.cfg.Queue == QueueFIFO {
		return refusal{}
	}
	wait := c.predictWait(a)
	if wait >= a.startBy-c.now {
		return refusal{reason: wire.RefuseNoRoom, retryAfter: wait - (a.startBy - c.now) + time.Millisecond}
	}
	finish := wait + c.prefillTime(a.uncached)
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
	waiting := c.tokensAhead(a.class)
	share := 1.0
	var own int64
	if acc := c.accounts.Get(a.d.Account); acc != nil {
		own = acc.tokens
	}
	w := a.d.Weight
	if !(w > 0) {
		w = 1
	}
	others := c.share.weight
	if own > 0 {
		others -= w
	}
	share += max(others, 0) / w
	ahead := min(float64(waiting), float64(own+a.uncached)*share)
	inEngine := c.engine.prefill[a.class]
	wait := c.prefillTime(int64(ahead) + inEngine)
	if window := c.cfg.PrefillWindow; a.class == classShort {
		wait = max(wait-window, 0)
	}
	return max(wait, c.memoryWait(a))
}

// tokensAhead returns the prompt tokens waiting in a class.
func (c *Core) tokensAhead(cl class) int64 {
	var n int64
	for b := range c.share.tokens {
		if classOf(wire.Band(b)) == cl {
			n += c.share.tokens[b]
		}
	}
	return n
}

func (c *Core) memoryWait(a *attempt) time.Duration {
	short := a.need - c.freeTokens() + c.keepFree(a.class)
	if short <= 0 || c.memory.freeRate <= 0 {
		return 0
	}
	return time.Duration(float64(short) / c.memory.freeRate * float64(time.Second))
}

// correctPrompt corrects an entry's estimate by what the engine counted for
// earlier prompts of the model.
func (c *Core) correctPrompt(d wire.Dispatch) int64 {
	m := c.models.Get(d.Model)
	if m == nil || m.promptRatio == 0 {
		return d.PromptTokens
	}
	return int64(float64(d.PromptTokens)*m.promptRatio) + 1
}
