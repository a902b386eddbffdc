package entry

import (
	"slices"
	"time"

	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	// silentAfter is the shortest time without a report after which an endpoint
	// gets no new work.
	silentAfter = 15 * time.Second
	// maxReturning is the number of attempts at once with which a returning
	// endpoint counts as good again.
	maxReturning = 16
	// slowRatio is the ratio of first-token time to its prediction above which an
	// endpoint counts as slow, and slowFloor the time below which it never does.
	slowRatio     = 8.0
	slowFloor     = time.Second
	slowSmoothing = 0.2
	// predictionFloor keeps short predictions from making a ratio of noise.
	predictionFloor = 100 * time.Millisecond
)

// agentUp takes a new stream. Attempts that the agent still runs go on; others
// that were sent to it get a moment for their outcome to arrive.
func (c *Core) agentUp(h wire.Hello) {
	e := c.endpoints.Get(h.Endpoint)
	if e == nil {
		e = c.endpoints.Put(h.Endpoint, endpoint{id: h.Endpoint})
	}
	restarted := e.hello.Incarnation != 0 && e.hello.Incarnation != h.Incarnation
	if h.Incarnation < e.hello.Incarnation {
		return
	}
	c.unlist(e)
	e.hello, e.report, e.up, e.leaving = h, wire.Report{Have: h.Have}, true, h.Leaving
	e.recent, e.ahead, e.recentKV = e.recent[:0], [wire.BandCount]int64{}, 0
	e.prefixes.reset()
	c.list(e)
	c.heardFrom(e)
	c.send(e.id, wire.ToAgent{Welcome: &wire.Welcome{
		Entry: c.cfg.Self, Incarnation: c.cfg.Incarnation, Revision: c.revision(), FirstAttempt: c.sequence + 1,
	}})
	c.log(Event{Kind: EventEndpointUp, Endpoint: e.id})
	c.matchLive(e, restarted)
	c.fleet.changed = true
	c.wakeFor(e)
}

// matchLive compares the attempts at an endpoint with what its agent says.
func (c *Core) matchLive(e *endpoint, restarted bool) {
	for _, id := range e.hello.Live {
		if a := c.attemptOf(id); a == nil || a.endpoint != e.id {
			c.send(e.id, wire.ToAgent{Cancel: &wire.Cancel{Attempt: id}})
		}
	}
	c.eachAttemptAt(e.id, func(a *attempt) {
		switch {
		case slices.Contains(e.hello.Live, a.id):
			a.orphan = false
			c.timers.Stop(timerKey{kind: timerOrphan, id: a.id.Sequence})
		case restarted:
			a.orphan = true
			c.timers.Set(timerKey{kind: timerOrphan, id: a.id.Sequence}, c.now)
		default:
			a.orphan = true
			c.timers.Set(timerKey{kind: timerOrphan, id: a.id.Sequence}, c.now+c.cfg.StreamGrace)
		}
	})
}

func (c *Core) eachAttemptAt(id wire.EndpointID, f func(*attempt)) {
	c.attempts.Each(func(_ uint64, a *attempt) bool {
		if a.endpoint == id && !a.abandoned {
			f(a)
		}
		return true
	})
}

// agentDown gives the attempts at an endpoint a grace for the stream to return.
func (c *Core) agentDown(d *AgentDown) {
	e := c.endpoints.Get(d.Endpoint)
	if e == nil || !e.up || e.hello.Incarnation != d.Incarnation {
		return
	}
	e.up = false
	c.fleet.changed = true
	c.unlist(e)
	c.timers.Stop(timerKey{kind: timerSilent, endpoint: e.id})
	c.log(Event{Kind: EventEndpointGone, Endpoint: e.id})
	c.eachAttemptAt(e.id, func(a *attempt) {
		a.orphan = true
		c.timers.Set(timerKey{kind: timerOrphan, id: a.id.Sequence}, c.now+c.cfg.StreamGrace)
	})
}

// heardFrom restarts the timer for silence.
func (c *Core) heardFrom(e *endpoint) {
	e.reported = c.now
	c.timers.Set(timerKey{kind: timerSilent, endpoint: e.id}, c.now+c.silent)
}

// endpointSilent gives up the attempts at an endpoint whose agent has stopped
// reporting although its stream has not failed, as when its VM has vanished.
func (c *Core) endpointSilent(e *endpoint) {
	if e == nil || !e.up {
		return
	}
	c.log(Event{Kind: EventEndpointOut, Endpoint: e.id, Detail: "no report"})
	c.eachAttemptAt(e.id, func(a *attempt) {
		a.orphan = true
		c.timers.Set(timerKey{kind: timerOrphan, id: a.id.Sequence}, c.now)
	})
}

// reportArrived replaces what is known of an endpoint's load.
func (c *Core) reportArrived(e *endpoint, rep wire.Report) {
	if rep.Sequence <= e.report.Sequence {
		return
	}
	moved := rep.Have.Model != e.report.Have.Model
	if moved || rep.Loading != e.report.Loading || rep.Failing != e.report.Failing || rep.Leaving != e.report.Leaving {
		c.fleet.changed = true
	}
	if moved {
		c.unlist(e)
	}
	e.report = rep
	e.leaving = e.leaving || rep.Leaving
	if moved {
		c.list(e)
	}
	e.forgetRecent(rep.LastAttempt)
	c.heardFrom(e)
	c.wakeFor(e)
}

// usable reports whether an endpoint may get new work.
func (c *Core) usable(e *endpoint) bool {
	if !e.up || e.report.Failing || e.report.Loading {
		return false
	}
	if e.leaving && !c.cfg.lacks(withoutLeaving) {
		return false
	}
	if c.now-e.reported > c.silent {
		return false
	}
	switch e.health {
	case healthEjected:
		return false
	case healthReturned:
		return e.inFlight < e.allowed
	}
	return true
}

// list enters an endpoint under the model or service that it serves.
func (c *Core) list(e *endpoint) {
	if e.hello.Kind == wire.KindService {
		s := c.services.Get(e.hello.Service)
		if s == nil {
			s = c.services.Put(e.hello.Service, serviceRow{name: e.hello.Service})
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
		m = c.models.Put(name, modelRow{name: name})
	}
	m.endpoints = append(m.endpoints, e)
	m.capacity = max(m.capacity, e.hello.Capacity)
}

// unlist takes an endpoint out of the model or service that it served.
func (c *Core) unlist(e *endpoint) {
	if e.hello.Kind == wire.KindService {
		if s := c.services.Get(e.hello.Service); s != nil {
			s.endpoints = without(s.endpoints, e)
		}
		return
	}
	if m := c.models.Get(e.report.Have.Model); m != nil {
		m.endpoints = without(m.endpoints, e)
	}
}

func without(list []*endpoint, e *endpoint) []*endpoint {
	return slices.DeleteFunc(list, func(x *endpoint) bool { return x == e })
}

// wakeFor routes requests that wait for what an endpoint serves.
func (c *Core) wakeFor(e *endpoint) {
	if !c.usable(e) {
		return
	}
	if e.hello.Kind == wire.KindService {
		if s := c.services.Get(e.hello.Service); s != nil && len(s.waiting) > 0 {
			c.wake(&s.waiting)
		}
		return
	}
	if m := c.models.Get(e.report.Have.Model); m != nil && len(m.waiting) > 0 {
		c.wake(&m.waiting)
	}
}

// noteSent counts an attempt that the endpoint's reports do not include yet.
func (e *endpoint) noteSent(a *attempt, tokens, memory int64) {
	e.recent = append(e.recent, recent{a.id.Sequence, a.band, tokens, memory})
	e.ahead[a.band] += tokens
	e.recentKV += memory
}

// forgetRecent drops the attempts that a report includes.
func (e *endpoint) forgetRecent(last uint64) {
	kept := e.recent[:0]
	for _, s := range e.recent {
		if s.sequence > last {
			kept = append(kept, s)
			continue
		}
		e.ahead[s.band] -= s.tokens
		e.recentKV -= s.memory
	}
	e.recent = kept
}

// dropRecent drops one attempt that has ended.
func (e *endpoint) dropRecent(sequence uint64) {
	for i, s := range e.recent {
		if s.sequence != sequence {
			continue
		}
		e.ahead[s.band] -= s.tokens
		e.recentKV -= s.memory
		e.recent = append(e.recent[:i], e.recent[i+1:]...)
		return
	}
}

// succeeded counts towards the return of an endpoint.
func (c *Core) succeeded(e *endpoint) {
	e.failures = 0
	if e.health != healthReturned {
		return
	}
	e.allowed *= 2
	if e.allowed > maxReturning {
		e.health = healthGood
		e.ejections = 0
		c.log(Event{Kind: EventEndpointIn, Endpoint: e.id})
	}
}

// endpointFailed counts a failure and ejects an endpoint that fails repeatedly.
func (c *Core) endpointFailed(e *endpoint) {
	e.failures++
	if e.failures >= c.cfg.EjectAfter || e.health == healthReturned {
		c.eject(e, "consecutive failures")
	}
}

// observeFirstToken ejects an endpoint that is far slower than it reports.
func (c *Core) observeFirstToken(a *attempt) {
	e := c.endpoints.Get(a.endpoint)
	if e == nil || a.slice >= 0 {
		return
	}
	took := c.now - a.sent
	ratio := float64(took) / float64(a.predicted+predictionFloor)
	e.slow += (ratio - e.slow) * slowSmoothing
	if e.slow > slowRatio && took > slowFloor && c.canSpare(e) {
		e.slow = 1
		c.eject(e, "slow first tokens")
	}
}

// canSpare reports whether most other endpoints of the same model are usable, so
// that overload is not taken for a slow endpoint.
func (c *Core) canSpare(e *endpoint) bool {
	m := c.models.Get(e.report.Have.Model)
	if m == nil {
		return false
	}
	usable := 0
	for _, other := range m.endpoints {
		if other != e && c.usable(other) && other.slow < slowRatio/2 {
			usable++
		}
	}
	return usable*2 > len(m.endpoints)
}

func (c *Core) eject(e *endpoint, why string) {
	if e.health == healthEjected {
		return
	}
	e.health = healthEjected
	e.failures = 0
	pause := min(c.cfg.EjectFor<<min(e.ejections, 16), c.cfg.MaxEjectFor)
	e.ejections++
	c.timers.Set(timerKey{kind: timerEject, endpoint: e.id}, c.now+c.jitter(pause))
	c.log(Event{Kind: EventEndpointOut, Endpoint: e.id, Detail: why})
}

// returnEndpoint lets an ejected endpoint have one attempt at once.
func (c *Core) returnEndpoint(e *endpoint) {
	if e == nil || e.health != healthEjected {
		return
	}
	e.health = healthReturned
	e.allowed = 1
	c.wakeFor(e)
}
