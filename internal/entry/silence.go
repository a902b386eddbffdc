package entry

import "time"

// replacementRecheck is the time between two decisions on an attempt that stays silent.
const replacementRecheck = 200 * time.Millisecond

// An agent that is silent, or whose stream is down, may be lost or may go on in the next
// moment. Silence alone therefore ends no request that may be repeated: its attempt is given
// up only for another one that is certain to be allowed, and otherwise stays until the deadline.

// mayGoOn reports whether an orphaned attempt at e stays the one of r: its agent is only
// silent, and has spoken again or nothing can replace it yet.
func (c *Core) mayGoOn(r *request, a *attempt, e *endpoint) bool {
	if a.disowned || a.sliceIndex >= 0 || !r.repeatable {
		return false
	}
	if r.phase == phaseSettling {
		return true // until its agent sends proof, or the deadline
	}
	if c.speaksAgain(a, e) {
		a.orphaned = false
		return true
	}
	if c.takeReplacement(r, a) {
		return false
	}
	c.timers.Set(timerKey{kind: timerOrphan, id: a.id.Sequence}, c.now+replacementRecheck)
	return true
}

// speaksAgain reports whether the agent of an orphaned attempt is connected, reports, and has
// started the attempt or still has time to.
func (c *Core) speaksAgain(a *attempt, e *endpoint) bool {
	return e != nil && e.up && c.now-e.lastReportAt < c.reportTimeout &&
		(a.started || c.timers.Has(timerKey{kind: timerStart, id: a.id.Sequence}))
}

// takeReplacement reports whether r may be sent to another endpoint than that of a before its
// deadline, and there is one. It takes the retry from the budget, so that r is certain to get
// it when a has been given up.
func (c *Core) takeReplacement(r *request, a *attempt) bool {
	if r.attempts >= maxAttempts || c.now+2*r.retryPause()+minStartBy >= r.deadline || !c.hasAlternative(r, a) {
		return false
	}
	r.retryTaken = c.retryBudget.take()
	return r.retryTaken
}

// hasAlternative reports whether an endpoint other than that of a may get r now.
func (c *Core) hasAlternative(r *request, a *attempt) bool {
	for _, e := range c.endpointsFor(r) {
		if e.id != a.endpoint && c.usableFor(e, r) {
			return true
		}
	}
	return false
}

// endpointsFor returns the endpoints of the model or service of r.
func (c *Core) endpointsFor(r *request) []*endpoint {
	if r.in.Call != nil {
		if s := c.services.Get(r.in.Call.Service); s != nil {
			return s.endpoints
		}
		return nil
	}
	if m := c.models.Get(r.in.Model); m != nil {
		return m.endpoints
	}
	return nil
}
