package controller

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/standin/storemodel"
	"trefoilpath.org/trefoilpath/internal/store"
	"trefoilpath.org/trefoilpath/internal/store/storetest"
	"trefoilpath.org/trefoilpath/internal/wire"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const (
	testDomain = "zona-antigua"
	loadTime   = 10 * time.Second
	step       = 20 * time.Millisecond
)

// agent is the endpoint side of orders: it refuses orders with a lower fence or
// for another incarnation, and takes loadTime for each load.
type agent struct {
	view     EndpointView
	fence    uint64
	order    wire.Order
	loadEnds time.Duration
	loads    int
	refused  int // number of orders refused as stale
}

func (a *agent) take(now time.Duration, o wire.Order) (wire.OrderResult, bool) {
	r := wire.OrderResult{ID: o.ID, Fence: o.Fence, Have: a.view.Have}
	switch {
	case o.Fence < a.fence || o.TargetIncarnation != a.view.Incarnation:
		a.refused++
		r.Status = wire.OrderStale
		return r, true
	case sameAssignment(o.Want, a.view.Have) && !a.view.Loading:
		a.fence = o.Fence
		r.Status = wire.OrderDone
		return r, true
	}
	a.fence = o.Fence
	a.order = o
	a.view.Loading = true
	a.loadEnds = now + loadTime
	a.loads++
	r.Status = wire.OrderAccepted
	return r, true
}

func (a *agent) finish(now time.Duration) (wire.OrderResult, bool) {
	if !a.view.Loading || now < a.loadEnds {
		return wire.OrderResult{}, false
	}
	a.view.Loading = false
	a.view.Have = a.order.Want
	return wire.OrderResult{ID: a.order.ID, Fence: a.order.Fence, Status: wire.OrderDone, Have: a.view.Have}, true
}

// candidate is one entry that seeks the placement duty.
type candidate struct {
	m           *Core
	link        *storetest.Link
	pausedUntil time.Duration
	dead        bool
	orders      int
}

// domain is one failure domain with its agents and entries on a virtual clock.
type domain struct {
	t          failer
	now        time.Duration
	storeModel *storemodel.Model
	agents     []*agent
	candidates []*candidate
	demand     []ModelDemand
	storeDown  bool
	maxLoads   int            // most concurrent loads seen
	minServed  map[string]int // lowest number of serving engines of each model since resetServed
}

type failer interface {
	Fatalf(format string, args ...any)
}

func newDomain(t failer, engines, entries int, s *declaration.Snapshot) *domain {
	d := &domain{t: t, storeModel: storemodel.New()}
	for i := range engines {
		d.agents = append(d.agents, &agent{view: EndpointView{
			Endpoint:      wire.EndpointID(fmt.Sprintf("engine-%02d", i)),
			Incarnation:   1,
			FailureDomain: testDomain,
			Kind:          wire.KindEngine,
			Connected:     true,
		}})
	}
	for i := range entries {
		op := uint64(0)
		c := &candidate{}
		c.m = New(Config{
			Self:          wire.NodeID(fmt.Sprintf("entry-%d", i)),
			FailureDomain: testDomain,
			Domains:       []wire.FailureDomain{testDomain, "zona-xela"},
			NextOp:        func() uint64 { op++; return op },
			Rand:          rand.New(rand.NewPCG(uint64(i), 11)),
			LoadSlots:     2,
		})
		c.m.SetSnapshot(0, s)
		c.link = &storetest.Link{Model: d.storeModel, Delay: time.Millisecond, Choose: func(store.Op) storetest.Outcome {
			if d.storeDown {
				return storetest.Refuse
			}
			return storetest.Deliver
		}}
		d.candidates = append(d.candidates, c)
	}
	d.resetServed()
	return d
}

func (d *domain) resetServed() {
	d.minServed = map[string]int{}
	for name, n := range d.served() {
		d.minServed[name] = n
	}
}

// served counts the engines that serve each model.
func (d *domain) served() map[string]int {
	served := make(map[string]int)
	for _, a := range d.agents {
		if a.view.Connected && !a.view.Loading && a.view.Have.Model != "" {
			served[a.view.Have.Model]++
		}
	}
	return served
}

func (d *domain) views() []EndpointView {
	var views []EndpointView
	for _, a := range d.agents {
		views = append(views, a.view)
	}
	return views
}

func (d *domain) step() {
	d.now += step
	for _, a := range d.agents {
		if r, ok := a.finish(d.now); ok {
			d.answer(a, r)
		}
	}
	holding := 0
	for _, c := range d.candidates {
		if c.dead || d.now < c.pausedUntil {
			continue
		}
		d.act(c)
		if c.m.HoldsLease(d.now) {
			holding++
		}
	}
	if holding > 1 {
		d.t.Fatalf("%d entries hold the lease at %s", holding, d.now)
	}
	d.recordMetrics()
}

func (d *domain) act(c *candidate) {
	for _, r := range c.link.Receive(d.now) {
		c.m.StoreResult(d.now, r)
	}
	if d.now%(200*time.Millisecond) == 0 {
		c.m.SetEndpoints(d.now, d.views())
		c.m.SetDemand(d.now, d.demand)
	}
	if c.m.Next() <= d.now {
		c.m.Tick(d.now)
	}
	c.link.Send(d.now, c.m.TakeStore())
	for _, o := range c.m.TakeOrders() {
		d.order(c, o)
	}
}

func (d *domain) order(c *candidate, o Order) {
	c.orders++
	for _, a := range d.agents {
		if a.view.Endpoint != o.Endpoint || !a.view.Connected {
			continue
		}
		if r, ok := a.take(d.now, o.Order); ok {
			c.m.OrderResult(d.now, o.Endpoint, r)
		}
	}
}

func (d *domain) answer(a *agent, r wire.OrderResult) {
	for _, c := range d.candidates {
		if !c.dead && d.now >= c.pausedUntil {
			c.m.OrderResult(d.now, a.view.Endpoint, r)
		}
	}
}

func (d *domain) recordMetrics() {
	loads := 0
	for _, a := range d.agents {
		if a.view.Loading {
			loads++
		}
	}
	d.maxLoads = max(d.maxLoads, loads)
	served := d.served()
	for name, lowest := range d.minServed {
		d.minServed[name] = min(lowest, served[name])
	}
}

func (d *domain) run(t time.Duration) {
	for end := d.now + t; d.now < end; {
		d.step()
	}
}

func (d *domain) loads() (n int) {
	for _, a := range d.agents {
		n += a.loads
	}
	return n
}

// refused returns the number of orders that agents refused as stale.
func (d *domain) refused() (n int) {
	for _, a := range d.agents {
		n += a.refused
	}
	return n
}

func (d *domain) totalOrders() (n int) {
	for _, c := range d.candidates {
		n += c.orders
	}
	return n
}

// holder returns the entry that holds the lease.
func (d *domain) holder() *candidate {
	for _, c := range d.candidates {
		if !c.dead && c.m.HoldsLease(d.now) {
			return c
		}
	}
	d.t.Fatalf("no entry holds the lease at %s", d.now)
	return nil
}

// restart replaces an agent and its engine by new ones without a loaded model.
func (a *agent) restart() {
	a.view.Incarnation++
	a.view.Have = wire.Assignment{}
	a.view.Loading = false
	a.fence = 0
}

func snapshotOf(models ...declaration.Model) *declaration.Snapshot {
	return &declaration.Snapshot{Revision: 1, Models: models}
}
