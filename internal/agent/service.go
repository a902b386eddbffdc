package agent

import "trefoilpath.org/trefoilpath/internal/wire"

// startCall starts a plain service call.
func (c *Core) startCall(a *attempt) {
	c.emit(Output{Service: &ServiceStart{
		Attempt: a.id,
		Call:    *a.dispatch.Call,
		Timeout: a.deadline - c.now,
	}})
}

// mayInterrupt reports whether a started attempt may be stopped. A call that
// is not idempotent runs to its end or its deadline, as stopping it would
// only make its outcome unknown.
func mayInterrupt(a *attempt) bool {
	return a.dispatch.Kind != wire.KindService || a.dispatch.Idempotent
}

// ingestServiceDone handles the end of a plain service call.
func (c *Core) ingestServiceDone(done *ServiceDone) {
	a := c.attempts.Get(done.Attempt)
	if a == nil || (a.state != attemptRunning && a.state != attemptEnding) {
		return
	}
	switch {
	case a.suppressOutcome:
	case done.AnswerComplete:
		c.reportFinished(a, wire.Finished{Attempt: a.id})
	default:
		c.reportFailed(a, wire.FailEndpointLost, !done.RequestSent)
	}
	c.remove(a)
}
