package soak

import (
	"fmt"
	"time"

	"trefoilpath.org/trefoilpath/internal/entry"
	"trefoilpath.org/trefoilpath/internal/wire"
	"trefoilpath.org/trefoilpath/internal/workload"
)

// Times of callers and the platform's balancer.
const (
	balancerLag   = 2 * time.Second
	clientLatency = time.Millisecond // one way
	patience      = 15 * time.Second // beyond the time limit, before a caller hangs up
	retryPause    = time.Second
	maxTries      = 3
)

// callers offers the workload through the balancer and receives the answers.
type callers struct {
	world    *World
	workload *workload.Generator
	until    time.Duration
	balanced []*entryNode // in the balancer's view
	open     map[*call]bool
	inOrder  []*call // open calls and some ended ones, in order of arrival
	results  []*call // ended calls
	refused  int     // no entry took the call
}

func newCallers(w *World, g *workload.Generator, until time.Duration) *callers {
	return &callers{world: w, workload: g, until: until, open: make(map[*call]bool)}
}

// start schedules the first arrival.
func (k *callers) start(offset time.Duration) { k.next(offset) }

func (k *callers) next(offset time.Duration) {
	at, r := k.workload.Next()
	at += offset
	if at > k.until {
		return
	}
	k.world.clock.At(at, func() {
		k.submit(&r, 0)
		k.next(offset)
	})
}

// balance notes a change of readiness that has reached the balancer.
func (k *callers) balance(e *entryNode, ok bool) {
	kept := k.balanced[:0:0]
	for _, b := range k.world.entries {
		in := b == e && ok
		for _, old := range k.balanced {
			in = in || (old == b && b != e)
		}
		if in {
			kept = append(kept, b)
		}
	}
	k.balanced = kept
}

// submit sends a request through the balancer.
func (k *callers) submit(r *workload.Request, try int) {
	c := k.newCall(r, try)
	e := k.choose()
	if e == nil {
		k.refused++
		k.world.record("balancer", "no-entry", c.external, "", 0)
		return
	}
	k.send(c, e)
}

func (k *callers) newCall(r *workload.Request, try int) *call {
	return &call{
		req:      r,
		external: fmt.Sprintf("r%d.%d", r.Number, try),
		try:      try,
		sent:     k.world.clock.Now(),
		limit:    k.world.timeLimit(r),
		world:    k.world,
	}
}

// send sends a call to an entry.
func (k *callers) send(c *call, e *entryNode) {
	k.open[c] = true
	k.inOrder = append(k.inOrder, c)
	k.world.clock.After(clientLatency, func() { k.arrive(c, e) })
}

// choose picks an entry that the balancer believes to be ready.
func (k *callers) choose() *entryNode {
	if len(k.balanced) == 0 {
		return nil
	}
	start := k.world.rnd.IntN(len(k.balanced))
	for i := range k.balanced {
		e := k.balanced[(start+i)%len(k.balanced)]
		if e.alive() {
			return e
		}
	}
	return nil
}

func (k *callers) arrive(c *call, e *entryNode) {
	w := k.world
	if !e.alive() {
		c.entry = e
		k.connectionLost(c, 0)
		return
	}
	c.admitted = w.clock.Now()
	w.record(e.name, "request", c.external, string(c.req.Account), c.req.PromptTokens)
	e.accept(c)
	w.clock.After(c.limit+patience, func() { k.hangUp(c) })
}

// hangUp closes the connection of a call that has had no answer in time.
func (k *callers) hangUp(c *call) {
	if c.ended {
		return
	}
	if c.entry.alive() && c.entry.incarnation == c.life {
		k.world.audit.unanswered(c)
	}
	c.gone = true
	k.end(c)
	c.entry.callerGone(c)
}

// leave makes a caller go away before its answer.
func (k *callers) leave(c *call) {
	if c.ended || c.entry == nil {
		return
	}
	k.world.record(c.entry.name, "caller-gone", c.external, "", 0)
	c.gone = true
	k.end(c)
	c.entry.callerGone(c)
}

// answered receives the end of an answer.
func (k *callers) answered(c *call, m *entry.Answer) {
	if c.ended {
		return
	}
	c.outcome = m.Outcome
	c.code = m.Code
	k.world.record(c.entry.name, "answer", c.external, m.Outcome.String()+" "+m.Code.String()+" "+m.Detail, c.delivered)
	k.end(c)
	k.world.audit.answered(c, m)
	if c.outcome != wire.OutcomeCompleted {
		k.retry(c, max(m.RetryAfter, retryPause))
	}
}

// connectionLost ends a call whose entry has died. A call that the entry never
// read counts as not admitted.
func (k *callers) connectionLost(c *call, after time.Duration) {
	k.world.clock.After(after, func() {
		if c.ended {
			return
		}
		k.world.record(c.entry.name, "connection-lost", c.external, "", 0)
		c.lost = true
		c.outcome = wire.OutcomeUnknown
		k.end(c)
		k.retry(c, retryPause)
	})
}

// retry repeats a keyed call, as careful callers do.
func (k *callers) retry(c *call, pause time.Duration) {
	keyed := c.req.Call != nil && c.req.Call.IdempotencyKey != ""
	if !keyed || c.try+1 >= maxTries || c.gone {
		return
	}
	k.world.clock.After(pause, func() { k.submit(c.req, c.try+1) })
}

func (k *callers) end(c *call) {
	c.ended = true
	c.endedAt = k.world.clock.Now()
	c.late = nil
	delete(k.open, c)
	k.results = append(k.results, c)
	k.world.audit.ended(c)
}

// openCalls lists the calls without an end, oldest first.
func (k *callers) openCalls() []*call {
	kept := k.inOrder[:0]
	for _, c := range k.inOrder {
		if !c.ended {
			kept = append(kept, c)
		}
	}
	clear(k.inOrder[len(kept):])
	k.inOrder = kept
	return kept
}
