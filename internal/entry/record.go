package entry

import (
	"trefoilpath.org/trefoilpath/internal/idempotency"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// needsRecord reports whether a call must run at most once across repeats by
// its caller.
func (c *Core) needsRecord(r *request) bool {
	if r.in.Kind != wire.KindService || r.repeatable || c.cfg.lacks(withoutRecords) {
		return false
	}
	return r.in.Call.IdempotencyKey != ""
}

// begin asks for the record of a call before anything is sent.
func (c *Core) begin(r *request) {
	r.phase = phaseRecord
	ttl := c.serviceDeclared(r.in.Call.Service).KeyTTL
	c.records.Begin(c.now, call(r.id), keyOf(r), r.in.BodyDigest, ttl, r.deadline-c.now)
	r.recorded = true
}

// decide acts on the verdicts of at-most-once records.
func (c *Core) decide() {
	c.records.Tick(c.now)
	for _, d := range c.records.TakeDecisions() {
		c.decided(d)
	}
}

func (c *Core) decided(d idempotency.Decision) {
	r := c.requests.Get(RequestID(d.Handle))
	if r == nil || r.phase != phaseRecord {
		return
	}
	switch d.Verdict {
	case idempotency.Run:
		c.enqueue(r)
	case idempotency.Replay:
		r.recorded = false
		r.ran = true
		stored := d.Stored
		c.end(r, Answer{Outcome: wire.OutcomeCompleted, Replay: &stored})
	case idempotency.Conflict:
		r.recorded = false
		c.fail(r, failure{code: CodeKeyConflict, detail: "the idempotency key was used with another request"})
	case idempotency.StoreDown:
		r.recorded = false
		c.fail(r, failure{code: CodeStoreDown, detail: "no at-most-once record can be made", retryAfter: notReadyRetryAfter})
	case idempotency.Unknown:
		r.recorded = false
		r.ran = true
		c.fail(r, failure{code: CodeOutcomeUnknown, detail: "an earlier call with this key may have run"})
	}
}

// finishRecord tells the record how its call ended.
func (c *Core) finishRecord(r *request, outcome wire.Outcome, reply *idempotency.Stored) {
	if !r.recorded {
		return
	}
	r.recorded = false
	if r.phase == phaseRecord {
		c.records.Release(c.now, call(r.id))
		return
	}
	var stored idempotency.Stored
	if reply != nil {
		stored = *reply
	}
	c.records.Finish(c.now, call(r.id), outcome, stored)
}
