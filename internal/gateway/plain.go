package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// plainQueue is how many requests beyond its slots an endpoint of a plain
// service is given; it queues a few itself.
const plainQueue = 2

// placePlain returns the endpoint of a plain service with the fewest requests
// in flight, first in the gateway's own failure domain. Ties are broken by the
// request's ID, so that gateways don't pick the same endpoint in step.
func (c *Core) placePlain(s *service, r *request, force bool) (placement, bool) {
	list := c.usable(s, r)
	if len(list) == 0 {
		return placement{}, false
	}
	turn := int(xxhash.Sum64String(r.in.RequestID) % uint64(len(list)))
	var best *endpoint
	bestScore := 0.0
	for i := range list {
		e := list[(i+turn)%len(list)]
		inFlight := max(len(e.works), c.reported(e))
		if slots := e.reg.Slots; !force && slots > 0 && inFlight >= slots+plainQueue {
			continue
		}
		score := float64(inFlight+1) * e.slow
		if e.reg.FailureDomain != c.cfg.FailureDomain {
			score += 0.5
		}
		if best == nil || score < bestScore {
			best, bestScore = e, score
		}
	}
	if best == nil {
		return placement{}, false
	}
	return placement{at: []*endpoint{best}}, true
}

// loadAge is how long an endpoint's word on its load is used. Requests of a
// plain service take some 15 ms.
const loadAge = 30 * time.Millisecond

// reported returns the requests that the endpoint said it has, if it said so
// just now.
func (c *Core) reported(e *endpoint) int {
	if e.loadAt == 0 || c.now-e.loadAt > loadAge {
		return 0
	}
	return e.load.Running + e.load.Waiting
}
