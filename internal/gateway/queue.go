package gateway

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"trefoilpath.org/trefoilpath/internal/invariant"
	"trefoilpath.org/trefoilpath/internal/route"
	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	// placeInterval is how often waiting requests are looked at without a change
	// at an endpoint; predicted reads end without a message.
	placeInterval = 10 * time.Millisecond
	// forceAfter is the part of its objective, and forceLeast the least time,
	// that a late request waits for an endpoint of a plain service with a free place
	// before it is queued at one.
	forceAfter = 1.5
	forceLeast = 700 * time.Millisecond
	// leastTime is what an attempt needs at least; with less time left a request
	// is refused rather than sent.
	leastTime = 20 * time.Millisecond
	// retryAfterLeast and retryAfterMost bound what callers are told to wait.
	retryAfterLeast = 100 * time.Millisecond
	retryAfterMost  = 2 * time.Second
	// sendLimitWait is the part of the time that a request may wait before it is
	// refused, so that its caller has time to come back.
	sendLimitWait = 0.4
)

// enqueue places r, or lets it wait.
func (c *Core) enqueue(r *request) {
	r.phase = phaseWaiting
	if reason := c.unservable(r); reason != ReasonNone {
		c.giveUp(r, reason)
		return
	}
	s := c.service(r.in.Service)
	r.handicap = s.handicap(r)
	s.waiting = append(s.waiting, r)
	c.place = true
	if r.divided = c.divisible(s, r); r.divided {
		c.announce(r)
	}
}

// divisible reports whether r's prompt is long enough to be read by several engines.
func (c *Core) divisible(s *service, r *request) bool {
	engine := s.engine()
	return engine != nil && (engine.Read(r.in.Prompt) > c.cfg.Place.SmallRead || !c.tight(r))
}

// unservable says why r can't be served however long it waits.
func (c *Core) unservable(r *request) Reason {
	s := c.service(r.in.Service)
	if len(c.usable(s, r)) == 0 {
		return ReasonNoEndpoint
	}
	engine := s.engine()
	if engine == nil {
		return ReasonNone
	}
	group := min(int64(len(s.endpoints)), int64(1+engine.MaxHelpers))
	if r.in.Prompt+r.in.Output > group*engine.MemoryTokens {
		return ReasonTooLarge
	}
	return ReasonNone
}

// placeWaiting places what waits, the most urgent first.
func (c *Core) placeWaiting() {
	if !c.place {
		return
	}
	c.place = false
	waiting := false
	for s := range c.services.Values() {
		if len(s.waiting) == 0 {
			continue
		}
		slices.SortStableFunc(s.waiting, c.byUrgency)
		s.waiting = slices.DeleteFunc(s.waiting, func(r *request) bool { return c.tryPlace(s, r) })
		c.placeLong(s)
		s.waiting = slices.DeleteFunc(s.waiting, func(r *request) bool { return r.phase != phaseWaiting })
		waiting = waiting || len(s.waiting) > 0
	}
	if waiting {
		c.timers.Set(timerKey{kind: timerPlace}, c.now+placeInterval)
	}
}

// tryPlace reports whether r waits no longer.
func (c *Core) tryPlace(s *service, r *request) bool {
	if r.phase != phaseWaiting {
		return true
	}
	left := r.in.Deadline - c.now
	if left < leastTime {
		c.giveUp(r, ReasonOverload)
		return true
	}
	waited := c.now - r.arrived
	if p, ok := c.choose(s, r, waited); ok {
		c.dispatch(s, r, p)
		return true
	}
	if r.attempt == 0 && waited > time.Duration(sendLimitWait*float64(r.in.Deadline-r.arrived)) {
		c.giveUp(r, ReasonOverload)
		return true
	}
	return false
}

// choose picks the policy of the service.
func (c *Core) choose(s *service, r *request, waited time.Duration) (placement, bool) {
	if s.engine() != nil {
		return c.placeEngine(s, r)
	}
	force := waited > max(forceLeast, time.Duration(forceAfter*float64(r.in.Route.Objective)))
	return c.placePlain(s, r, force)
}

// dispatch sends r to the endpoints of p.
func (c *Core) dispatch(s *service, r *request, p placement) {
	r.phase = phaseRunning
	r.attempt++
	r.sent, r.cancelled = false, false
	r.predicted = c.now + p.first
	e := p.at[0]
	w := &work{
		key: workKey{c.cfg.Addr, rowID(r)}, phase: workReading, at: p.at, held: p.held,
		prompt: r.in.Prompt, output: r.in.Output, part: p.part,
		pause: c.pauseOf(r), sent: c.now,
	}
	r.work = w
	c.addWork(w)
	c.share.touched(c, w)
	c.counts.Dispatched++
	if r.attempt > 1 {
		c.counts.Retried++
	}
	d := &Dispatch{
		ID: r.in.ID, Attempt: r.attempt, Endpoint: e.reg.ID, Addr: e.reg.Addr,
		Silence: c.silence(r, p),
	}
	for i, h := range p.at[1:] {
		helper := Helper{Endpoint: h.reg.ID, Addr: h.reg.Addr}
		if p.held != nil && p.held[i+1] > 0 {
			helper.Ticket = c.ticket(w, i+1)
			helper.Tokens = p.held[i+1]
		}
		d.Helpers = append(d.Helpers, helper)
	}
	c.emit(Output{Dispatch: d})
	if d.Silence > 0 {
		c.timers.Set(timerKey{kind: timerSilence, request: r.in.ID}, c.now+d.Silence)
	}
	c.logRequest("dispatch", r, Event{Endpoint: string(e.reg.ID), Took: p.first, Count: len(p.at), Detail: c.dispatchDetail(r, e, p)})
}

// ticket names the reservation of the i-th endpoint of a work: for one request,
// in one life of one gateway.
func (c *Core) ticket(w *work, i int) string {
	life := pairRank(c.cfg.Incarnation, c.rankHash)
	return strconv.FormatUint(life, 36) + "-" + strconv.FormatUint(w.key.request, 36) + "-" + itoa(i)
}

// dispatchDetail names what decided the placing.
func (c *Core) dispatchDetail(r *request, e *endpoint, p placement) string {
	if e.engine == nil {
		return "in-flight=" + itoa(len(e.works))
	}
	o := c.occupancy(e)
	var b strings.Builder
	b.WriteString("prompt=" + itoa(int(r.in.Prompt)) + " part=" + p.part.Round(time.Millisecond).String())
	b.WriteString(" queue=" + o.queue.Round(time.Millisecond).String() + " streams=" + itoa(o.streams))
	if r.handicap > 0 {
		b.WriteString(" later=" + r.handicap.String())
	}
	b.WriteString(" view=" + c.viewAge().Round(time.Millisecond).String())
	for _, h := range p.at[1:] {
		b.WriteString(" helper=" + string(h.reg.ID))
	}
	return b.String()
}

// silence returns how long the endpoint may take to begin its answer. Only a
// request that may run again is given up early.
func (c *Core) silence(r *request, p placement) time.Duration {
	if !r.in.Route.Idempotent() || r.sends+1 >= r.in.Route.Attempts {
		return 0
	}
	if r.in.Route.Kind == route.KindStream {
		return silenceLeast + 2*p.first
	}
	return min(2*r.in.Route.Objective, (r.in.Deadline-c.now)/2)
}

// silenceLeast is the shortest silence of an engine that is taken as a failure.
const silenceLeast = 1200 * time.Millisecond

// giveUp ends a request that can't be served, or not again. It is only told to
// have not run if that is proved for each of its attempts.
func (c *Core) giveUp(r *request, reason Reason) {
	switch {
	case r.held:
		c.finish(r, VerdictDone, reason) // the endpoint's own failure
	case r.unproven > 0 || r.resume:
		c.finish(r, VerdictUnknown, reason)
	default:
		c.refuse(r, reason)
	}
}

// refuse ends a request that has not run.
func (c *Core) refuse(r *request, reason Reason) {
	if r.sends != r.proofs {
		invariant.Fail("refused-means-not-run", "request", r.in.RequestID, "sends", r.sends, "proofs", r.proofs)
	}
	c.counts.Refused++
	after := c.retryAfter(r, reason)
	c.emit(Output{Finish: &Finish{ID: r.in.ID, Verdict: VerdictRefused, RetryAfter: after, Reason: reason}})
	s := c.service(r.in.Service)
	detail := string(reason) + " prompt=" + itoa(int(r.in.Prompt)) + " usable=" + itoa(len(c.usable(s, r))) +
		" registered=" + itoa(len(s.endpoints)) + " view=" + c.viewAge().Round(time.Millisecond).String()
	c.logRequest("refuse", r, Event{Detail: detail, Took: after, Count: len(s.waiting)})
	c.drop(r)
}

// retryAfter returns when a caller may find room: when the reads that wait now
// are done, spread by the request's ID.
func (c *Core) retryAfter(r *request, reason Reason) time.Duration {
	s := c.service(r.in.Service)
	backlog := time.Duration(0)
	n := 0
	for _, e := range s.endpoints {
		if e.engine == nil || !e.near {
			continue
		}
		n++
		backlog += c.occupancy(e).queue
	}
	if engine := s.engine(); engine != nil {
		for _, w := range s.waiting {
			backlog += engine.Read(w.in.Prompt)
		}
	}
	after := retryAfterLeast
	if n > 0 {
		after += backlog / time.Duration(n)
	}
	if reason == ReasonNoEndpoint {
		after += retryAfterLeast
	}
	spread := time.Duration(uint64(r.in.ID)%8) * retryAfterLeast / 8
	return min(after+spread, retryAfterMost)
}

// drop removes a request that has its verdict.
func (c *Core) drop(r *request) {
	r.phase = 0
	if r.work != nil {
		c.endWork(r)
	} else if r.divided {
		c.share.endedRequest(c, r)
	}
	c.timers.Stop(timerKey{kind: timerDeadline, request: r.in.ID})
	c.timers.Stop(timerKey{kind: timerSilence, request: r.in.ID})
	c.requests.Delete(r.in.ID)
}

// endWork ends the work of the current attempt.
func (c *Core) endWork(r *request) {
	w := r.work
	r.work = nil
	c.removeWork(w)
	c.share.ended(c, w)
	if e := w.answering(); e.gone && !c.ownWork(e) {
		c.forget(e)
	}
}

func (c *Core) ownWork(e *endpoint) bool {
	return slices.ContainsFunc(e.works, func(w *work) bool { return w.key.gateway == c.cfg.Addr })
}

// usable returns the endpoints of s that may be given r, or any request if r is
// nil: of the own cell, registered, not leaving, not ejected, and not one that r has
// tried. Without any, those of other cells are better than none, and then those that
// have been ejected.
func (c *Core) usable(s *service, r *request) []*endpoint {
	var healthy, far, ejected []*endpoint
	for _, e := range s.endpoints {
		if e.gone || e.reg.Leaving || r != nil && slices.Contains(r.avoid, e.reg.ID) {
			continue
		}
		if e.health.ejected(c.now) {
			ejected = append(ejected, e)
			continue
		}
		if !e.near {
			far = append(far, e)
			continue
		}
		healthy = append(healthy, e)
	}
	if len(healthy) > 0 {
		return healthy
	}
	if len(far) > 0 {
		return far
	}
	return ejected
}

// avoidFor keeps r away from an endpoint.
func (r *request) avoidFor(id wire.EndpointID) {
	if !slices.Contains(r.avoid, id) {
		r.avoid = append(r.avoid, id)
	}
}
