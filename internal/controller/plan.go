package controller

import (
	"slices"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// retentionFactor multiplies a model's score for engines that it already runs
// on, so that small changes of demand move no engine.
const retentionFactor = 1.3

// idleDemandShare is the fraction of the mean demand that is added to the demand
// of each model when the engines beyond the minimums are divided. A model without
// demand can thus get engines.
const idleDemandShare = 0.1

// target is the number of engines of the failure domain that a model should
// have.
type target struct {
	model   declaration.Model
	engines int
	limit   int // most engines that the model may have
}

// computeTargets divides the engines among the models: the minimum of each
// model first, the rest by weight and demand. A model in rollout gets one more
// than its minimum if an engine is left, so that an engine can reload while the
// minimum serves.
func (m *Core) computeTargets(engines int, current map[string]int) []target {
	targets := make([]target, 0, len(m.models()))
	for _, model := range m.models() {
		targets = append(targets, target{model: model, limit: m.maxEngines(model, engines)})
	}
	left := m.assignMinimums(targets, engines)
	left = m.assignSurge(targets, left)
	m.assignRest(targets, left, current)
	return targets
}

// maxEngines returns the most engines that a model may have in this failure
// domain.
func (m *Core) maxEngines(model declaration.Model, engines int) int {
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
	return max(part, model.MinReplicasPerFailureDomain)
}

// assignMinimums assigns one engine at a time to the most underserved model that is
// below its minimum, and returns how many engines are left.
func (m *Core) assignMinimums(targets []target, left int) int {
	counts := make(map[string]int, len(targets))
	for left > 0 {
		next := -1
		for i := range targets {
			t := &targets[i]
			if t.engines >= min(t.model.MinReplicasPerFailureDomain, t.limit) {
				continue
			}
			if next < 0 || m.compareNeed(&t.model, &targets[next].model, counts) < 0 {
				next = i
			}
		}
		if next < 0 {
			break
		}
		targets[next].engines++
		counts[targets[next].model.Name]++
		left--
	}
	return left
}

func (m *Core) assignSurge(targets []target, left int) int {
	for i := range targets {
		t := &targets[i]
		if left > 0 && t.engines > 0 && t.engines <= t.model.MinReplicasPerFailureDomain && m.inRollout(&t.model) {
			t.engines++
			left--
		}
	}
	return left
}

// assignRest divides the remaining engines by highest averages of weight times
// demand.
func (m *Core) assignRest(targets []target, left int, current map[string]int) {
	scores := m.scores(targets)
	for ; left > 0; left-- {
		best, bestAverage := -1, 0.0
		for i := range targets {
			t := &targets[i]
			if t.engines >= t.limit {
				continue
			}
			average := scores[i] / float64(t.engines+1)
			if current[t.model.Name] > t.engines {
				average *= retentionFactor
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
	idle := 1.0 // without any demand, the weights alone decide
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
		found = m.isPlaceable(e) && e.view.Have.Model == model.Name && !sameAssignment(e.view.Have, want)
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
	if e.pendingOrder != nil {
		return e.pendingOrder.want.Model
	}
	return e.view.Have.Model
}
