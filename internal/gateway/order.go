package gateway

import (
	"cmp"
	"time"
)

const (
	// priorityStep is how much earlier than one of the next lower rank a request
	// is taken to be due: a third of the shortest usual objective. A rank is a head
	// start and not an absolute order, so that no rank starves another.
	priorityStep = 100 * time.Millisecond
	// maxUnpenalizedWaiting is how many requests of one client account wait at a gateway and
	// service before its further ones come later in the order, each by fairStep:
	// about the time in which the fleet reads a short prompt at full load.
	maxUnpenalizedWaiting = 4
	backlogPenaltyStep    = 10 * time.Millisecond
	// maxBacklogPenalty bounds what an account's backlog costs its newest request.
	maxBacklogPenalty = 2 * time.Second
)

// The order of requests that wait: those that can still be in time come before
// those that are late, and then the soonest due. It answers two loads. Accounts
// and routes have ranks, which count as time. And an account that sends far more
// than its share at once fills the queue; each further request of it then comes
// later, as if they had been sent one after the other, so that the requests of
// other accounts don't wait behind all of them.

// orderPenalty returns by how much r comes later in the order of s than by its
// objective alone.
func (s *service) orderPenalty(r *request) time.Duration {
	accountWaiting := 0
	for _, other := range s.waiting {
		if other.phase == phaseWaiting && other.in.Account == r.in.Account {
			accountWaiting++
		}
	}
	behind := time.Duration(max(accountWaiting-maxUnpenalizedWaiting, 0)) * backlogPenaltyStep
	return time.Duration(r.in.Priority)*priorityStep + min(behind, maxBacklogPenalty)
}

// byUrgency orders requests that wait.
func (c *Core) byUrgency(a, b *request) int {
	if la, lb := c.late(a), c.late(b); la != lb {
		return bit(la) - bit(lb)
	}
	return cmp.Compare(a.due()+a.orderPenalty, b.due()+b.orderPenalty)
}

// due is when the first event, or the answer, is expected by the caller.
func (r *request) due() time.Duration { return r.arrived + r.in.Route.Objective }

func (c *Core) late(r *request) bool { return c.now > r.due() }
