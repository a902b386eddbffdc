package agent

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/timer"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// never is the due time of a timer that is not set.
const never = timer.Never

type timerKind uint8

const (
	timerAttempt     timerKind = 1
	timerReservation timerKind = 2
	timerTombstones  timerKind = 3
	timerOrphans     timerKind = 4 // EntryGrace after a lost stream
	timerReport      timerKind = 5
	timerQuery       timerKind = 6
	timerOrder       timerKind = 7
	timerLeaving     timerKind = 8
	timerHold        timerKind = 9  // end of memoryState.hold
	timerYield       timerKind = 10 // end of a wait set by yieldsToLong
)

// timerKey identifies the single timer of a row, or one of the core itself.
type timerKey struct {
	kind    timerKind
	attempt wire.AttemptID
	entry   wire.NodeID
}

// setTimer sets the timer of key, or stops it if at is never.
func (c *Core) setTimer(key timerKey, at time.Duration) {
	if at == never {
		c.timers.Stop(key)
		return
	}
	c.timers.Set(key, at)
}

func (a *attempt) timer() timerKey {
	return timerKey{kind: timerAttempt, attempt: a.id}
}

func (r *reservation) timer() timerKey {
	return timerKey{kind: timerReservation, attempt: r.id}
}

func (e *entryRow) reportTimer() timerKey {
	return timerKey{kind: timerReport, entry: e.id}
}

func (e *entryRow) orphansTimer() timerKey {
	return timerKey{kind: timerOrphans, entry: e.id}
}
