package controller

import (
	"slices"
	"time"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// Bounds of the pause after an order that failed.
const (
	minRetry = 5 * time.Second
	maxRetry = 5 * time.Minute
)

// pending is an order without a final answer.
type pending struct {
	id       uint64
	want     wire.Assignment
	sent     time.Duration
	accepted bool
	purpose  purpose
}

// purpose says why an order was given.
type purpose uint8

const (
	purposeConfirm purpose = iota // keeps the assignment, raises the fence
	purposeFill                   // brings a model to its target from an engine without a use
	purposeMove                   // takes an engine from another model
	purposeRollout                // changes version or adapters
)

// OrderResult takes an agent's answer to an order.
func (m *Core) OrderResult(now time.Duration, id wire.EndpointID, r wire.OrderResult) {
	e := m.endpoints.Get(id)
	if e == nil || e.pending == nil || e.pending.id != r.ID || r.Fence != m.lease.Fence() {
		return
	}
	e.confirmed = r.Fence
	m.planSoon(now)
	switch r.Status {
	case wire.OrderAccepted:
		e.pending.accepted = true
	case wire.OrderDone:
		e.view.Have = r.Have
		e.view.Loading = false
		e.done()
	case wire.OrderStale:
		e.confirmed = 0
		e.failed(now)
	default:
		e.failed(now)
	}
}

func (e *endpoint) done() {
	e.pending = nil
	e.failures = 0
}

func (e *endpoint) failed(now time.Duration) {
	e.pending = nil
	e.retryAt = now + min(minRetry<<min(e.failures, 10), maxRetry)
	e.failures++
}

// expireOrders gives up orders that were not answered in time.
func (m *Core) expireOrders(now time.Duration) {
	m.endpoints.Each(func(_ wire.EndpointID, e *endpoint) bool {
		p := e.pending
		switch {
		case p == nil:
		case !p.accepted && now-p.sent >= m.cfg.AnswerWithin:
			e.pending = nil
		case p.accepted && now-p.sent >= m.cfg.LoadWithin:
			e.failed(now)
		}
		return true
	})
}

// confirm tells every endpoint of the failure domain the present fence by an
// order to keep what it has, so that it refuses a former holder's late orders.
func (m *Core) confirm(now time.Duration) {
	fence := m.lease.Fence()
	m.endpoints.Each(func(_ wire.EndpointID, e *endpoint) bool {
		if e.confirmed != fence && e.pending == nil && m.mayOrder(now, e) && e.view.Have.Model != "" {
			m.give(now, e, e.view.Have, purposeConfirm)
		}
		return true
	})
}

// mayOrder reports whether the endpoint can take an order.
func (m *Core) mayOrder(now time.Duration, e *endpoint) bool {
	return m.own(e) && e.view.Connected && !e.view.Loading && now >= e.retryAt
}

// own reports whether the endpoint belongs to the duty.
func (m *Core) own(e *endpoint) bool {
	return e.view.FailureDomain == m.cfg.FailureDomain && !e.view.Leaving
}

// give makes an order. The lease is checked here, for each order.
func (m *Core) give(now time.Duration, e *endpoint, want wire.Assignment, why purpose) bool {
	if !m.lease.Held(now) {
		return false
	}
	m.order++
	e.pending = &pending{id: m.order, want: want, sent: now, purpose: why}
	slot := uint64(0)
	if why != purposeConfirm {
		slot = uint64(m.loads())
	}
	m.orders = append(m.orders, Order{
		Endpoint: e.view.Endpoint,
		Order: wire.Order{
			ID:                m.order,
			Fence:             m.lease.Fence(),
			TargetIncarnation: e.view.Incarnation,
			MaxAge:            m.cfg.OrderMaxAge,
			Want:              want,
			LoadSlot:          slot,
		},
	})
	return true
}

// loads counts the loads that are under way or ordered in the failure domain.
func (m *Core) loads() int {
	loads := 0
	m.endpoints.Each(func(_ wire.EndpointID, e *endpoint) bool {
		if m.own(e) && e.loading() {
			loads++
		}
		return true
	})
	return loads
}

func (e *endpoint) loading() bool {
	return e.view.Loading || (e.pending != nil && e.pending.purpose != purposeConfirm)
}

// sameAssignment compares assignments; an unset role means RoleServe.
func sameAssignment(a, b wire.Assignment) bool {
	return a.Model == b.Model && a.Version == b.Version && role(a) == role(b) &&
		slices.Equal(a.Adapters, b.Adapters)
}

func role(a wire.Assignment) wire.Role {
	if a.Role == "" {
		return wire.RoleServe
	}
	return a.Role
}
