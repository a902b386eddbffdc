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

	TTL       time.Duration // of records whose call names none
	StoreWait time.Duration // a call whose record the store does not settle by then is not run
	Grace     time.Duration // allowance for clock rates when another owner's call must be over
	CleanFor  time.Duration // how long a record in doubt is withdrawn after StoreDown
}

// The defaults of Config.
const (
	DefaultTTL       = 24 * time.Hour
	DefaultStoreWait = 2 * time.Second
	DefaultGrace     = time.Second
	DefaultCleanFor  = 10 * time.Minute
)

// Bounds of the jittered pauses between tries and between polls.
const (
	minPause = 25 * time.Millisecond
	maxPause = 2 * time.Second
)

// Verdict says what to do with a call.
type Verdict uint8

// The verdicts. Wait is not final: another verdict for the handle follows.
const (
	Run       Verdict = 1 // the record is ours: dispatch the call
	Replay    Verdict = 2 // answer with Stored
	Wait      Verdict = 3 // the same call is running elsewhere
	Conflict  Verdict = 4 // the key was used with another body
	StoreDown Verdict = 5 // the call was not run and will not be
	Unknown   Verdict = 6 // the earlier call may or may not have run
)

// Decision is the verdict for one handle.
type Decision struct {
	Handle  uint64
	Verdict Verdict
	Stored  Stored // for Replay
}

// Core keeps the records of one process. It is deterministic and not safe for
// concurrent use.
type Core struct {
	cfg       Config
	calls     *table.Table[uint64, call]
	byOp      map[uint64]opOwner
	terms     map[time.Duration]*term // by TTL
	timers    *timer.Queue[uint64]    // by handle
	out       []store.Op
	decisions []Decision
}

// opOwner says whose answer an operation brings.
type opOwner struct {
	handle uint64        // of a call
	term   time.Duration // TTL of the term whose lease is granted, if not zero
}

// New returns a Core without calls.
func New(cfg Config) *Core {
	setDefault(&cfg.TTL, DefaultTTL)
	setDefault(&cfg.StoreWait, DefaultStoreWait)
	setDefault(&cfg.Grace, DefaultGrace)
	setDefault(&cfg.CleanFor, DefaultCleanFor)
	return &Core{
		cfg:    cfg,
		calls:  table.New[uint64, call](),
		byOp:   make(map[uint64]opOwner),
		terms:  make(map[time.Duration]*term),
		timers: timer.New[uint64](),
	}
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// Begin asks for a verdict on a call. The handle names it in this process and
// must not be in use. The record lasts ttl (0: Config.TTL); the verdict comes
// within giveUpIn, and if it is Run the call must end within giveUpIn too.
func (m *Core) Begin(now time.Duration, handle uint64, key Key, bodyDigest uint64, ttl, giveUpIn time.Duration) {
	setDefault(&ttl, m.cfg.TTL)
	c := m.calls.Put(handle, call{
		handle:   handle,
		storeKey: key.StoreKey(),
		digest:   bodyDigest,
		ttl:      max(ttl, 2*giveUpIn),
		giveUp:   now + giveUpIn,
		settleBy: now + min(m.cfg.StoreWait, giveUpIn),
		goal:     goalRun,
		nonce:    m.newNonce(),
	})
	m.write(now, c)
	m.schedule(c)
}

func (m *Core) newNonce() nonce {
	var n nonce
	binary.BigEndian.PutUint64(n[:8], m.cfg.Rand.Uint64())
	binary.BigEndian.PutUint64(n[8:], m.cfg.Rand.Uint64()|1)
	return n
}

// Finish records the end of a call that had the verdict Run. A call that ended
// as not run is released.
func (m *Core) Finish(now time.Duration, handle uint64, outcome wire.Outcome, answer Stored) {
	c := m.calls.Get(handle)
	if c == nil || !c.told(Run) || c.goal != goalRun {
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

// Release withdraws a call that is proven not to have run and not to run, or
// whose caller has left before the verdict. A later repeat may run.
func (m *Core) Release(now time.Duration, handle uint64) {
	c := m.calls.Get(handle)
	if c == nil || c.goal != goalRun {
		return
	}
	m.withdraw(now, c)
}

// Tick retries and gives up what is due.
func (m *Core) Tick(now time.Duration) {
	for {
		handle, ok := m.timers.Pop(now)
		if !ok {
			break
		}
		if c := m.calls.Get(handle); c != nil {
			m.wake(now, c)
		}
	}
	m.calls.Compact()
}

// Next returns the time at which Tick is due.
func (m *Core) Next() time.Duration { return m.timers.Next() }

// Pending returns the number of calls whose record is not settled. A process
// that shuts down waits for it to reach zero.
func (m *Core) Pending() int { return m.calls.Len() }

// TakeStore returns the operations to send.
func (m *Core) TakeStore() []store.Op {
	out := m.out
	m.out = nil
	return out
}

// TakeDecisions returns the verdicts since the last call.
func (m *Core) TakeDecisions() []Decision {
	decisions := m.decisions
	m.decisions = nil
	return decisions
}

// StoreResult takes the answer to one of the machine's operations. It reports
// false for any other.
func (m *Core) StoreResult(now time.Duration, r store.Result) bool {
	owner, ok := m.byOp[r.ID]
	if !ok {
		return false
	}
	delete(m.byOp, r.ID)
	if owner.term != 0 {
		m.granted(now, m.terms[owner.term], r)
		return true
	}
	c := m.calls.Get(owner.handle)
	if c == nil || c.op != r.ID {
		return true
	}
	c.op = 0
	if c.step == stepPut {
		m.putDone(now, c, r)
	} else {
		m.readDone(now, c, r)
	}
	m.rescheduleIfPresent(owner.handle)
	return true
}

func (m *Core) send(op store.Op, owner opOwner) uint64 {
	op.ID = m.cfg.NextOp()
	m.byOp[op.ID] = owner
	m.out = append(m.out, op)
	return op.ID
}
