package agent

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	// stateSlack is how much older than a start the engine's state must not be
	// for the absence of the sequence to count.
	stateSlack = 500 * time.Millisecond
	// missingLimit is the number of successive states without a sequence after
	// which the engine no longer has it.
	missingLimit = 2
)

// ingestEngineUp takes the state of an engine that answers again, or for the
// first time.
func (c *Core) ingestEngineUp(s *engine.State) {
	c.engine.up = true
	c.urgent = true
	c.state = s
	c.forgetCache()
	c.log(Event{Kind: EventEngineUp, Reason: s.Have.Model, Tokens: s.Capacity})
}

// ingestEngineDown notes that the engine does not answer. If its memory is gone
// too, all that ran there is lost.
func (c *Core) ingestEngineDown(lost bool) {
	if c.cfg.Kind == wire.KindEngine {
		c.engine.up = false
	}
	c.urgent = true
	c.state = nil
	reason := "unreachable"
	if lost {
		reason = "lost"
		c.loseEngine()
	}
	c.log(Event{Kind: EventEngineDown, Reason: reason})
}

func (c *Core) loseEngine() {
	c.attempts.Each(func(_ wire.AttemptID, a *attempt) bool {
		if a.state != attemptRunning && a.state != attemptEnding {
			return true
		}
		if !a.silent {
			c.reportFailed(a, wire.FailEngineLost, false)
		}
		c.remove(a)
		return true
	})
	c.reservations.Each(func(_ wire.AttemptID, r *reservation) bool {
		c.bury(r.id, r.used)
		c.release(r.id)
		return true
	})
	c.engine.have = wire.Assignment{}
	c.engine.loading = false
	c.loseOrders()
	c.forgetCache()
}

// reconcile compares the engine's state with the tables: it cancels what nobody
// owns and ends what the engine no longer has.
func (c *Core) reconcile() {
	s := c.state
	if s == nil {
		return
	}
	taken := c.now - s.Age
	c.engine.prefillRate = s.PrefillRate
	c.engine.decodeRate = s.DecodeRate
	if s.Capacity != c.memory.total {
		c.setCapacity(s.Capacity)
		c.urgent = true
	}
	c.learnAssignment(s, taken)
	if !c.engine.seen {
		c.engine.seen = true
		c.adoptAll(s)
		return
	}
	if c.cfg.lacks(withoutReconcile) {
		return
	}
	c.reconcileHeld(s)
	c.reconcileMissing(taken)
}

func (c *Core) reconcileHeld(s *engine.State) {
	for i := range s.Held {
		h := &s.Held[i]
		if h.ID == "" {
			c.reconcileHandle(h.Handle)
			continue
		}
		a := c.sequence(h.ID)
		switch {
		case a == nil:
			id := h.ID
			c.log(Event{Kind: EventReclaimed, Reason: "unowned", Tokens: h.Tokens})
			c.command(wire.AttemptID{}, engine.Command{Cancel: &id})
		case a.state == attemptEnding:
			a.missing = -1
			c.cancelSequence(a)
		default:
			a.missing = -1
			a.output = max(a.output, h.Output)
		}
	}
}

// reconcileHandle drops an exported KV cache that no reservation names.
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

// reconcileMissing counts, for each sequence, the successive states without it.
func (c *Core) reconcileMissing(taken time.Duration) {
	c.attempts.Each(func(_ wire.AttemptID, a *attempt) bool {
		if a.d.Kind != wire.KindEngine || (a.state != attemptRunning && a.state != attemptEnding) {
			return true
		}
		if taken < a.started+stateSlack {
			return true
		}
		a.missing++
		if a.missing < missingLimit {
			return true
		}
		if !a.silent {
			c.reportFailed(a, wire.FailEngineLost, false)
		}
		c.remove(a)
		return true
	})
}

// adoptAll takes over what a predecessor left in the engine. Sequences are kept
// for a grace, handles have no owner any more.
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
	id, ok := ParseSequence(h.ID)
	if !ok || c.attempts.Get(id) != nil {
		seq := h.ID
		c.command(wire.AttemptID{}, engine.Command{Cancel: &seq})
		return
	}
	a := c.attempts.Put(id, attempt{
		id:          id,
		d:           wire.Dispatch{Attempt: id, Kind: wire.KindEngine, Model: c.engine.have.Model},
		state:       attemptRunning,
		class:       classShort,
		arrived:     c.now,
		started:     c.now,
		progressed:  c.now,
		startBy:     c.now,
		deadline:    later(c.now, c.cfg.ClaimGrace),
		need:        h.Tokens,
		output:      h.Output,
		adopted:     true,
		silent:      true,
		reservation: id,
		sequence:    h.ID,
	})
	c.engine.running++
	c.reserve(id, reservationSequence, a.class, min(h.Tokens, c.freeTokens()))
	c.setTimer(a.timer(), c.dueOf(a))
}
