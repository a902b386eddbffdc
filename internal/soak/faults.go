package soak

import (
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/simnet"
)

// fault is one kind of failure that a run brings about.
type fault struct {
	name   string
	strike func(w *World)
}

// allFaults lists every kind of failure.
func allFaults() []fault {
	return []fault{
		{"engine-kill", (*World).strikeEngineKill},
		{"engine-hang", (*World).strikeEngineHang},
		{"engine-slow", (*World).strikeEngineSlow},
		{"engine-lie", (*World).strikeEngineLie},
		{"cache-loss", (*World).strikeCacheLoss},
		{"agent-kill", (*World).strikeAgentKill},
		{"agent-pause", (*World).strikeAgentPause},
		{"agent-leave", (*World).strikeAgentLeave},
		{"entry-kill", (*World).strikeEntryKill},
		{"entry-pause", (*World).strikeEntryPause},
		{"entry-leave", (*World).strikeEntryLeave},
		{"lease-pause", (*World).strikeLeasePause},
		{"store-down", (*World).strikeStoreDown},
		{"store-slow", (*World).strikeStoreSlow},
		{"store-mute", (*World).strikeStoreMute},
		{"link-cut", (*World).strikeLinkCut},
		{"link-slow", (*World).strikeLinkSlow},
		{"link-duplicate", (*World).strikeLinkDuplicate},
		{"link-reorder", (*World).strikeLinkReorder},
		{"domain-loss", (*World).strikeDomainLoss},
		{"vm-list-stale", (*World).strikeVMListStale},
		{"operator-race", (*World).strikeOperatorRace},
		{"caller-gone", (*World).strikeCallerGone},
		{"service-down", (*World).strikeServiceDown},
		{"service-slow", (*World).strikeServiceSlow},
		{"service-mute", (*World).strikeServiceMute},
	}
}

// FaultsMixed stands for all faults in a list of their names.
const FaultsMixed = "mixed"

// FaultNames lists the names of all faults.
func FaultNames() []string {
	var names []string
	for _, f := range allFaults() {
		names = append(names, f.name)
	}
	return names
}

// faults brings about failures at random times.
type faults struct {
	world  *World
	chosen []fault
	counts map[string]int
	ended  bool
}

// doubleShare is the share of failures that come two at once.
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
		f.one()
		if w.rnd.Float64() < doubleShare {
			f.one()
		}
		f.next()
	})
}

func (f *faults) one() {
	k := f.chosen[f.world.rnd.IntN(len(f.chosen))]
	f.counts[k.name]++
	k.strike(f.world)
}

// end heals everything that does not end by itself soon.
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

// engines lists the agents that have an engine.
func (w *World) engines() []*agentNode {
	return slices.DeleteFunc(slices.Clone(w.agents), func(a *agentNode) bool { return a.engine == nil })
}

func (w *World) services() []*agentNode {
	return slices.DeleteFunc(slices.Clone(w.agents), func(a *agentNode) bool { return a.service == nil })
}

// startAgentAfter starts an agent that has died.
func (w *World) startAgentAfter(a *agentNode, d time.Duration) {
	w.clock.After(d, func() {
		if !a.alive() {
			w.disturb(a.name)
			a.start()
		}
	})
}

// startEntryAfter starts an entry that has died.
func (w *World) startEntryAfter(e *entryNode, d time.Duration) {
	w.clock.After(d, func() {
		if !e.alive() {
			w.disturb(e.name)
			e.start()
		}
	})
}

// node names the parties of a link besides its bulk queues.
type pair struct{ a, b simnet.Node }

// pickLink draws a link between an entry and something that it talks to.
func (w *World) pickLink() pair {
	e := pick(w, w.entries)
	switch w.rnd.IntN(5) {
	case 0:
		return pair{e.name, storeName}
	case 1:
		other := w.entries[(e.index+1)%len(w.entries)]
		return pair{e.name, other.name}
	}
	return pair{pick(w, w.agents).name, e.name}
}
