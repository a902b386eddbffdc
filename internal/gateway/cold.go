package gateway

import (
	"slices"
	"time"

	"trefoilpath.org/trefoilpath/internal/endpointlimit"
	"trefoilpath.org/trefoilpath/internal/route"
)

const (
	// maxCold bounds how much longer other gateways can say that an endpoint is cold.
	maxCold = 10 * time.Minute
	// minToldCold is the time for which an endpoint must still be cold for another gateway's word
	// to count. What is told ends later here than there by the time on the way.
	minToldCold = 100 * time.Millisecond
	// coldPace is the factor by which a cold engine is taken to be slower than its published
	// constants until a report of its pace arrives that it has certainly made while it was cold:
	// coldReportLag after it became so.
	coldPace      = 2
	coldReportLag = 500 * time.Millisecond
)

// A cold endpoint is slow and gets few requests a second: those for which there are permits
// (permits.go). It says so in its registration or in an answer, or is presumed to be cold. It is
// cold only if its service has a cold rate.

// coldness is what is known of whether an instance is cold. It is cold until the latest of the
// ends, each counted from when the statement arrived.
type coldness struct {
	registered      bool          // the instance has been in a list of registrations
	revision        uint64        // of the registration that registeredUntil is from
	stated          bool          // that registration says whether it is cold
	registeredUntil time.Duration // by its registration
	answeredUntil   time.Duration // by its answers
	toldUntil       time.Duration // by other gateways
	presumedAt      time.Duration // when it was presumed to be cold for its service's Warmup
	presumed        bool

	until time.Duration // the end in force; 0: it is not cold
	since time.Duration
}

// ColdRow says that an instance is cold by what the sender has heard from it or presumes. What
// other gateways have told the sender is left out, so that no statement outlives itself.
type ColdRow struct {
	Endpoint uint64 `cbor:"1,keyasint"`           // hash of the endpoint's ID
	Born     int64  `cbor:"2,keyasint,omitempty"` // of the instance
	LeftMS   int64  `cbor:"3,keyasint"`           // how much longer
}

// cold reports whether e's instance is cold.
func (e *endpoint) cold() bool { return e.announced.cold.until > 0 }

// presumedPace returns the pace that is taken for e's before it is known how slow a cold engine is.
func (e *endpoint) presumedPace() float64 {
	if e.cold() && e.reportedPaceAt < e.announced.cold.since+coldReportLag {
		return coldPace
	}
	return 1
}

// coldOnly reports whether e's instance is cold and names no limit.
func (e *endpoint) coldOnly() bool { return e.cold() && e.announced.limit.Limit() == 0 }

// coldLeft returns how much longer e's instance is cold.
func (e *endpoint) coldLeft(now time.Duration) time.Duration {
	return max(e.announced.cold.until-now, 0)
}

// coldRegistered applies what e's registration says. An instance that says nothing of it and
// registers while this gateway runs has just started.
func (c *Core) coldRegistered(e *endpoint, running bool) {
	reg, cold := &e.registration, &e.announced.cold
	switch {
	case reg.HasColdLeft && (!cold.stated || reg.Revision != cold.revision && reg.Revision != 0):
		cold.stated, cold.revision, cold.registeredUntil = true, reg.Revision, c.now+reg.ColdLeft
	case running && !cold.registered && !reg.HasColdLeft:
		cold.presumed, cold.presumedAt = true, c.now
	}
	cold.registered = true
	c.updateCold(e, "registration")
}

// coldAnswered applies what e says in an answer.
func (c *Core) coldAnswered(e *endpoint, left time.Duration) {
	cold := &e.announced.cold
	if left <= 0 || c.now+left <= cold.answeredUntil {
		return
	}
	cold.answeredUntil = c.now + left
	if !e.cold() {
		c.outbox.changedCold = append(c.outbox.changedCold, e)
		c.outbox.batchDue = true
	}
	c.updateCold(e, "answer")
}

// mergeCold applies what other gateways know of cold endpoints.
func (c *Core) mergeCold(rows []ColdRow) {
	for _, row := range rows {
		left := min(milliseconds(row.LeftMS), maxCold)
		e := c.instanceByHash(row.Endpoint, row.Born)
		if e == nil || left < minToldCold || c.now+left <= e.announced.cold.toldUntil {
			continue
		}
		e.announced.cold.toldUntil = c.now + left
		c.updateCold(e, "gateway")
	}
}

// presumeCold takes e for cold for its service's Warmup from now on, whatever it says.
func (c *Core) presumeCold(e *endpoint) {
	e.announced.cold.presumed, e.announced.cold.presumedAt = true, c.now
	c.updateCold(e, "presumed")
}

// endCold ends the coldness of an endpoint when its time has come.
func (c *Core) endCold(e *endpoint) {
	if e != nil {
		c.updateCold(e, "time")
	}
}

// coldService returns the service of e if its cold endpoints have a limit, or nil.
func (c *Core) coldService(e *endpoint) *route.Service {
	if c.routing == nil {
		return nil
	}
	if s := c.routing.Service(e.registration.Service); s != nil && s.ColdRate > 0 {
		return s
	}
	return nil
}

// coldLimit returns the limit of e by its coldness.
func (c *Core) coldLimit(e *endpoint) endpointlimit.Limit {
	s := c.coldService(e)
	if s == nil || !e.cold() {
		return endpointlimit.Limit{}
	}
	return endpointlimit.ColdLimit(s.ColdRate, c.cfg.Cold.Ratio, c.cfg.Cold.Slack)
}

// firstHand returns until when the instance of a service is cold by what this gateway has heard
// from it or presumes.
func (k *coldness) firstHand(s *route.Service) time.Duration {
	until := max(k.registeredUntil, k.answeredUntil)
	if k.presumed {
		until = max(until, k.presumedAt+s.Warmup)
	}
	return until
}

// updateCold determines whether e is cold now and until when, for a reason that is logged.
func (c *Core) updateCold(e *endpoint, source string) {
	cold := &e.announced.cold
	until := time.Duration(0)
	if s := c.coldService(e); s != nil {
		if end := max(cold.firstHand(s), cold.toldUntil); end > c.now {
			until = end
		}
	}
	was := cold.until
	cold.until = until
	if was > 0 || until > 0 {
		c.updatePermits(e)
	}
	switch {
	case was == 0 && until > 0:
		cold.since = c.now
		c.coldBegan(e, source)
	case was > 0 && until == 0:
		c.timers.Stop(timerKey{kind: timerCold, endpoint: e.registration.ID})
		c.log(Event{Name: "endpoint-warm", Endpoint: string(e.registration.ID), Took: min(was, c.now) - cold.since, Detail: "source=" + source})
	}
	if until > 0 {
		c.timers.Set(timerKey{kind: timerCold, endpoint: e.registration.ID}, until)
	}
}

// coldBegan records that e has become cold. Its keeper begins to collect permits, and its prober
// asks it how slow it is.
func (c *Core) coldBegan(e *endpoint, source string) {
	c.counts.Cold++
	c.log(Event{Name: "endpoint-cold", Endpoint: string(e.registration.ID), Took: e.coldLeft(c.now), Detail: "source=" + source})
	if c.keeperOf(e, false) == nil {
		c.ownKeeper(e)
	}
	if e.engine != nil && e.inCell {
		e.suspectUntil = max(e.suspectUntil, e.announced.cold.until)
		if c.isProber(e) {
			c.sendProbe(e)
		}
	}
}

// coldRows returns the row of e for other gateways, if it is cold by what this gateway knows first
// hand.
func (c *Core) coldRows(e *endpoint) []ColdRow {
	s := c.coldService(e)
	if s == nil {
		return nil
	}
	left := e.announced.cold.firstHand(s) - c.now
	if left < minToldCold {
		return nil
	}
	return []ColdRow{{Endpoint: e.idHash, Born: e.registration.Born, LeftMS: left.Milliseconds()}}
}

// sendCold sends the endpoints that have said in an answer that they are cold to the gateways of
// the cell, and with a full message all of those that are cold by more than their registration,
// which every gateway reads by itself.
func (c *Core) sendCold(full bool) {
	list := c.outbox.changedCold
	if full && c.limitsKnown {
		list = nil
		for e := range c.endpoints.Values() {
			if k := &e.announced.cold; e.cold() && (k.presumed || k.answeredUntil > 0) {
				list = append(list, e)
			}
		}
	}
	var rows []ColdRow
	for _, e := range list {
		rows = append(rows, c.coldRows(e)...)
	}
	c.outbox.changedCold = c.outbox.changedCold[:0]
	for chunk := range slices.Chunk(rows, maxLimitRows) {
		m := c.message()
		m.Cold = chunk
		c.sendToCell(m, full)
	}
}

// coldAndFull reports whether e is a cold engine without a free slot, for which a permit would
// lapse.
func (c *Core) coldAndFull(e *endpoint) bool {
	return e.coldOnly() && !c.hasSlot(e)
}

// hasSlot reports whether e can answer one more request.
func (c *Core) hasSlot(e *endpoint) bool {
	if e.engine == nil {
		return true
	}
	o := c.occupancy(e)
	return o.streams < e.engine.Slots
}

// coldIfNoneAnswers returns the cold endpoints of a list if no engine without a limit has a free
// slot to answer a long prompt, or else none.
func (c *Core) coldIfNoneAnswers(s *service, limited []*endpoint) []*endpoint {
	if !slices.ContainsFunc(limited, (*endpoint).coldOnly) {
		return nil
	}
	if slices.ContainsFunc(c.usable(s, nil), func(e *endpoint) bool { return !e.limited() && c.hasSlot(e) }) {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(limited), func(e *endpoint) bool { return !e.coldOnly() })
}
