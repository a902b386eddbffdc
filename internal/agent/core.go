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

	arrivals        *table.Table[wire.AttemptID, arrival] // of this tick
	orphanedEntries []wire.NodeID                         // entries whose attempts are to be given up
	engineSnapshot  *engine.State                         // of this tick

	waitingMembers []wire.AttemptID // group members that wait to start
	tombstoneOrder []wire.AttemptID // tombstones in order of their expiry

	queue    fairQueue
	memory   memoryState
	engine   engineState
	ordering orderingState
	cache    cacheState
	leaving  leavingState

	initialized bool
	reportToAll bool // a change that entries must hear at once
	lastAuditAt time.Duration
	revision    uint64
}

// engineState is what the core knows of its endpoint.
type engineState struct {
	up               bool
	stateRead        bool // a state has been read in this life
	assignment       wire.Assignment
	loading          bool
	prefillRate      float64
	decodeRate       float64
	running          int // attempts running or ending
	prefillCount     [classCount]int
	prefillTokens    [classCount]int64 // tokens still to prefill
	longPrefillStart time.Duration     // start of the first long prefill under way
	shorterTokens    float64           // prefill tokens of shorter prompts while it is overdue
}

// leavingState follows the endpoint's departure.
type leavingState struct {
	active    bool
	startedAt time.Duration
	drained   bool
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

// Tick applies the inputs at the given time since the start of the process and
// returns what is to be done. Time must not go backwards. The result is valid
// until the next Tick.
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

// begin runs once, on the first tick.
func (c *Core) initialize() {
	if c.initialized {
		return
	}
	c.initialized = true
	c.ordering.quietUntil = c.now + c.cfg.OrderMaxAge
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
