package idempotency

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/store"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// putDone acts on the answer to a write of the record.
func (m *Core) putDone(now time.Duration, c *call, r store.Result) {
	switch r.Status {
	case store.StatusOK:
		c.version = r.Version
		c.ownVersion = r.Version
		m.stored(now, c)
	case store.StatusConflict:
		m.read(c)
	case store.StatusUnknown:
		c.inDoubt = true
		m.pause(now, c, stepRead)
	case store.StatusUnavailable:
		m.putRefused(now, c)
	case store.StatusNotFound:
		m.dropLease(c)
		m.write(now, c)
	default:
		m.rejected(c)
	}
}

// putRefused acts on a write that was not executed.
func (m *Core) putRefused(now time.Duration, c *call) {
	if c.goal == goalReleased && c.ownVersion == 0 && !c.inDoubt {
		m.forget(c) // the store has never held the record
		return
	}
	m.pause(now, c, stepPut)
}

// stored acts on a record that is known to be ours and to say c.putting.
func (m *Core) stored(now time.Duration, c *call) {
	switch {
	case c.goal == goalRun && now >= c.giveUp:
		m.tell(c, Decision{Verdict: StoreDown})
		m.settle(now, c, goalReleased, now+m.cfg.CleanFor)
	case c.goal == goalRun:
		c.step = stepIdle
		m.tell(c, Decision{Verdict: Run})
	case c.goal == goalDone && c.putting == stateDone, c.goal == goalReleased && c.putting == stateReleased:
		m.forget(c)
	default:
		m.write(now, c)
	}
}

// rejected ends a call whose record the store will never take.
func (m *Core) rejected(c *call) {
	if c.undecided() {
		m.tell(c, Decision{Verdict: StoreDown})
	}
	m.forget(c)
}

// readDone acts on the answer to a read of the record.
func (m *Core) readDone(now time.Duration, c *call, r store.Result) {
	switch r.Status {
	case store.StatusOK:
	case store.StatusNotFound:
		m.absent(now, c)
		return
	default:
		m.pause(now, c, stepRead)
		return
	}
	found, ok := decodeRecord(r.Value)
	switch {
	case !ok:
		m.unreadable(c)
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

// absent acts on a record that is not there. A write in doubt may still take
// effect, so a call that wants to run or to withdraw writes again: whichever
// write comes second fails.
func (m *Core) absent(now time.Duration, c *call) {
	c.version = 0
	c.ownVersion = 0
	if c.goal == goalDone {
		m.forget(c) // the record has expired
		return
	}
	m.write(now, c)
}

func (m *Core) unreadable(c *call) {
	if c.undecided() {
		m.tell(c, Decision{Verdict: Unknown})
	}
	m.forget(c)
}

func (m *Core) foundOwn(now time.Duration, c *call, found *record, version uint64) {
	c.version = version
	c.ownVersion = version
	c.putting = found.State
	m.stored(now, c)
}

// foundOther decides a call by the record of an earlier one.
func (m *Core) foundOther(now time.Duration, c *call, found *record, version uint64) {
	switch {
	case found.State == stateReleased:
		c.waiting = false
		c.version = version
		m.write(now, c)
	case found.BodyDigest != c.digest:
		m.end(c, Decision{Verdict: Conflict})
	case found.State == stateRunning:
		m.await(now, c, found)
	case found.Outcome == wire.OutcomeCompleted:
		m.end(c, Decision{Verdict: Replay, Stored: found.Answer})
	default:
		m.end(c, Decision{Verdict: Unknown})
	}
}

// await polls a running record until the call behind it must be over.
func (m *Core) await(now time.Duration, c *call, found *record) {
	if c.seen != found.Nonce {
		c.seen = found.Nonce
		c.overAt = now + found.RunFor + m.cfg.Grace
		c.pause = 0
	}
	if now >= c.overAt {
		m.end(c, Decision{Verdict: Unknown})
		return
	}
	c.waiting = true
	if !c.told(Wait) {
		m.tell(c, Decision{Verdict: Wait})
	}
	m.pause(now, c, stepRead)
	c.wakeAt = min(c.wakeAt, c.overAt)
}
