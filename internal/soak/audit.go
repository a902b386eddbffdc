package soak

import (
	"fmt"
	"time"

	"trefoilpath.org/trefoilpath/internal/agent"
	"trefoilpath.org/trefoilpath/internal/entry"
	"trefoilpath.org/trefoilpath/internal/simnet"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Promise names one of the properties that a run is audited for.
type Promise string

// The promises of the system, and the program's own invariants.
const (
	promiseInTime    Promise = "finishes-or-fails-in-time"
	promiseMemory    Promise = "no-engine-memory-lost"
	promiseWhole     Promise = "whole-own-answer"
	promiseNotRun    Promise = "not-run-means-not-run"
	promiseOnce      Promise = "at-most-once"
	promiseLeaving   Promise = "no-new-work-when-leaving"
	promiseShutdown  Promise = "graceful-shutdown"
	promiseRevision  Promise = "revision-in-force"
	promiseInvariant Promise = "program-invariant"
	promiseConfig    Promise = "run-configuration"
)

// violation is a broken promise.
type violation struct {
	Promise Promise
	Subject string // request or node
	Detail  string
}

// Bounds of the promises.
const (
	answerSlack     = 250 * time.Millisecond // of a time limit
	leavingBound    = 2 * time.Second
	revisionBound   = 12 * time.Second
	minIdleFreePart = 0.9 // of an idle engine's memory that its agent offers
)

// audit compares what the processes say with the fakes' ledgers.
type audit struct {
	world    *World
	runs     map[serviceKey]int // of calls that must not be repeated
	late     map[wire.AttemptID]bool
	reserved map[wire.AttemptID]bool // for groups, before the endpoint began to leave
	pauses   map[*entryNode][]interval
	accepted []acceptedRevision
	free     map[*agentNode]int64
	limits   *limitAudit // nil: no account has tight limits
}

// serviceKey identifies a call that a plain service must not run twice.
type serviceKey struct {
	account wire.AccountID
	key     string // idempotency key, or the request without one
}

// interval is a span of virtual time.
type interval struct{ from, to time.Duration }

// acceptedRevision is a revision that an operator's edit has created.
type acceptedRevision struct {
	revision uint64
	nonce    uint64
	at       time.Duration
}

func newAudit(w *World) *audit {
	return &audit{
		world:    w,
		runs:     make(map[serviceKey]int),
		late:     make(map[wire.AttemptID]bool),
		reserved: make(map[wire.AttemptID]bool),
		pauses:   make(map[*entryNode][]interval),
		free:     make(map[*agentNode]int64),
	}
}

func (a *audit) fail(p Promise, subject, format string, args ...any) {
	a.world.fail(violation{Promise: p, Subject: subject, Detail: fmt.Sprintf(format, args...)})
}

// paused notes that an entry does nothing for d.
func (a *audit) paused(e *entryNode, d time.Duration) {
	now := a.world.clock.Now()
	a.pauses[e] = append(a.pauses[e], interval{from: now, to: now + d})
}

// pausedDuring returns for how long an entry was paused between two times.
func (a *audit) pausedDuring(e *entryNode, from, to time.Duration) time.Duration {
	var sum time.Duration
	for _, p := range a.pauses[e] {
		sum += max(0, min(p.to, to)-max(p.from, from))
	}
	return sum
}

// overdue reports whether a call has outlived its time limit at its entry.
func (a *audit) overdue(c *call) bool {
	now := a.world.clock.Now()
	allowed := c.limit + answerSlack + a.pausedDuring(c.entry, c.admitted, now)
	return now-c.admitted > allowed
}

// unanswered checks a call whose caller has lost patience.
func (a *audit) unanswered(c *call) {
	if a.overdue(c) {
		a.fail(promiseInTime, c.external, "no answer after %v, limit %v", a.world.clock.Now()-c.admitted, c.limit)
	}
}

// answered checks an answer when it reaches the caller.
func (a *audit) answered(c *call, m *entry.Answer) {
	if a.overdue(c) {
		a.fail(promiseInTime, c.external, "answered after %v, limit %v", a.world.clock.Now()-c.admitted, c.limit)
	}
	if m.Outcome == wire.OutcomeCompleted {
		a.completed(c)
	}
	if m.Outcome == wire.OutcomeNotRun && c.ran {
		a.fail(promiseNotRun, c.external, "answered not-run (%s) after it had begun to run", m.Code)
	}
	begunBefore := c.entry.leavingAt != notLeaving && c.admitted < c.entry.leavingAt
	if m.Code == entry.CodeShutdown && begunBefore {
		a.fail(promiseShutdown, c.external, "cut off by the shutdown of %s", c.entry.name)
	}
}

// completed checks that a caller has its whole answer and nothing else.
func (a *audit) completed(c *call) {
	if c.req.Kind == wire.KindService {
		a.serviceAnswer(c)
		return
	}
	if c.delivered != c.expectedTokens() {
		a.fail(promiseWhole, c.external, "completed with %d of %d tokens", c.delivered, c.expectedTokens())
	}
}

// serviceAnswer checks that the answer is one that the service gave to this call.
func (a *audit) serviceAnswer(c *call) {
	runs := max(1, a.runs[keyOf(c)])
	for run := 1; run <= runs; run++ {
		if string(c.body) == string(serviceText(c.req.BodyDigest, run)) {
			return
		}
	}
	a.fail(promiseWhole, c.external, "completed with %d bytes that the service did not give", len(c.body))
}

// ended checks what every call must satisfy, however it ended.
func (a *audit) ended(c *call) {
	if c.broken {
		a.fail(promiseWhole, c.external, "received text that is not its own at token %d", c.delivered)
	}
}

// began notes that an endpoint runs a call.
func (a *audit) began(c *call, where string) {
	c.ran = true
	if c.ended && c.outcome == wire.OutcomeNotRun {
		a.fail(promiseNotRun, c.external, "%s runs it after the caller heard not-run (%s)", where, c.code)
	}
}

func keyOf(c *call) serviceKey {
	key := c.req.Call.IdempotencyKey
	if key == "" || c.req.Repeatable {
		key = "request " + c.external
	}
	return serviceKey{account: c.req.Account, key: key}
}

// serviceRun notes that a service runs a call and returns how often it has.
func (a *audit) serviceRun(s *serviceNode, k *agentWork, start *agent.ServiceStart) int {
	c := k.call
	key := keyOf(c)
	a.runs[key]++
	a.world.record(simnet.Node("service/"+s.name), "run", c.external, start.Attempt.String(), int64(a.runs[key]))
	a.began(c, string(s.name))
	if !c.req.Repeatable && a.runs[key] > 1 {
		c.doubled = true
		a.fail(promiseOnce, c.external, "%s runs key %q for the %d. time", s.name, key.key, a.runs[key])
	}
	return a.runs[key]
}

// reservedFor notes memory that an agent has reserved for a group. What comes
// for it later is part of the work that the endpoint has accepted then.
func (a *audit) reservedFor(n *agentNode, r *wire.Reserved) {
	if r.Granted && n.leavingAt == notLeaving {
		a.reserved[r.Attempt] = true
	}
}

// dispatchArrived notes work that reaches an agent after it should have stopped
// coming.
func (a *audit) dispatchArrived(n *agentNode, d *wire.Dispatch) {
	if d.Slice != nil && a.reserved[d.Slice.Reservation] {
		return
	}
	if n.leavingAt != notLeaving && a.world.clock.Now() > n.leavingAt+leavingBound {
		a.late[d.Attempt] = true
	}
}

// dispatchSent checks that an entry that could know does not send work to a
// leaving agent.
func (a *audit) dispatchSent(e *entryNode, s *stream, d *wire.Dispatch) {
	n := s.agent
	now := a.world.clock.Now()
	if d.Slice != nil && a.reserved[d.Slice.Reservation] {
		return
	}
	if n.leavingAt == notLeaving || now <= n.leavingAt+leavingBound {
		return
	}
	if !n.running() || a.world.calmFor(e, n) < now-n.leavingAt {
		return
	}
	a.fail(promiseLeaving, d.RequestID, "%s sends work %v after %s began to leave", e.name, now-n.leavingAt, n.name)
}

// engineStart checks an attempt that an agent hands to its engine.
func (a *audit) engineStart(n *agentNode, k *agentWork) {
	if a.late[k.attempt] {
		a.fail(promiseLeaving, k.call.external, "%s starts work that came after it began to leave", n.name)
	}
}

// agentEvent is called for every event that an agent logs.
func (a *audit) agentEvent(n *agentNode, e *agent.Event) {
	if e.Kind == agent.EventStarted && a.late[e.Attempt] {
		a.fail(promiseLeaving, e.Request, "%s starts work that came after it began to leave", n.name)
	}
}

// entryEvent is called for every event that an entry logs.
func (a *audit) entryEvent(e *entryNode, ev *entry.Event) {
	if ev.Kind != entry.EventAdmitted {
		return
	}
	if c := e.byExternal[ev.Request]; c != nil {
		a.admitted(c)
	}
}

// agentDrained checks that a leaving agent has nothing in its engine.
func (a *audit) agentDrained(n *agentNode) {
	if n.engine == nil {
		return
	}
	for _, h := range n.engine.held() {
		if k := n.bySequence[h.ID]; k != nil && !k.dropped {
			a.fail(promiseShutdown, k.call.external, "%s exits while it runs", n.name)
		}
	}
}

// entryDrained checks that a leaving entry has no call in flight.
func (a *audit) entryDrained(e *entryNode) {
	for _, c := range e.callsInOrder() {
		a.fail(promiseShutdown, c.external, "%s exits while the call is in flight", e.name)
	}
}

// quiescent checks, after everything has ended, that no memory is held.
func (a *audit) quiescent() {
	for _, n := range a.world.agents {
		if n.engine == nil {
			continue
		}
		for _, h := range n.engine.held() {
			a.fail(promiseMemory, string(n.endpoint), "holds %d tokens for sequence %q handle %q", h.Tokens, h.ID, h.Handle)
		}
		free, capacity := a.free[n], n.engine.capacity()
		if float64(free) < minIdleFreePart*float64(capacity) {
			a.fail(promiseMemory, string(n.endpoint), "agent offers %d of %d tokens of an idle engine", free, capacity)
		}
	}
}
