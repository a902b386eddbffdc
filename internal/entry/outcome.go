package entry

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	// failedAvoid is how long a request avoids an endpoint at which an attempt
	// of it failed.
	failedAvoid = 5 * time.Second
	// retryBackoff is doubled for each attempt sent, up to maxRetryBackoff, to
	// get the pause before a retry.
	retryBackoff    = 10 * time.Millisecond
	maxRetryBackoff = time.Second
	maxBackoffShift = 10 // keeps the shift far from overflow; maxRetryBackoff is reached before
	maxAttempts     = 12 // of one request
	// maxLostRuns is the number of endpoints that may be lost while they run one request: it may be
	// what they crash on.
	maxLostRuns = 3
)

// started records that the agent has handed an attempt to its engine or
// service.
func (c *Core) started(id wire.AttemptID) {
	a := c.attemptOf(id)
	if a == nil {
		return
	}
	a.started = true
	c.timers.Stop(timerKey{kind: timerStart, id: a.id.Sequence})
	if r := c.requests.Get(a.request); r != nil {
		r.mayHaveRun = true
	}
}

// refused handles an agent's refusal, which proves that the attempt has not run
// and will not run. RefuseDuplicate proves neither and is ignored.
func (c *Core) refused(m *wire.Refused) {
	a := c.attemptOf(m.Attempt)
	if a == nil || m.Reason == wire.RefuseDuplicate {
		return
	}
	c.counts.Refusals++
	r := c.resolve(a, false)
	if r == nil {
		return
	}
	if a.sliceIndex >= 0 {
		c.failGroup(r, failure{code: CodeOverloaded, detail: "group member refused: " + m.Reason.String(), retryAfter: m.RetryAfter})
		return
	}
	if r.phase == phaseSettling {
		c.endSettling(r)
		return
	}
	c.rerouteRefused(r, a, m)
}

// rerouteRefused tries the next endpoint at once. After every maxRefusals
// refusals it sends the request to the agent with the shortest wait, or pauses.
func (c *Core) rerouteRefused(r *request, a *attempt, m *wire.Refused) {
	r.refusals++
	pause := max(m.RetryAfter, minReroutePause)
	r.avoidUntil(a.endpoint, c.now+pause)
	if m.Reason == wire.RefuseTooLarge {
		r.avoidUntil(a.endpoint, r.deadline)
	}
	r.noteShortestWait(a.endpoint, m)
	if r.refusals%maxRefusals != 0 {
		c.enqueue(r)
		return
	}
	if c.dispatchToShortestWait(r) {
		return
	}
	c.pauseThenRoute(r, c.jitter(min(pause, maxReroutePause)))
}

// noteShortestWait keeps the shortest wait that a refusal for RefuseNoCapacity or
// RefuseLate has named, and its endpoint.
func (r *request) noteShortestWait(id wire.EndpointID, m *wire.Refused) {
	if m.Reason != wire.RefuseNoCapacity && m.Reason != wire.RefuseLate {
		return
	}
	if r.shortestWait.endpoint == "" || m.RetryAfter < r.shortestWait.wait {
		r.shortestWait = refusalWait{id, m.RetryAfter}
	}
}

// dispatchToShortestWait sends a request that several agents refused to the one
// that named the shortest wait, to wait there. It reports false if that
// endpoint is unknown, not usable, or free only after the deadline.
func (c *Core) dispatchToShortestWait(r *request) bool {
	best := r.shortestWait
	r.shortestWait = refusalWait{}
	e := c.endpoints.Get(best.endpoint)
	if e == nil || !c.usable(e) || c.now+best.wait >= r.deadline {
		return false
	}
	p := c.predict(e, r)
	c.dispatchWithin(r, e, p, c.startBy(r.deadline-c.now, p))
	return true
}

// pauseThenRoute routes a request again after a pause, or ends it if the pause
// would pass its deadline.
func (c *Core) pauseThenRoute(r *request, pause time.Duration) {
	r.phase = phaseWaiting
	if c.now+pause >= r.deadline {
		c.fail(r, failure{code: CodeOverloaded, detail: "no endpoint has room in time", retryAfter: max(pause, minRefusalRetry)})
		return
	}
	c.timers.Set(timerKey{kind: timerRetry, id: uint64(r.id)}, c.now+pause)
}

// finished handles the end of an attempt at its endpoint. The request is
// complete only once its answer has been assembled.
func (c *Core) finished(m *wire.Finished) {
	a := c.attemptOf(m.Attempt)
	if a == nil {
		return
	}
	if a.abandoned {
		c.resolve(a, true)
		return
	}
	r := c.requests.Get(a.request)
	if r == nil {
		return
	}
	r.mayHaveRun = true
	a.started = true
	if a.sliceIndex >= 0 && r.group != nil && a.sliceIndex < len(r.group.members)-1 {
		c.sliceFinished(r, a, m)
	}
}

// complete ends a request whose whole answer has been assembled.
func (c *Core) complete(r *request, s *StreamProgress) {
	if a := c.attempts.Get(r.currentAttempt); a != nil {
		if e := c.endpoints.Get(a.endpoint); e != nil {
			c.recordSuccess(e)
		}
		c.resolve(a, true)
	}
	r.mayHaveRun = true
	if r.group != nil {
		s.Total.PromptTokens += r.group.countedPromptTokens
	}
	total := wire.Finished{PromptTokens: s.Total.PromptTokens, CachedTokens: s.Total.CachedTokens, OutputTokens: s.Total.OutputTokens}
	r.usage = &total
	if m := c.models.Get(r.in.Model); m != nil && r.in.Kind == wire.KindEngine {
		m.learn(r, &total)
	}
	c.closeRecord(r, wire.OutcomeCompleted, s.Reply)
	c.end(r, Answer{Outcome: wire.OutcomeCompleted, Total: s.Total})
}

// failed handles an agent's report that an attempt did not complete. Rejected
// proves that it has not run.
func (c *Core) failed(m *wire.Failed) {
	a := c.attemptOf(m.Attempt)
	if a == nil {
		return
	}
	if e := c.endpoints.Get(a.endpoint); e != nil && isEndpointFault(m.Reason) {
		c.recordFailure(e)
	}
	r := c.resolve(a, !m.Rejected)
	if r == nil {
		return
	}
	f := failure{code: CodeEndpointLost, detail: m.Reason.String()}
	switch m.Reason {
	case wire.FailDeadline:
		f.code = CodeDeadline
	case wire.FailInvalid:
		f.code = CodeInvalid
	}
	r.avoidUntil(a.endpoint, c.now+failedAvoid)
	if m.Reason == wire.FailEndpointLost && a.started && !m.Rejected {
		r.lostRuns++
	}
	c.afterFailure(r, a, f, m.Rejected)
}

// isEndpointFault reports whether a failure is attributed to the endpoint and
// counts against its health.
func isEndpointFault(reason wire.FailReason) bool {
	switch reason {
	case wire.FailEndpointLost, wire.FailStalled, wire.FailInternal:
		return true
	}
	return false
}

// afterFailure retries a request whose attempt failed, or ends it if no retry
// can help or if a retry might run a call that is not idempotent twice.
func (c *Core) afterFailure(r *request, a *attempt, f failure, notRun bool) {
	if a.sliceIndex >= 0 {
		c.failGroup(r, f)
		return
	}
	if r.phase == phaseSettling {
		c.endSettling(r)
		return
	}
	if f.code == CodeInvalid || f.code == CodeDeadline {
		c.fail(r, f)
		return
	}
	if !notRun && !r.repeatable && !c.cfg.disabled(mechanismRetryRule) {
		c.fail(r, failure{code: CodeOutcomeUnknown, detail: f.detail})
		return
	}
	c.retryLater(r, f)
}

// retryLater starts another attempt after a pause, within the retry budget.
func (c *Core) retryLater(r *request, f failure) {
	if r.lostRuns >= maxLostRuns || !r.retryTaken && (r.attempts >= maxAttempts || !c.retryBudget.take()) {
		f.retryAfter = minRefusalRetry
		c.fail(r, f)
		return
	}
	r.retryTaken = false
	c.counts.Retried++
	c.log(Event{Kind: EventRetried, Request: r.in.ExternalID, Account: r.in.Account, Code: f.code, Detail: f.detail})
	r.failure = f
	c.pauseThenRoute(r, c.jitter(r.retryPause()))
}

// retryPause returns the mean pause before the next retry.
func (r *request) retryPause() time.Duration {
	return min(retryBackoff<<min(r.attempts, maxBackoffShift), maxRetryBackoff)
}

// streamBroken cancels an attempt whose frames have a gap, a wrong digest or a
// wrong count, and goes on without it.
func (c *Core) streamBroken(r *request, id wire.AttemptID) {
	a := c.attemptOf(id)
	if a == nil || r.currentAttempt != id.Sequence {
		return
	}
	c.cancelAttempt(a)
	c.attemptLost(a, failure{code: CodeAnswerBroken, detail: "frames missing"})
}

// cancelAttempt asks the agent to stop an attempt and to report whether it has
// run.
func (c *Core) cancelAttempt(a *attempt) {
	a.cancelSent = true
	if e := c.endpoints.Get(a.endpoint); e != nil && e.up {
		c.send(a.endpoint, wire.ToAgent{Cancel: &wire.Cancel{Attempt: a.id}})
	}
}

// cancelled handles the agent's answer to a Cancel.
func (c *Core) cancelled(m *wire.Cancelled) {
	a := c.attemptOf(m.Attempt)
	if a == nil || !a.cancelSent {
		return
	}
	r := c.resolve(a, !m.NotRun)
	if r == nil {
		return
	}
	switch {
	case r.phase == phaseSettling:
		c.endSettling(r)
	case r.currentAttempt == 0 && r.phase == phaseRunning:
		c.afterFailure(r, a, r.failure, m.NotRun)
	}
}

// attemptLost goes on without an attempt whose outcome is not known. It keeps the
// attempt's record, since its agent may still report the outcome, unless it is a
// slice of a group or its request has ended.
func (c *Core) attemptLost(a *attempt, f failure) {
	r := c.requests.Get(a.request)
	if r == nil || a.sliceIndex >= 0 {
		c.endAttempt(a)
	} else {
		c.abandon(r, a)
	}
	if r == nil {
		return
	}
	r.avoidUntil(a.endpoint, c.now+failedAvoid)
	if r.phase == phaseSettling {
		c.fail(r, r.failure)
		return
	}
	c.afterFailure(r, a, f, false)
}

// abandon detaches an attempt from its request, which may start another.
func (c *Core) abandon(r *request, a *attempt) {
	c.detachFromEndpoint(a)
	a.abandoned = true
	r.abandoned = append(r.abandoned, a.id.Sequence)
	if r.currentAttempt == a.id.Sequence {
		r.currentAttempt = 0
	}
}

// resolve deletes an attempt whose outcome is known, and notes for its request
// that one attempt less is unresolved and whether it ran. It returns the request
// if that still waits for the attempt, or nil.
func (c *Core) resolve(a *attempt, ran bool) *request {
	r := c.requests.Get(a.request)
	if r != nil {
		r.unresolved--
		r.mayHaveRun = r.mayHaveRun || ran
	}
	if a.abandoned {
		c.attempts.Delete(a.id.Sequence)
		return nil
	}
	return c.endAttempt(a)
}

// detachFromEndpoint takes an attempt out of its endpoint's load and stops its
// timers.
func (c *Core) detachFromEndpoint(a *attempt) {
	c.timers.Stop(timerKey{kind: timerOrphan, id: a.id.Sequence})
	c.timers.Stop(timerKey{kind: timerStart, id: a.id.Sequence})
	if e := c.endpoints.Get(a.endpoint); e != nil && !a.isReservation() {
		e.inFlight--
		e.removeUnreported(a.id.Sequence)
	}
}

// endAttempt deletes an attempt and returns its request, or nil if that has
// ended.
func (c *Core) endAttempt(a *attempt) *request {
	c.attempts.Delete(a.id.Sequence)
	c.detachFromEndpoint(a)
	r := c.requests.Get(a.request)
	if r != nil && r.currentAttempt == a.id.Sequence {
		r.currentAttempt = 0
	}
	return r
}

// fail ends a request without a complete answer. Its outcome is not-run only if
// every attempt is proven not to have run.
func (c *Core) fail(r *request, f failure) {
	outcome := wire.OutcomeUnknown
	if !r.mayHaveRun && (r.unresolved == 0 || c.cfg.disabled(mechanismProof)) {
		outcome = wire.OutcomeNotRun
	}
	c.closeRecord(r, outcome, nil)
	c.end(r, Answer{Outcome: outcome, Code: f.code, Detail: f.detail, RetryAfter: f.retryAfter})
}

// endSettling ends a request in phaseSettling once the outcome of all its
// attempts is known, or at its deadline.
func (c *Core) endSettling(r *request) {
	if r.unresolved > 0 && c.now < r.deadline {
		return
	}
	c.fail(r, r.failure)
}

// end answers a request and deletes it with its attempts, group and timers.
func (c *Core) end(r *request, answer Answer) {
	answer.ID = r.id
	c.dropAttempts(r)
	c.releaseGroup(r)
	c.fleet.settleLimits(r)
	c.stopTimers(r)
	c.countOutcome(answer.Outcome)
	c.emit(Output{Answer: &answer})
	c.log(Event{
		Kind: EventFinished, Request: r.in.ExternalID, Account: r.in.Account, Outcome: answer.Outcome,
		Code: answer.Code, Detail: answer.Detail, Elapsed: c.now - r.arrivedAt, TTFT: r.ttft(),
	})
	c.checkAnswer(r, answer.Outcome)
	c.requests.Delete(r.id)
}

// ttft returns the time from the arrival of a request to its first token, or 0
// if there was none.
func (r *request) ttft() time.Duration {
	if r.firstTokenAt == 0 {
		return 0
	}
	return r.firstTokenAt - r.arrivedAt
}

// dropAttempts cancels the current attempt of a request and deletes its
// abandoned ones.
func (c *Core) dropAttempts(r *request) {
	for _, sequence := range r.abandoned {
		c.attempts.Delete(sequence)
	}
	a := c.attempts.Get(r.currentAttempt)
	if a == nil {
		return
	}
	if !a.cancelSent {
		c.cancelAttempt(a)
	}
	c.endAttempt(a)
}

func (c *Core) stopTimers(r *request) {
	for _, kind := range []timerKind{timerDeadline, timerSettle, timerRetry, timerGroup} {
		c.timers.Stop(timerKey{kind: kind, id: uint64(r.id)})
	}
}

func (c *Core) countOutcome(o wire.Outcome) {
	switch o {
	case wire.OutcomeCompleted:
		c.counts.Completed++
	case wire.OutcomeNotRun:
		c.counts.NotRun++
	default:
		c.counts.Unknown++
	}
}
