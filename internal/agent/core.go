package agent

import (
	"time"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/table"
	"trefoilpath.org/trefoilpath/internal/timer"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Core decides for one endpoint what runs, what waits and what is refused. It
// is not safe for concurrent use.
type Core struct {
	cfg Config
	now time.Duration
	out []Output

	timers *timer.Queue[timerKey]

	attempts     *table.Table[wire.AttemptID, attempt]
	accounts     *table.Table[wire.AccountID, account]
	reservations *table.Table[wire.AttemptID, reservation]
	orders       *table.Table[orderKey, order]
	entries      *table.Table[wire.NodeID, entryRow]
	tombstones   *table.Table[wire.AttemptID, tombstone]
	models       *table.Table[string, modelStats]

	arrivals        *table.Table[wire.AttemptID, arrival] // dispatches received in this tick
	orphanedEntries []wire.NodeID                         // entries whose orphaned attempts and group reservations are reclaimed in this tick
	engineSnapshot  *engine.State                         // engine state received in this tick, or nil

	waitingMembers []wire.AttemptID // group members waiting to start
	tombstoneOrder []wire.AttemptID // tombstones in order of their expiry

	queue        fairQueue
	memory       memoryState
	engine       engineState
	orderTracker orderTracker
	cache        cacheState
	leaving      leavingState

	initialized bool
	reportToAll bool // a change in this tick must be reported to all entries at once
	lastAuditAt time.Duration
	revision    uint64 // latest declarations revision received
}

// engineState is the core's view of its endpoint.
type engineState struct {
	up               bool
	stateRead        bool // a state has been received since the core started
	assignment       wire.Assignment
	loading          bool
	prefillRate      float64           // tokens per second
	decodeRate       float64           // tokens per second
	running          int               // attempts running or ending
	prefillCount     [classCount]int   // sequences in prefill
	prefillTokens    [classCount]int64 // tokens of those sequences that were not cached at the start
	longPrefillStart time.Duration     // when long prefills last went from none to one in progress
	shorterTokens    float64           // prefill of shorter prompts started while the long one is overdue
}

// leavingState tracks the draining of the endpoint.
type leavingState struct {
	active    bool
	startedAt time.Duration
	drained   bool // nothing is in flight any more
}

// New returns a Core, or an error that wraps an *OptionError.
func New(cfg Config) (*Core, error) {
	if err := cfg.Validate(); err != nil {
		return nil, errors.WithStack(err)
	}
	cfg.setDefaults()
	c := &Core{
		cfg:          cfg,
		timers:       timer.New[timerKey](),
		attempts:     table.New[wire.AttemptID, attempt](),
		accounts:     table.New[wire.AccountID, account](),
		reservations: table.New[wire.AttemptID, reservation](),
		orders:       table.New[orderKey, order](),
		entries:      table.New[wire.NodeID, entryRow](),
		tombstones:   table.New[wire.AttemptID, tombstone](),
		arrivals:     table.New[wire.AttemptID, arrival](),
		models:       table.New[string, modelStats](),
	}
	c.cache.init()
	c.engine.up = cfg.Kind == wire.KindService
	return c, nil
}

// Tick applies the inputs and returns the outputs to carry out. now is the
// time since the start of the process and must not go backwards. The result
// is valid until the next Tick.
func (c *Core) Tick(now time.Duration, in []Input) []Output {
	c.now = now
	c.out = c.out[:0]
	c.initialize()
	for i := range in {
		c.ingest(&in[i])
	}
	c.expire()
	c.reconcile()
	c.reclaim()
	c.runOrders()
	c.admit()
	c.start()
	c.drain()
	c.report()
	c.checkInvariants()
	c.compact()
	return c.out
}

// Next returns the time at which Tick is due even without inputs.
func (c *Core) Next() time.Duration { return c.timers.Next() }

// initialize runs once, on the first tick.
func (c *Core) initialize() {
	if c.initialized {
		return
	}
	c.initialized = true
	c.orderTracker.quietUntil = c.now + c.cfg.OrderMaxAge
	if c.cfg.Kind == wire.KindEngine {
		c.setTimer(timerKey{kind: timerQuery}, c.now+c.cfg.QueryInterval)
	}
}

func (c *Core) compact() {
	c.attempts.Compact()
	c.accounts.Compact()
	c.reservations.Compact()
	c.orders.Compact()
	c.tombstones.Compact()
	c.arrivals.Compact()
	c.orphanedEntries = c.orphanedEntries[:0]
	c.engineSnapshot = nil
}

func (c *Core) emit(o Output) { c.out = append(c.out, o) }

func (c *Core) command(id wire.AttemptID, cmd engine.Command) {
	c.emit(Output{Engine: &EngineCommand{Attempt: id, Command: cmd}})
}

func (c *Core) log(e Event) { c.emit(Output{Log: &e}) }

func (c *Core) logAttempt(kind EventKind, a *attempt, reason string, tokens int64) {
	c.log(Event{
		Kind:    kind,
		Attempt: a.id,
		Request: a.dispatch.RequestID,
		Account: a.dispatch.Account,
		Reason:  reason,
		Tokens:  tokens,
		Elapsed: c.now - a.arrivedAt,
	})
}
