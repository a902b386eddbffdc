package idempotency

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/store"
	"trefoilpath.org/trefoilpath/internal/timer"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// goal is what a call wants its record to say.
type goal uint8

const (
	goalRun      goal = 1 // running, owned by this call
	goalDone     goal = 2
	goalReleased goal = 3
)

type step uint8

const (
	stepIdle  step = iota // the call runs
	stepLease             // waits for a store lease
	stepPut               // a write of the record is in flight
	stepRead              // a read of the record is in flight
	stepPause             // waits until wakeAt, then does after
)

// call is one call with an idempotency key.
type call struct {
	handle   uint64
	storeKey string
	digest   uint64
	ttl      time.Duration
	giveUp   time.Duration // the verdict is due
	settleBy time.Duration // StoreDown unless the store has answered by then
	goal     goal
	nonce    nonce
	outcome  wire.Outcome
	answer   Stored

	verdict    Verdict // last one told
	version    uint64  // of the record that the next write replaces, 0: none
	ownVersion uint64  // of the record under our nonce, 0: none known
	putting    recordState
	inDoubt    bool // a write had no answer and may take effect at any time

	step   step
	after  step
	op     uint64 // in flight
	wakeAt time.Duration
	pause  time.Duration
	expire time.Duration // when settling is given up

	seen    nonce         // another call's running record
	overAt  time.Duration // when that call must be over
	waiting bool          // for that call
}

func (c *call) told(v Verdict) bool { return c.verdict == v }

func (c *call) undecided() bool { return c.goal == goalRun && c.verdict != Run }

func (m *Core) tell(c *call, d Decision) {
	d.Handle = c.handle
	c.verdict = d.Verdict
	m.decisions = append(m.decisions, d)
}

// end tells the final verdict of a call that owns no record and forgets it.
func (m *Core) end(c *call, d Decision) {
	m.tell(c, d)
	m.forget(c)
}

func (m *Core) forget(c *call) {
	m.timers.Stop(c.handle)
	m.calls.Delete(c.handle)
}

// write sends the record that the goal asks for.
func (m *Core) write(now time.Duration, c *call) {
	lease := m.leaseFor(now, c)
	if lease == 0 {
		c.step = stepLease
		return
	}
	r := m.wantedRecord(now, c)
	c.step = stepPut
	c.putting = r.State
	c.op = m.send(store.Op{
		Kind:   store.OpPut,
		Key:    c.storeKey,
		Value:  r.encode(),
		Expect: c.version,
		Lease:  lease,
	}, opOwner{handle: c.handle})
}

func (m *Core) wantedRecord(now time.Duration, c *call) *record {
	r := &record{
		Nonce:       c.nonce,
		BodyDigest:  c.digest,
		Owner:       m.cfg.Self,
		Incarnation: m.cfg.Incarnation,
	}
	switch c.goal {
	case goalRun:
		r.State = stateRunning
		r.RunFor = max(c.giveUp-now, 0)
	case goalDone:
		r.State = stateDone
		r.Outcome = c.outcome
		r.Answer = c.answer
	case goalReleased:
		r.State = stateReleased
	}
	return r
}

func (m *Core) read(c *call) {
	c.step = stepRead
	c.op = m.send(store.Op{Kind: store.OpGet, Key: c.storeKey}, opOwner{handle: c.handle})
}

// pause does next after a jittered pause that doubles with each try.
func (m *Core) pause(now time.Duration, c *call, next step) {
	c.pause = min(max(2*c.pause, minPause), maxPause)
	c.step = stepPause
	c.after = next
	c.wakeAt = now + c.pause/2 + time.Duration(m.cfg.Rand.Int64N(int64(c.pause)))
}

func (m *Core) rescheduleIfPresent(handle uint64) {
	if c := m.calls.Get(handle); c != nil {
		m.schedule(c)
	}
}

// schedule sets the call's timer to the earliest time at which wake has work.
func (m *Core) schedule(c *call) {
	at := timer.Never
	if c.step == stepPause {
		at = c.wakeAt
	}
	if c.undecided() {
		at = min(at, c.verdictDue())
	}
	if c.goal != goalRun {
		at = min(at, c.expire)
	}
	if at == timer.Never {
		m.timers.Stop(c.handle)
		return
	}
	m.timers.Set(c.handle, at)
}

// verdictDue is when an undecided call gets its verdict whatever the store says.
func (c *call) verdictDue() time.Duration {
	if c.told(Wait) {
		return c.giveUp
	}
	return c.settleBy
}

func (m *Core) wake(now time.Duration, c *call) {
	switch {
	case c.undecided() && now >= c.verdictDue():
		m.giveUp(now, c)
	case c.goal != goalRun && now >= c.expire:
		m.forget(c)
	case c.step == stepPause && now >= c.wakeAt:
		m.resume(now, c)
	}
	m.rescheduleIfPresent(c.handle)
}

func (m *Core) resume(now time.Duration, c *call) {
	if c.after == stepRead {
		m.read(c)
		return
	}
	m.write(now, c)
}

// giveUp ends an undecided call. A call that has seen another one running can't
// say what became of that one. Any other call has not run: nothing turns it into
// Run any more, even if a write of its record takes effect later.
func (m *Core) giveUp(now time.Duration, c *call) {
	if c.waiting {
		m.end(c, Decision{Verdict: Unknown})
		return
	}
	m.tell(c, Decision{Verdict: StoreDown})
	m.withdraw(now, c)
}

// withdraw makes the record say that the call has not run. It does nothing if
// there is no record of the call and none can appear.
func (m *Core) withdraw(now time.Duration, c *call) {
	putInFlight := c.op != 0 && c.step == stepPut
	if !c.told(Run) && c.ownVersion == 0 && !c.inDoubt && !putInFlight {
		m.forget(c)
		return
	}
	m.settle(now, c, goalReleased, now+m.cfg.CleanFor)
}

// settle changes the goal of a call to its last one and pursues it until expire.
// An operation in flight is awaited first.
func (m *Core) settle(now time.Duration, c *call, g goal, expire time.Duration) {
	c.goal = g
	c.expire = expire
	c.pause = 0
	if c.op == 0 {
		m.advance(now, c)
	}
	m.rescheduleIfPresent(c.handle)
}

// advance takes the next step towards a final goal: a write if the version of
// our record is known, a read otherwise.
func (m *Core) advance(now time.Duration, c *call) {
	if c.ownVersion != 0 {
		c.version = c.ownVersion
		m.write(now, c)
		return
	}
	m.read(c)
}
