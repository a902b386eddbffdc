package gateway

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/admission"
)

// maxRefusalsPerMessage keeps a message within one datagram.
const maxRefusalsPerMessage = 16

// RefusalRow is a request that the sender has refused. Its caller may come back to another
// gateway, which then gives it its place before new requests.
type RefusalRow struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	AgeMS       int64  `cbor:"2,keyasint,omitempty"` // since it was first received
	FromMS      int64  `cbor:"3,keyasint,omitempty"` // until its caller was told to come back, at the earliest
	LeftMS      int64  `cbor:"4,keyasint"`           // until its caller stops waiting
}

// capacity returns what the engines of s in the cell have taken on and can take on. An engine
// with latency-sensitive streams has time for prefills between their passes only.
func (c *Core) capacity(s *service) admission.Capacity {
	var out admission.Capacity
	for _, e := range c.usable(s, nil) {
		if e.engine == nil {
			continue
		}
		o := c.occupancy(e)
		if !c.hasLatencySensitive(&o) {
			out.Engines++
			out.Queued += o.queuedPrefill
			continue
		}
		free := max(o.freePrefillAfterQueue(c.cfg.Placement.GapMargin, c.cfg.Placement.IdlePrefill), 0)
		if pass := free + o.decodePass; pass > 0 {
			out.Engines += float64(free) / float64(pass)
		}
	}
	return out
}

// waitingWork returns the engine time of the prompts that wait for s in the cell, as far as
// this gateway knows them.
func (c *Core) waitingWork(s *service) time.Duration {
	engine := s.engine()
	if engine == nil {
		return 0
	}
	work := time.Duration(0)
	for _, r := range s.waiting {
		work += r.demand.Work
	}
	for p := range c.peers.Values() {
		for _, w := range p.waiting {
			if w.service == s.nameHash {
				work += engine.PrefillTime(w.prompt)
			}
		}
	}
	return work
}

// refuseIfTooLate refuses r if it would be served too late, given the predicted time until its
// work begins, and reports whether it did.
func (c *Core) refuseIfTooLate(r *request, begins time.Duration) bool {
	r.verdict = admission.Decide(&r.demand, c.now, begins)
	if !r.verdict.Refused || c.without(mechanismBacklog) {
		return false
	}
	c.endUnserved(r, ReasonOverload)
	return r.phase != phaseWaiting
}

// refuseByDrain refuses a prompt that one engine prefills if the queue of such prompts moves
// too slowly, given the work ahead of it there.
func (c *Core) refuseByDrain(s *service, r *request, ahead time.Duration) bool {
	if s.engine() == nil || r.divisible || r.held || r.phase != phaseWaiting {
		return false
	}
	return c.refuseIfTooLate(r, s.drain.Begins(c.now, ahead))
}

// comesBack reports whether the caller of a request that was refused for a reason can be
// served if it comes back.
func (reason Reason) comesBack() bool {
	switch reason {
	case ReasonTooLarge, ReasonCrashesEngines, ReasonCrashesEndpoints:
		return false
	}
	return true
}

// rememberRefusal remembers, here and at the other gateways of the cell, that r was refused.
func (c *Core) rememberRefusal(r *request, reason Reason, retryAfter time.Duration) {
	left := r.in.Deadline - c.now
	if !reason.comesBack() || r.in.Fingerprint == 0 || left <= minAttemptTime {
		return
	}
	refusal := admission.Refusal{
		Fingerprint: r.in.Fingerprint, Arrived: r.arrived - r.waitedBefore, From: c.now + min(retryAfter, left/3), Until: r.in.Deadline,
	}
	c.refusals.Add(c.now, refusal)
	if c.Gateways() == 1 {
		return
	}
	c.outbox.refusals = append(c.outbox.refusals, RefusalRow{
		Fingerprint: refusal.Fingerprint, AgeMS: (c.now - refusal.Arrived).Milliseconds(),
		FromMS: (refusal.From - c.now).Milliseconds(), LeftMS: left.Milliseconds(),
	})
	c.outbox.schedule(c)
}

// takeRefusals returns the refusals for the next message.
func (o *peerOutbox) takeRefusals() []RefusalRow {
	n := max(len(o.refusals)-maxRefusalsPerMessage, 0) // the newest: their callers come last
	rows := o.refusals[n:]
	o.refusals = nil
	return rows
}

// mergeRefusals remembers requests that another gateway has refused.
func (c *Core) mergeRefusals(rows []RefusalRow) {
	for _, row := range rows {
		c.refusals.Add(c.now, admission.Refusal{
			Fingerprint: row.Fingerprint, Arrived: c.now - milliseconds(row.AgeMS),
			From: c.now + milliseconds(row.FromMS), Until: c.now + milliseconds(row.LeftMS),
		})
	}
}

// recognizeReturn finds out whether r, which has just arrived, has come back after a refusal.
func (c *Core) recognizeReturn(r *request) {
	refusal, ok := c.refusals.Take(c.now, r.in.Fingerprint)
	if ok && !c.without(mechanismReturns) && r.in.Fingerprint != 0 {
		r.returned, r.waitedBefore = true, c.now-refusal.Arrived
		c.counts.Returned++
	}
}

// admissionDetail returns what decided on r's place and refusal, for the log.
func (r *request) admissionDetail(now time.Duration) string {
	detail := " due=" + (r.demand.Due - now).Round(time.Millisecond).String() +
		" left=" + (r.demand.GiveUp - now).Round(time.Millisecond).String() +
		" work=" + r.demand.Work.Round(time.Millisecond).String()
	if r.demand.Penalty != 0 {
		detail += " later=" + r.demand.Penalty.Round(time.Millisecond).String()
	}
	if r.verdict.Begins >= 0 {
		detail += " begins=" + r.verdict.Begins.Round(time.Millisecond).String()
	}
	if r.returned {
		detail += " returned"
	}
	return detail
}
