package gateway

import (
	"cmp"
	"net/netip"
	"time"
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
	late    bool
	due     time.Duration // with penalties
	gateway netip.AddrPort
	request uint64 // request ID
}

func (a orderKey) compare(b orderKey) int {
	return cmp.Or(
		cmp.Compare(bit(a.late), bit(b.late)), cmp.Compare(a.due, b.due),
		a.gateway.Compare(b.gateway), cmp.Compare(a.request, b.request),
	)
}

// orderKey returns r's position before job sets late and adds the penalty for the size.
func (c *Core) orderKey(r *request) orderKey {
	return orderKey{late: c.late(r), due: r.due() + r.orderPenalty, gateway: c.cfg.Addr, request: uint64(r.in.ID)}
}

// announce sends the other gateways a message that r waits, and holds r meanwhile.
func (c *Core) announce(r *request) {
	if c.Gateways() == 1 {
		return
	}
	r.holdUntil = c.now + min(announceDelay+announceDelayPerPeer*time.Duration(c.cellPeers()), maxAnnounceDelay)
	c.outbox.batchDue = true
	c.outbox.waiting = append(c.outbox.waiting, r)
	c.timers.Set(timerKey{kind: timerPlace}, r.holdUntil)
}
