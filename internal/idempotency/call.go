package idempotency

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/store"
	"trefoilpath.org/trefoilpath/internal/timer"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// goal is the state that the record of a call is to reach.
type goal uint8

const (
	goalRun      goal = 1 // running, owned by this call
	goalDone     goal = 2 // done, with outcome and answer
	goalReleased goal = 3 // released: the call has not run and will not
)

type step uint8

const (
	stepIdle    step = iota // the call runs
	stepLease               // waits for a store lease
	stepPut                 // a write of the record is in flight
	stepRead                // a read of the record is in flight
	stepBackoff             // waits until wakeAt, then goes on with nextStep
)

// call is one call with an idempotency key.
type call struct {
	handle        uint64
	storeKey      string
	bodyDigest    uint64
	ttl           time.Duration
	deadline      time.Duration // when the verdict is due and a call with Run must have ended
	storeDeadline time.Duration // NotRun unless there is another verdict by then
	goal          goal
	nonce         nonce
	outcome       wire.Outcome
	answer        Stored

	verdict     Verdict     // the latest decision; 0: none
	version     uint64      // of the record that the next write replaces, 0: none
	ownVersion  uint64      // of the record with our nonce, 0: none known
	recordState recordState // last written, or read from our record
	inDoubt     bool        // a write had no answer and may take effect at any time

	step        step
	nextStep    step
	opID        uint64        // ID of the store operation in flight, 0: none
	wakeAt      time.Duration // end of stepBackoff
	backoff     time.Duration
	settleUntil time.Duration // when attempts to write the final record end

	otherNonce      nonce         // of another call's running record
	otherEndsBy     time.Duration // when that call must have ended
	waitingForOther bool          // until that call ends
}

func (c *call) hasVerdict(v Verdict) bool { return c.verdict == v }

func (c *call) undecided() bool { return c.goal == goalRun && c.verdict != Run }

func (m *Core) decide(c *call, d Decision) {
	d.Handle = c.handle
	c.verdict = d.Verdict
	m.decisions = append(m.decisions, d)
}

// decideAndForget gives the final verdict on a call that owns no record and
// forgets the call.
func (m *Core) decideAndForget(c *call, d Decision) {
	m.decide(c, d)
	m.forget(c)
}

func (m *Core) forget(c *call) {
	m.timers.Stop(c.handle)
	m.calls.Delete(c.handle)
}

// write sends the record that the goal requires, once there is a lease for it.
func (m *Core) write(now time.Duration, c *call) {
	lease := m.leaseFor(now, c)
	if lease == 0 {
		c.step = stepLease
		return
	}
	r := m.wantedRecord(now, c)
	c.step = stepPut
	c.recordState = r.State
	c.opID = m.send(store.Op{
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
		BodyDigest:  c.bodyDigest,
		Owner:       m.cfg.Self,
		Incarnation: m.cfg.Incarnation,
	}
	switch c.goal {
	case goalRun:
		r.State = stateRunning
		r.RunFor = max(c.deadline-now, 0)
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
	c.opID = m.send(store.Op{Kind: store.OpGet, Key: c.storeKey}, opOwner{handle: c.handle})
}

// backOff schedules next after a jittered backoff that doubles with each try.
func (m *Core) backOff(now time.Duration, c *call, next step) {
	c.backoff = min(max(2*c.backoff, minBackoff), maxBackoff)
	c.step = stepBackoff
	c.nextStep = next
	c.wakeAt = now + c.backoff/2 + time.Duration(m.cfg.Rand.Int64N(int64(c.backoff)))
}

func (m *Core) rescheduleIfPresent(handle uint64) {
	if c := m.calls.Get(handle); c != nil {
		m.schedule(c)
	}
}

// schedule sets the call's timer to the earliest time at which onTimer has work.
func (m *Core) schedule(c *call) {
	at := timer.Never
	if c.step == stepBackoff {
		at = c.wakeAt
	}
	if c.undecided() {
		at = min(at, c.verdictDue())
	}
	if c.goal != goalRun {
		at = min(at, c.settleUntil)
	}
	if at == timer.Never {
		m.timers.Stop(c.handle)
		return
	}
	m.timers.Set(c.handle, at)
}

// verdictDue returns when an undecided call gets its verdict even if the store
// has not answered.
func (c *call) verdictDue() time.Duration {
	if c.hasVerdict(Wait) {
		return c.deadline
	}
	return c.storeDeadline
}

func (m *Core) onTimer(now time.Duration, c *call) {
	switch {
	case c.undecided() && now >= c.verdictDue():
		m.onVerdictDue(now, c)
	case c.goal != goalRun && now >= c.settleUntil:
		m.forget(c)
	case c.step == stepBackoff && now >= c.wakeAt:
		m.resume(now, c)
	}
	m.rescheduleIfPresent(c.handle)
}

func (m *Core) resume(now time.Duration, c *call) {
	if c.nextStep == stepRead {
		m.read(c)
		return
	}
	m.write(now, c)
}

// onVerdictDue decides a call that is still undecided when its verdict is due. If
// it waits for another call, that call's outcome is unknown. Otherwise this call
// has not run and never will, even if a write of its record takes effect later.
func (m *Core) onVerdictDue(now time.Duration, c *call) {
	if c.waitingForOther {
		m.decideAndForget(c, Decision{Verdict: Unknown})
		return
	}
	m.decide(c, Decision{Verdict: NotRun})
	m.withdraw(now, c)
}

// withdraw records that the call has not run. If the call has no record and none
// can appear, it only forgets the call.
func (m *Core) withdraw(now time.Duration, c *call) {
	putInFlight := c.opID != 0 && c.step == stepPut
	if !c.hasVerdict(Run) && c.ownVersion == 0 && !c.inDoubt && !putInFlight {
		m.forget(c)
		return
	}
	m.settle(now, c, goalReleased, now+m.cfg.WithdrawTimeout)
}

// settle sets the final goal g of a call and tries to write its record until the
// given time. If an operation is in flight, its answer comes first.
func (m *Core) settle(now time.Duration, c *call, g goal, until time.Duration) {
	c.goal = g
	c.settleUntil = until
	c.backoff = 0
	if c.opID == 0 {
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
