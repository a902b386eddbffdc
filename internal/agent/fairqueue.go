package agent

import (
	"container/heap"
	"time"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// fairQueue is the weighted fair queue over client accounts: start-time fair
// queueing, measured in tokens of service. Each class of prompts has a heap
// of the accounts that wait in it, ordered by virtual start time. All
// classes share one virtual time and the start and finish times of the
// accounts.
type fairQueue struct {
	virtualTime   float64
	heaps         [classCount]accountHeap
	queued        int
	waitingTokens [wire.BandCount]int64 // uncached prompt tokens waiting
	waitingWeight float64               // sum over accounts with waiting attempts
}

const (
	// priorityStep is how much earlier one level of caller priority sorts an
	// attempt within its account.
	priorityStep = 500 * time.Millisecond
	// classStep is the ordering penalty of each longer class within an
	// account, at full weight of short-request slowdown.
	classStep = 2 * time.Second
	// callTokens is the service that one plain service call is charged for.
	callTokens = 1
)

// singleQueueAccount is the account of all attempts when usesSingleQueue is
// true.
const singleQueueAccount wire.AccountID = ""

// enqueue adds an attempt with a complete body to the queue.
func (c *Core) enqueue(a *attempt) {
	acc := c.accountOf(a)
	a.state = attemptQueued
	if a.dispatch.Slice != nil {
		c.waitingMembers = append(c.waitingMembers, a.id)
	}
	a.queueKey = a.arrivedAt
	if c.cfg.Queue == QueueFair {
		a.queueKey -= time.Duration(a.dispatch.Priority) * priorityStep
		a.queueKey += time.Duration(float64(a.class) * c.cfg.Weights.ShortShare() * float64(classStep))
	}
	if acc.queued == 0 {
		acc.virtualStart = max(c.queue.virtualTime, acc.virtualFinish)
		c.queue.waitingWeight += acc.weight
	}
	acc.queued++
	acc.waitingTokens += a.uncachedTokens
	c.queue.queued++
	c.queue.waitingTokens[a.band] += a.uncachedTokens
	heap.Push(&acc.queues[a.class], a)
	c.queue.heaps[a.class].update(acc, a.class)
}

// dequeue takes a waiting attempt out of its queue.
func (c *Core) dequeue(a *attempt) {
	acc := c.accountOf(a)
	heap.Remove(&acc.queues[a.class], a.queuePos-1)
	acc.queued--
	acc.waitingTokens -= a.uncachedTokens
	c.queue.queued--
	c.queue.waitingTokens[a.band] -= a.uncachedTokens
	if acc.queued == 0 {
		c.queue.waitingWeight -= acc.weight
	}
	if c.queue.queued == 0 {
		c.queue.waitingWeight = 0 // discard rounding errors of the sum
	}
	c.queue.heaps[a.class].update(acc, a.class)
}

// accountOf returns the row of an attempt's account, which it creates if
// necessary, and updates its weight.
func (c *Core) accountOf(a *attempt) *account {
	id := a.dispatch.Account
	if c.usesSingleQueue() {
		id = singleQueueAccount
	}
	if acc := c.accounts.Get(id); acc != nil {
		c.setWeight(acc, a.dispatch.Weight)
		return acc
	}
	c.dropIdleAccounts()
	acc := c.accounts.Put(id, account{id: id, weight: 1})
	c.setWeight(acc, a.dispatch.Weight)
	return acc
}

// usesSingleQueue reports whether all attempts wait in one queue.
func (c *Core) usesSingleQueue() bool {
	return c.cfg.Queue == QueueFIFO || c.cfg.disabled(mechanismFairness)
}

func (c *Core) setWeight(acc *account, w float64) {
	if !(w > 0) || c.usesSingleQueue() {
		w = 1
	}
	if acc.queued > 0 {
		c.queue.waitingWeight += w - acc.weight
	}
	acc.weight = w
}

// accountPruneThreshold is the number of account rows from which on idle ones
// are dropped.
const accountPruneThreshold = 1024

// dropIdleAccounts drops idle accounts whose past service no longer affects
// the order.
func (c *Core) dropIdleAccounts() {
	if c.accounts.Len() < accountPruneThreshold {
		return
	}
	c.accounts.Each(func(id wire.AccountID, acc *account) bool {
		if acc.queued == 0 && acc.running == 0 && acc.virtualFinish <= c.queue.virtualTime {
			c.accounts.Delete(id)
		}
		return true
	})
	c.accounts.Compact()
}

// charge charges an account for the service that an attempt is expected to
// take. It is called as the attempt starts, after it has left its queue.
func (c *Core) charge(a *attempt) {
	acc := c.accountOf(a)
	a.chargedTokens = c.expectedService(a)
	acc.running++
	c.queue.virtualTime = max(c.queue.virtualTime, acc.virtualStart)
	acc.virtualFinish = acc.virtualStart + float64(a.chargedTokens)/acc.weight
	acc.virtualStart = acc.virtualFinish
	c.updateHeaps(acc)
}

// correctCharge corrects the charge of an attempt that has ended to the
// service that it took.
func (c *Core) correctCharge(a *attempt) {
	acc := c.accountOf(a)
	acc.running--
	used := a.outputTokens + callTokens
	if a.dispatch.Kind == wire.KindEngine {
		used = a.outputTokens
		if a.hasFirstToken {
			used += a.promptTokens
		} else {
			// Prefill did not complete, and the engine does not report its
			// progress by sequence: no uncached prompt tokens are charged.
			used += a.promptTokens - a.uncachedTokens
		}
	}
	acc.servedTokens += used
	correction := float64(used-a.chargedTokens) / acc.weight
	acc.virtualFinish += correction
	if acc.queued > 0 {
		acc.virtualStart = acc.virtualFinish
		c.updateHeaps(acc)
	}
}

// expectedService returns the tokens of service that an attempt is expected
// to take.
func (c *Core) expectedService(a *attempt) int64 {
	if a.dispatch.Kind == wire.KindService {
		return callTokens
	}
	output := a.dispatch.MaxOutput
	if m := c.models.Get(a.dispatch.Model); m != nil && m.outputTokens > 0 {
		output = min(output, int64(m.outputTokens)+1)
	}
	return a.promptTokens + output
}

// updateHeaps restores the order of the class heaps after a change of
// virtual start time.
func (c *Core) updateHeaps(acc *account) {
	for cl := range c.queue.heaps {
		c.queue.heaps[cl].update(acc, class(cl))
	}
}

// head returns the next attempt of a class in dispatch order, or nil.
func (q *fairQueue) head(cl class) *attempt {
	h := &q.heaps[cl]
	if len(h.rows) == 0 {
		return nil
	}
	return h.rows[0].queues[cl].first()
}

// attemptQueue orders the waiting attempts of one account and class.
type attemptQueue []*attempt

func (q attemptQueue) first() *attempt {
	if len(q) == 0 {
		return nil
	}
	return q[0]
}

func (q attemptQueue) Len() int { return len(q) }

func (q attemptQueue) Less(i, j int) bool {
	if q[i].queueKey != q[j].queueKey {
		return q[i].queueKey < q[j].queueKey
	}
	return q[i].id.Compare(q[j].id) < 0
}

func (q attemptQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].queuePos = i + 1
	q[j].queuePos = j + 1
}

func (q *attemptQueue) Push(x any) {
	a := x.(*attempt)
	*q = append(*q, a)
	a.queuePos = len(*q)
}

func (q *attemptQueue) Pop() any {
	last := len(*q) - 1
	a := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	a.queuePos = 0
	return a
}

// accountHeap orders the accounts that wait in one class.
type accountHeap struct {
	class class
	rows  []*account
}

// update inserts, moves or removes an account after a change of its queue or
// its virtual start time.
func (h *accountHeap) update(acc *account, cl class) {
	h.class = cl
	pos := acc.heapPos[cl]
	waits := len(acc.queues[cl]) > 0
	switch {
	case waits && pos == 0:
		heap.Push(h, acc)
	case waits:
		heap.Fix(h, pos-1)
	case pos > 0:
		heap.Remove(h, pos-1)
	}
}

func (h *accountHeap) Len() int { return len(h.rows) }

func (h *accountHeap) Less(i, j int) bool {
	if h.rows[i].virtualStart != h.rows[j].virtualStart {
		return h.rows[i].virtualStart < h.rows[j].virtualStart
	}
	return h.rows[i].id < h.rows[j].id
}

func (h *accountHeap) Swap(i, j int) {
	h.rows[i], h.rows[j] = h.rows[j], h.rows[i]
	h.rows[i].heapPos[h.class] = i + 1
	h.rows[j].heapPos[h.class] = j + 1
}

func (h *accountHeap) Push(x any) {
	acc := x.(*account)
	h.rows = append(h.rows, acc)
	acc.heapPos[h.class] = len(h.rows)
}

func (h *accountHeap) Pop() any {
	last := len(h.rows) - 1
	acc := h.rows[last]
	h.rows[last] = nil
	h.rows = h.rows[:last]
	acc.heapPos[h.class] = 0
	return acc
}
