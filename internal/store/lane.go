package store

import (
	"math"
	"slices"
	"time"
)

// lane queues operations of one kind of budget behind a token bucket.
type lane struct {
	queue  []waitingOp
	tokens float64
	at     time.Duration // of the last refill
}

type waitingOp struct {
	op      Op
	since   time.Duration
	sharing []uint64
}

func newLane(burst float64) lane { return lane{tokens: burst} }

func (l *lane) len() int { return len(l.queue) }

func (l *lane) front() waitingOp { return l.queue[0] }

func (l *lane) pop() { l.queue = slices.Delete(l.queue, 0, 1) }

// push appends w, or puts it ahead of all but earlier urgent operations.
func (l *lane) push(w waitingOp, urgent bool) {
	if !urgent {
		l.queue = append(l.queue, w)
		return
	}
	i := 0
	for i < len(l.queue) && l.queue[i].op.Kind == w.op.Kind {
		i++
	}
	l.queue = slices.Insert(l.queue, i, w)
}

// oldest returns the time since which the longest waiting operation waits.
func (l *lane) oldest() time.Duration { return l.queue[l.oldestIndex()].since }

func (l *lane) popOldest() waitingOp {
	i := l.oldestIndex()
	w := l.queue[i]
	l.queue = slices.Delete(l.queue, i, i+1)
	return w
}

// oldestIndex finds the older of the first urgent and the first other operation.
func (l *lane) oldestIndex() int {
	i := 0
	for i < len(l.queue) && l.queue[i].op.Kind == OpRenew {
		i++
	}
	if i == 0 || (i < len(l.queue) && l.queue[i].since < l.queue[0].since) {
		return i
	}
	return 0
}

func (l *lane) find(op Op) *waitingOp {
	for i := range l.queue {
		if sameRead(l.queue[i].op, op) {
			return &l.queue[i]
		}
	}
	return nil
}

func (l *lane) refill(now time.Duration, rate, burst float64) {
	l.tokens = min(burst, l.tokens+rate*(now-l.at).Seconds())
	l.at = now
}

// readyAt returns when the next token is there at the given rate.
func (l *lane) readyAt(rate float64) time.Duration {
	if l.tokens >= 1 {
		return l.at
	}
	wait := (1 - l.tokens) / rate * float64(time.Second)
	return l.at + time.Duration(math.Ceil(wait)) + 1
}
