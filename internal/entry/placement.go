package entry

import (
	"trefoilpath.org/trefoilpath/internal/controller"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// place runs the placement duty and sends its orders.
func (f *fleet) place() {
	if f.changed {
		f.changed = false
		f.placer.SetEndpoints(f.c.now, f.views())
		f.c.starved = f.placer.Starved()
	}
	f.placer.Tick(f.c.now)
	for _, o := range f.placer.TakeOrders() {
		order := o.Order
		f.c.send(o.Endpoint, wire.ToAgent{Order: &order})
		f.c.log(Event{Kind: EventOrder, Endpoint: o.Endpoint, Detail: order.Want.Model + " " + order.Want.Version})
	}
}

// views returns the endpoints of the failure domain as the duty sees them.
func (f *fleet) views() []controller.EndpointView {
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

// updateDemand tells the duty of the recent demand for each model.
func (f *fleet) updateDemand() {
	var demands []controller.ModelDemand
	f.c.models.Each(func(_ string, m *modelRow) bool {
		demands = append(demands, controller.ModelDemand{Model: m.name, TokensPerSecond: m.demand, Waiting: len(m.waiting)})
		return true
	})
	f.placer.SetDemand(f.c.now, demands)
	f.changed = true
}

func (f *fleet) orderResult(id wire.EndpointID, r wire.OrderResult) {
	f.placer.OrderResult(f.c.now, id, r)
}

// placing reports whether this entry carries out the duty now.
func (f *fleet) placing() bool { return f.placer.Holding(f.c.now) }
