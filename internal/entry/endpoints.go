package entry

import (
	"slices"
	"time"

	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	// minReportTimeout is the shortest time without a report after which an
	// endpoint gets no new work.
	minReportTimeout = 15 * time.Second
	// maxReturningInFlight is the limit of attempts at once above which an
	// endpoint that returns from ejection counts as good again.
	maxReturningInFlight = 16
	// maxTTFTRatio is the moving ratio of TTFT to its prediction above which an
	// endpoint counts as slow. A TTFT of at most minSlowTTFT never ejects it.
	// ttftRatioSmoothing is the weight of a new sample in the ratio.
	maxTTFTRatio       = 8.0
	minSlowTTFT        = time.Second
	ttftRatioSmoothing = 0.2
	// predictionOffset is added to each predicted TTFT, so that noise in short
	// ones does not dominate the ratio.
	predictionOffset = 100 * time.Millisecond
	// maxEjectShift bounds how often EjectFor is doubled, so that the pause does
	// not overflow.
	maxEjectShift = 16
)

// agentUp handles a new agent stream. Attempts that the agent still runs go on;
// others that were sent to it are given StreamGrace for their outcome to
// arrive, or none if the agent has restarted.
func (c *Core) agentUp(h wire.Hello) {
	e := c.endpoints.Get(h.Endpoint)
	if e == nil {
		e = c.endpoints.Put(h.Endpoint, endpoint{id: h.Endpoint})
	}
	restarted := e.hello.Incarnation != 0 && e.hello.Incarnation != h.Incarnation
	if h.Incarnation < e.hello.Incarnation {
		return
	}
	c.unindexEndpoint(e)
	e.hello, e.report, e.up, e.leaving = h, wire.Report{Have: h.Have}, true, h.Leaving
	e.unreported, e.unreportedTokens, e.unreportedMemory = e.unreported[:0], [wire.BandCount]int64{}, 0
	e.prefixes.reset()
	c.indexEndpoint(e)
	c.restartReportTimer(e)
	c.send(e.id, wire.ToAgent{Welcome: &wire.Welcome{
		Entry: c.cfg.Self, Incarnation: c.cfg.Incarnation, Revision: c.revision(), FirstAttempt: c.lastAttempt + 1,
	}})
	c.log(Event{Kind: EventEndpointUp, Endpoint: e.id})
	c.reconcileAttempts(e, restarted)
	c.fleet.endpointsChanged = true
	c.wakeWaiting(e)
}

// reconcileAttempts compares the attempts at an endpoint with those that its
// agent lists as live. It cancels those unknown here, and marks as orphaned
// those that the agent does not list.
func (c *Core) reconcileAttempts(e *endpoint, restarted bool) {
	for _, id := range e.hello.RunningAttempts {
		if a := c.attemptOf(id); a == nil || a.endpoint != e.id {
			c.send(e.id, wire.ToAgent{Cancel: &wire.Cancel{Attempt: id}})
		}
	}
	c.eachAttemptAt(e.id, func(a *attempt) {
		switch {
		case slices.Contains(e.hello.RunningAttempts, a.id):
			a.orphaned, a.disowned = false, false
			c.timers.Stop(timerKey{kind: timerOrphan, id: a.id.Sequence})
		case restarted:
			a.orphaned, a.disowned = true, true
			c.timers.Set(timerKey{kind: timerOrphan, id: a.id.Sequence}, c.now)
		default:
			a.orphaned, a.disowned = true, true
			c.timers.Set(timerKey{kind: timerOrphan, id: a.id.Sequence}, c.now+c.cfg.StreamGrace)
		}
	})
}

// eachAttemptAt calls f for each attempt at an endpoint that is not abandoned.
func (c *Core) eachAttemptAt(id wire.EndpointID, f func(*attempt)) {
	c.attempts.Each(func(_ uint64, a *attempt) bool {
		if a.endpoint == id && !a.abandoned {
			f(a)
		}
		return true
	})
}

// agentDown gives the attempts at an endpoint StreamGrace for its agent's
// stream to return.
func (c *Core) agentDown(d *AgentDown) {
	e := c.endpoints.Get(d.Endpoint)
	if e == nil || !e.up || e.hello.Incarnation != d.Incarnation {
		return
	}
	e.up = false
	c.fleet.endpointsChanged = true
	c.unindexEndpoint(e)
	c.timers.Stop(timerKey{kind: timerReport, endpoint: e.id})
	c.log(Event{Kind: EventEndpointDown, Endpoint: e.id})
	c.eachAttemptAt(e.id, func(a *attempt) {
		a.orphaned = true
		c.timers.Set(timerKey{kind: timerOrphan, id: a.id.Sequence}, c.now+c.cfg.StreamGrace)
	})
}

// restartReportTimer notes the time of a hello or report and restarts the
// report timeout.
func (c *Core) restartReportTimer(e *endpoint) {
	e.lastReportAt = c.now
	c.timers.Set(timerKey{kind: timerReport, endpoint: e.id}, c.now+c.reportTimeout)
}

// reportOverdue takes the attempts at an endpoint for silent whose agent has stopped
// reporting although its stream has not failed, as when its VM has vanished.
func (c *Core) reportOverdue(e *endpoint) {
	if e == nil || !e.up {
		return
	}
	c.log(Event{Kind: EventEndpointOutOfService, Endpoint: e.id, Detail: "no report"})
	c.eachAttemptAt(e.id, func(a *attempt) {
		a.orphaned = true
		c.timers.Set(timerKey{kind: timerOrphan, id: a.id.Sequence}, c.now)
	})
}

// reportArrived replaces the known load and state of an endpoint by a newer
// report.
func (c *Core) reportArrived(e *endpoint, rep wire.Report) {
	if rep.Sequence <= e.report.Sequence {
		return
	}
	modelChanged := rep.Have.Model != e.report.Have.Model
	if modelChanged || rep.Loading != e.report.Loading || rep.Failing != e.report.Failing || rep.Leaving != e.report.Leaving {
		c.fleet.endpointsChanged = true
	}
	if modelChanged {
		c.unindexEndpoint(e)
	}
	e.report = rep
	e.leaving = e.leaving || rep.Leaving
	if modelChanged {
		c.indexEndpoint(e)
	}
	e.pruneUnreported(rep.LastAttempt)
	c.restartReportTimer(e)
	c.wakeWaiting(e)
}

// usable reports whether an endpoint may get new work.
func (c *Core) usable(e *endpoint) bool {
	if !e.up || e.report.Failing || e.report.Loading {
		return false
	}
	if e.leaving && !c.cfg.disabled(mechanismLeaving) {
		return false
	}
	if c.now-e.lastReportAt > c.reportTimeout {
		return false
	}
	switch e.health {
	case healthEjected:
		return false
	case healthReturning:
		return e.inFlight < e.maxInFlight
	}
	return true
}

// indexEndpoint adds an endpoint to the list of the model or service that it
// serves.
func (c *Core) indexEndpoint(e *endpoint) {
	if e.hello.Kind == wire.KindService {
		s := c.services.Get(e.hello.Service)
		if s == nil {
			s = c.services.Put(e.hello.Service, serviceState{name: e.hello.Service})
		}
		s.endpoints = append(s.endpoints, e)
		return
	}
	name := e.report.Have.Model
	if name == "" {
		return
	}
	m := c.models.Get(name)
	if m == nil {
		m = c.models.Put(name, modelState{name: name})
	}
	m.endpoints = append(m.endpoints, e)
	m.maxCapacity = max(m.maxCapacity, e.hello.Capacity)
}

// unindexEndpoint removes an endpoint from the list of its model or service.
func (c *Core) unindexEndpoint(e *endpoint) {
	if e.hello.Kind == wire.KindService {
		if s := c.services.Get(e.hello.Service); s != nil {
			s.endpoints = removeEndpoint(s.endpoints, e)
		}
		return
	}
	if m := c.models.Get(e.report.Have.Model); m != nil {
		m.endpoints = removeEndpoint(m.endpoints, e)
	}
}

func removeEndpoint(list []*endpoint, e *endpoint) []*endpoint {
	return slices.DeleteFunc(list, func(x *endpoint) bool { return x == e })
}

// wakeWaiting routes requests that wait for the model or service of an
// endpoint, if the endpoint is usable.
func (c *Core) wakeWaiting(e *endpoint) {
	if !c.usable(e) {
		return
	}
	if e.hello.Kind == wire.KindService {
		if s := c.services.Get(e.hello.Service); s != nil && len(s.waiting) > 0 {
			c.wakeOldest(&s.waiting)
		}
		return
	}
	if m := c.models.Get(e.report.Have.Model); m != nil && len(m.waiting) > 0 {
		c.wakeOldest(&m.waiting)
	}
}

// addUnreported counts an attempt that the endpoint's reports do not include
// yet. Tokens is its prefill; memory is in KV cache tokens.
func (e *endpoint) addUnreported(a *attempt, tokens, memory int64) {
	e.unreported = append(e.unreported, unreportedAttempt{a.id.Sequence, a.band, tokens, memory})
	e.unreportedTokens[a.band] += tokens
	e.unreportedMemory += memory
}

// pruneUnreported drops the attempts that a report includes: those up to
// sequence last.
func (e *endpoint) pruneUnreported(last uint64) {
	kept := e.unreported[:0]
	for _, s := range e.unreported {
		if s.sequence > last {
			kept = append(kept, s)
			continue
		}
		e.unreportedTokens[s.band] -= s.uncachedTokens
		e.unreportedMemory -= s.memory
	}
	e.unreported = kept
}

// removeUnreported drops one attempt that has ended.
func (e *endpoint) removeUnreported(sequence uint64) {
	for i, s := range e.unreported {
		if s.sequence != sequence {
			continue
		}
		e.unreportedTokens[s.band] -= s.uncachedTokens
		e.unreportedMemory -= s.memory
		e.unreported = append(e.unreported[:i], e.unreported[i+1:]...)
		return
	}
}

// recordSuccess resets an endpoint's failure count. It doubles the limit of
// attempts at once of a returning endpoint, until that counts as good again.
func (c *Core) recordSuccess(e *endpoint) {
	e.failures = 0
	if e.health != healthReturning {
		return
	}
	e.maxInFlight *= 2
	if e.maxInFlight > maxReturningInFlight {
		e.health = healthGood
		e.ejections = 0
		c.log(Event{Kind: EventEndpointReturned, Endpoint: e.id})
	}
}

// recordFailure counts a failure. It ejects an endpoint after EjectAfter
// consecutive failures, a returning one at once.
func (c *Core) recordFailure(e *endpoint) {
	e.failures++
	if e.failures >= c.cfg.EjectAfter || e.health == healthReturning {
		c.eject(e, "consecutive failures")
	}
}

// observeTTFT ejects an endpoint whose first tokens are far slower than
// predicted from its reports.
func (c *Core) observeTTFT(a *attempt) {
	e := c.endpoints.Get(a.endpoint)
	if e == nil || a.sliceIndex >= 0 {
		return
	}
	took := c.now - a.sentAt
	ratio := float64(took) / float64(a.predictedTTFT+predictionOffset)
	e.ttftRatio += (ratio - e.ttftRatio) * ttftRatioSmoothing
	if e.ttftRatio > maxTTFTRatio && took > minSlowTTFT && c.mostOthersUsable(e) {
		e.ttftRatio = 1
		c.eject(e, "slow first tokens")
	}
}

// mostOthersUsable reports whether more than half of the endpoints of e's model
// are others that are usable and whose ttftRatio is below maxTTFTRatio/2, so
// that overload is not taken for a slow endpoint.
func (c *Core) mostOthersUsable(e *endpoint) bool {
	m := c.models.Get(e.report.Have.Model)
	if m == nil {
		return false
	}
	usable := 0
	for _, other := range m.endpoints {
		if other != e && c.usable(other) && other.ttftRatio < maxTTFTRatio/2 {
			usable++
		}
	}
	return usable*2 > len(m.endpoints)
}

// eject stops new work for an endpoint. The pause doubles with each consecutive
// ejection.
func (c *Core) eject(e *endpoint, reason string) {
	if e.health == healthEjected {
		return
	}
	e.health = healthEjected
	e.failures = 0
	pause := min(c.cfg.EjectFor<<min(e.ejections, maxEjectShift), c.cfg.MaxEjectFor)
	e.ejections++
	c.timers.Set(timerKey{kind: timerEject, endpoint: e.id}, c.now+c.jitter(pause))
	c.log(Event{Kind: EventEndpointOutOfService, Endpoint: e.id, Detail: reason})
}

// endEjection gives an ejected endpoint work again, at first one attempt at a
// time.
func (c *Core) endEjection(e *endpoint) {
	if e == nil || e.health != healthEjected {
		return
	}
	e.health = healthReturning
	e.maxInFlight = 1
	c.wakeWaiting(e)
}
