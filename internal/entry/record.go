package entry

import (
	"trefoilpath.org/trefoilpath/internal/idempotency"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// needsRecord reports whether a call needs an at-most-once record, so that
// repeats by its caller don't run it again.
func (c *Core) needsRecord(r *request) bool {
	if r.in.Kind != wire.KindService || r.repeatable || c.cfg.disabled(mechanismRecords) {
		return false
	}
	return r.in.Call.IdempotencyKey != ""
}

// beginRecord requests the at-most-once record of a call before anything is
// sent.
func (c *Core) beginRecord(r *request) {
	r.phase = phaseRecord
	ttl := c.serviceDeclared(r.in.Call.Service).KeyTTL
	c.records.Begin(c.now, recordHandle(r.id), keyOf(r), r.in.BodyDigest, ttl, r.deadline-c.now)
	r.ownsRecord = true
}

// takeRecordDecisions acts on the verdicts of at-most-once records.
func (c *Core) takeRecordDecisions() {
	c.records.Tick(c.now)
	for _, d := range c.records.TakeDecisions() {
		c.applyRecordDecision(d)
	}
}

func (c *Core) applyRecordDecision(d idempotency.Decision) {
	r := c.requests.Get(RequestID(d.Handle))
	if r == nil || r.phase != phaseRecord {
		return
	}
	switch d.Verdict {
	case idempotency.Run:
		c.enqueue(r)
	case idempotency.Replay:
		r.ownsRecord = false
		r.mayHaveRun = true
		stored := d.Stored
		c.end(r, Answer{Outcome: wire.OutcomeCompleted, Replay: &stored})
	case idempotency.Conflict:
		r.ownsRecord = false
		c.fail(r, failure{code: CodeKeyConflict, detail: "the idempotency key was used with another request"})
	case idempotency.NotRun:
		r.ownsRecord = false
		c.fail(r, failure{code: CodeStoreDown, detail: "no at-most-once record can be made", retryAfter: notReadyRetryAfter})
	case idempotency.Unknown:
		r.ownsRecord = false
		r.mayHaveRun = true
		c.fail(r, failure{code: CodeOutcomeUnknown, detail: "an earlier call with this key may have run"})
	}
}

// closeRecord writes the outcome of a call to its record, or releases the
// record if the call has not been routed.
func (c *Core) closeRecord(r *request, outcome wire.Outcome, reply *idempotency.Stored) {
	if !r.ownsRecord {
		return
	}
	r.ownsRecord = false
	if r.phase == phaseRecord {
		c.records.Release(c.now, recordHandle(r.id))
		return
	}
	var stored idempotency.Stored
	if reply != nil {
		stored = *reply
	}
	c.records.Finish(c.now, recordHandle(r.id), outcome, stored)
}
