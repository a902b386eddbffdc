package soak

import (
	"math/rand/v2"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/agent"
	"trefoilpath.org/trefoilpath/internal/entry"
	"trefoilpath.org/trefoilpath/internal/wire"
)

type (
	entryCore = core[entry.Input, entry.Output]
	agentCore = core[agent.Input, agent.Output]
)

// newAgentCore returns the core of a new incarnation of an agent.
func (w *World) newAgentCore(a *agentNode) (agentCore, error) {
	cfg := agent.Config{
		Endpoint:      a.endpoint,
		FailureDomain: a.domain,
		Kind:          a.kind,
		Incarnation:   a.incarnation,
	}
	if a.kind == wire.KindService {
		cfg.Service = w.opts.Deployment.Service
	}
	if a.engine != nil && !a.engine.checksFence {
		cfg.Fence = agent.FenceIgnored
	}
	if w.opts.Policy == PolicyRoundRobin || w.opts.Policy == PolicyLeastOutstanding {
		cfg.Queue = agent.QueueFIFO
	}
	for _, name := range w.opts.DisabledMechanisms {
		// A mechanism that only entries have does not change the agent.
		_ = cfg.DisableMechanism(name)
	}
	return agent.New(cfg)
}

// newEntryCore returns the core of a new incarnation of an entry.
func (w *World) newEntryCore(e *entryNode) (entryCore, error) {
	cfg := entry.Config{
		Self:          e.id,
		Incarnation:   e.incarnation,
		Address:       addressOf(e),
		Region:        w.opts.Deployment.Region,
		FailureDomain: e.domain,
		Rand:          rand.New(rand.NewPCG(w.rnd.Uint64(), w.rnd.Uint64())),
		Routing:       routings[w.opts.Policy],
		Reactive:      w.opts.Policy != PolicyTrefoilpath,
	}
	for _, name := range w.opts.DisabledMechanisms {
		// A mechanism that only agents have does not change the entry.
		if changed, err := cfg.Without(name); err == nil {
			cfg = changed
		}
	}
	return entry.New(cfg)
}

var routings = map[Policy]entry.Routing{
	PolicyTrefoilpath:      entry.RoutingPredicted,
	PolicyReactive:         entry.RoutingPredicted,
	PolicyRoundRobin:       entry.RoutingRoundRobin,
	PolicyLeastOutstanding: entry.RoutingLeastOutstanding,
}

// addressOf returns the address of an entry in the VM list.
func addressOf(e *entryNode) string { return string(e.id) + ":7100" }

// checkMechanisms returns an error for a mechanism that neither role has.
func checkMechanisms(names []string) error {
	for _, name := range names {
		var a agent.Config
		_, entryErr := entry.Config{}.Without(name)
		if entryErr != nil && a.DisableMechanism(name) != nil {
			return errors.Errorf("mechanism %q does not exist", name)
		}
	}
	return nil
}
