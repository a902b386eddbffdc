package agent

import (
	"trefoilpath.org/trefoilpath/internal/wire"
)

// ingest applies one input to the tables.
func (c *Core) ingest(in *Input) {
	switch {
	case in.EntryUp != nil:
		c.ingestEntryUp(in.EntryUp.Entry)
	case in.EntryDown != nil:
		c.ingestEntryDown(in.EntryDown.Entry)
	case in.FromEntry != nil:
		c.ingestFromEntry(in.FromEntry)
	case in.BodyReady != nil:
		c.ingestBody(in.BodyReady.Attempt)
	case in.Engine != nil:
		c.ingestEngine(in.Engine)
	case in.EngineUp != nil:
		c.ingestEngineUp(&in.EngineUp.State)
	case in.EngineDown != nil:
		c.ingestEngineDown(in.EngineDown.ProcessEnded)
	case in.ServiceDone != nil:
		c.ingestServiceDone(in.ServiceDone)
	case in.Leaving != nil:
		c.ingestLeaving()
	}
}

func (c *Core) ensureEntry(id wire.NodeID) *entryRow {
	if e := c.entries.Get(id); e != nil {
		return e
	}
	return c.entries.Put(id, entryRow{id: id})
}

// ingestEntryUp starts a stream with Hello, the recent outcomes and a
// report. The entry counts as lost until it has sent something on the
// stream.
func (c *Core) ingestEntryUp(id wire.NodeID) {
	e := c.ensureEntry(id)
	e.up = true
	e.cacheReset = true
	c.send(id, wire.ToEntry{Hello: &wire.Hello{
		Endpoint:        c.cfg.Endpoint,
		FailureDomain:   c.cfg.FailureDomain,
		Incarnation:     c.cfg.Incarnation,
		Kind:            c.cfg.Kind,
		Service:         c.cfg.Service,
		Capacity:        c.memory.capacity,
		Have:            c.engine.assignment,
		Leaving:         c.leaving.active,
		RunningAttempts: c.liveAttempts(id),
	}})
	c.pruneOutcomes(e)
	for _, kept := range e.recentOutcomes {
		c.emit(Output{ToEntry: &ToEntry{Entry: id, Msg: kept.msg}})
	}
	c.reportNow(e)
}

// liveAttempts lists the attempts of an entry whose outcome is still to be sent.
func (c *Core) liveAttempts(id wire.NodeID) []wire.AttemptID {
	var live []wire.AttemptID
	c.attempts.Each(func(_ wire.AttemptID, a *attempt) bool {
		if a.id.Entry == id && !a.suppressOutcome {
			live = append(live, a.id)
		}
		return true
	})
	return live
}

func (c *Core) ingestEntryDown(id wire.NodeID) {
	e := c.entries.Get(id)
	if e == nil || !e.up {
		return
	}
	e.up = false
	c.timers.Stop(e.reportTimer())
	if e.confirmed {
		e.confirmed = false
		c.setTimer(e.orphansTimer(), c.now+c.cfg.EntryGrace)
	}
}

func (c *Core) ingestFromEntry(in *FromEntry) {
	from, msg := in.Entry, &in.Msg
	if owner, ok := attemptOwner(msg); ok && owner != from {
		return
	}
	e := c.ensureEntry(from)
	if e.up && !e.confirmed {
		e.confirmed = true
		c.timers.Stop(e.orphansTimer())
	}
	switch {
	case msg.Welcome != nil:
		c.updateIncarnation(e, msg.Welcome.Incarnation, msg.Welcome.FirstAttempt)
		c.revision = max(c.revision, msg.Welcome.Revision)
	case msg.Dispatch != nil:
		c.ingestDispatch(e, *msg.Dispatch, in.NoRoom)
	case msg.Cancel != nil:
		c.updateIncarnation(e, msg.Cancel.Attempt.Incarnation, 0)
		c.cancel(msg.Cancel.Attempt)
	case msg.Order != nil:
		c.ingestOrder(from, *msg.Order)
	case msg.Heartbeat != nil:
		c.ingestHeartbeat(e, msg.Heartbeat)
	case msg.Reserve != nil:
		c.updateIncarnation(e, msg.Reserve.Attempt.Incarnation, 0)
		c.ingestReserve(*msg.Reserve)
	}
}

// attemptOwner returns the entry that owns the attempt of a message. Entries
// may not act on attempts of others.
func attemptOwner(msg *wire.ToAgent) (wire.NodeID, bool) {
	switch {
	case msg.Dispatch != nil:
		return msg.Dispatch.Attempt.Entry, true
	case msg.Cancel != nil:
		return msg.Cancel.Attempt.Entry, true
	case msg.Reserve != nil:
		return msg.Reserve.Attempt.Entry, true
	}
	return "", false
}

// updateIncarnation records a later incarnation of an entry. The attempts and
// group reservations of its earlier incarnation are orphaned at once and its
// kept outcomes dropped. first is the lowest sequence that can be proven not to
// have run here, or 0 if the message names none.
func (c *Core) updateIncarnation(e *entryRow, inc wire.Incarnation, first uint64) {
	if inc <= e.incarnation {
		return
	}
	if e.incarnation != 0 {
		c.orphanedEntries = append(c.orphanedEntries, e.id)
		e.recentOutcomes = nil
	}
	e.incarnation = inc
	e.firstSequence = first
	e.tombstoneFloor = 0
	e.lastSequence = 0
}

func (c *Core) ingestDispatch(e *entryRow, d wire.Dispatch, noRoom bool) {
	c.updateIncarnation(e, d.Attempt.Incarnation, 0)
	if d.Attempt.Incarnation == e.incarnation {
		e.lastSequence = max(e.lastSequence, d.Attempt.Sequence)
	}
	if c.arrivals.Get(d.Attempt) != nil {
		c.refuse(d, refusal{reason: wire.RefuseDuplicate})
		return
	}
	c.arrivals.Put(d.Attempt, arrival{dispatch: d, noRoom: noRoom})
}

func (c *Core) ingestHeartbeat(e *entryRow, h *wire.Heartbeat) {
	c.revision = max(c.revision, h.Revision)
	e.storeDown = h.StoreDown
	e.starvedModels = h.Starved
	e.agents = h.Agents
}

// ingestBody queues an attempt whose body is complete. An attempt that
// arrived in this tick is queued when it is admitted.
func (c *Core) ingestBody(id wire.AttemptID) {
	if in := c.arrivals.Get(id); in != nil {
		in.bodyReady = true
		return
	}
	a := c.attempts.Get(id)
	if a == nil || a.state != attemptBody {
		return
	}
	c.enqueue(a)
	c.setTimer(a.timer(), c.nextDue(a))
}
