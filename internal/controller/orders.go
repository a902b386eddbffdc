package controller

import (
	"slices"
	"time"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// Bounds of the delay after an order that failed.
const (
	minRetryDelay = 5 * time.Second
	maxRetryDelay = 5 * time.Minute
)

// maxRetryShift keeps the doubled delay from overflowing; maxRetryDelay is
// reached earlier.
const maxRetryShift = 10

// pendingOrder is an order without a final answer.
type pendingOrder struct {
	id       uint64
	want     wire.Assignment
	sent     time.Duration
	accepted bool
	purpose  purpose
}

// purpose is the reason for an order.
type purpose uint8

// The purposes, in the order in which changes are issued.
const (
	purposeConfirm purpose = iota // keeps the assignment and raises the fence
	purposeFill                   // brings a model to its target with an unused engine, or to its minimum with any engine
	purposeMove                   // takes an engine from another model
	purposeRollout                // changes version or adapters
)

// OrderResult handles an agent's answer to an order.
func (m *Core) OrderResult(now time.Duration, id wire.EndpointID, r wire.OrderResult) {
	e := m.endpoints.Get(id)
	if e == nil || e.pendingOrder == nil || e.pendingOrder.id != r.ID || r.Fence != m.lease.Fence() {
		return
	}
	e.confirmedFence = r.Fence
	m.schedulePlan(now)
	switch r.Status {
	case wire.OrderAccepted:
		e.pendingOrder.accepted = true
	case wire.OrderDone:
		e.view.Have = r.Have
		e.view.Loading = false
		e.orderDone()
	case wire.OrderStale:
		e.confirmedFence = 0
		e.orderFailed(now)
	default:
		e.orderFailed(now)
	}
}

func (e *endpoint) orderDone() {
	e.pendingOrder = nil
	e.failures = 0
}

func (e *endpoint) orderFailed(now time.Duration) {
	e.pendingOrder = nil
	e.retryAt = now + min(minRetryDelay<<min(e.failures, maxRetryShift), maxRetryDelay)
	e.failures++
}

// expireOrders drops orders that were not answered, or not carried out, in
// time.
func (m *Core) expireOrders(now time.Duration) {
	m.endpoints.Each(func(_ wire.EndpointID, e *endpoint) bool {
		p := e.pendingOrder
		switch {
		case p == nil:
		case !p.accepted && now-p.sent >= m.cfg.AnswerTimeout:
			e.pendingOrder = nil
		case p.accepted && now-p.sent >= m.cfg.LoadTimeout:
			e.orderFailed(now)
		}
		return true
	})
}

// confirmFence orders the endpoints that run a model and can take an order to
// keep it, under the present fence. They then refuse late orders of a former
// holder. An endpoint without a model learns the fence with its first order.
func (m *Core) confirmFence(now time.Duration) {
	fence := m.lease.Fence()
	m.endpoints.Each(func(_ wire.EndpointID, e *endpoint) bool {
		if e.confirmedFence != fence && e.pendingOrder == nil && m.canTakeOrder(now, e) && e.view.Have.Model != "" {
			m.issueOrder(now, e, e.view.Have, purposeConfirm)
		}
		return true
	})
}

// canTakeOrder reports whether the endpoint can take an order now.
func (m *Core) canTakeOrder(now time.Duration, e *endpoint) bool {
	return m.isPlaceable(e) && e.view.Connected && !e.view.Loading && now >= e.retryAt
}

// isPlaceable reports whether placement counts the endpoint: it is in this
// failure domain and not draining.
func (m *Core) isPlaceable(e *endpoint) bool {
	return e.view.FailureDomain == m.cfg.FailureDomain && !e.view.Leaving
}

// issueOrder makes an order. It checks the lease for each order and reports
// whether it is held.
func (m *Core) issueOrder(now time.Duration, e *endpoint, want wire.Assignment, why purpose) bool {
	if !m.lease.Held(now) {
		return false
	}
	m.lastOrderID++
	e.pendingOrder = &pendingOrder{id: m.lastOrderID, want: want, sent: now, purpose: why}
	slot := uint64(0) // number of concurrent loads, this one included; 0: no load
	if why != purposeConfirm {
		slot = uint64(m.loads())
	}
	m.orders = append(m.orders, Order{
		Endpoint: e.view.Endpoint,
		Order: wire.Order{
			ID:                m.lastOrderID,
			Fence:             m.lease.Fence(),
			TargetIncarnation: e.view.Incarnation,
			MaxAge:            m.cfg.OrderMaxAge,
			Want:              want,
			LoadSlot:          slot,
		},
	})
	return true
}

// loads counts the loads in the failure domain that are running or ordered.
func (m *Core) loads() int {
	loads := 0
	m.endpoints.Each(func(_ wire.EndpointID, e *endpoint) bool {
		if m.isPlaceable(e) && e.loading() {
			loads++
		}
		return true
	})
	return loads
}

func (e *endpoint) loading() bool {
	return e.view.Loading || (e.pendingOrder != nil && e.pendingOrder.purpose != purposeConfirm)
}

// sameAssignment reports whether two assignments are equal; an unset role means
// RoleServe.
func sameAssignment(a, b wire.Assignment) bool {
	return a.Model == b.Model && a.Version == b.Version && roleOrDefault(a) == roleOrDefault(b) &&
		slices.Equal(a.Adapters, b.Adapters)
}

func roleOrDefault(a wire.Assignment) wire.Role {
	if a.Role == "" {
		return wire.RoleServe
	}
	return a.Role
}
