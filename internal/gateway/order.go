package gateway

import (
	"cmp"
	"time"

	"trefoilpath.org/trefoilpath/internal/admission"
	"trefoilpath.org/trefoilpath/internal/enginecost"
	"trefoilpath.org/trefoilpath/internal/route"
)

// updateDemand sets what r's place in the order depends on, as it begins to wait.
func (c *Core) updateDemand(s *service, r *request) {
	accountWaiting := 0
	for _, other := range s.waiting {
		if other.phase == phaseWaiting && !other.held && other.in.Account == r.in.Account {
			accountWaiting++
		}
	}
	r.demand = admission.Demand{
		Objective: r.in.Route.Objective, Due: r.due(), GiveUp: r.givesUp(s.engine()), Assured: admission.Assured(uint64(r.in.ID)),
		Penalty: admission.Penalty(r.in.Priority, accountWaiting) - r.waitedBefore,
	}
	if r.attempts == 0 && !r.returned {
		r.demand.Return = r.in.Deadline - maxRetryAfter - r.in.Route.Objective
	}
	r.verdict = admission.Verdict{Begins: admission.Unknown}
	if engine := s.engine(); engine != nil {
		parts := 1
		if r.divisible {
			parts = s.maxParts()
		}
		setWork(&r.demand, engine, r.in.PromptTokens, parts)
	}
}

// setWork sets the work that a prompt needs at engines, of which so many may share it.
func setWork(d *admission.Demand, engine *enginecost.Params, prompt int64, parts int) {
	d.Work = engine.PrefillTime(prompt)
	d.Fastest = d.Work/time.Duration(parts) + 2*transitTime
}

// maxParts returns the number of engines that may share a prompt.
func (s *service) maxParts() int { return min(len(s.endpoints), 1+s.engine().MaxHelpers) }

// byUrgency compares waiting requests, the most urgent first.
func (c *Core) byUrgency(a, b *request) int {
	return cmp.Compare(c.demandKey(&a.demand), c.demandKey(&b.demand))
}

// demandKey returns a demand's place in the order.
func (c *Core) demandKey(d *admission.Demand) time.Duration {
	if c.without(mechanismOrder) {
		return d.Due - d.Objective
	}
	return d.Key(c.now)
}

// due returns when the first event, or the answer, misses the route's objective.
func (r *request) due() time.Duration { return r.arrived + r.in.Route.Objective }

// late reports whether r has missed its objective.
func (c *Core) late(r *request) bool { return c.now > r.due() }

// callerPatience returns how long the caller of a stream waits for its next event, also for
// the first, before it abandons the stream.
func callerPatience(r *route.Route) time.Duration {
	return max(2*time.Second, 4*r.Objective, 8*r.GapObjective)
}

// givesUp returns the latest first event, or answer, that still serves r's caller. The caller
// of a stream waits for a time for the first event, and the output takes its time until the
// deadline. A stream that was dispatched before may go on unless its caller leaves.
func (r *request) givesUp(engine *enginecost.Params) time.Duration {
	if r.in.Route.Kind != route.KindStream || r.attempts > 0 {
		return r.in.Deadline
	}
	complete := r.in.Deadline
	if engine != nil {
		passes := float64(r.in.MaxOutputTokens) / float64(max(engine.StepsPerPass, 1))
		complete -= time.Duration(passes * float64(engine.DecodePassTime(1, r.in.PromptTokens/int64(1+engine.MaxHelpers))))
	}
	return min(complete, r.arrived+callerPatience(r.in.Route))
}

// placedBefore returns the time until which r may wait to be placed: later, its caller would
// have given up before its first event, or its answer, comes.
func (r *request) placedBefore() time.Duration {
	needs := max(minAttemptTime, r.demand.Fastest)
	if r.in.Route.Kind != route.KindStream {
		needs = max(needs, r.in.Route.Objective)
	}
	return r.demand.GiveUp - needs
}
