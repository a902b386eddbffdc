package controller

import (
	"math/rand/v2"
	"time"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/option"
	"trefoilpath.org/trefoilpath/internal/store"
	"trefoilpath.org/trefoilpath/internal/table"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Config describes one entry as a candidate for the placement duty. Self,
// FailureDomain, NextOp and Rand must be set.
type Config struct {
	Self          wire.NodeID
	Incarnation   wire.Incarnation // set by the entry, not read by this package
	FailureDomain wire.FailureDomain
	NextOp        func() uint64 // returns store operation IDs that are unique in the process
	Rand          *rand.Rand    // source of nonces and jitter

	// Domains lists the failure domains that share a model's MaxReplicas, in
	// any order.
	Domains []wire.FailureDomain
	// LoadSlots bounds the concurrent loads in the failure domain, which read
	// from one weight store.
	LoadSlots int
	// OrderMaxAge is the age above which agents refuse an order. A new holder
	// waits as long before its first order.
	OrderMaxAge time.Duration
	// AnswerTimeout is how long an order may remain without any answer. It is
	// also the longest time between two plans, so that orders that time out are
	// noticed.
	AnswerTimeout time.Duration
	// LoadTimeout is how long a load may take, from the order on.
	LoadTimeout time.Duration
	// DisconnectGrace is how long an endpoint without a stream or a healthy
	// engine still counts as capacity.
	DisconnectGrace time.Duration
	// PlanInterval is the shortest time between two plans.
	PlanInterval time.Duration
	// LeaseTTL is the term of the lease on the duty; 0: store.DefaultLeaseTTL.
	LeaseTTL time.Duration
}

// The defaults of Config. LeaseTTL has its default in package store.
const (
	DefaultLoadSlots       = 4
	DefaultOrderMaxAge     = 2 * time.Second
	DefaultAnswerTimeout   = 5 * time.Second
	DefaultLoadTimeout     = 15 * time.Minute
	DefaultDisconnectGrace = 20 * time.Second
	DefaultPlanInterval    = 500 * time.Millisecond
)

// LeaseKeyPrefix is the prefix of the store keys of the leases.
const LeaseKeyPrefix = "lease/placement/"

// EndpointView is one endpoint as the entry sees it on the agent's stream.
type EndpointView struct {
	Endpoint      wire.EndpointID
	Incarnation   wire.Incarnation
	FailureDomain wire.FailureDomain
	Kind          wire.Kind
	Have          wire.Assignment
	Loading       bool
	Leaving       bool
	Connected     bool
	Failing       bool // the engine does not answer
}

// ModelDemand is the recent demand for one model as the entry sees it.
type ModelDemand struct {
	Model           string
	TokensPerSecond float64
	WaitingRequests int // requests waiting for free capacity
}

// Order is an order for one endpoint. It must be sent at once or dropped.
type Order struct {
	Endpoint wire.EndpointID
	Order    wire.Order
}

// Core seeks and carries out the placement duty at one entry. It is
// deterministic and not safe for concurrent use.
type Core struct {
	cfg       Config
	lease     *store.Lease
	snapshot  *declaration.Snapshot
	endpoints *table.Table[wire.EndpointID, endpoint]
	demand    map[string]*demand

	holding      bool
	firstOrderAt time.Duration // earliest time of the first order after the lease was acquired
	nextPlan     time.Duration
	lastOrderID  uint64
	orders       []Order
}

// endpoint is one engine endpoint of any failure domain that the entry sees.
type endpoint struct {
	view           EndpointView
	lastHealthy    time.Duration // last time it had a stream and an engine that answers
	pendingOrder   *pendingOrder
	failures       int // orders that failed since the last success
	retryAt        time.Duration
	confirmedFence uint64 // fence of the last order that the agent answered
}

// New returns a Core that seeks the placement duty.
func New(cfg Config) *Core {
	option.Default(&cfg.LoadSlots, DefaultLoadSlots)
	option.Default(&cfg.OrderMaxAge, DefaultOrderMaxAge)
	option.Default(&cfg.AnswerTimeout, DefaultAnswerTimeout)
	option.Default(&cfg.LoadTimeout, DefaultLoadTimeout)
	option.Default(&cfg.DisconnectGrace, DefaultDisconnectGrace)
	option.Default(&cfg.PlanInterval, DefaultPlanInterval)
	return &Core{
		cfg: cfg,
		lease: store.NewLease(store.LeaseConfig{
			Key:    LeaseKeyPrefix + string(cfg.FailureDomain),
			Holder: string(cfg.Self),
			TTL:    cfg.LeaseTTL,
			NextOp: cfg.NextOp,
			Rand:   cfg.Rand,
		}),
		endpoints: table.New[wire.EndpointID, endpoint](),
		demand:    make(map[string]*demand),
	}
}

// SetCandidate sets whether this entry seeks the duty. A draining entry, or one
// that is not a candidate of its failure domain, does not.
func (m *Core) SetCandidate(now time.Duration, wanted bool) { m.lease.SetWanted(now, wanted) }

// SetSnapshot activates a revision of the declarations.
func (m *Core) SetSnapshot(now time.Duration, s *declaration.Snapshot) {
	m.snapshot = s
	m.schedulePlan(now)
}

// SetEndpoints updates all endpoints that the entry sees. A missing endpoint
// counts as one without a stream.
func (m *Core) SetEndpoints(now time.Duration, views []EndpointView) {
	present := make(map[wire.EndpointID]bool, len(views))
	for _, v := range views {
		if v.Kind != wire.KindEngine {
			continue
		}
		present[v.Endpoint] = true
		m.updateEndpoint(now, v)
	}
	m.endpoints.Each(func(id wire.EndpointID, e *endpoint) bool {
		if !present[id] {
			e.view.Connected = false
		}
		if !e.view.Connected && now-e.lastHealthy >= m.cfg.DisconnectGrace {
			m.endpoints.Delete(id)
		}
		return true
	})
	m.endpoints.Compact()
	m.schedulePlan(now)
}

func (m *Core) updateEndpoint(now time.Duration, v EndpointView) {
	e := m.endpoints.Get(v.Endpoint)
	if e == nil {
		e = m.endpoints.Put(v.Endpoint, endpoint{lastHealthy: now})
	}
	if v.Incarnation != e.view.Incarnation {
		e.pendingOrder = nil // the new incarnation of the agent does not know the order
		e.confirmedFence = 0
	}
	if v.Connected && !v.Failing {
		e.lastHealthy = now
	}
	e.view = v
	// A view of the instant at which the order was made may be older than it.
	if p := e.pendingOrder; p != nil && p.sent < now && !v.Loading && sameAssignment(v.Have, p.want) {
		e.orderDone()
	}
}

// StoreResult handles the result of one of this Core's store operations. It
// reports false for any other result.
func (m *Core) StoreResult(now time.Duration, r store.Result) bool {
	if !m.lease.StoreResult(now, r) {
		return false
	}
	m.trackLease(now)
	return true
}

// TakeStore returns the store operations to send, and clears them.
func (m *Core) TakeStore() []store.Op { return m.lease.TakeStore() }

// TakeOrders returns the orders to send, and clears them. The lease was held
// when the last Tick made them, so the caller sends them before anything that
// may take time.
func (m *Core) TakeOrders() []Order {
	orders := m.orders
	m.orders = nil
	return orders
}

// HoldsLease reports whether this entry carries out the duty at now.
func (m *Core) HoldsLease(now time.Duration) bool { return m.lease.Held(now) }

// Next returns the time at which Tick is due.
func (m *Core) Next() time.Duration {
	next := m.lease.Next()
	if m.holding {
		next = min(next, max(m.nextPlan, m.firstOrderAt))
	}
	return next
}

// Tick seeks or renews the lease and, while it is held, issues the orders of the
// plan.
func (m *Core) Tick(now time.Duration) {
	m.lease.Tick(now)
	m.trackLease(now)
	if !m.holding || now < m.firstOrderAt || now < m.nextPlan {
		return
	}
	m.nextPlan = now + m.cfg.AnswerTimeout
	if m.snapshot == nil {
		return
	}
	m.expireOrders(now)
	m.confirmFence(now)
	m.place(now)
}

// trackLease records when the lease is acquired or lost. A new holder does not
// know the orders of the former one that are under way, so it waits until they
// are too old.
func (m *Core) trackLease(now time.Duration) {
	held := m.lease.Held(now)
	if held == m.holding {
		return
	}
	m.holding = held
	m.orders = nil
	m.endpoints.Each(func(_ wire.EndpointID, e *endpoint) bool {
		e.pendingOrder = nil
		return true
	})
	if held {
		m.firstOrderAt = now + m.cfg.OrderMaxAge
		m.nextPlan = m.firstOrderAt
	}
}

func (m *Core) schedulePlan(now time.Duration) {
	m.nextPlan = min(m.nextPlan, now+m.cfg.PlanInterval)
}
