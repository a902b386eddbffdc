package agent

import (
	"container/heap"
	"math"
	"time"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// never is the due time of a timer that is not set.
const never = time.Duration(math.MaxInt64)

type timerKind uint8

const (
	timerAttempt     timerKind = 1
	timerReservation timerKind = 2
	timerTombstones  timerKind = 3
	timerOrphans     timerKind = 4
	timerReport      timerKind = 5
	timerQuery       timerKind = 6
	timerOrder       timerKind = 7
	timerLeaving     timerKind = 8
	timerHold        timerKind = 9
)

// timer is the one pending timer of a row. It lives inside the row, so that
// setting it anew replaces the earlier time.
type timer struct {
	kind    timerKind
	at      time.Duration
	pos     int // position in the heap plus one; 0: not set
	attempt wire.AttemptID
	entry   wire.NodeID
}

// timerHeap orders the pending timers of all tables by time.
type timerHeap struct{ rows timerRows }

func (h *timerHeap) set(t *timer, at time.Duration) {
	if at == never {
		h.stop(t)
		return
	}
	if t.pos == 0 {
		t.at = at
		heap.Push(&h.rows, t)
		return
	}
	if t.at != at {
		t.at = at
		heap.Fix(&h.rows, t.pos-1)
	}
}

func (h *timerHeap) stop(t *timer) {
	if t.pos > 0 {
		heap.Remove(&h.rows, t.pos-1)
	}
}

// due removes and returns the earliest timer at or before now, or nil.
func (h *timerHeap) due(now time.Duration) *timer {
	if h.next() > now {
		return nil
	}
	return heap.Pop(&h.rows).(*timer)
}

func (h *timerHeap) next() time.Duration {
	if len(h.rows) == 0 {
		return never
	}
	return h.rows[0].at
}

type timerRows []*timer

func (r timerRows) Len() int { return len(r) }

// Less breaks ties by kind and owner, so that timers due at the same instant
// fire in the same order on every run.
func (r timerRows) Less(i, j int) bool {
	a, b := r[i], r[j]
	if a.at != b.at {
		return a.at < b.at
	}
	if a.kind != b.kind {
		return a.kind < b.kind
	}
	if a.entry != b.entry {
		return a.entry < b.entry
	}
	return a.attempt.Compare(b.attempt) < 0
}

func (r timerRows) Swap(i, j int) {
	r[i], r[j] = r[j], r[i]
	r[i].pos = i + 1
	r[j].pos = j + 1
}

func (r *timerRows) Push(x any) {
	t := x.(*timer)
	*r = append(*r, t)
	t.pos = len(*r)
}

func (r *timerRows) Pop() any {
	last := len(*r) - 1
	t := (*r)[last]
	(*r)[last] = nil
	*r = (*r)[:last]
	t.pos = 0
	return t
}
