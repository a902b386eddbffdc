package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// plainQueueAllowance is how many requests beyond its slots an endpoint of a plain
// service is given; it queues a few itself.
const plainQueueAllowance = 2

// placePlain returns the endpoint of a plain service with the fewest requests
// in flight, first in the gateway's own failure domain. Ties are broken by the
// request's ID, so that gateways don't pick the same endpoint in step.
func (c *Core) placePlain(s *service, r *request, force bool) (placement, bool) {
	list := c.usable(s, r)
	if len(list) == 0 {
		return placement{}, false
	}
	offset := int(xxhash.Sum64String(r.in.RequestID) % uint64(len(list)))
	var best *endpoint
	bestScore := 0.0
	for i := range list {
		e := list[(i+offset)%len(list)]
		inFlight := max(len(e.workItems), c.reportedInFlight(e))
		if slots := e.registration.Slots; !force && slots > 0 && inFlight >= slots+plainQueueAllowance {
			continue
		}
		score := float64(inFlight+1) * e.observedPace
		if e.registration.FailureDomain != c.cfg.FailureDomain {
			score += 0.5
		}
		if best == nil || score < bestScore {
			best, bestScore = e, score
		}
	}
	if best == nil {
		return placement{}, false
	}
	return placement{endpoints: []*endpoint{best}}, true
}

// maxLoadAge is how long an endpoint's word on its load is used. Requests of a
// plain service take some 15 ms.
const maxLoadAge = 30 * time.Millisecond

// reportedInFlight returns the requests that the endpoint said it has, if it said so
// just now.
func (c *Core) reportedInFlight(e *endpoint) int {
	if e.loadAt == 0 || c.now-e.loadAt > maxLoadAge {
		return 0
	}
	return e.load.Running + e.load.Waiting
}
