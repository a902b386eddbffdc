package soak

import (
	"fmt"
	"time"

	"trefoilpath.org/trefoilpath/internal/entry"
	"trefoilpath.org/trefoilpath/internal/wire"
	"trefoilpath.org/trefoilpath/internal/workload"
)

// Times of callers and the platform's load balancer.
const (
	balancerLag   = 2 * time.Second  // from a change of readiness to its effect
	clientLatency = time.Millisecond // one way
	hangUpDelay   = 15 * time.Second // beyond the time limit
	retryPause    = time.Second
	maxTries      = 3
)

// callers sends the workload through the load balancer and receives the answers.
type callers struct {
	world        *World
	workload     *workload.Generator
	until        time.Duration // no arrivals after it
	readyEntries []*entryNode  // as known to the balancer
	open         map[*call]bool
	inOrder      []*call // open calls and some ended ones, in order of arrival
	results      []*call // ended calls
	refused      int     // the balancer had no ready entry
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

// setReady applies a change of an entry's readiness to the balancer's state.
func (k *callers) setReady(e *entryNode, ok bool) {
	kept := k.readyEntries[:0:0]
	for _, b := range k.world.entries {
		in := b == e && ok
		for _, old := range k.readyEntries {
			in = in || (old == b && b != e)
		}
		if in {
			kept = append(kept, b)
		}
	}
	k.readyEntries = kept
}

// submit sends a request through the load balancer.
func (k *callers) submit(r *workload.Request, try int) {
	c := k.newCall(r, try)
	e := k.choose()
	if e == nil {
		k.refused++
		k.world.record("balancer", "no-entry", c.externalID, "", 0)
		return
	}
	k.send(c, e)
}

func (k *callers) newCall(r *workload.Request, try int) *call {
	return &call{
		req:        r,
		externalID: fmt.Sprintf("r%d.%d", r.Number, try),
		try:        try,
		sent:       k.world.clock.Now(),
		limit:      k.world.timeLimit(r),
		world:      k.world,
	}
}

// send sends a call to an entry.
func (k *callers) send(c *call, e *entryNode) {
	k.open[c] = true
	k.inOrder = append(k.inOrder, c)
	k.world.clock.After(clientLatency, func() { k.arrive(c, e) })
}

// choose draws a running entry from those that the balancer knows as ready; nil
// if there is none.
func (k *callers) choose() *entryNode {
	if len(k.readyEntries) == 0 {
		return nil
	}
	start := k.world.rnd.IntN(len(k.readyEntries))
	for i := range k.readyEntries {
		e := k.readyEntries[(start+i)%len(k.readyEntries)]
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
	c.arrivedAt = w.clock.Now()
	w.record(e.name, "request", c.externalID, string(c.req.Account), c.req.PromptTokens)
	e.accept(c)
	w.clock.After(c.limit+hangUpDelay, func() { k.hangUp(c) })
}

// hangUp closes the connection of a call without an answer after hangUpDelay
// beyond its time limit.
func (k *callers) hangUp(c *call) {
	if c.ended {
		return
	}
	if c.entry.alive() && c.entry.incarnation == c.incarnation {
		k.world.audit.checkUnanswered(c)
	}
	c.gone = true
	k.end(c)
	c.entry.callerGone(c)
}

// abandon makes a caller hang up before its answer is complete.
func (k *callers) abandon(c *call) {
	if c.ended || c.entry == nil {
		return
	}
	k.world.record(c.entry.name, "caller-gone", c.externalID, "", 0)
	c.gone = true
	k.end(c)
	c.entry.callerGone(c)
}

// answered handles the final answer of a call.
func (k *callers) answered(c *call, m *entry.Answer) {
	if c.ended {
		return
	}
	c.outcome = m.Outcome
	c.code = m.Code
	k.world.record(c.entry.name, "answer", c.externalID, m.Outcome.String()+" "+m.Code.String()+" "+m.Detail, c.delivered)
	k.end(c)
	k.world.audit.checkAnswer(c, m)
	if c.outcome != wire.OutcomeCompleted {
		k.retry(c, max(m.RetryAfter, retryPause))
	}
}

// connectionLost ends a call, after a delay, whose entry process has ended. Its
// outcome is unknown. A call that the entry never read has the admission time 0.
func (k *callers) connectionLost(c *call, after time.Duration) {
	k.world.clock.After(after, func() {
		if c.ended {
			return
		}
		k.world.record(c.entry.name, "connection-lost", c.externalID, "", 0)
		c.lost = true
		c.outcome = wire.OutcomeUnknown
		k.end(c)
		k.retry(c, retryPause)
	})
}

// retry repeats a call that has an idempotency key, up to maxTries.
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
	c.heldFrames = nil
	delete(k.open, c)
	k.results = append(k.results, c)
	k.world.audit.checkEnded(c)
}

// openCalls returns the calls that have not ended, oldest first.
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
