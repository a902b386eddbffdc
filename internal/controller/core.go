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

// Config describes one entry as a candidate for the duty. Self, Incarnation,
// FailureDomain, NextOp and Rand must be set.
type Config struct {
	Self          wire.NodeID
	Incarnation   wire.Incarnation
	FailureDomain wire.FailureDomain
	NextOp        func() uint64 // returns store operation IDs that are unique in the process
	Rand          *rand.Rand    // nonces and jitter

	// Domains lists the failure domains that share MaxReplicas, in any order.
	Domains []wire.FailureDomain
	// LoadSlots bounds the loads at a time in the failure domain.
	LoadSlots int
	// OrderMaxAge is the age limit of orders. A new holder waits as long before
	// its first order.
	OrderMaxAge time.Duration
	// AnswerWithin is when an order without any answer is given up.
	AnswerWithin time.Duration
	// LoadWithin is when a load that has begun is given up.
	LoadWithin time.Duration
	// Grace is how long an endpoint without a stream keeps its place.
	Grace time.Duration
	// PlanEvery is the shortest time between two plans.
	PlanEvery time.Duration
	// LeaseTTL is the term of the duty's lease.
	LeaseTTL time.Duration
}

// The defaults of Config.
const (
	DefaultLoadSlots    = 4
	DefaultOrderMaxAge  = 2 * time.Second
	DefaultAnswerWithin = 5 * time.Second
	DefaultLoadWithin   = 15 * time.Minute
	DefaultGrace        = 20 * time.Second
	DefaultPlanEvery    = 500 * time.Millisecond
)

// LeaseKeyPrefix is the prefix of the keys under which holders keep the duty.
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
	Waiting         int // requests that wait for room
}

// Order is an order for one endpoint. It must be sent at once or not at all.
type Order struct {
	Endpoint wire.EndpointID
	Order    wire.Order
}

// Core is the duty as carried out or sought by one entry. It is deterministic
// and not safe for concurrent use.
type Core struct {
	cfg       Config
	lease     *store.Lease
	snapshot  *declaration.Snapshot
	endpoints *table.Table[wire.EndpointID, endpoint]
	demand    map[string]*demand

	holding bool
	actFrom time.Duration // first order of this holder
	planAt  time.Duration
	order   uint64 // ID of the last order
	orders  []Order
}

// endpoint is one engine endpoint of the failure domain, or a view of one elsewhere.
type endpoint struct {
	view      EndpointView
	seen      time.Duration // last time with a stream and an engine that answers
	pending   *pending
	failures  int
	retryAt   time.Duration
	confirmed uint64 // fence of the last order that the agent answered
}

// New returns a Core that seeks the duty.
func New(cfg Config) *Core {
	option.Default(&cfg.LoadSlots, DefaultLoadSlots)
	option.Default(&cfg.OrderMaxAge, DefaultOrderMaxAge)
	option.Default(&cfg.AnswerWithin, DefaultAnswerWithin)
	option.Default(&cfg.LoadWithin, DefaultLoadWithin)
	option.Default(&cfg.Grace, DefaultGrace)
	option.Default(&cfg.PlanEvery, DefaultPlanEvery)
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

// SetWanted says whether this entry seeks the duty. An entry that leaves, or is
// not among the candidates of its failure domain, does not.
func (m *Core) SetWanted(now time.Duration, wanted bool) { m.lease.SetWanted(now, wanted) }

// SetSnapshot puts a revision of the declarations in force.
func (m *Core) SetSnapshot(now time.Duration, s *declaration.Snapshot) {
	m.snapshot = s
	m.planSoon(now)
}

// SetEndpoints takes all endpoints that the entry sees. One that is missing
// counts as without a stream.
func (m *Core) SetEndpoints(now time.Duration, views []EndpointView) {
	present := make(map[wire.EndpointID]bool, len(views))
	for _, v := range views {
		if v.Kind != wire.KindEngine {
			continue
		}
		present[v.Endpoint] = true
		m.update(now, v)
	}
	m.endpoints.Each(func(id wire.EndpointID, e *endpoint) bool {
		if !present[id] {
			e.view.Connected = false
		}
		if !e.view.Connected && now-e.seen >= m.cfg.Grace {
			m.endpoints.Delete(id)
		}
		return true
	})
	m.endpoints.Compact()
	m.planSoon(now)
}

func (m *Core) update(now time.Duration, v EndpointView) {
	e := m.endpoints.Get(v.Endpoint)
	if e == nil {
		e = m.endpoints.Put(v.Endpoint, endpoint{seen: now})
	}
	if v.Incarnation != e.view.Incarnation {
		e.pending = nil // a new agent knows nothing of the order
		e.confirmed = 0
	}
	if v.Connected && !v.Failing {
		e.seen = now
	}
	e.view = v
	if p := e.pending; p != nil && p.sent < now && !v.Loading && sameAssignment(v.Have, p.want) {
		e.done()
	}
}

// StoreResult takes the answer to one of the machine's operations. It reports
// false for any other.
func (m *Core) StoreResult(now time.Duration, r store.Result) bool {
	if !m.lease.StoreResult(now, r) {
		return false
	}
	m.follow(now)
	return true
}

// TakeStore returns the operations to send.
func (m *Core) TakeStore() []store.Op { return m.lease.TakeStore() }

// TakeOrders returns the orders to send. They were made under the lease in the
// last Tick, so the caller sends them before anything that may take time.
func (m *Core) TakeOrders() []Order {
	orders := m.orders
	m.orders = nil
	return orders
}

// Holding reports whether this entry carries out the duty at now.
func (m *Core) Holding(now time.Duration) bool { return m.lease.Held(now) }

// Next returns the time at which Tick is due.
func (m *Core) Next() time.Duration {
	next := m.lease.Next()
	if m.holding {
		next = min(next, max(m.planAt, m.actFrom))
	}
	return next
}

// Tick keeps the lease and, while it is held, orders what the plan asks for.
func (m *Core) Tick(now time.Duration) {
	m.lease.Tick(now)
	m.follow(now)
	if !m.holding || now < m.actFrom || now < m.planAt {
		return
	}
	m.planAt = now + m.cfg.AnswerWithin
	if m.snapshot == nil {
		return
	}
	m.expireOrders(now)
	m.confirm(now)
	m.place(now)
}

// follow notes the gain and the loss of the duty. A successor knows nothing of
// orders that are under way, so it lets their age limit pass.
func (m *Core) follow(now time.Duration) {
	held := m.lease.Held(now)
	if held == m.holding {
		return
	}
	m.holding = held
	m.orders = nil
	m.endpoints.Each(func(_ wire.EndpointID, e *endpoint) bool {
		e.pending = nil
		return true
	})
	if held {
		m.actFrom = now + m.cfg.OrderMaxAge
		m.planAt = m.actFrom
	}
}

func (m *Core) planSoon(now time.Duration) {
	m.planAt = min(m.planAt, now+m.cfg.PlanEvery)
}
