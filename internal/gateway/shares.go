package gateway

import (
	"slices"
	"time"

	"trefoilpath.org/trefoilpath/internal/endpointlimit"
)

const (
	// sharesInterval is how often a gateway determines its shares of an endpoint.
	sharesInterval = 250 * time.Millisecond
	// minSharesAge is the time since its start from which on a gateway has shares: by then it knows
	// the other gateways.
	minSharesAge = 2 * time.Second
)

// A few requests to a cold endpoint need no permit of the keeper: they are divided into shares, each
// for one request in any ShareInterval, of the gateways that come first by rendezvous hashing. So
// cold endpoints are used while others have room, at no message. If all endpoints of a service are
// limited there are no shares, since these know no order of urgency. Gateways that have fallen silent
// keep their shares as long as they are known, so that those of a partition's other side are not
// given out twice.

// shares are this gateway's shares of one endpoint.
type shares struct {
	count        int
	determinedAt time.Duration // 0: never
	used         []time.Duration
}

// sharesLeft returns how many of its shares of e this gateway may use now.
func (c *Core) sharesLeft(e *endpoint) int {
	l := e.announced.permits
	if l.limit.Shares == 0 || c.now < minSharesAge {
		return 0
	}
	s := &l.shares
	if s.determinedAt == 0 || c.now >= s.determinedAt+sharesInterval {
		s.count, s.determinedAt = c.shareCount(e, l.limit.Shares), c.now
	}
	s.used = slices.DeleteFunc(s.used, func(at time.Duration) bool { return c.now >= at+endpointlimit.ShareInterval })
	return max(s.count-len(s.used), 0)
}

// shareCount returns this gateway's part of the shares of e: as many as each other one has, or one
// if it is among the first of more gateways than there are shares.
func (c *Core) shareCount(e *endpoint, total int) int {
	if _, all := c.limitedEndpoints(c.service(e.registration.Service)); all {
		return 0
	}
	life := rendezvousHash(e.idHash, uint64(e.registration.Born))
	own := rendezvousHash(c.addrHash, life)
	gateways, before := 1, 0
	for p := range c.peers.Values() {
		gateways++
		before += bit(rendezvousHash(p.addrHash, life) > own)
	}
	if gateways <= total {
		return total / gateways
	}
	return bit(before < total)
}
