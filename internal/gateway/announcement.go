package gateway

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/endpointlimit"
	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	// maxBackoff bounds the time for which an endpoint can turn this gateway away.
	maxBackoff = time.Hour
	// announcementTTL is how long an announcement is kept after its instance was last
	// registered. An instance that leaves exits well before.
	announcementTTL = 10 * time.Minute
)

// EndpointAnnouncement is what an endpoint says of itself in an answer to this gateway.
type EndpointAnnouncement struct {
	Endpoint wire.EndpointID
	Addr     string        // where the answer came from
	Leaving  bool          // the endpoint is draining
	Backoff  time.Duration // how long it accepts no request from this gateway; 0: not stated
	ColdLeft time.Duration // how much longer it is cold; 0: not stated, or warm
}

// instance identifies one life of an endpoint.
type instance struct {
	id   wire.EndpointID
	addr string
	born int64 // Unix time of its start in ms; 0: unknown
}

func instanceOf(r *Registration) instance { return instance{id: r.ID, addr: r.Addr, born: r.Born} }

// announcement is what an instance has announced. It holds whatever the store says, and
// outlives the instance's registration, which may lapse and return.
type announcement struct {
	instance     instance
	leaving      bool
	backoffUntil time.Duration
	limit        endpointlimit.Belief
	cold         coldness
	permits      *permits // nil: neither does it name a limit, nor is it cold
	keptUntil    time.Duration

	limitChangedAt time.Duration // 0: it has never named one
}

// endpointAnnounced applies an endpoint's announcement. Requests that wait for it are tried
// every placeInterval, so that the end of a wait needs no timer.
func (c *Core) endpointAnnounced(in *EndpointAnnouncement) {
	e := c.endpoints.Get(in.Endpoint)
	if e == nil || e.registration.Addr != in.Addr {
		return // the instance that answered has been replaced
	}
	if in.Leaving && !e.announced.leaving {
		e.announced.leaving = true
		c.log(Event{Name: "endpoint-leaving", Endpoint: string(in.Endpoint), Detail: "addr=" + in.Addr + " source=answer"})
	}
	if until := c.now + min(in.Backoff, maxBackoff); in.Backoff > 0 && until > e.announced.backoffUntil {
		e.announced.backoffUntil = until
		c.log(Event{Name: "endpoint-backoff", Endpoint: string(in.Endpoint), Took: until - c.now})
	}
	c.coldAnswered(e, in.ColdLeft)
	c.placementDue = true
}

// announcementOf returns the announcement of a registered instance, which is empty at first.
func (c *Core) announcementOf(r *Registration) *announcement {
	key := instanceOf(r)
	if a := c.announcements.Get(key); a != nil {
		return a
	}
	return c.announcements.Put(key, announcement{instance: key})
}

// expireAnnouncements drops the announcements of instances that have not been registered
// for announcementTTL.
func (c *Core) expireAnnouncements() {
	for e := range c.endpoints.Values() {
		e.announced.keptUntil = c.now + announcementTTL
	}
	for a := range c.announcements.Values() {
		if a.keptUntil < c.now {
			c.announcements.Delete(a.instance)
		}
	}
	c.announcements.Compact()
}

// accepts reports whether new requests may be sent to e: it is registered, its failure domain is
// in use, it has neither registered nor announced that it is leaving, and has not asked this
// gateway to wait.
func (e *endpoint) accepts(now time.Duration) bool {
	return !e.unregistered && !e.outOfUse && !e.registration.Leaving && !e.announced.leaving && now >= e.announced.backoffUntil
}

// returnsInTime reports whether an endpoint of s that has asked this gateway to wait accepts
// requests again before r must be placed.
func (c *Core) returnsInTime(s *service, r *request) bool {
	until, ok := c.earliestReturn(s, r)
	return ok && until <= r.placedBefore()
}

// earliestReturn returns the end of the shortest wait that an endpoint of s has asked for,
// among those that may get r later.
func (c *Core) earliestReturn(s *service, r *request) (time.Duration, bool) {
	var earliest time.Duration
	for _, e := range s.endpoints {
		until := e.announced.backoffUntil
		if until <= c.now || !e.accepts(until) || !r.mayGoTo(e) {
			continue
		}
		if earliest == 0 || until < earliest {
			earliest = until
		}
	}
	return earliest, earliest != 0
}
