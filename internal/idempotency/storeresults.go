package idempotency

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/store"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// onPutResult handles the answer to a write of the record.
func (m *Core) onPutResult(now time.Duration, c *call, r store.Result) {
	switch r.Status {
	case store.StatusOK:
		c.version = r.Version
		c.ownVersion = r.Version
		m.onRecordWritten(now, c)
	case store.StatusConflict:
		m.read(c)
	case store.StatusUnknown:
		c.inDoubt = true
		m.backOff(now, c, stepRead)
	case store.StatusUnavailable:
		m.onPutNotExecuted(now, c)
	case store.StatusNotFound:
		m.dropLease(c)
		m.write(now, c)
	default:
		m.onRecordRejected(c)
	}
}

// onPutNotExecuted handles a write that was not executed.
func (m *Core) onPutNotExecuted(now time.Duration, c *call) {
	if c.goal == goalReleased && c.ownVersion == 0 && !c.inDoubt {
		m.forget(c) // the store has never held the record
		return
	}
	m.backOff(now, c, stepPut)
}

// onRecordWritten handles a record that is known to be ours and in c.recordState.
func (m *Core) onRecordWritten(now time.Duration, c *call) {
	switch {
	case c.goal == goalRun && now >= c.deadline:
		m.decide(c, Decision{Verdict: NotRun})
		m.settle(now, c, goalReleased, now+m.cfg.WithdrawTimeout)
	case c.goal == goalRun:
		c.step = stepIdle
		m.decide(c, Decision{Verdict: Run})
	case c.goal == goalDone && c.recordState == stateDone, c.goal == goalReleased && c.recordState == stateReleased:
		m.forget(c)
	default:
		m.write(now, c)
	}
}

// onRecordRejected ends a call whose record the store rejects for good.
func (m *Core) onRecordRejected(c *call) {
	if c.undecided() {
		m.decide(c, Decision{Verdict: NotRun})
	}
	m.forget(c)
}

// onReadResult handles the answer to a read of the record.
func (m *Core) onReadResult(now time.Duration, c *call, r store.Result) {
	switch r.Status {
	case store.StatusOK:
	case store.StatusNotFound:
		m.onRecordAbsent(now, c)
		return
	default:
		m.backOff(now, c, stepRead)
		return
	}
	found, ok := decodeRecord(r.Value)
	switch {
	case !ok:
		m.onRecordUnreadable(c)
	case m.owns(c, found):
		m.foundOwn(now, c, found, r.Version)
	case c.goal == goalRun:
		m.foundOther(now, c, found, r.Version)
	case c.goal == goalReleased && found.State == stateReleased:
		c.version = r.Version // a write in doubt may still replace it
		m.write(now, c)
	default:
		m.forget(c) // replaced by a later call; nothing of ours is left
	}
}

func (m *Core) owns(c *call, r *record) bool {
	return r.Nonce == c.nonce && r.Owner == m.cfg.Self && r.Incarnation == m.cfg.Incarnation
}

// onRecordAbsent handles a missing record. A write in doubt may still take effect,
// so a call that is to run or to be withdrawn writes again: of the two writes the
// second fails.
func (m *Core) onRecordAbsent(now time.Duration, c *call) {
	c.version = 0
	c.ownVersion = 0
	if c.goal == goalDone {
		m.forget(c) // the record has expired
		return
	}
	m.write(now, c)
}

func (m *Core) onRecordUnreadable(c *call) {
	if c.undecided() {
		m.decide(c, Decision{Verdict: Unknown})
	}
	m.forget(c)
}

func (m *Core) foundOwn(now time.Duration, c *call, found *record, version uint64) {
	c.version = version
	c.ownVersion = version
	c.recordState = found.State
	m.onRecordWritten(now, c)
}

// foundOther decides a call by the record that another call has under the key.
func (m *Core) foundOther(now time.Duration, c *call, found *record, version uint64) {
	switch {
	case found.State == stateReleased:
		c.waitingForOther = false
		c.version = version
		m.write(now, c)
	case found.BodyDigest != c.bodyDigest:
		m.decideAndForget(c, Decision{Verdict: Conflict})
	case found.State == stateRunning:
		m.pollOther(now, c, found)
	case found.Outcome == wire.OutcomeCompleted:
		m.decideAndForget(c, Decision{Verdict: Replay, Stored: found.Answer})
	default:
		m.decideAndForget(c, Decision{Verdict: Unknown})
	}
}

// pollOther polls another call's running record until that call must have ended.
func (m *Core) pollOther(now time.Duration, c *call, found *record) {
	if c.otherNonce != found.Nonce {
		c.otherNonce = found.Nonce
		c.otherEndsBy = now + found.RunFor + m.cfg.Grace
		c.backoff = 0
	}
	if now >= c.otherEndsBy {
		m.decideAndForget(c, Decision{Verdict: Unknown})
		return
	}
	c.waitingForOther = true
	if !c.hasVerdict(Wait) {
		m.decide(c, Decision{Verdict: Wait})
	}
	m.backOff(now, c, stepRead)
	c.wakeAt = min(c.wakeAt, c.otherEndsBy)
}
