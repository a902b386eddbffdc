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

// configure puts a version of the configuration in force. Versions never go back.
func (c *Core) configure(t *route.Table) {
	if c.table != nil && t.Version() <= c.table.Version() {
		return
	}
	c.table = t
	for e := range c.endpoints.Values() {
		c.adopt(e)
	}
	c.log(Event{Name: "configuration-in-force", Detail: "version=" + strconv.FormatUint(t.Version(), 10), Count: t.Routes()})
	c.place = true
}

// adopt takes the constants of the endpoint's service from the configuration.
func (c *Core) adopt(e *endpoint) {
	e.engine, e.summed = nil, false
	if c.table == nil {
		return
	}
	if s := c.table.Service(e.reg.Service); s != nil {
		e.engine = s.Engine
	}
}

// register replaces the set of endpoints. Work goes on at endpoints that are no
// longer registered; they get none anew.
func (c *Core) register(in *Endpoints) {
	c.registered = true
	c.revision = in.Revision
	present := make(map[wire.EndpointID]bool, len(in.Rows))
	for _, reg := range in.Rows {
		present[reg.ID] = true
		c.registerOne(reg)
	}
	for e := range c.endpoints.Values() {
		if !present[e.reg.ID] {
			c.unregister(e)
		}
	}
	c.endpoints.Compact()
	c.regroup()
	c.place = true
}

func (c *Core) registerOne(reg Registration) {
	e := c.endpoints.Get(reg.ID)
	if e != nil && e.reg.Addr == reg.Addr && e.reg.Born == reg.Born && e.reg.Service == reg.Service {
		if reg.Leaving && !e.reg.Leaving {
			c.log(Event{Name: "endpoint-leaving", Endpoint: string(reg.ID), Detail: "addr=" + reg.Addr})
		}
		e.reg = reg
		e.gone = false
		return
	}
	if e != nil {
		c.forget(e) // a new life under the same ID knows nothing of before
	}
	e = c.endpoints.Put(reg.ID, endpoint{reg: reg, slow: 1, hash: xxhash.Sum64String(string(reg.ID))})
	c.byHash[e.hash] = e
	c.adopt(e)
	c.log(Event{Name: "endpoint-registered", Endpoint: string(reg.ID), Detail: "addr=" + reg.Addr + " service=" + reg.Service})
}

func (c *Core) unregister(e *endpoint) {
	if !e.gone {
		e.gone = true
		c.log(Event{Name: "endpoint-gone", Endpoint: string(e.reg.ID), Detail: "addr=" + e.reg.Addr})
	}
	if !c.ownWork(e) {
		c.forget(e)
	}
}

// forget drops an endpoint and all work there.
func (c *Core) forget(e *endpoint) {
	for _, w := range slices.Clone(e.works) {
		c.removeWork(w)
	}
	delete(c.byHash, e.hash)
	c.timers.Stop(timerKey{kind: timerReturn, endpoint: e.reg.ID})
	c.endpoints.Delete(e.reg.ID)
}

// regroup sorts the endpoints of each service into the order that all gateways
// share: by hash, so that it does not follow the order of their starts.
func (c *Core) regroup() {
	for s := range c.services.Values() {
		s.endpoints = s.endpoints[:0]
	}
	for e := range c.endpoints.Values() {
		if !e.gone {
			s := c.service(e.reg.Service)
			s.endpoints = append(s.endpoints, e)
		}
	}
	for s := range c.services.Values() {
		slices.SortFunc(s.endpoints, func(a, b *endpoint) int { return cmp.Compare(a.hash, b.hash) })
	}
	c.assignCells()
}

// service returns the row of a service, made when it is first named.
func (c *Core) service(name string) *service {
	if s := c.services.Get(name); s != nil {
		return s
	}
	return c.services.Put(name, service{name: name, hash: xxhash.Sum64String(name), budget: retrybudget.New(c.cfg.Retry)})
}

// removeWork takes w off the endpoint.
func (e *endpoint) removeWork(w *work) {
	if i := slices.Index(e.works, w); i >= 0 {
		e.summed = false
		e.works = slices.Delete(e.works, i, i+1)
	}
}
