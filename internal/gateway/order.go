package gateway

import (
	"cmp"
	"time"
)

const (
	// priorityStep is how much later a request counts as due for each step of lower
	// priority: a third of the shortest usual objective. Priority is a head start and
	// not an absolute order, so that no priority starves another.
	priorityStep = 100 * time.Millisecond
	// maxUnpenalizedWaiting is the number of requests of one client account that may wait
	// for a service at a gateway without a penalty. Each further request is ordered later
	// by backlogPenaltyStep: about the time in which the fleet prefills a short prompt
	// at full load. Requests without an account count as those of one account.
	maxUnpenalizedWaiting = 4
	backlogPenaltyStep    = 10 * time.Millisecond
	// maxBacklogPenalty bounds the penalty that an account's backlog adds to a request.
	maxBacklogPenalty = 2 * time.Second
)

// Waiting requests are ordered by whether they can still meet their objective, then
// by due time plus a penalty. The penalty has two parts. Priorities of accounts and
// routes count as time. And an account that sends far more than its share at once
// fills the queue; each of its further requests is ordered later, as if they had been
// sent one after the other, so that requests of other accounts don't wait behind them.

// orderPenalty returns the time by which r is ordered after its due time.
func (s *service) orderPenalty(r *request) time.Duration {
	accountWaiting := 0
	for _, other := range s.waiting {
		if other.phase == phaseWaiting && !other.held && other.in.Account == r.in.Account {
			accountWaiting++
		}
	}
	behind := time.Duration(max(accountWaiting-maxUnpenalizedWaiting, 0)) * backlogPenaltyStep
	return time.Duration(r.in.Priority)*priorityStep + min(behind, maxBacklogPenalty)
}

// byUrgency compares waiting requests, the most urgent first.
func (c *Core) byUrgency(a, b *request) int {
	if la, lb := c.late(a), c.late(b); la != lb {
		return bit(la) - bit(lb)
	}
	return cmp.Compare(a.due()+a.orderPenalty, b.due()+b.orderPenalty)
}

// due returns when the first event, or the answer, misses the route's objective.
func (r *request) due() time.Duration { return r.arrived + r.in.Route.Objective }

// late reports whether r has missed its objective.
func (c *Core) late(r *request) bool { return c.now > r.due() }
