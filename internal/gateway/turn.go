package gateway

import (
	"cmp"
	"net/netip"
	"time"
)

const (
	// announceDelay is how long a long prompt waits until the other gateways have
	// heard of it: one message between failure domains, with some processor time.
	announceDelay = 4 * time.Millisecond
	// planPeerTimeout is how long a gateway may be silent before its waiting requests
	// are left out of the plan.
	planPeerTimeout = 400 * time.Millisecond
)

// orderKey orders the long prompts that wait at all gateways.
type orderKey struct {
	late    bool
	due     time.Duration // as the order takes it, with the handicap
	gateway netip.AddrPort
	request uint64
}

func (a orderKey) compare(b orderKey) int {
	return cmp.Or(
		cmp.Compare(bit(a.late), bit(b.late)), cmp.Compare(a.due, b.due),
		a.gateway.Compare(b.gateway), cmp.Compare(a.request, b.request),
	)
}

func (c *Core) orderKey(r *request) orderKey {
	return orderKey{late: c.late(r), due: r.due() + r.orderPenalty, gateway: c.cfg.Addr, request: uint64(r.in.ID)}
}

// announce tells the other gateways that r waits.
func (c *Core) announce(r *request) {
	if c.Gateways() == 1 {
		return
	}
	r.holdUntil = c.now + announceDelay
	c.outbox.batchDue = true
	c.outbox.waiting = append(c.outbox.waiting, r)
	c.timers.Set(timerKey{kind: timerPlace}, r.holdUntil)
}
