package agent

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	// stateSlack is how long after a start or a load an engine state must be
	// sampled to count as evidence of its result.
	stateSlack = 500 * time.Millisecond
	// maxMissingStates is the number of successive states without a sequence
	// after which the engine no longer has it.
	maxMissingStates = 2
)

// ingestEngineUp handles the state of an engine that answers again, or for
// the first time.
func (c *Core) ingestEngineUp(s *engine.State) {
	c.engine.up = true
	c.reportToAll = true
	c.engineSnapshot = s
	c.resetCache()
	c.log(Event{Kind: EventEngineUp, Reason: s.Have.Model, Tokens: s.Capacity})
}

// ingestEngineDown records that the engine does not answer. If its memory is
// gone too, all running work is lost.
func (c *Core) ingestEngineDown(lost bool) {
	if c.cfg.Kind == wire.KindEngine {
		c.engine.up = false
	}
	c.reportToAll = true
	c.engineSnapshot = nil
	reason := "unreachable"
	if lost {
		reason = "lost"
		c.endLostWork()
	}
	c.log(Event{Kind: EventEngineDown, Reason: reason})
}

func (c *Core) endLostWork() {
	c.attempts.Each(func(_ wire.AttemptID, a *attempt) bool {
		if a.state != attemptRunning && a.state != attemptEnding {
			return true
		}
		if !a.suppressOutcome {
			c.reportFailed(a, wire.FailEndpointLost, false)
		}
		c.remove(a)
		return true
	})
	c.reservations.Each(func(_ wire.AttemptID, r *reservation) bool {
		c.addTombstone(r.id, r.everUsed)
		c.release(r.id)
		return true
	})
	c.engine.assignment = wire.Assignment{}
	c.engine.loading = false
	c.failLoadingOrders()
	c.resetCache()
}

// reconcile compares the engine's state with the tables: it cancels
// sequences without an owner and ends attempts that the engine no longer
// has.
func (c *Core) reconcile() {
	s := c.engineSnapshot
	if s == nil {
		return
	}
	sampledAt := c.now - s.Age
	c.engine.prefillRate = s.PrefillRate
	c.engine.decodeRate = s.DecodeRate
	if s.Capacity != c.memory.total {
		c.setMemoryTotal(s.Capacity)
		c.reportToAll = true
	}
	c.updateAssignment(s, sampledAt)
	if !c.engine.stateRead {
		c.engine.stateRead = true
		c.adoptAll(s)
		return
	}
	if c.cfg.disabled(mechanismReconcile) {
		return
	}
	c.reconcileHeld(s)
	c.reconcileMissing(sampledAt)
}

func (c *Core) reconcileHeld(s *engine.State) {
	for i := range s.Held {
		h := &s.Held[i]
		if h.ID == "" {
			c.reconcileHandle(h.Handle)
			continue
		}
		a := c.attemptBySequence(h.ID)
		switch {
		case a == nil:
			id := h.ID
			c.log(Event{Kind: EventReclaimed, Reason: "unowned", Tokens: h.Tokens})
			c.command(wire.AttemptID{}, engine.Command{Cancel: &id})
		case a.state == attemptEnding:
			a.missingStates = -1 // reconcileMissing adds 1
			c.cancelSequence(a)
		default:
			a.missingStates = -1
			a.outputTokens = max(a.outputTokens, h.Output)
		}
	}
}

// reconcileHandle drops an exported KV cache that no reservation refers to.
func (c *Core) reconcileHandle(handle string) {
	owned := false
	c.reservations.Each(func(_ wire.AttemptID, r *reservation) bool {
		owned = r.handle == handle
		return !owned
	})
	if owned {
		return
	}
	c.log(Event{Kind: EventReclaimed, Reason: "unowned-handle"})
	c.dropUnowned(handle)
}

// reconcileMissing counts for each sequence the successive states without
// it, and ends its attempt at maxMissingStates.
func (c *Core) reconcileMissing(sampledAt time.Duration) {
	c.attempts.Each(func(_ wire.AttemptID, a *attempt) bool {
		if a.dispatch.Kind != wire.KindEngine || (a.state != attemptRunning && a.state != attemptEnding) {
			return true
		}
		if sampledAt < a.startedAt+stateSlack {
			return true
		}
		a.missingStates++
		if a.missingStates < maxMissingStates {
			return true
		}
		if !a.suppressOutcome {
			c.reportFailed(a, wire.FailEndpointLost, false)
		}
		c.remove(a)
		return true
	})
}

// adoptAll handles what an earlier incarnation of the agent left in the
// engine: sequences are kept for ClaimGrace, and exported KV caches, which
// have no owner any more, are dropped.
func (c *Core) adoptAll(s *engine.State) {
	for i := range s.Held {
		h := &s.Held[i]
		if h.ID == "" {
			c.dropUnowned(h.Handle)
			continue
		}
		c.adopt(h)
	}
}

func (c *Core) adopt(h *engine.Held) {
	id, ok := ParseSequenceID(h.ID)
	if !ok || c.attempts.Get(id) != nil {
		seq := h.ID
		c.command(wire.AttemptID{}, engine.Command{Cancel: &seq})
		return
	}
	a := c.attempts.Put(id, attempt{
		id:              id,
		dispatch:        wire.Dispatch{Attempt: id, Kind: wire.KindEngine, Model: c.engine.assignment.Model},
		state:           attemptRunning,
		class:           classShort,
		arrivedAt:       c.now,
		startedAt:       c.now,
		progressedAt:    c.now,
		startBy:         c.now,
		deadline:        addSaturating(c.now, c.cfg.ClaimGrace),
		reserveTokens:   h.Tokens,
		outputTokens:    h.Output,
		adopted:         true,
		suppressOutcome: true,
		reservation:     id,
		sequence:        h.ID,
	})
	c.engine.running++
	c.reserve(id, reservationSequence, a.class, min(h.Tokens, c.freeTokens()))
	c.setTimer(a.timer(), c.nextDue(a))
}
