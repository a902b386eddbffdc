package gateway

import (
	"cmp"
	"net/netip"
	"time"
)

const (
	// announceTime is how long a long prompt waits until the other gateways have
	// heard of it: one message between failure domains, with some processor time.
	announceTime = 4 * time.Millisecond
	// turnSilence is how long a gateway may be silent before its waiting requests
	// are left out of the plan.
	turnSilence = 400 * time.Millisecond
)

// rank orders the long prompts that wait at all gateways.
type rank struct {
	late    bool
	due     time.Duration // as the order takes it, with the handicap
	gateway netip.AddrPort
	request uint64
}

func (a rank) compare(b rank) int {
	return cmp.Or(
		cmp.Compare(bit(a.late), bit(b.late)), cmp.Compare(a.due, b.due),
		a.gateway.Compare(b.gateway), cmp.Compare(a.request, b.request),
	)
}

func (c *Core) rank(r *request) rank {
	return rank{late: c.late(r), due: r.due() + r.handicap, gateway: c.cfg.Addr, request: uint64(r.in.ID)}
}

// announce tells the other gateways that r waits.
func (c *Core) announce(r *request) {
	if c.Gateways() == 1 {
		return
	}
	r.holdUntil = c.now + announceTime
	c.share.due = true
	c.share.waiting = append(c.share.waiting, r)
	c.timers.Set(timerKey{kind: timerPlace}, r.holdUntil)
}
