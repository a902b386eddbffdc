package entry

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/invariant"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// check asserts the invariants that hold after every tick. It reads only
// totals and the oldest request, so that its cost does not grow with the number of requests.
func (c *Core) check() {
	c.checkOldestDeadline()
	if len(c.toRoute) != 0 {
		invariant.Fail("the routing queue is empty after routing", "left", len(c.toRoute))
	}
	if c.drain.done && c.requests.Len() != 0 && !c.cfg.disabled(mechanismGrace) {
		invariant.Fail("a drained entry has nothing in flight", "requests", c.requests.Len())
	}
}

// checkOldestDeadline asserts that the oldest request has the timer of its deadline. One
// without it never ends, so that it becomes the oldest.
func (c *Core) checkOldestDeadline() {
	if c.cfg.disabled(mechanismDeadline) {
		return
	}
	for r := range c.requests.Values() {
		if !c.timers.Has(timerKey{kind: timerDeadline, id: uint64(r.id)}) {
			invariant.Fail("a request in flight has a deadline timer", "request", r.id)
		}
		return
	}
}

// checkAnswer asserts that the state of a request agrees with the outcome of
// its answer.
func (c *Core) checkAnswer(r *request, o wire.Outcome) {
	if o == wire.OutcomeNotRun && (r.mayHaveRun || r.unresolved != 0) && !c.cfg.disabled(mechanismProof) {
		invariant.Fail("a request answered as not run has not run", "request", r.id, "ran", r.mayHaveRun, "unresolved", r.unresolved)
	}
	if r.unresolved < 0 {
		invariant.Fail("each attempt is resolved at most once", "request", r.id, "unresolved", r.unresolved)
	}
	if o == wire.OutcomeCompleted && r.in.Kind == wire.KindEngine && !r.answerComplete {
		invariant.Fail("a completed request has its whole answer", "request", r.id)
	}
	if r.in.Kind == wire.KindService && !r.repeatable && r.unresolved > 1 && !c.cfg.disabled(mechanismRetryRule) {
		invariant.Fail("a call that is not idempotent has at most one unresolved attempt", "request", r.id, "unresolved", r.unresolved)
	}
}

// checkTimeLeft asserts that an attempt is dispatched only before its request's
// deadline.
func (c *Core) checkTimeLeft(r *request, left time.Duration) {
	if left <= 0 && !c.cfg.disabled(mechanismDeadline) {
		invariant.Fail("an attempt is dispatched before its deadline", "request", r.id, "left", left)
	}
}
