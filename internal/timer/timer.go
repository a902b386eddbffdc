// Package timer keeps the timers of a deterministic core in a heap, so that the cost
// of a tick grows with the timers that are due, not with all timers.
package timer

import (
	"container/heap"
	"time"
)

// Never is the time of a timer that is not set.
const Never = time.Duration(1<<63 - 1)

// Queue holds at most one timer for each key. Timers that are due at the same
// time fire in the order in which they were set. A Queue is not safe for
// concurrent use.
type Queue[K comparable] struct {
	items items[K]
	byKey map[K]*item[K]
	order uint64 // number of Set calls
}

type item[K comparable] struct {
	key   K
	at    time.Duration
	order uint64 // breaks ties between equal times
	index int    // in Queue.items
}

// New returns an empty queue.
func New[K comparable]() *Queue[K] {
	return &Queue[K]{byKey: make(map[K]*item[K])}
}

// Len returns the number of timers.
func (q *Queue[K]) Len() int { return len(q.items) }

// Has reports whether the timer of key is set.
func (q *Queue[K]) Has(key K) bool {
	_, ok := q.byKey[key]
	return ok
}

// Set starts the timer of key, or changes its time.
func (q *Queue[K]) Set(key K, at time.Duration) {
	q.order++
	if it, ok := q.byKey[key]; ok {
		it.at, it.order = at, q.order
		heap.Fix(&q.items, it.index)
		return
	}
	it := &item[K]{key: key, at: at, order: q.order}
	q.byKey[key] = it
	heap.Push(&q.items, it)
}

// Stop removes the timer of key, if there is one.
func (q *Queue[K]) Stop(key K) {
	it, ok := q.byKey[key]
	if !ok {
		return
	}
	heap.Remove(&q.items, it.index)
	delete(q.byKey, key)
}

// Next returns the time of the earliest timer, or Never.
func (q *Queue[K]) Next() time.Duration {
	if len(q.items) == 0 {
		return Never
	}
	return q.items[0].at
}

// Pop removes and returns the earliest timer that is due at now.
func (q *Queue[K]) Pop(now time.Duration) (K, bool) {
	if len(q.items) == 0 || q.items[0].at > now {
		var zero K
		return zero, false
	}
	it := heap.Pop(&q.items).(*item[K])
	delete(q.byKey, it.key)
	return it.key, true
}

type items[K comparable] []*item[K]

func (s items[K]) Len() int { return len(s) }

func (s items[K]) Less(i, j int) bool {
	if s[i].at != s[j].at {
		return s[i].at < s[j].at
	}
	return s[i].order < s[j].order
}

func (s items[K]) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].index, s[j].index = i, j
}

func (s *items[K]) Push(x any) {
	it := x.(*item[K])
	it.index = len(*s)
	*s = append(*s, it)
}

func (s *items[K]) Pop() any {
	old := *s
	last := len(old) - 1
	it := old[last]
	old[last] = nil
	*s = old[:last]
	return it
}
