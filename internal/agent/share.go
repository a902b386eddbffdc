package agent

import (
	"container/heap"
	"time"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// shareState is the weighted fair queue over client accounts: start-time fair
// queueing in tokens of service. Each class of prompts has a heap of the
// accounts that wait in it, ordered by virtual start time; all classes share
// one virtual time and one set of tags.
type shareState struct {
	virtual float64
	classes [classCount]accountHeap
	queued  int
	tokens  [wire.BandCount]int64 // prompt tokens waiting
	weight  float64               // sum over accounts that wait
}

const (
	// priorityStep is the wait that one level of caller priority is worth within
	// its account.
	priorityStep = 500 * time.Millisecond
	// classStep is the wait by which a longer class stands back within its
	// account, at full weight of short-request slowdown.
	classStep = 2 * time.Second
	// callTokens is the service that one plain service call counts as.
	callTokens = 1
)

// fifoAccount is the one queue of the first-come policy.
const fifoAccount wire.AccountID = ""

// enqueue makes a ready attempt wait for the endpoint.
func (c *Core) enqueue(a *attempt) {
	acc := c.accountOf(a)
	a.state = attemptQueued
	if a.d.Slice != nil {
		c.members = append(c.members, a.id)
	}
	a.key = a.arrived
	if c.cfg.Queue == QueueFair {
		a.key -= time.Duration(a.d.Priority) * priorityStep
		a.key += time.Duration(float64(a.class) * c.cfg.Weights.ShortShare() * float64(classStep))
	}
	if acc.queued == 0 {
		acc.start = max(c.share.virtual, acc.finish)
		c.share.weight += acc.weight
	}
	acc.queued++
	acc.tokens += a.uncached
	c.share.queued++
	c.share.tokens[a.band] += a.uncached
	heap.Push(&acc.queues[a.class], a)
	c.share.classes[a.class].update(acc, a.class)
}

// dequeue takes a waiting attempt out of its queue.
func (c *Core) dequeue(a *attempt) {
	acc := c.accountOf(a)
	heap.Remove(&acc.queues[a.class], a.queuePos-1)
	acc.queued--
	acc.tokens -= a.uncached
	c.share.queued--
	c.share.tokens[a.band] -= a.uncached
	if acc.queued == 0 {
		c.share.weight -= acc.weight
	}
	if c.share.queued == 0 {
		c.share.weight = 0
	}
	c.share.classes[a.class].update(acc, a.class)
}

// accountOf returns the row of an attempt's account, making it if need be.
func (c *Core) accountOf(a *attempt) *account {
	id := a.d.Account
	if c.sharesNothing() {
		id = fifoAccount
	}
	if acc := c.accounts.Get(id); acc != nil {
		c.setWeight(acc, a.d.Weight)
		return acc
	}
	c.forgetIdleAccounts()
	acc := c.accounts.Put(id, account{id: id, weight: 1})
	c.setWeight(acc, a.d.Weight)
	return acc
}

// sharesNothing reports that all attempts wait in one queue.
func (c *Core) sharesNothing() bool {
	return c.cfg.Queue == QueueFIFO || c.cfg.lacks(withoutFairness)
}

func (c *Core) setWeight(acc *account, w float64) {
	if !(w > 0) || c.sharesNothing() {
		w = 1
	}
	if acc.queued > 0 {
		c.share.weight += w - acc.weight
	}
	acc.weight = w
}

// maxIdleAccounts bounds the rows kept for accounts with nothing here.
const maxIdleAccounts = 1024

// forgetIdleAccounts drops accounts whose past service no longer counts.
func (c *Core) forgetIdleAccounts() {
	if c.accounts.Len() < maxIdleAccounts {
		return
	}
	c.accounts.Each(func(id wire.AccountID, acc *account) bool {
		if acc.queued == 0 && acc.active == 0 && acc.finish <= c.share.virtual {
			c.accounts.Delete(id)
		}
		return true
	})
	c.accounts.Compact()
}

// charge accounts for the service that an attempt is expected to take, as it
// starts. The attempt has left its queue.
func (c *Core) charge(a *attempt) {
	acc := c.accountOf(a)
	a.charged = c.expectedService(a)
	acc.active++
	c.share.virtual = max(c.share.virtual, acc.start)
	acc.finish = acc.start + float64(a.charged)/acc.weight
	acc.start = acc.finish
	c.resort(acc)
}

// settleCharge corrects the charge of an attempt that has ended to what it took.
func (c *Core) settleCharge(a *attempt) {
	acc := c.accountOf(a)
	acc.active--
	used := a.output + callTokens
	if a.d.Kind == wire.KindEngine {
		used = a.output
		if a.first {
			used += a.prompt
		} else {
			used += a.prompt - a.uncached
		}
	}
	acc.served += used
	correction := float64(used-a.charged) / acc.weight
	acc.finish += correction
	if acc.queued > 0 {
		acc.start = acc.finish
		c.resort(acc)
	}
}

// expectedService returns the tokens of service that an attempt will take.
func (c *Core) expectedService(a *attempt) int64 {
	if a.d.Kind == wire.KindService {
		return callTokens
	}
	output := a.d.MaxOutput
	if m := c.models.Get(a.d.Model); m != nil && m.output > 0 {
		output = min(output, int64(m.output)+1)
	}
	return a.prompt + output
}

func (c *Core) resort(acc *account) {
	for cl := range c.share.classes {
		c.share.classes[cl].update(acc, class(cl))
	}
}

// head returns the attempt of a class that is next under the policy, or nil.
func (s *shareState) head(cl class) *attempt {
	h := &s.classes[cl]
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
	if q[i].key != q[j].key {
		return q[i].key < q[j].key
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

// update puts an account in its place: into the heap, within it, or out of it.
func (h *accountHeap) update(acc *account, cl class) {
	h.class = cl
	pos := acc.pos[cl]
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
	if h.rows[i].start != h.rows[j].start {
		return h.rows[i].start < h.rows[j].start
	}
	return h.rows[i].id < h.rows[j].id
}

func (h *accountHeap) Swap(i, j int) {
	h.rows[i], h.rows[j] = h.rows[j], h.rows[i]
	h.rows[i].pos[h.class] = i + 1
	h.rows[j].pos[h.class] = j + 1
}

func (h *accountHeap) Push(x any) {
	acc := x.(*account)
	h.rows = append(h.rows, acc)
	acc.pos[h.class] = len(h.rows)
}

func (h *accountHeap) Pop() any {
	last := len(h.rows) - 1
	acc := h.rows[last]
	h.rows[last] = nil
	h.rows = h.rows[:last]
	acc.pos[h.class] = 0
	return acc
}
