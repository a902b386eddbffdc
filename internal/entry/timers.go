package entry

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// expire acts on every timer that is due.
func (c *Core) expire() {
	for {
		key, ok := c.timers.Pop(c.now)
		if !ok {
			return
		}
		c.handleTimer(key)
	}
}

func (c *Core) handleTimer(key timerKey) {
	switch key.kind {
	case timerDeadline:
		c.deadlinePassed(c.requests.Get(RequestID(key.id)))
	case timerSettle:
		c.settleDue(c.requests.Get(RequestID(key.id)))
	case timerRetry:
		c.retryDue(c.requests.Get(RequestID(key.id)))
	case timerOrphan:
		c.orphanTimeout(c.attempts.Get(key.id))
	case timerStart:
		c.startOverdue(c.attempts.Get(key.id))
	case timerEject:
		c.endEjection(c.endpoints.Get(key.endpoint))
	case timerReport:
		c.reportOverdue(c.endpoints.Get(key.endpoint))
	case timerGroup:
		c.renewGroup(c.requests.Get(RequestID(key.id)))
	case timerHeartbeat:
		c.sendHeartbeats()
	case timerDrain:
		c.drain.refusing = true
	}
}

// setDeadline starts the timer of a request's deadline and that of settleDue:
// SettleMargin before the deadline, or a quarter of the request's time if that
// is shorter.
func (c *Core) setDeadline(r *request) {
	if c.cfg.disabled(mechanismDeadline) {
		return
	}
	c.timers.Set(timerKey{kind: timerDeadline, id: uint64(r.id)}, r.deadline)
	margin := min(c.cfg.SettleMargin, (r.deadline-c.now)/4)
	c.timers.Set(timerKey{kind: timerSettle, id: uint64(r.id)}, r.deadline-margin)
}

// deadlinePassed ends a request whose deadline has passed.
func (c *Core) deadlinePassed(r *request) {
	if r == nil {
		return
	}
	c.fail(r, failure{code: CodeDeadline, detail: "deadline passed in phase " + r.phase.String(), retryAfter: r.failure.retryAfter})
}

// settleDue cancels an attempt that has not started shortly before the
// deadline, so that the request can be answered as not run.
func (c *Core) settleDue(r *request) {
	if r == nil || r.phase != phaseRunning {
		return
	}
	a := c.attempts.Get(r.currentAttempt)
	if a == nil || a.started || a.cancelSent {
		return
	}
	r.phase = phaseSettling
	r.failure = failure{code: CodeDeadline, detail: "not started in time", retryAfter: minRefusalRetry}
	c.cancelAttempt(a)
}

func (c *Core) retryDue(r *request) {
	if r == nil || r.phase != phaseWaiting || r.currentAttempt != 0 {
		return
	}
	c.toRoute = append(c.toRoute, r.id)
}

// orphanTimeout handles an orphaned attempt. A lost reservation fails its group.
// An attempt that goes on, see mayGoOn, stays.
// A connected agent is sent a Cancel; a call that must not run twice then waits
// up to StreamGrace for the agent's answer. Otherwise the attempt counts as
// lost, see attemptLost.
func (c *Core) orphanTimeout(a *attempt) {
	if a == nil || !a.orphaned {
		return
	}
	if a.isReservation() {
		c.reservationLost(a)
		return
	}
	r := c.requests.Get(a.request)
	e := c.endpoints.Get(a.endpoint)
	if r != nil && c.mayGoOn(r, a, e) {
		return
	}
	if r != nil && !r.repeatable && e != nil && e.up && !a.cancelSent {
		r.failure = failure{code: CodeOutcomeUnknown, detail: "connection to the endpoint was lost"}
		r.phase = phaseSettling
		c.cancelAttempt(a)
		c.timers.Set(timerKey{kind: timerOrphan, id: a.id.Sequence}, c.now+c.cfg.StreamGrace)
		return
	}
	if e != nil && e.up && !a.cancelSent {
		c.cancelAttempt(a)
	}
	c.attemptLost(a, failure{code: CodeEndpointLost, detail: "connection to the endpoint was lost"})
}

// startOverdue takes an attempt for silent that its agent should have started or
// refused by now, but about which it has sent nothing.
func (c *Core) startOverdue(a *attempt) {
	if a == nil || a.started || a.cancelSent || a.orphaned {
		return
	}
	a.orphaned = true
	c.orphanTimeout(a)
}

// sendHeartbeats sends a heartbeat to all connected agents, and updates the
// demand of models and the lowest revision.
func (c *Core) sendHeartbeats() {
	up := c.agentsUp()
	c.timers.Set(timerKey{kind: timerHeartbeat}, c.now+c.heartbeatInterval(up))
	c.reportTimeout = reportTimeoutFor(up)
	hb := wire.Heartbeat{Agents: int32(up), Revision: c.revision(), Starved: c.starved, StoreDown: c.fleet.storeDown()}
	c.endpoints.Each(func(id wire.EndpointID, e *endpoint) bool {
		if e.up {
			c.send(id, wire.ToAgent{Heartbeat: &hb})
		}
		return true
	})
	c.updateDemand()
	c.fleet.updateDemand()
	c.fleet.updateLowestRevision()
}

// agentsUp returns the number of agents with a stream.
func (c *Core) agentsUp() int {
	up := 0
	c.endpoints.Each(func(_ wire.EndpointID, e *endpoint) bool {
		if e.up {
			up++
		}
		return true
	})
	return up
}

const (
	// heartbeatBytes is the size of a heartbeat on the wire, with its framing.
	heartbeatBytes = 32
	// heartbeatBudget is the part of an entry's control budget, in bytes a second,
	// that heartbeats may use.
	heartbeatBudget = wire.ControlBudget * (1 - wire.ReportShare)
)

// heartbeatInterval returns the time between heartbeats to a number of agents,
// within heartbeatBudget.
func (c *Core) heartbeatInterval(agents int) time.Duration {
	return max(c.cfg.Heartbeat, seconds(float64(agents)*heartbeatBytes/heartbeatBudget))
}

// reportTimeoutFor returns how long an agent may go without a report when the
// given number of agents are connected: twice the interval between the reports
// of an idle agent, at least minReportTimeout. The agents divide the control
// budget, so that more agents report more rarely.
func reportTimeoutFor(agents int) time.Duration {
	idle := seconds(float64(agents) * wire.ReportBytes / (wire.ControlBudget * wire.ReportShare) * wire.IdleReportIntervals)
	return max(minReportTimeout, 2*idle)
}

// demandSmoothing is the weight of the newest interval in the moving average of
// a model's demand.
const demandSmoothing = 0.2

// updateDemand updates each model's moving average of demand with the tokens
// since the last update.
func (c *Core) updateDemand() {
	interval := (c.now - c.demandUpdatedAt).Seconds()
	c.demandUpdatedAt = c.now
	if interval <= 0 {
		return
	}
	c.models.Each(func(_ string, m *modelState) bool {
		m.demand += (m.tokensSinceUpdate/interval - m.demand) * demandSmoothing
		m.tokensSinceUpdate = 0
		return true
	})
}

func (c *Core) revision() uint64 {
	if c.snapshot == nil {
		return 0
	}
	return c.snapshot.Revision
}
