package entry

import (
	"slices"
	"time"

	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	// maxRefusals: after each maxRefusals refusals by agents, a request is sent
	// to the agent with the shortest wait or pauses, instead of trying another
	// endpoint at once.
	maxRefusals = 8
	// minReroutePause and maxReroutePause bound the pause before a request that
	// found no free endpoint is routed again.
	minReroutePause = 20 * time.Millisecond
	maxReroutePause = time.Second
	// maxWoken is how many waiting requests are routed again at once.
	maxWoken = 4
	// minStartBy is the shortest time that an attempt gets to start.
	minStartBy = 50 * time.Millisecond
	// startGrace is how long after its start-by time an attempt may go without
	// a message from its agent before it is given up.
	startGrace = 2 * time.Second
	// minAgentWait is how long even the shortest prompt may wait at one agent
	// before another is tried.
	minAgentWait = 200 * time.Millisecond
)

// enqueue has a request routed in this tick.
func (c *Core) enqueue(r *request) {
	r.phase = phaseWaiting
	c.toRoute = append(c.toRoute, r.id)
}

// route sends each queued request to an endpoint, or lets it wait.
func (c *Core) route() {
	for i := 0; i < len(c.toRoute); i++ {
		r := c.requests.Get(c.toRoute[i])
		if r == nil || r.phase != phaseWaiting || r.currentAttempt != 0 {
			continue
		}
		c.routeOne(r)
	}
	c.toRoute = c.toRoute[:0]
}

func (c *Core) routeOne(r *request) {
	if r.in.Kind == wire.KindService {
		c.routeCall(r)
		return
	}
	m := c.models.Get(r.in.Model)
	if m == nil || len(m.endpoints) == 0 {
		c.waitForCapacity(r)
		return
	}
	if c.isGroup(m, r) {
		c.startGroup(m, r)
		return
	}
	e, p := c.choose(m, r)
	if e == nil {
		c.waitForEndpoint(r, &m.waiting)
		return
	}
	c.dispatch(r, e, p)
}

func (c *Core) routeCall(r *request) {
	s := c.services.Get(r.in.Call.Service)
	if s == nil || len(s.endpoints) == 0 {
		c.waitForCapacity(r)
		return
	}
	e := c.leastInFlight(s.endpoints, r)
	if e == nil {
		c.waitForEndpoint(r, &s.waiting)
		return
	}
	c.dispatch(r, e, prediction{uncached: serviceTokens})
}

// choose applies the routing policy.
func (c *Core) choose(m *modelState, r *request) (*endpoint, prediction) {
	switch c.cfg.Routing {
	case RoutingRoundRobin:
		return c.chooseRoundRobin(m, r)
	case RoutingLeastOutstanding:
		e := c.leastInFlight(m.endpoints, r)
		if e == nil {
			return nil, prediction{}
		}
		return e, c.predict(e, r)
	}
	return c.choosePredicted(m, r)
}

func (c *Core) chooseRoundRobin(m *modelState, r *request) (*endpoint, prediction) {
	for range m.endpoints {
		e := m.endpoints[m.nextRoundRobin%len(m.endpoints)]
		m.nextRoundRobin++
		if c.usableFor(e, r) {
			return e, c.predict(e, r)
		}
	}
	return nil, prediction{}
}

func (c *Core) leastInFlight(endpoints []*endpoint, r *request) *endpoint {
	var best *endpoint
	start := 0
	if len(endpoints) > 1 {
		start = c.cfg.Rand.IntN(len(endpoints))
	}
	for i := range endpoints {
		e := endpoints[(start+i)%len(endpoints)]
		if !c.usableFor(e, r) {
			continue
		}
		if best == nil || e.inFlight < best.inFlight {
			best = e
		}
	}
	return best
}

// choosePredicted scores a random sample of the endpoints together with the
// endpoint outside it that has the longest cached prefix. Sampling keeps
// entries whose reports lag alike from all choosing the same endpoint.
func (c *Core) choosePredicted(m *modelState, r *request) (*endpoint, prediction) {
	c.sample(m, r)
	var best *endpoint
	var bestP prediction
	for _, e := range c.candidates {
		p := c.predict(e, r)
		if best == nil || p.score < bestP.score {
			best, bestP = e, p
		}
	}
	return best, bestP
}

// sample fills candidates for r.
func (c *Core) sample(m *modelState, r *request) {
	c.candidates = c.candidates[:0]
	n := len(m.endpoints)
	start := c.cfg.Rand.IntN(n)
	step := c.coprimeStep(n)
	var longestCached *endpoint
	var longestBlocks int64
	for i := range n {
		e := m.endpoints[(start+i*step)%n]
		if !c.usableFor(e, r) {
			continue
		}
		if len(c.candidates) < c.cfg.Candidates {
			c.candidates = append(c.candidates, e)
			continue
		}
		if len(r.in.Prefixes) == 0 {
			return
		}
		if blocks := e.prefixes.match(r.in.Prefixes); blocks > longestBlocks {
			longestCached, longestBlocks = e, blocks
		}
	}
	if longestCached != nil {
		c.candidates = append(c.candidates, longestCached)
	}
}

// coprimeStep returns a random step coprime to n, so that steps modulo n visit
// each position once.
func (c *Core) coprimeStep(n int) int {
	if n <= 2 {
		return 1
	}
	step := 1 + c.cfg.Rand.IntN(n-1)
	for gcd(step, n) != 1 {
		step = step%(n-1) + 1
	}
	return step
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// usableFor reports whether e may get an attempt of r now.
func (c *Core) usableFor(e *endpoint, r *request) bool {
	return c.usable(e) && !r.avoids(e.id, c.now)
}

func (r *request) avoids(id wire.EndpointID, now time.Duration) bool {
	for _, a := range r.avoid {
		if a.endpoint == id && a.until > now {
			return true
		}
	}
	return false
}

func (r *request) avoidUntil(id wire.EndpointID, until time.Duration) {
	for i := range r.avoid {
		if r.avoid[i].endpoint == id {
			r.avoid[i].until = until
			return
		}
	}
	r.avoid = append(r.avoid, avoided{id, until})
}

// waitForCapacity lets a request wait up to CapacityWait for a first endpoint
// of its model or service.
func (c *Core) waitForCapacity(r *request) {
	waited := c.now - r.arrivedAt
	if waited >= c.cfg.CapacityWait {
		c.fail(r, failure{code: CodeNoCapacity, detail: "no endpoint is up", retryAfter: c.cfg.CapacityWait})
		return
	}
	c.timers.Set(timerKey{kind: timerRetry, id: uint64(r.id)}, c.now+min(maxReroutePause/4, c.cfg.CapacityWait-waited))
}

// waitForEndpoint puts a request on a waiting list for a usable endpoint or for
// a place among maxGroups, and routes it again after a pause at the latest. It
// ends the request if the pause would pass its deadline, unless Config.Reactive.
func (c *Core) waitForEndpoint(r *request, waiting *[]RequestID) {
	pause := maxReroutePause
	for _, a := range r.avoid {
		if a.until > c.now {
			pause = min(pause, a.until-c.now)
		}
	}
	if !c.cfg.Reactive && c.now+pause >= r.deadline {
		c.fail(r, failure{code: CodeOverloaded, detail: "no endpoint has room in time", retryAfter: max(pause, minRefusalRetry)})
		return
	}
	if !r.inWaitingList {
		r.inWaitingList = true
		*waiting = append(c.pruneEnded(*waiting), r.id)
	}
	pause = max(pause, minReroutePause)
	c.timers.Set(timerKey{kind: timerRetry, id: uint64(r.id)}, c.now+c.jitter(pause))
}

// pruneEnded drops requests that have ended from a waiting list that has grown
// beyond the number of requests in flight.
func (c *Core) pruneEnded(waiting []RequestID) []RequestID {
	if len(waiting) <= c.requests.Len() {
		return waiting
	}
	return slices.DeleteFunc(waiting, func(id RequestID) bool { return c.requests.Get(id) == nil })
}

// jitter returns a duration between three quarters and five quarters of d.
func (c *Core) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(c.cfg.Rand.Int64N(int64(d/2)+1))
}

// wakeOldest routes the oldest requests of a waiting list again, and drops
// those that no longer wait.
func (c *Core) wakeOldest(waiting *[]RequestID) {
	woken := 0
	kept := (*waiting)[:0]
	for i, id := range *waiting {
		r := c.requests.Get(id)
		if r == nil {
			continue
		}
		if r.phase != phaseWaiting || r.currentAttempt != 0 {
			r.inWaitingList = false
			continue
		}
		if woken == maxWoken {
			kept = append(kept, (*waiting)[i:]...)
			break
		}
		woken++
		r.inWaitingList = false
		c.timers.Stop(timerKey{kind: timerRetry, id: uint64(id)})
		c.toRoute = append(c.toRoute, id)
	}
	*waiting = kept
}

// dispatch sends r to e as a new attempt. Under RoutingPredicted a model request
// gets a short start-by time: an agent without free capacity refuses at once,
// and its refusal is more recent than any report of its load.
func (c *Core) dispatch(r *request, e *endpoint, p prediction) {
	within := c.startBy(r.deadline-c.now, p)
	if r.in.Kind == wire.KindEngine && c.cfg.Routing == RoutingPredicted {
		within = min(within, c.maxAgentWait(e, p))
	}
	c.dispatchWithin(r, e, p, within)
}

// maxAgentWait returns how long an attempt may wait at an agent before another
// one is tried: minAgentWait and half of its prefill time.
func (c *Core) maxAgentWait(e *endpoint, p prediction) time.Duration {
	rate := e.report.PrefillRate
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	return minAgentWait + seconds(float64(p.uncached)/rate/2)
}

// dispatchWithin sends r to e as a new attempt that must start within a time.
func (c *Core) dispatchWithin(r *request, e *endpoint, p prediction, within time.Duration) {
	a := c.newAttempt(r, e, p)
	r.phase = phaseRunning
	r.currentAttempt = a.id.Sequence
	resume := r.delivered
	if c.cfg.disabled(mechanismResume) {
		resume = 0
	}
	d := c.dispatchMessage(r, a.id, p)
	d.ResumeFrom = resume
	d.StartBy = within
	c.timers.Set(timerKey{kind: timerStart, id: a.id.Sequence}, c.now+within+startGrace)
	c.emit(Output{SelectAttempt: &SelectAttempt{ID: r.id, Attempt: a.id, ResumeFrom: resume}})
	c.emit(Output{ToAgent: &ToAgent{Endpoint: e.id, Request: r.id, Msg: wire.ToAgent{Dispatch: d}}})
	c.log(Event{Kind: EventDispatched, Request: r.in.ExternalID, Account: r.in.Account, Endpoint: e.id, Attempt: a.id, TTFT: p.ttft})
}

// newAttempt records an attempt of r at e.
func (c *Core) newAttempt(r *request, e *endpoint, p prediction) *attempt {
	c.lastAttempt++
	c.counts.Dispatched++
	a := c.attempts.Put(c.lastAttempt, attempt{
		id:             wire.AttemptID{Entry: c.cfg.Self, Incarnation: c.cfg.Incarnation, Sequence: c.lastAttempt},
		request:        r.id,
		endpoint:       e.id,
		sentAt:         c.now,
		predictedTTFT:  p.ttft,
		sliceIndex:     -1,
		band:           r.band,
		uncachedTokens: p.uncached,
	})
	r.attempts++
	r.unresolved++
	e.inFlight++
	e.addUnreported(a, p.uncached, r.promptTokens+r.maxOutput)
	return a
}

func (c *Core) dispatchMessage(r *request, id wire.AttemptID, p prediction) *wire.Dispatch {
	left := r.deadline - c.now
	c.checkTimeLeft(r, left)
	return &wire.Dispatch{
		Attempt:      id,
		RequestID:    r.in.ExternalID,
		Account:      r.in.Account,
		Weight:       r.account.Weight,
		Kind:         r.in.Kind,
		Model:        r.in.Model,
		Adapter:      r.in.Adapter,
		PromptTokens: r.promptTokens,
		MaxOutput:    r.maxOutput,
		TimeLeft:     left,
		StartBy:      c.startBy(left, p),
		Priority:     r.in.Priority,
		Prefixes:     r.in.Prefixes,
		BodyBytes:    r.in.BodyBytes,
		Idempotent:   r.repeatable,
		Call:         r.in.Call,
	}
}

// startBy returns how long an attempt may wait at the agent: the time left
// minus SettleMargin and the predicted TTFT, of which at most half the time left
// counts; at least minStartBy, or the time left if that is shorter. A refusal
// then leaves time for another endpoint.
func (c *Core) startBy(left time.Duration, p prediction) time.Duration {
	return max(left-c.cfg.SettleMargin-min(p.ttft, left/2), min(minStartBy, left))
}
