package entry

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/idempotency"
	"trefoilpath.org/trefoilpath/internal/store"
	"trefoilpath.org/trefoilpath/internal/table"
	"trefoilpath.org/trefoilpath/internal/timer"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Core is the state of one entry. It is deterministic and not safe for
// concurrent use.
type Core struct {
	cfg Config
	now time.Duration // monotonic time of the current tick; all stored times are on this clock
	out []Output      // of the current tick

	requests  *table.Table[RequestID, request]
	attempts  *table.Table[uint64, attempt]
	endpoints *table.Table[wire.EndpointID, endpoint]
	models    *table.Table[string, modelState]
	services  *table.Table[string, serviceState]
	timers    *timer.Queue[timerKey]

	snapshot      *declaration.Snapshot
	records       *idempotency.Core
	storeThrottle *store.Throttle
	fleet         *fleet

	lastAttempt     uint64      // sequence number of the last attempt
	lastOp          uint64      // number of the last store operation
	toRoute         []RequestID // to be routed in this tick
	retryBudget     retryBudget
	drain           drainState
	ready           readiness
	counts          Counts
	candidates      []*endpoint   // of one routing decision; reused
	starved         []string      // models with the least capacity for their demand, see controller.Core.ModelsByNeed; sent to agents
	reportTimeout   time.Duration // an endpoint without a report for this long gets no work
	demandUpdatedAt time.Duration // time of the last update of demand
}

// modelState is the state of one model.
type modelState struct {
	name              string
	endpoints         []*endpoint             // that run the model now, in the order in which they were added
	nextRoundRobin    int                     // counter of the round-robin policy
	waiting           []RequestID             // requests without a usable endpoint or a place among maxGroups, oldest first
	groups            int                     // in progress
	demand            float64                 // moving average of prompt and output tokens a second
	tokensPerByte     float64                 // moving average of prompt tokens per byte, from engines' counts; 0: no count yet
	meanOutput        [wire.BandCount]float64 // moving average of output tokens, by band
	tokensSinceUpdate float64                 // prompt and output tokens since the last update of demand
	maxCapacity       int64                   // largest KV cache of an endpoint so far, in tokens
}

// serviceState is the state of one plain service.
type serviceState struct {
	name      string
	endpoints []*endpoint
	waiting   []RequestID
}

// New returns an entry without agents, peers or declarations. The error is an
// *OptionError.
func New(cfg Config) (*Core, error) {
	cfg.setDefaults()
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	c := &Core{
		cfg:           cfg,
		requests:      table.New[RequestID, request](),
		attempts:      table.New[uint64, attempt](),
		endpoints:     table.New[wire.EndpointID, endpoint](),
		models:        table.New[string, modelState](),
		services:      table.New[string, serviceState](),
		timers:        timer.New[timerKey](),
		storeThrottle: store.NewThrottle(store.ThrottleConfig{Rand: cfg.Rand}),
		reportTimeout: minReportTimeout,
		retryBudget:   retryBudget{ratio: cfg.RetryRatio, burst: cfg.RetryBurst, available: cfg.RetryBurst},
	}
	c.records = idempotency.New(idempotency.Config{
		Self: cfg.Self, Incarnation: cfg.Incarnation, NextOp: c.nextOp, Rand: cfg.Rand,
	})
	c.fleet = newFleet(c)
	c.timers.Set(timerKey{kind: timerHeartbeat}, 0)
	return c, nil
}

func (c *Core) nextOp() uint64 {
	c.lastOp++
	return c.lastOp
}

// Tick advances the core to now and applies the inputs in order. The returned
// outputs are to be carried out in order; the slice is valid until the next call.
func (c *Core) Tick(now time.Duration, in []Input) []Output {
	c.now = max(c.now, now)
	c.out = c.out[:0]
	for i := range in {
		c.ingest(&in[i])
	}
	c.expire()
	c.fleet.tick()
	c.takeRecordDecisions()
	c.route()
	c.finishDrain()
	c.updateReady()
	c.submitStoreOps()
	c.compact()
	c.check()
	return c.out
}

// Next returns the time by which the core must be ticked even without input.
func (c *Core) Next() time.Duration {
	return min(c.timers.Next(), c.records.Next(), c.storeThrottle.Next(), c.fleet.next())
}

func (c *Core) emit(o Output) { c.out = append(c.out, o) }

func (c *Core) send(id wire.EndpointID, m wire.ToAgent) {
	c.emit(Output{ToAgent: &ToAgent{Endpoint: id, Msg: m}})
}

func (c *Core) log(e Event) { c.emit(Output{Log: &e}) }

// submitStoreOps passes the store operations of the state machines to the throttle,
// and those that the throttle refuses back to the machines, until there are none
// left.
func (c *Core) submitStoreOps() {
	for {
		ops := c.records.TakeStore()
		ops = append(ops, c.fleet.takeStore()...)
		for _, op := range ops {
			c.storeThrottle.Submit(c.now, op)
		}
		c.storeThrottle.Tick(c.now)
		for _, op := range c.storeThrottle.TakeReady() {
			c.emit(Output{Store: &op})
		}
		failed := c.storeThrottle.TakeRefused()
		if len(failed) == 0 && len(ops) == 0 {
			return
		}
		for _, r := range failed {
			c.passStoreResult(r)
		}
		c.takeRecordDecisions()
		c.route()
	}
}

// storeResult handles the store's answer to an operation.
func (c *Core) storeResult(r store.Result) {
	for _, answered := range c.storeThrottle.Result(c.now, r) {
		c.passStoreResult(answered)
	}
}

// passStoreResult passes a result to the state machine that issued the operation.
func (c *Core) passStoreResult(r store.Result) {
	if c.records.StoreResult(c.now, r) {
		return
	}
	c.fleet.storeResult(r)
}

func (c *Core) compact() {
	c.requests.Compact()
	c.attempts.Compact()
	c.endpoints.Compact()
}

// Counts are totals since the start.
type Counts struct {
	Admitted   uint64
	Refused    uint64
	Completed  uint64
	NotRun     uint64 // answered as not run, refused requests included
	Unknown    uint64 // answered with an unknown outcome
	Dispatched uint64 // attempts
	Retried    uint64
	Refusals   uint64 // by agents
	Groups     uint64
}

// Counts returns the totals since the start.
func (c *Core) Counts() Counts { return c.counts }

// InFlight returns the number of requests that have no answer yet.
func (c *Core) InFlight() int { return c.requests.Len() }

// Snapshot returns the active declarations, or nil.
func (c *Core) Snapshot() *declaration.Snapshot { return c.snapshot }
