package controller

import (
	"cmp"
	"slices"
	"time"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// rolloutDivisor limits the engines of a model that reload at a time: the
// model's engines divided by rolloutDivisor, but at least one.
const rolloutDivisor = 10

// plannedChange is a change of an endpoint's assignment that the plan asks for.
type plannedChange struct {
	endpoint *endpoint
	want     wire.Assignment
	purpose  purpose
	rank     int // order among changes of the same purpose; lowest first
}

// place compares the plan with the present assignments and orders the most
// urgent changes, at most LoadSlots loads at a time.
func (m *Core) place(now time.Duration) {
	engines := m.engines(now)
	current := make(map[string]int)
	for _, e := range engines {
		current[e.model()]++
	}
	targets := m.computeTargets(len(engines), current)
	changes := m.fillTargets(now, targets, engines)
	if !m.fillInProgress(now, changes) {
		changes = append(changes, m.rollouts(targets, engines)...)
	}
	m.issueOrders(now, changes)
}

// engines returns the engines of the failure domain that count as capacity,
// sorted by name.
func (m *Core) engines(now time.Duration) []*endpoint {
	var engines []*endpoint
	m.endpoints.Each(func(_ wire.EndpointID, e *endpoint) bool {
		if m.isPlaceable(e) && now-e.lastHealthy < m.cfg.DisconnectGrace {
			engines = append(engines, e)
		}
		return true
	})
	slices.SortFunc(engines, func(a, b *endpoint) int { return cmp.Compare(a.view.Endpoint, b.view.Endpoint) })
	return engines
}

// fillTargets finds engines for the models that are below their targets: first
// those that serve no declared model, then those that other models have beyond
// their targets.
func (m *Core) fillTargets(now time.Duration, targets []target, engines []*endpoint) []plannedChange {
	byModel := make(map[string][]*endpoint)
	for _, e := range engines {
		byModel[e.model()] = append(byModel[e.model()], e)
	}
	spare := byModel[""]
	declared := make(map[string]bool, len(targets))
	for i := range targets {
		declared[targets[i].model.Name] = true
	}
	for _, e := range engines {
		if name := e.model(); name != "" && !declared[name] {
			spare = append(spare, e)
		}
	}
	slices.SortStableFunc(spare, func(a, b *endpoint) int {
		return compareBool(m.readyForOrder(now, b), m.readyForOrder(now, a))
	})
	unused := len(spare)
	for i := range targets {
		spare = append(spare, surplus(&targets[i], byModel[targets[i].model.Name])...)
	}
	return m.assignSpares(targets, byModel, spare, unused)
}

// surplus returns the engines that a model has beyond its target, least useful
// first.
func surplus(t *target, engines []*endpoint) []*endpoint {
	extra := len(engines) - t.engines
	if extra <= 0 {
		return nil
	}
	want := assignmentOf(&t.model)
	ranked := slices.Clone(engines)
	slices.SortStableFunc(ranked, func(a, b *endpoint) int {
		return cmp.Compare(usefulness(a, want), usefulness(b, want))
	})
	return ranked[:extra]
}

func usefulness(e *endpoint, want wire.Assignment) int {
	switch {
	case !e.view.Connected || e.view.Failing:
		return 0
	case e.loading():
		return 1
	case !sameAssignment(e.view.Have, want):
		return 2
	}
	return 3
}

// assignSpares assigns spare engines to the models below their targets, most
// underserved first. The first elements of spare, unused in number, serve no
// declared model.
func (m *Core) assignSpares(targets []target, byModel map[string][]*endpoint, spare []*endpoint, unused int) []plannedChange {
	counts := make(map[string]int, len(targets))
	for i := range targets {
		name := targets[i].model.Name
		counts[name] = min(len(byModel[name]), targets[i].engines)
	}
	var changes []plannedChange
	for n, e := range spare {
		t := m.mostUnderserved(targets, counts)
		if t == nil {
			break
		}
		why := purposeMove
		if n < unused || counts[t.model.Name] < t.model.MinReplicasPerFailureDomain {
			why = purposeFill
		}
		counts[t.model.Name]++
		changes = append(changes, plannedChange{endpoint: e, want: assignmentOf(&t.model), purpose: why, rank: len(changes)})
	}
	return changes
}

// mostUnderserved returns the first target in the order of compareNeed that has
// fewer engines than planned, or nil.
func (m *Core) mostUnderserved(targets []target, counts map[string]int) *target {
	var best *target
	for i := range targets {
		t := &targets[i]
		if counts[t.model.Name] >= t.engines {
			continue
		}
		if best == nil || m.compareNeed(&t.model, &best.model, counts) < 0 {
			best = t
		}
	}
	return best
}

// readyForOrder reports whether the endpoint can take an order and has none
// pending.
func (m *Core) readyForOrder(now time.Duration, e *endpoint) bool {
	return m.canTakeOrder(now, e) && e.pendingOrder == nil
}

// fillInProgress reports whether a model is being filled or can be. Rollouts
// wait meanwhile, so that they take no load slot from models that lack engines.
func (m *Core) fillInProgress(now time.Duration, changes []plannedChange) bool {
	for _, c := range changes {
		if c.purpose == purposeFill && m.readyForOrder(now, c.endpoint) {
			return true
		}
	}
	filling := false
	m.endpoints.Each(func(_ wire.EndpointID, e *endpoint) bool {
		filling = e.pendingOrder != nil && e.pendingOrder.purpose == purposeFill
		return !filling
	})
	return filling
}

// rollouts returns the changes that reload engines now: for each model as many
// as rolloutDivisor and mayReload allow.
func (m *Core) rollouts(targets []target, engines []*endpoint) []plannedChange {
	serving := m.serving()
	var changes []plannedChange
	for i := range targets {
		t := &targets[i]
		want := assignmentOf(&t.model)
		reloading, total := 0, 0
		var old []*endpoint
		for _, e := range engines {
			if e.model() != t.model.Name {
				continue
			}
			total++
			switch {
			case e.loading():
				reloading++
			case !sameAssignment(e.view.Have, want):
				old = append(old, e)
			}
		}
		free := max(total/rolloutDivisor, 1) - reloading
		for _, e := range old {
			if free <= 0 || !m.mayReload(t, serving[t.model.Name], e, want) {
				break
			}
			free--
			serving[t.model.Name]--
			changes = append(changes, plannedChange{endpoint: e, want: want, purpose: purposeRollout, rank: len(changes)})
		}
	}
	return changes
}

// mayReload reports whether an engine may stop serving a model to reload it. If
// the failure domain has no engine to spare but several that serve, fewer than
// the minimum serve meanwhile. If only one serves, other domains must serve the
// model, and the domains reload in the order of their names.
func (m *Core) mayReload(t *target, serving int, e *endpoint, want wire.Assignment) bool {
	if !e.serves() || serving > t.model.MinReplicasPerFailureDomain {
		return true
	}
	if t.engines > t.model.MinReplicasPerFailureDomain {
		return false // an additional engine will serve it soon
	}
	if serving > 1 {
		return true
	}
	return m.servedInOtherDomains(want) && m.isRolloutTurn(want)
}

func (m *Core) servedInOtherDomains(want wire.Assignment) bool {
	return m.anyInOtherDomains(func(e *endpoint) bool { return e.serves() && e.view.Have.Model == want.Model })
}

// isRolloutTurn reports whether every engine of the model that this entry sees
// in failure domains with lower names has reloaded.
func (m *Core) isRolloutTurn(want wire.Assignment) bool {
	return !m.anyInOtherDomains(func(e *endpoint) bool {
		return e.view.FailureDomain < m.cfg.FailureDomain && e.view.Have.Model == want.Model &&
			!sameAssignment(e.view.Have, want)
	})
}

func (m *Core) anyInOtherDomains(match func(*endpoint) bool) bool {
	found := false
	m.endpoints.Each(func(_ wire.EndpointID, e *endpoint) bool {
		found = e.view.FailureDomain != m.cfg.FailureDomain && match(e)
		return !found
	})
	return found
}

// issueOrders issues the orders that fit: fills first, then moves and rollouts,
// which wait while a fill waits for a load slot.
func (m *Core) issueOrders(now time.Duration, changes []plannedChange) {
	slices.SortStableFunc(changes, func(a, b plannedChange) int {
		if a.purpose != b.purpose {
			return cmp.Compare(a.purpose, b.purpose)
		}
		return cmp.Compare(a.rank, b.rank)
	})
	loads := m.loads()
	moves := m.countMoves()
	for _, c := range changes {
		if loads >= m.cfg.LoadSlots {
			return
		}
		if !m.readyForOrder(now, c.endpoint) {
			continue
		}
		if c.purpose == purposeMove {
			if moves >= maxMoves {
				continue
			}
			moves++
		}
		if !m.issueOrder(now, c.endpoint, c.want, c.purpose) {
			return
		}
		loads++
	}
}

// maxMoves bounds the engines that are being moved between models at a time.
const maxMoves = 1

func (m *Core) countMoves() int {
	moves := 0
	m.endpoints.Each(func(_ wire.EndpointID, e *endpoint) bool {
		if e.pendingOrder != nil && e.pendingOrder.purpose == purposeMove {
			moves++
		}
		return true
	})
	return moves
}
