package gateway

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"trefoilpath.org/trefoilpath/internal/retrybudget"
	"trefoilpath.org/trefoilpath/internal/route"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// configure makes a newer version of the configuration active. Older and equal
// versions are ignored.
func (c *Core) configure(table *route.Table) {
	if table.Version() <= c.activeVersion() {
		return
	}
	c.routing = table
	c.nameServices(table)
	for e := range c.endpoints.Values() {
		c.applyEngineParams(e)
		c.updateCold(e, "configuration")
	}
	c.log(Event{Name: "configuration-in-force", Detail: "version=" + strconv.FormatUint(table.Version(), 10), Count: table.Routes()})
	c.placementDue = true
}

// nameServices registers the endpoints of services that a configuration is the first to name.
func (c *Core) nameServices(table *route.Table) {
	before := len(c.namedServices)
	for name := range table.Services() {
		c.namedServices[name] = true
	}
	if len(c.namedServices) > before && c.endpointsReceived {
		c.registerRows(false)
	}
}

// activeVersion returns the version of the configuration in force; 0: none.
func (c *Core) activeVersion() uint64 {
	if c.routing == nil {
		return 0
	}
	return c.routing.Version()
}

// applyEngineParams sets the engine constants of e from the active configuration.
func (c *Core) applyEngineParams(e *endpoint) {
	e.engine, e.occupancyValid = nil, false
	if c.routing == nil {
		return
	}
	if s := c.routing.Service(e.registration.Service); s != nil {
		e.engine = s.Engine
	}
}

// register replaces the set of endpoints. Requests that run at endpoints that are no
// longer registered continue; these endpoints get no new ones.
func (c *Core) register(in *Endpoints) {
	c.endpointsRevision = in.Revision
	c.registered = in.Rows
	c.registerRows(c.endpointsReceived)
	c.endpointsReceived = true
}

// registerRows makes the latest list of endpoints the set of endpoints. Those of services that no
// configuration has named are left out: other programs may register any number of them. running tells
// that this gateway was already running when those that are new registered.
func (c *Core) registerRows(running bool) {
	registeredIDs := make(map[wire.EndpointID]bool, len(c.registered))
	for _, reg := range c.registered {
		if !c.namedServices[reg.Service] {
			continue
		}
		registeredIDs[reg.ID] = true
		c.registerEndpoint(reg)
		c.coldRegistered(c.endpoints.Get(reg.ID), running)
	}
	for e := range c.endpoints.Values() {
		if !registeredIDs[e.registration.ID] {
			c.unregister(e)
		}
	}
	c.endpoints.Compact()
	c.expireAnnouncements()
	c.sortEndpoints()
	c.placementDue = true
}

// registerEndpoint adds or updates one endpoint. A row with another address, start
// time or service than the known one under its ID is taken as a new endpoint.
func (c *Core) registerEndpoint(reg Registration) {
	e := c.endpoints.Get(reg.ID)
	if e != nil && e.registration.Addr == reg.Addr && e.registration.Born == reg.Born && e.registration.Service == reg.Service {
		e.registration = reg
		c.registeredLeaving(e)
		e.unregistered = false
		c.applyEvacuations(e)
		c.applyRegion(e)
		return
	}
	if e != nil {
		c.registrationEnded(&e.registration)
		c.removeEndpoint(e) // a restarted endpoint has none of the earlier requests
	}
	e = c.endpoints.Put(reg.ID, endpoint{
		registration: reg, announced: c.announcementOf(&reg), observedPace: 1, idHash: xxhash.Sum64String(string(reg.ID)),
	})
	c.endpointsByHash[e.idHash] = e
	c.applyEngineParams(e)
	c.applyEvacuations(e)
	c.applyRegion(e)
	c.log(Event{Name: "endpoint-registered", Endpoint: string(reg.ID), Detail: "addr=" + reg.Addr + " service=" + reg.Service})
	c.registeredLeaving(e)
}

// registeredLeaving records that e has registered as leaving. Until it restarts it stays so: an
// earlier registration of it may be written later.
func (c *Core) registeredLeaving(e *endpoint) {
	if e.registration.Leaving && !e.announced.leaving {
		e.announced.leaving = true
		c.log(Event{Name: "endpoint-leaving", Endpoint: string(e.registration.ID), Detail: "addr=" + e.registration.Addr})
	}
}

// unregister marks e as no longer registered, and removes it unless requests of this
// gateway still run there.
func (c *Core) unregister(e *endpoint) {
	if !e.unregistered {
		e.unregistered = true
		c.log(Event{Name: "endpoint-gone", Endpoint: string(e.registration.ID), Detail: "addr=" + e.registration.Addr})
		c.registrationEnded(&e.registration)
	}
	if !c.ownWork(e) {
		c.removeEndpoint(e)
	}
}

// removeEndpoint removes an endpoint and all work items there. Its ID may have been registered
// anew meanwhile; that row stays.
func (c *Core) removeEndpoint(e *endpoint) {
	for _, w := range slices.Clone(e.workItems) {
		c.removeWork(w)
	}
	if c.endpoints.Get(e.registration.ID) != e {
		return
	}
	delete(c.endpointsByHash, e.idHash)
	c.timers.Stop(timerKey{kind: timerReturn, endpoint: e.registration.ID})
	c.endpoints.Delete(e.registration.ID)
}

// sortEndpoints sorts the endpoints of each service into the order that all gateways
// share. It sorts by hash, so that the order does not depend on start times.
func (c *Core) sortEndpoints() {
	for s := range c.services.Values() {
		s.endpoints = s.endpoints[:0]
	}
	for e := range c.endpoints.Values() {
		if !e.unregistered {
			s := c.service(e.registration.Service)
			s.endpoints = append(s.endpoints, e)
		}
	}
	for s := range c.services.Values() {
		slices.SortFunc(s.endpoints, func(a, b *endpoint) int { return cmp.Compare(a.idHash, b.idHash) })
	}
	c.assignCells()
}

// service returns the row of a service and creates it on first use.
func (c *Core) service(name string) *service {
	if s := c.services.Get(name); s != nil {
		return s
	}
	return c.services.Put(name, service{name: name, nameHash: xxhash.Sum64String(name), budget: retrybudget.New(c.cfg.Retry)})
}

// removeWork removes w from the endpoint.
func (e *endpoint) removeWork(w *workItem) {
	if i := slices.Index(e.workItems, w); i >= 0 {
		e.occupancyValid = false
		e.workItems = slices.Delete(e.workItems, i, i+1)
	}
}
