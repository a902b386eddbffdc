package controller

import (
	"cmp"
	"slices"
	"time"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// waveShare is the part of a model's engines that reload in one wave: one in
// waveShare, but at least one.
const waveShare = 10

// wish is an assignment that the plan asks for.
type wish struct {
	endpoint *endpoint
	want     wire.Assignment
	purpose  purpose
	rank     int // of the model among the starved ones
}

// place compares the plan with what runs and orders the most urgent changes
// that fit the weight store's slots.
func (m *Core) place(now time.Duration) {
	engines := m.engines(now)
	current := make(map[string]int)
	for _, e := range engines {
		current[e.model()]++
	}
	targets := m.targets(len(engines), current)
	wishes := m.changes(now, targets, engines)
	if !m.filling(now, wishes) {
		wishes = append(wishes, m.rollouts(targets, engines)...)
	}
	m.giveWishes(now, wishes)
}

// engines returns the engines of the failure domain that count as capacity,
// sorted by name.
func (m *Core) engines(now time.Duration) []*endpoint {
	var engines []*endpoint
	m.endpoints.Each(func(_ wire.EndpointID, e *endpoint) bool {
		if m.own(e) && now-e.seen < m.cfg.Grace {
			engines = append(engines, e)
		}
		return true
	})
	slices.SortFunc(engines, func(a, b *endpoint) int { return cmp.Compare(a.view.Endpoint, b.view.Endpoint) })
	return engines
}

// changes finds engines for the models that are below their targets, among
// those without a use first and then among those that others can spare.
func (m *Core) changes(now time.Duration, targets []target, engines []*endpoint) []wish {
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
		return compareBool(m.ready(now, b), m.ready(now, a))
	})
	unused := len(spare)
	for i := range targets {
		spare = append(spare, surplus(&targets[i], byModel[targets[i].model.Name])...)
	}
	return m.match(targets, byModel, spare, unused)
}

// surplus returns the engines that a model has beyond its target, least useful first.
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

// match gives spare engines to the models below their targets, most starved
// first. The first unused ones serve no declared model.
func (m *Core) match(targets []target, byModel map[string][]*endpoint, spare []*endpoint, unused int) []wish {
	counts := make(map[string]int, len(targets))
	for i := range targets {
		name := targets[i].model.Name
		counts[name] = min(len(byModel[name]), targets[i].engines)
	}
	var wishes []wish
	for n, e := range spare {
		t := m.neediest(targets, counts)
		if t == nil {
			break
		}
		why := purposeMove
		if n < unused || counts[t.model.Name] < t.model.MinReplicas {
			why = purposeFill
		}
		counts[t.model.Name]++
		wishes = append(wishes, wish{endpoint: e, want: assignmentOf(&t.model), purpose: why, rank: len(wishes)})
	}
	return wishes
}

func (m *Core) neediest(targets []target, counts map[string]int) *target {
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

// ready reports whether the endpoint can take an order and has none.
func (m *Core) ready(now time.Duration, e *endpoint) bool {
	return m.mayOrder(now, e) && e.pending == nil
}

// filling reports whether an engine is being filled or can be. Reloads and moves
// wait meanwhile, so that they take no slot from models that lack engines.
func (m *Core) filling(now time.Duration, wishes []wish) bool {
	for _, w := range wishes {
		if w.purpose == purposeFill && m.ready(now, w.endpoint) {
			return true
		}
	}
	filling := false
	m.endpoints.Each(func(_ wire.EndpointID, e *endpoint) bool {
		filling = e.pending != nil && e.pending.purpose == purposeFill
		return !filling
	})
	return filling
}

// rollouts returns the engines that should reload their model now: a wave for
// each model, as long as its minimum keeps serving.
func (m *Core) rollouts(targets []target, engines []*endpoint) []wish {
	serving := m.serving()
	var wishes []wish
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
		room := max(total/waveShare, 1) - reloading
		for _, e := range old {
			if room <= 0 || !m.mayReload(t, serving[t.model.Name], e, want) {
				break
			}
			room--
			serving[t.model.Name]--
			wishes = append(wishes, wish{endpoint: e, want: want, purpose: purposeRollout, rank: len(wishes)})
		}
	}
	return wishes
}

// mayReload reports whether an engine may stop serving a model to reload it.
// Where the failure domain has no engine to spare, the other domains must serve
// the model, and the domains take turns by name.
func (m *Core) mayReload(t *target, serving int, e *endpoint, want wire.Assignment) bool {
	if !e.serves() || serving > t.model.MinReplicas {
		return true
	}
	if t.engines > t.model.MinReplicas {
		return false // another engine is about to serve it
	}
	if serving > 1 {
		return true
	}
	return m.servedElsewhere(want) && m.ourTurn(want)
}

func (m *Core) servedElsewhere(want wire.Assignment) bool {
	return m.anyElsewhere(func(e *endpoint) bool { return e.serves() && e.view.Have.Model == want.Model })
}

// ourTurn reports whether no failure domain with a lower name shows an engine
// that has yet to reload.
func (m *Core) ourTurn(want wire.Assignment) bool {
	return !m.anyElsewhere(func(e *endpoint) bool {
		return e.view.FailureDomain < m.cfg.FailureDomain && e.view.Have.Model == want.Model &&
			!sameAssignment(e.view.Have, want)
	})
}

func (m *Core) anyElsewhere(match func(*endpoint) bool) bool {
	found := false
	m.endpoints.Each(func(_ wire.EndpointID, e *endpoint) bool {
		found = e.view.FailureDomain != m.cfg.FailureDomain && match(e)
		return !found
	})
	return found
}

// giveWishes orders what fits: fills first, then moves and rollouts, which wait
// while a fill waits for a slot.
func (m *Core) giveWishes(now time.Duration, wishes []wish) {
	slices.SortStableFunc(wishes, func(a, b wish) int {
		if a.purpose != b.purpose {
			return cmp.Compare(a.purpose, b.purpose)
		}
		return cmp.Compare(a.rank, b.rank)
	})
	loads := m.loads()
	moves := m.countMoves()
	for _, w := range wishes {
		if loads >= m.cfg.LoadSlots {
			return
		}
		if !m.ready(now, w.endpoint) {
			continue
		}
		if w.purpose == purposeMove {
			if moves >= maxMoves {
				continue
			}
			moves++
		}
		if !m.give(now, w.endpoint, w.want, w.purpose) {
			return
		}
		loads++
	}
}

// maxMoves bounds the engines that change their model at a time.
const maxMoves = 1

func (m *Core) countMoves() int {
	moves := 0
	m.endpoints.Each(func(_ wire.EndpointID, e *endpoint) bool {
		if e.pending != nil && e.pending.purpose == purposeMove {
			moves++
		}
		return true
	})
	return moves
}
