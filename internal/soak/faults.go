package soak

import (
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/simnet"
)

// fault is a kind of failure that a run can inject.
type fault struct {
	name   string
	inject func(w *World)
}

// allFaults returns all faults. Their order is part of the random choice.
func allFaults() []fault {
	return []fault{
		{"engine-kill", (*World).injectEngineKill},
		{"engine-hang", (*World).injectEngineHang},
		{"engine-slow", (*World).injectEngineSlow},
		{"engine-lie", (*World).injectEngineLie},
		{"cache-loss", (*World).injectCacheLoss},
		{"agent-kill", (*World).injectAgentKill},
		{"agent-pause", (*World).injectAgentPause},
		{"agent-leave", (*World).injectAgentLeave},
		{"entry-kill", (*World).injectEntryKill},
		{"entry-pause", (*World).injectEntryPause},
		{"entry-leave", (*World).injectEntryLeave},
		{"lease-pause", (*World).injectLeasePause},
		{"store-down", (*World).injectStoreDown},
		{"store-slow", (*World).injectStoreSlow},
		{"store-mute", (*World).injectStoreMute},
		{"link-cut", (*World).injectLinkCut},
		{"link-slow", (*World).injectLinkSlow},
		{"link-duplicate", (*World).injectLinkDuplicate},
		{"link-reorder", (*World).injectLinkReorder},
		{"domain-loss", (*World).injectDomainLoss},
		{"vm-list-stale", (*World).injectVMListStale},
		{"operator-race", (*World).injectOperatorRace},
		{"caller-gone", (*World).injectCallerGone},
		{"service-down", (*World).injectServiceDown},
		{"service-slow", (*World).injectServiceSlow},
		{"service-mute", (*World).injectServiceMute},
	}
}

// FaultsMixed selects all faults in Options.Faults.
const FaultsMixed = "mixed"

// FaultNames returns the names of all faults.
func FaultNames() []string {
	var names []string
	for _, f := range allFaults() {
		names = append(names, f.name)
	}
	return names
}

// faults injects faults at random times.
type faults struct {
	world  *World
	chosen []fault
	counts map[string]int
	ended  bool
}

// doubleShare is the probability that a second fault is injected at the same
// time.
const doubleShare = 0.3

func newFaults(w *World, names []string) (*faults, error) {
	f := &faults{world: w, counts: make(map[string]int)}
	all := allFaults()
	for _, name := range names {
		if name == FaultsMixed {
			f.chosen = all
			return f, nil
		}
		i := slices.IndexFunc(all, func(k fault) bool { return k.name == name })
		if i < 0 {
			return nil, errors.Errorf("fault %q does not exist: want %s or %s", name, strings.Join(FaultNames(), ", "), FaultsMixed)
		}
		f.chosen = append(f.chosen, all[i])
	}
	return f, nil
}

func (f *faults) start(at time.Duration) {
	if len(f.chosen) > 0 {
		f.world.clock.At(at, f.next)
	}
}

func (f *faults) next() {
	w := f.world
	wait := time.Duration(w.rnd.ExpFloat64() * float64(w.opts.FaultEvery))
	w.clock.After(wait, func() {
		if f.ended {
			return
		}
		f.injectOne()
		if w.rnd.Float64() < doubleShare {
			f.injectOne()
		}
		f.next()
	})
}

func (f *faults) injectOne() {
	k := f.chosen[f.world.rnd.IntN(len(f.chosen))]
	f.counts[k.name]++
	k.inject(f.world)
}

// end stops the injection and heals the faults that don't end by themselves soon:
// those of the store, VM list, services, engines and links. Suspended, ended and
// hung processes recover by themselves.
func (f *faults) end() {
	f.ended = true
	w := f.world
	w.healStore()
	w.vms.stale = false
	for _, a := range w.agents {
		if a.service != nil {
			a.service.mode = serviceHealthy
		}
		if a.engine != nil {
			w.healEngine(a.engine)
		}
	}
	w.healAllLinks()
}

// between draws a duration from [low, high).
func (w *World) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rnd.Int64N(int64(high-low)))
}

func pick[T any](w *World, list []T) T { return list[w.rnd.IntN(len(list))] }

// engines returns the agents that have an engine.
func (w *World) engines() []*agentNode {
	return slices.DeleteFunc(slices.Clone(w.agents), func(a *agentNode) bool { return a.engine == nil })
}

func (w *World) services() []*agentNode {
	return slices.DeleteFunc(slices.Clone(w.agents), func(a *agentNode) bool { return a.service == nil })
}

// startAgentAfter starts an agent after d unless its process runs.
func (w *World) startAgentAfter(a *agentNode, d time.Duration) {
	w.clock.After(d, func() {
		if !a.alive() {
			w.disturb(a.name)
			a.start()
		}
	})
}

// startEntryAfter starts an entry after d unless its process runs.
func (w *World) startEntryAfter(e *entryNode, d time.Duration) {
	w.clock.After(d, func() {
		if !e.alive() {
			w.disturb(e.name)
			e.start()
		}
	})
}

// nodePair names the two ends of a link, without their bulk queues.
type nodePair struct{ a, b simnet.Node }

// pickLink draws a link between an entry and the store, another entry or an
// agent.
func (w *World) pickLink() nodePair {
	e := pick(w, w.entries)
	switch w.rnd.IntN(5) {
	case 0:
		return nodePair{e.name, storeName}
	case 1:
		other := w.entries[(e.index+1)%len(w.entries)]
		return nodePair{e.name, other.name}
	}
	return nodePair{pick(w, w.agents).name, e.name}
}
