package gateway

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// Dump is the state of a core for operators.
type Dump struct {
	Version   uint64 // of the active configuration
	Revision  uint64 // of the store, at the latest registrations
	Ready     Ready
	Counts    Counts
	Endpoints []EndpointDump
	Waiting   map[string]int // waiting requests by service
	InFlight  int
	Gateways  []GatewayDump
	Parts     []PartDump           // of prompts
	Evacuated []wire.FailureDomain // out of use
}

// EndpointDump is the state of one endpoint.
type EndpointDump struct {
	Registration Registration
	Gone         bool          // no longer registered
	Ejected      time.Duration // remaining time
	Slow         float64       // moving ratio of measured to predicted time to first event
	Works        int           // attempts of all gateways that run there
	Queue        time.Duration // prefill time that is queued
	Streams      int
	Memory       int64         // tokens in use
	Limit        float64       // requests a second that it accepts from all gateways together; 0: none
	Cold         time.Duration // remaining time for which it is cold
	PermitRate   float64       // requests a second for which permits are given out; 0: it needs none
	OutOfUse     bool          // its failure domain is evacuated
}

// GatewayDump is the state of another gateway.
type GatewayDump struct {
	Addr  string
	Known bool          // messages arrive from it
	Heard time.Duration // time since its last message
	Works int           // attempts that it runs
}

// Dump returns a copy of the state.
func (c *Core) Dump() Dump {
	d := Dump{Revision: c.endpointsRevision, Ready: c.ready, Counts: c.counts, Waiting: make(map[string]int), InFlight: c.requests.Len()}
	if c.routing != nil {
		d.Version = c.routing.Version()
	}
	for e := range c.endpoints.Values() {
		row := EndpointDump{
			Registration: e.registration, Gone: e.unregistered, Slow: e.observedPace, Works: len(e.workItems),
			Ejected: max(e.health.ejectedUntil-c.now, 0), Limit: e.announced.limit.Limit(), OutOfUse: e.outOfUse,
		}
		if e.limited() {
			row.Cold, row.PermitRate = e.coldLeft(c.now), e.announced.permits.limit.Rate
		}
		if e.engine != nil {
			o := c.occupancy(e)
			row.Queue, row.Streams, row.Memory = o.queuedPrefill, o.streams, o.memoryTokens
		}
		d.Endpoints = append(d.Endpoints, row)
	}
	for s := range c.services.Values() {
		d.Waiting[s.name] = len(s.waiting)
	}
	for p := range c.peers.Values() {
		d.Gateways = append(d.Gateways, GatewayDump{Addr: p.addr.String(), Known: p.live, Heard: c.now - p.lastSeen, Works: len(p.workItems)})
	}
	d.Parts, d.Evacuated = c.dumpParts(), c.evacuated.domains
	return d
}
