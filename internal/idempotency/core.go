package idempotency

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"trefoilpath.org/trefoilpath/internal/store"
	"trefoilpath.org/trefoilpath/internal/table"
	"trefoilpath.org/trefoilpath/internal/timer"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Config describes the process that keeps records. Self, Incarnation, NextOp and
// Rand must be set; the seed of Rand must differ between incarnations.
type Config struct {
	Self        wire.NodeID
	Incarnation wire.Incarnation
	NextOp      func() uint64 // returns operation IDs that are unique in the process
	Rand        *rand.Rand    // nonces and jitter

	TTL             time.Duration // of the record of a call that specifies none
	StoreWait       time.Duration // longest time to the first verdict, Wait included; a call without one by then is not run
	Grace           time.Duration // allowance for clock drift in the time by which another call must have ended
	WithdrawTimeout time.Duration // how long withdrawal of a record is retried
}

// The defaults of Config.
const (
	DefaultTTL             = 24 * time.Hour
	DefaultStoreWait       = 2 * time.Second
	DefaultGrace           = time.Second
	DefaultWithdrawTimeout = 10 * time.Minute
)

// Bounds of the backoff between tries and between polls, before jitter.
const (
	minBackoff = 25 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Verdict says what to do with a call.
type Verdict uint8

// The verdicts. Wait is not final: another verdict for the handle follows.
const (
	Run      Verdict = 1 // the record is ours: dispatch the call
	Replay   Verdict = 2 // answer with Decision.Stored
	Wait     Verdict = 3 // the same call is running elsewhere
	Conflict Verdict = 4 // the key was used with another body
	NotRun   Verdict = 5 // the call was not run and will not be
	Unknown  Verdict = 6 // the earlier call may or may not have run
)

// Decision is the verdict for one handle.
type Decision struct {
	Handle  uint64
	Verdict Verdict
	Stored  Stored // for Replay
}

// Core is the state machine that keeps the records of one process. It is
// deterministic and not safe for concurrent use.
type Core struct {
	cfg          Config
	calls        *table.Table[uint64, call]     // by handle
	byOp         map[uint64]opOwner             // operations in flight, by ID
	sharedLeases map[time.Duration]*sharedLease // by TTL
	timers       *timer.Queue[uint64]           // by handle
	outbox       []store.Op                     // to send
	decisions    []Decision
}

// opOwner identifies the call or the shared lease that an operation is for.
type opOwner struct {
	handle   uint64        // of a call
	leaseTTL time.Duration // record TTL of the shared lease that the operation grants; 0: the operation is for the call
}

// New returns a Core without calls.
func New(cfg Config) *Core {
	setDefault(&cfg.TTL, DefaultTTL)
	setDefault(&cfg.StoreWait, DefaultStoreWait)
	setDefault(&cfg.Grace, DefaultGrace)
	setDefault(&cfg.WithdrawTimeout, DefaultWithdrawTimeout)
	return &Core{
		cfg:          cfg,
		calls:        table.New[uint64, call](),
		byOp:         make(map[uint64]opOwner),
		sharedLeases: make(map[time.Duration]*sharedLease),
		timers:       timer.New[uint64](),
	}
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// Begin requests a verdict on a call. The handle identifies the call in this
// process and must not be in use. The record lasts ttl (0: Config.TTL), or twice
// the timeout if that is longer. The final verdict comes within the timeout, and if
// it is Run the call must end within the timeout too.
func (m *Core) Begin(now time.Duration, handle uint64, key Key, bodyDigest uint64, ttl, timeout time.Duration) {
	setDefault(&ttl, m.cfg.TTL)
	c := m.calls.Put(handle, call{
		handle:        handle,
		storeKey:      key.StoreKey(),
		bodyDigest:    bodyDigest,
		ttl:           max(ttl, 2*timeout),
		deadline:      now + timeout,
		storeDeadline: now + min(m.cfg.StoreWait, timeout),
		goal:          goalRun,
		nonce:         m.newNonce(),
	})
	m.write(now, c)
	m.schedule(c)
}

func (m *Core) newNonce() nonce {
	var n nonce
	binary.BigEndian.PutUint64(n[:8], m.cfg.Rand.Uint64())
	binary.BigEndian.PutUint64(n[8:], m.cfg.Rand.Uint64()|1) // never zero: decodeRecord rejects a zero nonce
	return n
}

// Finish records the outcome and answer of a call that had the verdict Run. A call
// with OutcomeNotRun is released instead.
func (m *Core) Finish(now time.Duration, handle uint64, outcome wire.Outcome, answer Stored) {
	c := m.calls.Get(handle)
	if c == nil || !c.hasVerdict(Run) || c.goal != goalRun {
		return
	}
	if outcome == wire.OutcomeNotRun {
		m.Release(now, handle)
		return
	}
	if len(answer.Body) > MaxStoredBody {
		answer.Body = nil
		answer.Omitted = true
	}
	c.outcome = outcome
	c.answer = answer
	m.settle(now, c, goalDone, now+c.ttl)
}

// Release withdraws a call that has certainly not run and will not, or whose
// caller has disconnected before the verdict. A later repeat may run.
func (m *Core) Release(now time.Duration, handle uint64) {
	c := m.calls.Get(handle)
	if c == nil || c.goal != goalRun {
		return
	}
	m.withdraw(now, c)
}

// Tick handles the calls whose timers are due: it retries store operations,
// decides calls at their deadlines, and forgets calls that can't be settled.
func (m *Core) Tick(now time.Duration) {
	for {
		handle, ok := m.timers.Pop(now)
		if !ok {
			break
		}
		if c := m.calls.Get(handle); c != nil {
			m.onTimer(now, c)
		}
	}
	m.calls.Compact()
}

// Next returns the time at which Tick is due.
func (m *Core) Next() time.Duration { return m.timers.Next() }

// Pending returns the number of calls that are undecided, running, or whose final
// record is not written. A process that shuts down waits for it to reach zero.
func (m *Core) Pending() int { return m.calls.Len() }

// TakeStore returns the operations to send.
func (m *Core) TakeStore() []store.Op {
	out := m.outbox
	m.outbox = nil
	return out
}

// TakeDecisions returns the verdicts since the last call.
func (m *Core) TakeDecisions() []Decision {
	decisions := m.decisions
	m.decisions = nil
	return decisions
}

// StoreResult handles the answer to an operation of this Core. It reports false
// for any other.
func (m *Core) StoreResult(now time.Duration, r store.Result) bool {
	owner, ok := m.byOp[r.ID]
	if !ok {
		return false
	}
	delete(m.byOp, r.ID)
	if owner.leaseTTL != 0 {
		m.onGrantResult(now, m.sharedLeases[owner.leaseTTL], r)
		return true
	}
	c := m.calls.Get(owner.handle)
	if c == nil || c.opID != r.ID {
		return true
	}
	c.opID = 0
	if c.step == stepPut {
		m.onPutResult(now, c, r)
	} else {
		m.onReadResult(now, c, r)
	}
	m.rescheduleIfPresent(owner.handle)
	return true
}

func (m *Core) send(op store.Op, owner opOwner) uint64 {
	op.ID = m.cfg.NextOp()
	m.byOp[op.ID] = owner
	m.outbox = append(m.outbox, op)
	return op.ID
}
