package simnet

import (
	"container/heap"
	"time"
)

// Clock is a virtual clock with a queue of events. It is not safe for
// concurrent use.
type Clock struct {
	now    time.Duration
	serial uint64 // of the latest event
	queue  eventQueue
	halted bool
}

// Event is a call scheduled by At or After.
type Event struct {
	at     time.Duration
	serial uint64
	index  int
	call   func()
}

// notQueued is the index of an event that is not in the queue.
const notQueued = -1

// Now returns the virtual time since the start.
func (c *Clock) Now() time.Duration { return c.now }

// At schedules call at time at, or now if at has passed. Events of the same
// time run in the order in which they were scheduled.
func (c *Clock) At(at time.Duration, call func()) *Event {
	c.serial++
	e := &Event{at: max(at, c.now), serial: c.serial, call: call}
	heap.Push(&c.queue, e)
	return e
}

// After schedules call after d.
func (c *Clock) After(d time.Duration, call func()) *Event {
	return c.At(c.now+d, call)
}

// Stop cancels e if it has not run yet. A nil e is allowed.
func (c *Clock) Stop(e *Event) {
	if e != nil && e.index != notQueued {
		heap.Remove(&c.queue, e.index)
	}
}

// Halt makes the current and all later calls of RunUntil return without running
// another event.
func (c *Clock) Halt() { c.halted = true }

// RunUntil runs all events up to and including time end and advances the clock
// to end.
func (c *Clock) RunUntil(end time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= end && !c.halted {
		e := heap.Pop(&c.queue).(*Event)
		c.now = e.at
		e.call()
	}
	if !c.halted {
		c.now = max(c.now, end)
	}
}

// eventQueue is a heap of events ordered by time, then by serial number.
type eventQueue []*Event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].serial < q[j].serial
}

func (q eventQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

func (q *eventQueue) Push(x any) {
	e := x.(*Event)
	e.index = len(*q)
	*q = append(*q, e)
}

func (q *eventQueue) Pop() any {
	old := *q
	last := len(old) - 1
	e := old[last]
	old[last] = nil
	e.index = notQueued
	*q = old[:last]
	return e
}
