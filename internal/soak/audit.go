package soak

import (
	"fmt"
	"time"

	"trefoilpath.org/trefoilpath/internal/agent"
	"trefoilpath.org/trefoilpath/internal/entry"
	"trefoilpath.org/trefoilpath/internal/simnet"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Promise names a property that the audit of a run checks.
type Promise string

// The promises of the system, program invariants, and errors in setting up a run.
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
	Subject string // request, node or invariant
	Detail  string
}

// Tolerances of the checks.
const (
	answerSlack      = 250 * time.Millisecond // beyond a time limit
	leavingBound     = 2 * time.Second        // from shutdown to the last new work
	revisionBound    = 12 * time.Second       // from acceptance until in effect everywhere
	minIdleFreeShare = 0.9                    // of an idle engine's memory that its agent must report as free
)

// audit checks the answers and reports of processes against what the simulated
// engines, services and store recorded.
type audit struct {
	world            *World
	runs             map[serviceKey]int      // number of runs by services
	lateAttempts     map[wire.AttemptID]bool // dispatched later than leavingBound after shutdown began
	reservedAttempts map[wire.AttemptID]bool // reservations for groups, granted before the endpoint began to leave
	pauses           map[*entryNode][]interval
	accepted         []acceptedRevision
	reportedFree     map[*agentNode]int64 // free tokens in the latest report
	limits           *limitAudit          // nil if no account has lowered limits
}

// serviceKey identifies a call that a service must not run twice.
type serviceKey struct {
	account wire.AccountID
	key     string // idempotency key; for a repeatable call or one without a key, the external ID, which is new at each try
}

// interval is a span of virtual time.
type interval struct{ from, to time.Duration }

// acceptedRevision is a revision written to the store by an operator's edit.
type acceptedRevision struct {
	revision uint64
	nonce    uint64 // identifies the edit
	at       time.Duration
}

func newAudit(w *World) *audit {
	return &audit{
		world:            w,
		runs:             make(map[serviceKey]int),
		lateAttempts:     make(map[wire.AttemptID]bool),
		reservedAttempts: make(map[wire.AttemptID]bool),
		pauses:           make(map[*entryNode][]interval),
		reportedFree:     make(map[*agentNode]int64),
	}
}

func (a *audit) fail(p Promise, subject, format string, args ...any) {
	a.world.fail(violation{Promise: p, Subject: subject, Detail: fmt.Sprintf(format, args...)})
}

// recordPause records that an entry is suspended for d.
func (a *audit) recordPause(e *entryNode, d time.Duration) {
	now := a.world.clock.Now()
	a.pauses[e] = append(a.pauses[e], interval{from: now, to: now + d})
}

// pausedDuring returns for how long an entry was suspended between two times.
func (a *audit) pausedDuring(e *entryNode, from, to time.Duration) time.Duration {
	var sum time.Duration
	for _, p := range a.pauses[e] {
		sum += max(0, min(p.to, to)-max(p.from, from))
	}
	return sum
}

// isOverdue reports whether a call has exceeded its time limit at its entry.
// Time during which the entry was suspended does not count.
func (a *audit) isOverdue(c *call) bool {
	now := a.world.clock.Now()
	allowed := c.limit + answerSlack + a.pausedDuring(c.entry, c.arrivedAt, now)
	return now-c.arrivedAt > allowed
}

// checkUnanswered checks a call whose caller hangs up without an answer.
func (a *audit) checkUnanswered(c *call) {
	if a.isOverdue(c) {
		a.fail(promiseInTime, c.externalID, "no answer after %v, limit %v", a.world.clock.Now()-c.arrivedAt, c.limit)
	}
}

// checkAnswer checks the final answer to a caller.
func (a *audit) checkAnswer(c *call, m *entry.Answer) {
	if a.isOverdue(c) {
		a.fail(promiseInTime, c.externalID, "answered after %v, limit %v", a.world.clock.Now()-c.arrivedAt, c.limit)
	}
	if m.Outcome == wire.OutcomeCompleted {
		a.checkCompleted(c)
	}
	if m.Outcome == wire.OutcomeNotRun && c.ran {
		a.fail(promiseNotRun, c.externalID, "answered not-run (%s) after it had begun to run", m.Code)
	}
	begunBefore := c.entry.leavingAt != notLeaving && c.arrivedAt < c.entry.leavingAt
	if m.Code == entry.CodeShutdown && begunBefore {
		a.fail(promiseShutdown, c.externalID, "cut off by the shutdown of %s", c.entry.name)
	}
}

// checkCompleted checks that a caller has received exactly its whole answer.
func (a *audit) checkCompleted(c *call) {
	if c.req.Kind == wire.KindService {
		a.checkServiceAnswer(c)
		return
	}
	if c.delivered != c.expectedTokens() {
		a.fail(promiseWhole, c.externalID, "completed with %d of %d tokens", c.delivered, c.expectedTokens())
	}
}

// checkServiceAnswer checks that the answer is one of those that the service
// gave to runs of this call.
func (a *audit) checkServiceAnswer(c *call) {
	runs := max(1, a.runs[keyOf(c)])
	for run := 1; run <= runs; run++ {
		if string(c.body) == string(serviceText(c.req.BodyDigest, run)) {
			return
		}
	}
	a.fail(promiseWhole, c.externalID, "completed with %d bytes that the service did not give", len(c.body))
}

// checkEnded checks the text that a call received, however it ended.
func (a *audit) checkEnded(c *call) {
	if c.wrongText {
		a.fail(promiseWhole, c.externalID, "received text that is not its own at token %d", c.delivered)
	}
}

// recordRun records that an endpoint runs a call, and checks that its caller
// was not told not-run.
func (a *audit) recordRun(c *call, where string) {
	c.ran = true
	if c.ended && c.outcome == wire.OutcomeNotRun {
		a.fail(promiseNotRun, c.externalID, "%s runs it after the caller heard not-run (%s)", where, c.code)
	}
}

func keyOf(c *call) serviceKey {
	key := c.req.Call.IdempotencyKey
	if key == "" || c.req.Repeatable {
		key = "request " + c.externalID
	}
	return serviceKey{account: c.req.Account, key: key}
}

// recordServiceRun records that a service runs a call, checks that it runs a call
// that is not repeatable only once, and returns the number of runs so far.
func (a *audit) recordServiceRun(s *serviceNode, k *agentWork, start *agent.ServiceStart) int {
	c := k.call
	key := keyOf(c)
	a.runs[key]++
	a.world.record(simnet.Node("service/"+s.name), "run", c.externalID, start.Attempt.String(), int64(a.runs[key]))
	a.recordRun(c, string(s.name))
	if !c.req.Repeatable && a.runs[key] > 1 {
		c.ranTwice = true
		a.fail(promiseOnce, c.externalID, "%s runs key %q for the %d. time", s.name, key.key, a.runs[key])
	}
	return a.runs[key]
}

// recordReservation records memory that an agent has reserved for a group.
// Slices of the group that arrive later belong to work that the agent accepted
// before it began to leave, and are no violation.
func (a *audit) recordReservation(n *agentNode, r *wire.Reserved) {
	if r.Granted && n.leavingAt == notLeaving {
		a.reservedAttempts[r.Attempt] = true
	}
}

// recordDispatch records work that reaches an agent later than leavingBound after
// it began to leave.
func (a *audit) recordDispatch(n *agentNode, d *wire.Dispatch) {
	if d.Slice != nil && a.reservedAttempts[d.Slice.Reservation] {
		return
	}
	if n.leavingAt != notLeaving && a.world.clock.Now() > n.leavingAt+leavingBound {
		a.lateAttempts[d.Attempt] = true
	}
}

// checkDispatch checks that an entry sends no work to an agent more than
// leavingBound after the agent began to leave. The check is skipped if the agent
// is not running, or if the entry, the agent or their link was disturbed since it
// began to leave: the entry may not have learnt of it.
func (a *audit) checkDispatch(e *entryNode, s *stream, d *wire.Dispatch) {
	n := s.agent
	now := a.world.clock.Now()
	if d.Slice != nil && a.reservedAttempts[d.Slice.Reservation] {
		return
	}
	if n.leavingAt == notLeaving || now <= n.leavingAt+leavingBound {
		return
	}
	if !n.running() || a.world.linkUndisturbedFor(e, n) < now-n.leavingAt {
		return
	}
	a.fail(promiseLeaving, d.RequestID, "%s sends work %v after %s began to leave", e.name, now-n.leavingAt, n.name)
}

// checkEngineStart checks that an agent submits no attempt to its engine that was
// dispatched more than leavingBound after it began to leave.
func (a *audit) checkEngineStart(n *agentNode, k *agentWork) {
	if a.lateAttempts[k.attempt] {
		a.fail(promiseLeaving, k.call.externalID, "%s starts work that came after it began to leave", n.name)
	}
}

// checkAgentEvent checks that an agent starts no attempt that was dispatched more
// than leavingBound after it began to leave.
func (a *audit) checkAgentEvent(n *agentNode, e *agent.Event) {
	if e.Kind == agent.EventStarted && a.lateAttempts[e.Attempt] {
		a.fail(promiseLeaving, e.Request, "%s starts work that came after it began to leave", n.name)
	}
}

// checkEntryEvent checks the lowered limits when an entry admits a call.
func (a *audit) checkEntryEvent(e *entryNode, ev *entry.Event) {
	if ev.Kind != entry.EventAdmitted {
		return
	}
	if c := e.byExternal[ev.Request]; c != nil {
		a.checkLimits(c)
	}
}

// checkAgentDrained checks that an agent that exits after draining leaves no
// attempt in its engine.
func (a *audit) checkAgentDrained(n *agentNode) {
	if n.engine == nil {
		return
	}
	for _, h := range n.engine.held() {
		if k := n.bySequence[h.ID]; k != nil && !k.dropped {
			a.fail(promiseShutdown, k.call.externalID, "%s exits while it runs", n.name)
		}
	}
}

// checkEntryDrained checks that an entry that exits after draining has no call in
// flight.
func (a *audit) checkEntryDrained(e *entryNode) {
	for _, c := range e.callsInOrder() {
		a.fail(promiseShutdown, c.externalID, "%s exits while the call is in flight", e.name)
	}
}

// checkIdle checks, after all calls have ended, that no engine holds memory for
// them and that agents report it as free.
func (a *audit) checkIdle() {
	for _, n := range a.world.agents {
		if n.engine == nil {
			continue
		}
		for _, h := range n.engine.held() {
			a.fail(promiseMemory, string(n.endpoint), "holds %d tokens for sequence %q handle %q", h.Tokens, h.ID, h.Handle)
		}
		free, capacity := a.reportedFree[n], n.engine.capacity()
		if float64(free) < minIdleFreeShare*float64(capacity) {
			a.fail(promiseMemory, string(n.endpoint), "agent offers %d of %d tokens of an idle engine", free, capacity)
		}
	}
}
