package gateway

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"trefoilpath.org/trefoilpath/internal/admission"
	"trefoilpath.org/trefoilpath/internal/invariant"
	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	// placeInterval is the time between two placement attempts of waiting requests when no
	// endpoint changes: queued prefills are predicted to end without a message.
	placeInterval = 10 * time.Millisecond
	// minPlaceInterval is the shortest time between two placement attempts while requests
	// wait and no new one has come. A plan of long prompts takes a small VM about a
	// millisecond, and each message of another gateway may let one be placed.
	minPlaceInterval = 5 * time.Millisecond
	// The larger of minForceWait and forceAfterRatio times its objective is how long a late
	// request waits for an endpoint of a plain service with a free place before it is
	// queued at one without.
	forceAfterRatio = 1.5
	minForceWait    = 700 * time.Millisecond
	// minAttemptTime is the time that an attempt needs at least; with less time until its
	// deadline, a request is refused.
	minAttemptTime = 20 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the retry delay that callers are told.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// maxLimitRetryAfter bounds it if all endpoints name limits.
	maxLimitRetryAfter = 10 * time.Second
)

// enqueue lets r wait for placement in this tick or later, or ends it if no endpoint
// can ever serve it.
func (c *Core) enqueue(r *request) {
	r.phase, r.held = phaseWaiting, false
	s := c.service(r.in.Service)
	r.divisible = c.divisible(s, r)
	c.updateDemand(s, r)
	if reason := c.unservable(r); reason != ReasonNone {
		c.endUnserved(r, reason)
		return
	}
	if !slices.Contains(s.waiting, r) { // it may have waited before in this tick
		s.waiting = append(s.waiting, r)
	}
	c.placementDue, c.newWaiting = true, true
	if r.divisible {
		c.announce(r)
	}
}

// divisible reports whether several engines may prefill r's prompt: it is long, or r's
// stream is not latency-sensitive.
func (c *Core) divisible(s *service, r *request) bool {
	engine := s.engine()
	return engine != nil && (engine.PrefillTime(r.in.PromptTokens) > c.cfg.Placement.SmallPrefill || !c.latencySensitive(r))
}

// unservable returns the reason why r can't be served however long it waits, or
// ReasonNone.
func (c *Core) unservable(r *request) Reason {
	s := c.service(r.in.Service)
	if len(c.usable(s, r)) == 0 && !c.returnsInTime(s, r) {
		if c.evacuatedFor(s, r) {
			return ReasonEvacuated
		}
		return ReasonNoEndpoint
	}
	engine := s.engine()
	if engine == nil {
		return ReasonNone
	}
	capacity := func(engines int) int64 { return int64(min(engines, 1+engine.MaxHelpers)) * engine.MemoryTokens }
	switch tokens := r.in.PromptTokens + r.in.MaxOutputTokens; {
	case tokens > capacity(s.allowed(r)):
		return ReasonTooLarge
	case tokens > capacity(s.inUse(r)):
		return ReasonEvacuated
	}
	return ReasonNone
}

// placeWaiting places waiting requests, the most urgent first.
func (c *Core) placeWaiting() {
	if !c.placementDue {
		return
	}
	c.placementDue = false
	if c.leftWaiting && !c.newWaiting && c.now < c.placedAt+minPlaceInterval {
		c.timers.Set(timerKey{kind: timerPlace}, c.placedAt+minPlaceInterval)
		return
	}
	waiting := false
	for s := range c.services.Values() {
		if len(s.waiting) == 0 {
			continue
		}
		c.endUnservable(s)
		c.screenWaiting(s)
		c.demandRechecks(s)
		slices.SortStableFunc(s.waiting, c.byUrgency)
		c.placeAll(s)
		if c.demandForWaiting(s) {
			c.placeAll(s)
		}
		s.waiting = slices.DeleteFunc(s.waiting, func(r *request) bool { return r.phase != phaseWaiting })
		waiting = waiting || len(s.waiting) > 0
	}
	c.counts.Placements++
	c.leftWaiting, c.newWaiting, c.placedAt = waiting, false, c.now
	if waiting {
		c.timers.Set(timerKey{kind: timerPlace}, c.now+placeInterval)
	}
}

// placeAll tries to place each waiting request of a service.
func (c *Core) placeAll(s *service) {
	ahead := time.Duration(0) // work of the prompts that wait and are not divided
	s.waiting = slices.DeleteFunc(s.waiting, func(r *request) bool {
		if c.tryPlace(s, r) || c.refuseByDrain(s, r, ahead) {
			return true
		}
		if !r.divisible && !r.held {
			ahead += r.demand.Work
		}
		return false
	})
	s.drain.Observe(c.now, ahead > 0)
	c.placeLong(s)
}

// endUnservable ends the waiting requests of a service of which no endpoint is left that can
// serve them in time.
func (c *Core) endUnservable(s *service) {
	anyUsable := len(c.usable(s, nil)) > 0
	for _, r := range s.waiting {
		if anyUsable && r.regions == nil {
			continue
		}
		if reason := c.unservable(r); reason != ReasonNone && r.phase == phaseWaiting {
			c.endUnserved(r, reason)
		}
	}
}

// tryPlace dispatches or refuses r if possible, and reports whether r no longer waits.
func (c *Core) tryPlace(s *service, r *request) bool {
	if r.phase != phaseWaiting {
		return true
	}
	if r.in.Deadline-c.now < minAttemptTime {
		c.endUnserved(r, ReasonOverload)
		return true
	}
	if r.held {
		return false
	}
	if p, ok := c.choosePlacement(s, r, c.now-r.arrived); ok {
		c.dispatch(s, r, p)
		return true
	}
	if c.now > r.placedBefore() {
		c.endUnserved(r, ReasonOverload)
		return true
	}
	return false
}

// choosePlacement selects endpoints for r by the policy for the service's kind.
func (c *Core) choosePlacement(s *service, r *request, waited time.Duration) (placement, bool) {
	if s.engine() != nil {
		return c.placeEngine(s, r)
	}
	force := waited > max(minForceWait, time.Duration(forceAfterRatio*float64(r.in.Route.Objective)))
	return c.placePlain(s, r, force)
}

// dispatch sends r to the endpoints of p.
func (c *Core) dispatch(s *service, r *request, p placement) {
	r.phase = phaseRunning
	r.attempts++
	r.attempt = r.attempts
	r.sent, r.cancelled, r.retryTaken, r.helperFailed = false, false, false, false
	r.predictedFirstAt, r.sharesPass = c.now+p.untilFirst, p.sharesPass
	for _, e := range p.endpoints {
		if !e.accepts(c.now) {
			invariant.Fail("dispatch-only-to-accepting", "request", r.in.RequestID, "endpoint", e.registration.ID)
		}
	}
	c.checkPermitted(r)
	e := p.endpoints[0]
	limited := e.limited()
	if !c.takePermit(e) {
		invariant.Fail("dispatch-only-with-permit", "request", r.in.RequestID, "endpoint", e.registration.ID)
	}
	w := &workItem{
		key: workKey{c.cfg.Addr, rowID(r)}, phase: workPrefilling, endpoints: p.endpoints, reserved: p.reserved,
		prompt: r.in.PromptTokens, output: r.in.MaxOutputTokens, partTime: p.partTime,
		gapLimit: c.gapLimit(r), dispatchedAt: c.now, permitted: limited,
	}
	r.work = w
	c.addWork(w)
	c.outbox.workChanged(c, w)
	if !r.divisible {
		s.drain.Began(r.demand.Work)
	}
	if r.divisible {
		c.outbox.batchDue = true // other gateways' plans must not use these engines
	}
	c.counts.Dispatched++
	if r.attempt > 1 {
		c.counts.Retried++
	}
	d := &Dispatch{
		ID: r.in.ID, Attempt: r.attempt, Endpoint: e.registration.ID, Addr: e.registration.Addr,
		SilenceTimeout: c.silenceTimeout(r, p), GapTimeout: r.gapTimeout(),
	}
	for i, h := range p.endpoints[1:] {
		helper := Helper{Endpoint: h.registration.ID, Addr: h.registration.Addr}
		if p.reserved != nil && p.reserved[i+1] > 0 {
			helper.Reservation = c.reservationName(w, i+1)
			helper.Tokens = p.reserved[i+1]
		}
		d.Helpers = append(d.Helpers, helper)
	}
	c.emit(Output{Dispatch: d})
	if d.SilenceTimeout > 0 {
		c.checkSilenceAfter(r, d.SilenceTimeout)
	}
	c.logRequest("dispatch", r, Event{Endpoint: string(e.registration.ID), Took: p.untilFirst, Count: len(p.endpoints), Detail: c.dispatchDetail(r, e, p)})
}

// reservationName names the reservation at the i-th endpoint of w. It differs between
// requests, gateways and incarnations of a gateway.
func (c *Core) reservationName(w *workItem, i int) string {
	incarnation := rendezvousHash(c.cfg.Incarnation, c.addrHash)
	return strconv.FormatUint(incarnation, 36) + "-" + strconv.FormatUint(w.key.request, 36) + "-" + itoa(i)
}

// dispatchDetail returns the values that decided the placement, for the log.
func (c *Core) dispatchDetail(r *request, e *endpoint, p placement) string {
	var b strings.Builder
	if r.attempt > 1 {
		b.WriteString(c.budgetDetail(r) + " ")
	}
	if e.limited() {
		b.WriteString("limit=" + formatLimit(e.announced.permits.limit.Rate) + " ")
	}
	if e.engine == nil {
		b.WriteString("in-flight=" + itoa(len(e.workItems)))
		return b.String()
	}
	o := c.occupancy(e)
	b.WriteString("prompt=" + itoa(int(r.in.PromptTokens)) + " part=" + p.partTime.Round(time.Millisecond).String())
	b.WriteString(" queue=" + o.queuedPrefill.Round(time.Millisecond).String() + " streams=" + itoa(o.streams))
	b.WriteString(" next-pass=" + o.nextPass.Round(time.Millisecond).String() + " shared=" + o.nextPrefill.Round(time.Millisecond).String() +
		" steps=" + o.decodePass.Round(time.Millisecond).String())
	if p.streamSet > 0 {
		b.WriteString(" set=" + itoa(p.streamSet))
	}
	if r.demand.Penalty != 0 {
		b.WriteString(" later=" + r.demand.Penalty.String())
	}
	b.WriteString(" view=" + c.viewAge().Round(time.Millisecond).String())
	for _, h := range p.endpoints[1:] {
		b.WriteString(" helper=" + string(h.registration.ID))
	}
	return b.String()
}

// endUnserved ends a request that can't be served or retried, unless a silent attempt of it is
// kept that may still answer. The caller is only told that it has not run if each endpoint that
// it was sent to has proved that.
func (c *Core) endUnserved(r *request, reason Reason) {
	switch {
	case r.standby != nil:
		c.returnToStandby(r)
		r.replaceAfter = c.now + replacePause
	case r.failureHeld:
		c.finish(r, VerdictDone, reason) // passes on the endpoint's own failure answer
	case r.mayHaveRun > 0 || r.partlyDelivered:
		c.finish(r, VerdictUnknown, reason)
	default:
		c.refuse(r, reason)
	}
}

// refuse ends a request that has not run.
func (c *Core) refuse(r *request, reason Reason) {
	if r.sends != r.provenNotRun {
		invariant.Fail("refused-means-not-run", "request", r.in.RequestID, "sends", r.sends, "proofs", r.provenNotRun)
	}
	c.counts.Refused++
	retryAfter := c.retryAfter(r, reason)
	c.emit(Output{Finish: &Finish{ID: r.in.ID, Verdict: VerdictRefused, RetryAfter: retryAfter, Reason: reason}})
	s := c.service(r.in.Service)
	detail := string(reason) + " prompt=" + itoa(int(r.in.PromptTokens)) + " usable=" + itoa(len(c.usable(s, r))) +
		" registered=" + itoa(len(s.endpoints)) + " view=" + c.viewAge().Round(time.Millisecond).String()
	if reason == ReasonCrashesEngines || reason == ReasonCrashesEndpoints {
		detail += " " + c.partLabel(r.refusal.Part)
	}
	c.rememberRefusal(r, reason, retryAfter)
	c.logRequest("refuse", r, Event{Detail: detail + r.admissionDetail(c.now), Took: retryAfter, Count: len(s.waiting)})
	c.removeRequest(r)
}

// retryAfter returns when a caller may find free capacity: when the work that is queued or
// waits now has begun, with some jitter by the request's ID.
func (c *Core) retryAfter(r *request, reason Reason) time.Duration {
	if reason == ReasonCrashesEngines || reason == ReasonCrashesEndpoints {
		return max(r.refusal.RetryAfter, minRetryAfter)
	}
	jitter := time.Duration(uint64(r.in.ID)%8) * minRetryAfter / 8
	if reason == ReasonExit { // other gateways serve the callers
		return minRetryAfter + jitter
	}
	s := c.service(r.in.Service)
	after, most := minRetryAfter, maxRetryAfter
	if r.verdict.Refused { // told later, it would come back too late for its objective
		after += r.verdict.RetryAfter
		most = max(most, r.in.Deadline-c.now-r.in.Route.Objective)
	} else if begins := c.capacity(s).Begins(c.waitingWork(s)); begins != admission.Unknown {
		after += begins
	}
	if reason == ReasonNoEndpoint {
		after += minRetryAfter // an endpoint must register or return first
	}
	if reason == ReasonLimit {
		after = max(r.permitWait, minRetryAfter)
		return min(after+after*time.Duration(uint64(r.in.ID)%8)/8, maxLimitRetryAfter)
	}
	if until, ok := c.earliestReturn(s, r); ok && len(c.usable(s, r)) == 0 {
		after = max(after, until-c.now)
	}
	if reason == ReasonEvacuated {
		return maxRetryAfter // the operator must return a failure domain first
	}
	return min(after+jitter, most)
}

// removeRequest removes a request that has ended.
func (c *Core) removeRequest(r *request) {
	c.removeStandby(r)
	if r.work != nil {
		c.endWork(r)
	} else if r.divisible {
		c.outbox.waitEnded(c, r)
	}
	r.phase = 0 // neither waiting nor running
	c.timers.Stop(timerKey{kind: timerDeadline, request: r.in.ID})
	c.timers.Stop(timerKey{kind: timerSilence, request: r.in.ID})
	c.requests.Delete(r.in.ID)
}

// endWork removes the work item of r's current attempt.
func (c *Core) endWork(r *request) {
	w := r.work
	r.work = nil
	c.endWorkItem(w)
}

// endWorkItem removes a work item of this gateway.
func (c *Core) endWorkItem(w *workItem) {
	c.removeWork(w)
	c.outbox.workEnded(c, w)
	if e := w.answering(); e.unregistered && !c.ownWork(e) {
		c.removeEndpoint(e)
	}
}

// ownWork reports whether e runs work of this gateway.
func (c *Core) ownWork(e *endpoint) bool {
	return slices.ContainsFunc(e.workItems, func(w *workItem) bool { return w.key.gateway == c.cfg.Addr })
}

// usable returns the endpoints of s that r, or any request if r is nil, may be sent to:
// those in the own cell that accept requests, are not ejected, and are neither outside r's
// regions nor among those that r avoids. If there are none, or all of them name a limit, it
// returns those of other cells too, and if there are none either, ejected ones.
func (c *Core) usable(s *service, r *request) []*endpoint {
	var healthy, otherCells, ejected []*endpoint
	for _, e := range s.endpoints {
		if !e.accepts(c.now) || r != nil && !r.mayGoTo(e) {
			continue
		}
		if e.health.ejected(c.now) {
			ejected = append(ejected, e)
			continue
		}
		if !e.inCell {
			otherCells = append(otherCells, e)
			continue
		}
		healthy = append(healthy, e)
	}
	if c.limitsKnown && !slices.ContainsFunc(healthy, func(e *endpoint) bool { return !e.limited() }) {
		healthy = append(healthy, otherCells...)
	}
	if len(healthy) > 0 {
		return healthy
	}
	if len(otherCells) > 0 {
		return otherCells
	}
	return ejected
}

// avoids reports whether an endpoint gets no further attempt of r.
func (r *request) avoids(id wire.EndpointID) bool { return slices.Contains(r.avoid, id) }

// avoidEndpoint excludes an endpoint from further attempts of r.
func (r *request) avoidEndpoint(id wire.EndpointID) {
	if !r.avoids(id) {
		r.avoid = append(r.avoid, id)
	}
}
