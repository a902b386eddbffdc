package gateway

import (
	"cmp"
	"net/netip"
	"time"

	"trefoilpath.org/trefoilpath/internal/admission"
	"trefoilpath.org/trefoilpath/internal/route"
)

const (
	// announceDelay is how long a long prompt is held so that the other gateways learn of
	// it: one message between failure domains, with some processor time. In larger cells it
	// grows by announceDelayPerPeer, up to maxAnnounceDelay: a small VM may have a message
	// of each peer to handle first.
	announceDelay        = 4 * time.Millisecond
	announceDelayPerPeer = 400 * time.Microsecond
	maxAnnounceDelay     = 20 * time.Millisecond
	// planPeerIntervals is the number of full message intervals of silence after which the
	// waiting requests of another gateway are left out of the plan.
	planPeerIntervals = 1.6
)

// orderKey is the position of a long prompt in the order that all gateways share.
type orderKey struct {
	at      time.Duration // see admission.Demand.Key
	gateway netip.AddrPort
	request uint64 // request ID
}

func (a orderKey) compare(b orderKey) int {
	return cmp.Or(cmp.Compare(a.at, b.at), a.gateway.Compare(b.gateway), cmp.Compare(a.request, b.request))
}

// waitingRow returns what other gateways need to give r its place in the shared order.
func (c *Core) waitingRow(r *request) WaitingRow {
	return WaitingRow{
		Request: uint64(r.in.ID), Service: c.service(r.in.Service).nameHash,
		DueUS: (r.demand.Due - c.now).Microseconds(), OrderPenaltyMS: r.demand.Penalty.Milliseconds(),
		LeftMS: max((r.demand.GiveUp - c.now).Milliseconds(), 1), Assured: r.demand.Assured, ObjectiveMS: r.demand.Objective.Milliseconds(),
		Prompt: r.in.PromptTokens, Output: r.in.MaxOutputTokens, Regions: r.regions,
	}
}

// demand returns the demand that w describes, without its work. An earlier build tells neither
// patience nor objective; the time until the prompt is due stands for the objective then.
func (w *WaitingRow) demand(now time.Duration) admission.Demand {
	d := admission.Demand{
		Due: now + time.Duration(w.DueUS)*time.Microsecond, GiveUp: now + milliseconds(w.LeftMS),
		Penalty: milliseconds(w.OrderPenaltyMS), Assured: w.Assured, Objective: milliseconds(w.ObjectiveMS),
	}
	if w.LeftMS == 0 {
		d.Objective = max(d.Due-now, 0)
		d.GiveUp = now + callerPatience(&route.Route{Objective: d.Objective})
	}
	return d
}

// announce sends the other gateways a message that r waits, and holds r meanwhile.
func (c *Core) announce(r *request) {
	if c.Gateways() == 1 {
		return
	}
	if !c.without(mechanismHold) {
		r.holdUntil = c.now + min(announceDelay+announceDelayPerPeer*time.Duration(c.cellPeers()), maxAnnounceDelay)
	}
	c.outbox.batchDue = true
	c.outbox.waiting = append(c.outbox.waiting, r)
	c.timers.Set(timerKey{kind: timerPlace}, r.holdUntil)
}
