package gateway

import (
	"slices"
	"strconv"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// An operator takes a failure domain out of use with a key in the store. Its endpoints then begin
// nothing more: endpoint.accepts is false for them. What runs there ends normally.

// Evacuations replaces the set of failure domains that are out of use.
type Evacuations struct {
	Domains  []wire.FailureDomain // sorted
	Revision uint64               // of the store
	Source   string               // where the set was learned, for the log
}

// evacuated are the failure domains that are out of use.
type evacuated struct {
	known   bool // the set has been received
	domains []wire.FailureDomain
}

// evacuate takes failure domains out of use and returns others to use.
func (c *Core) evacuate(in *Evacuations) {
	before := c.evacuated.domains
	c.evacuated = evacuated{known: true, domains: slices.Clone(in.Domains)}
	for _, d := range in.Domains {
		if !slices.Contains(before, d) {
			c.logDomain("failure-domain-evacuated", d, in)
		}
	}
	for _, d := range before {
		if !slices.Contains(in.Domains, d) {
			c.logDomain("failure-domain-returned", d, in)
		}
	}
	for e := range c.endpoints.Values() {
		c.applyEvacuations(e)
		if d := e.registration.FailureDomain; slices.Contains(before, d) && !slices.Contains(in.Domains, d) {
			c.presumeCold(e) // it has had no requests for a while
		}
	}
	c.assignCells()
	for s := range c.services.Values() {
		c.reconsiderWaiting(s)
	}
	c.placementDue, c.newWaiting = true, true
}

// logDomain logs a change of a failure domain with the number of its endpoints.
func (c *Core) logDomain(event string, d wire.FailureDomain, in *Evacuations) {
	endpoints := 0
	for e := range c.endpoints.Values() {
		endpoints += bit(e.registration.FailureDomain == d && !e.unregistered)
	}
	c.log(Event{
		Name: event, Count: endpoints,
		Detail: "domain=" + string(d) + " source=" + in.Source + " revision=" + strconv.FormatUint(in.Revision, 10),
	})
}

// applyEvacuations sets whether e is out of use. Until the evacuations are known, all endpoints are.
func (c *Core) applyEvacuations(e *endpoint) {
	e.outOfUse = c.cfg.Evacuations && (!c.evacuated.known || slices.Contains(c.evacuated.domains, e.registration.FailureDomain))
}

// allowed returns the number of endpoints of s that r is allowed to reach.
func (s *service) allowed(r *request) int {
	n := 0
	for _, e := range s.endpoints {
		n += bit(r.allows(e))
	}
	return n
}

// inUse returns the number of endpoints of s that are not out of use and that r, or any request
// if r is nil, is allowed to reach.
func (s *service) inUse(r *request) int {
	n := 0
	for _, e := range s.endpoints {
		n += bit(!e.outOfUse && (r == nil || r.allows(e)))
	}
	return n
}

// evacuatedFor reports whether r lacks endpoints only because failure domains are out of use.
func (c *Core) evacuatedFor(s *service, r *request) bool {
	return c.evacuated.known && s.inUse(r) == 0 && s.allowed(r) > 0
}

// reconsiderWaiting ends the waiting requests of s for which too few endpoints are left in use.
// Without another endpoint, those at which a request failed before may get it again.
func (c *Core) reconsiderWaiting(s *service) {
	for _, r := range s.waiting {
		if r.phase != phaseWaiting {
			continue
		}
		if r.standby == nil && len(c.usable(s, r)) == 0 {
			r.avoid = nil
		}
		if reason := c.unservable(r); reason != ReasonNone {
			c.endUnserved(r, reason)
		}
	}
}

// lostToEvacuation reports whether an attempt of which nothing was sent must not begin: one of
// its endpoints has been taken out of use since its dispatch.
func (w *workItem) lostToEvacuation() bool {
	return slices.ContainsFunc(w.endpoints, func(e *endpoint) bool { return e.outOfUse })
}
