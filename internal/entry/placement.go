package entry

import (
	"trefoilpath.org/trefoilpath/internal/controller"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// runPlacement advances placement and sends its orders to agents.
func (f *fleet) runPlacement() {
	if f.endpointsChanged {
		f.endpointsChanged = false
		f.placement.SetEndpoints(f.c.now, f.endpointViews())
		f.c.starved = f.placement.ModelsByNeed()
	}
	f.placement.Tick(f.c.now)
	for _, o := range f.placement.TakeOrders() {
		order := o.Order
		f.c.send(o.Endpoint, wire.ToAgent{Order: &order})
		f.c.log(Event{Kind: EventOrder, Endpoint: o.Endpoint, Detail: order.Want.Model + " " + order.Want.Version})
	}
}

// endpointViews returns all endpoints in the form that placement takes.
func (f *fleet) endpointViews() []controller.EndpointView {
	var views []controller.EndpointView
	f.c.endpoints.Each(func(_ wire.EndpointID, e *endpoint) bool {
		views = append(views, controller.EndpointView{
			Endpoint: e.id, Incarnation: e.hello.Incarnation, FailureDomain: e.hello.FailureDomain, Kind: e.hello.Kind,
			Have: e.report.Have, Loading: e.report.Loading, Leaving: e.leaving, Connected: e.up, Failing: e.report.Failing,
		})
		return true
	})
	return views
}

// updateDemand passes the recent demand for each model to placement.
func (f *fleet) updateDemand() {
	var demands []controller.ModelDemand
	f.c.models.Each(func(_ string, m *modelState) bool {
		demands = append(demands, controller.ModelDemand{Model: m.name, TokensPerSecond: m.demand, WaitingRequests: len(m.waiting)})
		return true
	})
	f.placement.SetDemand(f.c.now, demands)
	f.endpointsChanged = true
}

func (f *fleet) orderResult(id wire.EndpointID, r wire.OrderResult) {
	f.placement.OrderResult(f.c.now, id, r)
}

// holdsPlacementLease reports whether this entry now decides placement in its
// failure domain.
func (f *fleet) holdsPlacementLease() bool { return f.placement.HoldsLease(f.c.now) }
