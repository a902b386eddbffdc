package declaration

import (
	"slices"
	"time"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// Resolve turns lists that have passed Parse or Validate into the snapshot of
// the given revision. Accounts of one plan share its grants. Digest and Author
// stay unset; State.Snapshot sets them.
func Resolve(l *Lists, revision uint64) *Snapshot {
	grants := resolveGrants(&l.Entitlements)
	plans := make(map[string]*Plan, len(l.Plans.Plans))
	for i := range l.Plans.Plans {
		plans[l.Plans.Plans[i].Name] = &l.Plans.Plans[i]
	}
	s := &Snapshot{
		Revision: revision,
		Accounts: make(map[wire.AccountID]*Account, len(l.Plans.Accounts)),
		Models:   resolveModels(l.Entitlements.Models),
		Services: resolveServices(l.Entitlements.Services),
		keys:     make(keyIndex, len(l.Plans.Accounts)),
	}
	for i := range l.Plans.Accounts {
		a := &l.Plans.Accounts[i]
		s.Accounts[a.ID] = resolveAccount(a, plans[a.Plan], grants[a.Plan])
		for _, h := range a.KeySHA256 {
			s.keys.add(h, a.ID)
		}
	}
	return s
}

// planGrants is what the accounts of one plan may use.
type planGrants struct {
	models   map[string]*ModelGrant
	services map[string]*ServiceGrant
}

func resolveGrants(l *EntitlementList) map[string]planGrants {
	out := make(map[string]planGrants, len(l.Entitlements))
	for i := range l.Entitlements {
		e := &l.Entitlements[i]
		g := planGrants{models: make(map[string]*ModelGrant), services: make(map[string]*ServiceGrant)}
		for _, m := range e.Models {
			g.models[m.Model] = &ModelGrant{Model: m.Model, Adapters: setOf(m.Adapters)}
		}
		for _, s := range e.Services {
			g.services[s.Service] = &ServiceGrant{Service: s.Service, Methods: setOf(s.Methods)}
		}
		out[e.Plan] = g
	}
	return out
}

func resolveAccount(a *ClientAccount, p *Plan, g planGrants) *Account {
	out := &Account{
		ID:              a.ID,
		Plan:            a.Plan,
		Weight:          p.Weight,
		Limits:          Limits(p.Limits),
		Deadlines:       p.DeadlineMS.durations(),
		FirstTokenGoals: p.FirstTokenMS.durations(),
		ServiceDeadline: millis(p.ServiceTimeMS),
		MaxPriority:     p.MaxPriority,
		MaxPromptTokens: p.MaxPromptTokens,
		MaxOutputTokens: p.MaxOutputTokens,
		Models:          g.models,
		Services:        g.services,
	}
	if o := a.Limits; o != nil {
		out.Limits = Limits(o.applyTo(p.Limits))
		setIfGiven(&out.Weight, o.Weight)
	}
	return out
}

// applyTo returns the plan's limits with the overrides applied.
func (o *LimitOverrides) applyTo(l PlanLimits) PlanLimits {
	setIfGiven(&l.RequestsPerSecond, o.RequestsPerSecond)
	setIfGiven(&l.TokensPerSecond, o.TokensPerSecond)
	setIfGiven(&l.BurstSeconds, o.BurstSeconds)
	setIfGiven(&l.Concurrency, o.Concurrency)
	return l
}

// setIfGiven sets *dst to *src unless src is nil.
func setIfGiven[T any](dst, src *T) {
	if src != nil {
		*dst = *src
	}
}

func resolveModels(entries []ModelEntry) []Model {
	out := make([]Model, 0, len(entries))
	for _, e := range entries {
		out = append(out, Model{
			Name:                        e.Name,
			Version:                     e.Version,
			Adapters:                    slices.Sorted(slices.Values(e.Adapters)),
			MinReplicasPerFailureDomain: e.MinReplicasPerFailureDomain,
			MaxReplicas:                 e.MaxReplicas,
			Weight:                      e.Weight,
			MaxGroups:                   e.MaxGroups,
			WeightBytes:                 e.WeightBytes,
		})
	}
	slices.SortFunc(out, compareModels)
	return out
}

func resolveServices(entries []ServiceEntry) []Service {
	out := make([]Service, 0, len(entries))
	for _, e := range entries {
		out = append(out, Service{
			Name:              e.Name,
			IdempotentMethods: slices.Clone(e.IdempotentMethods),
			KeyTTL:            time.Duration(e.KeyTTLSeconds) * time.Second,
		})
	}
	slices.SortFunc(out, compareServices)
	return out
}

func (b BandsMillis) durations() [wire.BandCount]time.Duration {
	var out [wire.BandCount]time.Duration
	for i, ms := range b.array() {
		out[i] = millis(ms)
	}
	return out
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}
