package store

import (
	"math"
	"slices"
	"time"
)

// opQueue queues reads or writes behind a token bucket, lease renewals first.
type opQueue struct {
	queue      []queuedOp
	tokens     float64
	refilledAt time.Duration
}

type queuedOp struct {
	op        Op
	queuedAt  time.Duration
	coalesced []uint64 // IDs of identical reads that get the same answer
}

func newOpQueue(burst float64) opQueue { return opQueue{tokens: burst} }

func (q *opQueue) len() int { return len(q.queue) }

func (q *opQueue) front() queuedOp { return q.queue[0] }

func (q *opQueue) pop() { q.queue = slices.Delete(q.queue, 0, 1) }

// push appends w or, if it is urgent, inserts it after earlier urgent operations.
func (q *opQueue) push(w queuedOp, urgent bool) {
	if !urgent {
		q.queue = append(q.queue, w)
		return
	}
	i := 0
	for i < len(q.queue) && q.queue[i].op.Kind == w.op.Kind {
		i++
	}
	q.queue = slices.Insert(q.queue, i, w)
}

// oldest returns when the operation that has waited longest was queued.
func (q *opQueue) oldest() time.Duration { return q.queue[q.oldestIndex()].queuedAt }

func (q *opQueue) popOldest() queuedOp {
	i := q.oldestIndex()
	w := q.queue[i]
	q.queue = slices.Delete(q.queue, i, i+1)
	return w
}

// oldestIndex returns the index of the operation that has waited longest: the
// older of the first renewal and the first other operation.
func (q *opQueue) oldestIndex() int {
	i := 0
	for i < len(q.queue) && q.queue[i].op.Kind == OpRenew {
		i++
	}
	if i == 0 || (i < len(q.queue) && q.queue[i].queuedAt < q.queue[0].queuedAt) {
		return i
	}
	return 0
}

func (q *opQueue) findIdentical(op Op) *queuedOp {
	for i := range q.queue {
		if sameRead(q.queue[i].op, op) {
			return &q.queue[i]
		}
	}
	return nil
}

func (q *opQueue) refill(now time.Duration, rate, burst float64) {
	q.tokens = min(burst, q.tokens+rate*(now-q.refilledAt).Seconds())
	q.refilledAt = now
}

// readyAt returns when a token is available at rate, in tokens per second. It adds
// 1 ns, as rounding in refill may leave slightly less than a whole token.
func (q *opQueue) readyAt(rate float64) time.Duration {
	if q.tokens >= 1 {
		return q.refilledAt
	}
	wait := (1 - q.tokens) / rate * float64(time.Second)
	return q.refilledAt + time.Duration(math.Ceil(wait)) + 1
}
