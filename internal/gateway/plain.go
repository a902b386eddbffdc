package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// plainQueueAllowance is the number of requests beyond its slots that an endpoint of a
// plain service is given, since the endpoint queues a few itself.
const plainQueueAllowance = 2

// placePlain selects the endpoint of a plain service with the fewest requests in flight,
// with a preference for the gateway's own failure domain. The request's ID breaks ties,
// so that gateways don't all select the same endpoint. With force it also selects
// endpoints without a free place.
func (c *Core) placePlain(s *service, r *request, force bool) (placement, bool) {
	list := c.usable(s, r)
	for rank := rankRecheck; rank <= rankLimited; rank++ {
		if p, ok := c.placePlainAt(list, r, rank, false); ok {
			return p, true
		}
	}
	if force {
		return c.placePlainAt(list, r, rankUnlimited, true)
	}
	return placement{}, false
}

// placePlainAt selects the endpoint with the fewest requests in flight among those of a rank.
func (c *Core) placePlainAt(list []*endpoint, r *request, rank limitRank, force bool) (placement, bool) {
	if len(list) == 0 {
		return placement{}, false
	}
	offset := int(xxhash.Sum64String(r.in.RequestID) % uint64(len(list)))
	var best *endpoint
	bestScore := 0.0
	for i := range list {
		e := list[(i+offset)%len(list)]
		if c.limitRank(e) != rank {
			continue
		}
		inFlight := max(len(e.workItems), c.reportedInFlight(e))
		if slots := e.registration.Slots; !force && slots > 0 && inFlight >= slots+plainQueueAllowance {
			continue
		}
		score := float64(inFlight+1) * e.observedPace
		if e.registration.FailureDomain != c.cfg.FailureDomain {
			score += 0.5 // prefers the own failure domain at equal load
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

// maxLoadAge is how long an endpoint's report of its load is used. Requests of a plain
// service take some 15 ms.
const maxLoadAge = 30 * time.Millisecond

// reportedInFlight returns the number of requests in the endpoint's latest load report,
// or 0 if that is older than maxLoadAge.
func (c *Core) reportedInFlight(e *endpoint) int {
	if e.loadAt == 0 || c.now-e.loadAt > maxLoadAge {
		return 0
	}
	return e.load.Running + e.load.Waiting
}
