package gateway

import (
	"trefoilpath.org/trefoilpath/internal/invariant"
	"trefoilpath.org/trefoilpath/internal/route"
)

// check stops the process if the tables violate an invariant of the gateway.
func (c *Core) check() {
	if v := c.activeVersion(); v < c.checkedVersion {
		invariant.Fail("configuration-never-older", "version", v, "before", c.checkedVersion)
	}
	c.checkedVersion = c.activeVersion()
	for r := range c.requests.Values() {
		if (r.phase == phaseRunning) != (r.work != nil) {
			invariant.Fail("work-matches-phase", "request", r.in.RequestID, "phase", r.phase)
		}
		if r.in.Route.Kind == route.KindUnsafe && r.mayHaveRun > 0 {
			invariant.Fail("unsafe-not-sent-again", "request", r.in.RequestID, "unproven", r.mayHaveRun)
		}
	}
}

// checkPermitted stops the process if r is about to be dispatched though the parts of its prompt
// don't permit it now.
func (c *Core) checkPermitted(r *request) {
	if len(r.parts) > 0 && (r.held || r.screenedAt != c.now) {
		invariant.Fail("dispatch-only-permitted-parts", "request", r.in.RequestID, "held", r.held, "permitted", r.screenedAt)
	}
}
