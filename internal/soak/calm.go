package soak

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/simnet"
)

// disturb notes that a node or a link of it changes its state.
func (w *World) disturb(nodes ...simnet.Node) {
	for _, n := range nodes {
		w.calm[n] = w.clock.Now()
	}
}

// quietFor returns for how long nothing has happened to a node or its links.
func (w *World) quietFor(n simnet.Node) time.Duration {
	return w.clock.Now() - w.calm[n]
}

// calmFor returns for how long an entry and an agent, both running, and the
// link between them have been undisturbed.
func (w *World) calmFor(e *entryNode, a *agentNode) time.Duration {
	if !e.running() || !a.running() || !w.net.Healthy(e.name, a.name) {
		return 0
	}
	return min(w.quietFor(e.name), w.quietFor(a.name))
}

// entryCalmFor returns for how long an entry could learn of a revision: it runs
// and reaches the store in good health, or an entry that has the revision.
func (w *World) entryCalmFor(e *entryNode, revision uint64) time.Duration {
	if !e.running() {
		return 0
	}
	calm := w.storeCalmFor(e)
	for _, peer := range w.entries {
		if peer == e || !peer.running() || peer.revision < revision || !w.net.Healthy(e.name, peer.name) {
			continue
		}
		quiet := min(w.quietFor(e.name), w.quietFor(peer.name))
		calm = max(calm, min(quiet, w.clock.Now()-peer.inForceAt))
	}
	return calm
}

// storeCalmFor returns for how long an entry could read the store.
func (w *World) storeCalmFor(e *entryNode) time.Duration {
	if w.store.mode != storeHealthy || !w.net.Healthy(e.name, storeName) {
		return 0
	}
	return min(w.quietFor(e.name), w.quietFor(storeName))
}

// agentCalmFor returns for how long an agent could learn of a revision from an
// entry that has it.
func (w *World) agentCalmFor(a *agentNode, revision uint64) time.Duration {
	var calm time.Duration
	for _, e := range w.entries {
		if e.revision >= revision {
			calm = max(calm, min(w.calmFor(e, a), w.clock.Now()-e.inForceAt))
		}
	}
	return calm
}

// entriesCalmFor returns for how long all entries and the links between them
// have been undisturbed.
func (w *World) entriesCalmFor() time.Duration {
	calm := w.clock.Now()
	for _, e := range w.entries {
		if !e.running() {
			return 0
		}
		calm = min(calm, w.quietFor(e.name))
	}
	return calm
}
