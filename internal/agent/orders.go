package agent

import (
	"slices"
	"time"

	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// orderTracker tracks what controllers have ordered beyond the rows of the
// Orders table, and the resulting assignment.
type orderTracker struct {
	highestFence    uint64          // highest fencing number received
	latestOrder     orderKey        // the last order of a controller put into the Orders table
	assigned        wire.Assignment // assignment that the last completed order gave the engine
	hasAssigned     bool            // assigned is set and the engine has not restarted since
	drainingForLoad bool            // running work ends before the next load
	quietUntil      time.Duration   // until then an order of an earlier agent incarnation may still reach the engine
	loadedAt        time.Duration   // end of the last load
	localOrders     uint64          // number of orders issued by the agent itself
}

// localOrderBase separates the IDs of orders that the agent issues itself,
// which are above it, from those of controllers.
const localOrderBase = 1 << 62

// ingestOrder accepts an order, or refuses it as stale. A repeated order
// only restarts the age of its row, and its answer goes to the new sender.
func (c *Core) ingestOrder(from wire.NodeID, o wire.Order) {
	key := orderKey{fence: o.Fence, id: o.ID}
	if c.isStale(key, o) {
		c.log(Event{Kind: EventOrderStale, Entry: from, Reason: o.Want.Model})
		c.answerOrder(from, o, wire.OrderStale)
		return
	}
	c.orderTracker.highestFence = max(c.orderTracker.highestFence, o.Fence)
	if c.cfg.Kind != wire.KindEngine || c.leaving.active {
		c.answerOrder(from, o, wire.OrderFailed)
		return
	}
	if row := c.orders.Get(key); row != nil {
		row.receivedAt = c.now
		row.from = from
		return
	}
	c.orderTracker.latestOrder = key
	c.dropWaitingOrders()
	c.orders.Put(key, order{Order: o, from: from, receivedAt: c.now, state: orderWaiting})
}

func (c *Core) isStale(key orderKey, o wire.Order) bool {
	if c.cfg.disabled(mechanismFence) {
		return false
	}
	if o.TargetIncarnation != 0 && o.TargetIncarnation != c.cfg.Incarnation {
		return true
	}
	return o.Fence < c.orderTracker.highestFence || (o.Fence == c.orderTracker.latestOrder.fence && key.id < c.orderTracker.latestOrder.id)
}

// dropWaitingOrders ends the waiting orders as stale, as a newer one
// replaces them.
func (c *Core) dropWaitingOrders() {
	c.orders.Each(func(key orderKey, o *order) bool {
		if o.state == orderWaiting {
			c.finishOrder(key, o, wire.OrderStale)
		}
		return true
	})
}

// finishOrder answers an order and deletes its row.
func (c *Core) finishOrder(key orderKey, o *order, status wire.OrderStatus) {
	c.log(Event{Kind: EventOrder, Entry: o.from, Reason: orderStatusNames[status]})
	c.answerOrder(o.from, o.Order, status)
	c.orders.Delete(key)
}

var orderStatusNames = map[wire.OrderStatus]string{
	wire.OrderDone:     "done",
	wire.OrderStale:    "stale",
	wire.OrderFailed:   "failed",
	wire.OrderAccepted: "accepted",
}

func (c *Core) answerOrder(to wire.NodeID, o wire.Order, status wire.OrderStatus) {
	if to == "" {
		return
	}
	c.send(to, wire.ToEntry{OrderResult: &wire.OrderResult{ID: o.ID, Fence: o.Fence, Status: status, Have: c.engine.assignment}})
}

// runOrders ends loads whose answer was lost, issues the agent's own orders and
// takes the next step of the waiting order.
func (c *Core) runOrders() {
	if c.cfg.Kind != wire.KindEngine {
		return
	}
	c.resolveLoading()
	c.restoreAssignment()
	c.loadStarvedModel()
	key, o := c.waitingOrder()
	if o == nil {
		c.orderTracker.drainingForLoad = false
		return
	}
	if c.now > addSaturating(o.receivedAt, o.MaxAge) && !c.cfg.disabled(mechanismOrderAge) {
		c.orderTracker.drainingForLoad = false
		c.log(Event{Kind: EventOrderStale, Entry: o.from, Reason: "age"})
		c.finishOrder(key, o, wire.OrderStale)
		return
	}
	c.setTimer(timerKey{kind: timerOrder}, max(addSaturating(o.receivedAt, o.MaxAge), c.now)+1)
	if c.engine.up && !c.engine.loading {
		c.advanceOrder(key, o)
	}
}

func (c *Core) waitingOrder() (orderKey, *order) {
	var key orderKey
	var found *order
	c.orders.Each(func(k orderKey, o *order) bool {
		if o.state == orderWaiting {
			key, found = k, o
		}
		return true
	})
	return key, found
}

// advanceOrder takes the next step of an order whose age the caller has
// checked.
func (c *Core) advanceOrder(key orderKey, o *order) {
	if sameAssignment(c.engine.assignment, o.Want) {
		c.orderTracker.assigned, c.orderTracker.hasAssigned = c.engine.assignment, true
		c.orderTracker.drainingForLoad = false
		c.finishOrder(key, o, wire.OrderDone)
		return
	}
	if c.inQuietTime() {
		c.setTimer(timerKey{kind: timerOrder}, min(c.orderTracker.quietUntil, addSaturating(o.receivedAt, o.MaxAge)+1))
		return
	}
	if c.mustDrainFirst(o) {
		c.startDraining()
		if c.engine.running > 0 || c.reservations.Len() > 0 {
			return
		}
	}
	c.load(o)
}

// inQuietTime reports whether an order that an earlier incarnation of the
// agent sent may still reach the engine, if the engine does not check
// fencing numbers.
func (c *Core) inQuietTime() bool {
	return c.cfg.Fence == FenceIgnored && c.now < c.orderTracker.quietUntil && !c.cfg.disabled(mechanismQuietTime)
}

// mustDrainFirst reports whether a load would interrupt running work.
// Adapters and roles change without interrupting it.
func (c *Core) mustDrainFirst(o *order) bool {
	have, want := c.engine.assignment, o.Want
	same := have.Model == want.Model && have.Version == want.Version
	return !same && !c.cfg.disabled(mechanismDrain)
}

func (c *Core) startDraining() {
	if c.orderTracker.drainingForLoad {
		return
	}
	c.orderTracker.drainingForLoad = true
	c.refuseAllWaiting(refusal{reason: wire.RefuseModel, retryAfter: modelRetryAfter})
}

func (c *Core) load(o *order) {
	o.state = orderLoading
	o.loadSentAt = c.now
	c.engine.loading = true
	c.reportToAll = true
	c.answerOrder(o.from, o.Order, wire.OrderAccepted)
	c.command(wire.AttemptID{}, engine.Command{Load: &engine.Load{
		OrderID:     o.ID,
		Want:        o.Want,
		Fence:       c.orderTracker.highestFence,
		Incarnation: c.cfg.Incarnation,
	}})
}

func (c *Core) loadingOrder(match func(*order) bool) (orderKey, *order) {
	var key orderKey
	var found *order
	c.orders.Each(func(k orderKey, o *order) bool {
		if o.state == orderLoading && match(o) {
			key, found = k, o
		}
		return found == nil
	})
	return key, found
}

// ingestLoaded handles the engine's answer to a load.
func (c *Core) ingestLoaded(ev *engine.Loaded) {
	key, o := c.loadingOrder(func(o *order) bool { return o.ID == ev.OrderID })
	if o == nil {
		return
	}
	status := wire.OrderFailed
	switch {
	case ev.OK:
		status = wire.OrderDone
	case ev.Stale:
		status = wire.OrderStale
	}
	c.finishLoad(key, o, status, ev.Have)
}

func (c *Core) finishLoad(key orderKey, o *order, status wire.OrderStatus, have wire.Assignment) {
	c.engine.assignment = have
	c.engine.loading = false
	c.orderTracker.loadedAt = c.now
	c.orderTracker.drainingForLoad = false
	c.reportToAll = true
	c.resetCache()
	if status == wire.OrderDone {
		c.orderTracker.assigned, c.orderTracker.hasAssigned = have, true
	}
	c.finishOrder(key, o, status)
}

// resolveLoading ends a load whose answer was lost, with the outcome that
// the engine's state shows.
func (c *Core) resolveLoading() {
	s := c.engineSnapshot
	if s == nil || s.Loading {
		return
	}
	sampledAt := c.now - s.Age
	key, o := c.loadingOrder(func(o *order) bool { return sampledAt > o.loadSentAt+stateSlack })
	if o == nil {
		return
	}
	status := wire.OrderFailed
	if sameAssignment(s.Have, o.Want) {
		status = wire.OrderDone
	}
	c.finishLoad(key, o, status, s.Have)
}

// updateAssignment takes the assignment from an engine state, unless a load
// is in progress or has ended since the state was sampled.
func (c *Core) updateAssignment(s *engine.State, sampledAt time.Duration) {
	if sampledAt < c.orderTracker.loadedAt || c.engine.loading {
		return
	}
	if !sameAssignment(c.engine.assignment, s.Have) {
		c.reportToAll = true
	}
	c.engine.assignment = s.Have
	if s.Have.Model == "" && !s.Loading {
		c.orderTracker.hasAssigned = false // the engine has restarted
	}
}

// restoreAssignment loads the last assignment again if the engine runs
// another one that no order of this agent has given it.
func (c *Core) restoreAssignment() {
	if c.engineSnapshot == nil || !c.orderTracker.hasAssigned || c.cfg.disabled(mechanismStray) || c.orders.Len() > 0 {
		return
	}
	if c.engineSnapshot.Loading || sameAssignment(c.engine.assignment, c.orderTracker.assigned) {
		return
	}
	c.log(Event{Kind: EventOrder, Reason: "undo-stray"})
	c.addLocalOrder(c.orderTracker.assigned)
}

// loadStarvedModel gives an engine without an assignment the model that most
// lacks capacity according to an entry, while the platform's store is down
// and no controller can send orders.
func (c *Core) loadStarvedModel() {
	if c.engine.assignment.Model != "" || !c.engine.stateRead || c.engine.loading || c.leaving.active || c.orders.Len() > 0 || c.inQuietTime() {
		return
	}
	var model string
	c.entries.Each(func(_ wire.NodeID, e *entryRow) bool {
		if e.up && e.storeDown && len(e.starvedModels) > 0 {
			model = e.starvedModels[0]
		}
		return model == ""
	})
	if model == "" {
		return
	}
	c.log(Event{Kind: EventOrder, Reason: "starved " + model})
	c.addLocalOrder(wire.Assignment{Model: model, Role: wire.RoleServe})
}

// addLocalOrder adds an order that the agent issues itself.
func (c *Core) addLocalOrder(want wire.Assignment) {
	c.orderTracker.localOrders++
	o := wire.Order{
		ID:     localOrderBase + c.orderTracker.localOrders,
		Fence:  c.orderTracker.highestFence,
		MaxAge: c.cfg.OrderMaxAge,
		Want:   want,
	}
	key := orderKey{fence: o.Fence, id: o.ID}
	c.orders.Put(key, order{Order: o, receivedAt: c.now, state: orderWaiting})
}

// failLoadingOrders fails the loads of an engine that is gone. The agent
// does not restore the assignment: loads take slots of the weight store, so
// the holder of the controller's lease has to order them.
func (c *Core) failLoadingOrders() {
	c.orders.Each(func(key orderKey, o *order) bool {
		if o.state == orderLoading {
			c.finishOrder(key, o, wire.OrderFailed)
		}
		return true
	})
	c.orderTracker.hasAssigned = false
}

func roleOf(a wire.Assignment) wire.Role {
	if a.Role == "" {
		return wire.RoleServe
	}
	return a.Role
}

// sameAssignment reports whether an engine with assignment have satisfies
// want. An empty version in want matches any.
func sameAssignment(have, want wire.Assignment) bool {
	if have.Model != want.Model || roleOf(have) != roleOf(want) {
		return false
	}
	if want.Version != "" && have.Version != want.Version {
		return false
	}
	return slices.Equal(have.Adapters, want.Adapters)
}
