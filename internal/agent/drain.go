package agent

import "trefoilpath.org/trefoilpath/internal/wire"

// ingestLeaving starts draining the endpoint: all entries are notified in
// this tick, and new attempts are refused as not run.
func (c *Core) ingestLeaving() {
	if c.leaving.active {
		return
	}
	c.leaving = leavingState{active: true, startedAt: c.now}
	c.setTimer(timerKey{kind: timerLeaving}, addSaturating(c.now, c.cfg.LeavingGrace))
	c.log(Event{Kind: EventLeaving})
	c.entries.Each(func(_ wire.NodeID, e *entryRow) bool {
		c.reportNow(e)
		return true
	})
}

// drain refuses the attempts that still wait after LeavingGrace, and emits
// Drained when nothing is in flight.
func (c *Core) drain() {
	if !c.leaving.active || c.leaving.drained {
		return
	}
	if c.now >= c.leaving.startedAt+c.cfg.LeavingGrace && !c.cfg.disabled(mechanismLeaving) {
		c.refuseAllWaiting(refusal{reason: wire.RefuseLeaving})
	}
	if c.attempts.Len() > 0 || c.reservations.Len() > 0 {
		return
	}
	c.leaving.drained = true
	c.emit(Output{Drained: true})
}

// refuseAllWaiting refuses every attempt that has not started.
func (c *Core) refuseAllWaiting(r refusal) {
	c.attempts.Each(func(_ wire.AttemptID, a *attempt) bool {
		if a.state == attemptBody || a.state == attemptQueued {
			c.refuseWaiting(a, r)
		}
		return true
	})
}
