package controller

import (
	"slices"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// stickiness is the advantage that a model has for the engines that it already
// runs on, so that small changes of demand move nothing.
const stickiness = 1.3

// idleDemandShare is the part of the mean demand that a model without any counts
// with when the engines beyond the minimums are shared out.
const idleDemandShare = 0.1

// target is how many engines of the failure domain a model should have.
type target struct {
	model   declaration.Model
	engines int
	cap     int
}

// targets shares out the engines: the minimum of each model first, the rest by
// weight and demand. A model in rollout gets one more than its minimum if there
// is room, so that an engine can reload while the minimum serves.
func (m *Core) targets(engines int, current map[string]int) []target {
	targets := make([]target, 0, len(m.models()))
	for _, model := range m.models() {
		targets = append(targets, target{model: model, cap: m.capOf(model, engines)})
	}
	left := m.giveMinimums(targets, engines)
	left = m.giveSurge(targets, left)
	m.giveRest(targets, left, current)
	return targets
}

// capOf returns the most engines that a model may have in this failure domain.
func (m *Core) capOf(model declaration.Model, engines int) int {
	if model.MaxReplicas <= 0 {
		return engines
	}
	domains, before := max(len(m.cfg.Domains), 1), 0
	for _, d := range m.cfg.Domains {
		if d < m.cfg.FailureDomain {
			before++
		}
	}
	part := model.MaxReplicas / domains
	if before < model.MaxReplicas%domains {
		part++
	}
	return max(part, model.MinReplicas)
}

// giveMinimums gives one engine at a time to the model that needs it most.
func (m *Core) giveMinimums(targets []target, left int) int {
	counts := make(map[string]int, len(targets))
	for left > 0 {
		neediest := -1
		for i := range targets {
			t := &targets[i]
			if t.engines >= min(t.model.MinReplicas, t.cap) {
				continue
			}
			if neediest < 0 || m.compareNeed(&t.model, &targets[neediest].model, counts) < 0 {
				neediest = i
			}
		}
		if neediest < 0 {
			break
		}
		targets[neediest].engines++
		counts[targets[neediest].model.Name]++
		left--
	}
	return left
}

func (m *Core) giveSurge(targets []target, left int) int {
	for i := range targets {
		t := &targets[i]
		if left > 0 && t.engines > 0 && t.engines <= t.model.MinReplicas && m.inRollout(&t.model) {
			t.engines++
			left--
		}
	}
	return left
}

// giveRest apportions by highest averages of weight and demand.
func (m *Core) giveRest(targets []target, left int, current map[string]int) {
	scores := m.scores(targets)
	for ; left > 0; left-- {
		best, bestAverage := -1, 0.0
		for i := range targets {
			t := &targets[i]
			if t.engines >= t.cap {
				continue
			}
			average := scores[i] / float64(t.engines+1)
			if current[t.model.Name] > t.engines {
				average *= stickiness
			}
			if best < 0 || average > bestAverage {
				best, bestAverage = i, average
			}
		}
		if best < 0 {
			return
		}
		targets[best].engines++
	}
}

func (m *Core) scores(targets []target) []float64 {
	total := 0.0
	for i := range targets {
		total += m.demandOf(targets[i].model.Name)
	}
	idle := 1.0
	if total > 0 {
		idle = idleDemandShare * total / float64(len(targets))
	}
	scores := make([]float64, len(targets))
	for i := range targets {
		weight := targets[i].model.Weight
		if weight <= 0 {
			weight = 1
		}
		scores[i] = weight * (m.demandOf(targets[i].model.Name) + idle)
	}
	return scores
}

// inRollout reports whether an engine of the failure domain runs the model in
// another version, or with other adapters, than declared.
func (m *Core) inRollout(model *declaration.Model) bool {
	want := assignmentOf(model)
	found := false
	m.endpoints.Each(func(_ wire.EndpointID, e *endpoint) bool {
		found = m.own(e) && e.view.Have.Model == model.Name && !sameAssignment(e.view.Have, want)
		return !found
	})
	return found
}

func assignmentOf(model *declaration.Model) wire.Assignment {
	return wire.Assignment{
		Model:    model.Name,
		Version:  model.Version,
		Adapters: slices.Clone(model.Adapters),
		Role:     wire.RoleServe,
	}
}

// model returns the model that the endpoint runs or is loading, as far as known.
func (e *endpoint) model() string {
	if e.pending != nil {
		return e.pending.want.Model
	}
	return e.view.Have.Model
}
