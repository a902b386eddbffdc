package controller

import (
	"cmp"
	"math"
	"slices"
	"time"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// demandTimeConstant is the time constant of the exponential average of demand.
const demandTimeConstant = 30 * time.Second

// tokensPerWaiting is the demand, in tokens per second, that one waiting
// request adds.
const tokensPerWaiting = 500

// maxModelsByNeed bounds the number of models that ModelsByNeed returns.
const maxModelsByNeed = 8

// demand is the smoothed demand for one model.
type demand struct {
	tokensPerSecond float64
	updated         time.Duration
}

// SetDemand updates the demand averages. A model that is missing from demands
// has none.
func (m *Core) SetDemand(now time.Duration, demands []ModelDemand) {
	latest := make(map[string]float64, len(demands))
	for _, d := range demands {
		latest[d.Model] += d.TokensPerSecond + tokensPerWaiting*float64(d.WaitingRequests)
	}
	for _, model := range m.models() {
		d := m.demand[model.Name]
		if d == nil {
			d = &demand{tokensPerSecond: latest[model.Name], updated: now}
			m.demand[model.Name] = d
			continue
		}
		keep := math.Exp(-(now - d.updated).Seconds() / demandTimeConstant.Seconds())
		d.tokensPerSecond = keep*d.tokensPerSecond + (1-keep)*latest[model.Name]
		d.updated = now
	}
}

func (m *Core) models() []declaration.Model {
	if m.snapshot == nil {
		return nil
	}
	return m.snapshot.Models
}

func (m *Core) demandOf(model string) float64 {
	if d := m.demand[model]; d != nil {
		return d.tokensPerSecond
	}
	return 0
}

// ModelsByNeed returns the models that have the least capacity for their demand
// in this failure domain, most underserved first: those below their minimum (models with
// demand before others, then by the fraction of the minimum that serves), then by
// demand per engine. The result does not depend on the lease: an entry that does
// not hold it may call ModelsByNeed too.
func (m *Core) ModelsByNeed() []string {
	serving := m.serving()
	models := slices.Clone(m.models())
	slices.SortStableFunc(models, func(a, b declaration.Model) int {
		return m.compareNeed(&a, &b, serving)
	})
	names := make([]string, 0, min(len(models), maxModelsByNeed))
	for _, model := range models[:min(len(models), maxModelsByNeed)] {
		names = append(names, model.Name)
	}
	return names
}

// compareNeed orders models by need, greatest first, given the number of
// engines that each one has.
func (m *Core) compareNeed(a, b *declaration.Model, engines map[string]int) int {
	ratioA, ratioB := minimumRatio(a, engines), minimumRatio(b, engines)
	if ratioA < 1 || ratioB < 1 {
		if inUse := compareBool(m.demandOf(b.Name) > 0, m.demandOf(a.Name) > 0); inUse != 0 && ratioA < 1 && ratioB < 1 {
			return inUse
		}
		if c := cmp.Compare(ratioA, ratioB); c != 0 {
			return c
		}
	}
	perA := m.demandOf(a.Name) / float64(engines[a.Name]+1)
	perB := m.demandOf(b.Name) / float64(engines[b.Name]+1)
	if c := cmp.Compare(perB, perA); c != 0 {
		return c
	}
	return cmp.Compare(a.Name, b.Name)
}

// minimumRatio returns the fraction of its MinReplicasPerFailureDomain that a
// model has, at most 1.
func minimumRatio(model *declaration.Model, engines map[string]int) float64 {
	if model.MinReplicasPerFailureDomain <= 0 {
		return 1
	}
	return min(float64(engines[model.Name])/float64(model.MinReplicasPerFailureDomain), 1)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// serving counts the engines of the failure domain that serve each model now.
func (m *Core) serving() map[string]int {
	counts := make(map[string]int)
	m.endpoints.Each(func(_ wire.EndpointID, e *endpoint) bool {
		if m.isPlaceable(e) && e.serves() {
			counts[e.view.Have.Model]++
		}
		return true
	})
	return counts
}

func (e *endpoint) serves() bool {
	return e.view.Connected && !e.view.Failing && !e.view.Leaving && !e.loading() && e.view.Have.Model != ""
}
