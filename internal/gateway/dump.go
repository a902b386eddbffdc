package gateway

import "time"

// Dump is the state of a core, for people.
type Dump struct {
	Version   uint64 // of the configuration in force
	Revision  uint64 // of the registrations
	Ready     Ready
	Counts    Counts
	Endpoints []EndpointDump
	Waiting   map[string]int // by service
	InFlight  int
	Gateways  []GatewayDump
}

// EndpointDump is one endpoint.
type EndpointDump struct {
	Registration Registration
	Gone         bool
	Ejected      time.Duration // for how much longer
	Slow         float64
	Works        int
	Queue        time.Duration
	Streams      int
	Memory       int64
}

// GatewayDump is another gateway.
type GatewayDump struct {
	Addr  string
	Known bool
	Heard time.Duration // ago
	Works int
}

// Dump returns a copy of the state.
func (c *Core) Dump() Dump {
	d := Dump{Revision: c.endpointsRevision, Ready: c.ready, Counts: c.counts, Waiting: make(map[string]int), InFlight: c.requests.Len()}
	if c.config != nil {
		d.Version = c.config.Version()
	}
	for e := range c.endpoints.Values() {
		row := EndpointDump{
			Registration: e.registration, Gone: e.unregistered, Slow: e.observedPace, Works: len(e.workItems),
			Ejected: max(e.health.ejectedUntil-c.now, 0),
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
	return d
}
